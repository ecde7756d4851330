// The desk of the surveys: what the proxies see, asked for when somebody plans.
#pragma once
#include <set>

#include "controller/directory_service.hpp"
#include "controller/registry_service.hpp"
#include "planning/forecast.hpp"

namespace dockbend {

class SurveyService {
 public:
  SurveyService(ControllerContext& h, DirectoryService& s, RegistryService& v);

  void survey_call(evhttp_request* r);

  // What proxies hold open at some servers. Each answer is told on its own; who is silent is not.
  void ask_held(std::vector<std::string> const& servers, std::function<void(TrafficSurvey const&)> told);

  void survey_sites(SurveyRequest const& a, std::string const& from);

  void heard_survey(TrafficSurvey const& s, std::string_view body);

  void forget(Seconds now);

 private:
  struct Asked {
    evhttp_request* r = nullptr;
    std::vector<TrafficSurvey> got;
    std::set<std::string> waiting;
    std::size_t sites = 0;
  };

  void survey_over(u64 id);

  ControllerContext& context_;
  DirectoryService& directory_service_;
  RegistryService& registry_;
  std::map<u64, std::pair<std::string, Seconds>> surveys_for_;  // passed on: who asked
  std::map<u64, Asked> asked_;
  u64 held_id_ = 0;  // the newest ask of what proxies hold; older answers count no more
  std::function<void(TrafficSurvey const&)> on_held_;
};

}  // namespace dockbend
