/// How much the proxies of each region carry, how many of them serve, and when that is too little. No I/O.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"

namespace dockbend {

/// A proxy as the directories know it.
struct ProxyObservation {
  std::string front, zone, region;
  bool is_ready = false;
  bool is_reachable = false;                        // its keepalives arrive
  double load = 0;                                  // share in use of its processor or link, whichever is busier; 0..1
  DrainStage reported_stage = DrainStage::waiting;  // the stage that it reports to act by
  u32 open_keyed = 0, open_uploads = 0;             // requests that it reports as open
  u64 incarnation = 0;
  Seconds cordoned_for = 0;                // by the proxy's own clock, so that a new lease holder need not wait again
  bool has_current_configuration = false;  // it has the configuration in force
};

/// What one region can carry. `nodes`: proxies that serve; `load`: their mean load.
struct RegionCapacity {
  DB_RECORD(RegionCapacity, (std::string, region), (u32, nodes), (double, load));
};

/// The capacity of each region with the proxies for which `without` is true out of service. Proxies that can't be
/// reached, are not ready or are out count as no capacity, but the load of those that can be reached has to be
/// carried by the others.
std::map<std::string, RegionCapacity> region_capacities(std::vector<ProxyObservation> const& proxies,
                                                        std::function<bool(ProxyObservation const&)> const& without);

/// True if no proxy of the region serves, or less than `headroom` (share of the capacity, 0..1) is left.
bool is_short(RegionCapacity const& capacity, double headroom);

/// Tells a lasting shortage of capacity from a passing one, region by region.
class ShortageMonitor {
 public:
  /// `steady`: seconds for which a shortage, or its absence, must last to count.
  explicit ShortageMonitor(Seconds steady) : steady_(steady) {}
  /// Takes note of the capacities at `now`. Returns the regions that have been short for long enough.
  std::set<std::string> update(std::map<std::string, RegionCapacity> const& capacities, double headroom, Seconds now);
  /// True if the region was short at some time in the last `steady` seconds.
  bool was_short_lately(std::string const& region, Seconds now) const;
  void clear() { shortages_.clear(); }

 private:
  struct Shortage {
    Seconds since = -1;  // < 0: not short now
    Seconds last_seen = -1e9;
  };
  Seconds steady_;
  std::map<std::string, Shortage> shortages_;  // by region
};

}  // namespace dockbend
