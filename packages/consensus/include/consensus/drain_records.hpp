/// Drain runs and their units, as the replicated state records them.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"

namespace dockbend {

/// How far one unit of a drain run has come. Invariant: a stage only rises, except for the step back to `waiting`
/// (un-cordoned for lack of capacity, or because the run was aborted).
enum class DrainStage : u8 { waiting = 0, cordoned = 1, draining = 2, empty = 3, released = 4, back = 5 };
enum class DrainRunState : u8 { running = 1, paused = 2, aborted = 3, done = 4 };

/// A proxy (by its public address) or a server (by its id) that a drain run takes out of service.
///
/// Invariants:
/// - a name is in at most one drain run that is not over;
/// - `incarnation` is that of the process that is to end; no other process of the same name is drained instead.
struct DrainUnit {
  DB_RECORD(DrainUnit, (u64, pass), (std::string, name), (std::string, node), (u32, wave), (DrainStage, stage),
            (u64, incarnation));
  friend bool operator==(DrainUnit const&, DrainUnit const&) = default;
};

/// How many servers a service had in service when the drain run began.
struct InitialServerCount {
  DB_RECORD(InitialServerCount, (std::string, service), (u32, n));
  friend bool operator==(InitialServerCount const&, InitialServerCount const&) = default;
};

/// One ordered drain as an operator commanded it.
///
/// Invariants:
/// - units of a run that is over are no longer in the replicated state;
/// - `max_out` is above 0 for servers;
/// - only the holder of the lease `drain` changes a run;
/// - `digest` is that of the command (0: not known);
/// - `heard` has a bit for each kind of command that was acknowledged, and bits are only ever added;
/// - `turn` rises with each pause and resume.
struct DrainRun {
  DB_RECORD(DrainRun, (u64, id), (bool, servers), (DrainRunState, state), (double, headroom), (u32, max_out),
            (double, patience), (bool, replaced), (std::string, why), (std::vector<InitialServerCount>, had),
            (u32, total), (u32, back), (u64, digest), (u32, heard), (u32, turn));
  friend bool operator==(DrainRun const&, DrainRun const&) = default;
};

}  // namespace dockbend
