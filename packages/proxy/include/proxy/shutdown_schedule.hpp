/// What a proxy that got a SIGTERM still does at which time. No I/O.
#pragma once
#include "base/types.hpp"

namespace dockbend {

/// Invariant: a request that may be begun later than kFreeIntake after the SIGTERM is over, by its own deadline, before
/// the process must end. So the end cuts none of them, however long their servers take.
class ShutdownSchedule {
 public:
  /// A request that was sent so long after the SIGTERM may be at work when the process ends (RULES, LOST: 3 s; what is
  /// left of it is for the signal and for the request to get here).
  static Seconds constexpr kFreeIntake = 2.8;
  /// Part of the grace period in which connections are still accepted.
  static double constexpr kAcceptingPart = 0.45;
  /// The process ends so long before the grace period does.
  static Seconds constexpr kEndMargin = 0.5;
  /// Nothing was open for so long before the process ends: what was written last has left it, and the agent has passed
  /// on what it was told.
  static Seconds constexpr kQuietBeforeEnd = 0.3;

  /// started_at: when the SIGTERM came. grace_period: from then until the process is killed, in seconds.
  ShutdownSchedule(Seconds started_at, Seconds grace_period) : started_at_(started_at), grace_period_(grace_period) {}

  bool accepts_connections(Seconds now) const { return now - started_at_ <= grace_period_ * kAcceptingPart; }
  /// A request that may take longer is not begun now. Infinite: each may be.
  Seconds longest_request(Seconds now) const;
  Seconds must_end_at() const { return started_at_ + grace_period_ - kEndMargin; }

 private:
  Seconds started_at_;
  Seconds grace_period_;
};

}  // namespace dockbend
