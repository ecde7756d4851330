#include "proxy/response_flush_tracker.hpp"

namespace dockbend {

void ResponseFlushTracker::track(evhttp_request* client_request) {
  evhttp_connection* const connection = evhttp_request_get_connection(client_request);
  if (connection == nullptr) return;  // the client has gone
  connections_.insert(connection);
  evhttp_request_set_on_complete_cb(client_request, on_flushed, this);
}

void ResponseFlushTracker::on_flushed(evhttp_request* client_request, void* tracker) {
  auto* const self = static_cast<ResponseFlushTracker*>(tracker);
  evhttp_connection const* const connection = evhttp_request_get_connection(client_request);
  self->connections_.erase(connection);
  self->on_answered.emit(connection);
}

}  // namespace dockbend
