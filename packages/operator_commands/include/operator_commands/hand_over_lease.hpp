#pragma once
#include <string>

#include "consensus/replicated_state.hpp"
#include "operator_commands/command_result.hpp"

/// \file
/// The command that hands the lease of a singleton role to another controller.

namespace dockbend {

/// Changes nothing in the value, for only the holder can hand its lease over: it says whether the lease is, or is
/// about to be, where it was ordered to.
struct HandOverLease {
  std::string duty;  ///< the singleton role
  std::string node;  ///< the controller that is to have it
  CommandResult apply(ReplicatedState& state) const { return check(state); }
  CommandResult check(ReplicatedState const& state) const;
};

}  // namespace dockbend
