#include <criterion/criterion.h>

#include <random>

#include "drain/server_drain.hpp"
#include "planning/drain_orders.hpp"

using namespace dockbend;

namespace {

// A simulated working day of one service in two regions: servers of uneven speed; requests, long uploads and keyed
// requests, each sent to the least loaded of a few ready servers drawn at random; proxies that report once a second
// what they have open. The operator ends servers that are empty, and a new one comes in place of each.
struct Day {
  struct Work {
    Seconds until = 0;
    int kind = 0;  // 0 read, 1 keyed, 2 upload
    std::size_t proxy = 0;
    Seconds began = 0;
  };
  struct Server {
    std::string id, zone, region;
    double speed = 1;
    bool there = true, lost = false;
    Seconds end_at = -1;
    std::vector<Work> work;
  };
  struct Report {
    Seconds at = -1e9;
    std::map<std::string, OpenWork> held;
  };

  explicit Day(unsigned seed, bool random) : rnd(seed), random_order(random) {
    for (int r = 0; r < 2; ++r)
      for (int i = 0; i < 12; ++i)
        add(r == 0 ? "n" : "s", i % 2, true);
  }
  double u(double a, double b) { return std::uniform_real_distribution<>(a, b)(rnd); }
  void add(std::string const& g, int z, bool old) {
    Server s;
    s.id = (old ? "old-" : "new-") + std::to_string(++made);
    s.region = g;
    s.zone = g + std::to_string(z);
    s.speed = u(0.5, 1.5);
    servers.push_back(s);
  }
  bool drained(Server const& s) const {
    auto const it = told.find(s.id);
    return it != told.end() && now - it->second > 1;  // proxies learn of it after a moment
  }
  void arrive(std::string const& g) {
    Server* best = nullptr;
    for (int k = 0; k < 4; ++k) {
      Server& s = servers[rnd() % servers.size()];
      if (s.region != g || !s.there || drained(s)) continue;
      if (best == nullptr || s.work.size() < best->work.size()) best = &s;
    }
    if (best == nullptr) return;
    double const x = u(0, 1);
    int const kind = x < 0.7 ? 0 : x < 1 - long_uploads ? 1 : 2;
    Seconds const d = (kind == 0   ? u(0.2, 2)
                       : kind == 1 ? u(0.5, 4)
                                   : std::min(900.0, -120 * std::log(u(0.001, 1)))) /
                      best->speed;
    best->work.push_back(Work{now + d, kind, rnd() % 6, now});
    if (kind == 1) ++keyed;
    if (find_unit(reg, best->id) != nullptr && drained(*best)) ++late;
  }
  std::vector<ServerObservation> seen() {
    bool all = true;
    std::map<std::string, OpenWork> sum;
    for (std::size_t p = 0; p < reports.size(); ++p) {
      all = all && now - reports[p].at < 2.5;
      for (auto const& [id, h] : reports[p].held) {
        OpenWork& t = sum[id];
        t.uploads += h.uploads;
        t.bytes += h.bytes;
        t.age = std::max(t.age, h.age);
        t.keyed += h.keyed;
        t.sessions += h.sessions;
      }
    }
    std::vector<ServerObservation> v;
    for (Server const& s : servers) {
      if (!s.there) continue;
      ServerObservation x;
      x.id = s.id;
      x.service = "svc";
      x.zone = s.zone;
      x.region = s.region;
      x.is_present = true;
      x.is_ready = told.count(s.id) == 0;
      x.slots = 12;
      x.is_fully_reported = all;
      x.open_work = sum[s.id];
      if (random_order && x.is_ready) {  // the order knows nothing
        x.open_work.uploads = x.open_work.keyed = 0;
        x.open_work.bytes = x.open_work.age = 0;
        x.open_work.sessions = static_cast<u32>(hash64(s.id) % 3);
      }
      v.push_back(std::move(x));
    }
    return v;
  }
  void step() {
    now += 1;
    for (char const* g : {"n", "s"})
      for (int k = static_cast<int>(u(6, 13)); k > 0; --k)
        arrive(g);
    for (Server& s : servers)
      std::erase_if(s.work, [&](Work const& w) { return w.until <= now; });
    for (std::size_t p = 0; p < reports.size(); ++p) {
      if (now < silent_until[p]) continue;
      Report r;
      r.at = now;
      for (Server const& s : servers)
        for (Work const& w : s.work) {
          if (w.proxy != p) continue;
          OpenWork& h = r.held[s.id];
          ++h.sessions;
          h.keyed += w.kind == 1 ? 1 : 0;
          h.uploads += w.kind == 2 ? 1 : 0;
          h.bytes += w.kind == 2 ? 1000 * (now - w.began) : 0;
          if (w.kind == 2) h.age = std::max(h.age, now - w.began);
        }
      reports[p] = std::move(r);
    }
    // A proxy goes silent now and then, for up to 20 s; the holder changes.
    if (u(0, 1) < 0.004) silent_until[rnd() % reports.size()] = now + u(1, 20);
    if (u(0, 1) < 0.004) drainer.forget();
    if (u(0, 1) < 0.0005) {  // a server is lost
      Server& s = servers[rnd() % servers.size()];
      if (s.there) {
        s.there = false;
        s.lost = true;
        s.work.clear();
        news.push_back({now + 60, s.region});
      }
    }
    DrainActions const m = drainer.step(reg, seen(), now);
    if (u(0, 1) < 0.9) apply_actions(reg, m);  // or the register did not answer in time
    if (u(0, 1) < 0.1) apply_actions(reg, m);
    std::size_t out = 0;
    for (DrainUnit const& x : reg.units)
      if (x.stage == DrainStage::draining || x.stage == DrainStage::empty) told.try_emplace(x.name, now);
    for (Server& s : servers) {
      if (!s.there) continue;
      DrainUnit const* x = find_unit(reg, s.id);
      bool const leaving = x != nullptr && (x->stage == DrainStage::draining || x->stage == DrainStage::empty);
      out += leaving ? 1 : 0;
      out_s += leaving ? 1 : 0;
      if (x != nullptr && x->stage == DrainStage::empty && s.end_at < 0) s.end_at = now + u(5, 30);
      if (s.end_at >= 0 && now >= s.end_at) {
        for (Work const& w : s.work) {
          broken += 1;
          uploads_cut += w.kind == 2 ? 1 : 0;
        }
        s.there = false;
        s.work.clear();
        news.push_back({now + u(10, 40), s.region});
      }
    }
    for (auto it = news.begin(); it != news.end();) {
      if (it->first > now) {
        ++it;
        continue;
      }
      add(it->second, static_cast<int>(rnd() % 2), false);
      it = news.erase(it);
    }
    std::erase_if(servers, [](Server const& s) { return !s.there; });
    std::size_t serving = 0;
    for (Server const& s : servers)
      serving += told.count(s.id) == 0 ? 1 : 0;
    fewest = std::min(fewest, serving);
    most_out = std::max(most_out, out);
  }

