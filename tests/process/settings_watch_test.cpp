// The settings file of a daemon, on a real file and a real event loop.
#include <criterion/criterion.h>
#include <event2/event.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "process/settings_watch.hpp"

using namespace dockbend;

namespace {

struct FileOfTest {
  FileOfTest() {
    char name[] = "/tmp/dockbend-settings-XXXXXX";
    close(mkstemp(name));
    path = name;
    write("edge-1");
  }
  ~FileOfTest() { std::remove(path.c_str()); }
  void write(std::string const& node_name) const {
    std::ofstream(path) << "nodeName=" << node_name
                        << "\nip=127.0.0.1\nzone=z\nregion=r\nzones.z=r\ninnerPorts=7660,7675\n";
  }
  std::string path;
};

void run_loop(event_base* loop, int milliseconds) {
  timeval const wait{milliseconds / 1000, (milliseconds % 1000) * 1000};
  event_base_loopexit(loop, &wait);
  event_base_dispatch(loop);
}

}  // namespace

Test(settings_watch, file_has_changed_only_since_it_was_loaded) {
  FileOfTest const on_disk;
  SettingsFile file(on_disk.path);
  cr_assert(file.load().nodeName == "edge-1");
  cr_assert_not(file.has_changed());
  on_disk.write("edge-two");
  cr_assert(file.has_changed());
  cr_assert(file.load().nodeName == "edge-two");
  cr_assert_not(file.has_changed());
  std::remove(on_disk.path.c_str());
  cr_assert_not(file.has_changed(), "a file that is gone is kept as it was");
}

// A change between the first reading and the beginning of the watch was never seen.
Test(settings_watch, change_before_the_watch_began_is_reported) {
  FileOfTest const on_disk;
  SettingsFile file(on_disk.path);
  file.load();
  on_disk.write("edge-two");
  event_base* const loop = event_base_new();
  {
    SettingsWatch watch(loop, file);
    std::string reported;
    watch.on_settings.connect([&](Settings const& settings) { reported = settings.nodeName; });
    run_loop(loop, 1200);
    cr_assert_str_eq(reported.c_str(), "edge-two");
  }
  event_base_free(loop);
}

Test(settings_watch, bad_settings_are_not_reported_and_good_ones_after_them_are) {
  FileOfTest const on_disk;
  SettingsFile file(on_disk.path);
  file.load();
  event_base* const loop = event_base_new();
  {
    SettingsWatch watch(loop, file);
    int reports = 0;
    watch.on_settings.connect([&](Settings const&) { ++reports; });
    std::ofstream(on_disk.path) << "bounds.gracePeriodS=much\n";
    watch.reload();
    cr_assert_eq(reports, 0);
    on_disk.write("edge-1");
    watch.reload();
    cr_assert_eq(reports, 1);
  }
  event_base_free(loop);
}
