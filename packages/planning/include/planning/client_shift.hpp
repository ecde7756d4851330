/// Where clients go when proxies are no longer named to them: the directory's own selector, run on a snapshot. No I/O.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "planning/fleet_snapshot.hpp"

namespace dockbend {

/// Requests a second of one kind that clients bring to a region's proxies, before and after.
struct KindRate {
  DB_RECORD(KindRate, (std::string, region), (std::string, kind), (double, now), (double, after));
};

/// A region's proxies. `nodes`: that serve after; `now`, `load`: their mean load before and after; `peak`: the highest
/// load of one of them after.
struct RegionForecast {
  DB_RECORD(RegionForecast, (std::string, region), (u32, nodes), (double, now), (double, load), (double, peak));
};

/// Proxies that leave together, by front address and by node name, and how regions fare meanwhile.
struct DrainWave {
  DB_RECORD(DrainWave, (std::vector<std::string>, fronts), (std::vector<std::string>, nodes),
            (std::vector<RegionForecast>, regions), (std::vector<KindRate>, kinds));
};

/// The fleet once the directory no longer names the proxies `leaving` (front addresses) and their clients have moved.
DrainWave predict_client_shift(FleetSnapshot const& fleet, std::set<std::string> const& leaving);

}  // namespace dockbend
