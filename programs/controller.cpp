// The controller: control API, consensus, registry and directory. One runs on every core machine.
#include "controller/controller.hpp"

using namespace dockbend;

int main(int argc, char** argv) {
  return run_daemon<Controller>(
      {"dockbend-controller", "dockbend's control API, register and directory", true, {"control"}, true}, argc, argv);
}
