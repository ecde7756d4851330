/// What changed from one replicated value to another: what rounds send instead of the complete value.
#pragma once
#include <string_view>
#include <vector>

#include "consensus/replicated_state.hpp"

namespace dockbend {

/// The change from the value of `base` to that of `ballot`. Items and drain units are listed one by one; the short
/// lists are complete and count only if their `..._set` flag is true.
struct StateDelta {
  DB_RECORD(StateDelta, (Ballot, base), (Ballot, ballot), (Epoch, epoch), (std::vector<ConfigItem>, items),
            (bool, evacuations_set), (std::vector<Evacuation>, evacuations), (bool, membership_set),
            (std::vector<Member>, membership), (bool, duties_set), (std::vector<Lease>, duties), (u64, to_fix),
            (bool, fixed_set), (std::vector<FrozenUsageReport>, fixed), (Ballot, open), (bool, passes_set),
            (std::vector<DrainRun>, passes), (std::vector<DrainUnit>, units), (bool, previous_membership_set),
            (std::vector<Member>, previous_membership), (u32, largest_membership),
            (std::vector<RetiredMember>, retired));
};

/// Decodes a delta from outside; throws codec::MalformedMessage under the same conditions as read_state().
StateDelta read_delta(std::string_view bytes);
StateDelta delta_of(ReplicatedState const& from, ReplicatedState const& to);
/// The delta that does first `first`, then `second`, whose base is the ballot of `first`.
StateDelta join_deltas(StateDelta first, StateDelta const& second);
/// Changes `state`; false (and no change) unless `state` is the delta's base.
bool apply(ReplicatedState& state, StateDelta const& delta);

}  // namespace dockbend
