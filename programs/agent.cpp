/// dockbend-agent: keeps a proxy's links to the controllers. Everything is in packages/agent.
#include "agent/agent.hpp"

#include "process/program.hpp"

int main(int argc, char** argv) {
  return dockbend::run_daemon<dockbend::Agent>({"dockbend-agent", "dockbend's agent beside the proxy"}, argc, argv);
}
