#include "planning/rotation_plan.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "drain/server_drain.hpp"

namespace dockbend {
namespace {
double constexpr kWarmingUpShare = 0.25;  // of its slots that a server which is warming up counts for

std::map<std::string, std::string> region_by_zone(FleetSnapshot const& fleet) {
  std::map<std::string, std::string> regions;
  for (ZoneSnapshot const& zone : fleet.zones)
    regions[zone.zone] = zone.region;
  return regions;
}

/// The servers as a drain planner would see them, by id.
std::map<std::string, ServerObservation> observe_servers(FleetSnapshot const& fleet,
                                                         std::map<std::string, std::string>& regions) {
  std::map<std::string, ServerObservation> servers;
  for (ServerSnapshot const& snapshot : fleet.servers) {
    ServerObservation server;
    server.id = snapshot.id;
    server.service = snapshot.service;
    server.zone = snapshot.zone;
    server.region = regions[snapshot.zone];
    server.is_present = true;
    server.is_ready = snapshot.ready;
    server.slots = snapshot.coldLeftS > 0 ? kWarmingUpShare * snapshot.capacity : snapshot.capacity;
    server.is_fully_reported = fleet.is_complete();
    servers[snapshot.id] = std::move(server);
  }
  for (TrafficSurvey const& survey : fleet.surveys)
    for (OpenWork const& open : survey.held)
      if (auto const it = servers.find(open.id); it != servers.end()) it->second.open_work.add(open);
  return servers;
}

ServerDeparture make_departure(ServerObservation const& server) {
  ServerDeparture departure;
  departure.id = server.id;
  departure.service = server.service;
  departure.zone = server.zone;
  departure.uploads = server.open_work.uploads;
  departure.bytes = server.open_work.bytes;
  departure.keyed = server.open_work.keyed;
  departure.sessions = server.open_work.sessions;
  return departure;
}

std::vector<ServerDeparture> departure_order(std::vector<std::string> const& ids,
                                             std::map<std::string, ServerObservation>& servers) {
  std::vector<ServerObservation const*> sorted;
  for (std::string const& id : ids)
    sorted.push_back(&servers[id]);
  std::sort(sorted.begin(), sorted.end(),
            [](ServerObservation const* a, ServerObservation const* b) { return leaves_before(*a, *b); });
  std::vector<ServerDeparture> order;
  for (ServerObservation const* server : sorted)
    order.push_back(make_departure(*server));
  return order;
}

/// The ids of the first `max_unavailable` servers of each service.
std::set<std::string> first_of_each_service(std::vector<ServerDeparture> const& order, u32 max_unavailable) {
  std::map<std::string, u32> taken;
  std::set<std::string> ids;
  for (ServerDeparture const& departure : order)
    if (taken[departure.service]++ < max_unavailable) ids.insert(departure.id);
  return ids;
}

struct RegionService {
  std::string service, region;
  auto operator<=>(RegionService const&) const = default;
};
struct SlotUsage {
  double slots = 0, used = 0;
};

/// The services of `affected` that lack the headroom in a region.
std::vector<CapacityShortfall> service_shortfalls(EvacuationForecast const& forecast,
                                                  std::set<std::string> const& affected, double headroom,
                                                  std::map<std::string, std::string>& regions) {
  std::map<RegionService, SlotUsage> usages;
  for (ZoneUtilization const& zone : forecast.loads) {
    SlotUsage& usage = usages[{zone.service, regions[zone.zone]}];
    usage.slots += zone.slots;
    usage.used += zone.usedAfter;
  }
  std::vector<CapacityShortfall> shortfalls;
  for (auto const& [key, usage] : usages) {
    if (affected.count(key.service) == 0 || usage.used <= (1 - headroom) * usage.slots) continue;
    CapacityShortfall shortfall;
    shortfall.region = key.region;
    shortfall.kind = key.service;
    shortfall.load = usage.slots > 0 ? usage.used / usage.slots : 1;
    shortfall.wanted = 1 - headroom;
    shortfall.rate = usage.used;
    shortfalls.push_back(std::move(shortfall));
  }
  return shortfalls;
}
}  // namespace

RotationPlan plan_rotation(FleetSnapshot const& fleet, std::vector<std::string> const& ids, u32 max_unavailable,
                           double headroom) {
  std::map<std::string, std::string> regions = region_by_zone(fleet);
  std::map<std::string, ServerObservation> servers = observe_servers(fleet, regions);
  RotationPlan plan;
  plan.takenAt = fleet.takenAt;
  plan.maxUnavailable = max_unavailable;
  plan.headroom = headroom;
  plan.partial = !fleet.is_complete();
  plan.order = departure_order(ids, servers);
  std::set<std::string> const out_at_once = first_of_each_service(plan.order, max_unavailable);
  plan.worst = forecast_evacuation(fleet, {}, ForecastOptions{}, out_at_once);
  std::set<std::string> affected;
  for (std::string const& id : out_at_once)
    affected.insert(servers[id].service);
  plan.lacks = service_shortfalls(plan.worst, affected, headroom, regions);
  plan.fits = plan.worst.fits && plan.lacks.empty();
  return plan;
}

}  // namespace dockbend
