/// Who takes over when zones or servers go out of service: the proxies' own load balancing, simulated on a snapshot
/// of the fleet with the rates and latencies that the proxies measured. No I/O.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "planning/fleet_snapshot.hpp"
#include "planning/forecast_options.hpp"

namespace dockbend {

/// Attempts a second that reach the servers of a zone for one route: measured, and predicted.
struct RouteFlow {
  DB_RECORD(RouteFlow, (std::string, zone), (std::string, route, lane), (std::string, kind), (double, now),
            (double, after));
};

/// Slots of one service in one zone: how many there are, and how many are in use before and after.
struct ZoneUtilization {
  DB_RECORD(ZoneUtilization, (std::string, zone), (std::string, service), (u32, servers), (double, slots),
            (double, usedNow), (double, usedAfter), (bool, overloaded));
};

/// Requests a second that no server takes. `homeless`: no server that may serve them is left; otherwise those that
/// are left have no capacity for them.
struct UnservedRate {
  DB_RECORD(UnservedRate, (std::string, route, lane), (std::string, kind), (double, rate), (bool, homeless));
};

/// The result. `gone`: the zones; `partial`: the snapshot was not complete; `fits`: nothing is overloaded and nothing
/// goes unserved that is served now.
struct EvacuationForecast {
  DB_RECORD(EvacuationForecast, (double, takenAt), (std::vector<std::string>, gone), (u32, proxiesHeard),
            (std::vector<std::string>, silent), (bool, partial), (std::vector<RouteFlow>, flows),
            (std::vector<ZoneUtilization>, loads), (std::vector<UnservedRate>, unserved), (bool, fits));
};

/// What happens if the servers of `gone_zones` and the single servers `gone_servers` (ids) get nothing more.
EvacuationForecast forecast_evacuation(FleetSnapshot const& fleet, std::set<std::string> const& gone_zones,
                                       ForecastOptions const& options, std::set<std::string> const& gone_servers = {});

/// Attempts a second to one zone for one route: predicted, and received later.
struct ForecastDifference {
  DB_RECORD(ForecastDifference, (std::string, zone), (std::string, route, lane), (double, predicted),
            (double, received), (double, difference));
};

/// A forecast against what came of it. `deviation`: the sum of all differences as a share of all that was predicted.
struct ForecastComparison {
  double deviation = 0;
  std::vector<ForecastDifference> differences;
};

/// Compares a forecast with a snapshot taken after the evacuation.
ForecastComparison compare_forecast(EvacuationForecast const& forecast, FleetSnapshot const& later);

}  // namespace dockbend
