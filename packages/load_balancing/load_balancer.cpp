#include "load_balancing/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dockbend {
namespace {

// ---- retry budgets: something is kept back, for views and clocks of the proxies differ a little ----
double constexpr kRetryRatioPart = 0.8, kRetrySlackPart = 0.7;

// ---- shares of bounds ----
double constexpr kLeastProxies = 4;         // a proxy that knows of fewer takes no larger share
double constexpr kProxyCountMargin = 1.25;  // others may know of fewer proxies than there are
double constexpr kConnectionPart = 0.9, kConnectionProxyMargin = 1.1;

// ---- capacity: how much of a server's capacity its sharers may use together, by proximity ----
double constexpr kZoneReach = 2.0, kRegionReach = 1.0, kRemoteReach = 0.6;

// ---- slow start ----
/// Part of the rate that is given out: a proxy that holds an older view of the others then still keeps the sum below
/// the bound.
double constexpr kSlowStartPart = 0.6;
double constexpr kSlowStartBurst = 1.0;
double constexpr kMostWarmingProxies = 3;
/// Until a heartbeat of a server in a zone that was taken back has had time to arrive, beyond two of their periods.
Seconds constexpr kReturnedZoneMargin = 0.5;

// ---- cost of an endpoint ----
Seconds constexpr kLeastMeanLatency = 0.002, kLeastRouteLatency = 0.0005;
Seconds constexpr kLatencyMemory = 10, kFailureMemory = 8;  // what was seen fades to 1/e within
double constexpr kLeastOwnCapacity = 0.5;
double constexpr kCostPerRequestInFlight = 0.15;
double constexpr kFailureWeight = 4, kLeastFailureShare = 0.01;
double constexpr kPreferenceWeight = 0.08, kNewConnectionWeight = 0.05;
double constexpr kDistanceFactor = 1.25, kRegionDistancePart = 0.05, kRemoteDistancePart = 0.4;  // parts of the target
double constexpr kRandomBase = 0.97, kRandomSpan = 0.06;

// ---- smoothing of what attempts show ----
double constexpr kEndpointSmoothing = 0.12, kMeanSmoothing = 0.01, kLearnedSmoothing = 0.1, kFailureSmoothing = 0.2;

// ---- passive health checks ----
u32 constexpr kMostEjections = 5;
Seconds constexpr kAtCapacityEjection = 0.05, kAtCapacityEjectionSpan = 0.1;

// ---- idle connections ----
Seconds constexpr kIdleResetMemory = 15, kTrustedIdleTime = 60, kLeastIdleTime = 0.02;
double constexpr kSafeIdlePart = 0.7;

u32 index_of(std::unordered_map<std::string, u32>& indices, std::string const& name) {
  return indices.try_emplace(name, static_cast<u32>(indices.size())).first->second;
}
/// 0 to 1, the same in each process for the same text.
double draw_of(std::string const& text) {
  double constexpr range = 9007199254740992.0;  // 2^53
  return static_cast<double>(hash64(text) >> 11) / range;
}
double count_at(std::map<u32, double> const& counts, u32 index) {
  auto const it = counts.find(index);
  return it == counts.end() ? 0.0 : it->second;
}
bool is_home(EndpointQuery const& query, Endpoint const& endpoint) {
  return query.homes == nullptr || query.homes->empty() ||
         std::find(query.homes->begin(), query.homes->end(), endpoint.region) != query.homes->end();
}
bool was_attempted(EndpointQuery const& query, ServerIndex server) {
  return query.attempted != nullptr &&
         std::find(query.attempted->begin(), query.attempted->end(), server) != query.attempted->end();
}
/// A latency or a cost, with what the way to the server adds.
double with_distance(double latency, Proximity proximity, Seconds latency_target) {
  if (proximity == Proximity::region) return latency * kDistanceFactor + kRegionDistancePart * latency_target;
  if (proximity == Proximity::remote) return latency * kDistanceFactor + kRemoteDistancePart * latency_target;
  return latency;
}
/// The latency that was seen at the endpoint; what was seen long ago fades to the service's mean.
Seconds faded_latency(Endpoint const& endpoint, Seconds mean_latency, Seconds now) {
  if (endpoint.latency <= 0) return mean_latency;
  double const weight = std::exp(-(now - endpoint.latency_at) / kLatencyMemory);
  return mean_latency + (endpoint.latency - mean_latency) * weight;
}

}  // namespace

