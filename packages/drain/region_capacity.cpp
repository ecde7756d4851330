#include "drain/region_capacity.hpp"

namespace dockbend {

std::map<std::string, RegionCapacity> region_capacities(std::vector<ProxyObservation> const& proxies,
                                                        std::function<bool(ProxyObservation const&)> const& without) {
  std::map<std::string, RegionCapacity> capacities;
  for (ProxyObservation const& proxy : proxies) {
    RegionCapacity& capacity = capacities[proxy.region];
    capacity.region = proxy.region;
    if (!proxy.is_reachable) continue;
    capacity.load += proxy.load;
    capacity.nodes += proxy.is_ready && !without(proxy) ? 1 : 0;
  }
  for (auto& [region, capacity] : capacities)
    capacity.load = capacity.nodes > 0 ? capacity.load / capacity.nodes : capacity.load;
  return capacities;
}

bool is_short(RegionCapacity const& capacity, double headroom) {
  return capacity.nodes == 0 || capacity.load > 1 - headroom;
}

std::set<std::string> ShortageMonitor::update(std::map<std::string, RegionCapacity> const& capacities, double headroom,
                                              Seconds now) {
  std::set<std::string> lasting;
  for (auto const& [region, capacity] : capacities) {
    Shortage& shortage = shortages_[region];
    if (!is_short(capacity, headroom)) {
      shortage.since = -1;
      continue;
    }
    shortage.last_seen = now;
    if (shortage.since < 0) shortage.since = now;
    if (now - shortage.since >= steady_) lasting.insert(region);
  }
  return lasting;
}

bool ShortageMonitor::was_short_lately(std::string const& region, Seconds now) const {
  auto const it = shortages_.find(region);
  return it != shortages_.end() && now - it->second.last_seen < steady_;
}

}  // namespace dockbend
