#include <criterion/criterion.h>

#include <random>

#include "directory/directory.hpp"
#include "drain/proxy_drain.hpp"
#include "drain/proxy_drain_state.hpp"
#include "leases/lease_client.hpp"
#include "planning/drain_orders.hpp"

using namespace dockbend;

namespace {

DrainOrder order_of(std::vector<std::pair<std::string, u32>> const& units, std::string const& id = "7",
                    double headroom = 0.2) {
  DrainOrder o;
  o.id = id;
  o.headroom = headroom;
  o.patienceS = 60;
  for (auto const& [n, w] : units) {
    DrainOrderUnit u;
    u.name = u.node = n;
    u.wave = w;
    o.units.push_back(u);
  }
  return o;
}

// A simulated busy morning: regions of proxies, clients that keep lists for up to 15 s, requests that are open for a
// while, and three controllers that compete for the drain lease over one replicated state. Steps are planned by the
// real classes; only time, clients and faults are drawn at random.
struct Morning {
  struct Open {
    Seconds until = 0;
    int kind = 0;  // 0 read, 1 keyed, 2 upload
    u64 key = 0;
  };
  struct Proxy {
    std::string front, zone, region;
    u64 incarnation = 1;
    DrainStage told = DrainStage::waiting;
    u64 told_life = 0;
    Seconds down_until = -1, told_at = 0, cordoned_at = -1, restart_at = -1;
    std::vector<Open> open;
    double load = 0, came = 0;
    bool up(Seconds now) const { return now >= down_until; }
    bool drains() const { return told >= DrainStage::draining && told_life == incarnation; }
  };
  struct Client {
    std::string zone, region;
    std::vector<std::size_t> list;
    Seconds asked = -100, keeps = 5;
  };
  struct Core {
    LeaseClient duty;
    ProxyDrainPlanner drainer{ProxyDrainOptions{}};
    Seconds down_until = -1, frozen_until = -1, cut_until = -1;
    ReplicatedState known;
    bool held = false;
  };
  struct Later {
    Seconds at = 0;
    std::function<void()> f;
  };

  Morning(unsigned seed, double demand_) : rnd(seed), demand(demand_) {
    for (int r = 0; r < 2; ++r)
      for (int z = 0; z < 2; ++z)
        for (int i = 0; i < 4; ++i) {
          Proxy p;
          p.zone = std::string(r == 0 ? "n" : "s") + std::to_string(z);
          p.region = r == 0 ? "north" : "south";
          p.front = p.zone + "-" + std::to_string(i);
          proxies.push_back(p);
          for (int k = 0; k < 6; ++k) {
            Client c;
            c.zone = p.zone;
            c.region = p.region;
            c.keeps = k == 0 ? 15 : 5;
            clients.push_back(c);
          }
        }
    for (int i = 0; i < 3; ++i)
      cores.push_back(Core{LeaseClient("drain", "c" + std::to_string(i), "", LeaseOptions{3, 0.4, 1.0}, 0)});
  }
  double u(double a, double b) { return std::uniform_real_distribution<>(a, b)(rnd); }

  void later(Seconds d, std::function<void()> f) { q.push_back({now + d, std::move(f)}); }

  // A change is applied after a moment, or lost in a partition; its outcome arrives late, or not at all.
  void submit(std::size_t i, std::function<bool(ReplicatedState&)> change, std::function<void(bool)> done) {
    if (now < cores[i].cut_until) return later(1.0, [done] { done(false); });
    auto const ok = std::make_shared<bool>(false);
    later(u(0.02, 0.3), [this, change, ok] {
      ReplicatedState s = reg;
      if (!change(s)) return;
      // As on the wire: the other controllers get the difference.
      StateDelta const d = delta_of(reg, s);
      ReplicatedState t = reg;
      cr_assert(apply(t, d));
      cr_assert_eq(t.units.size(), s.units.size(), "the difference is complete");
      reg = t;
      *ok = true;
    });
    bool const mute = u(0, 1) < 0.1;
    later(mute ? 1.0 : u(0.35, 0.6), [done, ok, mute] { done(!mute && *ok); });
  }

