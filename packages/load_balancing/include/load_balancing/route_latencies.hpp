/// What the responses of one service take, route by route: routes of unlike work may share a service. No I/O.
#pragma once
#include <string>
#include <unordered_map>

#include "base/types.hpp"

namespace dockbend {

/// Estimates from the responses that this proxy has seen. Invariant: an estimate that gets no further responses, as
/// when all requests are refused for it, falls with time, to the usual latency or below.
class RouteLatencies {
 public:
  /// is_busy: the server had as many requests of ours as it may be expected to work on at once, or more.
  void learn(std::string const& route, Seconds latency, bool is_busy, Seconds now);
  bool was_seen(std::string const& route) const { return estimates_.count(route) > 0; }
  /// Smoothed latency of the newest responses; 0: none seen.
  Seconds recent(std::string const& route, Seconds now) const;
  /// What a response takes while servers are not busy: the lowest mean of some such responses in a row, which rises
  /// with time towards the newest ones. 0: none seen.
  Seconds usual(std::string const& route) const;
  std::size_t size() const { return estimates_.size(); }

 private:
  struct Estimate {
    double responses = 0;
    Seconds recent = 0, seen_at = 0;
    Seconds usual = 0, usual_at = 0;
    Seconds block_sum = 0;  ///< of the responses that are not in `usual` yet
    u32 block_size = 0;
  };

  static void end_block(Estimate& estimate, Seconds now);
  void forget_unused(Seconds now);

  std::unordered_map<std::string, Estimate> estimates_;  ///< by route
  std::size_t forget_at_size_ = 64;
};

}  // namespace dockbend
