/// From what an operator names to a drain order: proxies by node, address, zone or region; servers by id, service,
/// generation or zone. No I/O.
#pragma once
#include <string>
#include <vector>

#include "drain/drain_order.hpp"
#include "planning/rotation_plan.hpp"

namespace dockbend {

/// Front addresses of the proxies that `names` stand for. Throws DrainOrderError that names what is unknown (404) or
/// named twice (400).
std::vector<std::string> find_proxies(FleetSnapshot const& fleet, std::vector<std::string> const& names);

/// Ids of the servers that `names` stand for; throws as above.
std::vector<std::string> find_servers(FleetSnapshot const& fleet, std::vector<std::string> const& names);

/// The order for the proxies of a plan. `id`: the number of the run; `patience`: seconds after which a proxy that is
/// still busy is reported.
DrainOrder make_proxy_order(FleetSnapshot const& fleet, DrainWavePlan const& plan, u64 id, double headroom,
                            Seconds patience);

/// The order for the servers of a plan. `is_replaced`: new servers come in their place.
DrainOrder make_server_order(FleetSnapshot const& fleet, RotationPlan const& plan, u64 id, Seconds patience,
                             bool is_replaced);

}  // namespace dockbend
