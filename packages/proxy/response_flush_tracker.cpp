#include "proxy/response_flush_tracker.hpp"

namespace dockbend {

void ResponseFlushTracker::track(evhttp_request* client_request) {
  evhttp_connection* const connection = evhttp_request_get_connection(client_request);
  if (connection == nullptr) return;  // the client has gone
  connections_.insert(connection);
  evhttp_request_set_on_complete_cb(client_request, on_flushed, this);
}

void ResponseFlushTracker::on_flushed(evhttp_request* client_request, void* tracker) {
  static_cast<ResponseFlushTracker*>(tracker)->connections_.erase(evhttp_request_get_connection(client_request));
}

}  // namespace dockbend
