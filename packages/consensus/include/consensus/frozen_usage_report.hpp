/// A usage report whose content the consensus group has fixed.
#pragma once
#include <string>

#include "base/record.hpp"
#include "base/types.hpp"

namespace dockbend {

/// The report of one usage window, byte for byte as it is sent and sent again.
/// Invariant: one window never has two different bodies.
struct FrozenUsageReport {
  DB_RECORD(FrozenUsageReport, (u64, window), (std::string, body));
  friend bool operator==(FrozenUsageReport const&, FrozenUsageReport const&) = default;
};

}  // namespace dockbend
