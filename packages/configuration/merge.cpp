#include "configuration/merge.hpp"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "configuration/former_keys.hpp"

namespace dockbend {
namespace {
using ItemMap = std::map<std::string, ConfigItem>;
using NewerItems = std::map<std::string_view, ConfigItem const*>;

// Is the service that a route names in force after the change?
bool is_known_service(ItemMap const& items, NewerItems const& newer, ServiceReference const& reference) {
  std::string const key = item_key::service(reference.service);
  auto const current = items.find(key);
  auto const own = newer.find(key);
  bool const known = own != newer.end() ? !own->second->gone : current != items.end() && !current->second.gone;
  // A route that the change does not renew may have been merged while its service was there, though the service was
  // removed since. A service that nobody ever set is unknown in any case.
  return known || (newer.count(reference.key) == 0 && current != items.end());
}

ConfigItem const* find_item(ItemMap const& items, std::string const& key) {
  auto const found = items.find(key);
  return found == items.end() ? nullptr : &found->second;
}

void replace_item(ItemMap& items, ConfigItem const& newer) {
  if (newer.key[0] == item_key::kTenant) {
    std::string const tenant = newer.key.substr(item_key::tenant("").size());
    ConfigItem const* const former = find_item(items, item_key::former_keys(tenant));
    if (std::optional<ConfigItem> changed = former_keys_after(former, find_item(items, newer.key), newer))
      items[changed->key] = std::move(*changed);
  }
  items[newer.key] = newer;
}
}  // namespace

MergeResult join(ItemMap& items, ConfigChange const& change, std::string& field) {
  NewerItems newer;
  for (ConfigItem const& item : change.items) {
    auto const current = items.find(item.key);
    if (current == items.end() || item.gen > current->second.gen) {
      newer.emplace(item.key, &item);
    } else if (item.gen == current->second.gen && !same_item(item, current->second)) {
      field = item.key;
      return MergeResult::clash;
    }
  }
  for (ServiceReference const& reference : change.needs) {
    if (is_known_service(items, newer, reference)) continue;
    field = reference.field;
    return MergeResult::unknown_service;
  }
  if (newer.empty()) return MergeResult::same;
  for (auto const& [key, item] : newer)
    replace_item(items, *item);
  return MergeResult::changed;
}

bool brings_news(std::vector<ConfigItem> const& items, ConfigChange const& change) {
  std::unordered_map<std::string_view, Generation> wanted;
  for (ConfigItem const& item : change.items)
    wanted.emplace(item.key, item.gen);
  std::size_t in_force = 0;
  for (ConfigItem const& item : items)
    if (auto const found = wanted.find(item.key); found != wanted.end() && found->second <= item.gen) ++in_force;
  return in_force < wanted.size();
}

}  // namespace dockbend
