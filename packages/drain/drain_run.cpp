#include "drain/drain_run.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace dockbend {
namespace {
std::size_t constexpr kMaxFinishedRuns = 8;  // kept in the state for status pages and repeated orders

DrainRun* find_run(ReplicatedState& state, u64 id) {
  auto const it =
      std::find_if(state.passes.begin(), state.passes.end(), [id](DrainRun const& r) { return r.id == id; });
  return it == state.passes.end() ? nullptr : &*it;
}

void drop_units(ReplicatedState& state, u64 run_id) {
  std::erase_if(state.units, [run_id](DrainUnit const& unit) { return unit.pass == run_id; });
}

std::set<std::string> unit_names(ReplicatedState const& state, u64 run_id) {
  std::set<std::string> names;
  for (DrainUnit const& unit : state.units)
    if (unit.pass == run_id) names.insert(unit.name);
  return names;
}

std::set<std::string> unit_names(DrainOrder const& order) {
  std::set<std::string> names;
  for (DrainOrderUnit const& unit : order.units)
    names.insert(unit.name);
  return names;
}

/// A run in progress over exactly these units: the same order under another number.
DrainRun const* find_active_run(ReplicatedState const& state, bool servers, std::set<std::string> const& names) {
  for (DrainRun const& run : state.passes)
    if (!is_over(run.state) && run.servers == servers && unit_names(state, run.id) == names) return &run;
  return nullptr;
}

void check_no_overlap(ReplicatedState const& state, std::set<std::string> const& names) {
  for (DrainUnit const& unit : state.units)
    if (names.count(unit.name) > 0)
      throw DrainOrderError(409, unit.name + ": already in pass " + std::to_string(unit.pass));
}

/// Makes room for one more run: the oldest finished ones are forgotten.
void drop_oldest_finished_runs(ReplicatedState& state) {
  auto finished = static_cast<std::size_t>(
      std::count_if(state.passes.begin(), state.passes.end(), [](DrainRun const& run) { return is_over(run.state); }));
  for (auto it = state.passes.begin(); finished >= kMaxFinishedRuns && it != state.passes.end();) {
    if (!is_over(it->state)) {
      ++it;
      continue;
    }
    it = state.passes.erase(it);
    --finished;
  }
}

DrainRun make_run(DrainOrder const& order, u64 id, u64 digest) {
  DrainRun run;
  run.id = id;
  run.servers = order.servers;
  run.state = DrainRunState::running;
  run.headroom = order.headroom;
  run.max_out = order.maxUnavailable;
  run.patience = order.patienceS;
  run.replaced = order.replaced;
  run.had = order.had;
  run.total = static_cast<u32>(order.units.size());
  run.digest = digest;
  return run;
}

DrainUnit make_unit(DrainOrderUnit const& ordered, u64 run_id) {
  DrainUnit unit;
  unit.pass = run_id;
  unit.name = ordered.name;
  unit.node = ordered.node;
  unit.wave = ordered.wave;
  return unit;
}

bool apply_transition(ReplicatedState& state, StageTransition const& transition) {
  DrainRun const* run = state.pass(transition.run_id);
  if (run == nullptr || is_over(run->state)) return false;
  bool changed = false;
  for (DrainUnit& unit : state.units) {
    if (unit.pass != transition.run_id || unit.name != transition.name || unit.stage != transition.from) continue;
    if (run->state == DrainRunState::paused && unit.stage == DrainStage::waiting) continue;
    if (unit.stage == transition.to && unit.incarnation == transition.incarnation) continue;
    unit.stage = transition.to;
    unit.incarnation = transition.incarnation;
    changed = true;
  }
  return changed;
}

bool apply_message(ReplicatedState& state, DrainRunMessage const& message) {
  DrainRun* run = find_run(state, message.run_id);
  if (run == nullptr || is_over(run->state) || run->why == message.text) return false;
  run->why = message.text;
  return true;
}

/// Counts the units that are back and ends the runs that have them all.
bool update_progress(ReplicatedState& state) {
  std::map<u64, u32> units_back;
  for (DrainUnit const& unit : state.units)
    units_back[unit.pass] += unit.stage == DrainStage::back ? 1 : 0;
  bool changed = false;
  for (DrainRun& run : state.passes) {
    if (is_over(run.state) || run.back == units_back[run.id]) continue;
    run.back = units_back[run.id];
    changed = true;
    if (run.back < run.total) continue;
    run.state = DrainRunState::done;
    run.why.clear();
    drop_units(state, run.id);
  }
  return changed;
}

bool set_state(DrainRun& run, DrainRunState wanted) {
  bool const changed = run.state != wanted;
  run.state = wanted;
  return changed;
}

void abort_run(ReplicatedState& state, DrainRun& run) {
  run.state = DrainRunState::aborted;
  run.why = "aborted by the operator";
  drop_units(state, run.id);
}

bool take_unit_back(ReplicatedState& state, u64 run_id, std::string const& name) {
  auto const it = std::find_if(state.units.begin(), state.units.end(),
                               [&](DrainUnit const& unit) { return unit.pass == run_id && unit.name == name; });
  if (it == state.units.end()) throw DrainOrderError(404, "not in this pass: " + name);
  if (it->stage == DrainStage::back) return false;
  it->stage = DrainStage::back;
  update_progress(state);  // it may have been the last
  return true;
}
}  // namespace