LoadBalancer::LoadBalancer(Settings const& settings, std::function<double()> draw)
    : settings_(settings), draw_(std::move(draw)) {
  own_zone_ = zone_index(settings.zone);
  own_region_ = region_index(settings.region);
  for (auto const& [zone, region] : settings.zones)
    region_of_zone_[zone_index(zone).v] = region_index(region).v;
}

// ---- names ----

ServiceIndex LoadBalancer::service_index(std::string const& name) {
  u32 const index = index_of(service_indices_, name);
  while (services_.size() <= index) {
    services_.emplace_back(RetryBudget(retry_bounds()));
    service_names_.push_back(name);
  }
  return ServiceIndex(index);
}
LocationIndex LoadBalancer::zone_index(std::string const& name) {
  u32 const index = index_of(zone_indices_, name);
  if (zone_names_.size() <= index) zone_names_.resize(index + 1, name);
  return LocationIndex(index);
}
LocationIndex LoadBalancer::region_index(std::string const& name) {
  return LocationIndex(index_of(region_indices_, name));
}

// ---- what is configured and known ----

RetryBounds LoadBalancer::retry_bounds() const {
  Bounds const& bounds = settings_.bounds;
  return {bounds.retryWindowS, bounds.retryRatio * kRetryRatioPart, bounds.retrySlack * kRetrySlackPart};
}

void LoadBalancer::on_settings_changed() {
  for (Service& service : services_)
    service.retry_budget.set_bounds(retry_bounds());
}

void LoadBalancer::set_limits(ServiceIndex service, ServiceLimits limits) {
  services_[service.v].limits = limits;
}

u32 LoadBalancer::insert(ServerUpdate const& update, ServiceIndex service) {
  u32 slot = 0;
  if (!free_slots_.empty()) {
    slot = free_slots_.back();
    free_slots_.pop_back();
  } else {
    slot = static_cast<u32>(endpoints_.size());
    endpoints_.emplace_back();
  }
  Endpoint& endpoint = endpoints_[slot];
  u64 const uses = endpoint.uses;
  endpoint = Endpoint{};
  endpoint.uses = uses + 1;
  endpoint.id = update.id;
  endpoint.service = service;
  endpoint.zone = zone_index(update.zone);
  endpoint.region = region_index(settings_.region_of(update.zone));
  endpoint.preference = draw_of(update.id + "|" + settings_.nodeName);
  endpoint.warm_up_draw = draw_of("warm|" + update.id + "|" + settings_.nodeName);
  slot_by_id_[update.id] = slot;
  services_[service.v].servers.push_back(slot);
  return slot;
}

void LoadBalancer::put(ServerUpdate const& update, Seconds now) {
  ServiceIndex const service = service_index(update.service);
  auto const it = slot_by_id_.find(update.id);
  if (it == slot_by_id_.end() && !update.ready) return;
  u32 const slot = it == slot_by_id_.end() ? insert(update, service) : it->second;
  Endpoint& endpoint = endpoints_[slot];
  endpoint.address = update.address;
  endpoint.capacity = std::max(1.0, update.capacity);
  endpoint.ready = update.ready;
  if (update.warm_up_left > 0) start_warm_up(ServerIndex(slot), update.warm_up_left, now);
}

void LoadBalancer::forget_retired() {
  for (auto it = slot_by_id_.begin(); it != slot_by_id_.end();) {
    Endpoint const& endpoint = endpoints_[it->second];
    if (endpoint.ready || endpoint.in_flight > 0 || endpoint.connections > 0) {
      ++it;
      continue;
    }
    std::erase(services_[endpoint.service.v].servers, it->second);
    free_slots_.push_back(it->second);
    it = slot_by_id_.erase(it);
  }
}

