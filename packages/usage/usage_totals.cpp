#include "usage/usage_totals.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>

namespace dockbend {

UsageWindow window_of(WallSeconds t, double period_s) {
  return UsageWindow(t <= 0 || period_s <= 0 ? 0 : static_cast<u64>(std::floor(t / period_s)));
}

namespace {
UsageRow row_of(u64 incarnation, UsageWindow w, std::map<std::string, u64> const& m) {
  UsageRow r;
  r.incarnation = incarnation;
  r.window = w;
  for (auto const& [t, n] : m) {
    r.tenants.push_back(t);
    r.counts.push_back(n);
  }
  return r;
}
}  // namespace

void UsageCounter::began(std::string const& tenant, UsageWindow w) {
  ++m_[w][tenant];
  dirty_.insert(w);
}

UsageUpdate UsageCounter::take(bool all) {
  UsageUpdate n;
  for (auto const& [w, m] : m_)
    if (all || dirty_.count(w) > 0) n.rows.push_back(row_of(incarnation_, w, m));
  dirty_.clear();
  return n;
}

void UsageCounter::forget(UsageWindow before) {
  m_.erase(m_.begin(), m_.lower_bound(before));
  dirty_.erase(dirty_.begin(), dirty_.lower_bound(before));
}

u64 UsageCounter::count(std::string const& tenant, UsageWindow w) const {
  auto const it = m_.find(w);
  if (it == m_.end()) return 0;
  auto const t = it->second.find(tenant);
  return t == it->second.end() ? 0 : t->second;
}

bool UsageTotals::join(UsageRow const& r) {
  if (r.window < floor_ || r.tenants.size() != r.counts.size()) return false;
  Row& row = m_[r.window][r.incarnation];
  UsageWindow& last = newest_[r.incarnation];
  last = std::max(last, r.window);
  bool news = false;
  for (std::size_t i = 0; i < r.tenants.size(); ++i) {
    u64& n = row[r.tenants[i]];
    if (r.counts[i] <= n) continue;
    n = r.counts[i];
    news = true;
  }
  if (news) dirty_.insert({r.window, r.incarnation});
  return news;
}

std::map<std::string, u64> UsageTotals::sum(UsageWindow w) const {
  std::map<std::string, u64> out;
  auto const it = m_.find(w);
  if (it == m_.end()) return out;
  for (auto const& [incarnation, row] : it->second)
    for (auto const& [t, n] : row)
      out[t] += n;
  return out;
}

bool UsageTotals::complete(UsageWindow w) const {
  for (auto const& [incarnation, last] : newest_)
    if (last.v + 1 >= w.v && last <= w) return false;
  return true;
}

UsageUpdate UsageTotals::take(bool all) {
  UsageUpdate n;
  if (all) {
    for (auto const& [w, lives] : m_)
      for (auto const& [incarnation, row] : lives)
        n.rows.push_back(row_of(incarnation, w, row));
  } else {
    for (auto const& [w, incarnation] : dirty_)
      n.rows.push_back(row_of(incarnation, w, m_[w][incarnation]));
  }
  dirty_.clear();
  return n;
}

void UsageTotals::forget(UsageWindow before) {
  if (before <= floor_) return;
  floor_ = before;
  m_.erase(m_.begin(), m_.lower_bound(before));
  dirty_.erase(dirty_.begin(), dirty_.lower_bound({before, 0}));
  std::erase_if(newest_, [&](auto const& x) { return x.second.v + 10 < before.v; });
}

std::string usage_body(UsageWindow w, std::map<std::string, u64> const& sum) {
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> j(sb);
  j.StartObject();
  j.Key("windowIndex");
  j.Uint64(w.v);
  j.Key("tallies");
  j.StartObject();
  for (auto const& [t, n] : sum) {
    j.Key(t.c_str(), static_cast<rapidjson::SizeType>(t.size()));
    j.Uint64(n);
  }
  j.EndObject();
  j.EndObject();
  return std::string(sb.GetString(), sb.GetSize());
}

}  // namespace dockbend
