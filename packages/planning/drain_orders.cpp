#include "planning/drain_orders.hpp"

#include <algorithm>

namespace dockbend {
namespace {
// Each name stands for one or more units; none may be meant twice.
template <class F>
std::vector<std::string> named(std::vector<std::string> const& names, char const* what, F match) {
  std::vector<std::string> out;
  std::set<std::string> seen;
  for (std::string const& n : names) {
    std::vector<std::string> const v = match(n);
    if (v.empty()) throw DrainOrderError(404, std::string("no such ") + what + ": " + n);
    for (std::string const& x : v) {
      if (!seen.insert(x).second) throw DrainOrderError(400, x + ": named twice");
      out.push_back(x);
    }
  }
  return out;
}
}  // namespace

std::vector<std::string> nodes_named(FleetSnapshot const& c, std::vector<std::string> const& names) {
  return named(names, "node, zone or region", [&](std::string const& n) {
    std::vector<std::string> v;
    for (ProxySnapshot const& s : c.sites)
      if (s.front == n || s.node == n || s.zone == n || s.region == n) v.push_back(s.front);
    std::sort(v.begin(), v.end());
    return v;
  });
}

std::vector<std::string> servers_named(FleetSnapshot const& c, std::vector<std::string> const& names) {
  return named(names, "server, service, generation or zone", [&](std::string const& n) {
    std::vector<std::string> v;
    for (ServerSnapshot const& s : c.servers)
      if (s.id == n || s.service == n || s.generation == n || s.zone == n) v.push_back(s.id);
    std::sort(v.begin(), v.end());
    return v;
  });
}

DrainOrder node_order(FleetSnapshot const& c, DrainWavePlan const& p, u64 id, double headroom, double patience) {
  std::map<std::string, std::string> node;
  for (ProxySnapshot const& s : c.sites)
    node[s.front] = s.node;
  DrainOrder o;
  o.id = std::to_string(id);
  o.headroom = headroom;
  o.patienceS = patience;
  u32 n = 0;
  for (DrainWave const& w : p.waves) {
    for (std::string const& f : w.fronts) {
      DrainOrderUnit u;
      u.name = f;
      u.node = node[f];
      u.wave = n;
      o.units.push_back(std::move(u));
    }
    ++n;
  }
  return o;
}

RotationPlan plan_rotation(FleetSnapshot const& c, std::vector<std::string> const& ids, u32 max_unavailable,
                           double headroom) {
  RotationPlan p;
  p.takenAt = c.takenAt;
  p.maxUnavailable = max_unavailable;
  p.headroom = headroom;
  p.partial = !c.silent.empty() || !c.settled;
  std::map<std::string, std::string> region;
  for (ZoneSnapshot const& z : c.zones)
    region[z.zone] = z.region;
  std::map<std::string, ServerObservation> all;
  for (ServerSnapshot const& s : c.servers) {
    ServerObservation x;
    x.id = s.id;
    x.service = s.service;
    x.zone = s.zone;
    x.region = region[s.zone];
    x.present = true;
    x.ready = s.ready;
    x.slots = s.coldLeftS > 0 ? 0.25 * s.capacity : s.capacity;
    x.told = !p.partial;
    all[s.id] = std::move(x);
  }
  for (TrafficSurvey const& v : c.surveys)
    for (OpenWork const& h : v.held)
      if (auto const it = all.find(h.id); it != all.end()) it->second.held.add(h);
  std::vector<ServerObservation const*> order;
  for (std::string const& id : ids)
    order.push_back(&all[id]);
  std::sort(order.begin(), order.end(),
            [](ServerObservation const* a, ServerObservation const* b) { return leaves_before(*a, *b); });
  std::map<std::string, u32> taken;
  std::set<std::string> out;
  for (ServerObservation const* s : order) {
    ServerDeparture l;
    l.id = s->id;
    l.service = s->service;
    l.zone = s->zone;
    l.uploads = s->held.uploads;
    l.bytes = s->held.bytes;
    l.keyed = s->held.keyed;
    l.sessions = s->held.sessions;
    p.order.push_back(std::move(l));
    if (taken[s->service]++ < max_unavailable) out.insert(s->id);
  }
  p.worst = forecast(c, {}, ForecastOptions{}, out);
  p.fits = p.worst.fits;
  std::map<std::pair<std::string, std::string>, std::pair<double, double>> by;  // (service, region): slots, used
  std::set<std::string> touched;
  for (std::string const& id : out)
    touched.insert(all[id].service);
  for (ZoneUtilization const& z : p.worst.loads) {
    auto& [slots, used] = by[{z.service, region[z.zone]}];
    slots += z.slots;
    used += z.usedAfter;
  }
  for (auto const& [k, v] : by) {
    if (touched.count(k.first) == 0 || v.second <= (1 - headroom) * v.first) continue;
    CapacityShortfall l;
    l.region = k.second;
    l.kind = k.first;
    l.load = v.first > 0 ? v.second / v.first : 1;
    l.wanted = 1 - headroom;
    l.rate = v.second;
    p.lacks.push_back(std::move(l));
    p.fits = false;
  }
  return p;
}

DrainOrder server_order(FleetSnapshot const& c, RotationPlan const& p, u64 id, double patience, bool replaced) {
  DrainOrder o;
  o.id = std::to_string(id);
  o.servers = true;
  o.headroom = p.headroom;
  o.maxUnavailable = p.maxUnavailable;
  o.patienceS = patience;
  o.replaced = replaced;
  std::map<std::string, u32> had;
  std::set<std::string> services;
  for (ServerDeparture const& l : p.order) {
    DrainOrderUnit u;
    u.name = l.id;
    u.node = l.service;
    o.units.push_back(std::move(u));
    services.insert(l.service);
  }
  for (ServerSnapshot const& s : c.servers)
    had[s.service] += s.ready ? 1 : 0;
  for (std::string const& s : services) {
    InitialServerCount h;
    h.service = s;
    h.n = had[s];
    o.had.push_back(std::move(h));
  }
  return o;
}

}  // namespace dockbend
