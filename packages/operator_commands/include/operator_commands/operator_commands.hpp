#pragma once
#include <concepts>
#include <functional>
#include <memory>

#include "operator_commands/amend_configuration.hpp"
#include "operator_commands/drain_commands.hpp"
#include "operator_commands/hand_over_lease.hpp"
#include "operator_commands/set_evacuation.hpp"

/// \file
/// The operators' commands: what each changes in the replicated value, and what came of it. No I/O.
///
/// A command may be applied more than once, to values that are committed and to values that never will be because
/// their proposal lost; only the result of the proposal that won is answered.
///
/// A call may wait at a controller that is cut off while its caller asks another one, is answered, and goes on.
/// Nothing may come into force after another controller refused it, no command may have its effect twice, and
/// none may undo a later one. So each command remembers what its controller knew of its subject when the call came
/// in. If the subject has moved on since, in a way that another controller's answer may have depended on, it is
/// left as it is, and whoever still waits is asked to send the command again (CommandStatus::undecided).

namespace dockbend {

/// A command is a value; apply() changes the state in full or not at all.
template <class C>
concept OperatorCommand = std::copy_constructible<C> && requires(C const& command, ReplicatedState& state) {
  { command.apply(state) } -> std::same_as<CommandResult>;
};

/// Brings a command to consensus and its result back. `submit(change, done, patience)` is the controller's way to
/// consensus: it calls `change` for each proposal, and `done` with the committed value, or with null if the change
/// is not known to be committed after `patience` seconds.
template <OperatorCommand Command, class Submit>
void execute_command(Submit const& submit, Command command, Seconds patience,
                     std::function<void(CommandResult const&)> done) {
  auto const result = std::make_shared<CommandResult>();
  submit(
      [command = std::move(command), result](ReplicatedState& state) {
        *result = command.apply(state);  // replaces the result of an earlier proposal
        return result->has_changed;
      },
      [result, done = std::move(done)](ReplicatedState const* committed) {
        done(committed == nullptr ? CommandResult::undecided("no majority in time; it may yet stand") : *result);
      },
      patience);
}

}  // namespace dockbend