  std::vector<ProxyObservation> seen() const {
    std::vector<ProxyObservation> v;
    for (Proxy const& p : proxies) {
      ProxyObservation n;
      n.front = p.front;
      n.zone = p.zone;
      n.region = p.region;
      n.is_ready = n.is_reachable = p.up(now);
      n.load = p.load;
      DrainUnit const* x = find_unit(reg, p.front);
      if (x != nullptr && x->stage != DrainStage::waiting) {
        n.incarnation = p.incarnation;
        n.cordoned_for = p.cordoned_at < 0 ? 0 : now - p.cordoned_at;
        n.reported_stage = p.drains() || p.told == DrainStage::cordoned ? p.told : DrainStage::waiting;
      }
      n.has_current_configuration = true;
      for (Open const& o : p.open) {
        n.open_keyed += o.kind == 1 ? 1 : 0;
        n.open_uploads += o.kind == 2 ? 1 : 0;
      }
      v.push_back(n);
    }
    return v;
  }

  void core_step(std::size_t i) {
    Core& c = cores[i];
    if (now < c.down_until || now < c.frozen_until) return;
    if (now >= c.cut_until) {
      c.known = reg;
      c.duty.observe(reg.term("drain"), now);
    }
    if (LeaseClient::Action const m = c.duty.next_action(now, true); m != LeaseClient::Action::none) {
      LeaseClient::Proposal const a = c.duty.propose(m, now);
      LeaseClient const was = c.duty;
      u64 const incarnation = lives[i];
      submit(
          i, [was, a](ReplicatedState& s) { return was.apply(s, a); },
          [this, i, a, incarnation](bool ok) {
            if (lives[i] == incarnation) cores[i].duty.on_result(a, ok, now);
          });
    }
    if (!c.duty.may_act(now, 0)) {
      c.drainer.forget();
      return;
    }
    if (std::fmod(now, 0.4) > 0.1) return;
    DrainActions const mv = c.drainer.step(c.known, seen(), now);
    if (mv.empty()) return;
    u64 const fence = c.duty.fence();
    std::string const me = "c" + std::to_string(i);
    auto const change = [mv, fence, me](ReplicatedState& s) {
      Lease const* t = s.term("drain");
      return t != nullptr && t->fence == fence && t->holder == me && apply_actions(s, mv);
    };
    submit(i, change, [](bool) {});
    if (u(0, 1) < 0.1) submit(i, change, [](bool) {});  // a repeated submission
  }

  void resolve(Client& c) {
    Directory<NearestSelector> cat(1e9);
    std::set<std::string> cordoned;
    for (DrainUnit const& x : reg.units)
      if (x.stage != DrainStage::waiting && x.stage != DrainStage::back) cordoned.insert(x.name);
    std::map<std::string, std::size_t> ix;
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      ProxyEntry s;
      s.front = proxies[i].front;
      s.zone = proxies[i].zone;
      s.region = proxies[i].region;
      s.ready = proxies[i].up(now);
      s.load = proxies[i].load;
      ix[s.front] = i;
      cat.record_keepalive(s);
    }
    c.list.clear();
    for (ProxyEntry const* s : cat.resolve(ClientContext{c.zone, c.region}, cordoned))
      c.list.push_back(ix[s->front]);
    c.asked = now;
  }

  void request(Client& c) {
    int const kind = u(0, 1) < 0.6 ? 0 : u(0, 1) < 0.6 ? 1 : 2;
    u64 const key = ++keys;
    for (int attempt = 0; attempt < 6; ++attempt) {
      if (c.list.empty()) resolve(c);
      if (c.list.empty()) break;
      Proxy& p = proxies[c.list[rnd() % c.list.size()]];
      if (!p.up(now) || (p.drains() && kind != 0)) {  // not run: the client goes elsewhere
        if (attempt > 1) resolve(c);
        continue;
      }
      p.came += 1;
      p.open.push_back(Open{now + (kind == 0 ? u(0.05, 0.5) : kind == 1 ? u(0.3, 2) : u(1, 8)), kind, key});
      if (kind == 1) ++runs[key];
      return;
    }
    ++unserved;
  }

