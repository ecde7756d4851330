// Shares of bounds that hold for all proxies together. Each proxy takes its part
// from what it knows of the others, and the cautious part when it knows little.
#pragma once
#include <algorithm>
#include <deque>

#include "base/types.hpp"

namespace dockbend {

// Further tries at one pool. Invariant: within any window, tries granted here
// are at most part * slack + ratio * (errands seen here in that window).
class RetryBudget {
 public:
  RetryBudget(Seconds window, double ratio, double slack) : window_(window), ratio_(ratio), slack_(slack) {}
  void errand(Seconds now) { bump(now).errands += 1; }
  bool take(Seconds now, double part) {
    Slot& s = bump(now);
    double e = 0, t = 0;
    for (Slot const& x : q_) {
      // Tries are counted over a longer span than errands: the bound slides.
      t += x.attempts;
      if (now - x.at < window_ - grain()) e += x.errands;
    }
    if (t + 1 > part * slack_ + ratio_ * e) return false;
    s.attempts += 1;
    return true;
  }

 private:
  struct Slot {
    Seconds at = 0;
    double errands = 0, attempts = 0;
  };
  Seconds grain() const { return window_ / 10; }
  Slot& bump(Seconds now) {
    while (!q_.empty() && now - q_.front().at > window_ + grain())
      q_.pop_front();
    if (q_.empty() || now - q_.back().at >= grain()) q_.push_back(Slot{now, 0, 0});
    return q_.back();
  }
  Seconds window_;
  double ratio_, slack_;
  std::deque<Slot> q_;
};

// Errands at one cold server from this proxy. Invariant: at most burst + rate * t
// in any span t.
class SlowStartLimiter {
 public:
  bool take(Seconds now, double rate, double burst) {
    level_ = std::min(burst, level_ + (now - at_) * rate);
    at_ = now;
    if (level_ < 1) return false;
    level_ -= 1;
    return true;
  }
  bool has(Seconds now, double rate, double burst) const { return std::min(burst, level_ + (now - at_) * rate) >= 1; }
  void start(Seconds now) {
    at_ = now;
    level_ = 0;
  }

 private:
  Seconds at_ = 0;
  double level_ = 0;
};

}  // namespace dockbend
