#include "load_balancing/route_latencies.hpp"

#include <criterion/criterion.h>

using namespace dockbend;

namespace {
std::string const kRoute = "view", kOther = "upload";

void learn(RouteLatencies& latencies, Seconds latency, int responses, Seconds& now, bool is_busy = false) {
  for (int i = 0; i < responses; ++i)
    latencies.learn(kRoute, latency, is_busy, now += 0.1);
}
}  // namespace

Test(route_latencies, routes_have_estimates_of_their_own) {
  RouteLatencies latencies;
  latencies.learn(kRoute, 0.02, false, 1);
  latencies.learn(kOther, 0.6, false, 1);
  cr_assert_float_eq(latencies.recent(kRoute, 1), 0.02, 1e-9);
  cr_assert_float_eq(latencies.recent(kOther, 1), 0.6, 1e-9);
  cr_assert_eq(latencies.recent("none", 1), 0);
}

Test(route_latencies, the_usual_latency_is_that_of_servers_that_are_not_busy) {
  RouteLatencies latencies;
  Seconds now = 1;
  learn(latencies, 1.0, 100, now, true);
  cr_assert_eq(latencies.usual(kRoute), 0, "not known");
  learn(latencies, 0.02, 40, now);
  learn(latencies, 1.0, 100, now);
  cr_assert_lt(latencies.usual(kRoute), 0.2, "slow answers for a while don't become usual");
  cr_assert_gt(latencies.recent(kRoute, now), 0.5);
  learn(latencies, 1.0, 6000, now);
  cr_assert_gt(latencies.usual(kRoute), 0.9, "those of ten minutes do");
}

Test(route_latencies, an_estimate_falls_while_nothing_is_seen) {
  RouteLatencies latencies;
  Seconds now = 1;
  learn(latencies, 0.02, 40, now);
  learn(latencies, 3.0, 40, now, true);
  cr_assert_gt(latencies.recent(kRoute, now), 0.5);
  cr_assert_float_eq(latencies.recent(kRoute, now + 100), 0.02, 0.01);
}

Test(route_latencies, routes_that_are_not_asked_for_are_forgotten) {
  RouteLatencies latencies;
  for (int route = 0; route < 1000; ++route)
    latencies.learn("old-" + std::to_string(route), 0.02, false, 1);
  for (int route = 0; route < 2000; ++route)
    latencies.learn("new-" + std::to_string(route), 0.02, false, 1000);
  cr_assert_lt(latencies.size(), 2100u);
}
