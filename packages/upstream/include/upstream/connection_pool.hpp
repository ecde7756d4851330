/// Connections to servers: opened, kept while idle, closed.
#pragma once
#include <event2/event.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <memory>
#include <unordered_map>
#include <vector>

#include "load_balancing/load_balancer.hpp"
#include "upstream/upstream_connection.hpp"

namespace dockbend {

/// Owns the connections and their sockets. Runs on the event loop's thread.
class ConnectionPool {
 public:
  /// The exchange on a busy connection ended; the request is null if there is no complete response, and freed by
  /// libevent after the call. The connection is still busy: the receiver releases or retires it.
  sigc::signal<void(UpstreamConnection&, evhttp_request*)> on_return;
  /// Responses on connections that were retired or released meanwhile; the reader may reset it.
  u64 late_responses = 0;

  /// Both must outlive the pool.
  ConnectionPool(event_base* loop, LoadBalancer& load_balancer) : loop_(loop), load_balancer_(load_balancer) {}
  ConnectionPool(ConnectionPool const&) = delete;

  /// A connection that was idle no longer than max_idle_time, or a new one. It is busy for the owner.
  UpstreamConnection& acquire(ServerIndex server, Seconds max_idle_time, Seconds now, void* owner);
  /// A request to be filled and given to send().
  evhttp_request* new_request(UpstreamConnection& connection);
  /// Takes the request over. acknowledgement_timeout_ms: until a machine that acknowledges nothing counts as absent.
  /// The system's limit also ends connections whose server acknowledges all but reads no more for so long: a request
  /// that may not fit into a server's receive buffer wants check_acknowledged() besides. False: it could not be sent,
  /// and on_return is not called.
  bool send(UpstreamConnection& connection, evhttp_request* request, evhttp_cmd_type method, char const* target,
            int acknowledgement_timeout_ms);
  /// Has the server's machine acknowledged a byte of the newest exchange? Once it has, it is there, and its silence no
  /// longer ends the exchange before work_limit, in seconds. Where the system can't tell: true, and the limit stays.
  bool check_acknowledged(UpstreamConnection& connection, Seconds work_limit);
  /// For on_return's receiver, where the response answers another request than the one that was sent: the server is
  /// still at work on that one. Discards the response and waits on; nothing is written, and on_return is called again.
  /// method: of the request that was sent. False: the connection has ended.
  bool await_next_response(UpstreamConnection& connection, evhttp_cmd_type method);
  /// Keeps a connection whose exchange is complete for another request. idle_limit: seconds.
  void release_idle(UpstreamConnection& connection, Seconds idle_limit, Seconds now);
  /// Closes the connection. From this moment on nothing more is written to it, not even if its connect came up in this
  /// very turn of the loop: whoever breaks off an attempt that has sent nothing relies on that. It is freed once
  /// libevent is out of its callbacks.
  void retire(UpstreamConnection& connection);
  /// Retires the connection of an exchange that is broken off. If a byte of it has left the connection is reset, so
  /// that a server that takes a close for a half-close learns of it too, and bytes that wait to be sent don't delay
  /// that.
  void abort(UpstreamConnection& connection);
  /// Closes what was idle for too long, or is to a server that is gone.
  void retire_expired(Seconds now);
  /// Closes what is idle to these servers.
  void retire_idle_of(std::vector<ServerIndex> const& servers);

 private:
  UpstreamConnection& open(ServerIndex server);
  UpstreamConnection* take_idle(ServerIndex server, Seconds max_idle_time, Seconds now);
  void remove_idle(UpstreamConnection& connection);
  /// Is the endpoint's slot still of the server that the connection was opened to?
  bool is_current(UpstreamConnection const& connection) const;
  event_base* loop_;
  LoadBalancer& load_balancer_;
  std::unordered_map<UpstreamConnection const*, std::unique_ptr<UpstreamConnection>> connections_;  // all of them
  std::unordered_map<u32, std::vector<UpstreamConnection*>> idle_;  // by server; the one used last at the end
};

}  // namespace dockbend
