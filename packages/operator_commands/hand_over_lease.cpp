#include "operator_commands/hand_over_lease.hpp"

namespace dockbend {

CommandResult HandOverLease::check(ReplicatedState const& state) const {
  Lease const* const lease = state.term(duty);
  if (lease == nullptr) return CommandResult::undecided("nobody has the duty yet");
  bool const is_there = lease->holder == node && lease->next.empty();
  if (lease->next == node || is_there) return CommandResult::accepted(false);
  return CommandResult::undecided("not handed over yet");
}

}  // namespace dockbend
