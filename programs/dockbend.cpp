// dockbend: the operators' command line. See packages/command_line.
#include "command_line/commands.hpp"
#include "command_line/options.hpp"

int main(int argc, char** argv) {
  using namespace dockbend::command_line;
  ParsedCommandLine parsed = parse_options(argc, argv);
  if (parsed.exit_code) return *parsed.exit_code;
  return run_command(std::move(parsed.command_line));
}
