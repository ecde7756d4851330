#include "upstream/connection_pool.hpp"

#include <event2/bufferevent.h>

#include <algorithm>

#include "transport/transport.hpp"

namespace dockbend {
namespace {
// libevent's own limits on silence, in seconds. A request is ended by its deadline alone, so
// its limit is longer than any deadline that a manifest may name.
int const idle_timeout = 60, request_timeout = 2000000000;

void close_cb(evhttp_connection*, void* p) {
  UpstreamConnection* const c = static_cast<UpstreamConnection*>(p);
  if (!c->busy) c->shelf->doom(*c);
}
// Bytes leave the buffer by being written, or by being thrown away after the socket was
// taken from it: the second is no send.
void out_cb(evbuffer*, evbuffer_cb_info const* i, void* p) {
  UpstreamConnection* const c = static_cast<UpstreamConnection*>(p);
  if (i->n_deleted > 0 && bufferevent_getfd(evhttp_connection_get_bufferevent(c->ec)) >= 0) c->sent = true;
}
void done_cb(evhttp_request* r, void* p) {
  UpstreamConnection* const c = static_cast<UpstreamConnection*>(p);
  if (!c->dead && c->busy)
    c->shelf->on_return.emit(*c, r);
  else if (r != nullptr && evhttp_request_get_response_code(r) != 0)
    ++c->shelf->late;
}
}  // namespace

UpstreamConnection& ConnectionPool::take(ServerIndex s, Seconds safe, Seconds now, void* owner) {
  UpstreamConnection* c = nullptr;
  auto& l = idle_[s.v];
  // The one used last is the least likely to have been closed meanwhile.
  while (!l.empty() && c == nullptr) {
    c = l.back();
    if (c->uses != as_.at(s).uses || now - c->idle_since > std::min(c->idle_limit, safe)) {
      doom(*c);
      c = nullptr;
    } else {
      off_shelf(*c);
      c->idle_was = now - c->idle_since;
    }
  }
  if (c == nullptr) c = &open(s);
  c->busy = true;
  c->sent = false;
  c->owner = owner;
  return *c;
}

evhttp_request* ConnectionPool::request(UpstreamConnection& c) {
  return evhttp_request_new(done_cb, &c);
}

bool ConnectionPool::send(UpstreamConnection& c, evhttp_request* r, evhttp_cmd_type cmd, char const* uri,
                          int user_timeout_ms) {
  evhttp_connection_set_timeout(c.ec, request_timeout);
  if (evhttp_make_request(c.ec, r, cmd, uri) != 0) return false;
  tune_socket(bufferevent_getfd(evhttp_connection_get_bufferevent(c.ec)), user_timeout_ms);
  return true;
}

UpstreamConnection& ConnectionPool::open(ServerIndex s) {
  Endpoint& t = as_.at(s);
  auto* const c = new UpstreamConnection;
  c->shelf = this;
  c->server = s;
  c->uses = t.uses;
  Address a;
  try {
    a = parse_addr(t.address, "address");
  } catch (SettingsError const&) {
    a = Address{"127.0.0.1", 9};
  }
  bufferevent* bev = bufferevent_socket_new(loop_, -1, BEV_OPT_DEFER_CALLBACKS);
  c->ec = evhttp_connection_base_bufferevent_new(loop_, nullptr, bev, a.ip.c_str(), static_cast<ev_uint16_t>(a.port));
  evhttp_connection_set_timeout(c->ec, idle_timeout);
  evhttp_connection_set_max_headers_size(c->ec, 256 << 10);  // else a head without an end is kept until the deadline
  evhttp_connection_set_closecb(c->ec, close_cb, c);
  evbuffer_add_cb(bufferevent_get_output(bev), out_cb, c);
  ++t.chans;
  return *c;
}

void ConnectionPool::off_shelf(UpstreamConnection& c) {
  auto const it = idle_.find(c.server.v);
  if (it == idle_.end()) return;
  if (std::erase(it->second, &c) == 0) return;
  Endpoint& t = as_.at(c.server);
  if (t.uses == c.uses && t.idle > 0) --t.idle;
}

// A dead channel is freed once libevent is out of its callbacks. From this moment on
// nothing more is written to it, not even if its connect came up in this very turn of the
// loop: whoever lets go of an attempt that has sent nothing goes by that.
void ConnectionPool::doom(UpstreamConnection& c) {
  if (c.dead) return;
  c.dead = true;
  off_shelf(c);
  Endpoint& t = as_.at(c.server);
  if (t.uses == c.uses && t.chans > 0) --t.chans;
  evhttp_connection_set_closecb(c.ec, nullptr, nullptr);
  bufferevent* const bev = evhttp_connection_get_bufferevent(c.ec);
  bufferevent_setcb(bev, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(bev, EV_READ | EV_WRITE);
  after(loop_, 0, [p = &c] {
    evhttp_connection_free(p->ec);
    delete p;
  });
}

void ConnectionPool::keep(UpstreamConnection& c, Seconds limit, Seconds now) {
  c.busy = false;
  c.owner = nullptr;
  c.idle_since = now;
  c.idle_limit = limit;
  evhttp_connection_set_timeout(c.ec, idle_timeout);
  idle_[c.server.v].push_back(&c);
  Endpoint& t = as_.at(c.server);
  if (t.uses == c.uses) ++t.idle;
}

void ConnectionPool::sweep(Seconds now) {
  std::vector<UpstreamConnection*> old;
  for (auto& [s, l] : idle_)
    for (UpstreamConnection* c : l)
      if (now - c->idle_since > c->idle_limit || c->uses != as_.at(ServerIndex(s)).uses) old.push_back(c);
  for (UpstreamConnection* c : old)
    doom(*c);
}

void ConnectionPool::trim(std::vector<ServerIndex> const& gone) {
  for (ServerIndex const s : gone) {
    auto const it = idle_.find(s.v);
    if (it == idle_.end()) continue;
    auto const l = it->second;
    for (UpstreamConnection* c : l)
      doom(*c);
  }
}

}  // namespace dockbend
