#include "quota/quota_client.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {

Seconds constexpr kRequestTimeout = 1.0;
Seconds constexpr kMinRequestInterval = 0.02;  // also if a client's request waits
Seconds constexpr kInUseFor = 1.0;             // after a tenant's newest request
Seconds constexpr kRateSmoothing = 0.5;
Seconds constexpr kLookahead = kQuotaRequestInterval + 0.1;  // until the next response
double constexpr kSurplusFactor = 2;                         // leased tokens above this many times the need go back
Seconds constexpr kDefaultRetryAfter = 0.1, kMinRetryAfter = 0.05, kMaxRetryAfter = 30.0;

}  // namespace

// ---- one rank ------------------------------------------------------------------------

double QuotaClient::RankQuota::available(Seconds now) {
  while (!leases.empty() && (leases.front().expires_at <= now || leases.front().tokens < 1))
    leases.pop_front();
  double sum = 0;
  for (LeasedTokens const& lease : leases)
    sum += lease.tokens;
  return sum;
}

std::optional<Seconds> QuotaClient::RankQuota::spend(Seconds now) {
  if (available(now) < 1) return std::nullopt;
  leases.front().tokens -= 1;
  return leases.front().expires_at;
}

void QuotaClient::RankQuota::put_back(Seconds expires_at) {
  // It keeps the end of its own lease, whatever was leased since.
  auto const later = std::find_if(leases.begin(), leases.end(),
                                  [&](LeasedTokens const& lease) { return lease.expires_at > expires_at; });
  leases.insert(later, LeasedTokens{1, expires_at});
}

void QuotaClient::RankQuota::update_rate(Seconds elapsed) {
  double const weight = std::min(1.0, elapsed / kRateSmoothing);
  wanted_rate += weight * (wanted / elapsed - wanted_rate);
}

double QuotaClient::RankQuota::needed(bool is_active) const {
  if (!is_active) return 0;
  double const expected = wanted_rate * kLookahead;
  return std::ceil(wanted > 0 ? std::max(1.0, expected) : expected);
}

double QuotaClient::RankQuota::return_surplus(double available, double needed) {
  double const surplus = std::floor(available - std::max(kSurplusFactor * needed, 1.0));
  double left = surplus;
  while (left >= 1 && !leases.empty()) {
    double const returned = std::min(left, leases.back().tokens);
    leases.back().tokens -= returned;
    left -= returned;
    if (leases.back().tokens < 1) leases.pop_back();
  }
  return std::max(0.0, surplus - std::max(0.0, left));
}

// ---- one tenant ----------------------------------------------------------------------

void QuotaClient::TenantQuota::resplit(double proxies, Seconds now) {
  split = split_quota(rule, proxies);
  own_tokens = std::min(own_tokens, split.own_burst);
  own_refilled_at = now;
}

QuotaClient::Token QuotaClient::TenantQuota::spend(bool is_high_rank, Seconds now) {
  own_tokens = std::min(split.own_burst, own_tokens + (now - own_refilled_at) * split.own_rate);
  own_refilled_at = now;
  // Leased tokens go first, as they end; those set aside are kept for a time without the allocator.
  if (is_high_rank)
    if (auto const expires_at = high.spend(now)) return {TokenSource::leased_high, *expires_at};
  if (auto const expires_at = low.spend(now)) return {TokenSource::leased_low, *expires_at};
  if (own_tokens < 1) return {};
  own_tokens -= 1;
  return {TokenSource::own, now};
}

QuotaDemand QuotaClient::TenantQuota::make_demand(std::string const& name, Seconds now) {
  Seconds const elapsed = std::max(kMinRequestInterval, now - rates_updated_at);
  rates_updated_at = now;
  bool const is_active = high.wanted + low.wanted > 0 || now - used_at < kInUseFor;
  QuotaDemand demand;
  demand.tenant = name;
  demand.spent = spent;
  demand.refused = refused;
  auto const add_rank = [&](RankQuota& rank, double& tokens_wanted) {
    rank.update_rate(elapsed);
    // Enough until the next response; more would only end unused here instead of being used elsewhere.
    double const available = rank.available(now), needed = rank.needed(is_active);
    tokens_wanted = std::max(0.0, needed - available);
    demand.back += rank.return_surplus(available, needed);
    rank.wanted = 0;
  };
  add_rank(high, demand.high);
  add_rank(low, demand.low);
  return demand;
}

// ---- the client ----------------------------------------------------------------------

void QuotaClient::set_rule(std::string const& tenant_name, QuotaRule rule, double proxies, Seconds now) {
  auto const [entry, is_new] = tenants_.try_emplace(tenant_name);
  TenantQuota& tenant = entry->second;
  if (!is_new && tenant.rule == rule && tenant.known_proxies == proxies) return;
  tenant.rule = rule;
  tenant.known_proxies = proxies;
  tenant.resplit(tenant.allocator_proxies > 0 ? std::max(proxies, tenant.allocator_proxies) : 0, now);
  if (is_new) tenant.rates_updated_at = now;
}

