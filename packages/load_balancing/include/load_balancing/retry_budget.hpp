/// A bound on retries that holds for all proxies together. Each proxy takes its share by what it knows of the others,
/// and a cautious share when it knows little. No I/O.
#pragma once
#include <deque>

#include "base/types.hpp"

namespace dockbend {

/// Retries at one service. Invariant: within any window, the retries granted here are at most
/// share * slack + ratio * (requests seen here in that window).
class RetryBudget {
 public:
  /// window: seconds; ratio: retries a request; slack: retries a window that need no requests, of all proxies together.
  RetryBudget(Seconds window, double ratio, double slack) : window_(window), ratio_(ratio), slack_(slack) {}
  void request_arrived(Seconds now) { slot_at(now).requests += 1; }
  /// Takes a token for one retry; false: there is none. share: this proxy's part of the slack.
  bool take(Seconds now, double share);

 private:
  static int constexpr kSlotsInWindow = 10;
  struct Slot {
    Seconds started_at = 0;
    double requests = 0, retries = 0;
  };
  Seconds slot_length() const { return window_ / kSlotsInWindow; }
  Slot& slot_at(Seconds now);
  Seconds window_;
  double ratio_, slack_;
  std::deque<Slot> slots_;  // oldest first
};

}  // namespace dockbend
