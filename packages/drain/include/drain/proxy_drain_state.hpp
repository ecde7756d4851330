// A proxy's own part in its drain: what it is told, and what it says of itself. No I/O.
#pragma once
#include <deque>

#include "consensus/replicated_state.hpp"
#include "server_registry/server_registry.hpp"

namespace dockbend {

// Invariants: only the life that is meant drains, the one after it serves; while nothing is
// wanted of it, it says nothing; `since` runs from when it was first told, by its own clock.
class Leaver {
 public:
  explicit Leaver(u64 life) : life_(life) {}
  // True if it begins or ceases to drain by this.
  bool told(DrainSaid const& d, Secs now) {
    bool const was = drains();
    if (said_.stage == 0) since_ = now;
    said_ = d;
    return drains() != was;
  }
  bool drains() const { return said_.stage >= static_cast<u32>(Stage::draining) && said_.life == life_; }
  bool concerned() const { return said_.stage > 0; }
  // A keyed request was answered: its answer is on its way to disk for a moment.
  void answered(Secs now) {
    if (drains()) answered_.push_back(now);
  }
  // keyed, uploads: open now.
  DrainWord word(u32 keyed, u32 uploads, Secs now) {
    DrainWord w;
    w.life = life_;
    if (!concerned()) return w;
    while (!answered_.empty() && now - answered_.front() > 1.5)
      answered_.pop_front();
    w.stage = drains() || said_.stage == static_cast<u32>(Stage::cordoned) ? said_.stage : 0;
    w.keyed = keyed + static_cast<u32>(answered_.size());
    w.uploads = uploads;
    w.since = now - since_;
    return w;
  }

 private:
  u64 life_;
  DrainSaid said_;
  Secs since_ = 0;
  std::deque<Secs> answered_;
};

}  // namespace dockbend
