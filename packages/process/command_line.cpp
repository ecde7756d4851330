#include "process/command_line.hpp"

#include <getopt.h>

#include <cstdio>

namespace dockbend {
namespace {

int constexpr kInOrder = 0, kWrongUsage = 2;

void print_usage(ProgramInfo const& program, FILE* stream) {
  std::fprintf(
      stream,
      "%s: %s\n\nusage: %s [--settings FILE] [--check]\n\n"
      "  --settings FILE  the settings file (default: $DOCKBEND_SETTINGS,\n"
      "                   then /etc/dockbend/boot.conf)\n"
      "  --check          read and check the settings, then end\n"
      "%s"
      "  --help           this text\n"
      "  --version        the version\n\n"
      "exit codes: 0 in order, 1 failed while running, 2 wrong usage or bad settings\n",
      program.name, program.purpose, program.name,
      program.can_stage ? "  --staged         bring manifest changes out in stages (see rollout.* settings)\n" : "");
}

struct Flags {
  std::string settings_path;
  bool only_check = false;
  bool is_staged = false;
};

/// None: the program is to end with exit_code.
std::optional<Flags> read_flags(ProgramInfo const& program, int argc, char** argv, int& exit_code) {
  static option const options[] = {{"settings", required_argument, nullptr, 's'}, {"check", no_argument, nullptr, 'c'},
                                   {"staged", no_argument, nullptr, 'g'},         {"help", no_argument, nullptr, 'h'},
                                   {"version", no_argument, nullptr, 'v'},        {nullptr, 0, nullptr, 0}};
  Flags flags;
  flags.settings_path = settings_path();
  auto const wrong_usage = [&] {
    print_usage(program, stderr);
    exit_code = kWrongUsage;
    return std::nullopt;
  };
  exit_code = kInOrder;
  for (int found = 0; (found = getopt_long(argc, argv, "s:chv", options, nullptr)) != -1;) {
    switch (found) {
      case 's': flags.settings_path = optarg; break;
      case 'c': flags.only_check = true; break;
      case 'g':
        if (!program.can_stage) return wrong_usage();
        flags.is_staged = true;
        break;
      case 'h': print_usage(program, stdout); return std::nullopt;
      case 'v': std::printf("%s (dockbend) 0.2.0\n", program.name); return std::nullopt;
      default: return wrong_usage();
    }
  }
  if (optind < argc) return wrong_usage();
  return flags;
}

/// Throws SettingsError if something is missing that this program needs.
void check_needs(ProgramInfo const& program, Settings const& settings) {
  for (std::string const& bind : program.binds)
    if (settings.bind.count(bind) == 0) throw SettingsError("bind." + bind, "missing");
  if (!program.has_data_directory) return;
  if (settings.dataDir.empty()) throw SettingsError("dataDir", "missing");
  if (settings.bootstrap && settings.seeds.empty())
    throw SettingsError("seedAddrs", "missing, and with bootstrap=true the system begins with them");
}

}  // namespace

std::optional<StartOptions> read_command_line(ProgramInfo const& program, int argc, char** argv, int& exit_code) {
  std::optional<Flags> const flags = read_flags(program, argc, argv, exit_code);
  if (!flags) return std::nullopt;
  StartOptions start{Settings{}, SettingsFile(flags->settings_path)};
  try {
    start.settings = start.file.load();
    start.settings.staged = start.settings.staged || flags->is_staged;
    check_needs(program, start.settings);
  } catch (SettingsError const& error) {
    std::fprintf(stderr, "%s: settings: %s\n", program.name, error.what());
    exit_code = kWrongUsage;
    return std::nullopt;
  }
  if (!flags->only_check) return start;
  std::printf("%s: settings in order: %s\n", program.name, flags->settings_path.c_str());
  return std::nullopt;
}

}  // namespace dockbend
