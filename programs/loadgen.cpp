/// \file
/// dockbend-loadgen: dockbend's load generator, and the stand-in server that it is tried on.
#include <signal.h>

#include <cstdio>

#include "load_generation/report_rendering.hpp"
#include "load_generator/load_clients.hpp"
#include "load_generator/options.hpp"
#include "load_generator/stand_in_server.hpp"
#include "transport/event_owners.hpp"

using namespace dockbend;

namespace {

int constexpr kDone = 0, kFailed = 1, kWrongUsage = 2;

int serve(StandInOptions const& options) {
  EventBaseOwner const loop(event_base_new());
  StandInServer server(loop.get(), options);
  if (!server.start()) {
    std::fprintf(stderr, "dockbend-loadgen: can't listen at %s\n", options.address->str().c_str());
    return kFailed;
  }
  event_base_dispatch(loop.get());
  return kDone;
}

int generate_load(LoadOptions const& options) {
  EventBaseOwner const loop(event_base_new());
  LoadClients clients(loop.get(), options);
  clients.start();
  event_base_dispatch(loop.get());
  LoadReport const report = clients.report();
  std::fputs((options.print_json ? render_as_json(report) : render_as_text(report)).c_str(), stdout);
  return report.successes() > 0 ? kDone : kFailed;
}

int run(Options const& options) {
  signal(SIGPIPE, SIG_IGN);
  switch (options.action) {
    case Options::Action::generate_load: return generate_load(options.load);
    case Options::Action::serve: return serve(options.stand_in);
    case Options::Action::show_help: std::fputs(kUsageText, stdout); return kDone;
    case Options::Action::show_version: std::printf("dockbend-loadgen (dockbend) 0.2.0\n"); return kDone;
    case Options::Action::reject: break;
  }
  std::fputs(kUsageText, stderr);
  return kWrongUsage;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  try {
    options = read_options(argc, argv);
  } catch (std::exception const& error) {
    std::fprintf(stderr, "dockbend-loadgen: %s\n", error.what());
    return kWrongUsage;
  }
  return run(options);
}
