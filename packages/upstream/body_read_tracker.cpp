#include "upstream/body_read_tracker.hpp"

#include <algorithm>
#include <utility>

namespace dockbend {

Seconds BodyReadTracker::request_completed(evhttp_request* request) {
  evhttp_connection* const connection = evhttp_request_get_connection(request);
  if (connection == nullptr) return 0;
  auto const it = connections_.find(evhttp_connection_get_bufferevent(connection));
  if (it == connections_.end()) return 0;
  // No bytes: they came together with the request before, and nobody knows when.
  return std::exchange(it->second->bytes, 0) > 0 ? steady_now() - it->second->first_byte_at : 0;
}

u32 BodyReadTracker::open_reads(u64 idle_ticks) const {
  return static_cast<u32>(std::count_if(connections_.begin(), connections_.end(), [&](auto const& entry) {
    return entry.second->bytes > 0 && ticks_ - entry.second->last_read_tick <= idle_ticks;
  }));
}

bufferevent* BodyReadTracker::create_socket(event_base* loop, void* tracker) {
  auto* const self = static_cast<BodyReadTracker*>(tracker);
  bufferevent* const socket = bufferevent_socket_new(loop, -1, 0);
  // An older entry of the same address is of a connection that has ended.
  std::unique_ptr<TrackedConnection>& connection = self->connections_[socket];
  connection = std::make_unique<TrackedConnection>();
  connection->tracker = self;
  evbuffer_add_cb(bufferevent_get_input(socket), on_input, connection.get());
  return socket;
}

void BodyReadTracker::on_input(evbuffer*, evbuffer_cb_info const* info, void* connection) {
  auto& self = *static_cast<TrackedConnection*>(connection);
  if (info->n_added == 0) return;
  if (self.bytes == 0) self.first_byte_at = steady_now();
  self.bytes += info->n_added;
  self.last_read_tick = self.tracker->ticks_;
}

}  // namespace dockbend
