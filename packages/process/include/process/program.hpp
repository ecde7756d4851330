// What every program shares: command line, settings, signals, a watched file.
#pragma once
#include <event2/event.h>
#include <unistd.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <optional>

#include "settings/settings.hpp"
#include "transport/event_owners.hpp"
#include "transport/transport.hpp"

namespace dockbend {

struct ProgramInfo {
  char const* name;
  char const* what;
  bool can_stage = false;            // knows --staged
  std::vector<std::string> binds{};  // addresses it can't do without
  bool keeps = false;                // has a disk, and founds the system with the seeds
};

// Reads the command line (--help, --version, --check, --settings FILE) and the
// settings. Returns an exit code if the program shall end at once.
std::optional<int> open_program(ProgramInfo const& cli, int argc, char** argv, Settings& st);

// Has a SIGTERM (or SIGINT) arrived at a process that has a Watch? True from the moment the
// signal is delivered, also while its event still waits in the loop behind others.
bool term_arrived();

// SIGTERM, SIGHUP and the settings file's changes, on the event loop.
class ProcessSignals {
 public:
  sigc::signal<void()> on_term;
  sigc::signal<void(Settings const&)> on_settings;
  explicit ProcessSignals(event_base* loop);
  ~ProcessSignals();
  ProcessSignals(ProcessSignals const&) = delete;

 private:
  void look(bool told);
  EventOwner term_, int_, hup_;
  std::unique_ptr<PeriodicTimer> poll_;
  i64 seen_mtime_ = 0, seen_size_ = 0;
};

// The whole life of a daemon: settings, its task, its signals, the loop. The task
// has term() and settings(); it breaks the loop when it is done.
template <class Task>
int run_daemon(ProgramInfo const& cli, int argc, char** argv) {
  Settings st;
  if (auto const rc = open_program(cli, argc, argv, st)) return *rc;
  EventBaseOwner const owner(event_base_new());  // outlives the task
  event_base* const loop = owner.get();
  try {
    Task task(loop, st);
    ProcessSignals w(loop);
    w.on_term.connect([&] { task.term(); });
    w.on_settings.connect([&](Settings const& s) { task.settings(s); });
    event_base_dispatch(loop);
    _exit(0);  // nothing is left to unwind, and log threads need not be waited for
  } catch (SettingsError const& e) {
    std::fprintf(stderr, "%s: settings: %s\n", cli.name, e.what());
    return 2;
  } catch (std::exception const& e) {
    std::fprintf(stderr, "%s: %s\n", cli.name, e.what());
    return 1;
  }
}

}  // namespace dockbend
