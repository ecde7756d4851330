/// \file
/// What every daemon shares: command line, settings, signals, and the watch on the settings file.
#pragma once
#include <event2/event.h>
#include <sigc++/sigc++.h>
#include <unistd.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <optional>

#include "settings/settings.hpp"
#include "transport/event_owners.hpp"
#include "transport/periodic_timer.hpp"

namespace dockbend {

/// A program's name, purpose and needs.
struct ProgramInfo {
  char const* name;
  char const* what;
  bool can_stage = false;            // accepts --staged
  std::vector<std::string> binds{};  // bind addresses that must be set
  bool keeps = false;                // has a data directory, and initialises the system with the seeds
};

/// Reads the command line (--help, --version, --check, --settings FILE) and the settings, and starts the log.
/// Returns an exit code if the program is to end at once.
std::optional<int> open_program(ProgramInfo const& cli, int argc, char** argv, Settings& st);

/// Whether a SIGTERM or SIGINT has arrived while a ProcessSignals exists. True from the moment the signal is
/// delivered, also while its event still waits in the event loop behind others.
bool term_arrived();

/// SIGTERM, SIGINT, SIGHUP and changes of the settings file, on the event loop. A settings file that is bad is logged
/// and ignored.
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

/// Runs a daemon from start to end: settings, its task, its signals, the event loop. Task is constructed with the loop
/// and the settings, has term() and settings(), and breaks the loop when it is done. Returns the exit code, or ends the
/// process with 0.
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
    _exit(0);  // nothing is left to destroy, and the log threads need not be joined
  } catch (SettingsError const& e) {
    std::fprintf(stderr, "%s: settings: %s\n", cli.name, e.what());
    return 2;
  } catch (std::exception const& e) {
    std::fprintf(stderr, "%s: %s\n", cli.name, e.what());
    return 1;
  }
}

}  // namespace dockbend
