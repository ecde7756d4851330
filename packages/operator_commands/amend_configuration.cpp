#include "operator_commands/amend_configuration.hpp"

#include <algorithm>
#include <string_view>

namespace dockbend {
namespace {
std::string service_key(ServiceReference const& reference) {
  return "s/" + reference.service;
}

std::map<std::string, Generation> versions_of_routes(ReplicatedState const* state) {
  std::map<std::string, Generation> versions;
  if (state == nullptr) return versions;
  for (ConfigItem const& item : state->items)
    if (item.key[0] == item_key::kRoute) versions.emplace(item.key, item.gen);
  return versions;
}
}  // namespace

AmendConfiguration::AmendConfiguration(ConfigChange change, ReplicatedState const* known) : change_(std::move(change)) {
  removes_service_ = std::any_of(change_.items.begin(), change_.items.end(),
                                 [](ConfigItem const& item) { return item.key[0] == item_key::kService && item.gone; });
  if (removes_service_) known_routes_ = versions_of_routes(known);
  if (known == nullptr || known->items.empty()) return;
  for (ConfigItem const& item : change_.items)
    known_versions_.emplace(item.key, Generation());
  for (ServiceReference const& reference : change_.needs)
    known_versions_.emplace(service_key(reference), Generation());
  for (ConfigItem const& item : known->items)
    if (auto const version = known_versions_.find(item.key); version != known_versions_.end())
      version->second = item.gen;
}

Generation AmendConfiguration::known_version(std::string const& key) const {
  auto const version = known_versions_.find(key);
  return version == known_versions_.end() ? Generation() : version->second;
}

/// Whether another controller may have refused the call at some moment since it came in, though it is allowed
/// now. merged: the configuration with the change in it.
bool AmendConfiguration::may_have_been_refused(ReplicatedState const& state,
                                               std::map<std::string, ConfigItem> const& merged) const {
  return has_item_overtaken(merged) || has_service_changed(merged) || has_route_changed(state);
}

/// An item of this version may have stood with another body, and has been overtaken since.
bool AmendConfiguration::has_item_overtaken(std::map<std::string, ConfigItem> const& merged) const {
  return std::any_of(change_.items.begin(), change_.items.end(), [&](ConfigItem const& item) {
    return merged.at(item.key).gen > item.gen && known_version(item.key) <= item.gen;
  });
}

/// A service that it names, and does not set itself, may have been missing, and has been set since.
bool AmendConfiguration::has_service_changed(std::map<std::string, ConfigItem> const& merged) const {
  std::unordered_map<std::string_view, Generation> own_versions;
  if (!change_.needs.empty())
    for (ConfigItem const& item : change_.items)
      own_versions.emplace(item.key, item.gen);
  return std::any_of(change_.needs.begin(), change_.needs.end(), [&](ServiceReference const& reference) {
    std::string const key = service_key(reference);
    Generation const version = merged.at(key).gen;
    auto const own = own_versions.find(key);
    bool const sets_it = own != own_versions.end() && own->second >= version;
    return !sets_it && version != known_version(key);
  });
}

/// A service that it removes may have been named by a route then. Routes are not looked at one by one: such changes are
/// rare, and a caller sends an undecided one again.
bool AmendConfiguration::has_route_changed(ReplicatedState const& state) const {
  return removes_service_ && versions_of_routes(&state) != known_routes_;
}

CommandResult AmendConfiguration::apply(ReplicatedState& state) const {
  auto merged = state.by_key();
  std::string field;
  switch (join(merged, change_, field)) {
    case MergeResult::same: return CommandResult::accepted(false);
    case MergeResult::clash:
      return CommandResult::refused(CommandStatus::conflict, field + ": another body stands under this generation");
    case MergeResult::unknown_service:
      return CommandResult::refused(CommandStatus::invalid, field + ": unknown service");
    case MergeResult::service_in_use: return CommandResult::refused(CommandStatus::invalid, field);
    case MergeResult::no_room: return CommandResult::refused(CommandStatus::no_room, field);
    case MergeResult::changed: break;
  }
  if (may_have_been_refused(state, merged)) return CommandResult::undecided("other changes came between");
  state.items.clear();
  for (auto& [key, item] : merged)
    state.items.push_back(std::move(item));
  return CommandResult::accepted(true);
}

}  // namespace dockbend
