/// dockbend-proxy: carries clients' requests to servers. Everything is in packages/proxy.
#include "proxy/proxy.hpp"

#include "process/program.hpp"

int main(int argc, char** argv) {
  return dockbend::run_daemon<dockbend::Proxy>({"dockbend-proxy", "dockbend's proxy", false, {"front", "ready"}}, argc,
                                               argv);
}
