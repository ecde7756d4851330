#include <criterion/criterion.h>

#include <queue>
#include <random>

#include "idempotency/claim_quorum.hpp"
#include "idempotency/key_table.hpp"
#include "load_balancing/load_balancer.hpp"
#include "planning/forecast.hpp"
#include "planning/traffic_observer.hpp"

using namespace dockbend;

namespace {

// Proxies in three uneven zones of two regions, with the real load balancer and traffic observer; servers with slots
// and queues; keys claimed from the real key tables of five disks. Times of work vary by `width`. The forecast does not
// know which requests take how long.
struct Town {
  struct Work {
    std::size_t proxy = 0, server = 0;
    ServerIndex ix;
    Seconds sent = 0;
    int kind = 0;
    std::string key;
    bool upload = false;
  };
  struct Server {
    std::string id, zone;
    double lat = 0.1;
    u32 busy = 0;
    std::deque<Work> queue;
  };
  struct Proxy {
    Settings st;
    std::unique_ptr<LoadBalancer> as;
    TrafficObserver ob;
    std::string zone, region;
    double rate = 0;
  };
  struct Event {
    Seconds at = 0;
    int what = 0;  // 0 arrival at proxy, 1 answer
    Work w;
    bool operator<(Event const& o) const { return at > o.at; }
  };
  static constexpr char const* routes[] = {"read", "pay", "up"};

  Town(unsigned seed, double scale, double width_, int big) : rnd(seed), width(width_) {
    struct Z {
      char const *zone, *region;
      int servers, proxies;
      double rate;
    };
    for (Z const z : {Z{"n1", "north", 6, 2, 40}, Z{"n2", "north", 4, 1, 20}, Z{"s1", "south", 8, 1, 30}}) {
      zones[z.zone] = z.region;
      for (int i = 0; i < z.servers * big; ++i) {
        Server s;
        s.id = std::string(z.zone) + "-" + std::to_string(i);
        s.zone = z.zone;
        s.lat = u(0.07, 0.13);
        servers.push_back(s);
      }
      for (int i = 0; i < z.proxies; ++i) {
        Proxy p;
        p.zone = z.zone;
        p.region = z.region;
        p.rate = z.rate * scale * big / z.proxies;
        proxies.push_back(std::move(p));
      }
    }
    for (std::size_t k = 0; k < 5; ++k)
      disks.emplace_back(true);
    std::vector<LoadBalancer::ServerUpdate> rows;
    for (Server const& s : servers) {
      LoadBalancer::ServerUpdate x;
      x.id = s.id;
      x.service = "p";
      x.address = "10.0.0.1:80";
      x.zone = s.zone;
      x.capacity = 4;
      x.ready = true;
      rows.push_back(x);
    }
    for (std::size_t i = 0; i < proxies.size(); ++i) {
      Proxy& p = proxies[i];
      p.st.ip = "0.0.0.0";
      p.st.nodeName = "proxy-" + std::to_string(i);
      p.st.zone = p.zone;
      p.st.region = p.region;
      p.st.zones = zones;
      p.as = std::make_unique<LoadBalancer>(p.st);
      p.as->set_limits(p.as->service_index("p"), ServiceLimits{200, 0, 0});
      p.as->replace_servers(rows, 0);
      p.as->set_proxy_counts({{"n1", 2}, {"n2", 1}, {"s1", 1}});
      next(i, 0);
    }
  }
  double u(double a, double b) { return std::uniform_real_distribution<>(a, b)(rnd); }
  void next(std::size_t i, Seconds now) {
    Event e;
    e.at = now - std::log(1 - u(0, 1)) / proxies[i].rate;
    e.w.proxy = i;
    q.push(e);
  }

