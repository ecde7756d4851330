#include <criterion/criterion.h>

#include <random>

#include "load_balancing/load_balancer.hpp"

using namespace dockbend;

namespace {
Settings settings(std::string const& zone = "n1") {
  return parse_settings("ip=10.0.0.1\nzone=" + zone +
                        "\ninnerPorts=7000,7010\nzones.n1=north\nzones.n2=north\nzones.s1=south\nbeatPeriodS=1\n");
}
LoadBalancer::ServerUpdate seen(std::string id, std::string zone, double cold = 0) {
  LoadBalancer::ServerUpdate s;
  s.id = id;
  s.service = "p";
  s.address = "10.1.0.1:80";
  s.zone = zone;
  s.capacity = 4;
  s.ready = true;
  s.warm_up_left = cold;
  return s;
}
EndpointQuery query_of(LoadBalancer& a) {
  EndpointQuery w;
  w.service = a.service_index("p");
  return w;
}
}  // namespace

Test(load_balancer, prefers_own_zone_then_region_within_the_homes) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.replace_servers({seen("z", "n1"), seen("r", "n2"), seen("f", "s1")}, 0);
  a.set_proxy_counts({{"n1", 1}, {"n2", 1}, {"s1", 1}});
  EndpointQuery w = query_of(a);
  cr_assert_str_eq(a.endpoint(*a.choose(w, 0).server).id.c_str(), "z");
  std::vector<LocationIndex> const homes{a.region_index("south")};
  w.homes = &homes;
  cr_assert_str_eq(a.endpoint(*a.choose(w, 0).server).id.c_str(), "f");
  a.set_evacuated_zones({"s1"}, 0);
  cr_assert_not(a.choose(w, 0).server.has_value(), "no home left: refused rather than sent abroad");
  w.homes = nullptr;
  a.set_evacuated_zones({"s1", "n1"}, 0);
  cr_assert_str_eq(a.endpoint(*a.choose(w, 0).server).id.c_str(), "r");
}

Test(load_balancer, retired_and_misdirected_servers_get_nothing) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.replace_servers({seen("z", "n1"), seen("r", "n2")}, 0);
  a.report_misdirected(*a.choose(query_of(a), 0).server);
  cr_assert_str_eq(a.endpoint(*a.choose(query_of(a), 0).server).id.c_str(), "r");
  a.replace_servers({seen("z", "n1")}, 1);
  cr_assert_not(a.choose(query_of(a), 1).server.has_value());
}

// All proxies of a zone together, one of them with an old view, keep a server that is warming up below its bound in
// every second.
Test(load_balancer, slow_start_rate_holds_summed_over_all_proxies) {
  for (u32 n : {1u, 3u, 8u, 30u}) {
    Settings const st = settings();
    std::vector<std::unique_ptr<Settings>> sts;
    std::vector<std::unique_ptr<LoadBalancer>> ps;
    for (u32 i = 0; i < n; ++i) {
      sts.push_back(std::make_unique<Settings>(st));
      sts.back()->nodeName = "edge-" + std::to_string(i);
      ps.push_back(std::make_unique<LoadBalancer>(*sts.back()));
      ps[i]->set_limits(ps[i]->service_index("p"), ServiceLimits{100, 10, 3});
      ps[i]->set_proxy_counts({{"n1", i == 0 && n > 2 ? n - 1 : n}});
      ps[i]->replace_servers({seen("z", "n1", 30)}, 0);
    }
    std::vector<double> at;
    for (double t = 0; t < 5; t += 0.002)
      for (auto& p : ps) {
        auto const c = p->choose(query_of(*p), t);
        if (!c.server) continue;
        p->attempt_started(*c.server, t);
        p->attempt_succeeded(*c.server, 0.01, t);
        at.push_back(t);
      }
    for (std::size_t i = 0; i < at.size(); ++i) {
      std::size_t k = 0;
      while (i + k < at.size() && at[i + k] < at[i] + 1)
        ++k;
      cr_assert(k <= 10 * 1.5 + 5, "%zu in a second with %u proxies", k, n);
    }
    cr_assert(at.size() > 10, "a server that warms up is used, but gently: %zu", at.size());
  }
}

