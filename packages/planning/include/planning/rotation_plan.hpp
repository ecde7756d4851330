/// Whether servers can be drained and replaced with so many of a service missing at once. No I/O.
#pragma once
#include <string>
#include <vector>

#include "planning/drain_waves.hpp"
#include "planning/forecast.hpp"

namespace dockbend {

/// A server in the order in which the servers would leave if nothing changed, and what is open there.
struct ServerDeparture {
  DB_RECORD(ServerDeparture, (std::string, id), (std::string, service), (std::string, zone), (u32, uploads),
            (double, bytes), (u32, keyed), (u32, sessions));
};

/// The plan. `partial`: the snapshot was not complete; `lacks`: services without the headroom in a region; `worst`: the
/// forecast without the first `maxUnavailable` servers of each service; `fits`: nothing is lacking.
struct RotationPlan {
  DB_RECORD(RotationPlan, (double, takenAt), (u32, maxUnavailable), (double, headroom), (bool, partial),
            (std::vector<ServerDeparture>, order), (std::vector<CapacityShortfall>, lacks), (EvacuationForecast, worst),
            (bool, fits));
};

/// Plans a rotation of the servers `ids`, which the snapshot must have. `headroom`: share of a service's slots in a
/// region that must stay unused, 0 to below 1.
RotationPlan plan_rotation(FleetSnapshot const& fleet, std::vector<std::string> const& ids, u32 max_unavailable,
                           double headroom);

}  // namespace dockbend