  void step() {
    Seconds const dt = 0.1;
    now += dt;
    for (std::size_t k = 0; k < q.size();) {
      if (q[k].at > now) {
        ++k;
        continue;
      }
      auto const f = std::move(q[k].f);
      q.erase(q.begin() + static_cast<long>(k));
      f();
    }
    for (std::size_t i = 0; i < cores.size(); ++i)
      core_step(i);
    for (Client& c : clients) {
      if (now - c.asked > c.keeps) resolve(c);
      if (u(0, 1) < demand * surge * dt) request(c);
    }
    for (Proxy& p : proxies) {
      std::erase_if(p.open, [&](Open const& o) { return o.until <= now; });
      p.load += 0.08 * (p.came / dt / 10.0 - p.load);  // it bears 10 requests a second
      p.came = 0;
      if (!p.up(now)) {
        p.load = 0;
        continue;
      }
      if (now - p.told_at > 0.6) {  // its keepalive's answer
        p.told_at = now;
        DrainUnit const* x = find_unit(reg, p.front);
        if (x != nullptr && x->stage == DrainStage::back) x = nullptr;
        p.told = x == nullptr ? DrainStage::waiting : x->stage;
        if (p.told == DrainStage::waiting)
          p.cordoned_at = -1;
        else if (p.cordoned_at < 0)
          p.cordoned_at = now;
        p.told_life = x == nullptr ? 0 : x->incarnation;
      }
      // The operator restarts what is empty.
      DrainUnit const* x = find_unit(reg, p.front);
      if (x != nullptr && x->stage == DrainStage::empty && x->incarnation == p.incarnation && p.restart_at < 0)
        p.restart_at = now + u(0.3, 2);
      if (p.restart_at >= 0 && now >= p.restart_at) {
        for (Open const& o : p.open)
          cut += o.kind != 0 ? 1 : 0;
        restart(p, 2);
        p.restart_at = -1;
      }
    }
  }
  void restart(Proxy& p, Seconds down) {
    p.open.clear();
    ++p.incarnation;
    p.down_until = now + down;
    p.told = DrainStage::waiting;
    p.cordoned_at = -1;
  }
  std::map<std::string, RegionCapacity> rooms() const {
    return region_capacities(seen(), [&](ProxyObservation const& n) {
      DrainUnit const* x = find_unit(reg, n.front);
      return x != nullptr && x->stage != DrainStage::waiting && x->stage != DrainStage::back;
    });
  }
  DrainRun const& pass() const { return reg.passes.front(); }

  std::mt19937 rnd;
  double demand, surge = 1;
  Seconds now = 0;
  ReplicatedState reg;
  std::vector<Proxy> proxies;
  std::vector<Client> clients;
  std::vector<Core> cores;
  std::map<std::size_t, u64> lives;
  std::vector<Later> q;
  std::map<u64, int> runs;
  u64 keys = 0, unserved = 0, cut = 0;
};

DrainOrder whole_order(Morning const& m) {
  std::vector<std::pair<std::string, u32>> units;
  for (std::size_t i = 0; i < m.proxies.size(); ++i)
    units.emplace_back(m.proxies[i].front, static_cast<u32>(i % 4));
  return order_of(units);
}
void begin_pass(Morning& m) {
  cr_assert(start_run(m.reg, whole_order(m)).is_new);
}

}  // namespace