  void arrive(Event e) {
    next(e.w.proxy, e.at);
    Proxy& p = proxies[e.w.proxy];
    double const x = u(0, 1);
    e.w.kind = x < 0.6 ? 0 : x < 0.9 ? 1 : 2;
    e.w.upload = e.w.kind == 2;
    p.ob.on_request(routes[e.w.kind], "p", {}, e.w.upload, e.at);
    ++came;
    if (e.w.kind == 1) {
      // A client that timed out sends its key again, at times through another proxy.
      e.w.key = u(0, 1) < 0.1 && !keys.empty() ? keys[rnd() % keys.size()] : "k" + std::to_string(++made);
      keys.push_back(e.w.key);
      ClaimRequest c;
      c.key = e.w.key;
      c.holder = rnd() | 1;
      c.epoch = Epoch(1);
      c.work_ms = 2000;
      ClaimQuorum quorum(disks.size(), Epoch(1));
      ClaimQuorum::Result end = ClaimQuorum::Result::open;
      for (std::size_t d = 0; d < disks.size() && end == ClaimQuorum::Result::open; ++d) {
        ClaimResponse r;
        disks[d].claim(c, Epoch(1), e.at, r);
        disks[d].confirm_durable(operation_of(c), c.holder, true);
        end = quorum.count(std::to_string(d), r);
      }
      if (end != ClaimQuorum::Result::granted) {
        ++repeats;
        return;
      }
    }
    EndpointQuery w;
    w.service = p.as->service_index("p");
    w.is_upload = e.w.upload;
    w.latency_target = 1;
    LoadBalancer::Choice const ch = p.as->choose(w, e.at);
    if (!ch.server) {
      unserved += e.at > count_from ? 1 : 0;
      if (e.w.kind == 1)
        for (KeyTable& d : disks) {  // nothing ran: the key is released
          for (HeldKey const& h : d.all_keys())
            if (h.key == e.w.key) {
              ReleaseRequest r;
              r.key = h.key;
              r.holder = h.holder;
              d.release(r, 0);
            }
        }
      return;
    }
    p.as->attempt_started(*ch.server, e.at);
    e.w.ix = *ch.server;
    for (std::size_t i = 0; i < servers.size(); ++i)
      if (servers[i].id == p.as->endpoint(*ch.server).id) e.w.server = i;
    e.w.sent = e.at;
    Server& s = servers[e.w.server];
    p.ob.on_attempt(routes[e.w.kind], s.zone, e.at);
    if (gone.count(s.zone) > 0) ++into_gone;
    if (!e.w.key.empty()) ++runs[e.w.key];
    uploads_begun += e.w.upload ? 1 : 0;
    if (s.busy < 4)
      begin(s, e.w, e.at);
    else
      s.queue.push_back(e.w);
  }
  void begin(Server& s, Work const& w, Seconds now) {
    ++s.busy;
    Event e;
    e.what = 1;
    e.at = now + s.lat * (1 + width * u(-1, 1)) * (w.upload ? 2.0 : 0.9);
    e.w = w;
    q.push(e);
  }
  void answer(Event const& e) {
    Server& s = servers[e.w.server];
    --s.busy;
    uploads_ended += e.w.upload ? 1 : 0;
    proxies[e.w.proxy].as->attempt_succeeded(e.w.ix, e.at - e.w.sent, e.at);
    if (s.queue.empty()) return;
    Work const n = s.queue.front();
    s.queue.pop_front();
    begin(s, n, e.at);
  }
  void run(Seconds until, bool arrivals = true) {
    while (!q.empty() && q.top().at <= until) {
      Event const e = q.top();
      q.pop();
      now = e.at;
      if (e.what == 1)
        answer(e);
      else if (arrivals)
        arrive(e);
    }
    now = until;
  }
  void evacuate(std::set<std::string> const& z) {
    gone = z;
    for (Proxy& p : proxies)
      p.as->set_evacuated_zones(z, now);
  }
  FleetSnapshot capture() const {
    FleetSnapshot c;
    c.settled = true;
    c.beatPeriodS = 1;
    for (auto const& [z, g] : zones) {
      ZoneSnapshot x;
      x.zone = z;
      x.region = g;
      x.proxies = z == "n1" ? 2 : 1;
      c.zones.push_back(x);
    }
    for (Server const& s : servers) {
      ServerSnapshot x;
      x.id = s.id;
      x.service = "p";
      x.zone = s.zone;
      x.capacity = 4;
      x.ready = true;
      c.servers.push_back(x);
    }
    for (auto const& [n, k] : {std::pair{"read", "idempotent"}, {"pay", "keyed"}, {"up", "inflow"}}) {
      RouteSnapshot l;
      l.name = n;
      l.kind = k;
      l.setpointS = 1;
      c.routes.push_back(l);
    }
    ServiceSnapshot p;
    p.name = "p";
    p.connLimit = 200;
    c.pools.push_back(p);
    for (Proxy const& x : proxies) {
      TrafficSurvey v;
      v.front = x.st.nodeName;
      v.zone = x.zone;
      v.region = x.region;
      x.ob.fill(v, now);
      for (Endpoint const& t : x.as->endpoints()) {
        if (t.latency <= 0) continue;
        ServerLatency s;
        s.id = t.id;
        s.lat = t.latency;
        s.dev = t.latency_deviation;
        s.told = true;
        v.speeds.push_back(s);
      }
      c.surveys.push_back(v);
    }
    return c;
  }

