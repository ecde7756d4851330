#pragma once
#include <string>

#include "base/types.hpp"

/// \file
/// What came of an operator's command, and how that is answered.

namespace dockbend {

enum class CommandStatus : u8 {
  accepted = 1,   ///< in force, or overtaken by something newer
  invalid = 2,    ///< it names what nobody has set
  not_found = 3,  ///< what it is about does not exist
  conflict = 4,   ///< another command has its number, or what exists is in its way
  undecided = 5,  ///< not known to be in force: it may be, or may come into force yet; to be sent again
  no_room = 6     ///< nothing was done, for a bound on memory and disk is reached; to be sent again later
};

/// What came of a command, judged on one replicated value.
struct CommandResult {
  CommandStatus status = CommandStatus::undecided;
  bool has_changed = false;  ///< the value
  std::string reason;        ///< why it was not accepted, one line
  u64 run_id = 0;            ///< of the drain run that it started or is about

  static CommandResult accepted(bool has_changed, u64 run_id = 0);
  /// status: not `accepted`.
  static CommandResult refused(CommandStatus status, std::string reason);
  static CommandResult undecided(std::string reason) { return refused(CommandStatus::undecided, std::move(reason)); }
};

/// The HTTP status of an answer; nothing else decides it. A 4xx is final for the caller, so only a value that a
/// majority holds may lead to one. A 503 promises that nothing was done, so a command that may yet come into
/// force is answered with 504.
int http_status_of(CommandStatus status);

}  // namespace dockbend
