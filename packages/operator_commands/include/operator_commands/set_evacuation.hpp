#pragma once
#include <string>

#include "consensus/replicated_state.hpp"
#include "operator_commands/command_result.hpp"

/// \file
/// The command that evacuates a zone or ends its evacuation.

namespace dockbend {

/// Evacuations carry no number of their own; the counter of a zone rises with each change.
class SetEvacuation {
 public:
  /// known: the value that this controller knew when the call came in; null: none.
  /// is_configured: whether our settings name the zone.
  SetEvacuation(std::string zone, bool is_on, ReplicatedState const* known, bool is_configured = true);
  CommandResult apply(ReplicatedState& state) const;

 private:
  std::string zone_;
  bool is_on_, is_configured_;
  u64 known_counter_;
};

}  // namespace dockbend
