/// Admits requests by their tenant's rate limit. Tokens are leased from the allocator through the agent.
#pragma once
#include <vector>

#include "proxy/proxy_context.hpp"
#include "proxy/request_flow.hpp"
#include "quota/quota_client.hpp"

namespace dockbend {

/// The tenant's rate limit comes before every other decision about a request. A request without a token may wait once
/// for the allocator's next answer.
class QuotaGate {
 public:
  /// front: the proxy's address, which the allocator shows to operators.
  QuotaGate(ProxyContext& context, RequestFlow& flow, std::string front)
      : context_(context), flow_(flow), client_(context.incarnation, std::move(front)) {}

  /// Takes a token for the request, lets it wait for one, or refuses it.
  void admit(ProxiedRequest& request, Seconds now);
  /// Does the request still wait for a token? Then its timer means refuse().
  static bool is_waiting(ProxiedRequest const& request) { return request.has_waited_for_quota && !request.quota_token; }
  void refuse(ProxiedRequest& request);
  /// Gives the token of a request back that never ran.
  void refund(ProxiedRequest& request);

  /// Asks the allocator for tokens if that is due.
  void request_lease(Seconds now);
  void on_lease(QuotaLeaseResponse const& response);
  /// Follows the configuration and the number of proxies: one quota for every tenant with a rate limit.
  void update_rules(Seconds now);

 private:
  /// Every rank but the lowest that routes have may use the reserve.
  bool may_use_reserve(ProxiedRequest const& request) const;
  struct WaitingRequest {
    RequestsInFlight::Handle handle;
    u64 lease_request = 0;  // number of the lease request whose answer it waits for
  };
  ProxyContext& context_;
  RequestFlow& flow_;
  QuotaClient client_;
  std::vector<WaitingRequest> waiting_;
};

}  // namespace dockbend
