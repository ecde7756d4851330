/// The socket that clients connect to.
#pragma once
#include <event2/http.h>

#include "configuration/configuration.hpp"
#include "proxy/client_connections.hpp"
#include "settings/settings.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

class RequestIntake;

/// How long a client's connection may be idle, as evhttp takes it.
int idle_timeout_seconds(LimitsConfig const& limits);

/// Owns the HTTP server of the clients. Each complete request is given to the intake.
class FrontListener {
 public:
  /// Listens at once; throws std::runtime_error if it can't.
  FrontListener(event_base* loop, Address const& address, LimitsConfig const& limits, RequestIntake& intake);
  FrontListener(FrontListener const&) = delete;

  /// In force for open connections too.
  void set_limits(LimitsConfig const& limits);
  /// Takes no new connections; the open ones stay.
  void stop_accepting();
  bool is_accepting() const { return socket_ != nullptr; }

  /// A client's connection ends now.
  sigc::signal<void(evhttp_connection const*)>& on_connection_ended() { return connections_.on_ended; }
  void request_answered(evhttp_connection const* connection) { connections_.request_answered(connection); }
  /// Bodies that have begun to arrive and are not complete; those silent for more than `idle_ticks` don't count.
  u32 open_body_reads(u64 idle_ticks) const { return connections_.open_reads(idle_ticks); }
  void tick() { connections_.tick(); }

 private:
  static void on_request(evhttp_request* client_request, void* listener);
  RequestIntake& intake_;
  ClientConnections connections_;
  HttpServerOwner server_;
  evhttp_bound_socket* socket_ = nullptr;  // owned by server_; null once it accepts no more
};

}  // namespace dockbend
