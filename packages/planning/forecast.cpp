#include "planning/forecast.hpp"

#include <algorithm>
#include <boost/heap/priority_queue.hpp>
#include <cmath>
#include <deque>
#include <memory>

namespace dockbend {
namespace {

using FlowKey = std::pair<std::string, std::string>;  // zone, lane

// One play of the traffic. Invariant: every errand that came is in exactly one of:
// at a server, in a server's queue, done, unserved.
class Play {
 public:
  Play(FleetSnapshot const& c, std::set<std::string> const& gone, ForecastOptions const& p,
       std::set<std::string> const& out)
      : c_(c), p_(p), gone_(gone), out_(out), rnd_(p.seed * 2654435761u + 7) {
    double total = 0;
    for (TrafficSurvey const& s : c.surveys)
      for (RouteRate const& l : s.routes)
        total += l.rate;
    double const scale =
        total <= 0 ? 1 : std::min(1.0, static_cast<double>(p.most_errands) / (total * (p.seconds + p.warm)));
    until_ = std::max(1.0, p.seconds * scale) + p.warm * scale;
    warm_ = p.warm * scale;
    for (std::size_t i = 0; i < c.servers.size(); ++i)
      by_id_[c.servers[i].id] = i;
    servers_.resize(c.servers.size());
    speeds();
    for (TrafficSurvey const& s : c.surveys)
      add_proxy(s);
  }

  void run() {
    while (!q_.empty()) {
      Event const e = q_.top();
      q_.pop();
      if (e.at > until_) break;
      if (e.server < 0) {
        came(e);
        next_arrival(e.proxy, e.route, e.at);
      } else {
        done(e);
      }
    }
  }

  double span() const { return until_ - warm_; }
  std::map<FlowKey, double> flows;           // tries
  std::map<FlowKey, double> busy;            // (zone, service): slot seconds
  std::map<std::string, double> came_total;  // by lane
  std::map<std::string, double> unserved, homeless;

 private:
  struct Proxy {
    Settings st;
    std::unique_ptr<LoadBalancer> as;
    TrafficSurvey const* sv = nullptr;
  };
  struct Event {
    Seconds at = 0;
    std::size_t proxy = 0, route = 0;
    int server = -1;  // < 0: an errand comes
    Seconds sent = 0, began = 0;
    ServerIndex ix;
    bool operator<(Event const& o) const { return at > o.at; }
  };
  struct Server {
    double lat = 0, width = 0.7;  // work takes lat, give or take width of it
    u32 busy = 0;
    std::deque<Event> queue;
  };

  double u01() { return static_cast<double>(next64(rnd_) >> 11) / 9007199254740992.0; }

  void speeds() {
    std::map<std::string, std::pair<double, double>> pool;
    std::vector<std::pair<double, double>> one(servers_.size()), dev(servers_.size());
    for (TrafficSurvey const& s : c_.surveys)
      for (ServerLatency const& x : s.speeds)
        if (auto const it = by_id_.find(x.id); it != by_id_.end()) {
          one[it->second].first += x.lat;
          one[it->second].second += 1;
          if (x.told && x.lat > 0) {
            dev[it->second].first += std::min(1.0, x.dev / x.lat);
            dev[it->second].second += 1;
          }
          auto& [a, b] = pool[c_.servers[it->second].service];
          a += x.lat;
          b += 1;
        }
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      auto const& [a, b] = pool[c_.servers[i].service];
      double const mean = b > 0 ? a / b : 0.05;
      // The mean distance of what is drawn evenly within a width is half of it.
      if (dev[i].second > 0) servers_[i].width = std::min(0.9, 2 * dev[i].first / dev[i].second);
      servers_[i].lat = one[i].second > 0 ? one[i].first / one[i].second : mean;
    }
  }