Test(load_balancer, servers_of_a_zone_taken_back_warm_up_until_heartbeats_arrive) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.set_limits(a.service_index("p"), ServiceLimits{100, 10, 3});
  a.set_proxy_counts({{"n1", 1}});
  a.set_evacuated_zones({"n1"}, 0);
  a.replace_servers({seen("z", "n1")}, 0);
  a.set_evacuated_zones({}, 5);
  int k = 0;
  for (double t = 5; t < 6; t += 0.01)
    if (auto const c = a.choose(query_of(a), t); c.server) {
      a.attempt_started(*c.server, t);
      a.attempt_succeeded(*c.server, 0.01, t);
      ++k;
    }
  cr_assert(k > 0 && k <= 20, "%d", k);
}

// In every window the retries over all proxies stay under the bound, also when one proxy restarts in the middle.
Test(retry_budget, bound_holds_in_every_window) {
  std::mt19937 rnd(5);
  double const window = 10, ratio = 0.2, slack = 60;
  int const n = 9;
  auto fresh = [&] { return RetryBudget({window, ratio * 0.8, slack * 0.7}); };
  std::vector<RetryBudget> b;
  for (int i = 0; i < n; ++i)
    b.push_back(fresh());
  std::vector<double> attempts, requests;
  for (double t = 0; t < 60; t += 0.01) {
    for (auto& x : b) {
      if (rnd() % 4 == 0 && !(t > 20 && t < 32)) {
        x.request_arrived(t);
        requests.push_back(t);
      }
      if (x.take(t, 1.0 / (n * 1.25))) attempts.push_back(t);
    }
    if (std::abs(t - 30) < 0.005) b[0] = fresh();
  }
  auto in = [](std::vector<double> const& v, double a, double z) {
    return static_cast<double>(std::lower_bound(v.begin(), v.end(), z) - std::lower_bound(v.begin(), v.end(), a));
  };
  for (double t = 0; t < 50; t += 0.25) {
    double const e = std::max(
        {in(requests, t, t + window), in(requests, t - window, t), in(requests, t - window / 2, t + window / 2)});
    cr_assert(in(attempts, t, t + window) <= ratio * e + slack, "at %f: %f retries for %f requests", t,
              in(attempts, t, t + window), e);
  }
  cr_assert(attempts.size() > 100);
}

// Failure: bounds of a changed settings file were not in force for services that had been used before.
Test(load_balancer, changed_retry_bounds_are_in_force_for_services_in_use) {
  Settings changing = settings();
  changing.bounds.retryRatio = changing.bounds.retrySlack = 0;
  LoadBalancer balancer(changing);
  ServiceIndex const service = balancer.service_index("p");
  auto const may_retry = [&](Seconds now) {
    balancer.retry_budget(service).request_arrived(now);
    return balancer.retry_budget(service).take(now, 1);
  };
  cr_assert_not(may_retry(1));
  changing.bounds.retrySlack = 100;
  balancer.on_settings_changed();
  cr_assert(may_retry(2));
  changing.bounds.retrySlack = 0;
  balancer.on_settings_changed();
  cr_assert_not(may_retry(3));
}

// Connections of all proxies together stay under a server's limit, also when some know of fewer proxies than there are.
Test(load_balancer, connection_shares_stay_under_the_limit) {
  Settings const st = settings();
  for (u32 n : {4u, 9u, 40u}) {
    u32 sum = 0;
    for (u32 i = 0; i < n; ++i) {
      LoadBalancer a(st);
      a.set_limits(a.service_index("p"), ServiceLimits{110, 10, 3});
      a.set_proxy_counts({{"n1", i == 0 ? n - 1 : n}});
      a.replace_servers({seen("z", "n1")}, 0);
      sum += a.connection_share(*a.choose(query_of(a), 0).server);
    }
    cr_assert(sum <= 110, "%u proxies hold %u", n, sum);
  }
}

Test(load_shedding, lower_ranks_are_shed_first) {
  cr_assert_not(should_shed(0, 100, 0.3));
  for (u32 r = 1; r < 6; ++r) {
    cr_assert_not(should_shed(r, 0.3, 0.3), "what comes in time is never refused");
    cr_assert(should_shed(r, 1.0, 0.3));
  }
  cr_assert_not(should_shed(1, 0.7, 0.3));
  cr_assert(should_shed(2, 0.7, 0.3));
}

