/// A configuration change: what one call of the control API (manifest amend) asks for, read and checked.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "configuration/config_item.hpp"

namespace dockbend {

/// A route's mention of a service; whether that service exists is decided when the change is merged.
struct ServiceReference {
  std::string field;    // path of the JSON member that names the service, for the refusal
  std::string service;  // the service's name
  std::string key;      // key of the item that has the mention
};

/// The items to set or remove, each key once, in the order of the call, and the services that its routes name.
struct ConfigChange {
  std::vector<ConfigItem> items;
  std::vector<ServiceReference> needs;
};

/// Reads and checks the body of a call.
/// @throws json::Fault naming the field, what was expected and, for a tenant's item, the tenant. Nothing of an invalid
///         call is taken.
ConfigChange read_amend(std::string_view body);

}  // namespace dockbend
