/// What a proxy's QuotaClient and the QuotaAllocator send each other.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// How often a client asks the allocator while its tenants are in use.
inline constexpr Seconds kQuotaRequestInterval = 0.25;

/// One tenant at one proxy: tokens wanted for requests of high and low rank, leased tokens returned unspent, and, since
/// the proxy's start, tokens spent and requests refused.
struct QuotaDemand {
  DB_RECORD(QuotaDemand, (std::string, tenant), (double, high), (double, low), (double, back), (u64, spent),
            (u64, refused));
};
/// `seq` rises with each request of one proxy process; `front` is the proxy's address.
struct QuotaLeaseRequest {
  DB_RECORD(QuotaLeaseRequest, (u64, incarnation), (u64, seq), (std::string, front), (std::vector<QuotaDemand>, wants));
};
/// One tenant's leased tokens, valid for `for_ms` milliseconds from before the request; `wait`: seconds until tokens
/// that are not leased now may be there (0: nothing is lacking); `proxies`: how many share the limit.
struct QuotaLease {
  DB_RECORD(QuotaLease, (std::string, tenant), (double, high), (double, low), (double, wait), (u32, for_ms),
            (double, proxies));
};
/// Answers the request with that incarnation and seq. `lender`: the sender is the allocator; false: it no longer is.
struct QuotaLeaseResponse {
  DB_RECORD(QuotaLeaseResponse, (u64, incarnation), (u64, seq), (bool, lender), (std::vector<QuotaLease>, loans));
};

}  // namespace dockbend
