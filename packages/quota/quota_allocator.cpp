#include "quota/quota_allocator.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {

double constexpr kNoTokens = 1e-9;        // less than this is a rounding error
double constexpr kFairShareFactor = 1.5;  // of an equal part, for one proxy in one answer
Seconds constexpr kActiveWithin = 2 * kQuotaRequestInterval;
Seconds constexpr kForgetProxyAfter = 60;
Seconds constexpr kMinRetryDelay = 0.05;

}  // namespace

/// A burst below one token would never fill up to a token.
double QuotaAllocator::TenantAllocation::capacity() const {
  return std::max(split.lent_burst, 1.0);
}

void QuotaAllocator::open(Seconds first_grant_at) {
  first_grant_at_ = first_grant_at;
  tenants_.clear();
}

void QuotaAllocator::close() {
  open(kNever);
}

void QuotaAllocator::set_rule(std::string const& tenant_name, QuotaRule rule, double proxies, Seconds now) {
  auto const [entry, is_new] = tenants_.try_emplace(tenant_name);
  TenantAllocation& tenant = entry->second;
  if (!is_new && tenant.rule == rule && tenant.proxies == proxies) return;
  refill(tenant, now);
  tenant.rule = rule;
  tenant.proxies = proxies;
  tenant.split = split_quota(rule, proxies);
  if (is_new) {
    tenant.available = 0;
    tenant.refilled_at = now;
  }
  tenant.available = std::min(tenant.available, tenant.split.lent_burst);
}

std::vector<std::string> QuotaAllocator::tenants() const {
  std::vector<std::string> names;
  for (auto const& [name, tenant] : tenants_)
    names.push_back(name);
  return names;
}

void QuotaAllocator::refill(TenantAllocation& tenant, Seconds now) const {
  Seconds const since = std::max(tenant.refilled_at, first_grant_at_);
  if (now > since)
    tenant.available = std::min(tenant.capacity(), tenant.available + (now - since) * tenant.split.lent_rate);
  tenant.refilled_at = std::max(tenant.refilled_at, now);
}

QuotaLeaseResponse QuotaAllocator::grant(QuotaLeaseRequest const& request, Seconds now) {
  QuotaLeaseResponse response;
  response.incarnation = request.incarnation;
  response.seq = request.seq;
  response.lender = true;
  for (QuotaDemand const& demand : request.wants)
    if (auto const tenant = tenants_.find(demand.tenant); tenant != tenants_.end())
      response.loans.push_back(answer_demand(tenant->second, request, demand, now));
  return response;
}

QuotaLease QuotaAllocator::answer_demand(TenantAllocation& tenant, QuotaLeaseRequest const& request,
                                         QuotaDemand const& demand, Seconds now) {
  refill(tenant, now);
  ProxyAllocation& proxy = tenant.by_incarnation[request.incarnation];
  proxy.address = request.front;
  proxy.heard_at = now;
  proxy.spent = std::max(proxy.spent, demand.spent);
  proxy.refused = std::max(proxy.refused, demand.refused);
  while (!proxy.leases.empty() && proxy.leases.front().expires_at <= now)
    proxy.leases.pop_front();
  take_back(tenant, proxy, demand.back);
  std::size_t const active_proxies = forget_silent_and_count_active(tenant, now);
  Grant const granted = now >= first_grant_at_ ? grant_tokens(tenant, demand, active_proxies) : Grant{};
  if (granted.total() > 0) proxy.leases.push_back(LeasedTokens{granted.total(), now + tenant.split.lease_duration});
  QuotaLease lease;
  lease.tenant = demand.tenant;
  lease.high = granted.high;
  lease.low = granted.low;
  lease.proxies = tenant.proxies;
  lease.for_ms = static_cast<u32>(tenant.split.lease_duration * 1000);
  if (demand.high + demand.low - granted.total() > 0) {
    double const tokens_ahead = std::max(1.0, 1.0 - tenant.available) * static_cast<double>(active_proxies);
    Seconds const until_first_grant = std::max(first_grant_at_ - now, 0.0);
    lease.wait = until_first_grant + std::max(kMinRetryDelay, tokens_ahead / tenant.split.lent_rate);
  }
  return lease;
}

/// Makes what a proxy returns unspent available again, newest lease first, as far as its leases have not ended.
void QuotaAllocator::take_back(TenantAllocation& tenant, ProxyAllocation& proxy, double returned) {
  while (returned > kNoTokens && !proxy.leases.empty()) {
    LeasedTokens& newest = proxy.leases.back();
    double const taken = std::min(returned, newest.tokens);
    newest.tokens -= taken;
    tenant.available = std::min(tenant.capacity(), tenant.available + taken);
    returned -= taken;
    if (newest.tokens > kNoTokens) return;
    proxy.leases.pop_back();
  }
}

/// How many proxies want tokens of this tenant now, at least one. Those that fell silent long ago are forgotten but for
/// their counts.
std::size_t QuotaAllocator::forget_silent_and_count_active(TenantAllocation& tenant, Seconds now) {
  std::size_t active = 0;
  for (auto proxy = tenant.by_incarnation.begin(); proxy != tenant.by_incarnation.end();) {
    Seconds const silent_for = now - proxy->second.heard_at;
    if (silent_for > kForgetProxyAfter) {
      tenant.departed_spent += proxy->second.spent;
      tenant.departed_refused += proxy->second.refused;
      proxy = tenant.by_incarnation.erase(proxy);
    } else {
      active += silent_for < kActiveWithin ? 1 : 0;
      ++proxy;
    }
  }
  return std::max<std::size_t>(1, active);
}

QuotaAllocator::Grant QuotaAllocator::grant_tokens(TenantAllocation& tenant, QuotaDemand const& demand,
                                                   std::size_t active_proxies) {
  // No proxy takes everything while others ask too.
  double const fair_share = std::max(1.0, tenant.available / static_cast<double>(active_proxies) * kFairShareFactor);
  auto const take = [&](double wanted, double kept_back) {
    double const tokens = std::floor(std::min({wanted, fair_share, tenant.available - kept_back}) + kNoTokens);
    if (tokens < 1) return 0.0;
    tenant.available -= tokens;
    return tokens;
  };
  Grant granted;
  granted.high = take(demand.high, 0);
  granted.low = take(demand.low, tenant.rule.reserve * tenant.capacity());
  return granted;
}

QuotaAllocator::TenantStatus QuotaAllocator::status(std::string const& tenant_name, Seconds now) const {
  TenantStatus status;
  auto const entry = tenants_.find(tenant_name);
  if (entry == tenants_.end()) return status;
  TenantAllocation tenant = entry->second;
  refill(tenant, now);
  status.rule = tenant.rule;
  status.available = tenant.available;
  status.spent = tenant.departed_spent;
  status.refused = tenant.departed_refused;
  for (auto const& [incarnation, proxy] : tenant.by_incarnation) {
    status.spent += proxy.spent;
    status.refused += proxy.refused;
    double leased = 0;
    for (LeasedTokens const& lease : proxy.leases)
      leased += lease.expires_at > now ? lease.tokens : 0;
    if (leased > 0) status.leased_by_address[proxy.address] += leased;
    status.leased += leased;
  }
  return status;
}

}  // namespace dockbend
