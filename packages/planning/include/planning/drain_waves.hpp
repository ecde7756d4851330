/// Divides proxies that are to be drained into waves that the others can bear. No I/O.
#pragma once
#include <string>
#include <vector>

#include "planning/client_shift.hpp"

namespace dockbend {

/// Requests that a region's other proxies (or a service's other servers) could not carry. `kind`: of the requests, or
/// "all", or the service's name; `rate`: how many a second; `load`: what the load would be; `wanted`: what it may be.
struct CapacityShortfall {
  DB_RECORD(CapacityShortfall, (std::string, region), (std::string, kind), (double, rate), (double, load),
            (double, wanted));
};

/// The plan. `silent`, `partial`: the snapshot was not complete; `lacks`: why a wave does not fit; `fits`: all do.
struct DrainWavePlan {
  DB_RECORD(DrainWavePlan, (double, takenAt), (double, headroom), (std::vector<std::string>, silent), (bool, partial),
            (std::vector<DrainWave>, waves), (std::vector<CapacityShortfall>, lacks), (bool, fits));
};

/// Waves of the proxies `fronts` (front addresses), each as large as `headroom` allows (share of each region's
/// capacity that must stay unused, 0 to below 1). A proxy that is not in the snapshot or not ready carries nothing and
/// goes into the first wave. Planning ends at the first wave that does not fit.
DrainWavePlan plan_drain_waves(FleetSnapshot const& fleet, std::vector<std::string> const& fronts, double headroom);

}  // namespace dockbend
