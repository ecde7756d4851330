/// Accepts connections of our own processes.
#pragma once
#include <sigc++/sigc++.h>

#include "settings/settings.hpp"
#include "transport/connection.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

/// Listens at one address; each accepted connection is handed to on_channel, whose slots keep it.
class Listener {
 public:
  sigc::signal<void(ConnectionPtr)> on_channel;

  /// @throws std::runtime_error naming the address if nothing can listen there
  Listener(event_base* loop, Address const& at);
  Listener(Listener const&) = delete;
  Listener& operator=(Listener const&) = delete;

 private:
  event_base* loop_;
  ConnectionListenerOwner listener_;
};

}  // namespace dockbend
