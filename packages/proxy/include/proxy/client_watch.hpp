/// Notices that a client leaves while its request is in flight.
#pragma once
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "base/types.hpp"

namespace dockbend {

/// Watches a client's connection from its complete request on until the answer is written. evhttp reads nothing in that
/// time; the watch reads in its place, so that a close, a half-close (on the wire the same as a close) and a reset are
/// seen, also behind a next request, whose bytes are left for evhttp.
///
/// Invariants: while it watches, the socket's callbacks are the watch's, and the client's silence ends nothing;
/// afterwards evhttp has its callbacks and its idle timeout back. A departure is reported once. The connection outlives
/// the watching: evhttp ends none whose request it has handed out.
class ClientWatch {
 public:
  using OnDeparture = void (*)(void* argument);

  ClientWatch() = default;
  ClientWatch(ClientWatch const&) = delete;

  /// idle_timeout_seconds: evhttp's, for when the watch has stopped. on_departure is called from the event loop with
  /// argument, and may stop the watch.
  void start(evhttp_request* client_request, int idle_timeout_seconds, OnDeparture on_departure, void* argument);
  /// To be called before the answer is written. Without effect on a watch that has not started or has stopped.
  void stop();
  /// Has the client left unseen? Only next requests that fill the buffer hide a departure.
  bool has_left_unseen() const;
  /// Has a departure reported that is known otherwise.
  void report_departure();

 private:
  static void on_event(bufferevent* socket, short what, void* watch);

  bufferevent* socket_ = nullptr;  // null: not watching
  evhttp_connection* connection_ = nullptr;
  int idle_timeout_seconds_ = 0;
  bufferevent_data_cb evhttp_on_write_ = nullptr;
  bufferevent_event_cb evhttp_on_event_ = nullptr;
  void* evhttp_argument_ = nullptr;
  OnDeparture on_departure_ = nullptr;
  void* argument_ = nullptr;
  bool has_left_ = false;
};

/// Has the client of a request left? Asks the system.
bool has_client_left(evhttp_request* client_request);

}  // namespace dockbend
