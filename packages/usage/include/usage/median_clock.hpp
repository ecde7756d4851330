/// Wall-clock time that does not follow a jump of one machine's clock. No I/O.
#pragma once
#include <map>
#include <string>

#include "base/types.hpp"

namespace dockbend {

using WallSeconds = double;  // seconds since the start of 1970

/// The steady clock plus the median of the wall-clock offsets of this machine and its peers.
///
/// Invariant: the result follows no jump of a single machine's wall clock, be it this machine's or a peer's. A jump of
/// our own is detected against the steady clock and not followed while peers are heard; without peers the offset from
/// before the jump stays in force.
class MedianClock {
 public:
  /// Both clocks of this machine, read together.
  void on_own_reading(Seconds steady, WallSeconds wall);
  /// A peer sent its wall-clock time.
  /// @param steady our steady clock at the middle of the exchange
  void on_peer_reading(std::string const& peer, Seconds steady, WallSeconds wall);
  /// False until the first reading; wall_time_at() means nothing before.
  bool is_known() const { return has_own_offset_ || !peers_.empty(); }
  WallSeconds wall_time_at(Seconds steady) const { return steady + offset(); }

 private:
  struct PeerReading {
    double offset = 0;  // wall minus steady clock, in seconds
    Seconds taken_at = 0;
  };

  double offset() const;

  bool has_own_offset_ = false;
  double own_offset_ = 0;  // before any jump detected in this process
  Seconds newest_reading_at_ = 0;
  std::map<std::string, PeerReading> peers_;
};

}  // namespace dockbend
