#include <criterion/criterion.h>

#include <random>

#include "load_balancing/load_balancer.hpp"

using namespace dockbend;

namespace {
Settings settings(std::string const& zone = "n1") {
  return parse_settings("ip=10.0.0.1\nzone=" + zone +
                        "\ninnerPorts=7000,7010\nzones.n1=north\nzones.n2=north\nzones.s1=south\nbeatPeriodS=1\n");
}
LoadBalancer::Seen seen(std::string id, std::string zone, double cold = 0) {
  LoadBalancer::Seen s;
  s.id = id;
  s.service = "p";
  s.address = "10.1.0.1:80";
  s.zone = zone;
  s.capacity = 4;
  s.ready = true;
  s.cold_left = cold;
  return s;
}
EndpointQuery wish(LoadBalancer& a) {
  EndpointQuery w;
  w.pool = a.pool("p");
  return w;
}
}  // namespace

Test(assign, own_zone_then_region_and_homes_bind) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.table({seen("z", "n1"), seen("r", "n2"), seen("f", "s1")}, 0);
  a.sites({{"n1", 1}, {"n2", 1}, {"s1", 1}});
  EndpointQuery w = wish(a);
  cr_assert_str_eq(a.at(*a.choose(w, 0).ix).id.c_str(), "z");
  std::vector<LocationIndex> const homes{a.region("south")};
  w.homes = &homes;
  cr_assert_str_eq(a.at(*a.choose(w, 0).ix).id.c_str(), "f");
  a.evacuated({"s1"}, 0);
  cr_assert_not(a.choose(w, 0).ix.has_value(), "no home left: refused rather than sent abroad");
  w.homes = nullptr;
  a.evacuated({"s1", "n1"}, 0);
  cr_assert_str_eq(a.at(*a.choose(w, 0).ix).id.c_str(), "r");
}

Test(assign, what_is_gone_or_misdirected_gets_nothing) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.table({seen("z", "n1"), seen("r", "n2")}, 0);
  a.misdirected(*a.choose(wish(a), 0).ix);
  cr_assert_str_eq(a.at(*a.choose(wish(a), 0).ix).id.c_str(), "r");
  a.table({seen("z", "n1")}, 1);
  cr_assert_not(a.choose(wish(a), 1).ix.has_value());
}

// All proxies of a zone together, two of them with an old view, keep a cold
// server below its bound in every second.
Test(assign, cold_rate_holds_summed_over_proxies) {
  for (u32 n : {1u, 3u, 8u, 30u}) {
    Settings const st = settings();
    std::vector<std::unique_ptr<Settings>> sts;
    std::vector<std::unique_ptr<LoadBalancer>> ps;
    for (u32 i = 0; i < n; ++i) {
      sts.push_back(std::make_unique<Settings>(st));
      sts.back()->nodeName = "edge-" + std::to_string(i);
      ps.push_back(std::make_unique<LoadBalancer>(*sts.back()));
      ps[i]->rule(ps[i]->pool("p"), ServiceLimits{100, 10, 3});
      ps[i]->sites({{"n1", i == 0 && n > 2 ? n - 1 : n}});
      ps[i]->table({seen("z", "n1", 30)}, 0);
    }
    std::vector<double> at;
    for (double t = 0; t < 5; t += 0.002)
      for (auto& p : ps) {
        auto const c = p->choose(wish(*p), t);
        if (!c.ix) continue;
        p->took(*c.ix, t);
        p->gave(*c.ix, 0.01, true, t);
        at.push_back(t);
      }
    for (std::size_t i = 0; i < at.size(); ++i) {
      std::size_t k = 0;
      while (i + k < at.size() && at[i + k] < at[i] + 1)
        ++k;
      cr_assert(k <= 10 * 1.5 + 5, "%zu in a second with %u proxies", k, n);
    }
    cr_assert(at.size() > 10, "a cold server is used, but gently: %zu", at.size());
  }
}

Test(assign, zone_taken_back_counts_as_cold_until_beats_say_more) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.rule(a.pool("p"), ServiceLimits{100, 10, 3});
  a.sites({{"n1", 1}});
  a.evacuated({"n1"}, 0);
  a.table({seen("z", "n1")}, 0);
  a.evacuated({}, 5);
  int k = 0;
  for (double t = 5; t < 6; t += 0.01)
    if (auto const c = a.choose(wish(a), t); c.ix) {
      a.took(*c.ix, t);
      a.gave(*c.ix, 0.01, true, t);
      ++k;
    }
  cr_assert(k > 0 && k <= 20, "%d", k);
}

// Any window of any length: further tries over all proxies stay under the bound,
// also when one proxy starts anew in the middle.
Test(assign, retry_budget_holds_in_every_window) {
  std::mt19937 rnd(5);
  double const window = 10, ratio = 0.2, slack = 60;
  int const n = 9;
  auto fresh = [&] { return RetryBudget(window, ratio * 0.8, slack * 0.7); };
  std::vector<RetryBudget> b;
  for (int i = 0; i < n; ++i)
    b.push_back(fresh());
  std::vector<double> attempts, errands;
  for (double t = 0; t < 60; t += 0.01) {
    for (auto& x : b) {
      if (rnd() % 4 == 0 && !(t > 20 && t < 32)) {
        x.errand(t);
        errands.push_back(t);
      }
      if (x.take(t, 1.0 / (n * 1.25))) attempts.push_back(t);
    }
    if (std::abs(t - 30) < 0.005) b[0] = fresh();
  }
  auto in = [](std::vector<double> const& v, double a, double z) {
    return static_cast<double>(std::lower_bound(v.begin(), v.end(), z) - std::lower_bound(v.begin(), v.end(), a));
  };
  for (double t = 0; t < 50; t += 0.25) {
    double const e =
        std::max({in(errands, t, t + window), in(errands, t - window, t), in(errands, t - window / 2, t + window / 2)});
    cr_assert(in(attempts, t, t + window) <= ratio * e + slack, "at %f: %f tries for %f errands", t,
              in(attempts, t, t + window), e);
  }
  cr_assert(attempts.size() > 100);
}

