// Counts of errands by tenant and window, joined over all proxies. No I/O.
#pragma once
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/record.hpp"
#include "usage/median_clock.hpp"
#include "wire/codec.hpp"

namespace dockbend {

using UsageWindow = Strong<u64, struct UsageWindowTag>;
UsageWindow window_of(WallSeconds t, double period_s);

// Running totals of one proxy's life in one window.
struct UsageRow {
  DB_RECORD(UsageRow, (u64, incarnation), (UsageWindow, window), (std::vector<std::string>, tenants),
            (std::vector<u64>, counts));
};
struct UsageUpdate {
  DB_RECORD(UsageUpdate, (std::vector<UsageRow>, rows));
};

// A proxy's side. Invariant: a count never falls, so that whoever joins by maximum
// has each errand once.
class UsageCounter {
 public:
  explicit UsageCounter(u64 incarnation) : incarnation_(incarnation) {}
  void began(std::string const& tenant, UsageWindow w);
  // Rows that changed since they were last taken; all of them if `all`.
  UsageUpdate take(bool all);
  void forget(UsageWindow before);
  u64 count(std::string const& tenant, UsageWindow w) const;

 private:
  u64 incarnation_;
  std::map<UsageWindow, std::map<std::string, u64>> m_;
  std::set<UsageWindow> dirty_;
};

// The joined totals. Invariants: for one (life, window, tenant) the maximum of all
// that was said holds, so rows may come late, twice and in any order; nothing is kept
// of windows before the floor.
class UsageTotals {
 public:
  // True if the row brought news.
  bool join(UsageRow const& r);
  std::map<std::string, u64> sum(UsageWindow w) const;
  // Has every proxy that counted in w, or just before it, gone on to a later window?
  bool complete(UsageWindow w) const;
  UsageWindow first() const { return m_.empty() ? UsageWindow() : m_.begin()->first; }
  // Rows changed since the last call; all rows if `all`.
  UsageUpdate take(bool all);
  void forget(UsageWindow before);

 private:
  using Row = std::map<std::string, u64>;
  UsageWindow floor_;
  std::map<UsageWindow, std::unordered_map<u64, Row>> m_;
  std::set<std::pair<UsageWindow, u64>> dirty_;
  std::unordered_map<u64, UsageWindow> newest_;  // by life; kept for a while after the rows
};

// The body of a window's report. The same totals give the same bytes.
std::string usage_body(UsageWindow w, std::map<std::string, u64> const& sum);

}  // namespace dockbend
