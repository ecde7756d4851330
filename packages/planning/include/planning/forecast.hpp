// Who takes over when zones go out of service: the proxies' own choice, played on a
// captured table of servers with the rates and speeds that the proxies saw. No I/O.
#pragma once
#include <set>

#include "load_balancing/load_balancer.hpp"
#include "planning/traffic_survey.hpp"

namespace dockbend {

struct CapZone {
  DB_RECORD(CapZone, (std::string, zone), (std::string, region), (u32, proxies), (bool, evacuated));
};
struct CapServer {
  DB_RECORD(CapServer, (std::string, id), (std::string, service), (std::string, zone), (double, capacity),
            (bool, ready), (double, coldLeftS), (std::string, generation));
};
struct CapPool {
  DB_RECORD(CapPool, (std::string, name), (u32, connLimit), (double, coldRateS));
};
struct CapLane {
  DB_RECORD(CapLane, (std::string, name), (std::string, kind), (u32, rank), (double, setpointS),
            (std::vector<std::string>, homes));
};
struct CapSite {  // a proxy as the directory has it
  DB_RECORD(CapSite, (std::string, front), (std::string, node), (std::string, zone), (std::string, region),
            (bool, ready), (double, load));
};
// One look at the whole. silent: proxies that were known and did not answer.
struct Capture {
  DB_RECORD(Capture, (double, takenAt), (std::string, node), (bool, settled), (double, beatPeriodS),
            (std::vector<CapZone>, zones), (std::vector<CapServer>, servers), (std::vector<CapPool>, pools),
            (std::vector<CapLane>, lanes), (std::vector<Survey>, surveys), (std::vector<std::string>, silent),
            (std::vector<CapSite>, sites));
};

struct LaneFlow {  // tries a second that reach servers of a zone
  DB_RECORD(LaneFlow, (std::string, zone), (std::string, lane), (std::string, kind), (double, now), (double, after));
};
struct ZoneLoad {  // slots of one service in one zone
  DB_RECORD(ZoneLoad, (std::string, zone), (std::string, service), (u32, servers), (double, slots), (double, usedNow),
            (double, usedAfter), (bool, overloaded));
};
struct Unserved {  // errands a second that nobody could take
  DB_RECORD(Unserved, (std::string, lane), (std::string, kind), (double, rate), (bool, homeless));
};
struct Forecast {
  DB_RECORD(Forecast, (double, takenAt), (std::vector<std::string>, gone), (u32, proxiesHeard),
            (std::vector<std::string>, silent), (bool, partial), (std::vector<LaneFlow>, flows),
            (std::vector<ZoneLoad>, loads), (std::vector<Unserved>, unserved), (bool, fits));
};

struct ForecastPlan {
  double seconds = 20, warm = 6;     // simulated time that counts, and before it
  std::size_t most_errands = 60000;  // fewer seconds are played if they would be more
  double overload = 0.85;            // share of slots in use
  double lost = 0.01;                // share of a lane's errands that may find nobody
  u64 seed = 1;
};

// gone: zones whose servers get nothing more; out: single servers, by id.
Forecast forecast(Capture const& c, std::set<std::string> const& gone, ForecastPlan const& p,
                  std::set<std::string> const& out = {});

// What the sites receive by a capture: tries a second by zone and lane.
std::map<std::pair<std::string, std::string>, double> received(Capture const& c);

struct Difference {
  DB_RECORD(Difference, (std::string, zone), (std::string, lane), (double, predicted), (double, received),
            (double, difference));
};
// The sum of all differences as a share of all that was predicted.
double compare(Forecast const& f, Capture const& c, std::vector<Difference>& out);

}  // namespace dockbend
