#include "usage/usage_totals.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {

u64 constexpr kWindowsToRememberProxies = 10;  // after the floor has passed a proxy's newest window

UsageRow make_row(u64 incarnation, UsageWindow window, TenantCounts const& counts) {
  UsageRow row;
  row.incarnation = incarnation;
  row.window = window;
  for (auto const& [tenant, count] : counts) {
    row.tenants.push_back(tenant);
    row.counts.push_back(count);
  }
  return row;
}

}  // namespace

UsageWindow usage_window_at(WallSeconds time, double period) {
  return UsageWindow(time <= 0 || period <= 0 ? 0 : static_cast<u64>(std::floor(time / period)));
}

void UsageCounter::count_request(std::string const& tenant, UsageWindow window) {
  ++counts_[window][tenant];
  changed_.insert(window);
}

UsageUpdate UsageCounter::take_update(UsageRows which) {
  UsageUpdate update;
  for (auto const& [window, counts] : counts_)
    if (which == UsageRows::all || changed_.count(window) > 0)
      update.rows.push_back(make_row(incarnation_, window, counts));
  changed_.clear();
  return update;
}

void UsageCounter::forget_before(UsageWindow window) {
  counts_.erase(counts_.begin(), counts_.lower_bound(window));
  changed_.erase(changed_.begin(), changed_.lower_bound(window));
}

u64 UsageCounter::count(std::string const& tenant, UsageWindow window) const {
  auto const counts = counts_.find(window);
  if (counts == counts_.end()) return 0;
  auto const count = counts->second.find(tenant);
  return count == counts->second.end() ? 0 : count->second;
}

bool UsageTotals::merge(UsageRow const& row) {
  if (row.window < floor_ || row.tenants.size() != row.counts.size()) return false;
  TenantCounts& counts = counts_[row.window][row.incarnation];
  UsageWindow& newest_window = newest_window_[row.incarnation];
  newest_window = std::max(newest_window, row.window);
  bool has_risen = false;
  for (std::size_t i = 0; i < row.tenants.size(); ++i) {
    u64& count = counts[row.tenants[i]];
    if (row.counts[i] <= count) continue;
    count = row.counts[i];
    has_risen = true;
  }
  if (has_risen) changed_.insert({row.window, row.incarnation});
  return has_risen;
}

TenantCounts UsageTotals::counts_by_tenant(UsageWindow window) const {
  TenantCounts totals;
  auto const of_window = counts_.find(window);
  if (of_window == counts_.end()) return totals;
  for (auto const& [incarnation, counts] : of_window->second)
    for (auto const& [tenant, count] : counts)
      totals[tenant] += count;
  return totals;
}

bool UsageTotals::is_complete(UsageWindow window) const {
  return std::none_of(newest_window_.begin(), newest_window_.end(), [&](auto const& entry) {
    UsageWindow const newest = entry.second;
    return newest.v + 1 >= window.v && newest <= window;
  });
}

UsageUpdate UsageTotals::take_update(UsageRows which) {
  UsageUpdate update;
  if (which == UsageRows::all) {
    for (auto const& [window, by_incarnation] : counts_)
      for (auto const& [incarnation, counts] : by_incarnation)
        update.rows.push_back(make_row(incarnation, window, counts));
  } else {
    for (auto const& [window, incarnation] : changed_)
      update.rows.push_back(make_row(incarnation, window, counts_[window][incarnation]));
  }
  changed_.clear();
  return update;
}

void UsageTotals::forget_before(UsageWindow window) {
  if (window <= floor_) return;
  floor_ = window;
  counts_.erase(counts_.begin(), counts_.lower_bound(window));
  changed_.erase(changed_.begin(), changed_.lower_bound({window, 0}));
  std::erase_if(newest_window_,
                [&](auto const& entry) { return entry.second.v + kWindowsToRememberProxies < window.v; });
}

std::string usage_report_body(UsageWindow window, TenantCounts const& counts) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  json.StartObject();
  json.Key("windowIndex");
  json.Uint64(window.v);
  json.Key("tallies");
  json.StartObject();
  for (auto const& [tenant, count] : counts) {
    json.Key(tenant.c_str(), static_cast<rapidjson::SizeType>(tenant.size()));
    json.Uint64(count);
  }
  json.EndObject();
  json.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize());
}

}  // namespace dockbend
