/// \file
/// The command line of dockbend-hollow-nodes.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>

#include "settings/settings.hpp"

namespace dockbend {

/// Which nodes to simulate, and before which controller.
struct SimulationOptions {
  std::optional<Address> control, inner;
  std::string zone = "desk", region = "desk";
  long agents = 10, servers = 10;
  long controller_pid = 0;  // 0: not given
  double claims = 0;        // a second, over all agents
  Seconds duration = 10;    // the first fifth is not counted
};

/// The size at which the libraries are measured.
struct LibraryOptions {
  long routes = 100, tenants = 100, servers = 100;
};

/// An option has a value that can't be used; the text names the option and what it wants.
struct HollowNodeOptionError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A command line that has been read.
struct HollowNodeOptions {
  enum class Action { simulate_nodes, measure_libraries, show_help, show_version, reject };
  Action action = Action::reject;
  SimulationOptions simulation;
  LibraryOptions library;
};

/// Reads the command line. getopt_long prints what it doesn't know itself; the action is `reject` then, as it is if
/// something needed is missing.
/// @throws std::exception with a text that names the option whose value can't be used
HollowNodeOptions read_hollow_node_options(int argc, char** argv);

/// The help text.
std::string hollow_node_usage_text();

}  // namespace dockbend
