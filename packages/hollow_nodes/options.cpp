#include "hollow_nodes/options.hpp"

#include <getopt.h>

#include <cstdlib>

namespace dockbend {
namespace {

long constexpr kMostAgents = 2000, kMostServers = 20000, kMostItems = 500000;

option const kOptions[] = {{"control", required_argument, nullptr, 'c'}, {"inner", required_argument, nullptr, 'i'},
                           {"sites", required_argument, nullptr, 's'},   {"servers", required_argument, nullptr, 'S'},
                           {"claims", required_argument, nullptr, 'k'},  {"for", required_argument, nullptr, 'f'},
                           {"pid", required_argument, nullptr, 'p'},     {"zone", required_argument, nullptr, 'z'},
                           {"region", required_argument, nullptr, 'r'},  {"lanes", required_argument, nullptr, 'l'},
                           {"tenants", required_argument, nullptr, 't'}, {"help", no_argument, nullptr, 'h'},
                           {"version", no_argument, nullptr, 'v'},       {nullptr, 0, nullptr, 0}};

double read_number(char const* text, char const* option, double least, double most) {
  char* end = nullptr;
  double const number = std::strtod(text, &end);
  if (end == text || *end != '\0' || !(number >= least && number <= most))
    throw HollowNodeOptionError(std::string(option) + ": wants a number from " +
                                std::to_string(static_cast<long>(least)) + " to " +
                                std::to_string(static_cast<long>(most)));
  return number;
}

long read_count(char const* text, char const* option, long least, double most) {
  return static_cast<long>(read_number(text, option, static_cast<double>(least), most));
}

/// @return false if the option is unknown
bool read_option(HollowNodeOptions& options, int letter, char const* value) {
  SimulationOptions& simulation = options.simulation;
  LibraryOptions& library = options.library;
  switch (letter) {
    case 'c': simulation.control = parse_addr(value, "--control"); return true;
    case 'i': simulation.inner = parse_addr(value, "--inner"); return true;
    case 's': simulation.agents = read_count(value, "--sites", 0, kMostAgents); return true;
    case 'S': simulation.servers = library.servers = read_count(value, "--servers", 0, kMostServers); return true;
    case 'k': simulation.claims = read_number(value, "--claims", 0, 100000); return true;
    case 'f': simulation.duration = read_number(value, "--for", 1, 600); return true;
    case 'p': simulation.controller_pid = read_count(value, "--pid", 1, 1e9); return true;
    case 'z': simulation.zone = value; return true;
    case 'r': simulation.region = value; return true;
    case 'l': library.routes = read_count(value, "--lanes", 1, kMostItems); return true;
    case 't': library.tenants = read_count(value, "--tenants", 0, kMostItems); return true;
    default: return false;
  }
}

}  // namespace

HollowNodeOptions read_hollow_node_options(int argc, char** argv) {
  using enum HollowNodeOptions::Action;
  HollowNodeOptions options;
  for (int letter = 0; (letter = getopt_long(argc, argv, "hv", kOptions, nullptr)) != -1;) {
    if (letter == 'h' || letter == 'v') {
      options.action = letter == 'h' ? show_help : show_version;
      return options;
    }
    if (!read_option(options, letter, optarg)) return options;
  }
  LibraryOptions const& library = options.library;
  if (library.routes + library.tenants + library.servers > kMostItems)
    throw HollowNodeOptionError("--lanes, --tenants, --servers: more than " + std::to_string(kMostItems) + " together");
  std::string const command = optind + 1 == argc ? argv[optind] : "";
  if (command == "library") options.action = measure_libraries;
  if (command == "nodes" && options.simulation.control && options.simulation.inner) options.action = simulate_nodes;
  return options;
}

std::string hollow_node_usage_text() {
  return "dockbend-hollow-nodes: hollow nodes before one real dockbend-controller, to measure what it costs\n\n"
         "usage: dockbend-hollow-nodes nodes --control HOST:PORT --inner HOST:PORT [options]\n"
         "       dockbend-hollow-nodes library [options]\n\n"
         "  nodes    agents that register, keep alive and are fed, and servers that beat\n"
         "    --sites N      hollow agents (default 10, at most " +
         std::to_string(kMostAgents) +
         ")\n"
         "    --servers N    hollow servers (default 10, at most " +
         std::to_string(kMostServers) +
         ")\n"
         "    --claims R     claims on keys a second, over all agents (default 0)\n"
         "    --for S        how long (default 10, at most 600); the first fifth is not counted\n"
         "    --pid PID      the dockbend-controller's process, on this machine: its processor time and memory\n"
         "    --zone Z, --region R  where they say they are (default desk, desk)\n"
         "  library  the parts of a node at a size, without any node\n"
         "    --lanes N, --tenants N, --servers N (default 100, 100, 100; at most " +
         std::to_string(kMostItems) +
         " together)\n"
         "  --help, --version\n\n"
         "Prints JSON. Exit codes: 0 done, 1 not reached, 2 wrong usage.\n";
}

}  // namespace dockbend