  std::mt19937 rnd;
  double width;
  Seconds now = 0, count_from = 1e18;
  std::map<std::string, std::string> zones;
  std::vector<Server> servers;
  std::vector<Proxy> proxies;
  std::vector<KeyTable> disks;
  std::priority_queue<Event> q;
  std::set<std::string> gone;
  std::vector<std::string> keys;
  std::map<std::string, int> runs;
  std::size_t came = 0, made = 0, repeats = 0, unserved = 0, into_gone = 0, uploads_begun = 0, uploads_ended = 0;
};

}  // namespace

// Zones then receive what was predicted; evacuated ones get nothing new, every upload begun ends, and each key runs
// once however often it is sent.
Test(evacuation, zones_receive_what_is_predicted_and_nothing_is_lost) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    Town t(seed, 1.5, 0.5, 4);
    t.run(30);
    std::string const zone = seed % 2 == 0 ? "n2" : "n1";
    EvacuationForecast const f = forecast_evacuation(t.capture(), {zone}, ForecastOptions{});
    cr_assert(f.fits, "seed %u", seed);
    t.evacuate({zone});
    t.run(42);
    double const off = compare_forecast(f, t.capture()).deviation;
    cr_assert_lt(off, 0.15, "seed %u: off by %.3f", seed, off);
    t.run(60, false);
    cr_assert_eq(t.into_gone, 0);
    cr_assert_gt(t.uploads_begun, 300u);
    cr_assert_eq(t.uploads_begun, t.uploads_ended, "seed %u", seed);
    cr_assert_gt(t.repeats, 50u);
    for (auto const& [k, n] : t.runs)
      cr_assert_eq(n, 1, "seed %u: %s ran %d times", seed, k.c_str(), n);
  }
}

// An overload is predicted, and its size is right also where times of work vary little.
Test(evacuation, an_overload_is_predicted_and_then_seen) {
  for (double const width : {0.05, 0.7}) {
    double said = 0, seen = 0;
    for (unsigned seed = 1; seed <= 6; ++seed) {
      Town t(seed, 3.9, width, 1);
      t.run(30);
      EvacuationForecast const f = forecast_evacuation(t.capture(), {"n1", "n2"}, ForecastOptions{});
      cr_assert_not(f.fits, "seed %u", seed);
      bool over = false;
      for (ZoneUtilization const& z : f.loads)
        over = over || (z.zone == "s1" && z.overloaded);
      cr_assert(over || !f.unserved.empty(), "seed %u: what can't be served is named", seed);
      for (UnservedRate const& x : f.unserved)
        said += x.rate;
      t.evacuate({"n1", "n2"});
      t.count_from = t.now + 6;
      t.run(t.now + 26);
      seen += static_cast<double>(t.unserved) / 20;
    }
    cr_assert_gt(seen, 6.0, "it is an overload");
    // 351 requests a second come.
    cr_assert_lt(std::abs(said - seen) / 6, 0.1 * 351, "width %.2f: %.1f a second said, %.1f seen", width, said / 6,
                 seen / 6);
  }
}