  std::mt19937 rnd;
  bool random_order;
  double long_uploads = 0.006;  // share of requests; where every server always holds some, no order is better
  Seconds now = 100;
  int made = 0;
  ReplicatedState reg;
  std::vector<Server> servers;
  std::vector<Report> reports{6};
  std::vector<Seconds> silent_until = std::vector<Seconds>(6, -1);
  std::map<std::string, Seconds> told;
  std::vector<std::pair<Seconds, std::string>> news;
  ServerDrainPlanner drainer{ServerDrainOptions{}};
  std::size_t broken = 0, uploads_cut = 0, late = 0, keyed = 0, fewest = 99, most_out = 0;
  double out_s = 0;
};

void begin_rotation(Day& d, u32 most) {
  DrainOrder o;
  o.id = "5";
  o.servers = true;
  o.headroom = 0.2;
  o.maxUnavailable = most;
  o.patienceS = 120;
  o.replaced = true;
  for (auto const& s : d.servers) {
    DrainOrderUnit x;
    x.name = s.id;
    x.node = "svc";
    o.units.push_back(x);
  }
  InitialServerCount h;
  h.service = "svc";
  h.n = static_cast<u32>(d.servers.size());
  o.had.push_back(h);
  cr_assert(start_run(d.reg, o).is_new);
}
}  // namespace

// Ten hours, every server replaced: no upload is begun again and no session broken, whichever proxies are silent or
// servers lost; and the order of leaving is better than chance.
Test(server_drain, a_rotation_over_a_working_day_breaks_nothing) {
  double ordered = 0, random = 0;
  for (unsigned seed = 1; seed <= 4; ++seed)
    for (bool const by_chance : {false, true}) {
      Day d(seed, by_chance);
      for (int i = 0; i < 300; ++i)
        d.step();
      begin_rotation(d, 2);
      while (d.reg.passes[0].state == DrainRunState::running && d.now < 36000)
        d.step();
      cr_assert(d.reg.passes[0].state == DrainRunState::done, "seed %u: %u of %u: %s", seed, d.reg.passes[0].back,
                d.reg.passes[0].total, d.reg.passes[0].why.c_str());
      for (auto const& s : d.servers)
        cr_assert(s.id.rfind("new-", 0) == 0, "seed %u: %s is still there", seed, s.id.c_str());
      cr_assert_eq(d.broken, 0, "seed %u: %zu broken", seed, d.broken);
      cr_assert_eq(d.uploads_cut, 0);
      cr_assert_eq(d.late, 0, "a draining server got new requests after proxies learned of it");
      cr_assert_geq(d.fewest, 24u - 2 - 1, "two out at once, and one lost in between: %zu", d.fewest);
      (by_chance ? random : ordered) += d.out_s;
    }
  cr_assert_lt(ordered, 0.75 * random, "out of service for %.0f s in order, %.0f s by chance", ordered, random);
}

