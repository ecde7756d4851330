#include "request/client_identity.hpp"

#include "request/headers.hpp"

#include <cstdio>

namespace dockbend {
namespace {
constexpr u64 kSecondSeed = 1;

/// 32 hexadecimal digits; the key itself is not passed on.
std::string fingerprint_of(std::string_view api_key) {
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash64(api_key)),
                static_cast<unsigned long long>(hash64(api_key, kSecondSeed)));
  return text;
}

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
  if (!api_key.empty() && route.keyless && configuration.has_tenants()) client.fingerprint = fingerprint_of(api_key);
  return client;
}

OperationId operation_of_client(ClientIdentity const& client, std::string_view operation_key) {
  return client.operation_tenant.empty() ? OperationId::without_tenant(operation_key)
                                         : OperationId::of_tenant(client.operation_tenant, operation_key);
}

}  // namespace dockbend
