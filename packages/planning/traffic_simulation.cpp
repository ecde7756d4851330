#include "planning/traffic_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {
Seconds constexpr kDefaultLatency = 0.05;  // of a service that nobody has measured
double constexpr kMaxSpread = 0.9;

class Mean {
 public:
  void add(double x) {
    sum_ += x;
    ++count_;
  }
  bool empty() const { return count_ == 0; }
  double value() const { return sum_ / count_; }

 private:
  double sum_ = 0, count_ = 0;
};
}  // namespace

TrafficSimulation::TrafficSimulation(FleetSnapshot const& fleet, ForecastOptions const& options,
                                     std::set<std::string> const& gone_zones, std::set<std::string> const& gone_servers)
    : fleet_(fleet),
      options_(options),
      gone_zones_(gone_zones),
      gone_servers_(gone_servers),
      random_state_(options.seed * 2654435761u + 7) {
  set_duration();
  for (std::size_t i = 0; i < fleet.servers.size(); ++i)
    server_positions_[fleet.servers[i].id] = i;
  servers_.resize(fleet.servers.size());
  set_latencies();
  for (TrafficSurvey const& survey : fleet.surveys)
    add_proxy(survey);
}

SimulationResult TrafficSimulation::run() {
  while (!events_.empty()) {
    Event const event = events_.top();
    events_.pop();
    if (event.at > end_) break;
    if (event.server < 0) {
      on_arrival(event);
      schedule_arrival(event.proxy, event.route, event.at);
    } else {
      on_completion(event);
    }
  }
  return std::move(result_);
}

double TrafficSimulation::random_share() {
  double constexpr kTwoTo53 = 9007199254740992.0;
  return static_cast<double>(next64(random_state_) >> 11) / kTwoTo53;
}

/// Simulates less time where the rates would give too many requests.
void TrafficSimulation::set_duration() {
  double total_rate = 0;
  for (TrafficSurvey const& survey : fleet_.surveys)
    for (RouteRate const& route : survey.routes)
      total_rate += route.rate;
  Seconds const wanted = options_.seconds + options_.warm;
  double const scale =
      total_rate <= 0 ? 1 : std::min(1.0, static_cast<double>(options_.max_requests) / (total_rate * wanted));
  end_ = std::max(1.0, options_.seconds * scale) + options_.warm * scale;
  warm_up_end_ = options_.warm * scale;
  result_.span = end_ - warm_up_end_;
}

/// The mean over the proxies that measured a server; the mean of its service where none did.
void TrafficSimulation::set_latencies() {
  std::map<std::string, Mean> by_service;
  std::vector<Mean> latencies(servers_.size()), deviations(servers_.size());
  for (TrafficSurvey const& survey : fleet_.surveys)
    for (ServerLatency const& measured : survey.speeds) {
      auto const it = server_positions_.find(measured.id);
      if (it == server_positions_.end()) continue;
      std::size_t const position = it->second;
      latencies[position].add(measured.lat);
      by_service[fleet_.servers[position].service].add(measured.lat);
      if (measured.told && measured.lat > 0) deviations[position].add(std::min(1.0, measured.dev / measured.lat));
    }
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    Mean const& of_service = by_service[fleet_.servers[i].service];
    Seconds const fallback = of_service.empty() ? kDefaultLatency : of_service.value();
    servers_[i].latency = latencies[i].empty() ? fallback : latencies[i].value();
    // The mean deviation of what is drawn evenly within a spread is half of it.
    if (!deviations[i].empty()) servers_[i].spread = std::min(kMaxSpread, 2 * deviations[i].value());
  }
}

Settings TrafficSimulation::make_settings(TrafficSurvey const& survey) const {
  Settings settings;
  settings.ip = "0.0.0.0";
  settings.nodeName = survey.front;
  settings.zone = survey.zone;
  settings.region = survey.region;
  settings.beatPeriodS = fleet_.beatPeriodS;
  for (ZoneSnapshot const& zone : fleet_.zones)
    settings.zones[zone.zone] = zone.region;
  return settings;
}

void TrafficSimulation::add_proxy(TrafficSurvey const& survey) {
  auto proxy = std::make_unique<Proxy>();
  proxy->survey = &survey;
  proxy->settings = make_settings(survey);
  proxy->balancer = std::make_unique<LoadBalancer>(proxy->settings, [this] { return random_share(); });
  fill_balancer(*proxy->balancer);
  std::size_t const position = proxies_.size();
  proxies_.push_back(std::move(proxy));
  for (std::size_t route = 0; route < survey.routes.size(); ++route)
    schedule_arrival(position, route, 0);
}