// What is asked of every proxy each second does not grow with the servers of a run, and yet each gets its turn.
Test(server_drain, few_waiting_servers_are_surveyed_at_once) {
  ReplicatedState s;
  DrainOrder o;
  o.id = "4";
  o.servers = true;
  o.maxUnavailable = 1;
  o.patienceS = 1;
  for (int i = 0; i < 500; ++i) {
    DrainOrderUnit u;
    u.name = "s" + std::to_string(i);
    o.units.push_back(u);
  }
  start_run(s, o);
  s.units[77].stage = DrainStage::draining;
  ServerDrainPlanner d{ServerDrainOptions{}};
  std::set<std::string> all;
  for (int k = 0; k < 70; ++k) {
    auto const v = d.servers_to_survey(s);
    cr_assert_leq(v.size(), 33u);
    cr_assert_str_eq(v[0].c_str(), "s77", "a draining server is asked about each time");
    all.insert(v.begin(), v.end());
  }
  cr_assert_eq(all.size(), 500u);
}

// A lost server counts among those that may be missing; a missing report counts as busy; no server leaves without the
// headroom.
Test(server_drain, losses_missing_reports_and_lack_of_capacity_hold_it_up) {
  ReplicatedState s;
  DrainOrder o;
  o.id = "3";
  o.servers = true;
  o.headroom = 0.2;
  o.maxUnavailable = 1;
  o.patienceS = 60;
  o.replaced = true;
  for (char const* n : {"a", "b"}) {
    DrainOrderUnit x;
    x.name = n;
    x.node = "svc";
    o.units.push_back(x);
  }
  InitialServerCount h;
  h.service = "svc";
  h.n = 4;
  o.had.push_back(h);
  cr_assert(start_run(s, o).is_new);
  std::vector<ServerObservation> v(4);
  char const* const names[] = {"a", "b", "c", "d"};
  for (std::size_t i = 0; i < 4; ++i) {
    v[i].id = names[i];
    v[i].service = "svc";
    v[i].region = "r";
    v[i].is_present = v[i].is_ready = v[i].is_fully_reported = true;
    v[i].slots = 4;
  }
  ServerDrainPlanner d{ServerDrainOptions{}};
  v[3].is_present = false;
  cr_assert(d.step(s, v, 10).transitions.empty(), "one is lost, and one may be out");
  v[3].is_present = true;
  for (auto& x : v)
    x.open_work.sessions = 3;
  DrainActions m = d.step(s, v, 11);
  cr_assert(m.transitions.empty(), "12 of 12 slots would be in use");
  cr_assert(m.messages.at(0).text.find("svc in r") == 0, "%s", m.messages[0].text.c_str());
  for (auto& x : v)
    x.open_work.sessions = 1;
  v[0].open_work.uploads = 1;
  v[0].open_work.bytes = 5e6;
  m = d.step(s, v, 12);
  cr_assert(m.transitions.size() == 1 && m.transitions[0].name == "b", "a server with a long upload leaves last");
  apply_actions(s, m);
  v[1].is_ready = false;
  v[1].open_work = OpenWork{};
  for (int t = 13; t < 20; ++t) {
    m = d.step(s, v, t);
    cr_assert_eq(m.transitions.size(), t >= 17 ? 1u : 0u, "at %d: not before all proxies know", t);
    if (t == 16) v[1].is_fully_reported = false;
    if (t == 16) {
      cr_assert(d.step(s, v, 16.5).transitions.empty(), "a proxy that has not reported may have work open");
      v[1].is_fully_reported = true;
      cr_assert(d.step(s, v, 16.6).transitions.empty());
      cr_assert(d.step(s, v, 17.0).transitions.empty(), "it has to be reported twice");
      m = d.step(s, v, 17.5);
      cr_assert(m.transitions.size() == 1 && m.transitions[0].to == DrainStage::empty);
      break;
    }
  }
  apply_actions(s, m);
  cr_assert(control_run(s, 3, DrainCommand::take_back, "b"));
  cr_assert(s.passes[0].back == 1);
}