// A server at capacity and one that resets connections get nothing for a moment, then requests again.
Test(load_balancer, ejection_is_temporary_and_grows) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.replace_servers({seen("z", "n1")}, 0);
  ServerIndex const z = *a.choose(query_of(a), 0).server;
  a.eject(z, 0.1, 0);
  cr_assert_not(a.choose(query_of(a), 0.01).server.has_value());
  cr_assert(a.choose(query_of(a), 0.2).server.has_value());
  a.eject(z, 0.1, 0.2);
  cr_assert_not(a.choose(query_of(a), 0.33).server.has_value(), "longer the second time");
  a.report_at_capacity(z, 1);
  cr_assert_not(a.choose(query_of(a), 1.01).server.has_value());
  cr_assert(a.choose(query_of(a), 1.2).server.has_value());
}

Test(settings, bad_ones_are_named_and_unknown_ones_ignored) {
  std::string const ok = "ip=10.0.0.1\nzone=a\nzones.a=r\ninnerPorts=7000,7010\nnew.field=x\nseedAddrs=10.0.0.2:80\n";
  cr_assert_eq(parse_settings(ok).seeds.size(), 1u);
  for (auto const& [line, field] :
       std::vector<std::pair<std::string, std::string>>{{"innerPorts=7000", "innerPorts"},
                                                        {"bounds.quietS=abc", "bounds.quietS"},
                                                        {"bootstrap=yes", "bootstrap"},
                                                        {"seedAddrs=10.0.0.2", "seedAddrs"},
                                                        {"bind.front=host:80", "bind.front"},
                                                        {"beatPeriodS=0", "beatPeriodS"},
                                                        {"ip=10.0.0", "ip"}}) {
    try {
      parse_settings(ok + line + "\n");
      cr_assert(false, "%s passed", line.c_str());
    } catch (SettingsError const& e) {
      cr_assert_str_eq(e.field.c_str(), field.c_str());
    }
  }
}

// Servers that reject requests or fail them while their health is good get fewer, and are tried again after a while.
Test(load_balancer, failed_requests_outweigh_good_health) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.replace_servers({seen("grey", "n1"), seen("good", "n1"), seen("fine", "n1")}, 0);
  a.set_proxy_counts({{"n1", 1}});
  std::map<std::string, int> n;
  Seconds t = 0;
  for (int i = 0; i < 600; ++i) {
    t += 0.02;
    auto const c = a.choose(query_of(a), t);
    if (!c.server) continue;
    a.attempt_started(*c.server, t);
    ++n[a.endpoint(*c.server).id];
    a.attempt_succeeded(*c.server, 0.02, t + 0.01);
    if (a.endpoint(*c.server).id == "grey" && i % 2 == 0) a.report_failure(*c.server, t + 0.01);
  }
  cr_assert_lt(n["grey"], 60, "%d", n["grey"]);
  cr_assert_gt(n["grey"], 0, "but it is tried");
}

// Each proxy uses a few servers of its own while they suffice, and those differ between proxies.
Test(load_balancer, proxies_prefer_their_own_servers) {
  std::map<std::string, int> all;
  for (int p = 0; p < 10; ++p) {
    Settings st = settings();
    st.nodeName = "edge-" + std::to_string(p);
    LoadBalancer a(st);
    std::vector<LoadBalancer::ServerUpdate> rows;
    for (int i = 0; i < 40; ++i)
      rows.push_back(seen("s" + std::to_string(i), "n1"));
    a.replace_servers(rows, 0);
    a.set_proxy_counts({{"n1", 10}});
    std::map<std::string, int> mine;
    for (int i = 0; i < 400; ++i) {
      Seconds const t = i * 0.05;
      auto const c = a.choose(query_of(a), t);
      a.attempt_started(*c.server, t);
      a.endpoint(*c.server).idle_connections = 1;
      ++mine[a.endpoint(*c.server).id];
      ++all[a.endpoint(*c.server).id];
      a.attempt_succeeded(*c.server, 0.05, t + 0.04);
    }
    cr_assert_lt(mine.size(), 15u, "%zu of 40", mine.size());
  }
  cr_assert_gt(all.size(), 15u, "%zu", all.size());
}

