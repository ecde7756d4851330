/// Counts attempts by tenant and usage window and sends the counts to the agent.
#pragma once
#include <deque>

#include "proxy/proxy_context.hpp"
#include "usage/median_clock.hpp"
#include "usage/usage_totals.hpp"

namespace dockbend {

/// An attempt counts once it is clear that its server did not reject it: at its answer, or after a moment's silence.
/// It counts in the window in which it was sent.
class UsageMetering {
 public:
  explicit UsageMetering(ProxyContext& context) : context_(context), counter_(context.incarnation) {}

  /// The request's newest attempt was sent; without a tenant nothing is counted.
  void attempt_sent(ProxiedRequest const& request, Seconds now);
  /// Counts the request's newest attempt, if that was not done before.
  void count(ProxiedRequest& request);
  /// Reads this machine's clocks, counts the attempts that were silent for long enough, and reports.
  void tick(Seconds now);
  /// Sends what changed, if there is an agent and the last report is old enough.
  void report(Seconds now);
  /// Like report(), whatever the time of the last report.
  void report_immediately(Seconds now);
  /// A new agent knows nothing yet: the next report has every count.
  void report_all_next() { reports_all_ = true; }
  void on_clock_reading(WallSeconds wall);
  /// Drops the windows before this one, whose reports are fixed.
  void forget_before(UsageWindow window) { counter_.forget_before(window); }

 private:
  void count_silent(Seconds now);
  struct UncountedAttempt {
    RequestsInFlight::Handle handle;
    u32 attempts = 0;  // the request's number of attempts, this one included
    Seconds sent_at = 0;
  };
  ProxyContext& context_;
  MedianClock clock_;
  UsageCounter counter_;
  std::deque<UncountedAttempt> uncounted_;  // oldest first
  Seconds reported_at_ = 0;
  bool reports_all_ = false;
};

}  // namespace dockbend
