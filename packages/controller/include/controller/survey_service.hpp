/// Traffic surveys: what the proxies see, asked for when somebody plans or when servers are drained.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "controller/directory_service.hpp"
#include "controller/registry_service.hpp"
#include "planning/forecast.hpp"

namespace dockbend {

/// Asks all proxies of the fleet for a survey and collects their answers. Proxies that are connected to
/// this controller are asked directly, the others through the controllers that they are connected to.
/// Runs on the event loop; refers to its context and to the other services, and owns none of them.
class SurveyService {
 public:
  /// Called once for each proxy that answers.
  using OnOpenWork = std::function<void(TrafficSurvey const&)>;

  SurveyService(ControllerContext& context, DirectoryService& directory_service, RegistryService& registry);

  /// `/-/Survey`: answers with a snapshot of the fleet once every known proxy has answered, or after
  /// kSurveyTimeout with those that did; the others are listed as silent.
  void answer_survey_call(evhttp_request* http_request);
  /// Asks all proxies what they have open at `servers`. Replaces the question asked before: later answers
  /// to that one are not reported any more. Nothing is reported of proxies that don't answer.
  void request_open_work(std::vector<std::string> const& servers, OnOpenWork on_answer);

  /// The controller at `requester_ip` asks for the proxies that are connected here.
  void on_survey_request(SurveyRequest const& request, std::string const& requester_ip);
  /// A proxy's answer. `body` is its encoded form, which is passed on unchanged if another controller asked.
  void on_survey_response(TrafficSurvey const& survey, std::string_view body);
  /// Drops what is remembered of forwarded requests whose asker no longer waits.
  void forget_forwarded(Seconds now);

 private:
  static constexpr Seconds kSurveyTimeout = 1.2;
  static constexpr Seconds kForwardedRequestLifetime = 10;

  /// An operator's call that waits for answers.
  struct PendingSurvey {
    evhttp_request* http_request = nullptr;
    std::vector<TrafficSurvey> answers;
    std::set<std::string> silent;  ///< front addresses of proxies that have not answered yet
  };
  /// A request that another controller had us pass on.
  struct ForwardedRequest {
    std::string requester_ip;
    Seconds forwarded_at = 0;
  };

  void send_to_proxies(SurveyRequest const& request);
  void send_to_all(SurveyRequest const& request);
  void return_to_requester(u64 survey_id, std::string_view body);
  void finish(u64 survey_id);

  FleetSnapshot snapshot_of(PendingSurvey const& survey) const;
  void add_zones(FleetSnapshot& snapshot) const;
  void add_servers(FleetSnapshot& snapshot) const;
  void add_routes(FleetSnapshot& snapshot) const;
  void add_proxies(FleetSnapshot& snapshot) const;
  bool is_evacuated(std::string const& zone) const;

  ControllerContext& context_;
  DirectoryService& directory_service_;
  RegistryService& registry_;
  std::map<u64, ForwardedRequest> forwarded_;  ///< by survey id
  std::map<u64, PendingSurvey> pending_;       ///< by survey id
  u64 open_work_id_ = 0;  ///< id of the newest question about open work; answers to older ones don't count
  OnOpenWork on_open_work_;
};

}  // namespace dockbend