  void add_proxy(TrafficSurvey const& s) {
    auto p = std::make_unique<Proxy>();
    p->sv = &s;
    p->st.ip = "0.0.0.0";
    p->st.nodeName = s.front;
    p->st.zone = s.zone;
    p->st.region = s.region;
    p->st.beatPeriodS = c_.beatPeriodS;
    std::map<std::string, u32> sites;
    for (ZoneSnapshot const& z : c_.zones) {
      p->st.zones[z.zone] = z.region;
      sites[z.zone] = z.proxies;
    }
    p->as = std::make_unique<LoadBalancer>(p->st);
    std::vector<LoadBalancer::ServerUpdate> rows;
    for (ServerSnapshot const& r : c_.servers) {
      LoadBalancer::ServerUpdate x;
      x.id = r.id;
      x.service = r.service;
      x.address = "0.0.0.0:1";
      x.zone = r.zone;
      x.capacity = r.capacity;
      x.ready = r.ready && out_.count(r.id) == 0;
      x.warm_up_left = r.coldLeftS;
      rows.push_back(std::move(x));
    }
    LoadBalancer& as = *p->as;
    for (ServiceSnapshot const& x : c_.pools)
      as.set_limits(as.service_index(x.name), ServiceLimits{static_cast<double>(x.connLimit), x.coldRateS, 0});
    as.replace_servers(rows, 0);
    as.set_proxy_counts(sites);
    for (std::size_t i = 0; i < as.endpoints().size(); ++i) {
      Endpoint& t = as.endpoint(ServerIndex(static_cast<u32>(i)));
      if (auto const it = by_id_.find(t.id); it != by_id_.end()) {
        t.latency = servers_[it->second].lat;
        t.latency_at = 0;
        as.learn_latency(t.service, t.latency);
      }
    }
    std::set<std::string> out = gone_;
    for (ZoneSnapshot const& z : c_.zones)
      if (z.evacuated) out.insert(z.zone);
    as.set_evacuated_zones(out, 0);
    std::size_t const pi = proxies_.size();
    proxies_.push_back(std::move(p));
    for (std::size_t i = 0; i < s.routes.size(); ++i)
      next_arrival(pi, i, 0);
  }

  void next_arrival(std::size_t proxy, std::size_t route, Seconds now) {
    double const rate = proxies_[proxy]->sv->routes[route].rate;
    if (rate <= 0) return;
    Event e;
    e.at = now - std::log(1.0 - u01()) / rate;
    e.proxy = proxy;
    e.route = route;
    q_.push(e);
  }

  RouteSnapshot const* lane_of(std::string const& name) const {
    for (RouteSnapshot const& l : c_.routes)
      if (l.name == name) return &l;
    return nullptr;
  }

  void came(Event e) {
    Proxy& p = *proxies_[e.proxy];
    RouteRate const& l = p.sv->routes[e.route];
    RouteSnapshot const* const def = lane_of(l.route);
    bool const counts = e.at >= warm_;
    if (counts) came_total[l.route] += 1;
    std::vector<LocationIndex> homes;
    EndpointQuery w;
    w.service = p.as->service_index(l.pool);
    for (std::string const& h : l.homes)
      homes.push_back(p.as->region_index(h));
    if (def != nullptr) w.latency_target = def->setpointS;
    w.homes = &homes;
    w.is_upload = u01() < l.bulky;
    LoadBalancer::Choice const ch = p.as->choose(w, e.at);
    if (!ch.server || (def != nullptr && should_shed(def->rank, ch.expected_latency, def->setpointS))) {
      if (counts) (ch.refusal == LoadBalancer::Refusal::no_candidate && !ch.server ? homeless : unserved)[l.route] += 1;
      return;
    }
    p.as->attempt_started(*ch.server, e.at);
    auto const it = by_id_.find(p.as->endpoint(*ch.server).id);
    e.server = static_cast<int>(it->second);
    e.ix = *ch.server;
    e.sent = e.at;
    if (counts) flows[{c_.servers[it->second].zone, l.route}] += 1;
    Server& s = servers_[it->second];
    if (s.busy < c_.servers[it->second].capacity)
      begin(s, e, e.at);
    else
      s.queue.push_back(e);
  }

  void begin(Server& s, Event e, Seconds now) {
    ++s.busy;
    e.began = now;
    e.at = now + s.lat * (1 - s.width + 2 * s.width * u01());
    q_.push(e);
  }

  void done(Event const& e) {
    auto const i = static_cast<std::size_t>(e.server);
    Server& s = servers_[i];
    --s.busy;
    ServerSnapshot const& cs = c_.servers[i];
    busy[{cs.zone, cs.service}] += std::max(0.0, e.at - std::max(e.began, warm_));
    proxies_[e.proxy]->as->attempt_succeeded(e.ix, e.at - e.sent, e.at);
    if (!s.queue.empty()) {
      Event const n = s.queue.front();
      s.queue.pop_front();
      begin(s, n, e.at);
    }
  }

