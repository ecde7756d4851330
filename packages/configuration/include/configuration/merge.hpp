/// Merges a configuration change into the items in force.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "configuration/config_change.hpp"

namespace dockbend {

/// What a merge did.
enum class MergeResult {
  changed,          // at least one item has a new version
  same,             // the items in force already are as new as the change
  clash,            // the change has another body for a version in force
  unknown_service,  // a route names a service that does not exist
  service_in_use,   // a service is removed that a route in force names
  no_room,          // it takes away keys for which there is no room before earlier ones are let go
};

/// Merges `change` into `items`, which are by key and change only if the result is `changed`. A change that was merged
/// once gives `changed` or `same` ever after, whatever was merged in between. Keys that it takes away from tenants are
/// kept as former ones.
/// @param field set to the key (clash), the path in the call (unknown_service), the service and the route
/// (service_in_use), or the part of the call (no_room) that was wrong
MergeResult join(std::map<std::string, ConfigItem>& items, ConfigChange const& change, std::string& field);

/// Would merging `change` into `items` set anything? Makes no copies.
bool brings_news(std::vector<ConfigItem> const& items, ConfigChange const& change);

}  // namespace dockbend
