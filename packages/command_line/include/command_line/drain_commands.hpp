// Commands that plan a drain of proxies or a rotation of servers, and start it.
#pragma once
#include <string>
#include <vector>

#include "command_line/control_client.hpp"

namespace dockbend::command_line {

/// What a drain run takes out.
enum class DrainTarget { proxies, servers };

/// Plans on a snapshot of the fleet and shows the plan; with start and if it fits, sends it as an order.
int plan_drain(ControlClient const& client, Options const& options, DrainTarget target, bool start,
               std::vector<std::string> const& names);

}  // namespace dockbend::command_line
