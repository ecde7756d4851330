#include "usage/median_clock.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dockbend {
namespace {
double const jump_s = 0.25;  // more than clocks drift apart between two readings
Seconds const fresh_s = 30;  // what a mate said longer ago counts no more
}  // namespace

void MedianClock::own(Seconds steady, WallSeconds wall) {
  double const o = wall - steady;
  last_ = std::max(last_, steady);
  if (!has_own_) {
    has_own_ = true;
    own_ = o;
    return;
  }
  // Slow drift is followed, a jump is not.
  if (std::abs(o - own_) < jump_s) own_ = o;
}

void MedianClock::peer_reading(std::string const& who, Seconds steady, WallSeconds said) {
  last_ = std::max(last_, steady);
  controllers_[who] = Said{said - steady, steady};
}

double MedianClock::offset() const {
  std::vector<double> v;
  if (has_own_) v.push_back(own_);
  for (auto const& [w, s] : controllers_)
    if (last_ - s.at < fresh_s) v.push_back(s.offset);
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  std::size_t const n = v.size();
  // Two that disagree can't be told apart; between two close ones the middle is best.
  if (n == 2 && std::abs(v[1] - v[0]) > jump_s) return has_own_ ? own_ : v[0];
  return n % 2 == 1 ? v[n / 2] : 0.5 * (v[n / 2 - 1] + v[n / 2]);
}

}  // namespace dockbend
