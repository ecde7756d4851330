/// Which answers have been handed to libevent and are not yet wholly in the hands of the system.
#pragma once
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <cstddef>
#include <unordered_set>

namespace dockbend {

/// Runs on the event loop's thread. Invariant: a client connection is counted from track() until its answer has left
/// the process or the connection has ended.
class ResponseFlushTracker {
 public:
  /// An answer has left the process wholly.
  sigc::signal<void(evhttp_connection const*)> on_answered;

  ResponseFlushTracker() = default;
  ResponseFlushTracker(ResponseFlushTracker const&) = delete;
  /// To be called right before the answer of client_request is handed to libevent.
  void track(evhttp_request* client_request);
  /// The connection has ended: nothing more of its answer leaves. ClientConnections reports it; libevent has room for
  /// one close callback of a connection, which is that one's.
  void forget(evhttp_connection const* connection) { connections_.erase(connection); }
  /// Connections whose answer has not wholly left the process.
  std::size_t unflushed() const { return connections_.size(); }

 private:
  static void on_flushed(evhttp_request* client_request, void* tracker);
  std::unordered_set<evhttp_connection const*> connections_;
};

}  // namespace dockbend
