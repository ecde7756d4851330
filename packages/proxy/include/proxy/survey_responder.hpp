/// Answers surveys: what this proxy sees of the traffic, for planning and for drains of servers.
#pragma once
#include <string>
#include <vector>

#include "planning/traffic_survey.hpp"
#include "proxy/proxy_context.hpp"

namespace dockbend {

class SurveyResponder {
 public:
  SurveyResponder(ProxyContext& context, std::string front_address)
      : context_(context), front_address_(std::move(front_address)) {}
  void on_request(u32 tag, SurveyRequest const& request);

 private:
  /// Requests in flight at these servers; empty: at all. Servers without any are left out. Only requests count: between
  /// two of them a client's connection may go on to any server without loss.
  std::vector<OpenWork> open_work(std::vector<std::string> const& servers, Seconds now) const;
  void fill_discards(TrafficSurvey& survey);
  void fill_latencies(TrafficSurvey& survey) const;
  ProxyContext& context_;
  std::string front_address_;
};

}  // namespace dockbend
