#include "quota/quota_rule.hpp"

#include <algorithm>

namespace dockbend {
namespace {

double constexpr kOwnShare = 0.1;               // of a limit, set aside for proxies that can't reach the allocator
double constexpr kUnknownProxiesFactor = 1.25;  // proxies that we have not heard of yet share too
Seconds constexpr kMaxLeaseDuration = 1.0;
double constexpr kMaxBurstShareInLeases = 0.5;

}  // namespace

QuotaSplit split_quota(QuotaRule const& rule, double proxies) {
  double const sharers = std::max(1.0, proxies * kUnknownProxiesFactor);
  // Less than one token each is of no use to anyone; then everything is leased.
  bool const is_worth_setting_aside = proxies > 0 && rule.burst * kOwnShare / sharers >= 1;
  double const own_share = is_worth_setting_aside ? kOwnShare : 0;
  QuotaSplit split;
  split.own_rate = rule.rate * own_share / sharers;
  split.own_burst = rule.burst * own_share / sharers;
  split.lent_rate = rule.rate * (1 - own_share);
  double const leased_burst = rule.burst * (1 - own_share);
  split.lease_duration = std::min(kMaxLeaseDuration, kMaxBurstShareInLeases * leased_burst / split.lent_rate);
  split.lent_burst = std::max(0.0, leased_burst - split.lent_rate * split.lease_duration);
  return split;
}

}  // namespace dockbend