// Every proxy is restarted on a busy morning. No region is short of capacity for a second, no keyed request or upload
// is cut off, every key runs once, whatever faults the lease holder has.
Test(proxy_drain, a_run_over_all_proxies_cuts_nothing_and_keeps_every_region_served) {
  for (unsigned seed = 1; seed <= 25; ++seed) {
    Morning m(seed, 0.8);
    for (int i = 0; i < 100; ++i)
      m.step();
    begin_pass(m);
    std::set<std::string> restarted;
    Seconds blow = m.now + 5, short_since = -1, loss = m.now + m.u(2, 60);
    while (m.pass().state == DrainRunState::running && m.now < 900) {
      m.step();
      for (auto const& [g, r] : m.rooms()) {
        short_since = r.nodes == 0 || r.load > 1 ? (short_since < 0 ? m.now : short_since) : -1;
        cr_assert(short_since < 0 || m.now - short_since < 1, "seed %u: %s is short at %.1f: %u nodes at %.2f", seed,
                  g.c_str(), m.now, r.nodes, r.load);
      }
      if (m.now >= loss) {  // a proxy is lost, with what was open there; the order comes once more
        loss = 1e18;
        m.restart(m.proxies[m.rnd() % m.proxies.size()], m.u(1, 6));
        StartedRun const run = start_run(m.reg, whole_order(m));
        cr_assert_not(run.is_new);
        cr_assert_eq(run.id, 7);
      }
      if (m.now < blow) continue;
      blow = m.now + m.u(3, 12);
      std::size_t i = m.rnd() % 3;
      for (std::size_t k = 0; k < 3; ++k)
        if (m.cores[k].duty.is_holder() && m.u(0, 1) < 0.8) i = k;
      switch (m.rnd() % 3) {
        case 0:
          m.cores[i] =
              Morning::Core{LeaseClient("drain", "c" + std::to_string(i), "", LeaseOptions{3, 0.4, 1.0}, m.now)};
          m.cores[i].down_until = m.now + m.u(0.5, 3);
          ++m.lives[i];
          break;
        case 1: m.cores[i].frozen_until = m.now + m.u(0.5, 6); break;
        default: m.cores[i].cut_until = m.now + m.u(0.5, 6); break;
      }
    }
    cr_assert(m.pass().state == DrainRunState::done, "seed %u: at %.0f s %u of %u are back: %s", seed, m.now,
              m.pass().back, m.pass().total, m.pass().why.c_str());
    cr_assert(m.reg.units.empty());
    for (auto const& p : m.proxies)
      cr_assert_geq(p.incarnation, 2, "seed %u: %s was restarted", seed, p.front.c_str());
    cr_assert_eq(m.cut, 0, "seed %u: %llu cut", seed, static_cast<unsigned long long>(m.cut));
    cr_assert_eq(m.unserved, 0, "seed %u: %llu unserved", seed, static_cast<unsigned long long>(m.unserved));
    cr_assert_gt(m.runs.size(), 1000u);
    for (auto const& [k, n] : m.runs)
      cr_assert_eq(n, 1);
  }
}

// A zone fails, or demand surges, during a run: it takes back the proxies that can still serve, reports why, begins no
// new unit, and goes on by itself afterwards.
Test(proxy_drain, a_shortage_takes_proxies_back_and_the_run_goes_on_by_itself) {
  std::size_t days_taken_back = 0;
  for (unsigned seed = 1; seed <= 16; ++seed) {
    Morning m(seed, 0.65);
    for (int i = 0; i < 100; ++i)
      m.step();
    begin_pass(m);
    Seconds const at = m.now + m.u(5, 14), end = at + 40;
    bool const surge = seed % 2 == 0;
    Seconds real_since = -1;
    bool said = false, taken_back = false;
    std::map<std::string, DrainStage> was;
    while (m.pass().state == DrainRunState::running && m.now < 900) {
      m.step();
      if (surge)
        m.surge = m.now > at && m.now < end ? 1.9 : 1;
      else
        for (auto& p : m.proxies)
          if (p.zone == "n0" && m.now > at && m.now < at + 0.15) m.restart(p, end - at);
      RegionCapacity const r = m.rooms().at("north");
      real_since = is_short(r, 0.2) ? (real_since < 0 ? m.now : real_since) : -1;
      std::size_t out = 0;
      for (DrainUnit const& x : m.reg.units) {
        bool const north = x.name[0] == 'n', mine = x.name.substr(0, 2) != "n0";
        out += north && mine && (x.stage == DrainStage::cordoned || x.stage == DrainStage::draining) ? 1 : 0;
        taken_back = taken_back || (was[x.name] != DrainStage::waiting && x.stage == DrainStage::waiting);
        was[x.name] = x.stage;
      }
      if (real_since >= 0 && m.now - real_since > 6)
        cr_assert_eq(out, 0, "seed %u: %zu still out at %.1f, %u nodes at %.2f", seed, out, m.now, r.nodes, r.load);
      said = said || m.pass().why.find("region ") == 0;
    }
    cr_assert(m.pass().state == DrainRunState::done, "seed %u: %u of %u back: %s", seed, m.pass().back, m.pass().total,
              m.pass().why.c_str());
    cr_assert(said || !taken_back, "seed %u: a proxy was taken back and no reason was reported", seed);
    days_taken_back += taken_back ? 1 : 0;
    for (auto const& [k, n] : m.runs)
      cr_assert_eq(n, 1);
    cr_assert_eq(m.cut, 0);
  }
  cr_assert_geq(days_taken_back, 12u, "%zu", days_taken_back);
}

