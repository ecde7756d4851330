// What every program shares: command line, settings, signals, a watched file.
#pragma once
#include <event2/event.h>

#include <functional>
#include <memory>
#include <optional>

#include "stacks/courier.hpp"
#include "stacks/settings.hpp"

namespace dockbend {

struct Cli {
  char const* name;
  char const* what;
  bool can_stage = false;  // knows --staged
};

// Reads the command line (--help, --version, --check, --settings FILE) and the
// settings. Returns an exit code if the program shall end at once.
std::optional<int> open_program(Cli const& cli, int argc, char** argv, Settings& st);

// SIGTERM, SIGHUP and the settings file's changes, on the event loop.
class Watch {
 public:
  sigc::signal<void()> on_term;
  sigc::signal<void(Settings const&)> on_settings;
  explicit Watch(event_base* eb);
  ~Watch();
  Watch(Watch const&) = delete;

 private:
  void look(bool told);
  event *term_, *int_, *hup_;
  std::unique_ptr<Ticker> poll_;
  i64 seen_mtime_ = 0, seen_size_ = 0;
};

}  // namespace dockbend