  FleetSnapshot const& c_;
  ForecastOptions const& p_;
  std::set<std::string> const& gone_;
  std::set<std::string> const& out_;
  u64 rnd_;
  double until_ = 0, warm_ = 0;
  std::map<std::string, std::size_t> by_id_;
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  boost::heap::priority_queue<Event> q_;
};

}  // namespace

std::map<FlowKey, double> received(FleetSnapshot const& c) {
  std::map<FlowKey, double> m;
  for (TrafficSurvey const& s : c.surveys)
    for (ZoneSendRate const& x : s.sent)
      m[{x.zone, x.route}] += x.rate;
  return m;
}

EvacuationForecast forecast(FleetSnapshot const& c, std::set<std::string> const& gone, ForecastOptions const& p,
                            std::set<std::string> const& out) {
  EvacuationForecast f;
  f.takenAt = c.takenAt;
  f.gone.assign(gone.begin(), gone.end());
  f.proxiesHeard = static_cast<u32>(c.surveys.size());
  f.silent = c.silent;
  f.partial = !c.silent.empty() || !c.settled || c.surveys.empty();
  std::set<std::string> const none;
  Play was(c, none, p, none), play(c, gone, p, out);
  was.run();
  play.run();

  auto kind_of = [&](std::string const& route) {
    for (RouteSnapshot const& l : c.routes)
      if (l.name == route) return l.kind;
    return std::string();
  };
  auto const now = received(c);
  std::set<FlowKey> keys;
  for (auto const& [k, n] : now)
    keys.insert(k);
  for (auto const& [k, n] : play.flows)
    keys.insert(k);
  auto at = [](auto const& m, auto const& k) {
    auto const it = m.find(k);
    return it == m.end() ? 0.0 : it->second;
  };
  for (FlowKey const& k : keys) {
    RouteFlow l;
    l.zone = k.first;
    l.route = k.second;
    l.kind = kind_of(k.second);
    l.now = at(now, k);
    l.after = at(play.flows, k) / play.span();
    f.flows.push_back(std::move(l));
  }
  f.fits = true;
  std::map<FlowKey, std::pair<u32, double>> slots;
  for (ServerSnapshot const& s : c.servers) {
    if (!s.ready || out.count(s.id) > 0) continue;
    auto& [n, cap] = slots[{s.zone, s.service}];
    ++n;
    cap += s.capacity;
  }
  for (auto const& [k, v] : slots) {
    ZoneUtilization z;
    z.zone = k.first;
    z.service = k.second;
    z.servers = v.first;
    z.slots = v.second;
    z.usedNow = at(was.busy, k) / was.span();
    z.usedAfter = at(play.busy, k) / play.span();
    z.overloaded = gone.count(z.zone) == 0 && z.usedAfter > p.overload * z.slots;
    f.fits = f.fits && !z.overloaded;
    f.loads.push_back(std::move(z));
  }
  for (auto const& [route, n] : play.came_total) {
    for (bool const home : {true, false}) {
      double const x = at(home ? play.homeless : play.unserved, route);
      double const before = at(home ? was.homeless : was.unserved, route);
      if (x <= p.lost * n || x <= before * 1.5) continue;  // what fails anyway is not this evacuation's doing
      UnservedRate u;
      u.route = route;
      u.kind = kind_of(route);
      u.rate = x / play.span();
      u.homeless = home;
      f.unserved.push_back(std::move(u));
      f.fits = false;
    }
  }
  return f;
}

double compare(EvacuationForecast const& f, FleetSnapshot const& c, std::vector<ForecastDifference>& out) {
  auto const got = received(c);
  std::map<FlowKey, std::pair<double, double>> m;
  for (RouteFlow const& l : f.flows)
    m[{l.zone, l.route}].first = l.after;
  for (auto const& [k, n] : got)
    m[k].second = n;
  double off = 0, all = 0;
  for (auto const& [k, v] : m) {
    ForecastDifference d;
    d.zone = k.first;
    d.route = k.second;
    d.predicted = v.first;
    d.received = v.second;
    d.difference = v.second - v.first;
    off += std::abs(d.difference);
    all += v.first;
    out.push_back(std::move(d));
  }
  return all > 0 ? off / all : (off > 0 ? 1.0 : 0.0);
}

}  // namespace dockbend
