/// \file
/// dockbend-hollow-nodes: many agents and servers in one process that speak the real messages, through the real
/// libraries, to a real controller; and the libraries themselves at a size.
#include <signal.h>

#include <cstdio>

#include "hollow_nodes/library_cost.hpp"
#include "hollow_nodes/options.hpp"
#include "hollow_nodes/simulated_nodes.hpp"
#include "transport/event_owners.hpp"

using namespace dockbend;

namespace {

int constexpr kDone = 0, kFailed = 1, kWrongUsage = 2;

int simulate_nodes(SimulationOptions const& options) {
  EventBaseOwner const loop(event_base_new());
  SimulatedNodes nodes(loop.get(), options);
  SimulationReport const report = nodes.run();
  std::fputs(render_as_json(options, report).c_str(), stdout);
  return report.is_reached() ? kDone : kFailed;
}

int run(HollowNodeOptions const& options) {
  using enum HollowNodeOptions::Action;
  signal(SIGPIPE, SIG_IGN);
  switch (options.action) {
    case simulate_nodes: return ::simulate_nodes(options.simulation);
    case measure_libraries:
      std::fputs(render_as_json(options.library, measure_library_cost(options.library)).c_str(), stdout);
      return kDone;
    case show_help: std::fputs(hollow_node_usage_text().c_str(), stdout); return kDone;
    case show_version: std::printf("dockbend-hollow-nodes (dockbend) 0.2.0\n"); return kDone;
    case reject: break;
  }
  std::fputs(hollow_node_usage_text().c_str(), stderr);
  return kWrongUsage;
}

}  // namespace

int main(int argc, char** argv) {
  HollowNodeOptions options;
  try {
    options = read_hollow_node_options(argc, argv);
  } catch (std::exception const& error) {
    std::fprintf(stderr, "dockbend-hollow-nodes: %s\n", error.what());
    return kWrongUsage;
  }
  return run(options);
}
