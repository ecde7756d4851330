/// Drain runs in the replicated state: how an order becomes a run, and the changes that advance, command and end
/// it. Everything here is a pure change of a ReplicatedState value, so every controller gets the same result. No I/O.
#pragma once
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"
#include "drain/drain_order.hpp"

namespace dockbend {

/// The stage's name as status pages and log lines show it.
char const* drain_stage_name(DrainStage stage);
/// The state's name as status pages show it.
char const* drain_run_state_name(DrainRunState state);

/// True for a run that was aborted or has brought all its units back: it changes no more.
bool is_over(DrainRunState state);

/// The unit of that name in a run that is not over, or null. Units of runs that are over are not in the state.
DrainUnit const* find_unit(ReplicatedState const& state, std::string const& name);

/// The run of an order; `is_new` if the order began it just now.
struct StartedRun {
  u64 id = 0;
  bool is_new = false;
};

/// Adds a run for the order to the state. A repeat of an order finds the run it began and changes nothing. Throws
/// DrainOrderError: 400 for an order that `validate` refuses, 409 if another order has its number or a unit is in
/// another run that is not over.
StartedRun start_run(ReplicatedState& state, DrainOrder const& order);

/// One unit moves from the stage in which it was seen to another. `incarnation` is that of the process which is
/// being drained, 0 for servers.
struct StageTransition {
  u64 run_id = 0;
  std::string name;
  DrainStage from = DrainStage::waiting, to = DrainStage::waiting;
  u64 incarnation = 0;
};

/// What a run is waiting for, in one line for the operator; empty if for nothing in particular.
struct DrainRunMessage {
  u64 run_id = 0;
  std::string text;
};

/// What a planner wants changed in the replicated state.
struct DrainActions {
  std::vector<StageTransition> transitions;
  std::vector<DrainRunMessage> messages;
  bool empty() const { return transitions.empty() && messages.empty(); }
};

/// Applies the transitions whose unit is still in the stage they start from, and the messages; what no longer fits
/// is passed over, so a repeat changes nothing. A paused run begins no new unit. A run whose last unit is back
/// becomes `done`. Returns whether the state changed.
bool apply_actions(ReplicatedState& state, DrainActions const& actions);

/// Removes messages that the state already holds.
void drop_known_messages(ReplicatedState const& state, DrainActions& actions);

/// What an operator may do to a run: `take_back` returns one unit to service.
enum class DrainCommand : u8 { pause = 1, resume = 2, abort = 3, take_back = 4 };

/// Carries out an operator's command on run `id`; `unit` names the unit of `take_back`. Returns false if there is
/// nothing to change. Throws DrainOrderError: 404 if the run or unit is unknown, 409 if the run is over.
bool control_run(ReplicatedState& state, u64 id, DrainCommand command, std::string const& unit = "");

}  // namespace dockbend
