/// Leases the tokens of all tenants' rate limits to the proxies. No I/O.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "quota/quota_messages.hpp"
#include "quota/quota_rule.hpp"

namespace dockbend {

/// The allocator: one controller at a time has this role.
///
/// Invariants: a token is granted once; one that is returned is leased again only while its lease, on this clock, has
/// not ended; a new allocator starts with no tokens, and only after every lease of its predecessor has ended.
class QuotaAllocator {
 public:
  /// This node has the role. Every tenant and token known before is forgotten.
  /// @param first_grant_at when every lease of the predecessor has ended
  void open(Seconds first_grant_at);
  /// This node no longer has the role.
  void close();

  /// Sets or changes a tenant's limit.
  /// @param proxies how many share it
  void set_rule(std::string const& tenant_name, QuotaRule rule, double proxies, Seconds now);
  void remove_tenant(std::string const& tenant_name) { tenants_.erase(tenant_name); }
  std::vector<std::string> tenants() const;
  /// Answers a proxy: takes back what it returns and leases what it wants, as far as there are tokens.
  QuotaLeaseResponse grant(QuotaLeaseRequest const& request, Seconds now);

  /// What operators are shown of one tenant.
  struct TenantStatus {
    QuotaRule rule;
    double available = 0, leased = 0;  // tokens
    u64 spent = 0, refused = 0;
    std::map<std::string, double> leased_by_address;  // tokens by proxy
  };
  /// All zero if the tenant is not known.
  TenantStatus status(std::string const& tenant_name, Seconds now) const;

 private:
  struct LeasedTokens {
    double tokens = 0;
    Seconds expires_at = 0;
  };
  struct ProxyAllocation {
    std::string address;
    std::deque<LeasedTokens> leases;  // in the order of their ends
    u64 spent = 0, refused = 0;       // as last reported; they never fall
    Seconds heard_at = 0;
  };
  struct TenantAllocation {
    QuotaRule rule;
    double proxies = 1;
    QuotaSplit split;
    double available = 0;  // tokens; at most capacity()
    Seconds refilled_at = 0;
    std::unordered_map<u64, ProxyAllocation> by_incarnation;
    u64 departed_spent = 0, departed_refused = 0;  // of proxies that are no longer heard

    double capacity() const;
  };
  /// Tokens by rank.
  struct Grant {
    double high = 0, low = 0;
    double total() const { return high + low; }
  };

  void refill(TenantAllocation& tenant, Seconds now) const;
  QuotaLease answer_demand(TenantAllocation& tenant, QuotaLeaseRequest const& request, QuotaDemand const& demand,
                           Seconds now);
  static void take_back(TenantAllocation& tenant, ProxyAllocation& proxy, double returned);
  static std::size_t forget_silent_and_count_active(TenantAllocation& tenant, Seconds now);
  static Grant grant_tokens(TenantAllocation& tenant, QuotaDemand const& demand, std::size_t active_proxies);

  static constexpr Seconds kNever = 1e18;

  Seconds first_grant_at_ = kNever;
  std::map<std::string, TenantAllocation> tenants_;
};

}  // namespace dockbend
