/// Which losses the membership bears, and so which member may be removed. No I/O.
#pragma once
#include <string>

#include "consensus/replicated_state.hpp"

namespace dockbend {

/// What may be lost at once: so many machines, or so many zones, or so many regions.
struct FailureTolerance {
  u32 machines = 0, zones = 0, regions = 0;
};

/// Complete disks beyond a majority of the membership that are left after the worst loss of each sort. Below 0: such a
/// loss stops every change and every claim.
struct FailureMargin {
  long machines = 0, zones = 0, regions = 0;
};
FailureMargin failure_margin(ReplicatedState const& state, FailureTolerance const& tolerance);

/// Why that member, though alive, must not be removed; empty if it may.
std::string why_not_removable(ReplicatedState const& state, std::string const& ip, FailureTolerance const& tolerance);

/// Removes a member that is alive, if that does no harm; `why` says what prevents it. If the member is gone already
/// (the command was repeated), false with an empty `why`.
bool remove_if_harmless(ReplicatedState& state, std::string const& ip, Incarnation incarnation,
                        FailureTolerance const& tolerance, std::string& why);

}  // namespace dockbend
