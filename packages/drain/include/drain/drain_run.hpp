/// Drain runs in the replicated state: how an order becomes a run, and the changes that advance, command and end
/// it. Everything here is a pure change of a ReplicatedState value, so every controller gets the same result. No I/O.
#pragma once
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"
#include "drain/drain_order.hpp"

namespace dockbend {

/// The stage's name as status pages and log lines show it.
char const* stage_str(DrainStage stage);
/// The state's name as status pages show it.
char const* pass_state_str(DrainRunState state);

/// True for a run that was aborted or has brought all its units back: it changes no more.
bool is_over(DrainRunState state);

/// The unit of that name in a run that is not over, or null. Units of runs that are over are not in the state.
DrainUnit const* unit_of(ReplicatedState const& state, std::string const& name);

/// Adds a run for the order to the state. A repeat of an order finds the run it began; `id` receives the number of
/// the run in either case. Returns whether the state changed. Throws DrainOrderError: 400 for an order that `check`
/// refuses, 409 if another order has its number or a unit is in another run that is not over.
bool start(ReplicatedState& state, DrainOrder const& order, u64& id);

/// One unit moves from the stage in which it was seen to another. `incarnation` is that of the process which is
/// being drained, 0 for servers.
struct StageTransition {
  u64 pass = 0;
  std::string name;
  DrainStage from = DrainStage::waiting, to = DrainStage::waiting;
  u64 incarnation = 0;
};

/// What a run is waiting for, in one line for the operator; empty if for nothing in particular.
struct DrainRunMessage {
  u64 pass = 0;
  std::string why;
};

/// What a planner wants changed in the replicated state.
struct DrainActions {
  std::vector<StageTransition> moves;
  std::vector<DrainRunMessage> words;
  bool empty() const { return moves.empty() && words.empty(); }
};

/// Applies the transitions whose unit is still in the stage they start from, and the messages; what no longer fits
/// is passed over, so a repeat changes nothing. A paused run begins no new unit. A run whose last unit is back
/// becomes `done`. Returns whether the state changed.
bool apply(ReplicatedState& state, DrainActions const& actions);

/// Removes messages that the state already holds.
void drop_known_messages(ReplicatedState const& state, DrainActions& actions);

/// What an operator may do to a run: `take_back` returns one unit to service.
enum class DrainCommand : u8 { pause = 1, resume = 2, abort = 3, take_back = 4 };

/// Carries out an operator's command on run `id`; `unit` names the unit of `take_back`. Returns false if there is
/// nothing to change. Throws DrainOrderError: 404 if the run or unit is unknown, 409 if the run is over.
bool command(ReplicatedState& state, u64 id, DrainCommand command, std::string const& unit = "");

}  // namespace dockbend
