/// The command line that all daemons share.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "process/settings_watch.hpp"

namespace dockbend {

/// A program's name, purpose and needs.
struct ProgramInfo {
  char const* name;
  char const* purpose;
  bool can_stage = false;            ///< accepts --staged
  std::vector<std::string> binds{};  ///< bind addresses that must be set
  bool has_data_directory = false;   ///< and initialises the system with the seeds
};

/// What a daemon starts with.
struct StartOptions {
  Settings settings;
  SettingsFile file;  ///< as it was loaded
};

/// Reads the command line (--help, --version, --check, --settings FILE, --staged) and the settings, and prints what it
/// is asked for or what is wrong. None: the program is to end with exit_code.
std::optional<StartOptions> read_command_line(ProgramInfo const& program, int argc, char** argv, int& exit_code);

}  // namespace dockbend
