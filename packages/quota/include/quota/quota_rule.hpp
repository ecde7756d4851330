/// A tenant's rate limit and how it is split between the allocator and the proxies.
#pragma once
#include "base/types.hpp"

namespace dockbend {

/// A tenant's rate limit over all proxies. One token is one request.
struct QuotaRule {
  double rate = 0, burst = 0;  // tokens a second; the most that may be spent at once
  double reserve = 0;          // share of the burst kept for requests of high rank
  friend bool operator==(QuotaRule const&, QuotaRule const&) = default;
};

/// How one tenant's limit is split. An equal part of a small share is set aside for each proxy, so that one behind a
/// partition is not without; the rest is leased by the allocator.
///
/// Invariant, over any span of t seconds:
///   granted <= lent_rate * (t + lease_duration) + lent_burst   and
///   lent_burst + lent_rate * lease_duration = leased share of the burst,
/// so what all proxies spend is at most rate * t + burst.
struct QuotaSplit {
  double own_rate = 0, own_burst = 0;    // set aside for one proxy: tokens a second, tokens at most
  double lent_rate = 0, lent_burst = 0;  // the allocator's
  Seconds lease_duration = 0;            // of leased tokens
};
/// @param proxies how many share the limit; 0: not known yet, nothing is set aside
QuotaSplit split_quota(QuotaRule const& rule, double proxies);

}  // namespace dockbend
