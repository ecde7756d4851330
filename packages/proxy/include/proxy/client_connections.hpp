/// The connections that clients have open: the limits that each has a copy of, and what is being read on each.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sigc++/sigc++.h>

#include <memory>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

/// What evhttp holds a connection to by itself. A larger head or body gets an answer of evhttp's own.
struct ConnectionLimits {
  ev_ssize_t head_bytes = 0;
  ev_ssize_t body_bytes = 0;
  int idle_seconds = 0;

  friend bool operator==(ConnectionLimits const&, ConnectionLimits const&) = default;
};

/// evhttp copies its limits into each connection that it accepts, and reports a request only once it is complete. So
/// each connection is known here from its acceptance to its end: a change of the limits reaches all of them, and the
/// bytes of requests are counted as they arrive.
///
/// Invariants: `open_` has exactly the connections that evhttp has, between two turns of the loop; their close
/// callbacks are this object's, and nobody else sets any; a connection's bytes are those that arrived since its last
/// complete request.
class ClientConnections {
 public:
  /// A connection ends now.
  sigc::signal<void(evhttp_connection const*)> on_ended;

  /// `loop` must outlive this object.
  explicit ClientConnections(event_base* loop);
  ~ClientConnections();
  ClientConnections(ClientConnections const&) = delete;
  ClientConnections& operator=(ClientConnections const&) = delete;

  /// Tracks all connections of the server, which must be freed before this object, and holds them to the limits.
  void watch(evhttp* server);
  /// In force for open connections and for those to come. A request that is at work is not affected: its client may be
  /// silent for as long as it takes.
  void set_limits(ConnectionLimits const& limits);

  void tick() { ++ticks_; }
  /// The request that was being read is complete. How long ago its first byte came, in seconds; 0: unknown.
  Seconds request_completed(evhttp_request* request);
  /// The answer to that request has left. What is written before the next one is complete is evhttp's own.
  void request_answered(evhttp_connection const* connection);
  /// Connections with an incomplete request that were not silent for more than idle_ticks.
  u32 open_reads(u64 idle_ticks) const;
  std::size_t size() const { return open_.size(); }

 private:
  struct OpenConnection {
    ClientConnections* owner = nullptr;
    bufferevent* socket = nullptr;            // evhttp's
    evhttp_connection* connection = nullptr;  // evhttp's
    evbuffer_cb_entry *input_callback = nullptr, *output_callback = nullptr;
    bool has_complete_request = false;  // which is not answered yet
    std::size_t bytes = 0;
    Seconds first_byte_at = 0;
    u64 last_read_tick = 0;
  };

  static bufferevent* create_socket(event_base* loop, void* connections);
  static void on_accepted(evutil_socket_t, short, void* connections);
  static void on_closed(evhttp_connection* connection, void* connections);
  static void on_input(evbuffer*, evbuffer_cb_info const* info, void* connection);
  static void on_output(evbuffer* output, evbuffer_cb_info const* info, void* connection);
  void adopt_accepted();

  evhttp* server_ = nullptr;
  ConnectionLimits limits_;
  u64 ticks_ = 0;
  std::vector<std::unique_ptr<OpenConnection>> accepted_;  // in this turn of the loop
  std::unordered_map<evhttp_connection const*, std::unique_ptr<OpenConnection>> open_;
  EventOwner accepted_event_;
};

}  // namespace dockbend
