#include "model_checking/command_line.hpp"

#include <getopt.h>

#include <cerrno>
#include <cstdlib>

namespace dockbend::model_checking {
namespace {
u64 constexpr kMostStates = 50000000, kMostWalks = 100000000, kMostLength = 100000;

u64 number(char const* text, char const* name, u64 least, u64 most) {
  char* end = nullptr;
  errno = 0;
  unsigned long long const value = std::strtoull(text, &end, 10);
  if (*text == '-' || end == text || *end != '\0' || errno != 0 || value < least || value > most)
    throw UsageError(std::string(name) + ": wants a number from " + std::to_string(least) + " to " +
                     std::to_string(most));
  return value;
}

/// False for an option that ends the reading: help, version, or one that is unknown.
bool read_option(int option, CommandLine& line) {
  switch (option) {
    case 'f': line.fault = optarg; return true;
    case 'p': line.bounds = optarg; return true;
    case 's': line.search.most_states = number(optarg, "--states", 1, kMostStates); return true;
    case 'd': line.search.depth = static_cast<u32>(number(optarg, "--depth", 1, kMostLength)); return true;
    case 'S': line.walks.seed = number(optarg, "--seed", 0, ~0ULL); return true;
    case 'w': line.walks.count = number(optarg, "--walks", 1, kMostWalks); return true;
    case 'l': line.walks.length = static_cast<u32>(number(optarg, "--length", 1, kMostLength)); return true;
    case 'o': line.trace_file = optarg; return true;
    case 'j': line.as_json = true; return true;
    case 'h': line.action = CommandLine::Action::help; return false;
    case 'v': line.action = CommandLine::Action::version; return false;
    default: line.action = CommandLine::Action::usage; return false;
  }
}

CommandLine::Action action_of(std::string const& command, int argument_count) {
  using Action = CommandLine::Action;
  if (command == "list" && argument_count == 0) return Action::list;
  if (argument_count != 1) return Action::usage;
  if (command == "replay") return Action::replay;
  if (command == "search") return Action::search;
  return command == "walk" ? Action::walk : Action::usage;
}
}  // namespace

CommandLine read_command_line(int argc, char** argv) {
  static option const options[] = {
      {"fault", required_argument, nullptr, 'f'},  {"plan", required_argument, nullptr, 'p'},
      {"states", required_argument, nullptr, 's'}, {"depth", required_argument, nullptr, 'd'},
      {"seed", required_argument, nullptr, 'S'},   {"walks", required_argument, nullptr, 'w'},
      {"length", required_argument, nullptr, 'l'}, {"out", required_argument, nullptr, 'o'},
      {"json", no_argument, nullptr, 'j'},         {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},      {nullptr, 0, nullptr, 0}};
  CommandLine line;
  for (int option = 0; (option = getopt_long(argc, argv, "hv", options, nullptr)) != -1;)
    if (!read_option(option, line)) return line;
  if (optind == argc) return line;
  line.action = action_of(argv[optind], argc - optind - 1);
  if (optind + 1 < argc) line.argument = argv[optind + 1];
  return line;
}

std::string usage_text() {
  return "dockbend-model-check: a model checker for the register, the keys and the duties\n\n"
         "usage: dockbend-model-check list\n"
         "       dockbend-model-check search MODEL [options]   every order of events, breadth first\n"
         "       dockbend-model-check walk MODEL [options]     long random walks by seed\n"
         "       dockbend-model-check replay TRACEFILE         plays a trace that was written\n\n"
         "  MODEL          registers, ledgers or duties\n"
         "  --fault F      plants a fault (see list; default none)\n"
         "  --plan LIST    bounds on top of the model's own, as nodes=4,joins=2 (see list)\n"
         "  --states N     search: states at most (default 200000, at most " +
         std::to_string(kMostStates) +
         ")\n"
         "  --depth N      search: events at most (default 100)\n"
         "  --seed N       walk: the first seed (default 1)\n"
         "  --walks N      walk: how many (default 1000)\n"
         "  --length N     walk: events a walk at most (default 200)\n"
         "  --out FILE     writes the trace of a breach there\n"
         "  --json         one line of JSON\n"
         "  --help, --version\n\n"
         "Exit codes: 0 no breach, 1 a breach was found (or replayed), 2 wrong usage.\n";
}

}  // namespace dockbend::model_checking
