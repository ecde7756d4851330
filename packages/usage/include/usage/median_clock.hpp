// True time, from the machine's time of day, its steady clock and its mates. No I/O.
#pragma once
#include <map>
#include <string>

#include "base/types.hpp"

namespace dockbend {

using WallSeconds = double;  // seconds since the start of 1970

// Invariants: what is said never follows a jump of one machine's time of day, its
// own or another's: it is the steady clock plus the median of the offsets that this
// machine and its mates name. A jump of our own is seen against the steady clock and
// not followed while mates are heard; alone, the offset from before the jump stands.
class MedianClock {
 public:
  // A reading of both clocks of this machine, taken together.
  void own(Seconds steady, WallSeconds wall);
  // A mate said its time of day; `steady` is ours at the middle of the exchange.
  void peer_reading(std::string const& who, Seconds steady, WallSeconds said);
  void forget(std::string const& who) { controllers_.erase(who); }
  bool known() const { return has_own_ || !controllers_.empty(); }
  WallSeconds at(Seconds steady) const { return steady + offset(); }

 private:
  double offset() const;
  struct Said {
    double offset = 0;
    Seconds at = 0;
  };
  bool has_own_ = false;
  double own_ = 0;  // before any jump seen in this life
  Seconds last_ = 0;
  std::map<std::string, Said> controllers_;
};

}  // namespace dockbend
