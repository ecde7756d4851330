// The commands of dockbend: a table of words, operands and handlers.
#pragma once
#include "command_line/control_client.hpp"

namespace dockbend::command_line {

/// Runs the command that the words of the command line name. Returns the exit code.
int run_command(CommandLine command_line);

}  // namespace dockbend::command_line