char const* drain_stage_name(DrainStage stage) {
  switch (stage) {
    case DrainStage::waiting: return "waiting";
    case DrainStage::cordoned: return "cordoned";
    case DrainStage::draining: return "draining";
    case DrainStage::empty: return "empty";
    case DrainStage::released: return "released";
    case DrainStage::back: return "back";
  }
  return "unknown";
}

char const* drain_run_state_name(DrainRunState state) {
  switch (state) {
    case DrainRunState::running: return "running";
    case DrainRunState::paused: return "paused";
    case DrainRunState::aborted: return "aborted";
    case DrainRunState::done: return "done";
  }
  return "unknown";
}

bool is_over(DrainRunState state) {
  return state == DrainRunState::aborted || state == DrainRunState::done;
}

DrainUnit const* find_unit(ReplicatedState const& state, std::string const& name) {
  auto const it =
      std::find_if(state.units.begin(), state.units.end(), [&](DrainUnit const& unit) { return unit.name == name; });
  return it == state.units.end() ? nullptr : &*it;
}

StartedRun start_run(ReplicatedState& state, DrainOrder const& order) {
  validate(order);
  u64 const id = run_id_of(order);
  u64 const digest = digest_of(order);
  if (DrainRun const* run = state.pass(id); run != nullptr) {
    if (run->digest != 0 && run->digest != digest) throw DrainOrderError(409, "id: another order has this number");
    return {id, false};
  }
  std::set<std::string> const names = unit_names(order);
  if (DrainRun const* run = find_active_run(state, order.servers, names); run != nullptr) return {run->id, false};
  check_no_overlap(state, names);
  drop_oldest_finished_runs(state);
  state.passes.push_back(make_run(order, id, digest));
  for (DrainOrderUnit const& unit : order.units)
    state.units.push_back(make_unit(unit, id));
  return {id, true};
}

bool apply_actions(ReplicatedState& state, DrainActions const& actions) {
  bool changed = false;
  for (StageTransition const& transition : actions.transitions)
    changed = apply_transition(state, transition) || changed;
  for (DrainRunMessage const& message : actions.messages)
    changed = apply_message(state, message) || changed;
  return update_progress(state) || changed;
}

void drop_known_messages(ReplicatedState const& state, DrainActions& actions) {
  std::erase_if(actions.messages, [&](DrainRunMessage const& message) {
    DrainRun const* run = state.pass(message.run_id);
    return run != nullptr && run->why == message.text;
  });
}

bool control_run(ReplicatedState& state, u64 id, DrainCommand command, std::string const& unit) {
  DrainRun* run = find_run(state, id);
  if (run == nullptr) throw DrainOrderError(404, "no such pass: " + std::to_string(id));
  if (command == DrainCommand::abort && run->state == DrainRunState::aborted) return false;
  if (is_over(run->state)) throw DrainOrderError(409, std::string("pass is ") + drain_run_state_name(run->state));
  switch (command) {
    case DrainCommand::pause: return set_state(*run, DrainRunState::paused);
    case DrainCommand::resume: return set_state(*run, DrainRunState::running);
    case DrainCommand::abort: abort_run(state, *run); return true;
    case DrainCommand::take_back: return take_unit_back(state, id, unit);
  }
  return false;
}

}  // namespace dockbend
