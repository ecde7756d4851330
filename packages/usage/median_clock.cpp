#include "usage/median_clock.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dockbend {
namespace {

Seconds constexpr kJumpThreshold = 0.25;    // more than clocks drift apart between two readings
Seconds constexpr kMaxPeerReadingAge = 30;  // older readings do not count

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  std::size_t const middle = values.size() / 2;
  return values.size() % 2 == 1 ? values[middle] : 0.5 * (values[middle - 1] + values[middle]);
}

}  // namespace

void MedianClock::on_own_reading(Seconds steady, WallSeconds wall) {
  double const offset = wall - steady;
  newest_reading_at_ = std::max(newest_reading_at_, steady);
  // Slow drift is followed, a jump is not.
  if (!has_own_offset_ || std::abs(offset - own_offset_) < kJumpThreshold) own_offset_ = offset;
  has_own_offset_ = true;
}

void MedianClock::on_peer_reading(std::string const& peer, Seconds steady, WallSeconds wall) {
  newest_reading_at_ = std::max(newest_reading_at_, steady);
  peers_[peer] = PeerReading{wall - steady, steady};
}

double MedianClock::offset() const {
  std::vector<double> offsets;
  if (has_own_offset_) offsets.push_back(own_offset_);
  for (auto const& [peer, reading] : peers_)
    if (newest_reading_at_ - reading.taken_at < kMaxPeerReadingAge) offsets.push_back(reading.offset);
  if (offsets.empty()) return 0;
  // Of two that differ widely nobody can say which one jumped: ours counts, or else the lower one.
  if (offsets.size() == 2 && std::abs(offsets[1] - offsets[0]) > kJumpThreshold)
    return has_own_offset_ ? own_offset_ : std::min(offsets[0], offsets[1]);
  return median(std::move(offsets));
}

}  // namespace dockbend
