#include "command_line/plan_printer.hpp"

#include <algorithm>
#include <cstdio>
#include <string>

namespace dockbend::command_line {
namespace {

void print_age(double taken_at) {
  std::printf("age: %.1f s\n", std::max(0.0, wall_clock_now() - taken_at));
}

void print_silent(std::vector<std::string> const& silent_proxies) {
  for (std::string const& proxy : silent_proxies)
    std::printf("  not heard: %s\n", proxy.c_str());
}

void print_partial(bool partial) {
  if (partial) std::printf("PARTIAL: some proxies were not heard, or the node asked is out of touch\n");
}

void print_fits(bool fits) {
  std::printf("fits: %s\n", fits ? "yes" : "no");
}

void print_shortfalls(std::vector<CapacityShortfall> const& shortfalls) {
  for (CapacityShortfall const& shortfall : shortfalls)
    std::printf("%s lacks room for %s: %.1f /s, load would be %.2f, at most %.2f is wanted\n", shortfall.region.c_str(),
                shortfall.kind.c_str(), shortfall.rate, shortfall.load, shortfall.wanted);
}

void print_flows(std::vector<RouteFlow> const& flows) {
  std::printf("%-16s %-16s %-11s %10s %10s\n", "zone", "route", "kind", "now /s", "after /s");
  for (RouteFlow const& flow : flows)
    std::printf("%-16s %-16s %-11s %10.1f %10.1f\n", flow.zone.c_str(), flow.route.c_str(), flow.kind.c_str(), flow.now,
                flow.after);
}

void print_utilization(std::vector<ZoneUtilization> const& utilization) {
  std::printf("%-16s %-16s %8s %8s %9s %9s\n", "zone", "service", "servers", "slots", "used now", "after");
  for (ZoneUtilization const& zone : utilization)
    std::printf("%-16s %-16s %8u %8.0f %8.0f%% %8.0f%%%s\n", zone.zone.c_str(), zone.service.c_str(), zone.servers,
                zone.slots, 100 * zone.usedNow / zone.slots, 100 * zone.usedAfter / zone.slots,
                zone.overloaded ? "  OVERLOADED" : "");
}

void print_wave(std::size_t number, DrainWave const& wave) {
  std::printf("wave %zu: %zu nodes\n ", number, wave.nodes.size());
  for (std::string const& node : wave.nodes)
    std::printf(" %s", node.c_str());
  std::printf("\n");
  for (RegionForecast const& region : wave.regions)
    std::printf("  %-16s %3u nodes serve, load %.2f now, %.2f after, busiest %.2f\n", region.region.c_str(),
                region.nodes, region.now, region.load, region.peak);
  for (KindRate const& kind : wave.kinds)
    std::printf("  %-16s %-11s %10.1f /s now %10.1f after\n", kind.region.c_str(), kind.kind.c_str(), kind.now,
                kind.after);
}

}  // namespace

void print_forecast(EvacuationForecast const& forecast) {
  std::string zones;
  for (std::string const& zone : forecast.gone)
    zones += (zones.empty() ? "" : ", ") + zone;
  std::printf("without: %s\nproxies heard: %u\n", zones.c_str(), forecast.proxiesHeard);
  print_age(forecast.takenAt);
  print_silent(forecast.silent);
  print_partial(forecast.partial);
  print_flows(forecast.flows);
  print_utilization(forecast.loads);
  for (UnservedRate const& unserved : forecast.unserved)
    std::printf("%s %s: %.1f /s %s\n", unserved.route.c_str(), unserved.kind.c_str(), unserved.rate,
                unserved.homeless ? "HOMELESS: no server may take them" : "would be turned away");
  print_fits(forecast.fits);
}

void print_drain_waves(DrainWavePlan const& plan) {
  std::printf("headroom: %.2f\n", plan.headroom);
  print_age(plan.takenAt);
  print_silent(plan.silent);
  print_partial(plan.partial);
  std::size_t number = 0;
  for (DrainWave const& wave : plan.waves)
    print_wave(++number, wave);
  print_shortfalls(plan.lacks);
  print_fits(plan.fits);
}

void print_rotation(RotationPlan const& plan) {
  std::printf("headroom: %.2f, %u of a service out at once\n", plan.headroom, plan.maxUnavailable);
  if (plan.partial) std::printf("PARTIAL: some proxies were not heard; who may hold more counts as busy\n");
  std::printf("%-20s %-16s %-16s %8s %10s %6s %9s\n", "server", "service", "zone", "uploads", "bytes", "keyed",
              "sessions");
  for (ServerDeparture const& server : plan.order)
    std::printf("%-20s %-16s %-16s %8u %10.0f %6u %9u\n", server.id.c_str(), server.service.c_str(),
                server.zone.c_str(), server.uploads, server.bytes, server.keyed, server.sessions);
  print_shortfalls(plan.lacks);
  print_fits(plan.fits);
}

void print_comparison(std::vector<ForecastDifference> const& differences, FleetSnapshot const& snapshot,
                      double difference, double tolerance) {
  std::printf("%-16s %-16s %10s %10s %10s\n", "zone", "route", "predicted", "received", "difference");
  for (ForecastDifference const& route : differences)
    std::printf("%-16s %-16s %10.1f %10.1f %+10.1f\n", route.zone.c_str(), route.route.c_str(), route.predicted,
                route.received, route.difference);
  print_silent(snapshot.silent);
  std::printf("off by %.0f%% of all that was predicted; tolerance %.0f%%: %s\n", 100 * difference, 100 * tolerance,
              difference <= tolerance ? "within" : "outside");
}

}  // namespace dockbend::command_line