/// Gives a load balancer what a proxy's would know.
void TrafficSimulation::fill_balancer(LoadBalancer& balancer) const {
  std::vector<LoadBalancer::ServerUpdate> rows;
  for (ServerSnapshot const& server : fleet_.servers) {
    LoadBalancer::ServerUpdate row;
    row.id = server.id;
    row.service = server.service;
    row.address = "0.0.0.0:1";
    row.zone = server.zone;
    row.capacity = server.capacity;
    row.ready = server.ready && gone_servers_.count(server.id) == 0;
    row.warm_up_left = server.coldLeftS;
    rows.push_back(std::move(row));
  }
  for (ServiceSnapshot const& service : fleet_.pools)
    balancer.set_limits(balancer.service_index(service.name),
                        ServiceLimits{static_cast<double>(service.connLimit), service.coldRateS, 0});
  balancer.replace_servers(rows, 0);
  std::map<std::string, u32> proxies_by_zone;
  std::set<std::string> evacuated = gone_zones_;
  for (ZoneSnapshot const& zone : fleet_.zones) {
    proxies_by_zone[zone.zone] = zone.proxies;
    if (zone.evacuated) evacuated.insert(zone.zone);
  }
  balancer.set_proxy_counts(proxies_by_zone);
  for (std::size_t i = 0; i < balancer.endpoints().size(); ++i) {
    Endpoint& endpoint = balancer.endpoint(ServerIndex(static_cast<u32>(i)));
    auto const it = server_positions_.find(endpoint.id);
    if (it == server_positions_.end()) continue;
    endpoint.latency = servers_[it->second].latency;
    endpoint.latency_at = 0;
    balancer.learn_latency(endpoint.service, endpoint.latency);
  }
  balancer.set_evacuated_zones(evacuated, 0);
}

/// Arrivals of a route are a Poisson process.
void TrafficSimulation::schedule_arrival(std::size_t proxy, std::size_t route, Seconds now) {
  double const rate = proxies_[proxy]->survey->routes[route].rate;
  if (rate <= 0) return;
  Event event;
  event.at = now - std::log(1.0 - random_share()) / rate;
  event.proxy = proxy;
  event.route = route;
  events_.push(event);
}

void TrafficSimulation::on_arrival(Event event) {
  Proxy& proxy = *proxies_[event.proxy];
  LoadBalancer& balancer = *proxy.balancer;
  RouteRate const& route = proxy.survey->routes[event.route];
  RouteSnapshot const* const definition = fleet_.find_route(route.route);
  bool const counts = event.at >= warm_up_end_;
  if (counts) result_.requests[route.route] += 1;

  std::vector<LocationIndex> homes;
  EndpointQuery query;
  query.service = balancer.service_index(route.pool);
  for (std::string const& home : route.homes)
    homes.push_back(balancer.region_index(home));
  if (definition != nullptr) query.latency_target = definition->setpointS;
  query.homes = &homes;
  query.is_upload = random_share() < route.bulky;
  LoadBalancer::Choice const choice = balancer.choose(query, event.at);
  bool const is_shed =
      definition != nullptr && should_shed(definition->rank, choice.expected_latency, definition->setpointS);
  if (!choice.server || is_shed) {
    bool const nobody_may_serve = !choice.server && choice.refusal == LoadBalancer::Refusal::no_candidate;
    if (counts) (nobody_may_serve ? result_.without_server : result_.without_capacity)[route.route] += 1;
    return;
  }

  balancer.attempt_started(*choice.server, event.at);
  std::size_t const position = server_positions_.find(balancer.endpoint(*choice.server).id)->second;
  ServerSnapshot const& snapshot = fleet_.servers[position];
  event.server = static_cast<int>(position);
  event.index = *choice.server;
  event.sent_at = event.at;
  if (counts) result_.attempts[{snapshot.zone, route.route}] += 1;
  Server& server = servers_[position];
  if (server.busy_slots < snapshot.capacity)
    begin_work(server, event, event.at);
  else
    server.queue.push_back(event);
}

void TrafficSimulation::begin_work(Server& server, Event event, Seconds now) {
  ++server.busy_slots;
  event.begun_at = now;
  event.at = now + server.latency * (1 - server.spread + 2 * server.spread * random_share());
  events_.push(event);
}

void TrafficSimulation::on_completion(Event const& event) {
  auto const position = static_cast<std::size_t>(event.server);
  Server& server = servers_[position];
  ServerSnapshot const& snapshot = fleet_.servers[position];
  --server.busy_slots;
  result_.busy_slot_seconds[{snapshot.zone, snapshot.service}] +=
      std::max(0.0, event.at - std::max(event.begun_at, warm_up_end_));
  proxies_[event.proxy]->balancer->attempt_succeeded(event.index, event.at - event.sent_at, event.at);
  if (server.queue.empty()) return;
  Event const next = server.queue.front();
  server.queue.pop_front();
  begin_work(server, next, event.at);
}

}  // namespace dockbend
