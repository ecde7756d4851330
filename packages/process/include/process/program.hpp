/// The life of a daemon, from its command line to its end.
#pragma once
#include <unistd.h>

#include <csignal>
#include <cstdio>

#include "logging/log.hpp"
#include "process/command_line.hpp"
#include "process/signals.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

/// Runs a daemon from start to end: settings, its task, its signals, the event loop. Task is constructed with the loop
/// and the settings, has term() and settings(), and breaks the loop when it is done. Returns the exit code, or ends the
/// process with 0.
template <class Task>
int run_daemon(ProgramInfo const& program, int argc, char** argv) {
  ignore_hangups();
  int exit_code = 0;
  std::optional<StartOptions> const start = read_command_line(program, argc, argv, exit_code);
  if (!start) return exit_code;
  signal(SIGPIPE, SIG_IGN);
  start_log();
  EventBaseOwner const owner(event_base_new());  // outlives the task
  event_base* const loop = owner.get();
  try {
    Task task(loop, start->settings);
    ProcessSignals signals(loop);
    SettingsWatch watch(loop, start->file);
    signals.on_term.connect([&task] { task.term(); });
    signals.on_hangup.connect([&watch] { watch.reload(); });
    watch.on_settings.connect([&task](Settings const& settings) { task.settings(settings); });
    event_base_dispatch(loop);
    _exit(0);  // nothing is left to destroy, and the log threads need not be joined
  } catch (SettingsError const& error) {
    std::fprintf(stderr, "%s: settings: %s\n", program.name, error.what());
    return 2;
  } catch (std::exception const& error) {
    std::fprintf(stderr, "%s: %s\n", program.name, error.what());
    return 1;
  }
}

}  // namespace dockbend
