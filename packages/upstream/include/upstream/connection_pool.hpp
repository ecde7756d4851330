// Channels to servers: opened, kept while idle, closed. A task that owns its sockets.
#pragma once
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <unordered_map>

#include "load_balancing/load_balancer.hpp"

namespace dockbend {

class ConnectionPool;

// Invariants: one errand at a time; a channel that is dead is in no list and only
// waits to be freed, and writes nothing; on the shelf exactly while neither busy nor dead;
// sent: at least one byte of the request is in the socket. While it is false not one has left.
struct UpstreamConnection {
  ConnectionPool* shelf = nullptr;
  evhttp_connection* ec = nullptr;
  ServerIndex server;
  u64 uses = 0;           // of the server's place, when it was opened
  void* owner = nullptr;  // whose errand is on it
  bool busy = false, dead = false, sent = false;
  Seconds idle_since = 0, idle_limit = 4, idle_was = -1;  // idle_was: how long before this errand; < 0: fresh
};

class ConnectionPool {
 public:
  // A try on the channel ended; null: with no whole answer. The channel is still busy.
  sigc::signal<void(UpstreamConnection&, evhttp_request*)> on_return;
  u64 late = 0;  // answers on channels that were let go

  ConnectionPool(event_base* loop, LoadBalancer& as) : loop_(loop), as_(as) {}
  ConnectionPool(ConnectionPool const&) = delete;

  // An idle channel no longer idle than `safe`, or a new one.
  UpstreamConnection& take(ServerIndex s, Seconds safe, Seconds now, void* owner);
  // False: it could not be sent, and on_return is not called.
  bool send(UpstreamConnection& c, evhttp_request* r, evhttp_cmd_type cmd, char const* uri, int user_timeout_ms);
  evhttp_request* request(UpstreamConnection& c);  // to be filled and given to send()
  void keep(UpstreamConnection& c, Seconds limit, Seconds now);
  void doom(UpstreamConnection& c);
  void sweep(Seconds now);
  // Closes what is idle to servers that take nothing more.
  void trim(std::vector<ServerIndex> const& gone);

 private:
  UpstreamConnection& open(ServerIndex s);
  void off_shelf(UpstreamConnection& c);
  event_base* loop_;
  LoadBalancer& as_;
  std::unordered_map<u32, std::vector<UpstreamConnection*>> idle_;
};

}  // namespace dockbend
