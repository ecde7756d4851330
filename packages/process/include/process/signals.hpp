/// SIGTERM, SIGINT and SIGHUP of a daemon.
#pragma once
#include <event2/event.h>
#include <sigc++/sigc++.h>

#include "transport/event_owners.hpp"

namespace dockbend {

/// From now on a SIGHUP does nothing, until a ProcessSignals takes it. Without this it would end a process that is
/// still starting. What a SIGHUP tells of, a settings file that has changed, is found by SettingsWatch besides.
void ignore_hangups();

/// Whether a SIGTERM or SIGINT has arrived while a ProcessSignals exists. True from the moment the signal is
/// delivered, also while its event still waits in the event loop behind others.
bool term_arrived();

/// The signals as events of a loop, which must outlive it. One at a time.
class ProcessSignals {
 public:
  sigc::signal<void()> on_term;  ///< SIGTERM or SIGINT
  sigc::signal<void()> on_hangup;
  explicit ProcessSignals(event_base* loop);
  ~ProcessSignals();
  ProcessSignals(ProcessSignals const&) = delete;

 private:
  EventOwner term_, interrupt_, hangup_;
};

}  // namespace dockbend
