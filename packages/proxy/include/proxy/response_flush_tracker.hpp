/// Which answers have been handed to libevent and are not yet wholly in the hands of the system.
#pragma once
#include <event2/http.h>

#include <cstddef>
#include <unordered_set>

namespace dockbend {

/// Runs on the event loop's thread. Invariant: a client connection is counted from track() until its answer has left
/// the process or the connection has ended. Must outlive the HTTP server of the connections.
class ResponseFlushTracker {
 public:
  ResponseFlushTracker() = default;
  ResponseFlushTracker(ResponseFlushTracker const&) = delete;
  /// To be called right before the answer of client_request is handed to libevent.
  void track(evhttp_request* client_request);
  /// Connections whose answer has not wholly left the process.
  std::size_t unflushed() const { return connections_.size(); }

 private:
  static void on_flushed(evhttp_request* client_request, void* tracker);
  static void on_closed(evhttp_connection* connection, void* tracker);
  std::unordered_set<evhttp_connection const*> connections_;
};

}  // namespace dockbend
