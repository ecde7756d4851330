/// API keys that were taken away from their tenants. They admit nobody; they say whose the operations of a client are
/// that still sends one, where its route needs no key.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "configuration/config_item.hpp"

namespace dockbend {

/// A key that was taken away; `since` is the version that its item got by that.
struct FormerKey {
  std::string key;
  Generation since;
  friend bool operator==(FormerKey const& a, FormerKey const& b) { return a.key == b.key && a.since == b.since; }
};

/// Of one tenant, the one that was taken away last first. Kept in an item of its own beside the tenant's, only for a
/// tenant that has lost a key. That item is of the tenants' kind, which every release knows, and marked as removed, so
/// that none renders it or has it in force; no tenant has its key, which holds a control character. It stays when its
/// last key is let go.
/// Invariants: each change of such an item gives it a version above those of all of them, so `since` tells which of two
/// tenants lost a key last; a key leaves only by being granted to its tenant again, or by forget_former_keys().
struct FormerKeys {
  std::string tenant;
  std::vector<FormerKey> keys;
};

/// Versions of these items begin here, above all that an operator can give. An item with a lower one was written by a
/// release that kept no `since`: all its keys have the item's version.
inline constexpr Generation kFirstFormerKeysVersion{u64{1} << 32};
/// Bound on the bodies of all these items together. A change that needs more is refused.
inline constexpr std::size_t kMostFormerKeyBytes = 8u << 20;

using ItemMap = std::map<std::string, ConfigItem>;  // by item key

/// Is it an item that holds former keys, rather than one that an operator sends?
bool holds_former_keys(ConfigItem const& item);
/// What such an item holds; no keys if it can't be read.
FormerKeys read_former_keys(ConfigItem const& item);
/// Was it written by a release that kept no `since`?
bool is_undated(ConfigItem const& former);

/// The items of former keys that change when tenants' items are replaced.
/// @param newer tenants' items that take the place of those in `items`
std::vector<ConfigItem> former_keys_after(ItemMap const& items, std::vector<ConfigItem const*> const& newer);
/// Do all former keys fit in kMostFormerKeyBytes once these have replaced theirs in `items`? Always, if they become no
/// more by it.
bool has_room_for(ItemMap const& items, std::vector<ConfigItem> const& former);

/// Keys of one item that have been there for long enough: all up to this version of it.
struct ExpiredFormerKeys {
  std::string item_key;
  Generation up_to;
};
/// Lets these keys go. True if any was still there.
bool forget_former_keys(std::vector<ConfigItem>& items, std::vector<ExpiredFormerKeys> const& expired);

/// Keys that a tenant has lost, and that no item of former keys may hold: a release that knows of none, or keeps only
/// some, made the change.
struct UnrecordedKeys {
  std::string tenant;
  std::vector<std::string> keys;
  Generation known_version;  ///< the highest that the tenant's item of former keys had; 0: there was none
};
/// What a change of items has left unrecorded.
/// @param old the items before, in the order of their keys
/// @param changed those of them that changed, as they are now
std::vector<UnrecordedKeys> find_unrecorded_keys(std::vector<ConfigItem> const& old,
                                                 std::vector<ConfigItem> const& changed);
/// Records those that their tenants have not been granted again. True if any was missing.
bool record_former_keys(ItemMap& items, std::vector<UnrecordedKeys> const& unrecorded);

}  // namespace dockbend
