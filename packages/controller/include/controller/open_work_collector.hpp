/// What the proxies have open at the servers that are being drained.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "controller/directory_service.hpp"
#include "controller/survey_service.hpp"
#include "drain/server_drain.hpp"

namespace dockbend {

/// Collects the proxies' reports of open work, the newest of each proxy. A proxy that stays silent may still
/// have work open for as long as a request may last; after that it is forgotten. Runs on the event loop;
/// refers to the directory and the surveys, and owns neither.
class OpenWorkCollector {
 public:
  /// Open work by server id, over all proxies.
  using OpenWorkByServer = std::map<std::string, OpenWork>;

  OpenWorkCollector(DirectoryService const& directory_service, SurveyService& surveys);

  /// Asks all proxies what they have open at `servers`. Forgets proxies that have been unknown and silent for
  /// longer than `longest_request` and a margin.
  void ask(std::vector<std::string> const& servers, Seconds longest_request, Seconds now);
  void forget_reports() { reports_.clear(); }

  OpenWorkByServer by_server() const;
  OpenWork at_server(std::string const& server) const;
  /// Every proxy that may have work open has reported lately; false if none is known.
  bool is_complete(Seconds now) const;
  /// The newest questions were about this server too.
  bool covers(std::string const& server) const { return asked_at_.count(server) > 0; }
  std::size_t silent_proxies(Seconds now) const;

 private:
  /// What is known of one proxy. Invariant: a new report replaces the one before, so repeats add nothing.
  struct ProxyReport {
    Seconds reported_at = -1e9;  ///< never, if long before the start
    Seconds listed_at = -1e9;    ///< when the directory last had it
    bool has_reported = false;
    std::vector<OpenWork> open_work;
  };

  void on_report(TrafficSurvey const& survey);
  static bool is_recent(ProxyReport const& report, Seconds now);

  DirectoryService const& directory_service_;
  SurveyService& surveys_;
  std::map<std::string, Seconds> asked_at_;     ///< by server id
  std::map<std::string, ProxyReport> reports_;  ///< by the proxy's front address
};

}  // namespace dockbend
