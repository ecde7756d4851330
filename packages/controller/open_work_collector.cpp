#include "controller/open_work_collector.hpp"

#include <algorithm>

namespace dockbend {

namespace {

/// A report, and a question, count for this long; they come every second.
Seconds constexpr kReportLifetime = 2.5;
/// Beyond the longest request, for its end to be noticed.
Seconds constexpr kEndMargin = 1.0;

}  // namespace

OpenWorkCollector::OpenWorkCollector(DirectoryService const& directory_service, SurveyService& surveys)
    : directory_service_(directory_service), surveys_(surveys) {}

void OpenWorkCollector::ask(std::vector<std::string> const& servers, Seconds longest_request, Seconds now) {
  for (std::string const& server : servers)
    asked_at_[server] = now;
  std::erase_if(asked_at_, [now](auto const& entry) { return now - entry.second > kReportLifetime; });
  surveys_.request_open_work(servers, [this](TrafficSurvey const& survey) { on_report(survey); });
  for (auto const& [front, proxy] : directory_service_.catalog().entries())
    reports_[front].listed_at = now;
  std::erase_if(reports_, [&](auto const& entry) {
    ProxyReport const& report = entry.second;
    return now - std::max(report.reported_at, report.listed_at) > longest_request + kEndMargin;
  });
}

void OpenWorkCollector::on_report(TrafficSurvey const& survey) {
  ProxyReport& report = reports_[survey.front];
  report.reported_at = steady_now();
  report.open_work = survey.held;
  report.has_reported = true;
}

OpenWorkCollector::OpenWorkByServer OpenWorkCollector::by_server() const {
  OpenWorkByServer totals;
  for (auto const& [front, report] : reports_)
    for (OpenWork const& work : report.open_work)
      totals[work.id].add(work);
  return totals;
}

OpenWork OpenWorkCollector::at_server(std::string const& server) const {
  OpenWork total;
  for (auto const& [front, report] : reports_)
    for (OpenWork const& work : report.open_work)
      if (work.id == server) total.add(work);
  return total;
}

bool OpenWorkCollector::is_complete(Seconds now) const {
  return !reports_.empty() && std::all_of(reports_.begin(), reports_.end(), [now](auto const& entry) {
    return entry.second.has_reported && is_recent(entry.second, now);
  });
}

std::size_t OpenWorkCollector::silent_proxies(Seconds now) const {
  return static_cast<std::size_t>(std::count_if(reports_.begin(), reports_.end(),
                                                [now](auto const& entry) { return !is_recent(entry.second, now); }));
}

bool OpenWorkCollector::is_recent(ProxyReport const& report, Seconds now) {
  return now - report.reported_at < kReportLifetime;
}

}  // namespace dockbend
