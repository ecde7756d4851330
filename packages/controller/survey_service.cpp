#include "controller/survey_service.hpp"

#include <algorithm>

namespace dockbend {

namespace {

/// Not 0, which means "no survey".
u64 new_survey_id() {
  return random64() >> 16 | 1;
}

RouteSnapshot snapshot_of_route(Route const& route) {
  RouteSnapshot snapshot;
  snapshot.name = route.name;
  snapshot.kind = json::kind_str(route.kind);
  snapshot.rank = route.rank;
  snapshot.setpointS = route.latency_target;
  snapshot.homes = route.homes;
  return snapshot;
}

bool has_service(FleetSnapshot const& snapshot, std::string const& name) {
  return std::any_of(snapshot.pools.begin(), snapshot.pools.end(),
                     [&](ServiceSnapshot const& service) { return service.name == name; });
}

/// Adds the services that the route leads to, each once.
void add_services_of(FleetSnapshot& snapshot, Route const& route, CompiledConfiguration const& configuration) {
  for (auto const& [name, weight] : route.to) {
    ServiceConfig const* config = configuration.pool(name);
    if (config == nullptr || has_service(snapshot, name)) continue;
    ServiceSnapshot service;
    service.name = name;
    service.connLimit = config->conn_limit;
    service.coldRateS = config->cold_rate;
    snapshot.pools.push_back(std::move(service));
  }
}

/// Names of the routes for which some proxy saw traffic.
std::set<std::string> routes_with_traffic(std::vector<TrafficSurvey> const& surveys) {
  std::set<std::string> names;
  for (TrafficSurvey const& survey : surveys)
    for (RouteRate const& rate : survey.routes)
      names.insert(rate.route);
  return names;
}

}  // namespace

SurveyService::SurveyService(ControllerContext& context, DirectoryService& directory_service, RegistryService& registry)
    : context_(context), directory_service_(directory_service), registry_(registry) {}

void SurveyService::answer_survey_call(evhttp_request* http_request) {
  u64 const id = new_survey_id();
  PendingSurvey& survey = pending_[id];
  survey.http_request = http_request;
  for (auto const& [front, proxy] : directory_service_.catalog().entries())
    survey.silent.insert(front);
  SurveyRequest request;
  request.id = id;
  send_to_all(request);
  after(context_.loop, kSurveyTimeout, [this, id] { finish(id); });
  if (survey.silent.empty()) after(context_.loop, 0, [this, id] { finish(id); });
}

void SurveyService::request_open_work(std::vector<std::string> const& servers, OnOpenWork on_answer) {
  SurveyRequest request;
  request.id = new_survey_id();
  request.held = true;
  request.servers = servers;
  open_work_id_ = request.id;
  on_open_work_ = std::move(on_answer);
  send_to_all(request);
}

void SurveyService::on_survey_request(SurveyRequest const& request, std::string const& requester_ip) {
  if (!requester_ip.empty()) forwarded_[request.id] = ForwardedRequest{requester_ip, steady_now()};
  send_to_proxies(request);
}

void SurveyService::on_survey_response(TrafficSurvey const& survey, std::string_view body) {
  if (survey.id == open_work_id_ && on_open_work_) return on_open_work_(survey);
  auto const it = pending_.find(survey.id);
  if (it == pending_.end()) return return_to_requester(survey.id, body);
  it->second.answers.push_back(survey);
  it->second.silent.erase(survey.front);
  if (it->second.silent.empty()) finish(survey.id);
}

void SurveyService::forget_forwarded(Seconds now) {
  std::erase_if(forwarded_,
                [now](auto const& entry) { return now - entry.second.forwarded_at > kForwardedRequestLifetime; });
}

/// To the proxies whose primary controller this one is, so that each is asked once.
void SurveyService::send_to_proxies(SurveyRequest const& request) {
  for (auto& [id, session] : context_.sessions)
    if (session.primary) session.ch->send(MessageType::survey_request, 0, request);
}

void SurveyService::send_to_all(SurveyRequest const& request) {
  send_to_proxies(request);
  for (auto& [ip, peer] : context_.controllers)
    if (peer.link) peer.link->send(MessageType::survey_request, 0, request);
}

void SurveyService::return_to_requester(u64 survey_id, std::string_view body) {
  auto const it = forwarded_.find(survey_id);
  if (it == forwarded_.end()) return;
  PeerController const& requester = context_.controller(it->second.requester_ip);
  if (requester.link && requester.link->up()) requester.link->ch()->send(MessageType::survey_response, 0, body);
}

/// Answers the call; nothing is done if that happened before.
void SurveyService::finish(u64 survey_id) {
  auto const it = pending_.find(survey_id);
  if (it == pending_.end()) return;
  PendingSurvey const survey = std::move(it->second);
  pending_.erase(it);
  context_.api.write(survey.http_request, ApiResponse{200, json::render(snapshot_of(survey))});
}

FleetSnapshot SurveyService::snapshot_of(PendingSurvey const& survey) const {
  FleetSnapshot snapshot;
  snapshot.takenAt = wall_clock_now();
  snapshot.node = context_.settings.nodeName;
  snapshot.settled = context_.in_contact();
  snapshot.beatPeriodS = context_.settings.beatPeriodS;
  snapshot.surveys = survey.answers;
  snapshot.silent.assign(survey.silent.begin(), survey.silent.end());
  add_zones(snapshot);
  add_servers(snapshot);
  add_routes(snapshot);
  add_proxies(snapshot);
  return snapshot;
}

void SurveyService::add_zones(FleetSnapshot& snapshot) const {
  for (auto const& [name, region] : context_.settings.zones) {
    ZoneSnapshot zone;
    zone.zone = name;
    zone.region = region;
    zone.proxies = directory_service_.proxies_in(name);
    zone.evacuated = is_evacuated(name);
    snapshot.zones.push_back(std::move(zone));
  }
}

bool SurveyService::is_evacuated(std::string const& zone) const {
  if (!context_.committed) return false;
  return std::any_of(context_.committed->evacuations.begin(), context_.committed->evacuations.end(),
                     [&](Evacuation const& evacuation) { return evacuation.zone == zone && evacuation.on; });
}

void SurveyService::add_servers(FleetSnapshot& snapshot) const {
  for (ServerRecord const& record : registry_.roll().records(steady_now())) {
    if (record.state == ServerState::gone) continue;
    ServerSnapshot server;
    server.id = record.id;
    server.service = record.service;
    server.zone = record.zone;
    server.capacity = record.capacity;
    server.ready = record.state == ServerState::ready;
    server.coldLeftS = record.cold_left;
    server.generation = record.generation;
    snapshot.servers.push_back(std::move(server));
  }
}

/// Only routes with traffic, and the services that they lead to.
void SurveyService::add_routes(FleetSnapshot& snapshot) const {
  if (!context_.committed) return;
  CompiledConfiguration const configuration = CompiledConfiguration::from(context_.committed->items);
  std::set<std::string> const busy = routes_with_traffic(snapshot.surveys);
  for (auto const& [key, route] : configuration.all_lanes()) {
    if (busy.count(route->name) == 0) continue;
    snapshot.routes.push_back(snapshot_of_route(*route));
    add_services_of(snapshot, *route, configuration);
  }
}

void SurveyService::add_proxies(FleetSnapshot& snapshot) const {
  std::map<std::string, std::string> node_of;  // front address -> machine that the proxy says it runs on
  for (TrafficSurvey const& survey : snapshot.surveys)
    node_of[survey.front] = survey.node;
  for (auto const& [front, entry] : directory_service_.catalog().entries()) {
    ProxySnapshot proxy;
    proxy.front = front;
    proxy.node = node_of[front];
    proxy.zone = entry.zone;
    proxy.region = entry.region;
    proxy.ready = entry.ready;
    proxy.load = entry.load;
    snapshot.sites.push_back(std::move(proxy));
  }
}

}  // namespace dockbend