// A reset of an idle connection is remembered for a while; for requests that are not repeatable it counts for all
// servers of the service.
Test(load_balancer, idle_connections_found_reset_are_not_trusted) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.replace_servers({seen("x", "n1"), seen("y", "n1")}, 0);
  ServerIndex const x = *a.choose(query_of(a), 0).server, y(1 - x.v);
  a.report_idle_reset(x, 0.4, 10);
  cr_assert_lt(a.safe_idle_time(x, true, 11), 0.4);
  cr_assert_gt(a.safe_idle_time(y, true, 11), 10);
  cr_assert_lt(a.safe_idle_time(y, false, 11), 0.4);
  cr_assert_gt(a.safe_idle_time(y, false, 40), 10);
}

namespace {
// Requests one after the other, each cancelled after `patience` at z and answered after 0.05 s at y; how many went to
// z.
int chosen_of(LoadBalancer& balancer, Seconds patience, int requests) {
  int at_z = 0;
  Seconds now = 0;
  for (int i = 0; i < requests; ++i) {
    ServerIndex const server = *balancer.choose(query_of(balancer), now).server;
    balancer.attempt_started(server, now);
    if (balancer.endpoint(server).id == "z") {
      ++at_z;
      now += patience;
      balancer.attempt_cancelled(server, patience, now);
      balancer.attempt_abandoned(server);
    } else {
      now += 0.05;
      balancer.attempt_succeeded(server, 0.05, now);
    }
  }
  return at_z;
}
}  // namespace

// A server that answers nobody: each client leaves after a while, so that it never has a request in flight for long.
Test(load_balancer, server_whose_clients_leave_unanswered_does_not_look_idle) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.replace_servers({seen("z", "n1"), seen("y", "n1")}, 0);
  cr_assert_lt(chosen_of(a, 0.5, 200), 20);
  for (Endpoint const& endpoint : a.endpoints())
    cr_assert_eq(endpoint.in_flight, 0);
}

Test(load_balancer, attempt_cancelled_at_once_says_nothing_of_its_server) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.replace_servers({seen("z", "n1"), seen("y", "n1")}, 0);
  chosen_of(a, 0.001, 200);
  for (Endpoint const& endpoint : a.endpoints()) {
    if (endpoint.id != "z") continue;
    cr_assert_eq(endpoint.latency, 0);
    cr_assert_eq(endpoint.ejections, 0);
    cr_assert_eq(endpoint.failure_share, 0);
  }
}

// It is not forgotten yet, for a request is at work there.
Test(load_balancer, server_that_drains_gets_nothing_more_while_it_ends_what_it_has) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.replace_servers({seen("z", "n1"), seen("r", "n2")}, 0);
  ServerIndex const near = *a.choose(query_of(a), 0).server;
  cr_assert_str_eq(a.endpoint(near).id.c_str(), "z");
  a.attempt_started(near, 0);
  LoadBalancer::ServerUpdate draining = seen("z", "n1");
  draining.ready = false;
  a.update_servers({draining}, 0);
  cr_assert_str_eq(a.endpoint(near).id.c_str(), "z");
  cr_assert_str_eq(a.endpoint(*a.choose(query_of(a), 0).server).id.c_str(), "r");
}

namespace {
Seconds constexpr kLongWork = 0.58, kLongTarget = 2.5, kShortWork = 0.024, kShortTarget = 0.2, kSlowWork = 3;
int constexpr kWaveSize = 24;
u32 constexpr kLongRank = 1, kShortRank = 2;
std::string const kLongRoute = "upload", kShortRoute = "view";

/// A service of four servers in our zone, with requests of two routes.
struct UnlikeRoutes {
  UnlikeRoutes() : balancer(st) {
    std::vector<LoadBalancer::ServerUpdate> servers;
    for (char const* id : {"a", "b", "c", "d"})
      servers.push_back(seen(id, "n1"));
    balancer.replace_servers(servers, 0);
    balancer.set_proxy_counts({{"n1", 1}});
  }

