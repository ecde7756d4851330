/// Counts the requests whose bytes have begun to arrive and that are not complete yet, and times how long they take.
/// evhttp reports a request only once it is complete, so the bytes are counted underneath.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <memory>
#include <unordered_map>

#include "base/types.hpp"

namespace dockbend {

/// Invariant: a connection's bytes are those that arrived since its last complete request. libevent does not report the
/// end of a connection; it counts until it was silent for some ticks.
class BodyReadTracker {
 public:
  /// Tracks all connections of the server, which the tracker must outlive.
  void watch(evhttp* server) { evhttp_set_bevcb(server, create_socket, this); }
  void tick() { ++ticks_; }
  /// The request that was being read is complete. How long ago its first byte came, in seconds; 0: unknown.
  Seconds request_completed(evhttp_request* request);
  /// Connections with an incomplete request that were not silent for more than idle_ticks.
  u32 open_reads(u64 idle_ticks) const;

 private:
  struct TrackedConnection {
    BodyReadTracker* tracker = nullptr;
    std::size_t bytes = 0;
    Seconds first_byte_at = 0;
    u64 last_read_tick = 0;
  };
  static bufferevent* create_socket(event_base* loop, void* tracker);
  static void on_input(evbuffer*, evbuffer_cb_info const* info, void* connection);
  u64 ticks_ = 0;
  std::unordered_map<bufferevent*, std::unique_ptr<TrackedConnection>> connections_;
};

}  // namespace dockbend
