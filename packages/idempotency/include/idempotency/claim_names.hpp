#pragma once
#include <string>
#include <vector>

#include "base/operation_id.hpp"

/// \file
/// The names under which a disk enters a claim. No I/O.

namespace dockbend {

/// A client's API key may be known to one machine and not yet, or no longer, to another one: there its operation is
/// nobody's, here a tenant's. So that these two never both run, each claim of such a client is also entered under a
/// mark that names the API key and the operation key, and says whether a tenant was known; an operation of nobody's
/// excludes every other one with its API key, and a tenant's all of nobody's. Operations of two known tenants exclude
/// each other never, for a key may be given to another tenant.
///
/// A mark is an OperationId of a tenant whose name holds a control character, which no tenant's does: older releases
/// copy and keep it as any other.
struct ClaimNames {
  OperationId operation;
  std::vector<OperationId> marks;     ///< entered beside it: one, or none
  std::vector<OperationId> excluded;  ///< beside the operation itself: held by no other holder
};

/// client: as in ClaimRequest; empty: no marks.
ClaimNames claim_names(OperationId const& operation, std::string const& client);

}  // namespace dockbend
