// A proxy's own part in its drain: what it is told, and what it says of itself. No I/O.
#pragma once
#include <deque>

#include "consensus/replicated_state.hpp"
#include "server_registry/server_registry.hpp"

namespace dockbend {

// Invariants: only the life that is meant drains, the one after it serves; while nothing is
// wanted of it, it says nothing; `since` runs from when it was first told, by its own clock.
class ProxyDrainState {
 public:
  explicit ProxyDrainState(u64 incarnation) : incarnation_(incarnation) {}
  // True if it begins or ceases to drain by this.
  bool told(DrainInstruction const& d, Seconds now) {
    bool const was = drains();
    if (said_.stage == 0) since_ = now;
    said_ = d;
    return drains() != was;
  }
  bool drains() const {
    return said_.stage >= static_cast<u32>(DrainStage::draining) && said_.incarnation == incarnation_;
  }
  bool concerned() const { return said_.stage > 0; }
  // A keyed request was answered: its answer is on its way to disk for a moment.
  void answered(Seconds now) {
    if (drains()) answered_.push_back(now);
  }
  // keyed, uploads: open now.
  ProxyDrainStatus word(u32 keyed, u32 uploads, Seconds now) {
    ProxyDrainStatus w;
    w.incarnation = incarnation_;
    if (!concerned()) return w;
    while (!answered_.empty() && now - answered_.front() > 1.5)
      answered_.pop_front();
    w.stage = drains() || said_.stage == static_cast<u32>(DrainStage::cordoned) ? said_.stage : 0;
    w.keyed = keyed + static_cast<u32>(answered_.size());
    w.uploads = uploads;
    w.since = now - since_;
    return w;
  }

 private:
  u64 incarnation_;
  DrainInstruction said_;
  Seconds since_ = 0;
  std::deque<Seconds> answered_;
};

}  // namespace dockbend