// Channels of all proxies together stay under a server's limit, also when some
// know of fewer proxies than there are.
Test(assign, channel_shares_stay_under_the_limit) {
  Settings const st = settings();
  for (u32 n : {4u, 9u, 40u}) {
    u32 sum = 0;
    for (u32 i = 0; i < n; ++i) {
      LoadBalancer a(st);
      a.rule(a.pool("p"), ServiceLimits{110, 10, 3});
      a.sites({{"n1", i == 0 ? n - 1 : n}});
      a.table({seen("z", "n1")}, 0);
      sum += a.chan_share(*a.choose(wish(a), 0).ix);
    }
    cr_assert(sum <= 110, "%u proxies hold %u", n, sum);
  }
}

Test(assign, lower_ranks_make_way_first) {
  cr_assert_not(should_shed(0, 100, 0.3));
  for (u32 r = 1; r < 6; ++r) {
    cr_assert_not(should_shed(r, 0.3, 0.3), "what comes in time is never refused");
    cr_assert(should_shed(r, 1.0, 0.3));
  }
  cr_assert_not(should_shed(1, 0.7, 0.3));
  cr_assert(should_shed(2, 0.7, 0.3));
}

// A full server and one that resets are left alone for a moment, then tried again.
Test(assign, passive_health_shuns_and_forgives) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.table({seen("z", "n1")}, 0);
  ServerIndex const z = *a.choose(wish(a), 0).ix;
  a.shun(z, 0.1, 0);
  cr_assert_not(a.choose(wish(a), 0.01).ix.has_value());
  cr_assert(a.choose(wish(a), 0.2).ix.has_value());
  a.shun(z, 0.1, 0.2);
  cr_assert_not(a.choose(wish(a), 0.33).ix.has_value(), "longer the second time");
  a.full(z, 1);
  cr_assert_not(a.choose(wish(a), 1.01).ix.has_value());
  cr_assert(a.choose(wish(a), 1.2).ix.has_value());
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

// Servers that turn errands away or fail them while their health is good get fewer,
// and are tried again after a while.
Test(assign, what_errands_show_outweighs_health) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.table({seen("grey", "n1"), seen("good", "n1"), seen("fine", "n1")}, 0);
  a.sites({{"n1", 1}});
  std::map<std::string, int> n;
  Seconds t = 0;
  for (int i = 0; i < 600; ++i) {
    t += 0.02;
    auto const c = a.choose(wish(a), t);
    if (!c.ix) continue;
    a.took(*c.ix, t);
    ++n[a.at(*c.ix).id];
    a.gave(*c.ix, 0.02, true, t + 0.01);
    if (a.at(*c.ix).id == "grey" && i % 2 == 0) a.failed(*c.ix, t + 0.01);
  }
  cr_assert_lt(n["grey"], 60, "%d", n["grey"]);
  cr_assert_gt(n["grey"], 0, "but it is tried");
}

// Each proxy keeps to its own few servers while they suffice, and those differ.
Test(assign, proxies_keep_to_their_own_servers) {
  std::map<std::string, int> all;
  for (int p = 0; p < 10; ++p) {
    Settings st = settings();
    st.nodeName = "edge-" + std::to_string(p);
    LoadBalancer a(st);
    std::vector<LoadBalancer::Seen> rows;
    for (int i = 0; i < 40; ++i)
      rows.push_back(seen("s" + std::to_string(i), "n1"));
    a.table(rows, 0);
    a.sites({{"n1", 10}});
    std::map<std::string, int> mine;
    for (int i = 0; i < 400; ++i) {
      Seconds const t = i * 0.05;
      auto const c = a.choose(wish(a), t);
      a.took(*c.ix, t);
      a.at(*c.ix).idle = 1;
      ++mine[a.at(*c.ix).id];
      ++all[a.at(*c.ix).id];
      a.gave(*c.ix, 0.05, true, t + 0.04);
    }
    cr_assert_lt(mine.size(), 15u, "%zu of 40", mine.size());
  }
  cr_assert_gt(all.size(), 15u, "%zu", all.size());
}

// A reset of an idle channel is believed for a while, of all a pool's servers where an
// errand may not repeat.
Test(assign, idle_channels_found_reset_are_not_trusted) {
  Settings const st = settings();
  LoadBalancer a(st);
  a.table({seen("x", "n1"), seen("y", "n1")}, 0);
  ServerIndex const x = *a.choose(wish(a), 0).ix, y(1 - x.v);
  a.idle_lost(x, 0.4, 10);
  cr_assert_lt(a.idle_safe(x, true, 11), 0.4);
  cr_assert_gt(a.idle_safe(y, true, 11), 10);
  cr_assert_lt(a.idle_safe(y, false, 11), 0.4);
  cr_assert_gt(a.idle_safe(y, false, 40), 10);
}
