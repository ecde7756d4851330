#include "configuration/former_keys.hpp"

#include <algorithm>

#include "configuration/json.hpp"

namespace dockbend {
namespace {
using ApiKeys = std::vector<std::string>;

struct FormerKeysBody {
  DB_RECORD(FormerKeysBody, (ApiKeys, keys));
};

bool contains(ApiKeys const& keys, std::string const& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

/// Those that the tenant's item grants: none if it is removed, or can't be read.
ApiKeys granted_keys(ConfigItem const* item) {
  if (item == nullptr || item->gone) return {};
  try {
    return json::parse_as<schema::Customer>(item->body).keys.value_or(ApiKeys{});
  } catch (json::Fault const&) {
    return {};
  }
}
}  // namespace

bool holds_former_keys(ConfigItem const& item) {
  static std::string const prefix = item_key::former_keys("");
  return item.key.compare(0, prefix.size(), prefix) == 0;
}

FormerKeys read_former_keys(ConfigItem const& item) {
  FormerKeys former{item.key.substr(item_key::former_keys("").size()), {}};
  try {
    former.keys = json::parse_as<FormerKeysBody>(item.body).keys;
  } catch (json::Fault const&) {
    // A newer program wrote it: left out rather than guessed at.
  }
  return former;
}

std::optional<ConfigItem> former_keys_after(ConfigItem const* former, ConfigItem const* current,
                                            ConfigItem const& newer) {
  ApiKeys const known = former == nullptr ? ApiKeys{} : read_former_keys(*former).keys;
  ApiKeys candidates = granted_keys(current);
  candidates.insert(candidates.end(), known.begin(), known.end());
  if (candidates.empty()) return std::nullopt;
  ApiKeys const granted = granted_keys(&newer);
  FormerKeysBody body;
  for (std::string const& key : candidates)
    if (body.keys.size() < kMostFormerKeys && !contains(granted, key) && !contains(body.keys, key))
      body.keys.push_back(key);
  if (body.keys == known) return std::nullopt;
  std::string const tenant = newer.key.substr(item_key::tenant("").size());
  return ConfigItem{item_key::former_keys(tenant), newer.gen, true, json::render(body)};
}

}  // namespace dockbend
