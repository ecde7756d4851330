#pragma once
#include <optional>
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"
#include "drain/drain_run.hpp"
#include "operator_commands/command_result.hpp"

/// \file
/// The commands that start a drain run and that control one.

namespace dockbend {

/// Starts the drain run that an order describes. Orders carry the run's number: sent again, one finds its own run.
class StartDrain {
 public:
  /// known: the value that this controller knew when the call came in; null: none.
  StartDrain(DrainOrder order, ReplicatedState const* known);
  CommandResult apply(ReplicatedState& state) const;

 private:
  struct KnownRun {
    u64 id = 0;
    bool is_over = false;
    friend bool operator==(KnownRun const&, KnownRun const&) = default;
  };
  static std::vector<KnownRun> runs_of(ReplicatedState const& state);

  DrainOrder order_;
  std::vector<KnownRun> known_runs_;
};

/// Pauses, resumes, aborts a drain run, or takes a unit of it back. Commands carry no number; the turn of a run
/// rises with each pause and resume.
class ControlDrain {
 public:
  /// unit: of DrainCommand::take_back. known: the value that this controller knew when the call came in.
  ControlDrain(u64 run_id, DrainCommand command, std::string unit, ReplicatedState const* known);
  CommandResult apply(ReplicatedState& state) const;

 private:
  bool turns_run() const { return command_ == DrainCommand::pause || command_ == DrainCommand::resume; }
  bool is_overtaken(DrainRun const& run) const;

  u64 run_id_;
  DrainCommand command_;
  std::string unit_;
  std::optional<u32> known_turn_;  ///< none: the run was not known
};

}  // namespace dockbend
