#include "directory/nearest_selector.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {
// Tiers by distance; a busy proxy is as many tiers further away.
int constexpr kSameZone = 0;
int constexpr kSameRegion = 1;
int constexpr kElsewhere = 2;
int constexpr kBusyPenalty = 3;
double constexpr kMinCapacityLeft = 0.05;  // so that a proxy with full load is still drawn at times

struct RatedEntry {
  ProxyEntry const* entry;
  int tier;
  double draw;
};

int distance_of(ProxyEntry const& entry, ClientContext const& client) {
  if (entry.zone == client.zone) return kSameZone;
  return entry.region == client.region ? kSameRegion : kElsewhere;
}

/// A weighted draw: a proxy with more capacity left gets a high number more often.
double draw_by_capacity(ProxyEntry const& entry) {
  double const left = std::max(kMinCapacityLeft, 1.0 - entry.load);
  return std::pow(random01(), 1.0 / (left * left));
}

std::vector<RatedEntry> rate(std::vector<ProxyEntry const*> const& table, ClientContext const& client,
                             double busy_load) {
  std::vector<RatedEntry> rated;
  for (ProxyEntry const* entry : table) {
    int const penalty = entry->load > busy_load ? kBusyPenalty : 0;
    rated.push_back({entry, distance_of(*entry, client) + penalty, draw_by_capacity(*entry)});
  }
  std::sort(rated.begin(), rated.end(), [](RatedEntry const& a, RatedEntry const& b) {
    return a.tier != b.tier ? a.tier < b.tier : a.draw > b.draw;
  });
  return rated;
}

/// Mean load of the proxies in the client's zone; 0 if there are none.
double zone_load(std::vector<ProxyEntry const*> const& table, ClientContext const& client) {
  double sum = 0, count = 0;
  for (ProxyEntry const* entry : table) {
    if (entry->zone != client.zone) continue;
    sum += entry->load;
    count += 1;
  }
  return count > 0 ? sum / count : 0;
}
}  // namespace

std::vector<ProxyEntry const*> NearestSelector::choose(std::vector<ProxyEntry const*> const& table,
                                                       ClientContext const& client) const {
  std::vector<RatedEntry> const rated = rate(table, client, busy_load);
  // All but one of the nearest tier, one of the next: a list whose proxies all stand in one zone is worth nothing
  // when that zone is lost. All but two when the zone is pressed.
  std::size_t const max_of_nearest_tier =
      zone_load(table, client) > pressed_zone_load ? max_entries - 2 : max_entries - 1;
  std::vector<ProxyEntry const*> chosen;
  std::size_t of_nearest_tier = 0;
  for (RatedEntry const& candidate : rated) {
    if (chosen.size() >= max_entries) break;
    bool const is_elsewhere = candidate.tier % kBusyPenalty == kElsewhere;
    if (is_elsewhere && !chosen.empty()) break;  // only for clients that have nothing nearer
    if (candidate.tier == rated.front().tier && ++of_nearest_tier > max_of_nearest_tier) continue;
    chosen.push_back(candidate.entry);
  }
  return chosen;
}

}  // namespace dockbend
