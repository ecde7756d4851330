/// Spends the tokens of the tenants' rate limits at one proxy, and leases them from the allocator. No I/O.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "quota/quota_messages.hpp"
#include "quota/quota_rule.hpp"

namespace dockbend {

/// One proxy's side of the rate limits.
///
/// Invariants: a token is spent once; a leased one not after its lease ended, counted from before it was asked for; a
/// response is taken once, and only to the newest request; a token given back by a request that never ran may be spent
/// again within its lease.
class QuotaClient {
 public:
  QuotaClient(u64 incarnation, std::string address) : incarnation_(incarnation), address_(std::move(address)) {}

  /// Sets or changes a tenant's limit. A new one starts with no tokens, and has none set aside before the allocator
  /// said how many proxies share it.
  /// @param proxies how many share it, as far as is known here
  void set_rule(std::string const& tenant_name, QuotaRule rule, double proxies, Seconds now);
  void remove_tenant(std::string const& tenant_name) { tenants_.erase(tenant_name); }
  bool has_tenant(std::string const& tenant_name) const { return tenants_.count(tenant_name) > 0; }
  std::vector<std::string> tenants() const;

  enum class TokenSource { none, own, leased_high, leased_low };
  /// The right to run one request; false if there was none.
  struct Token {
    TokenSource source = TokenSource::none;
    Seconds expires_at = 0;  // of a leased one: a token given back ends with its lease
    explicit operator bool() const { return source != TokenSource::none; }
  };
  /// Spends a token for one request. Requests of high rank may spend tokens leased for either rank. A tenant without a
  /// limit always gets one.
  Token take(std::string const& tenant_name, bool is_high_rank, Seconds now);
  /// The request that the token was taken for never ran.
  void give_back(std::string const& tenant_name, Token const& token, Seconds now);
  /// A request without a token waits for the allocator. Returns the seq of the response to wait for: that to the next
  /// quota request, as one that is already in flight does not ask for it.
  u64 await_tokens(std::string const& tenant_name, Seconds now);
  /// Counts a request that was refused for want of a token.
  void count_refusal(std::string const& tenant_name);
  /// After how many seconds a refused client should come back, by the allocator's newest response.
  Seconds retry_after(std::string const& tenant_name) const;

  /// Should a quota request be sent now? Never while no tenant is in use.
  bool is_request_due(Seconds now) const;
  /// The quota request to send now. If it has no demands it need not be sent: call on_request_lost() instead.
  QuotaLeaseRequest make_request(Seconds now);
  void on_response(QuotaLeaseResponse const& response, Seconds now);
  /// The request or its response was lost, or was not sent; another may follow at once.
  void on_request_lost();

 private:
  struct LeasedTokens {
    double tokens = 0;
    Seconds expires_at = 0;
  };
  /// What belongs to the requests of one rank.
  struct RankQuota {
    std::deque<LeasedTokens> leases;  // in the order of their ends
    double wanted = 0;                // tokens, since the newest quota request
    double wanted_rate = 0;           // a second, smoothed

    double available(Seconds now);
    /// Spends a token; the end of its lease, or nullopt if there was none.
    std::optional<Seconds> spend(Seconds now);
    void put_back(Seconds expires_at);
    void update_rate(Seconds elapsed);
    /// Tokens that it takes until the next response.
    double needed(bool is_active) const;
    /// Drops leased tokens that are far more than needed; how many.
    double return_surplus(double available, double needed);
  };
  struct TenantQuota {
    QuotaRule rule;
    double known_proxies = 0;      // how many share the limit, as known here
    double allocator_proxies = 0;  // as the allocator says; 0: it has not said yet
    QuotaSplit split;
    double own_tokens = 0;  // set aside for this proxy
    Seconds own_refilled_at = 0;
    RankQuota high, low;
    Seconds rates_updated_at = 0;
    Seconds retry_after = 0.2;
    Seconds used_at = kLongAgo;
    u64 spent = 0, refused = 0;
    bool are_counts_reported = true;

    void resplit(double proxies, Seconds now);
    Token spend(bool is_high_rank, Seconds now);
    QuotaDemand make_demand(std::string const& name, Seconds now);
  };

  bool is_request_pending(Seconds now) const;

  static constexpr Seconds kLongAgo = -1e9;

  u64 incarnation_;
  std::string address_;
  Seconds requested_at_ = kLongAgo;
  bool is_request_open_ = false;
  bool is_request_urgent_ = false;  // a client's request waits for tokens
  u64 seq_ = 0;                     // of the newest quota request
  std::map<std::string, TenantQuota> tenants_;
};

}  // namespace dockbend
