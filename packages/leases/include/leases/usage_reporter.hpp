// The usage duty: which window's report to fix, send or tick off next. No I/O.
#pragma once
#include <optional>

#include "consensus/replicated_state.hpp"
#include "usage/usage_totals.hpp"

namespace dockbend {

struct UsageReportOptions {
  double period = 5;     // reportPeriodS
  Seconds settle = 1.5;  // after a window's end, if every proxy has gone on to the next
  Seconds late = 6;      // else: those that are cut off may come back until then
  Seconds call = 1.0;    // a call's whole deadline
  Seconds gap = 0.05;    // least time between two calls
  Seconds back_first = 0.4, back_most = 3.0, told_most = 300;
};

// Invariants: a window is sent only after its body was fixed on a majority, and every
// time with those bytes; windows are sent in their order, one call at a time; a window
// is ticked off only after a 200 (or after the platform refused it for good).
class UsageReporter {
 public:
  explicit UsageReporter(UsageReportOptions p) : p_(p) {}

  struct Send {
    u64 window = 0;
    std::string body;
  };
  // The body that should be fixed now. held_for: how long we have had the duty; who
  // has just got it waits for the counts that others have yet to send it.
  std::optional<FrozenUsageReport> to_fix(ReplicatedState const& s, UsageTotals const& t, WallSeconds true_now,
                                          Seconds now, Seconds held_for);
  // The register's change: fixes the body if its window is still the next, and ticks
  // off what was acknowledged. True if it changed anything.
  static bool fix(ReplicatedState& s, FrozenUsageReport const& f);
  static bool tick_off(ReplicatedState& s, u64 window);

  // What to send now, if a call may be sent at all.
  std::optional<Send> to_send(ReplicatedState const& s, Seconds now);
  void sent(Seconds now);
  // code 0: no answer in time. retry_after < 0: not said.
  void answered(u64 window, int code, Seconds retry_after, Seconds now);
  void forget();  // the duty was lost: whatever hangs is for the next holder
  bool calling() const { return calling_; }
  std::optional<u64> acked() const { return acked_; }
  Seconds call_s() const { return p_.call; }

 private:
  UsageReportOptions p_;
  bool calling_ = false;
  Seconds next_ = 0, asked_ = -1e9;
  u32 fails_ = 0, refused_ = 0;
  std::optional<u64> acked_;  // answered 200, not yet ticked off in the register
};

}  // namespace dockbend
