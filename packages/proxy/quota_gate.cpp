#include "proxy/quota_gate.hpp"

#include <algorithm>
#include <set>

namespace dockbend {
namespace {
/// How long a request waits for the allocator: this part of its latency target, and at least the given time.
double constexpr kWaitPartOfTarget = 0.2;
Seconds constexpr kShortestWait = 0.02;
}  // namespace

void QuotaGate::admit(ProxiedRequest& request, Seconds now) {
  if (!request.tenant || !client_.has_tenant(request.tenant->name))
    return flow_.carry_out(request, request.machine.on_quota_granted());
  std::string const& tenant = request.tenant->name;
  request.quota_token = client_.take(tenant, may_use_reserve(request), now);
  if (request.quota_token) return flow_.carry_out(request, request.machine.on_quota_granted());
  // The allocator may have tokens: it is asked at once, and its answer is waited for as long as that is of use to
  // the client. After that answer nothing waits.
  if (!request.has_waited_for_quota && context_.agent.up()) {
    request.has_waited_for_quota = true;
    waiting_.push_back({request.handle, client_.await_tokens(tenant, now)});
    request_lease(now);
    return request.set_timer(
        std::min(request.deadline(), now + std::max(kShortestWait, kWaitPartOfTarget * request.route->latency_target)));
  }
  refuse(request);
}

bool QuotaGate::may_use_reserve(ProxiedRequest const& request) const {
  return request.route->rank < context_.configuration.lowest_rank();
}

void QuotaGate::refuse(ProxiedRequest& request) {
  client_.count_refusal(request.tenant->name);
  flow_.carry_out(request, request.machine.on_quota_refused(client_.retry_after(request.tenant->name)));
}

void QuotaGate::refund(ProxiedRequest& request) {
  if (!request.quota_token || !request.tenant) return;
  client_.give_back(request.tenant->name, request.quota_token, steady_now());
  request.quota_token = {};
}

void QuotaGate::request_lease(Seconds now) {
  if (!context_.agent.up() || !client_.is_request_due(now)) return;
  QuotaLeaseRequest const message = client_.make_request(now);
  if (message.wants.empty()) return client_.on_request_lost();
  context_.agent.send(MessageType::quota_lease_request, 0, message);
}

void QuotaGate::on_lease(QuotaLeaseResponse const& response) {
  Seconds const now = steady_now();
  client_.on_response(response, now);
  std::vector<WaitingRequest> waiting;
  waiting.swap(waiting_);
  for (WaitingRequest const& entry : waiting) {
    ProxiedRequest* const request = context_.requests.find(entry.handle);
    if (request == nullptr || !is_waiting(*request)) continue;
    if (entry.lease_request > response.seq)
      waiting_.push_back(entry);
    else
      admit(*request, now);
  }
  request_lease(now);
}

void QuotaGate::update_rules(Seconds now) {
  std::set<std::string> limited;
  for (TenantPtr const& tenant : context_.configuration.tenants()) {
    if (!tenant->allowance) continue;
    limited.insert(tenant->name);
    QuotaRule const rule{tenant->allowance->rate, tenant->allowance->burst, tenant->allowance->reserve.value_or(0)};
    client_.set_rule(tenant->name, rule, context_.load_balancer.proxy_count(), now);
  }
  for (std::string const& name : client_.tenants())
    if (limited.count(name) == 0) client_.remove_tenant(name);
}

}  // namespace dockbend
