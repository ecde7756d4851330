/// A bound on retries that holds for all proxies together. Each proxy takes its share by what it knows of the others,
/// and a cautious share when it knows little. No I/O.
#pragma once
#include <deque>

#include "base/types.hpp"

namespace dockbend {

/// What bounds the retries at a service. `ratio`: retries a request; `slack`: retries a window that need no requests,
/// of all proxies together.
struct RetryBounds {
  Seconds window = 10;
  double ratio = 0;
  double slack = 0;
};

/// Retries at one service. Invariant: within any window, the retries granted here are at most
/// share * slack + ratio * (requests seen here in that window).
class RetryBudget {
 public:
  explicit RetryBudget(RetryBounds const& bounds) : bounds_(bounds) {}
  /// In force from the next retry on; what was counted under other bounds goes on counting.
  void set_bounds(RetryBounds const& bounds) { bounds_ = bounds; }
  void request_arrived(Seconds now) { slot_at(now).requests += 1; }
  /// Takes a token for one retry; false: there is none. share: this proxy's part of the slack.
  bool take(Seconds now, double share);

 private:
  static int constexpr kSlotsInWindow = 10;
  struct Slot {
    Seconds started_at = 0;
    double requests = 0, retries = 0;
  };
  Seconds slot_length() const { return bounds_.window / kSlotsInWindow; }
  Slot& slot_at(Seconds now);
  RetryBounds bounds_;
  std::deque<Slot> slots_;  // oldest first
};

}  // namespace dockbend
