/// Renders the configuration in force as JSON.
#pragma once
#include <map>
#include <string>

#include "configuration/config_item.hpp"

namespace dockbend {

/// The answer to a read of the configuration: {"limits","customers","sockets","pools"}, each item as it was sent; empty
/// limits and customers are left out. Put under "upsert", it is a valid change that sets the same items.
/// @param items by key; removed ones are left out
/// @throws json::Fault if a route's body can't be read
std::string render_read(std::map<std::string, ConfigItem> const& items);

}  // namespace dockbend
