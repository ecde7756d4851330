#include "request/client_identity.hpp"

#include "request/headers.hpp"

namespace dockbend {
namespace {

/// The API key in `Authorization: Token KEY`; empty: there is none.
std::string_view api_key_of(std::string_view authorization) {
  auto const space = authorization.find(' ');
  if (space == std::string_view::npos || !same_header_name(authorization.substr(0, space), "Token")) return {};
  authorization.remove_prefix(space);
  while (!authorization.empty() && authorization.front() == ' ')
    authorization.remove_prefix(1);
  while (!authorization.empty() && authorization.back() == ' ')
    authorization.remove_suffix(1);
  return authorization;
}

}  // namespace

ClientIdentity identify_client(std::string const* authorization, Route const& route,
                               CompiledConfiguration const& configuration) {
  ClientIdentity client;
  std::string_view const api_key = authorization == nullptr ? std::string_view() : api_key_of(*authorization);
  if (!api_key.empty()) client.tenant = configuration.tenant_of(api_key);
  client.is_admitted = client.tenant != nullptr || route.keyless || !configuration.has_tenants();
  if (client.tenant)
    client.operation_tenant = client.tenant->name;
  else if (std::string const* const former = configuration.former_tenant_of(api_key); former != nullptr)
    client.operation_tenant = *former;
  return client;
}

OperationId operation_of_client(ClientIdentity const& client, std::string_view operation_key) {
  return client.operation_tenant.empty() ? OperationId::without_tenant(operation_key)
                                         : OperationId::of_tenant(client.operation_tenant, operation_key);
}

}  // namespace dockbend
