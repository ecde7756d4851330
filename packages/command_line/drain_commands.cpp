#include "command_line/drain_commands.hpp"

#include <cstdio>

#include "command_line/evacuation_commands.hpp"
#include "command_line/exit_codes.hpp"
#include "command_line/plan_printer.hpp"
#include "command_line/printer.hpp"
#include "configuration/json.hpp"

namespace dockbend::command_line {
namespace {

// An order that keeps to a plan, and whether the plan keeps the headroom.
struct PlannedOrder {
  DrainOrder order;
  bool fits = false;
};

// A plan goes to standard output as text, or as JSON if it is all that was asked for.
template <class Plan>
void show_plan(Plan const& plan, Options const& options, bool start, void (*print_text)(Plan const&)) {
  if (!options.as_json)
    print_text(plan);
  else if (!start)
    std::printf("%s\n", json::render(plan).c_str());
}

u64 draw_order_id() {
  return random64() >> 16 | 1;
}

PlannedOrder plan_rotation_order(FleetSnapshot const& snapshot, Options const& options, bool start,
                                 std::vector<std::string> const& names) {
  u64 const id = draw_order_id();
  RotationPlan const plan = plan_rotation(snapshot, find_servers(snapshot, names),
                                          static_cast<u32>(options.max_unavailable), options.headroom);
  show_plan(plan, options, start, print_rotation);
  return {make_server_order(snapshot, plan, id, options.patience_seconds, options.replaced), plan.fits};
}

PlannedOrder plan_proxy_order(FleetSnapshot const& snapshot, Options const& options, bool start,
                              std::vector<std::string> const& names) {
  u64 const id = draw_order_id();
  DrainWavePlan const plan = plan_drain_waves(snapshot, find_proxies(snapshot, names), options.headroom);
  show_plan(plan, options, start, print_drain_waves);
  return {make_proxy_order(snapshot, plan, id, options.headroom, options.patience_seconds), plan.fits};
}

int send_order(ControlClient const& client, Options const& options, DrainTarget target, DrainOrder const& order) {
  char const* const path = target == DrainTarget::servers ? "/-/Rotation.Start" : "/-/Drain.Start";
  ApiReply const reply = client.send({ApiCall::Method::post, path, json::render(order)});
  if (int const failure = client.report_failure(reply)) return failure;
  if (options.as_json)
    std::printf("%s\n", reply.body.c_str());
  else
    print_object(json::parse(reply.body));
  return kDone;
}

}  // namespace

int plan_drain(ControlClient const& client, Options const& options, DrainTarget target, bool start,
               std::vector<std::string> const& names) {
  FleetSnapshot snapshot;
  if (int const failure = fetch_snapshot(client, snapshot)) return failure;
  PlannedOrder planned;
  try {
    planned = target == DrainTarget::servers ? plan_rotation_order(snapshot, options, start, names)
                                             : plan_proxy_order(snapshot, options, start, names);
  } catch (DrainOrderError const& error) {
    std::fprintf(stderr, "dockbend: %s\n", error.what());
    return error.code == 400 ? kWrongUsage : kFailed;
  }
  if (!planned.fits) return kDoesNotFit;
  return start ? send_order(client, options, target, planned.order) : kDone;
}

}  // namespace dockbend::command_line
