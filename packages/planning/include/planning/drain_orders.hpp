// From what an operator names to an order: proxies by node, address, zone or region; servers by
// id, service, generation or zone. No I/O.
#pragma once
#include "drain/server_drain.hpp"
#include "planning/drain_waves.hpp"

namespace dockbend {

// Front addresses. Throws DrainOrderError that names what is unknown or named twice.
std::vector<std::string> nodes_named(FleetSnapshot const& c, std::vector<std::string> const& names);
// Ids of servers.
std::vector<std::string> servers_named(FleetSnapshot const& c, std::vector<std::string> const& names);

DrainOrder node_order(FleetSnapshot const& c, DrainWavePlan const& p, u64 id, double headroom, double patience);

struct ServerDeparture {  // in the order in which they would leave if nothing changed
  DB_RECORD(ServerDeparture, (std::string, id), (std::string, service), (std::string, zone), (u32, uploads),
            (double, bytes), (u32, keyed), (u32, sessions));
};
struct RotationPlan {
  DB_RECORD(RotationPlan, (double, takenAt), (u32, maxUnavailable), (double, headroom), (bool, partial),
            (std::vector<ServerDeparture>, order), (std::vector<CapacityShortfall>, lacks), (EvacuationForecast, worst),
            (bool, fits));
};
// worst: the proxies' own choice played without the first of each service that may be out at once.
RotationPlan plan_rotation(FleetSnapshot const& c, std::vector<std::string> const& ids, u32 max_unavailable,
                           double headroom);
DrainOrder server_order(FleetSnapshot const& c, RotationPlan const& p, u64 id, double patience, bool replaced);

}  // namespace dockbend