  /// One request of the route; false: it is shed.
  bool request(std::string const& route, Seconds work, Seconds target, u32 rank) {
    now += 0.1;
    EndpointQuery query = query_of(balancer);
    query.route = &route;
    query.latency_target = target;
    LoadBalancer::Choice const choice = balancer.choose(query, now);
    if (should_shed(rank, choice.expected_latency, target, choice.usual_latency)) return false;
    balancer.attempt_started(*choice.server, now);
    now += work;
    balancer.attempt_succeeded(*choice.server, work, now, &route);
    return true;
  }
  /// Requests that come at once; how many of them are shed.
  int shed_of_wave(std::string const& route, Seconds work, Seconds target, u32 rank) {
    EndpointQuery query = query_of(balancer);
    query.route = &route;
    query.latency_target = target;
    std::vector<ServerIndex> at_work;
    for (int i = 0; i < kWaveSize; ++i) {
      LoadBalancer::Choice const choice = balancer.choose(query, now);
      if (!choice.server || should_shed(rank, choice.expected_latency, target, choice.usual_latency)) continue;
      balancer.attempt_started(*choice.server, now);
      at_work.push_back(*choice.server);
    }
    now += work;
    for (ServerIndex const server : at_work)
      balancer.attempt_succeeded(server, work, now, &route);
    return kWaveSize - static_cast<int>(at_work.size());
  }
  /// As many requests as the servers take, which stay at work.
  void hold_at_work(std::string const& route) {
    EndpointQuery query = query_of(balancer);
    query.route = &route;
    query.latency_target = kLongTarget;
    for (int i = 0; i < kWaveSize; ++i)
      if (LoadBalancer::Choice const choice = balancer.choose(query, now); choice.server)
        balancer.attempt_started(*choice.server, now);
  }
  bool request_long() { return request(kLongRoute, kLongWork, kLongTarget, kLongRank); }
  bool request_short() { return request(kShortRoute, kShortWork, kShortTarget, kShortRank); }
  Seconds mean_of(std::string const& route) { return balancer.mean_latency(balancer.service_index("p"), route, now); }

  Settings st = settings();
  LoadBalancer balancer;
  Seconds now = 1;
};
}  // namespace

// Failure: a route with short work, beside one with long work on the same service, was refused altogether and for ever.
Test(load_balancer, a_route_with_short_work_is_served_beside_one_with_long_work) {
  UnlikeRoutes trial;
  for (int i = 0; i < 300; ++i)
    cr_assert(trial.request_long());
  for (int i = 0; i < 100; ++i) {
    cr_assert(trial.request_short(), "request %d", i);
    cr_assert(trial.request_long());
  }
  cr_assert_float_eq(trial.mean_of(kShortRoute), kShortWork, 0.001);
  cr_assert_float_eq(trial.mean_of(kLongRoute), kLongWork, 0.001);
}

// Failure: as above, where all requests of the other route are at work, so that the servers look slow to a new one.
Test(load_balancer, a_route_that_was_never_seen_is_tried_however_long_others_take) {
  UnlikeRoutes trial;
  for (int i = 0; i < 300; ++i)
    cr_assert(trial.request_long());
  trial.hold_at_work(kLongRoute);
  cr_assert(trial.request_short());
}

// Failure: a route whose target is shorter than any answer takes was refused from the start, by idle servers.
Test(load_balancer, a_route_whose_target_no_server_can_meet_is_served_while_they_are_not_busy) {
  UnlikeRoutes trial;
  for (int i = 0; i < 100; ++i)
    cr_assert(trial.request(kShortRoute, kShortWork, kShortWork / 10, 9), "request %d", i);
}

// Failure: what made an estimate high was refused from then on, and nothing that is refused brings it down.
Test(load_balancer, a_route_that_was_slow_on_busy_servers_is_tried_again) {
  UnlikeRoutes trial;
  for (int i = 0; i < 100; ++i)
    trial.request_short();
  int shed = 0;
  for (int wave = 0; wave < 3; ++wave)
    shed += trial.shed_of_wave(kShortRoute, kSlowWork, kShortTarget, kShortRank);
  cr_assert_gt(shed, kWaveSize, "busy servers are spared");
  cr_assert_not(trial.request_short());
  trial.now += 60;
  for (int i = 0; i < 100; ++i)
    cr_assert(trial.request_short(), "request %d", i);
}

Test(load_shedding, what_a_server_that_is_not_busy_takes_is_never_refused) {
  cr_assert_not(should_shed(5, 1.4, 0.3, 1.0));
  cr_assert(should_shed(5, 1.6, 0.3, 1.0));
  cr_assert(should_shed(5, 1.4, 0.3, 0.2));
}
