#include "base/operation_id.hpp"

#include <algorithm>
#include <cstdlib>

namespace dockbend {
namespace {
char constexpr kTenantSeparator = '/', kStorageSeparator = '\n';
int constexpr kDecimal = 10;
}  // namespace

OperationId OperationId::of_tenant(std::string_view tenant, std::string_view key) {
  std::string text(tenant);
  text += kTenantSeparator;
  text += key;
  return {std::move(text), kTenant + static_cast<u32>(tenant.size())};
}

OperationId OperationId::without_tenant(std::string_view key) {
  return {std::string(key), kWithoutTenant};
}

std::string_view OperationId::key() const {
  std::size_t const before = has_tenant() ? split_ - kTenant + 1 : 0;
  return std::string_view(text_).substr(std::min(before, text_.size()));
}

std::string OperationId::storage_key() const {
  return is_exact() ? text_ + kStorageSeparator + std::to_string(split_) : text_;
}

OperationId OperationId::of_storage_key(std::string const& storage_key) {
  std::size_t const separator = storage_key.rfind(kStorageSeparator);
  if (separator == std::string::npos) return {storage_key, kNotStated};
  unsigned long const split = std::strtoul(storage_key.c_str() + separator + 1, nullptr, kDecimal);
  return {storage_key.substr(0, separator), static_cast<u32>(split)};
}

}  // namespace dockbend
