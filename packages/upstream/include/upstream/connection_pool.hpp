// Channels to servers: opened, kept while idle, closed. A task that owns its sockets.
#pragma once
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <unordered_map>

#include "load_balancing/load_balancer.hpp"

namespace dockbend {

class Shelf;

// Invariants: one errand at a time; a channel that is dead is in no list and only
// waits to be freed, and writes nothing; on the shelf exactly while neither busy nor dead;
// sent: at least one byte of the request is in the socket. While it is false not one has left.
struct Chan {
  Shelf* shelf = nullptr;
  evhttp_connection* ec = nullptr;
  ServerIx server;
  u64 uses = 0;           // of the server's place, when it was opened
  void* owner = nullptr;  // whose errand is on it
  bool busy = false, dead = false, sent = false;
  Secs idle_since = 0, idle_limit = 4, idle_was = -1;  // idle_was: how long before this errand; < 0: fresh
};

class Shelf {
 public:
  // A try on the channel ended; null: with no whole answer. The channel is still busy.
  sigc::signal<void(Chan&, evhttp_request*)> on_return;
  u64 late = 0;  // answers on channels that were let go

  Shelf(event_base* eb, Assign& as) : eb_(eb), as_(as) {}
  Shelf(Shelf const&) = delete;

  // An idle channel no longer idle than `safe`, or a new one.
  Chan& take(ServerIx s, Secs safe, Secs now, void* owner);
  // False: it could not be sent, and on_return is not called.
  bool send(Chan& c, evhttp_request* r, evhttp_cmd_type cmd, char const* uri, int user_timeout_ms);
  evhttp_request* request(Chan& c);  // to be filled and given to send()
  void keep(Chan& c, Secs limit, Secs now);
  void doom(Chan& c);
  void sweep(Secs now);
  // Closes what is idle to servers that take nothing more.
  void trim(std::vector<ServerIx> const& gone);

 private:
  Chan& open(ServerIx s);
  void off_shelf(Chan& c);
  event_base* eb_;
  Assign& as_;
  std::unordered_map<u32, std::vector<Chan*>> idle_;
};

}  // namespace dockbend
