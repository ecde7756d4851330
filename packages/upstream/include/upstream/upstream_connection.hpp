/// One HTTP connection to a server.
#pragma once
#include "base/types.hpp"
#include "transport/event_owners.hpp"
#include "upstream/exchange_failure.hpp"

namespace dockbend {

class ConnectionPool;

/// Owned by the pool. Invariants: it carries one request at a time; a retired connection is in no list, only waits to
/// be freed, and writes nothing; it is idle in the pool exactly while it is neither busy nor retired; while has_sent is
/// false, not one byte of the request has reached the socket.
struct UpstreamConnection {
  UpstreamConnection() = default;
  UpstreamConnection(UpstreamConnection const&) = delete;
  ~UpstreamConnection() {
    if (http) evhttp_connection_set_closecb(http.get(), nullptr, nullptr);
  }

  ConnectionPool* pool = nullptr;
  HttpConnectionOwner http;
  ServerIndex server;
  u64 endpoint_uses = 0;  ///< Endpoint::uses when it was opened: whether the slot still is of the same server
  void* owner = nullptr;  ///< names the request on it, see RequestTable::find_attempt()
  bool is_busy = false;
  bool is_retired = false;
  bool has_sent = false;
  bool is_acknowledged = false;                     ///< see ConnectionPool::check_acknowledged()
  u64 written_bytes = 0;                            ///< of the newest exchange, to the socket
  bool had_stray_response = false;                  ///< in the newest exchange: such a connection is not kept
  ExchangeFailure failure = ExchangeFailure::none;  ///< of the newest exchange
  Seconds idle_since = 0;                           ///< time point
  Seconds idle_limit = 4;                           ///< how long it may be idle
  Seconds idle_before = -1;                         ///< how long it was idle before this request; < 0: it is new
};

}  // namespace dockbend
