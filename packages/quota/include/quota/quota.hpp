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

struct BudgetRule {
  double rate = 0, burst = 0;  // tokens a second; the most that may be spent at once
  double reserve = 0;          // share of the burst kept for errands of high rank
  friend bool operator==(BudgetRule const&, BudgetRule const&) = default;
};

// How one budget is cut: `own` is set aside in equal parts for the proxies, so that
// one that is cut off is not without; the rest is lent. Invariant, over any span t:
//   granted <= lent_rate * (t + lease) + lent_depth  and  lent_depth + lent_rate * lease
//   = lent share of the burst, so what all proxies spend is at most rate * t + burst.
struct Cut {
  double own_rate = 0, own_depth = 0;    // one proxy's
  double lent_rate = 0, lent_depth = 0;  // the lender's
  Secs lease = 0;
};
Cut cut_of(BudgetRule const& r, double proxies);

struct Want {  // of one tenant, at one proxy
  DB_RECORD(Want, (std::string, tenant), (double, high), (double, low), (double, back), (u64, spent), (u64, refused));
};
struct LoanAsk {
  DB_RECORD(LoanAsk, (u64, life), (u64, seq), (std::string, front), (std::vector<Want>, wants));
};
struct Loan {
  DB_RECORD(Loan, (std::string, tenant), (double, high), (double, low), (double, wait), (u32, for_ms),
            (double, proxies));
};
struct LoanRet {
  DB_RECORD(LoanRet, (u64, life), (u64, seq), (bool, lender), (std::vector<Loan>, loans));
};

// The lender's side. Invariants: a token is granted once; one that comes back is lent
// again only while its lease, on this clock, has not ended; a new lender begins with
// nothing and only after every lease of the one before has ended.
class Lender {
 public:
  // opens_at: when this lender may first lend.
  void open(Secs opens_at) {
    opens_ = opens_at;
    m_.clear();
  }
  void rule(std::string const& tenant, BudgetRule r, double proxies, Secs now);
  void drop(std::string const& tenant) { m_.erase(tenant); }
  bool has(std::string const& tenant) const { return m_.count(tenant) > 0; }
  std::vector<std::string> tenants() const;
  LoanRet ask(LoanAsk const& a, Secs now);

  struct Seen {  // what is shown to operators
    BudgetRule rule;
    double level = 0, lent = 0, proxies = 0;
    u64 spent = 0, refused = 0;
    std::map<std::string, double> lent_by;  // gateway -> tokens out
  };
  Seen show(std::string const& tenant, Secs now) const;

 private:
  struct Out {
    double n = 0;
    Secs until = 0;
  };
  struct Gate {
    std::string front;
    std::deque<Out> out;
    u64 spent = 0, refused = 0;
    Secs heard = 0;
  };
  struct Purse {
    BudgetRule rule;
    double proxies = 1;
    Cut cut;
    double level = 0;
    Secs at = 0;
    std::unordered_map<u64, Gate> gates;  // by life
    u64 past_spent = 0, past_refused = 0;
  };
  void fill(Purse& p, Secs now) const;
  Secs opens_ = 1e18;
  std::map<std::string, Purse> m_;
};

// A proxy's side. Invariants: a token is spent once; a borrowed one not after its
// lease ended, counted from before it was asked for; an answer is taken once, and only
// to the newest ask; a token given back by an errand
// that never ran may be spent again in its lease.
class Borrower {
 public:
  explicit Borrower(u64 life, std::string front) : life_(life), front_(std::move(front)) {}
  void front(std::string f) { front_ = std::move(f); }
  // Sets or changes a tenant's budget; a new one begins with nothing, and has nothing
  // of its own before a lender said how many share.
  void rule(std::string const& tenant, BudgetRule r, double proxies, Secs now);
  void drop(std::string const& tenant) { m_.erase(tenant); }
  bool has(std::string const& tenant) const { return m_.count(tenant) > 0; }
  std::vector<std::string> tenants() const;

  enum class Take { own, lent_high, lent_low, no };
  struct Token {
    Take from = Take::no;
    Secs until = 0;  // of its lease; a token given back ends with it
    explicit operator bool() const { return from != Take::no; }
  };
  Token take(std::string const& tenant, bool high, Secs now);
  void give_back(std::string const& tenant, Token const& t, Secs now);
  // An errand waits for the answer to the next ask, whose number is returned: one that is
  // already on its way knows nothing of it.
  u64 waits(std::string const& tenant, Secs now);
  void refused(std::string const& tenant);
  // When to come back, from what the lender last said.
  Secs wait_of(std::string const& tenant) const;

  // What to ask the lender now: nothing while nothing is wanted.
  bool due(Secs now) const;
  LoanAsk ask(Secs now);
  void got(LoanRet const& r, Secs now);
  void lost() {
    asked_ = -1e9;
    asking_ = false;
  }  // the ask or its answer went lost
  bool asking(Secs now) const { return asking_ && now - asked_ < 1.0; }

 private:
  struct Lot {
    double n = 0;
    Secs until = 0;
  };
  struct Purse {
    BudgetRule rule;
    double proxies = 0, said = 0;  // how many share, as known here and as the lender says
    Cut cut;
    double own = 0;
    Secs own_at = 0;
    std::deque<Lot> high, low;
    double want_high = 0, want_low = 0;  // seen since the last ask
    double rate_high = 0, rate_low = 0;  // smoothed, a second
    Secs rate_at = 0, wait = 0.2, used_at = -1e9;
    u64 spent = 0, refused = 0;
    bool told = true;
  };
  static double sum(std::deque<Lot>& l, Secs now);
  static Secs pop(std::deque<Lot>& l, Secs now);  // the lease's end; < 0: none left
  double room(Purse const& p) const;
  u64 life_;
  std::string front_;
  Secs asked_ = -1e9;
  bool asking_ = false, eager_ = false;
  u64 seq_ = 0;
  std::map<std::string, Purse> m_;
};

}  // namespace dockbend