Test(drain_run, orders_repeat_overlap_and_end) {
  ReplicatedState s;
  cr_assert(start_run(s, order_of({{"a", 0}, {"b", 1}})).is_new);
  cr_assert_not(start_run(s, order_of({{"a", 0}, {"b", 1}})).is_new, "the same call again");
  StartedRun const same = start_run(s, order_of({{"b", 0}, {"a", 0}}, "9"));
  cr_assert_not(same.is_new, "the same order");
  cr_assert_eq(same.id, 7);
  try {
    start_run(s, order_of({{"b", 0}, {"c", 0}}, "10"));
    cr_assert_fail("it overlaps");
  } catch (DrainOrderError const& e) {
    cr_assert_eq(e.code, 409);
    cr_assert_str_eq(e.what(), "b: already in pass 7");
  }
  for (auto const& [o, why] : {std::pair{order_of({{"x", 0}, {"x", 0}}), "x: named twice"},
                               {order_of({}), "units: empty"},
                               {order_of({{"x", 0}}, "7", 1.0), "headroom: wants a share from 0 to below 1"},
                               {order_of({{"x", 0}}, "z"), "id: wants a number above 0"}}) {
    try {
      validate(o);
      cr_assert_fail("%s", why);
    } catch (DrainOrderError const& e) {
      cr_assert_str_eq(e.what(), why);
    }
  }
  DrainActions m;
  m.transitions.push_back(StageTransition{7, "a", DrainStage::waiting, DrainStage::cordoned, 5});
  cr_assert(control_run(s, 7, DrainCommand::pause));
  cr_assert_not(apply_actions(s, m), "a paused run begins no unit");
  cr_assert(control_run(s, 7, DrainCommand::resume));
  cr_assert(apply_actions(s, m));
  cr_assert_not(apply_actions(s, m), "a transition has its effect once");
  cr_assert(control_run(s, 7, DrainCommand::abort));
  cr_assert(s.units.empty(), "units that were out are in service again");
  cr_assert_not(control_run(s, 7, DrainCommand::abort));
  cr_assert_not(apply_actions(s, m));
}

// A proxy that restarted during its drain is drained in its new incarnation; reports of the old one do not count.
Test(proxy_drain, a_proxy_is_empty_only_in_the_incarnation_that_is_drained) {
  ReplicatedState s;
  start_run(s, order_of({{"a", 0}}));
  s.units[0].stage = DrainStage::draining;
  s.units[0].incarnation = 1;
  ProxyDrainPlanner d{ProxyDrainOptions{}};
  ProxyObservation n, other;
  n.front = "a";
  other.front = "b";
  n.region = other.region = "r";
  n.is_ready = n.is_reachable = other.is_ready = other.is_reachable = true;
  n.reported_stage = DrainStage::draining;
  n.incarnation = 2;
  DrainActions m = d.step(s, {n, other}, 10);
  cr_assert_eq(m.transitions.size(), 1u);
  cr_assert(m.transitions[0].to == DrainStage::draining && m.transitions[0].incarnation == 2);
  apply_actions(s, m);
  n.open_uploads = 1;
  cr_assert(d.step(s, {n, other}, 11).transitions.empty());
  n.open_uploads = 0;
  cr_assert(d.step(s, {n, other}, 12).transitions.empty(), "it has to report it twice");
  n.is_reachable = false;
  cr_assert(d.step(s, {n, other}, 13).transitions.empty(), "out of reach it is not known to be empty");
  n.is_reachable = true;
  cr_assert(d.step(s, {n, other}, 14).transitions.empty());
  m = d.step(s, {n, other}, 15);
  cr_assert(m.transitions.size() == 1 && m.transitions[0].to == DrainStage::empty);
  apply_actions(s, m);
  cr_assert(d.step(s, {n, other}, 16).transitions.empty(), "the old incarnation is not back");
  n.incarnation = 3;
  n.has_current_configuration = false;
  cr_assert(d.step(s, {n, other}, 17).transitions.empty(), "nor is one that lacks the configuration in force");
  n.has_current_configuration = true;
  m = d.step(s, {n, other}, 18);
  cr_assert(m.transitions.size() == 1 && m.transitions[0].to == DrainStage::back);
}

