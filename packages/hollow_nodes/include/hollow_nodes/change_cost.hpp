/// \file
/// What one change costs a consensus of three members, with the real rounds, votes and file.
#pragma once
#include <vector>

#include "configuration/configuration.hpp"

namespace dockbend {

/// The cost of one change.
struct ChangeCost {
  double sent_bytes = 0;        // what the proposer exchanges with the two others
  double disk_bytes = 0;        // what one disk writes, the file's log included
  double value_heap_bytes = 0;  // one value
  double round_heap_bytes = 0;  // the most that the proposer's votes and rounds hold
};

/// The costs of the two kinds of change.
struct ChangeCosts {
  ChangeCost item_change;
  ChangeCost lease_renewal;  // without the heap figures
};

/// Measures with a store in a directory of its own under /tmp, which is removed afterwards.
/// @throws std::runtime_error if there is no room, the disk takes no vote or a round is lost
ChangeCosts measure_change_costs(std::vector<ConfigItem> items);

}  // namespace dockbend
