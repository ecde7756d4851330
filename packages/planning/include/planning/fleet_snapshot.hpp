/// One look at the fleet, as a controller gives it to the planning tools: JSON at /-/Survey, or a file.
#pragma once
#include <string>
#include <vector>

#include "planning/traffic_survey.hpp"

namespace dockbend {

/// A zone, its region and how many proxies serve in it.
struct ZoneSnapshot {
  DB_RECORD(ZoneSnapshot, (std::string, zone), (std::string, region), (u32, proxies), (bool, evacuated));
};

/// A server. `capacity`: requests it runs at once; `coldLeftS`: seconds until it is warmed up.
struct ServerSnapshot {
  DB_RECORD(ServerSnapshot, (std::string, id), (std::string, service), (std::string, zone), (double, capacity),
            (bool, ready), (double, coldLeftS), (std::string, generation));
};

/// A service. `connLimit`: connections to one server; `coldRateS`: its slow-start rate.
struct ServiceSnapshot {
  DB_RECORD(ServiceSnapshot, (std::string, name), (u32, connLimit), (double, coldRateS));
};

/// A route. `rank`: lower ranks are shed last; `setpointS`: its latency target in seconds; `homes`: regions that may
/// serve it (empty: any).
struct RouteSnapshot {
  DB_RECORD(RouteSnapshot, (std::string, name), (std::string, kind), (u32, rank), (double, setpointS),
            (std::vector<std::string>, homes));
};

/// A proxy as the directory has it. `load`: share in use of its processor or link, 0..1.
struct ProxySnapshot {
  DB_RECORD(ProxySnapshot, (std::string, front), (std::string, node), (std::string, zone), (std::string, region),
            (bool, ready), (double, load));
};

/// All of it. `takenAt`: wall-clock seconds; `node`: the controller that took it; `settled`: its own tables were
/// complete; `silent`: proxies that are known and did not answer.
struct FleetSnapshot {
  DB_RECORD(FleetSnapshot, (double, takenAt), (std::string, node), (bool, settled), (double, beatPeriodS),
            (std::vector<ZoneSnapshot>, zones), (std::vector<ServerSnapshot>, servers),
            (std::vector<ServiceSnapshot>, pools), (std::vector<RouteSnapshot>, routes, lanes),
            (std::vector<TrafficSurvey>, surveys), (std::vector<std::string>, silent),
            (std::vector<ProxySnapshot>, sites));

  /// False if something may be missing from it: a proxy did not answer or the controller's tables were filling.
  bool is_complete() const { return silent.empty() && settled; }
  /// The route of that name, or null.
  RouteSnapshot const* find_route(std::string const& name) const;
};

}  // namespace dockbend
