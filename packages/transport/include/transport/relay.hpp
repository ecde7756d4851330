/// Passes messages between a process that can't reach a controller and that controller.
#pragma once
#include <functional>
#include <string>
#include <unordered_map>

#include "transport/listener.hpp"

namespace dockbend {

/// Asks a relay to pass all further messages to the controller at `ip`.
struct RelayRequest {
  DB_RECORD(RelayRequest, (std::string, ip));
};
/// The relay's answer, once it is connected to the controller.
struct RelayResponse {
  DB_RECORD(RelayResponse, (bool, ok));
};

/// The relay itself. Invariants: a pipe joins one client's connection to one controller that this process knows itself;
/// when either side ends, so does the other. Belongs to the event loop's thread; must live as long as the loop runs.
class Relay {
 public:
  /// @param at where clients connect
  /// @param port of the controllers
  /// @param is_known is this IP address a controller's, as far as this process knows?
  Relay(event_base* loop, Address const& at, u32 port, std::function<bool(std::string const&)> is_known);
  Relay(Relay const&) = delete;
  Relay& operator=(Relay const&) = delete;

  /// Ends pipes that are silent or never came up, and pings controllers; to be called several times a second.
  void tick(Seconds now);

 private:
  struct Pipe {
    ConnectionPtr client;
    ConnectionPtr controller;  // null until the client has named one
    Seconds since = 0;         // when the client connected

    bool is_dead(Seconds now) const;
  };
  void accept(ConnectionPtr const& client);
  void on_client_message(u64 id, Message const& message);
  void dial_controller(u64 id, Pipe& pipe, std::string const& ip);
  void close_later(u64 id);

  event_base* loop_;
  u32 port_;
  std::function<bool(std::string const&)> is_known_;
  std::unordered_map<u64, Pipe> pipes_;  // by the id of the client's connection
  Listener listener_;
};

}  // namespace dockbend