void LoadBalancer::replace_servers(std::vector<ServerUpdate> const& servers, Seconds now) {
  std::set<std::string_view> named;
  for (ServerUpdate const& update : servers) {
    put(update, now);
    named.insert(update.id);
  }
  for (auto const& [id, slot] : slot_by_id_)
    if (named.count(id) == 0) endpoints_[slot].ready = false;
  forget_retired();
}

void LoadBalancer::update_servers(std::vector<ServerUpdate> const& servers, Seconds now) {
  for (ServerUpdate const& update : servers)
    put(update, now);
  forget_retired();
}

std::vector<ServerIndex> LoadBalancer::retired_servers() const {
  std::vector<ServerIndex> retired;
  for (auto const& [id, slot] : slot_by_id_)
    if (!endpoints_[slot].ready) retired.push_back(ServerIndex(slot));
  return retired;
}

void LoadBalancer::set_evacuated_zones(std::set<std::string> const& zones, Seconds now) {
  std::set<u32> evacuated;
  for (std::string const& zone : zones)
    evacuated.insert(zone_index(zone).v);
  // Servers of a zone that is taken back may have begun to warm up a moment ago: until their heartbeats have had time
  // to say so, they count as warming up.
  for (u32 const zone : evacuated_zones_)
    if (evacuated.count(zone) == 0) returned_zones_[zone] = now + 2 * settings_.beatPeriodS + kReturnedZoneMargin;
  evacuated_zones_ = std::move(evacuated);
  for (u32 slot = 0; slot < endpoints_.size(); ++slot) {
    Endpoint const& endpoint = endpoints_[slot];
    auto const it = returned_zones_.find(endpoint.zone.v);
    if (it != returned_zones_.end() && endpoint.ready && it->second > now &&
        evacuated_zones_.count(endpoint.zone.v) == 0)
      start_warm_up(ServerIndex(slot), it->second - now, now);
  }
  std::erase_if(returned_zones_, [now](auto const& entry) { return entry.second <= now; });
}

void LoadBalancer::set_proxy_counts(std::map<std::string, u32> const& count_by_zone) {
  proxies_by_zone_.clear();
  proxies_by_region_.clear();
  proxy_count_ = 0;
  for (auto const& [name, count] : count_by_zone) {
    u32 const zone = zone_index(name).v;
    proxies_by_zone_[zone] += count;
    proxies_by_region_[region_of_zone_[zone]] += count;
    proxy_count_ += count;
  }
}

// ---- shares ----

double LoadBalancer::proxy_share() const {
  return 1.0 / std::max(proxy_count_ * kProxyCountMargin, kLeastProxies);
}

u32 LoadBalancer::connection_share(ServerIndex server) const {
  double const limit = services_[endpoint(server).service.v].limits.connection_limit;
  double const proxies = std::max(proxy_count_ * kConnectionProxyMargin, kLeastProxies);
  return std::max<u32>(1, static_cast<u32>(limit * kConnectionPart / proxies));
}

Proximity LoadBalancer::proximity_of(Endpoint const& endpoint) const {
  if (endpoint.zone == own_zone_) return Proximity::zone;
  return endpoint.region == own_region_ ? Proximity::region : Proximity::remote;
}

double LoadBalancer::proxies_sharing(Endpoint const& endpoint, Proximity proximity) const {
  if (proximity == Proximity::zone) return std::max(1.0, count_at(proxies_by_zone_, endpoint.zone.v));
  if (proximity == Proximity::region) return std::max(1.0, count_at(proxies_by_region_, endpoint.region.v));
  return std::max(1.0, proxy_count_);
}

// The rate of a server that is warming up is kept by the proxies of its own zone; where there are none, by those of its
// region; of many, by the few that a draw names.
double LoadBalancer::proxies_warming(Endpoint const& endpoint, Proximity proximity) const {
  double const proxies = proxies_sharing(endpoint, proximity);
  if (proxies <= kMostWarmingProxies) return proxies;
  return endpoint.warm_up_draw < kMostWarmingProxies / proxies ? kMostWarmingProxies : 0;
}

