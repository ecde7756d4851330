/// Drain runs over proxies, wave by wave: which stage each proxy of a run enters next. No I/O.
#pragma once
#include <vector>

#include "drain/drain_run.hpp"
#include "drain/region_capacity.hpp"
#include "drain/unit_clock.hpp"

namespace dockbend {

/// Times in seconds.
struct ProxyDrainOptions {
  Seconds max_list_age = 15;          // clients may use endpoint lists as old as this
  Seconds shortage_confirmation = 2;  // a shortage of capacity, or its end, counts once it has lasted this long
  Seconds idle_confirmation = 0.8;    // a proxy counts as empty once it has been idle this long
};

/// Plans the drain runs over proxies. Invariants:
/// - a proxy leaves `waiting` only while its region, without it and without all that are out already, keeps the
///   headroom;
/// - a proxy becomes `empty` only by its own report, in the incarnation that was drained, repeated after
/// `idle_confirmation`;
/// - the next wave begins only when every proxy of the one before is back, except those that could not be reached
///   before their turn; they get it once they are reached again;
/// - nothing is ever cut off by time: a proxy that does not become empty is only reported.
class ProxyDrainPlanner {
 public:
  explicit ProxyDrainPlanner(ProxyDrainOptions options)
      : options_(options), shortages_(options.shortage_confirmation) {}
  /// In force from the next step on, apart from `shortage_confirmation`.
  void set_options(ProxyDrainOptions const& options) { options_ = options; }

  /// The changes that the runs in `state` need now, by what is known of the proxies. Called by the holder of the
  /// drain lease every few hundred milliseconds; the caller submits the changes.
  DrainActions step(ReplicatedState const& state, std::vector<ProxyObservation> const& proxies, Seconds now);

  /// To be called when this controller no longer holds the drain lease: times are measured anew by the next holder.
  void forget();

 private:
  ProxyDrainOptions options_;
  UnitClock clock_;
  ShortageMonitor shortages_;
};

}  // namespace dockbend
