#include "configuration/former_keys.hpp"

#include <algorithm>

#include "configuration/json.hpp"

namespace dockbend {
namespace {
using ApiKeys = std::vector<std::string>;

/// `since` has the versions of `keys` in their order; releases before kept none.
struct FormerKeysBody {
  DB_RECORD(FormerKeysBody, (ApiKeys, keys), (std::optional<std::vector<u64>>, since));
};

bool contains(ApiKeys const& keys, std::string const& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

bool contains(std::vector<FormerKey> const& former, std::string const& key) {
  return std::any_of(former.begin(), former.end(), [&key](FormerKey const& entry) { return entry.key == key; });
}

bool is_tenant(ConfigItem const& item) {
  return item.key[0] == item_key::kTenant && !holds_former_keys(item);
}

std::string tenant_name(ConfigItem const& item) {
  return item.key.substr(item_key::tenant("").size());
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

std::vector<FormerKey> keys_of(ConfigItem const* former) {
  return former == nullptr ? std::vector<FormerKey>() : read_former_keys(*former).keys;
}

ConfigItem former_keys_item(std::string const& tenant, std::vector<FormerKey> const& keys, Generation version) {
  FormerKeysBody body;
  body.since.emplace();
  for (FormerKey const& former : keys) {
    body.keys.push_back(former.key);
    body.since->push_back(former.since.v);
  }
  return ConfigItem{item_key::former_keys(tenant), version, true, json::render(body)};
}

ConfigItem const* find_item(ItemMap const& items, std::string const& key) {
  auto const found = items.find(key);
  return found == items.end() ? nullptr : &found->second;
}

ConfigItem const* find_item(std::vector<ConfigItem> const& sorted, std::string const& key) {
  auto const found = std::lower_bound(sorted.begin(), sorted.end(), key,
                                      [](ConfigItem const& item, std::string const& k) { return item.key < k; });
  return found != sorted.end() && found->key == key ? &*found : nullptr;
}

/// The items of former keys, which are next to each other.
template <class F>
void for_each_former(ItemMap const& items, F f) {
  for (auto it = items.lower_bound(item_key::former_keys("")); it != items.end(); ++it) {
    if (!holds_former_keys(it->second)) return;
    f(it->second);
  }
}

Generation version_after(Generation version) {
  return std::max(kFirstFormerKeysVersion, Generation(version.v + 1));
}

Generation next_version(ItemMap const& items) {
  Generation newest;
  for_each_former(items, [&newest](ConfigItem const& item) { newest = std::max(newest, item.gen); });
  return version_after(newest);
}

/// What the tenant's item of former keys holds once `newer` has replaced `current`.
std::vector<FormerKey> keys_after(ConfigItem const* former, ConfigItem const* current, ConfigItem const& newer,
                                  Generation version) {
  ApiKeys const granted = granted_keys(&newer);
  std::vector<FormerKey> keys;
  for (std::string const& key : granted_keys(current))
    if (!contains(granted, key) && !contains(keys, key)) keys.push_back(FormerKey{key, version});
  for (FormerKey const& known : keys_of(former))
    if (!contains(granted, known.key) && !contains(keys, known.key)) keys.push_back(known);
  return keys;
}

/// Drops the keys that have expired; true if there were any.
bool drop_expired(std::vector<FormerKey>& keys, ConfigItem const& former, Generation up_to) {
  // Of an undated item it is known only when it was seen as it is.
  if (is_undated(former) && former.gen != up_to) return false;
  return std::erase_if(keys, [up_to](FormerKey const& key) { return key.since <= up_to; }) > 0;
}

/// The item that is in force after a change: of those that changed, else of those before.
ConfigItem const* find_current(std::vector<ConfigItem> const& old, ItemMap const& changed, std::string const& key) {
  ConfigItem const* const item = find_item(changed, key);
  return item != nullptr ? item : find_item(old, key);
}

/// The keys that the tenant has lost by the change, and those that its item of former keys held before it.
ApiKeys lost_keys(ConfigItem const* old_tenant, ConfigItem const* old_former) {
  ApiKeys keys = granted_keys(old_tenant);
  for (FormerKey const& former : keys_of(old_former))
    keys.push_back(former.key);
  return keys;
}

/// An item that this release wrote lacks only what was let go.
std::optional<UnrecordedKeys> unrecorded_keys_of(std::string const& tenant, std::vector<ConfigItem> const& old,
                                                 ItemMap const& changed) {
  ConfigItem const* const old_former = find_item(old, item_key::former_keys(tenant));
  ConfigItem const* const former = find_current(old, changed, item_key::former_keys(tenant));
  bool const is_cut = former != nullptr && former != old_former && is_undated(*former);
  ConfigItem const* const old_tenant = find_item(old, item_key::tenant(tenant));
  ApiKeys const granted = granted_keys(find_current(old, changed, item_key::tenant(tenant)));
  std::vector<FormerKey> const recorded = keys_of(former);
  UnrecordedKeys unrecorded{tenant, {}, old_former == nullptr ? Generation() : old_former->gen};
  for (std::string const& key : lost_keys(old_tenant, is_cut ? old_former : nullptr))
    if (!contains(granted, key) && !contains(recorded, key)) unrecorded.keys.push_back(key);
  bool const is_overtaken = is_cut && former->gen < unrecorded.known_version;
  if (unrecorded.keys.empty() && !is_overtaken) return std::nullopt;
  return unrecorded;
}
}  // namespace

bool holds_former_keys(ConfigItem const& item) {
  static std::string const prefix = item_key::former_keys("");
  return item.key.compare(0, prefix.size(), prefix) == 0;
}

FormerKeys read_former_keys(ConfigItem const& item) {
  FormerKeys former{item.key.substr(item_key::former_keys("").size()), {}};
  try {
    FormerKeysBody const body = json::parse_as<FormerKeysBody>(item.body);
    bool const has_since = body.since && body.since->size() == body.keys.size();
    for (std::size_t i = 0; i < body.keys.size(); ++i)
      former.keys.push_back(FormerKey{body.keys[i], has_since ? Generation((*body.since)[i]) : item.gen});
  } catch (json::Fault const&) {
    // A newer program wrote it: left out rather than guessed at.
  }
  return former;
}

bool is_undated(ConfigItem const& former) {
  return former.gen < kFirstFormerKeysVersion;
}

std::vector<ConfigItem> former_keys_after(ItemMap const& items, std::vector<ConfigItem const*> const& newer) {
  std::vector<ConfigItem> changed;
  Generation version = next_version(items);
  for (ConfigItem const* const tenant : newer) {
    std::string const name = tenant_name(*tenant);
    ConfigItem const* const former = find_item(items, item_key::former_keys(name));
    std::vector<FormerKey> const keys = keys_after(former, find_item(items, tenant->key), *tenant, version);
    if (keys == keys_of(former)) continue;
    changed.push_back(former_keys_item(name, keys, version));
    version = version_after(version);
  }
  return changed;
}

bool has_room_for(ItemMap const& items, std::vector<ConfigItem> const& former) {
  std::size_t bytes = 0;
  for_each_former(items, [&bytes](ConfigItem const& item) { bytes += item.body.size(); });
  std::size_t const bytes_before = bytes;
  for (ConfigItem const& newer : former) {
    ConfigItem const* const current = find_item(items, newer.key);
    bytes += newer.body.size();
    bytes -= current == nullptr ? 0 : current->body.size();
  }
  return bytes <= std::max(bytes_before, kMostFormerKeyBytes);
}

bool forget_former_keys(std::vector<ConfigItem>& items, std::vector<ExpiredFormerKeys> const& expired) {
  std::map<std::string, Generation> up_to;
  for (ExpiredFormerKeys const& keys : expired)
    up_to.emplace(keys.item_key, keys.up_to);
  Generation newest;
  for (ConfigItem const& item : items)
    if (holds_former_keys(item)) newest = std::max(newest, item.gen);
  bool has_changed = false;
  for (ConfigItem& item : items) {
    auto const found = up_to.find(item.key);
    if (found == up_to.end() || !holds_former_keys(item)) continue;
    FormerKeys former = read_former_keys(item);
    if (!drop_expired(former.keys, item, found->second)) continue;
    newest = version_after(newest);
    item = former_keys_item(former.tenant, former.keys, newest);
    has_changed = true;
  }
  return has_changed;
}

std::vector<UnrecordedKeys> find_unrecorded_keys(std::vector<ConfigItem> const& old,
                                                 std::vector<ConfigItem> const& changed) {
  ItemMap changed_tenants;  // and their former keys
  for (ConfigItem const& item : changed)
    if (item.key[0] == item_key::kTenant) changed_tenants.emplace(item.key, item);
  std::vector<UnrecordedKeys> all;
  for (auto const& [key, item] : changed_tenants) {
    std::string const name = is_tenant(item) ? tenant_name(item) : read_former_keys(item).tenant;
    bool const is_seen_with_tenant = !is_tenant(item) && changed_tenants.count(item_key::tenant(name)) > 0;
    if (is_seen_with_tenant) continue;
    if (std::optional<UnrecordedKeys> unrecorded = unrecorded_keys_of(name, old, changed_tenants))
      all.push_back(std::move(*unrecorded));
  }
  return all;
}

bool record_former_keys(ItemMap& items, std::vector<UnrecordedKeys> const& unrecorded) {
  bool has_changed = false;
  for (UnrecordedKeys const& lost : unrecorded) {
    ConfigItem const* const former = find_item(items, item_key::former_keys(lost.tenant));
    ApiKeys const granted = granted_keys(find_item(items, item_key::tenant(lost.tenant)));
    Generation const version = std::max(next_version(items), version_after(lost.known_version));
    std::vector<FormerKey> keys = keys_of(former);
    // When the keys of an undated item were taken away is not known: they count from now on.
    if (former != nullptr && is_undated(*former))
      for (FormerKey& key : keys)
        key.since = version;
    std::size_t const recorded = keys.size();
    for (std::string const& key : lost.keys)
      if (!contains(granted, key) && !contains(keys, key)) keys.push_back(FormerKey{key, version});
    bool const is_overtaken = former != nullptr && former->gen < lost.known_version;
    if (keys.size() == recorded && !is_overtaken) continue;
    ConfigItem item = former_keys_item(lost.tenant, keys, version);
    items[item.key] = std::move(item);
    has_changed = true;
  }
  return has_changed;
}

}  // namespace dockbend
