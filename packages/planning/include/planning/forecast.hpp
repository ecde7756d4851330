// Who takes over when zones go out of service: the proxies' own choice, played on a
// captured table of servers with the rates and speeds that the proxies saw. No I/O.
#pragma once
#include <set>

#include "load_balancing/load_balancer.hpp"
#include "planning/traffic_survey.hpp"

namespace dockbend {

struct ZoneSnapshot {
  DB_RECORD(ZoneSnapshot, (std::string, zone), (std::string, region), (u32, proxies), (bool, evacuated));
};
struct ServerSnapshot {
  DB_RECORD(ServerSnapshot, (std::string, id), (std::string, service), (std::string, zone), (double, capacity),
            (bool, ready), (double, coldLeftS), (std::string, generation));
};
struct ServiceSnapshot {
  DB_RECORD(ServiceSnapshot, (std::string, name), (u32, connLimit), (double, coldRateS));
};
struct RouteSnapshot {
  DB_RECORD(RouteSnapshot, (std::string, name), (std::string, kind), (u32, rank), (double, setpointS),
            (std::vector<std::string>, homes));
};
struct ProxySnapshot {  // a proxy as the directory has it
  DB_RECORD(ProxySnapshot, (std::string, front), (std::string, node), (std::string, zone), (std::string, region),
            (bool, ready), (double, load));
};
// One look at the whole. silent: proxies that were known and did not answer.
struct FleetSnapshot {
  DB_RECORD(FleetSnapshot, (double, takenAt), (std::string, node), (bool, settled), (double, beatPeriodS),
            (std::vector<ZoneSnapshot>, zones), (std::vector<ServerSnapshot>, servers),
            (std::vector<ServiceSnapshot>, pools), (std::vector<RouteSnapshot>, routes, lanes),
            (std::vector<TrafficSurvey>, surveys), (std::vector<std::string>, silent),
            (std::vector<ProxySnapshot>, sites));
};

struct RouteFlow {  // tries a second that reach servers of a zone
  DB_RECORD(RouteFlow, (std::string, zone), (std::string, route, lane), (std::string, kind), (double, now),
            (double, after));
};
struct ZoneUtilization {  // slots of one service in one zone
  DB_RECORD(ZoneUtilization, (std::string, zone), (std::string, service), (u32, servers), (double, slots),
            (double, usedNow), (double, usedAfter), (bool, overloaded));
};
struct UnservedRate {  // errands a second that nobody could take
  DB_RECORD(UnservedRate, (std::string, route, lane), (std::string, kind), (double, rate), (bool, homeless));
};
struct EvacuationForecast {
  DB_RECORD(EvacuationForecast, (double, takenAt), (std::vector<std::string>, gone), (u32, proxiesHeard),
            (std::vector<std::string>, silent), (bool, partial), (std::vector<RouteFlow>, flows),
            (std::vector<ZoneUtilization>, loads), (std::vector<UnservedRate>, unserved), (bool, fits));
};

struct ForecastOptions {
  double seconds = 20, warm = 6;     // simulated time that counts, and before it
  std::size_t most_errands = 60000;  // fewer seconds are played if they would be more
  double overload = 0.85;            // share of slots in use
  double lost = 0.01;                // share of a lane's errands that may find nobody
  u64 seed = 1;
};

// gone: zones whose servers get nothing more; out: single servers, by id.
EvacuationForecast forecast(FleetSnapshot const& c, std::set<std::string> const& gone, ForecastOptions const& p,
                            std::set<std::string> const& out = {});

// What the sites receive by a capture: tries a second by zone and lane.
std::map<std::pair<std::string, std::string>, double> received(FleetSnapshot const& c);

struct ForecastDifference {
  DB_RECORD(ForecastDifference, (std::string, zone), (std::string, route, lane), (double, predicted),
            (double, received), (double, difference));
};
// The sum of all differences as a share of all that was predicted.
double compare(EvacuationForecast const& f, FleetSnapshot const& c, std::vector<ForecastDifference>& out);

}  // namespace dockbend
