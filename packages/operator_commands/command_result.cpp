#include "operator_commands/command_result.hpp"

#include <utility>

namespace dockbend {

CommandResult CommandResult::accepted(bool has_changed, u64 run_id) {
  return CommandResult{CommandStatus::accepted, has_changed, "", run_id};
}

CommandResult CommandResult::refused(CommandStatus status, std::string reason) {
  return CommandResult{status, false, std::move(reason), 0};
}

int http_status_of(CommandStatus status) {
  switch (status) {
    case CommandStatus::accepted: return 200;
    case CommandStatus::invalid: return 400;
    case CommandStatus::not_found: return 404;
    case CommandStatus::conflict: return 409;
    case CommandStatus::no_room: return 503;
    case CommandStatus::undecided: break;
  }
  return 504;
}

}  // namespace dockbend
