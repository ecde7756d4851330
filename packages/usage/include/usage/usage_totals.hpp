/// Requests counted by tenant and window, merged over all proxies. No I/O.
#pragma once
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/record.hpp"
#include "usage/median_clock.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// Number of a reporting window: windows of one period follow each other from the start of 1970.
using UsageWindow = Strong<u64, struct UsageWindowTag>;
/// The window of that time; 0 if the time or the period (in seconds) is not above 0.
UsageWindow usage_window_at(WallSeconds time, double period);

/// Requests by tenant.
using TenantCounts = std::map<std::string, u64>;

/// What one proxy process has counted in one window so far: tenants[i] has counts[i].
struct UsageRow {
  DB_RECORD(UsageRow, (u64, incarnation), (UsageWindow, window), (std::vector<std::string>, tenants),
            (std::vector<u64>, counts));
};
struct UsageUpdate {
  DB_RECORD(UsageUpdate, (std::vector<UsageRow>, rows));
};

/// Which rows an update carries: those that changed since the update before, or all.
enum class UsageRows { changed, all };

/// A proxy's counts. Invariant: a count never falls, so that merging by maximum counts each request once.
class UsageCounter {
 public:
  explicit UsageCounter(u64 incarnation) : incarnation_(incarnation) {}
  void count_request(std::string const& tenant, UsageWindow window);
  /// The rows to send now; they no longer count as changed.
  UsageUpdate take_update(UsageRows which);
  void forget_before(UsageWindow window);
  u64 count(std::string const& tenant, UsageWindow window) const;

 private:
  u64 incarnation_;
  std::map<UsageWindow, TenantCounts> counts_;
  std::set<UsageWindow> changed_;
};

/// Counts merged over all proxies. Invariants: for one (incarnation, window, tenant) the maximum of all that was
/// received counts, so rows may come late, twice and in any order; nothing is kept of windows before the floor.
class UsageTotals {
 public:
  /// True if the row raised a count. A row of a forgotten window, or with lists of different lengths, is ignored.
  bool merge(UsageRow const& row);
  TenantCounts counts_by_tenant(UsageWindow window) const;
  /// Has every proxy that counted in this window, or in the one before, gone on to a later one?
  bool is_complete(UsageWindow window) const;
  /// The oldest window with counts; 0: none.
  UsageWindow first_window() const { return counts_.empty() ? UsageWindow() : counts_.begin()->first; }
  /// The rows to pass on now; they no longer count as changed.
  UsageUpdate take_update(UsageRows which);
  /// Raises the floor: windows before this one are forgotten and never taken in again.
  void forget_before(UsageWindow window);

 private:
  UsageWindow floor_;
  std::map<UsageWindow, std::unordered_map<u64, TenantCounts>> counts_;  // by window, by incarnation
  std::set<std::pair<UsageWindow, u64>> changed_;                        // window, incarnation
  std::unordered_map<u64, UsageWindow> newest_window_;  // by incarnation; kept for some windows after its rows
};

/// The JSON body of a window's report. The same counts give the same bytes.
std::string usage_report_body(UsageWindow window, TenantCounts const& counts);

}  // namespace dockbend