// A proxy that is unreachable before its turn does not hold up the others, and gets its turn once it is reached again;
// one that became unreachable during its drain is waited for.
Test(proxy_drain, an_unreachable_proxy_holds_up_the_run_only_during_its_own_drain) {
  ReplicatedState s;
  start_run(s, order_of({{"a", 0}, {"b", 1}}));
  ProxyDrainPlanner d{ProxyDrainOptions{}};
  std::vector<ProxyObservation> v(4);
  char const* const names[] = {"a", "b", "c", "d"};
  for (std::size_t i = 0; i < 4; ++i) {
    v[i].front = names[i];
    v[i].region = "r";
    v[i].is_ready = v[i].is_reachable = true;
  }
  v[0].is_ready = v[0].is_reachable = false;
  DrainActions m = d.step(s, v, 10);
  cr_assert(m.transitions.size() == 1 && m.transitions[0].name == "b");
  apply_actions(s, m);
  v[0].is_ready = v[0].is_reachable = true;
  m = d.step(s, v, 11);
  cr_assert(m.transitions.size() == 1 && m.transitions[0].name == "a", "reached again");
  apply_actions(s, m);
  v[0].is_reachable = false;
  v[1].incarnation = 4;
  v[1].reported_stage = DrainStage::cordoned;
  v[1].cordoned_for = 16;
  cr_assert(d.step(s, v, 30).transitions.empty(), "a is under way and comes before b");
}

// A proxy reports nothing without an instruction and nothing for another incarnation; an answer that may not be on disk
// yet counts as open.
Test(proxy_drain_state, a_proxy_drains_only_in_the_incarnation_named) {
  ProxyDrainState l(7);
  cr_assert_eq(l.status(3, 2, 1).keyed, 0, "without an instruction it reports nothing");
  DrainInstruction d;
  d.stage = static_cast<u32>(DrainStage::cordoned);
  cr_assert_not(l.on_instruction(d, 10));
  cr_assert_eq(l.status(3, 2, 14).stage, static_cast<u32>(DrainStage::cordoned));
  cr_assert_float_eq(l.status(3, 2, 14).since, 4, 1e-9);
  d.stage = static_cast<u32>(DrainStage::draining);
  d.incarnation = 6;
  cr_assert_not(l.on_instruction(d, 20), "another incarnation is named");
  cr_assert_eq(l.status(0, 0, 21).stage, 0, "it does not report as the one that is named");
  d.incarnation = 7;
  cr_assert(l.on_instruction(d, 22));
  l.on_keyed_answer(23);
  cr_assert_eq(l.status(1, 0, 24).keyed, 2);
  cr_assert_eq(l.status(0, 0, 24.6).keyed, 0);
  cr_assert_float_eq(l.status(0, 0, 25).since, 15, 1e-9, "counted from the first instruction");
  cr_assert(l.on_instruction(DrainInstruction{}, 26), "called off");
  d.stage = static_cast<u32>(DrainStage::cordoned);
  l.on_instruction(d, 30);
  cr_assert_float_eq(l.status(0, 0, 31).since, 1, 1e-9, "and counted from there again");
}

namespace {
FleetSnapshot loaded_fleet(int per_zone, double load) {
  FleetSnapshot c;
  c.settled = true;
  for (auto const& [z, g] : {std::pair{"n1", "north"}, {"n2", "north"}, {"s1", "south"}}) {
    ZoneSnapshot x;
    x.zone = z;
    x.region = g;
    c.zones.push_back(x);
    for (int i = 0; i < per_zone; ++i) {
      ProxySnapshot s;
      s.front = std::string(z) + ":" + std::to_string(i);
      s.node = std::string("edge-") + z + "-" + std::to_string(i);
      s.zone = z;
      s.region = g;
      s.ready = true;
      s.load = load;
      c.sites.push_back(s);
      TrafficSurvey v;
      v.front = s.front;
      RouteRate l;
      l.route = "read";
      l.rate = 30 * load;
      v.routes.push_back(l);
      l.route = "pay";
      l.rate = 10 * load;
      v.routes.push_back(l);
      c.surveys.push_back(v);
    }
  }
  for (auto const& [n, k, r] : {std::tuple{"read", "idempotent", 2u}, {"pay", "keyed", 1u}}) {
    RouteSnapshot l;
    l.name = n;
    l.kind = k;
    l.rank = r;
    c.routes.push_back(l);
  }
  return c;
}
}  // namespace

