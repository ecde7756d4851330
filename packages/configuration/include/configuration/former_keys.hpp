/// API keys that were taken away from their tenants. They admit nobody; they say whose the operations of a client are
/// that still sends one, where its route needs no key.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "configuration/config_item.hpp"

namespace dockbend {

/// Of one tenant, the one that was taken away last first. Kept in an item of its own beside the tenant's, only for a
/// tenant that has lost a key. That item is of the tenants' kind, which every release knows, and marked as removed, so
/// that none renders it or has it in force; no tenant has its key, which holds a control character.
/// Invariant: its version is that of the tenant's item that took the last key away.
struct FormerKeys {
  std::string tenant;
  std::vector<std::string> keys;  // at most kMostFormerKeys
};
/// Tries of an operation come within seconds: a key need not be known for long.
constexpr std::size_t kMostFormerKeys = 16;

/// Is it an item that holds former keys, rather than one that an operator sends?
bool holds_former_keys(ConfigItem const& item);
/// What such an item holds; no keys if it can't be read.
FormerKeys read_former_keys(ConfigItem const& item);

/// The item of the former keys after a tenant's item has been replaced; nothing if it need not change.
/// @param former the item so far; null: there is none
/// @param current the tenant's item so far; null: there was none
/// @param newer the tenant's item that takes its place
std::optional<ConfigItem> former_keys_after(ConfigItem const* former, ConfigItem const* current,
                                            ConfigItem const& newer);

}  // namespace dockbend
