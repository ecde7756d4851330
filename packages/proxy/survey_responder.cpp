#include "proxy/survey_responder.hpp"

#include <algorithm>
#include <map>

namespace dockbend {

void SurveyResponder::on_request(u32 tag, SurveyRequest const& request) {
  Seconds const now = steady_now();
  TrafficSurvey survey;
  survey.id = request.id;
  survey.front = front_address_;
  survey.zone = context_.settings.zone;
  survey.region = context_.settings.region;
  survey.node = context_.settings.nodeName;
  survey.held = open_work(request.servers, now);
  if (!request.held) {
    context_.traffic_observer.fill(survey, now);
    fill_discards(survey);
    fill_latencies(survey);
  }
  context_.agent.send(MessageType::survey_response, tag, survey);
}

std::vector<OpenWork> SurveyResponder::open_work(std::vector<std::string> const& servers, Seconds now) const {
  std::map<std::string, OpenWork> work_by_server;
  for (std::string const& id : servers)
    work_by_server[id].id = id;
  context_.requests.for_each([&](ProxiedRequest const& request) {
    if (request.awaited.connection == nullptr) return;
    std::string const& id = context_.load_balancer.endpoint(request.awaited.server).id;
    auto it = work_by_server.find(id);
    if (it == work_by_server.end() && servers.empty()) {
      it = work_by_server.try_emplace(id).first;
      it->second.id = id;
    }
    if (it == work_by_server.end()) return;
    OpenWork& work = it->second;
    ++work.sessions;
    work.keyed += request.route->kind == schema::RouteKind::keyed ? 1 : 0;
    if (!request.is_upload) return;
    ++work.uploads;
    work.bytes += static_cast<double>(request.body_bytes);
    work.age = std::max(work.age, now - request.arrived_at);
  });
  std::vector<OpenWork> result;
  for (auto& [id, work] : work_by_server)
    if (work.sessions > 0) result.push_back(std::move(work));
  return result;
}

void SurveyResponder::fill_discards(TrafficSurvey& survey) {
  ResponseFilter const& filter = context_.requests.filter();
  for (u8 i = 0; i < static_cast<u8>(ResponseRejection::count); ++i) {
    auto const cause = static_cast<ResponseRejection>(i);
    if (filter.discarded(cause) > 0)
      survey.dropped.push_back(DiscardCount{rejection_name(cause), filter.discarded(cause)});
  }
}

void SurveyResponder::fill_latencies(TrafficSurvey& survey) const {
  for (Endpoint const& endpoint : context_.load_balancer.endpoints()) {
    if (!endpoint.ready || endpoint.latency <= 0) continue;
    ServerLatency latency;
    latency.id = endpoint.id;
    latency.lat = endpoint.latency;
    latency.dev = endpoint.latency_deviation;
    latency.told = true;
    survey.speeds.push_back(std::move(latency));
  }
}

}  // namespace dockbend
