#include "idempotency/claim_names.hpp"

namespace dockbend {
namespace {
std::string const kMarkOfTenant = "\x1ft", kMarkOfNobody = "\x1fn";
}  // namespace

ClaimNames claim_names(OperationId const& operation, std::string const& client) {
  ClaimNames names{operation, {}, {}};
  if (client.empty()) return names;
  OperationId const of_tenant = OperationId::of_tenant(kMarkOfTenant + client, operation.key());
  OperationId const of_nobody = OperationId::of_tenant(kMarkOfNobody + client, operation.key());
  if (operation.has_tenant()) {
    names.marks = {of_tenant};
    names.excluded = {of_nobody};
  } else {
    names.marks = {of_nobody};
    names.excluded = {of_tenant, of_nobody};
  }
  return names;
}

}  // namespace dockbend