double LoadBalancer::slow_start_rate(Endpoint const& endpoint, double proxies) const {
  return services_[endpoint.service.v].limits.slow_start_rate * kSlowStartPart / proxies;
}

// ---- the choice ----

bool LoadBalancer::is_candidate(Endpoint const& endpoint, EndpointQuery const& query, Seconds now) const {
  return endpoint.ready && !endpoint.is_misdirected && endpoint.ejected_until <= now &&
         evacuated_zones_.count(endpoint.zone.v) == 0 && is_home(query, endpoint);
}

bool LoadBalancer::has_near_candidate(EndpointQuery const& query, Seconds now) const {
  std::vector<u32> const& servers = services_[query.service.v].servers;
  return std::any_of(servers.begin(), servers.end(), [&](u32 slot) {
    Endpoint const& endpoint = endpoints_[slot];
    return proximity_of(endpoint) != Proximity::remote && is_candidate(endpoint, query, now);
  });
}

bool LoadBalancer::has_capacity(ServerIndex server, Proximity proximity, double proxies) const {
  Endpoint const& candidate = endpoint(server);
  double const reach = proximity == Proximity::zone     ? kZoneReach
                       : proximity == Proximity::region ? kRegionReach
                                                        : kRemoteReach;
  double const least = proximity == Proximity::zone ? 2.0 : 1.0;
  double const limit = std::max(least, std::ceil(candidate.capacity * reach / proxies));
  return candidate.in_flight < limit && candidate.in_flight < connection_share(server);
}

bool LoadBalancer::may_warm(Endpoint const& endpoint, Proximity proximity, Seconds now) const {
  if (endpoint.warming_until <= now) return true;
  if (proximity == Proximity::remote) return false;
  if (proximity == Proximity::region && count_at(proxies_by_zone_, endpoint.zone.v) > 0) return false;
  if (services_[endpoint.service.v].limits.slow_start_rate <= 0) return true;
  double const proxies = proxies_warming(endpoint, proximity);
  return proxies > 0 && endpoint.slow_start.has_token(now, slow_start_rate(endpoint, proxies), kSlowStartBurst);
}

// The time that a response is likely to take: what was seen, stretched by our own share of the server's capacity in
// use; more for a server whose requests failed lately, whatever its health says. Among equals each proxy prefers its
// own few servers, and those it has a connection to: connections then grow with the traffic, not with proxies times
// servers. Chance decides among what remains.
double LoadBalancer::cost(Endpoint const& endpoint, EndpointQuery const& query, Proximity proximity, double proxies,
                          double factor, Seconds now) const {
  double const mean = std::max(services_[endpoint.service.v].mean_latency, kLeastMeanLatency);
  double const latency = faded_latency(endpoint, mean, now) * factor;
  double const own_capacity = std::max(endpoint.capacity / proxies, kLeastOwnCapacity);
  double const in_flight = endpoint.in_flight;
  double cost =
      latency * std::max(1.0, (in_flight + 1.0) / own_capacity) + latency * kCostPerRequestInFlight * in_flight;
  if (endpoint.failure_share > kLeastFailureShare)
    cost *=
        1.0 + kFailureWeight * endpoint.failure_share * std::exp(-(now - endpoint.failure_share_at) / kFailureMemory);
  cost *= 1.0 + kPreferenceWeight * endpoint.preference + (endpoint.idle_connections == 0 ? kNewConnectionWeight : 0.0);
  cost = with_distance(cost, proximity, query.latency_target);
  return cost * (kRandomBase + kRandomSpan * draw_());
}

