/// Notices that a client disconnects while its request is in flight.
#pragma once
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "base/types.hpp"

namespace dockbend {

/// Watches a client's connection from its complete request on until the answer is written. evhttp reads nothing in that
/// time; the monitor reads in its place, so that a close, a half-close (on the wire the same as a close) and a reset
/// are seen, also behind a next request, whose bytes are left for evhttp.
///
/// Invariants: while it watches, the socket's callbacks are the monitor's, and the client's silence ends nothing;
/// afterwards evhttp has its callbacks and its idle timeout back. A disconnect is reported once. The connection
/// outlives the watching: evhttp ends none whose request it has handed out.
class DisconnectMonitor {
 public:
  using OnDisconnect = void (*)(void* argument);

  DisconnectMonitor() = default;
  DisconnectMonitor(DisconnectMonitor const&) = delete;

  /// on_disconnect is called from the event loop with argument, and may stop the monitor.
  void start(evhttp_request* client_request, OnDisconnect on_disconnect, void* argument);
  /// To be called before the answer is written. idle_timeout_seconds: evhttp's from now on. Without effect on a monitor
  /// that has not started or has stopped.
  void stop(int idle_timeout_seconds);
  /// Has the client disconnected unseen? Only next requests that fill the buffer hide a disconnect.
  bool has_hidden_disconnect() const;
  /// Has a disconnect reported that is known otherwise.
  void report_disconnect();

 private:
  static void on_event(bufferevent* socket, short what, void* monitor);

  bufferevent* socket_ = nullptr;  // null: not watching
  evhttp_connection* connection_ = nullptr;
  bufferevent_data_cb evhttp_on_write_ = nullptr;
  bufferevent_event_cb evhttp_on_event_ = nullptr;
  void* evhttp_argument_ = nullptr;
  OnDisconnect on_disconnect_ = nullptr;
  void* argument_ = nullptr;
  bool has_disconnected_ = false;
};

/// Has the client of a request disconnected? Asks the system.
bool has_client_disconnected(evhttp_request* client_request);

}  // namespace dockbend
