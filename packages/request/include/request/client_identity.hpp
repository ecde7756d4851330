/// Whose a request is, by the configuration in force. Decided here alone. No I/O.
#pragma once
#include <string>
#include <string_view>

#include "base/operation_id.hpp"
#include "configuration/compiled_configuration.hpp"

namespace dockbend {

/// Whose a request is. docs/idempotency.md has a table of all cases.
struct ClientIdentity {
  TenantPtr tenant;              ///< who holds the request's API key now; null: nobody, or there never were tenants
  std::string operation_tenant;  ///< whose its operations are: the tenant's, or of the one that its key was taken away
                                 ///< from; empty: nobody's
  bool is_admitted = false;      ///< may it run on its route? Else it is answered with 401.
  /// Names its API key, which need not be known to every machine at this moment, nor be known at all; empty: its route
  /// runs none but known ones, it brings none, or there never were tenants.
  std::string fingerprint;
};

/// authorization: the value of the header of that name; null: there is none.
ClientIdentity identify_client(std::string const* authorization, Route const& route,
                               CompiledConfiguration const& configuration);

/// The operation that a request of this client names by its operation key.
OperationId operation_of_client(ClientIdentity const& client, std::string_view operation_key);

}  // namespace dockbend