std::vector<std::string> QuotaClient::tenants() const {
  std::vector<std::string> names;
  for (auto const& [name, tenant] : tenants_)
    names.push_back(name);
  return names;
}

QuotaClient::Token QuotaClient::take(std::string const& tenant_name, bool is_high_rank, Seconds now) {
  auto const entry = tenants_.find(tenant_name);
  if (entry == tenants_.end()) return {TokenSource::own, now};
  TenantQuota& tenant = entry->second;
  tenant.used_at = now;
  (is_high_rank ? tenant.high : tenant.low).wanted += 1;
  Token const token = tenant.spend(is_high_rank, now);
  if (token) {
    ++tenant.spent;
    tenant.are_counts_reported = false;
  }
  return token;
}

void QuotaClient::give_back(std::string const& tenant_name, Token const& token, Seconds now) {
  auto const entry = tenants_.find(tenant_name);
  if (entry == tenants_.end() || !token) return;
  TenantQuota& tenant = entry->second;
  if (tenant.spent > 0) --tenant.spent;
  if (token.source == TokenSource::own) {
    tenant.own_tokens = std::min(tenant.split.own_burst, tenant.own_tokens + 1);
  } else if (token.expires_at > now) {
    (token.source == TokenSource::leased_high ? tenant.high : tenant.low).put_back(token.expires_at);
  }
}

u64 QuotaClient::await_tokens(std::string const& tenant_name, Seconds now) {
  if (auto const entry = tenants_.find(tenant_name); entry != tenants_.end()) entry->second.used_at = now;
  is_request_urgent_ = true;
  return seq_ + 1;
}

void QuotaClient::count_refusal(std::string const& tenant_name) {
  auto const entry = tenants_.find(tenant_name);
  if (entry == tenants_.end()) return;
  ++entry->second.refused;
  entry->second.are_counts_reported = false;
}

Seconds QuotaClient::retry_after(std::string const& tenant_name) const {
  auto const entry = tenants_.find(tenant_name);
  if (entry == tenants_.end()) return kDefaultRetryAfter;
  return std::clamp(entry->second.retry_after, kMinRetryAfter, kMaxRetryAfter);
}

bool QuotaClient::is_request_pending(Seconds now) const {
  return is_request_open_ && now - requested_at_ < kRequestTimeout;
}

bool QuotaClient::is_request_due(Seconds now) const {
  if (is_request_pending(now)) return false;
  if (is_request_urgent_ && now - requested_at_ >= kMinRequestInterval) return true;
  if (now - requested_at_ < kQuotaRequestInterval) return false;
  return std::any_of(tenants_.begin(), tenants_.end(), [&](auto const& entry) {
    TenantQuota const& tenant = entry.second;
    return now - tenant.used_at < kInUseFor || !tenant.are_counts_reported;
  });
}

QuotaLeaseRequest QuotaClient::make_request(Seconds now) {
  requested_at_ = now;
  is_request_open_ = true;
  is_request_urgent_ = false;
  QuotaLeaseRequest request;
  request.incarnation = incarnation_;
  request.seq = ++seq_;
  request.front = address_;
  for (auto& [name, tenant] : tenants_) {
    QuotaDemand demand = tenant.make_demand(name, now);
    if (demand.high + demand.low + demand.back > 0 || !tenant.are_counts_reported)
      request.wants.push_back(std::move(demand));
    tenant.are_counts_reported = true;
  }
  return request;
}

void QuotaClient::on_response(QuotaLeaseResponse const& response, Seconds now) {
  if (response.incarnation != incarnation_ || response.seq != seq_ || !is_request_open_) return;
  is_request_open_ = false;
  for (QuotaLease const& lease : response.loans) {
    auto const entry = tenants_.find(lease.tenant);
    if (entry == tenants_.end()) continue;
    TenantQuota& tenant = entry->second;
    // Counted from before it was asked for; a lease that has ended on its way is not taken.
    Seconds const expires_at = requested_at_ + lease.for_ms / 1000.0;
    if (expires_at > now) {
      if (lease.high >= 1) tenant.high.leases.push_back(LeasedTokens{lease.high, expires_at});
      if (lease.low >= 1) tenant.low.leases.push_back(LeasedTokens{lease.low, expires_at});
    }
    tenant.retry_after = lease.wait > 0 ? lease.wait : kDefaultRetryAfter;
    if (lease.proxies > 0 && lease.proxies != tenant.allocator_proxies) {
      tenant.allocator_proxies = lease.proxies;
      tenant.resplit(std::max(tenant.known_proxies, tenant.allocator_proxies), now);
    }
  }
}

void QuotaClient::on_request_lost() {
  requested_at_ = kLongAgo;
  is_request_open_ = false;
}

}  // namespace dockbend
