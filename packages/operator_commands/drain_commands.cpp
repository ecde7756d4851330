#include "operator_commands/drain_commands.hpp"

#include <algorithm>

namespace dockbend {
namespace {
CommandResult refused(DrainOrderError const& error) {
  CommandStatus const status = error.code == 404   ? CommandStatus::not_found
                               : error.code == 409 ? CommandStatus::conflict
                                                   : CommandStatus::invalid;
  return CommandResult::refused(status, error.what());
}
u32 bit_of(DrainCommand command) {
  return 1u << static_cast<u32>(command);
}
}  // namespace

StartDrain::StartDrain(DrainOrder order, ReplicatedState const* known) : order_(std::move(order)) {
  if (known != nullptr) known_runs_ = runs_of(*known);
}

std::vector<StartDrain::KnownRun> StartDrain::runs_of(ReplicatedState const& state) {
  std::vector<KnownRun> runs;
  for (DrainRun const& run : state.passes)
    runs.push_back({run.id, is_over(run.state)});
  return runs;
}

CommandResult StartDrain::apply(ReplicatedState& state) const {
  StartedRun started;
  ReplicatedState changed;
  changed.passes = state.passes;
  changed.units = state.units;
  try {
    started = start_run(changed, order_);
    if (!started.is_new) return CommandResult::accepted(false, started.id);
  } catch (DrainOrderError const& error) {
    return refused(error);
  }
  // A run that was in its way may have ended since another controller refused it.
  if (runs_of(state) != known_runs_) return CommandResult::undecided("other passes came between");
  state.passes = std::move(changed.passes);
  state.units = std::move(changed.units);
  return CommandResult::accepted(true, started.id);
}

ControlDrain::ControlDrain(u64 run_id, DrainCommand command, std::string unit, ReplicatedState const* known)
    : run_id_(run_id), command_(command), unit_(std::move(unit)) {
  DrainRun const* const run = known == nullptr ? nullptr : known->pass(run_id);
  if (run != nullptr) known_turn_ = run->turn;
}

/// Whether the run has moved on since the call came in, in a way that another controller's answer to it may have
/// depended on.
bool ControlDrain::is_overtaken(DrainRun const& run) const {
  if (!known_turn_) return true;
  DrainRunState const wanted = command_ == DrainCommand::pause ? DrainRunState::paused : DrainRunState::running;
  return turns_run() && run.state != wanted && run.turn > *known_turn_;
}

CommandResult ControlDrain::apply(ReplicatedState& state) const {
  auto const run = std::find_if(state.passes.begin(), state.passes.end(),
                                [&](DrainRun const& candidate) { return candidate.id == run_id_; });
  if (run == state.passes.end())
    return CommandResult::refused(CommandStatus::not_found, "no such pass: " + std::to_string(run_id_));
  bool const was_heard = (run->heard & bit_of(command_)) != 0;
  bool const has_ended = is_over(run->state);
  if (has_ended && was_heard) return CommandResult::accepted(false, run_id_);
  if (!has_ended && is_overtaken(*run)) return CommandResult::undecided("another order came between");
  try {
    bool const has_changed = control_run(state, run_id_, command_, unit_);
    run->heard |= bit_of(command_);
    if (has_changed && turns_run()) ++run->turn;
    return CommandResult::accepted(has_changed || !was_heard, run_id_);
  } catch (DrainOrderError const& error) {
    return refused(error);
  }
}

}  // namespace dockbend
