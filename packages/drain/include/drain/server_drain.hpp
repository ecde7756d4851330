/// Drain runs over servers (server rotation): which server leaves next, and which are empty. No I/O.
#pragma once
#include <string>
#include <vector>

#include "drain/drain_run.hpp"
#include "drain/open_work.hpp"
#include "drain/unit_clock.hpp"

namespace dockbend {

/// A server as the holder of the drain lease knows it.
struct ServerObservation {
  std::string id, service, zone, region;
  bool is_present = false;         // it is registered and has neither left nor been lost
  bool is_ready = false;           // it may get new requests
  double slots = 1;                // requests it can run at once; fewer while it is warming up
  OpenWork open_work;              // summed over all proxies
  bool is_fully_reported = false;  // every proxy that may have sent to it has reported what it has open there
};

/// The order in which servers leave: first the one that would lose least if it ended now. A server with a report
/// missing counts as busy.
bool leaves_before(ServerObservation const& a, ServerObservation const& b);

/// Times in seconds.
struct ServerDrainOptions {
  Seconds stop_delay = 3.5;         // this long after a server begins to drain, no proxy sends it anything new
  Seconds idle_confirmation = 0.8;  // a server counts as empty once it has been idle this long
  std::size_t survey_window = 32;   // waiting servers whose open work is asked for at once
};

/// Plans the drain runs over servers. Invariants:
/// - of the servers that a service had, no more than `max_out` are missing at once, whether drained, lost or not yet
///   replaced;
/// - a server leaves `waiting` only while its service keeps the headroom in its region without it;
/// - it is `empty` only when every proxy that may have work open there reports none, twice, `idle_confirmation` apart
/// and after
///   `stop_delay`;
/// - the order of leaving is worked out anew at each step.
class ServerDrainPlanner {
 public:
  explicit ServerDrainPlanner(ServerDrainOptions options) : options_(options) {}
  /// In force from the next step on.
  void set_options(ServerDrainOptions const& options) { options_ = options; }

  /// The changes that the runs in `state` need now, by what is known of the servers. Called by the holder of the
  /// drain lease every few hundred milliseconds; the caller submits the changes.
  DrainActions step(ReplicatedState const& state, std::vector<ServerObservation> const& servers, Seconds now);

  /// The servers whose open work has to be known for the next step: all that drain and a few that wait, other ones
  /// at each call, because the cost of a rotation must not grow as proxies x servers.
  std::vector<std::string> servers_to_survey(ReplicatedState const& state);

  /// Since when a unit has been in its stage, as seen by this lease holder; < 0 if not known.
  Seconds stage_since(u64 run_id, std::string const& name) const;

  /// To be called when this controller no longer holds the drain lease: times are measured anew by the next holder.
  void forget() { clock_.clear(); }

 private:
  ServerDrainOptions options_;
  std::size_t cursor_ = 0;  // position among the waiting servers of the next window
  UnitClock clock_;
};

}  // namespace dockbend
