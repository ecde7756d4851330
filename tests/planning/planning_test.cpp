#include <criterion/criterion.h>

#include "planning/forecast.hpp"
#include "planning/traffic_observer.hpp"

using namespace dockbend;

namespace {
// Three zones of uneven size in two regions, one proxy each.
FleetSnapshot three_zone_fleet(double scale) {
  FleetSnapshot c;
  c.settled = true;
  c.beatPeriodS = 1;
  struct Z {
    char const *zone, *region;
    int servers;
    double rate;
  };
  for (Z const z : {Z{"n1", "north", 6, 40}, Z{"n2", "north", 4, 20}, Z{"s1", "south", 8, 30}}) {
    ZoneSnapshot x;
    x.zone = z.zone;
    x.region = z.region;
    x.proxies = 1;
    c.zones.push_back(x);
    for (int i = 0; i < z.servers; ++i) {
      ServerSnapshot s;
      s.id = std::string(z.zone) + "-" + std::to_string(i);
      s.service = "p";
      s.zone = z.zone;
      s.capacity = 4;
      s.ready = true;
      c.servers.push_back(s);
    }
    TrafficSurvey v;
    v.front = std::string("front-") + z.zone;
    v.zone = z.zone;
    v.region = z.region;
    v.span = 10;
    for (auto const& [route, part] : {std::pair{"read", 0.6}, {"pay", 0.3}, {"home", 0.1}}) {
      RouteRate l;
      l.route = route;
      l.pool = "p";
      l.rate = z.rate * part * scale;
      if (std::string(route) == "home") l.homes = {"south"};
      v.routes.push_back(l);
    }
    for (auto const& s : c.servers) {
      ServerLatency sp;
      sp.id = s.id;
      sp.lat = 0.1;
      v.speeds.push_back(sp);
    }
    c.surveys.push_back(v);
  }
  for (auto const& [n, kind] : {std::pair{"read", "idempotent"}, {"pay", "keyed"}, {"home", "effectful"}}) {
    RouteSnapshot l;
    l.name = n;
    l.kind = kind;
    l.setpointS = 1;
    if (std::string(n) == "home") l.homes = {"south"};
    c.routes.push_back(l);
  }
  ServiceSnapshot p;
  p.name = "p";
  p.connLimit = 200;
  c.pools.push_back(p);
  return c;
}
double after(EvacuationForecast const& f, std::string const& zone, std::string const& route) {
  for (RouteFlow const& l : f.flows)
    if (l.zone == zone && l.route == route) return l.after;
  return 0;
}
}  // namespace

Test(forecast, remaining_zones_take_over_and_home_regions_bind) {
  for (u64 seed = 1; seed <= 5; ++seed) {
    ForecastOptions p;
    p.seed = seed;
    EvacuationForecast const f = forecast_evacuation(three_zone_fleet(1), {"n1"}, p);
    cr_assert(f.fits, "seed %llu", static_cast<unsigned long long>(seed));
    cr_assert_eq(after(f, "n1", "read"), 0);
    double const all = after(f, "n2", "read") + after(f, "s1", "read");
    cr_assert_float_eq(all, 90 * 0.6, 90 * 0.6 * 0.15, "nothing is lost on the way: %.1f", all);
    cr_assert_gt(after(f, "n2", "read"), 20 * 0.6 * 1.5, "the region's other zone takes most");
    cr_assert_eq(after(f, "n2", "home"), 0);
    cr_assert_float_eq(after(f, "s1", "home"), 9, 2.0);
  }
}

// Failure: a forecast drew numbers beside its seed, and a test of it failed once in some hundred runs.
Test(forecast, a_seed_gives_one_forecast) {
  ForecastOptions options;
  options.seed = 7;
  EvacuationForecast const first = forecast_evacuation(three_zone_fleet(1), {"n1"}, options);
  EvacuationForecast const second = forecast_evacuation(three_zone_fleet(1), {"n1"}, options);
  cr_assert_eq(first.flows.size(), second.flows.size());
  for (std::size_t i = 0; i < first.flows.size(); ++i)
    cr_assert_eq(first.flows[i].after, second.flows[i].after);
}

Test(forecast, overload_and_missing_home_regions_are_reported) {
  ForecastOptions p;
  EvacuationForecast const f = forecast_evacuation(three_zone_fleet(5), {"s1"}, p);
  cr_assert_not(f.fits);
  bool homeless = false, over = false;
  for (UnservedRate const& u : f.unserved)
    homeless = homeless || (u.route == "home" && u.homeless);
  for (ZoneUtilization const& z : f.loads)
    over = over || z.overloaded;
  cr_assert(homeless, "its only home is gone");
  cr_assert(over);
  EvacuationForecast const calm = forecast_evacuation(three_zone_fleet(1), {}, p);
  cr_assert(calm.fits);
}

// Requests of a tenant whose only home region is gone are unserved, on a route that others may use anywhere.
Test(forecast, home_regions_of_tenants_bind_too) {
  FleetSnapshot c = three_zone_fleet(1);
  RouteRate l;
  l.route = "read";
  l.pool = "p";
  l.rate = 5;
  l.homes = {"south"};
  c.surveys[0].routes.push_back(l);
  EvacuationForecast const f = forecast_evacuation(c, {"s1"}, ForecastOptions{});
  bool read = false;
  for (UnservedRate const& u : f.unserved)
    read = read || (u.route == "read" && u.homeless);
  cr_assert(read);
  cr_assert(forecast_evacuation(c, {"n2"}, ForecastOptions{}).fits);
}

Test(forecast, an_incomplete_snapshot_makes_it_partial) {
  FleetSnapshot c = three_zone_fleet(1);
  c.silent = {"front-x"};
  cr_assert(forecast_evacuation(c, {"n1"}, ForecastOptions{}).partial);
}

// A forecast against one with another seed, which stands for what the servers then receive.
Test(forecast, its_deviation_from_what_is_received_is_small) {
  for (u64 seed = 1; seed <= 6; ++seed) {
    ForecastOptions a, b;
    a.seed = seed;
    b.seed = seed + 100;
    b.seconds = 60;
    EvacuationForecast const f = forecast_evacuation(three_zone_fleet(2), {"n2"}, a),
                             g = forecast_evacuation(three_zone_fleet(2), {"n2"}, b);
    FleetSnapshot then;
    TrafficSurvey s;
    for (RouteFlow const& l : g.flows) {
      ZoneSendRate x;
      x.route = l.route;
      x.zone = l.zone;
      x.rate = l.after;
      s.sent.push_back(x);
    }
    then.surveys.push_back(s);
    double const off = compare_forecast(f, then).deviation;
    cr_assert_lt(off, 0.1, "seed %llu: %.3f", static_cast<unsigned long long>(seed), off);
  }
}

Test(traffic_observer, rates_cover_complete_seconds_and_fade) {
  TrafficObserver o;
  for (int i = 0; i < 300; ++i)
    o.on_request("l", "p", {}, i % 3 == 0, 100 + i * 0.1);
  TrafficSurvey s;
  o.fill(s, 130);
  cr_assert_float_eq(s.routes[0].rate, 10, 0.2);
  cr_assert_float_eq(s.routes[0].bulky, 0.33, 0.02);
  TrafficSurvey late;
  o.fill(late, 150);
  cr_assert(late.routes.empty());
}
