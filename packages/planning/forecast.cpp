#include "planning/forecast.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include "planning/traffic_simulation.hpp"

namespace dockbend {
namespace {
double constexpr kUnservedRise = 1.5;  // unserved requests count only if there are this many times as many as before

template <class Key>
double value_at(std::map<Key, double> const& values, Key const& key) {
  auto const it = values.find(key);
  return it == values.end() ? 0.0 : it->second;
}

std::string kind_of(FleetSnapshot const& fleet, std::string const& route) {
  RouteSnapshot const* definition = fleet.find_route(route);
  return definition == nullptr ? std::string() : definition->kind;
}

/// Attempts a second that servers receive by a snapshot.
std::map<ZoneRoute, double> received_rates(FleetSnapshot const& fleet) {
  std::map<ZoneRoute, double> rates;
  for (TrafficSurvey const& survey : fleet.surveys)
    for (ZoneSendRate const& sent : survey.sent)
      rates[{sent.zone, sent.route}] += sent.rate;
  return rates;
}

void add_flows(EvacuationForecast& forecast, FleetSnapshot const& fleet, SimulationResult const& after) {
  std::map<ZoneRoute, double> const now = received_rates(fleet);
  std::set<ZoneRoute> keys;
  for (auto const& [key, rate] : now)
    keys.insert(key);
  for (auto const& [key, count] : after.attempts)
    keys.insert(key);
  for (ZoneRoute const& key : keys) {
    RouteFlow flow;
    flow.zone = key.zone;
    flow.route = key.route;
    flow.kind = kind_of(fleet, key.route);
    flow.now = value_at(now, key);
    flow.after = value_at(after.attempts, key) / after.span;
    forecast.flows.push_back(std::move(flow));
  }
}

struct ServiceSlots {
  u32 servers = 0;
  double slots = 0;
};

std::map<ZoneService, ServiceSlots> remaining_slots(FleetSnapshot const& fleet,
                                                    std::set<std::string> const& gone_servers) {
  std::map<ZoneService, ServiceSlots> remaining;
  for (ServerSnapshot const& server : fleet.servers) {
    if (!server.ready || gone_servers.count(server.id) > 0) continue;
    ServiceSlots& slots = remaining[{server.zone, server.service}];
    ++slots.servers;
    slots.slots += server.capacity;
  }
  return remaining;
}

void add_utilization(EvacuationForecast& forecast, std::map<ZoneService, ServiceSlots> const& remaining,
                     std::set<std::string> const& gone_zones, double overload, SimulationResult const& before,
                     SimulationResult const& after) {
  for (auto const& [key, slots] : remaining) {
    ZoneUtilization utilization;
    utilization.zone = key.zone;
    utilization.service = key.service;
    utilization.servers = slots.servers;
    utilization.slots = slots.slots;
    utilization.usedNow = value_at(before.busy_slot_seconds, key) / before.span;
    utilization.usedAfter = value_at(after.busy_slot_seconds, key) / after.span;
    utilization.overloaded = gone_zones.count(key.zone) == 0 && utilization.usedAfter > overload * utilization.slots;
    forecast.fits = forecast.fits && !utilization.overloaded;
    forecast.loads.push_back(std::move(utilization));
  }
}

void add_unserved(EvacuationForecast& forecast, FleetSnapshot const& fleet, double max_lost,
                  SimulationResult const& before, SimulationResult const& after) {
  for (auto const& [route, requests] : after.requests)
    for (bool const homeless : {true, false}) {
      double const count = value_at(homeless ? after.without_server : after.without_capacity, route);
      double const count_before = value_at(homeless ? before.without_server : before.without_capacity, route);
      bool const fails_anyway = count <= count_before * kUnservedRise;
      if (count <= max_lost * requests || fails_anyway) continue;
      UnservedRate unserved;
      unserved.route = route;
      unserved.kind = kind_of(fleet, route);
      unserved.rate = count / after.span;
      unserved.homeless = homeless;
      forecast.unserved.push_back(std::move(unserved));
      forecast.fits = false;
    }
}
}  // namespace

EvacuationForecast forecast_evacuation(FleetSnapshot const& fleet, std::set<std::string> const& gone_zones,
                                       ForecastOptions const& options, std::set<std::string> const& gone_servers) {
  std::set<std::string> const none;
  SimulationResult const before = TrafficSimulation(fleet, options, none, none).run();
  SimulationResult const after = TrafficSimulation(fleet, options, gone_zones, gone_servers).run();

  EvacuationForecast forecast;
  forecast.takenAt = fleet.takenAt;
  forecast.gone.assign(gone_zones.begin(), gone_zones.end());
  forecast.proxiesHeard = static_cast<u32>(fleet.surveys.size());
  forecast.silent = fleet.silent;
  forecast.partial = !fleet.is_complete() || fleet.surveys.empty();
  forecast.fits = true;
  add_flows(forecast, fleet, after);
  add_utilization(forecast, remaining_slots(fleet, gone_servers), gone_zones, options.overload, before, after);
  add_unserved(forecast, fleet, options.max_lost, before, after);
  return forecast;
}

ForecastComparison compare_forecast(EvacuationForecast const& forecast, FleetSnapshot const& later) {
  struct Rates {
    double predicted = 0, received = 0;
  };
  std::map<ZoneRoute, Rates> rates;
  for (RouteFlow const& flow : forecast.flows)
    rates[{flow.zone, flow.route}].predicted = flow.after;
  for (auto const& [key, rate] : received_rates(later))
    rates[key].received = rate;
  ForecastComparison comparison;
  double sum_of_differences = 0, sum_predicted = 0;
  for (auto const& [key, rate] : rates) {
    ForecastDifference difference;
    difference.zone = key.zone;
    difference.route = key.route;
    difference.predicted = rate.predicted;
    difference.received = rate.received;
    difference.difference = rate.received - rate.predicted;
    sum_of_differences += std::abs(difference.difference);
    sum_predicted += rate.predicted;
    comparison.differences.push_back(std::move(difference));
  }
  if (sum_predicted > 0)
    comparison.deviation = sum_of_differences / sum_predicted;
  else
    comparison.deviation = sum_of_differences > 0 ? 1.0 : 0.0;
  return comparison;
}

}  // namespace dockbend