Test(drain_waves, waves_keep_the_headroom_and_cover_all_proxies) {
  FleetSnapshot const c = loaded_fleet(8, 0.4);
  auto const fronts = find_proxies(c, {"north", "south"});
  DrainWavePlan const p = plan_drain_waves(c, fronts, 0.2);
  cr_assert(p.fits);
  std::set<std::string> all;
  for (DrainWave const& w : p.waves) {
    for (auto const& f : w.fronts)
      cr_assert(all.insert(f).second, "each once");
    for (auto const& r : w.regions) {
      cr_assert_leq(r.load, 0.8);
      cr_assert_geq(r.nodes, r.region == "north" ? 8u : 4u, "half of a region stays");
    }
    double now = 0, after = 0;
    for (auto const& k : w.kinds) {
      now += k.now;
      after += k.after;
    }
    cr_assert_float_eq(now, after, 0.03 * now, "clients move, they do not vanish: %.1f %.1f", now, after);
  }
  cr_assert_eq(all.size(), 24u);
  cr_assert_leq(p.waves.size(), 5u, "%zu waves", p.waves.size());
  DrainWavePlan const tight = plan_drain_waves(loaded_fleet(2, 0.75), find_proxies(c, {"s1:0"}), 0.2);
  cr_assert_not(tight.fits);
  cr_assert_str_eq(tight.lacks.at(0).region.c_str(), "south");
  cr_assert_str_eq(tight.lacks.at(0).kind.c_str(), "idempotent",
                   "the kind with the higher rank number lacks capacity first");
}

Test(drain_orders, names_are_resolved_or_reported) {
  FleetSnapshot const c = loaded_fleet(2, 0.2);
  cr_assert_eq(find_proxies(c, {"n1", "edge-s1-0"}).size(), 3u);
  for (auto const& [names, why] :
       {std::pair<std::vector<std::string>, char const*>{{"n1", "edge-n1-0"}, "n1:0: named twice"},
        {{"oslo"}, "no such node, zone or region: oslo"}}) {
    try {
      find_proxies(c, names);
      cr_assert_fail("%s", why);
    } catch (DrainOrderError const& e) {
      cr_assert_str_eq(e.what(), why);
    }
  }
}

// Other regions get changes only, and the statement that the rest is unchanged.
Test(directory, entries_renewed_by_their_primary_live_and_differences_show) {
  Directory<NearestSelector> c(1.9);
  ProxyEntry s;
  s.zone = "z";
  s.region = "r";
  s.ready = true;
  s.via = "m";
  for (char const* f : {"a", "b"}) {
    s.front = f;
    c.record_keepalive(s);
  }
  u64 const both = hash64("a") + hash64("b");
  for (int t = 1; t <= 5; ++t) {
    cr_assert_eq(c.renew_entries_of("m", t), both);
    c.drop_expired(t);
  }
  cr_assert_eq(c.entries().size(), 2u);
  cr_assert_eq(c.renew_entries_of("other", 5), 0u);
  s.front = "a";
  s.via.clear();
  s.channel = 3;
  s.heard = 5;
  c.record_keepalive(s);
  cr_assert_eq(c.renew_entries_of("m", 5.5), hash64("b"),
               "a proxy registered here is not renewed by another directory");
  auto const l = c.resolve(ClientContext{"z", "r"}, {"a"});
  cr_assert(l.size() == 1 && l[0]->front == "b", "a cordoned proxy is not named");
  cr_assert_eq(c.resolve(ClientContext{"z", "r"}, {"a", "b"}).size(), 2u, "unless there is no other");
}
