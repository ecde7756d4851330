/// How long each unit of a drain run has been in its stage, and idle. No I/O.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "consensus/replicated_state.hpp"

namespace dockbend {

/// Times of one unit, by the steady clock of the controller that holds the drain lease.
struct UnitTimes {
  DrainStage stage = DrainStage::waiting;
  Seconds stage_since = 0;            // when this controller first saw it in `stage`
  std::optional<Seconds> idle_since;  // when it was first seen idle, without a break since

  /// Takes note of whether the unit is idle at `now`. Returns for how long it has been; nothing if it only now
  /// became idle or is busy, so emptiness always takes two observations.
  std::optional<Seconds> observe_idle(bool is_idle, Seconds now);
};

/// Keeps UnitTimes for the units under way. Invariant: after end_step() it holds just the units that were observed
/// since begin_step(). The times are of one lease holder only: a successor measures them anew.
class UnitClock {
 public:
  void begin_step() { observed_.clear(); }
  /// The times of a unit; they start anew when its stage has changed. Valid until end_step().
  UnitTimes& observe(DrainUnit const& unit, Seconds now);
  /// Forgets the units that were not observed in this step.
  void end_step();
  /// Since when a unit is in its stage; nothing if it is not known.
  std::optional<Seconds> stage_since(u64 run_id, std::string const& name) const;
  void clear() { times_.clear(); }

 private:
  using Key = std::pair<u64, std::string>;  // run, unit
  std::map<Key, UnitTimes> times_;
  std::set<Key> observed_;
};

}  // namespace dockbend