LoadBalancer::Choice LoadBalancer::choose(EndpointQuery const& query, Seconds now) {
  Choice choice;
  bool const keeps_near = query.is_upload && has_near_candidate(query, now);
  bool has_candidate = false;
  Service const& service = services_[query.service.v];
  double const factor = route_factor(service, query.route, query.latency_target, now);
  bool const was_seen = query.route == nullptr || service.route_latencies.was_seen(*query.route);
  Seconds const usual = query.route == nullptr ? 0 : service.route_latencies.usual(*query.route);
  for (u32 const slot : service.servers) {
    ServerIndex const server(slot);
    Endpoint const& candidate = endpoints_[slot];
    if (!is_candidate(candidate, query, now) || was_attempted(query, server)) continue;
    has_candidate = true;
    Proximity const proximity = proximity_of(candidate);
    if (proximity == Proximity::remote && keeps_near) continue;
    double const proxies = proxies_sharing(candidate, proximity);
    if (!has_capacity(server, proximity, proxies) || !may_warm(candidate, proximity, now)) continue;
    double const candidate_cost = cost(candidate, query, proximity, proxies, factor, now);
    if (choice.server && candidate_cost >= choice.expected_latency) continue;
    choice.server = server;
    choice.expected_latency = candidate_cost;
    // Nothing is held against a route before its first response.
    choice.usual_latency = was_seen ? with_distance(usual, proximity, query.latency_target) : candidate_cost;
  }
  if (!choice.server) choice.refusal = has_candidate ? Refusal::at_capacity : Refusal::no_candidate;
  return choice;
}

// ---- what became of attempts ----

void LoadBalancer::attempt_started(ServerIndex server, Seconds now) {
  Endpoint& target = endpoint(server);
  ++target.in_flight;
  if (target.warming_until <= now) return;
  double const proxies = proxies_warming(target, proximity_of(target));
  if (services_[target.service.v].limits.slow_start_rate > 0 && proxies > 0)
    target.slow_start.take(now, slow_start_rate(target, proxies), kSlowStartBurst);
}

void LoadBalancer::attempt_succeeded(ServerIndex server, Seconds latency, Seconds now, std::string const* route) {
  Endpoint& target = endpoint(server);
  Service& service = services_[target.service.v];
  bool const is_busy =
      target.in_flight > std::max(1.0, target.capacity / proxies_sharing(target, proximity_of(target)));
  attempt_abandoned(server);
  target.ejections = 0;
  update_failure_share(target, 0, now);
  if (route != nullptr) service.route_latencies.learn(*route, latency, is_busy, now);
  learn_endpoint_latency(target, latency / route_factor(service, route, latency, now), now);
  service.mean_latency = service.mean_latency * (1 - kMeanSmoothing) + latency * kMeanSmoothing;
}

// A server that answers nobody in time must not look idle because its clients leave.
void LoadBalancer::attempt_cancelled(ServerIndex server, Seconds elapsed, Seconds now, std::string const* route) {
  Endpoint& target = endpoint(server);
  Service const& service = services_[target.service.v];
  Seconds const seen = elapsed / route_factor(service, route, elapsed, now);
  if (seen > faded_latency(target, service.mean_latency, now)) learn_endpoint_latency(target, seen, now);
}

// A route that was never seen there counts as an average one that does not take longer than it should.
double LoadBalancer::route_factor(Service const& service, std::string const* route, Seconds latency_target,
                                  Seconds now) const {
  if (route == nullptr) return 1;
  double const mean = std::max(service.mean_latency, kLeastMeanLatency);
  Seconds const recent = service.route_latencies.recent(*route, now);
  return recent > 0 ? std::max(recent, kLeastRouteLatency) / mean : std::min(mean, latency_target) / mean;
}

Seconds LoadBalancer::mean_latency(ServiceIndex service, std::string const& route, Seconds now) const {
  Seconds const seen = services_[service.v].route_latencies.recent(route, now);
  return seen > 0 ? seen : mean_latency(service);
}

