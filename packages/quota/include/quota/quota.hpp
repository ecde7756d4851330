// One budget per partner over all gateways: a lender leases tokens, proxies spend
// them. No I/O.
#pragma once
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/record.hpp"
#include "wire/codec.hpp"

namespace dockbend {

struct QuotaRule {
  double rate = 0, burst = 0;  // tokens a second; the most that may be spent at once
  double reserve = 0;          // share of the burst kept for errands of high rank
  friend bool operator==(QuotaRule const&, QuotaRule const&) = default;
};

// How one budget is cut: `own` is set aside in equal parts for the proxies, so that
// one that is cut off is not without; the rest is lent. Invariant, over any span t:
//   granted <= lent_rate * (t + lease) + lent_depth  and  lent_depth + lent_rate * lease
//   = lent share of the burst, so what all proxies spend is at most rate * t + burst.
struct QuotaSplit {
  double own_rate = 0, own_depth = 0;    // one proxy's
  double lent_rate = 0, lent_depth = 0;  // the lender's
  Seconds lease = 0;
};
QuotaSplit split_quota(QuotaRule const& r, double proxies);

struct QuotaDemand {  // of one tenant, at one proxy
  DB_RECORD(QuotaDemand, (std::string, tenant), (double, high), (double, low), (double, back), (u64, spent),
            (u64, refused));
};
struct QuotaLeaseRequest {
  DB_RECORD(QuotaLeaseRequest, (u64, incarnation), (u64, seq), (std::string, front), (std::vector<QuotaDemand>, wants));
};
struct QuotaLease {
  DB_RECORD(QuotaLease, (std::string, tenant), (double, high), (double, low), (double, wait), (u32, for_ms),
            (double, proxies));
};
struct QuotaLeaseResponse {
  DB_RECORD(QuotaLeaseResponse, (u64, incarnation), (u64, seq), (bool, lender), (std::vector<QuotaLease>, loans));
};

// The lender's side. Invariants: a token is granted once; one that comes back is lent
// again only while its lease, on this clock, has not ended; a new lender begins with
// nothing and only after every lease of the one before has ended.
class QuotaAllocator {
 public:
  // opens_at: when this lender may first lend.
  void open(Seconds opens_at) {
    opens_ = opens_at;
    m_.clear();
  }
  void rule(std::string const& tenant, QuotaRule r, double proxies, Seconds now);
  void drop(std::string const& tenant) { m_.erase(tenant); }
  bool has(std::string const& tenant) const { return m_.count(tenant) > 0; }
  std::vector<std::string> tenants() const;
  QuotaLeaseResponse ask(QuotaLeaseRequest const& a, Seconds now);

  struct Seen {  // what is shown to operators
    QuotaRule rule;
    double level = 0, lent = 0, proxies = 0;
    u64 spent = 0, refused = 0;
    std::map<std::string, double> lent_by;  // gateway -> tokens out
  };
  Seen show(std::string const& tenant, Seconds now) const;

 private:
  struct Out {
    double n = 0;
    Seconds until = 0;
  };
  struct Gate {
    std::string front;
    std::deque<Out> out;
    u64 spent = 0, refused = 0;
    Seconds heard = 0;
  };
  struct TenantQuota {
    QuotaRule rule;
    double proxies = 1;
    QuotaSplit cut;
    double level = 0;
    Seconds at = 0;
    std::unordered_map<u64, Gate> gates;  // by life
    u64 past_spent = 0, past_refused = 0;
  };
  void fill(TenantQuota& p, Seconds now) const;
  Seconds opens_ = 1e18;
  std::map<std::string, TenantQuota> m_;
};

// A proxy's side. Invariants: a token is spent once; a borrowed one not after its
// lease ended, counted from before it was asked for; an answer is taken once, and only
// to the newest ask; a token given back by an errand
// that never ran may be spent again in its lease.
class QuotaClient {
 public:
  explicit QuotaClient(u64 incarnation, std::string front) : incarnation_(incarnation), front_(std::move(front)) {}
  void front(std::string f) { front_ = std::move(f); }
  // Sets or changes a tenant's budget; a new one begins with nothing, and has nothing
  // of its own before a lender said how many share.
  void rule(std::string const& tenant, QuotaRule r, double proxies, Seconds now);
  void drop(std::string const& tenant) { m_.erase(tenant); }
  bool has(std::string const& tenant) const { return m_.count(tenant) > 0; }
  std::vector<std::string> tenants() const;

  enum class Take { own, lent_high, lent_low, no };
  struct Token {
    Take from = Take::no;
    Seconds until = 0;  // of its lease; a token given back ends with it
    explicit operator bool() const { return from != Take::no; }
  };
  Token take(std::string const& tenant, bool high, Seconds now);
  void give_back(std::string const& tenant, Token const& t, Seconds now);
  // An errand waits for the answer to the next ask, whose number is returned: one that is
  // already on its way knows nothing of it.
  u64 waits(std::string const& tenant, Seconds now);
  void refused(std::string const& tenant);
  // When to come back, from what the lender last said.
  Seconds wait_of(std::string const& tenant) const;

  // What to ask the lender now: nothing while nothing is wanted.
  bool due(Seconds now) const;
  QuotaLeaseRequest ask(Seconds now);
  void got(QuotaLeaseResponse const& r, Seconds now);
  void lost() {
    asked_ = -1e9;
    asking_ = false;
  }  // the ask or its answer went lost
  bool asking(Seconds now) const { return asking_ && now - asked_ < 1.0; }

 private:
  struct Lot {
    double n = 0;
    Seconds until = 0;
  };
  struct TenantQuota {
    QuotaRule rule;
    double proxies = 0, said = 0;  // how many share, as known here and as the lender says
    QuotaSplit cut;
    double own = 0;
    Seconds own_at = 0;
    std::deque<Lot> high, low;
    double want_high = 0, want_low = 0;  // seen since the last ask
    double rate_high = 0, rate_low = 0;  // smoothed, a second
    Seconds rate_at = 0, wait = 0.2, used_at = -1e9;
    u64 spent = 0, refused = 0;
    bool told = true;
  };
  static double sum(std::deque<Lot>& l, Seconds now);
  static Seconds pop(std::deque<Lot>& l, Seconds now);  // the lease's end; < 0: none left
  double room(TenantQuota const& p) const;
  u64 incarnation_;
  std::string front_;
  Seconds asked_ = -1e9;
  bool asking_ = false, eager_ = false;
  u64 seq_ = 0;
  std::map<std::string, TenantQuota> m_;
};

}  // namespace dockbend
