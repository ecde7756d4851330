#include "configuration/merge.hpp"

#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "configuration/former_keys.hpp"

namespace dockbend {
namespace {
using NewerItems = std::map<std::string_view, ConfigItem const*>;

/// A route names a service.
struct ServiceUse {
  std::string service, route_key;
};

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

/// The services that the change takes out of force.
std::set<std::string> removed_services(ItemMap const& items, NewerItems const& newer) {
  std::set<std::string> removed;
  for (auto const& [key, item] : newer) {
    if (key[0] != item_key::kService || !item->gone) continue;
    ConfigItem const* const current = find_item(items, item->key);
    if (current != nullptr && !current->gone) removed.insert(item->key);
  }
  return removed;
}

/// The first route in force after the change that names one of these services, and that service.
std::optional<ServiceUse> find_use(ItemMap const& items, NewerItems const& newer,
                                   std::set<std::string> const& services) {
  auto const use_in = [&services](ConfigItem const& item) -> std::optional<ServiceUse> {
    if (item.key[0] != item_key::kRoute || item.gone) return std::nullopt;
    for (std::string const& service : services_named_by(item))
      if (services.count(item_key::service(service)) > 0) return ServiceUse{service, item.key};
    return std::nullopt;
  };
  for (auto const& [key, item] : items)
    if (newer.count(key) == 0)
      if (auto use = use_in(item)) return use;
  for (auto const& [key, item] : newer)
    if (auto use = use_in(*item)) return use;
  return std::nullopt;
}

std::vector<ConfigItem const*> tenants_among(NewerItems const& newer) {
  std::vector<ConfigItem const*> tenants;
  for (auto const& [key, item] : newer)
    if (key[0] == item_key::kTenant) tenants.push_back(item);
  return tenants;
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
  if (std::set<std::string> const removed = removed_services(items, newer); !removed.empty())
    if (std::optional<ServiceUse> const use = find_use(items, newer, removed)) {
      field = "service '" + use->service + "': named by " + use->route_key;
      return MergeResult::service_in_use;
    }
  if (newer.empty()) return MergeResult::same;
  std::vector<ConfigItem> former_keys = former_keys_after(items, tenants_among(newer));
  if (!has_room_for(items, former_keys)) {
    field = "customers: too many keys were taken away lately";
    return MergeResult::no_room;
  }
  for (auto const& [key, item] : newer)
    items[item->key] = *item;
  for (ConfigItem& former : former_keys)
    items[former.key] = std::move(former);
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
