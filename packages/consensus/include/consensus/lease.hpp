/// Leases on singleton roles, as the replicated state records them.
#pragma once
#include <string>

#include "base/record.hpp"
#include "base/types.hpp"

namespace dockbend {

/// Which node carries out a singleton role.
///
/// Invariants:
/// - `fence` (the fencing token) rises with every new holder and never falls;
/// - `counter` rises with every renewal under one fencing token;
/// - `next` names the successor that a leaving holder asks for; while it is set, nobody acts under the lease.
struct Lease {
  DB_RECORD(Lease, (std::string, duty), (std::string, holder), (std::string, ip), (u64, fence), (u64, counter),
            (std::string, next));
  friend bool operator==(Lease const&, Lease const&) = default;
};

}  // namespace dockbend
