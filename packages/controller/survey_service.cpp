#include "controller/survey_service.hpp"

namespace dockbend {

SurveyService::SurveyService(ControllerContext& h, DirectoryService& s, RegistryService& v)
    : context_(h), directory_service_(s), registry_(v) {}

void SurveyService::survey_call(evhttp_request* r) {
  u64 const id = random64() >> 16 | 1;
  Asked& q = asked_[id];
  q.r = r;
  for (auto const& [f, s] : directory_service_.catalog().rows())
    q.waiting.insert(f);
  SurveyRequest a;
  a.id = id;
  survey_sites(a, "");
  for (auto& [ip, m] : context_.controllers)
    if (m.link) m.link->send(MessageType::survey_request, 0, a);
  after(context_.loop, 1.2, [this, id] { survey_over(id); });
  if (q.waiting.empty()) after(context_.loop, 0, [this, id] { survey_over(id); });
}

void SurveyService::ask_held(std::vector<std::string> const& servers, std::function<void(TrafficSurvey const&)> told) {
  SurveyRequest a;
  a.id = random64() >> 16 | 1;
  a.held = true;
  a.servers = servers;
  held_id_ = a.id;
  on_held_ = std::move(told);
  survey_sites(a, "");
  for (auto& [ip, m] : context_.controllers)
    if (m.link) m.link->send(MessageType::survey_request, 0, a);
}

void SurveyService::survey_sites(SurveyRequest const& a, std::string const& from) {
  if (!from.empty()) surveys_for_[a.id] = {from, steady_now()};
  for (auto& [id, p] : context_.sessions)
    if (p.primary) p.ch->send(MessageType::survey_request, 0, a);
}

void SurveyService::heard_survey(TrafficSurvey const& s, std::string_view body) {
  if (s.id == held_id_ && on_held_) return on_held_(s);
  auto const it = asked_.find(s.id);
  if (it == asked_.end()) {
    if (auto const f = surveys_for_.find(s.id); f != surveys_for_.end() && context_.controller(f->second.first).link &&
                                                context_.controller(f->second.first).link->up())
      context_.controller(f->second.first).link->ch()->send(MessageType::survey_response, 0, body);
    return;
  }
  it->second.got.push_back(s);
  it->second.waiting.erase(s.front);
  if (it->second.waiting.empty()) survey_over(s.id);
}

void SurveyService::forget(Seconds now) {
  std::erase_if(surveys_for_, [&](auto const& x) { return now - x.second.second > 10; });
}

void SurveyService::survey_over(u64 id) {
  auto const it = asked_.find(id);
  if (it == asked_.end()) return;
  Asked const q = std::move(it->second);
  asked_.erase(it);
  FleetSnapshot c;
  c.takenAt = wall_clock_now();
  c.node = context_.settings.nodeName;
  c.settled = context_.in_contact();
  c.beatPeriodS = context_.settings.beatPeriodS;
  for (auto const& [z, g] : context_.settings.zones) {
    ZoneSnapshot x;
    x.zone = z;
    x.region = g;
    x.proxies = directory_service_.proxies_in(z);
    if (context_.committed)
      for (Evacuation const& e : context_.committed->evacuations)
        x.evacuated = x.evacuated || (e.zone == z && e.on);
    c.zones.push_back(std::move(x));
  }
  for (ServerRecord const& r : registry_.roll().all(steady_now())) {
    if (r.state == ServerState::gone) continue;
    ServerSnapshot x;
    x.id = r.id;
    x.service = r.service;
    x.zone = r.zone;
    x.capacity = r.capacity;
    x.ready = r.state == ServerState::ready;
    x.coldLeftS = r.cold_left;
    x.generation = r.generation;
    c.servers.push_back(std::move(x));
  }
  if (context_.committed) {
    CompiledConfiguration const man = CompiledConfiguration::from(context_.committed->items);
    std::set<std::string> busy;
    for (TrafficSurvey const& s : q.got)
      for (RouteRate const& l : s.routes)
        busy.insert(l.route);
    for (auto const& [k, l] : man.all_lanes()) {
      if (busy.count(l->name) == 0) continue;
      RouteSnapshot x;
      x.name = l->name;
      x.kind = json::kind_str(l->kind);
      x.rank = l->rank;
      x.setpointS = l->latency_target;
      x.homes = l->homes;
      c.routes.push_back(std::move(x));
      for (auto const& [svc, gain] : l->to)
        if (ServiceConfig const* p = man.pool(svc);
            p != nullptr &&
            std::none_of(c.pools.begin(), c.pools.end(), [&](ServiceSnapshot const& y) { return y.name == svc; })) {
          ServiceSnapshot y;
          y.name = svc;
          y.connLimit = p->conn_limit;
          y.coldRateS = p->cold_rate;
          c.pools.push_back(std::move(y));
        }
    }
  }
  std::map<std::string, std::string> node;
  for (TrafficSurvey const& s : q.got)
    node[s.front] = s.node;
  for (auto const& [f, s] : directory_service_.catalog().rows()) {
    ProxySnapshot x;
    x.front = f;
    x.node = node[f];
    x.zone = s.zone;
    x.region = s.region;
    x.ready = s.ready;
    x.load = s.load;
    c.sites.push_back(std::move(x));
  }
  c.surveys = q.got;
  c.silent.assign(q.waiting.begin(), q.waiting.end());
  context_.write(q.r, ApiResponse{200, json::render(c)});
}

}  // namespace dockbend
