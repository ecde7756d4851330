// Requests whose bytes have begun to come and that are not whole yet. evhttp tells of a
// request only once it has all of it, so the bytes are counted underneath.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <memory>
#include <unordered_map>

#include "base/types.hpp"

namespace dockbend {

// Invariant: bytes counts what came on a connection since its last whole request. A
// connection that ended is not told of; it counts until it was silent for `idle` ticks.
class BodyReadTracker {
 public:
  void watch(evhttp* h) { evhttp_set_bevcb(h, made, this); }
  void tick() { ++tick_; }
  // The request that was being read is whole.
  void whole(evhttp_request* r) {
    evhttp_connection* const c = evhttp_request_get_connection(r);
    if (c == nullptr) return;
    if (auto const it = all_.find(evhttp_connection_get_bufferevent(c)); it != all_.end()) it->second->bytes = 0;
  }
  u32 open(u64 idle) const {
    u32 n = 0;
    for (auto const& [b, w] : all_)
      n += w->bytes > 0 && tick_ - w->at <= idle ? 1 : 0;
    return n;
  }

 private:
  struct Watch {
    BodyReadTracker* of = nullptr;
    std::size_t bytes = 0;
    u64 at = 0;
  };
  static bufferevent* made(event_base* loop, void* p) {
    BodyReadTracker* const self = static_cast<BodyReadTracker*>(p);
    bufferevent* const b = bufferevent_socket_new(loop, -1, 0);
    std::unique_ptr<Watch>& w = self->all_[b];  // an old one at this place is of a connection that ended
    w = std::make_unique<Watch>();
    w->of = self;
    evbuffer_add_cb(bufferevent_get_input(b), came, w.get());
    return b;
  }
  static void came(evbuffer*, evbuffer_cb_info const* i, void* p) {
    Watch& w = *static_cast<Watch*>(p);
    if (i->n_added == 0) return;
    w.bytes += i->n_added;
    w.at = w.of->tick_;
  }
  u64 tick_ = 0;
  std::unordered_map<bufferevent*, std::unique_ptr<Watch>> all_;
};

}  // namespace dockbend
