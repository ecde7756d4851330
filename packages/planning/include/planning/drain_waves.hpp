// Where clients move when proxies are drained, and in which waves that can be borne: the
// directory's own selector, played on a capture. No I/O.
#pragma once
#include <map>
#include <set>

#include "planning/forecast.hpp"

namespace dockbend {

struct KindRate {  // requests a second that clients bring to a region's proxies
  DB_RECORD(KindRate, (std::string, region), (std::string, kind), (double, now), (double, after));
};
struct RegionForecast {  // load: mean over the nodes that serve; peak: of the busiest of them
  DB_RECORD(RegionForecast, (std::string, region), (u32, nodes), (double, now), (double, load), (double, peak));
};
struct DrainWave {
  DB_RECORD(DrainWave, (std::vector<std::string>, fronts), (std::vector<std::string>, nodes),
            (std::vector<RegionForecast>, regions), (std::vector<KindRate>, kinds));
};
struct CapacityShortfall {  // what a region's other nodes could not carry
  DB_RECORD(CapacityShortfall, (std::string, region), (std::string, kind), (double, rate), (double, load),
            (double, wanted));
};
struct DrainWavePlan {
  DB_RECORD(DrainWavePlan, (double, takenAt), (double, headroom), (std::vector<std::string>, silent), (bool, partial),
            (std::vector<DrainWave>, waves), (std::vector<CapacityShortfall>, lacks), (bool, fits));
};

// The state of things with `out` not named by the directory any more, once clients followed.
DrainWave moved(FleetSnapshot const& c, std::set<std::string> const& out);

// Waves of the nodes named (front addresses), each as large as the headroom allows. A node
// that is not in the capture, or dark, counts as nothing and goes into the first wave.
DrainWavePlan plan_waves(FleetSnapshot const& c, std::vector<std::string> const& fronts, double headroom);

}  // namespace dockbend
