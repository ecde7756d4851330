#include "planning/drain_orders.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace dockbend {
namespace {
/// What all the names stand for, in their order; `find_matches` gives it for one. `what` says what is looked for.
template <class F>
std::vector<std::string> resolve_names(std::vector<std::string> const& names, std::string const& what, F find_matches) {
  std::vector<std::string> found;
  std::set<std::string> seen;
  for (std::string const& name : names) {
    std::vector<std::string> matches = find_matches(name);
    if (matches.empty()) throw DrainOrderError(404, "no such " + what + ": " + name);
    std::sort(matches.begin(), matches.end());
    for (std::string const& match : matches) {
      if (!seen.insert(match).second) throw DrainOrderError(400, match + ": named twice");
      found.push_back(match);
    }
  }
  return found;
}

std::vector<InitialServerCount> count_ready_servers(FleetSnapshot const& fleet, std::set<std::string> const& services) {
  std::map<std::string, u32> ready;
  for (ServerSnapshot const& server : fleet.servers)
    ready[server.service] += server.ready ? 1 : 0;
  std::vector<InitialServerCount> counts;
  for (std::string const& service : services) {
    InitialServerCount count;
    count.service = service;
    count.n = ready[service];
    counts.push_back(std::move(count));
  }
  return counts;
}
}  // namespace

std::vector<std::string> find_proxies(FleetSnapshot const& fleet, std::vector<std::string> const& names) {
  return resolve_names(names, "node, zone or region", [&](std::string const& name) {
    std::vector<std::string> fronts;
    for (ProxySnapshot const& proxy : fleet.sites)
      if (proxy.front == name || proxy.node == name || proxy.zone == name || proxy.region == name)
        fronts.push_back(proxy.front);
    return fronts;
  });
}

std::vector<std::string> find_servers(FleetSnapshot const& fleet, std::vector<std::string> const& names) {
  return resolve_names(names, "server, service, generation or zone", [&](std::string const& name) {
    std::vector<std::string> ids;
    for (ServerSnapshot const& server : fleet.servers)
      if (server.id == name || server.service == name || server.generation == name || server.zone == name)
        ids.push_back(server.id);
    return ids;
  });
}

DrainOrder make_proxy_order(FleetSnapshot const& fleet, DrainWavePlan const& plan, u64 id, double headroom,
                            Seconds patience) {
  std::map<std::string, std::string> node_by_front;
  for (ProxySnapshot const& proxy : fleet.sites)
    node_by_front[proxy.front] = proxy.node;
  DrainOrder order;
  order.id = std::to_string(id);
  order.headroom = headroom;
  order.patienceS = patience;
  u32 wave_number = 0;
  for (DrainWave const& wave : plan.waves) {
    for (std::string const& front : wave.fronts) {
      DrainOrderUnit unit;
      unit.name = front;
      unit.node = node_by_front[front];
      unit.wave = wave_number;
      order.units.push_back(std::move(unit));
    }
    ++wave_number;
  }
  return order;
}

DrainOrder make_server_order(FleetSnapshot const& fleet, RotationPlan const& plan, u64 id, Seconds patience,
                             bool is_replaced) {
  DrainOrder order;
  order.id = std::to_string(id);
  order.servers = true;
  order.headroom = plan.headroom;
  order.maxUnavailable = plan.maxUnavailable;
  order.patienceS = patience;
  order.replaced = is_replaced;
  std::set<std::string> services;
  for (ServerDeparture const& departure : plan.order) {
    DrainOrderUnit unit;
    unit.name = departure.id;
    unit.node = departure.service;
    order.units.push_back(std::move(unit));
    services.insert(departure.service);
  }
  order.had = count_ready_servers(fleet, services);
  return order;
}

}  // namespace dockbend
