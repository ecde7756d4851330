/// The usage role: which window's report to freeze, send or remove next.
///
/// It performs no I/O: the caller submits the changes to the consensus group and makes the calls.
#pragma once
#include <optional>

#include "consensus/replicated_state.hpp"
#include "leases/platform_response.hpp"
#include "usage/usage_totals.hpp"

namespace dockbend {

/// Durations in seconds.
struct UsageReportOptions {
  double report_period = 5;       // length of a window; setting reportPeriodS
  Seconds settle_delay = 1.5;     // after a window's end, if every proxy has gone on to the next window
  Seconds straggler_delay = 6;    // otherwise: proxies behind a partition may come back until then
  Seconds call_timeout = 1.0;     // a call's whole deadline
  Seconds min_call_gap = 0.05;    // between the starts of two calls, and after an accepted one
  Seconds initial_backoff = 0.4;  // after the first failed call; doubles with each further one
  Seconds max_backoff = 3.0;
  Seconds max_retry_after = 300;  // a longer wait asked for by the platform is cut to this
};

/// Invariants: a window is sent only after its body was frozen on a majority, and every time with those bytes; windows
/// are sent in their order, one call at a time; a window's report is removed only after a 2xx (or after the platform
/// rejected it for good).
class UsageReporter {
 public:
  explicit UsageReporter(UsageReportOptions options) : options_(options) {}

  /// The report that should be frozen now, if any.
  /// @param wall_time the median clock's
  /// @param holder_for how long this node has held the role; a new holder first waits for the others' counts
  std::optional<FrozenUsageReport> report_to_freeze(ReplicatedState const& state, UsageTotals const& totals,
                                                    WallSeconds wall_time, Seconds now, Seconds holder_for);
  /// Changes of the replicated state: freezes a report if its window is the next one; removes a report that the
  /// platform acknowledged. True if anything changed.
  static bool freeze(ReplicatedState& state, FrozenUsageReport const& report);
  static bool tick_off(ReplicatedState& state, u64 window);

  /// The frozen report to send now, if a call may be sent at all.
  std::optional<FrozenUsageReport> report_to_send(ReplicatedState const& state, Seconds now);
  /// A call was sent. Exactly one on_response() or on_role_lost() must follow.
  void on_sent(Seconds now);
  void on_response(u64 window, PlatformResponse const& response, Seconds now);
  /// This node no longer holds the role: what is in flight is left to the next holder.
  void on_role_lost();

  bool is_calling() const { return is_calling_; }
  /// The window that the platform acknowledged and whose report the replicated state may still have.
  std::optional<u64> acknowledged_window() const { return acknowledged_window_; }
  Seconds call_timeout() const { return options_.call_timeout; }

 private:
  bool is_rejected_for_good(int status);
  void back_off(PlatformResponse const& response, Seconds now);

  static constexpr Seconds kLongAgo = -1e9;

  UsageReportOptions options_;
  bool is_calling_ = false;
  Seconds next_call_at_ = 0;
  Seconds freeze_proposed_at_ = kLongAgo;
  u32 failed_calls_ = 0;    // in a row
  u32 rejected_calls_ = 0;  // 4xx since the last acknowledged window
  std::optional<u64> acknowledged_window_;
};

}  // namespace dockbend
