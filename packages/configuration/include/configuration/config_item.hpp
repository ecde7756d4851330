/// One named item of the configuration, as the replicated state and the disks keep it.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"

namespace dockbend {

/// What an item is: the first letter of its key. Keys are "l/" for the limits and otherwise the letter, a slash and the
/// item's name. Fixed by the disk format.
namespace item_key {
constexpr char kLimits = 'l';
constexpr char kRoute = 'r';
constexpr char kService = 's';
constexpr char kTenant = 'c';

/// The key of the one item that holds the limits.
std::string limits();
/// The key of the route, service or tenant of that name.
std::string route(std::string const& name);
std::string service(std::string const& name);
std::string tenant(std::string const& name);
/// The key of the item that holds the former API keys of the tenant of that name, see former_keys.hpp.
std::string former_keys(std::string const& tenant);
}  // namespace item_key

/// One item: its key (see item_key); its version, given by the operator; whether it was removed at that version; and
/// its body, empty if removed and otherwise JSON as the operator sent it, a route's with its host beside it. Former API
/// keys are kept in items too, which no operator sends (see former_keys.hpp). Invariants: of two items with one key the
/// one with the higher version holds; two different bodies never have the same key and version.
struct ConfigItem {
  DB_RECORD(ConfigItem, (std::string, key), (Generation, gen), (bool, gone), (std::string, body));
  friend bool operator==(ConfigItem const& a, ConfigItem const& b) {
    return a.key == b.key && a.gen == b.gen && a.gone == b.gone && a.body == b.body;
  }
};

/// Whether a zone is to be evacuated. Of two of one zone the one with the higher counter holds.
struct Evacuation {
  DB_RECORD(Evacuation, (std::string, zone), (u64, counter), (bool, on));
};

/// The services that a route's item names; none of an item that is removed or can't be read.
std::vector<std::string> services_named_by(ConfigItem const& route);

/// Do both mean the same, however their bodies are spelled (order of members, blanks, 1.0 for 1)?
bool same_item(ConfigItem const& a, ConfigItem const& b);

}  // namespace dockbend
