// The command line of dockbend: options, and the words of the command.
#pragma once
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "settings/settings.hpp"

namespace dockbend::command_line {

/// What the options say, apart from the command itself.
struct Options {
  std::vector<Address> control_addresses;  ///< asked in this order; empty: those of the settings file
  bool as_json = false;                    ///< print answers as JSON
  bool only_if_fits = false;               ///< evacuation begin: only if its preview fits
  int timeout_seconds = 5;                 ///< for each call
  std::string save_path;                   ///< where a preview is kept; empty: nowhere
  double tolerance = 0.15;                 ///< evacuation compare: the share that may differ
  double headroom = 0.2;                   ///< drain, rotation: the share of capacity that stays free
  double patience_seconds = 60;            ///< after this a unit that is not empty is reported
  int max_unavailable = 1;                 ///< rotation: servers of a service out at once
  bool replaced = true;                    ///< rotation: a new server comes in the place of each
};

/// A command line that was read.
struct CommandLine {
  Options options;
  std::vector<std::string> words;
};

/// Reads the command line. Returns an exit code instead if the program is to end at once: after --help or
/// --version, or after a message on standard error about wrong usage.
struct ParsedCommandLine {
  std::optional<int> exit_code;
  CommandLine command_line;
};
ParsedCommandLine parse_options(int argc, char** argv);

/// Without --at: the control addresses of the settings file, its own first, then the seeds. Returns an exit
/// code after a message if the settings can't be read.
std::optional<int> add_default_addresses(Options& options);

/// Prints the help text.
void print_usage(std::FILE* stream);

}  // namespace dockbend::command_line
