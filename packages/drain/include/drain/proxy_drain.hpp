// Proxies out for maintenance, wave by wave: which step comes next. No I/O.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "drain/drain_run.hpp"

namespace dockbend {

// A proxy as the directories know it.
struct ProxyObservation {
  std::string front, zone, region;
  bool ready = false, fresh = false;      // fresh: its keepalives come
  double load = 0;                        // share of its processor or link in use, the busier of both
  DrainStage told = DrainStage::waiting;  // the stage that it says it acts by
  u32 keyed = 0, uploads = 0;             // that it says are open
  u64 incarnation = 0;
  Seconds cordoned_for = 0;  // by its own clock, so that a change of holders costs no time
  bool current = false;      // it holds the configuration in force
};

struct RegionCapacity {
  DB_RECORD(RegionCapacity, (std::string, region), (u32, nodes), (double, load));  // load: mean of the nodes that serve
};

// What each region's nodes carry, and how many of them serve once `without` are out. Nodes that are
// dark, not ready or out count as nothing, but what they still carry has to be carried.
std::map<std::string, RegionCapacity> room(std::vector<ProxyObservation> const& nodes,
                                           std::function<bool(ProxyObservation const&)> const& without);
inline bool is_short(RegionCapacity const& r, double headroom) {
  return r.nodes == 0 || r.load > 1 - headroom;
}

struct ProxyDrainOptions {
  Seconds old_lists = 15;  // clients may go by lists as old as this
  Seconds steady = 2;      // a shortage or its end counts when it lasted so long
  Seconds settle = 0.8;    // emptiness, too
};

// The order of steps. Invariants:
// - a unit leaves `waiting` only while every region, without it and without all that is out
//   already, keeps the headroom;
// - a unit becomes `empty` only by its own word, in the life that was drained, said again after `settle`;
// - the next wave begins only when every unit of the one before is back, but for those that were
//   dark before their turn; they have it once they are seen again;
// - nothing is ever cut by time: a unit that does not become empty is only spoken of.
// Times of emptiness and shortage are of this life of the holder: a successor waits them out anew.
class ProxyDrainPlanner {
 public:
  explicit ProxyDrainPlanner(ProxyDrainOptions p) : p_(p) {}
  DrainActions step(ReplicatedState const& s, std::vector<ProxyObservation> const& nodes, Seconds now);
  void forget() {
    at_.clear();
    short_.clear();
  }  // no longer the holder

 private:
  struct Mark {
    DrainStage stage = DrainStage::waiting;
    Seconds since = 0, quiet_since = -1;
  };
  ProxyDrainOptions p_;
  std::map<std::pair<u64, std::string>, Mark> at_;
  struct Shortage {
    Seconds since = -1, last = -1e9;
  };
  std::map<std::string, Shortage> short_;  // by region
};

}  // namespace dockbend
