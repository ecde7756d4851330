/// One client request in flight: its sockets, its timer and its state machine.
#pragma once
#include <event2/http.h>

#include <optional>
#include <string>
#include <vector>

#include "proxy/disconnect_monitor.hpp"
#include "proxy/request_flow.hpp"
#include "quota/quota_client.hpp"
#include "request/admission.hpp"
#include "request/request_machine.hpp"
#include "request/request_table.hpp"
#include "transport/event_owners.hpp"
#include "upstream/connection_pool.hpp"

struct evkeyvalq;

namespace dockbend {

struct ProxiedRequest;
using RequestsInFlight = RequestTable<ProxiedRequest>;

/// One attempt at a server. At work while it has a connection.
struct Attempt {
  UpstreamConnection* connection = nullptr;  ///< owned by the connection pool
  ServerIndex server;
  Seconds started_at = 0;
  u32 number = 0;  ///< 1 for the request's first one

  /// Is it at work, and has a byte of its request left?
  bool is_sent() const { return connection != nullptr && connection->has_sent; }
};

/// Invariants: client_request is answered exactly once, and the request is removed from the table right after that;
/// awaited has a connection exactly while the state machine is in an attempt; each hedged attempt has sent its request,
/// and is ended before the request is removed.
struct ProxiedRequest : AdmittedRequest {
  /// Creates the timer, unarmed. flow is called when it fires or the client disconnects, and must outlive the request.
  ProxiedRequest(event_base* loop, RequestFlow& flow);
  ProxiedRequest(ProxiedRequest const&) = delete;

  RequestsInFlight::Handle handle;
  evhttp_request* client_request = nullptr;  ///< owned by the front listener's evhttp
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string target;
  std::vector<LocationIndex> home_regions;  ///< where it may be served; empty: anywhere
  std::vector<ServerIndex> attempted;       ///< servers that an attempt was sent to
  ServiceIndex service_index;
  Seconds arrived_at = 0;
  std::size_t body_bytes = 0;

  RequestMachine machine;

  Attempt awaited;  ///< the newest attempt, or the one that was resumed: the one that is waited for
  std::vector<Attempt> hedged_attempts;  ///< late ones at work besides it, oldest first
  u32 counted_attempts = 0;              ///< attempts that usage metering has counted or skipped

  u64 key_holder = 0;       ///< names this request as the holder of its idempotency key
  u32 key_request_tag = 0;  ///< of the open request for the key; 0: none is open

  bool has_waited_for_quota = false;  ///< asked the allocator for a token once; it does not ask again
  QuotaClient::Token quota_token;

  /// Is one of its attempts at work on this connection?
  bool has_attempt_on(UpstreamConnection const* upstream) const;
  bool has_attempt_at_work() const { return awaited.connection != nullptr || !hedged_attempts.empty(); }
  /// Takes the hedged attempt on this connection out; none: it carries none.
  std::optional<Attempt> take_hedged_attempt(UpstreamConnection const* upstream);

  RetryState const& retry_state() const { return machine.retry_state(); }
  Seconds deadline() const { return retry_state().deadline(); }
  /// Arms the timer for `at` (steady clock), at the earliest half a millisecond from now.
  void set_timer(Seconds at);
  void cancel_timer();
  void monitor_client();

  DisconnectMonitor disconnect_monitor;

 private:
  static void timer_fired(evutil_socket_t, short, void* request);
  static void client_disconnected(void* request);
  RequestFlow& flow_;
  EventOwner timer_;
};

/// Whether requests of this method usually have a body: they may come in chunks, and state a length even if it is 0.
bool method_has_body(evhttp_cmd_type method);

/// Copies libevent's header list.
Headers headers_of(evkeyvalq* list);

}  // namespace dockbend
