// Commands on evacuations that look at a snapshot of the fleet: preview, compare, and begin --if-fits.
#pragma once
#include <optional>
#include <set>
#include <string>

#include "command_line/control_client.hpp"
#include "planning/forecast.hpp"

namespace dockbend::command_line {

/// Asks for a snapshot of the fleet. Returns an exit code other than kDone after a message if there is none.
int fetch_snapshot(ControlClient const& client, FleetSnapshot& snapshot);

/// Shows (and with --save keeps) what the evacuation of these zones would bring; changes nothing. as_text: print
/// text even with --json. Returns kDone if it fits, kDoesNotFit if not.
int preview_evacuation(ControlClient const& client, Options const& options, std::set<std::string> const& zones,
                       bool as_text);

/// Compares a saved preview with what the proxies receive now. Returns kDoesNotFit beyond the tolerance.
int compare_evacuation(ControlClient const& client, Options const& options, std::string const& preview_path);

}  // namespace dockbend::command_line