void LoadBalancer::learn_endpoint_latency(Endpoint& target, Seconds latency, Seconds now) {
  double const mean = services_[target.service.v].mean_latency;
  if (target.latency > 0) {
    // What has faded stays so: one response must not bring back what was seen long ago.
    Seconds const known = faded_latency(target, mean, now);
    double const distance = std::abs(latency - known);
    target.latency_deviation = target.latency_deviation * (1 - kEndpointSmoothing) + distance * kEndpointSmoothing;
    target.latency = known * (1 - kEndpointSmoothing) + latency * kEndpointSmoothing;
  } else {
    target.latency = 0.5 * mean + 0.5 * latency;
  }
  target.latency_at = now;
}

void LoadBalancer::attempt_abandoned(ServerIndex server) {
  Endpoint& target = endpoint(server);
  if (target.in_flight > 0) --target.in_flight;
}

void LoadBalancer::eject(ServerIndex server, Seconds base, Seconds now) {
  Endpoint& target = endpoint(server);
  update_failure_share(target, 1, now);
  if (target.ejected_until > now) return;
  target.ejections = std::min<u32>(target.ejections + 1, kMostEjections);
  target.ejected_until = now + base * std::pow(2.0, target.ejections - 1) * (0.8 + 0.4 * draw_());
}

void LoadBalancer::update_failure_share(Endpoint& endpoint, double failed, Seconds now) {
  double const faded = endpoint.failure_share * std::exp(-(now - endpoint.failure_share_at) / kFailureMemory);
  endpoint.failure_share = faded + kFailureSmoothing * (failed - faded);
  endpoint.failure_share_at = now;
}

void LoadBalancer::report_failure(ServerIndex server, Seconds now) {
  update_failure_share(endpoint(server), 1, now);
}

void LoadBalancer::report_at_capacity(ServerIndex server, Seconds now) {
  Endpoint& target = endpoint(server);
  update_failure_share(target, 1, now);
  target.ejected_until = std::max(target.ejected_until, now + kAtCapacityEjection + kAtCapacityEjectionSpan * draw_());
}

void LoadBalancer::report_misdirected(ServerIndex server) {
  endpoint(server).is_misdirected = true;
}

void LoadBalancer::start_warm_up(ServerIndex server, Seconds left, Seconds now) {
  Endpoint& target = endpoint(server);
  if (target.warming_until <= now) target.slow_start.start(now);
  target.warming_until = std::max(target.warming_until, now + left);
}

void LoadBalancer::learn_latency(ServiceIndex service, Seconds latency) {
  double& mean = services_[service.v].mean_latency;
  mean = mean * (1 - kLearnedSmoothing) + latency * kLearnedSmoothing;
}

// ---- idle connections ----

void LoadBalancer::report_idle_reset(ServerIndex server, Seconds idle_time, Seconds now) {
  Endpoint& target = endpoint(server);
  Service& service = services_[target.service.v];
  Seconds const believed = safe_idle_time(server, true, now);
  target.safe_idle_time = std::max(kLeastIdleTime, std::min(believed, kSafeIdlePart * idle_time));
  target.idle_reset_at = now;
  Seconds const believed_of_service =
      now - service.idle_reset_at < kIdleResetMemory ? service.safe_idle_time : kTrustedIdleTime;
  service.safe_idle_time = std::max(kLeastIdleTime, std::min(believed_of_service, kSafeIdlePart * idle_time));
  service.idle_reset_at = now;
}

// What was learned is forgotten after a while, or longer times would never be tried again.
Seconds LoadBalancer::safe_idle_time(ServerIndex server, bool is_repeatable, Seconds now) const {
  Endpoint const& target = endpoint(server);
  Seconds const own = now - target.idle_reset_at < kIdleResetMemory ? target.safe_idle_time : kTrustedIdleTime;
  if (is_repeatable) return own;
  Service const& service = services_[target.service.v];
  return std::min(own, now - service.idle_reset_at < kIdleResetMemory ? service.safe_idle_time : kTrustedIdleTime);
}

std::size_t LoadBalancer::ready_servers() const {
  return static_cast<std::size_t>(std::count_if(slot_by_id_.begin(), slot_by_id_.end(),
                                                [this](auto const& entry) { return endpoints_[entry.second].ready; }));
}

}  // namespace dockbend
