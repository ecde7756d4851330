/// Counts a proxy's traffic for its surveys. No I/O.
#pragma once
#include <array>
#include <compare>
#include <map>
#include <string>
#include <vector>

#include "planning/traffic_survey.hpp"

namespace dockbend {

/// Rates over the last complete seconds. Invariant: a rate counts each request once, in the second in which it
/// arrived; what is older than kSpan counts no more. Times are of the caller's steady clock.
class TrafficObserver {
 public:
  static constexpr std::size_t kSpan = 10;  // seconds that a rate covers at most

  /// A request arrived. `homes`: the regions that bind it; `is_bulky`: its body is large.
  void on_request(std::string const& route, std::string const& service, std::vector<std::string> const& homes,
                  bool is_bulky, Seconds now);
  /// An attempt was sent to a server in `zone`.
  void on_attempt(std::string const& route, std::string const& zone, Seconds now);
  /// Adds the rates to a survey.
  void fill(TrafficSurvey& survey, Seconds now) const;

 private:
  /// Counts by second, for the last kSpan seconds and the one that runs.
  class SecondCounts {
   public:
    void add(u64 second);
    /// The sum over the `span` complete seconds before `second`.
    double sum(u64 second, std::size_t span) const;

   private:
    std::array<double, kSpan + 1> counts_{};
    std::array<u64, kSpan + 1> seconds_{};  // the second that each count belongs to
  };
  struct RequestKey {
    std::string route, service;
    std::vector<std::string> homes;
    auto operator<=>(RequestKey const&) const = default;
  };
  struct RequestCounts {
    SecondCounts all, bulky;
  };
  struct AttemptKey {
    std::string route, zone;
    auto operator<=>(AttemptKey const&) const = default;
  };
  Seconds first_request_at_ = -1;  // < 0: none yet
  std::map<RequestKey, RequestCounts> requests_;
  std::map<AttemptKey, SecondCounts> attempts_;
};

}  // namespace dockbend
