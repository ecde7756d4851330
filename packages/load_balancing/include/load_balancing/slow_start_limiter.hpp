/// Limits the requests of this proxy to one server that is warming up. No I/O.
#pragma once
#include <algorithm>

#include "base/types.hpp"

namespace dockbend {

/// A token bucket. Invariant: at most burst + rate * t requests in any span t.
class SlowStartLimiter {
 public:
  /// rate: requests a second; burst: requests at once. False: there is no token.
  bool take(Seconds now, double rate, double burst) {
    tokens_ = std::min(burst, tokens_ + (now - updated_at_) * rate);
    updated_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  bool has_token(Seconds now, double rate, double burst) const {
    return std::min(burst, tokens_ + (now - updated_at_) * rate) >= 1;
  }
  /// A warm-up begins: without tokens.
  void start(Seconds now) {
    updated_at_ = now;
    tokens_ = 0;
  }

 private:
  Seconds updated_at_ = 0;
  double tokens_ = 0;
};

}  // namespace dockbend
