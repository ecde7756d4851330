#include "consensus/state_delta.hpp"

#include <string_view>
#include <unordered_map>

#include "item_order.hpp"
#include "value_checks.hpp"

namespace dockbend {
namespace {
std::string unit_key(DrainUnit const& unit) {
  return std::to_string(unit.pass) + "/" + unit.name;
}

std::vector<ConfigItem> changed_items(std::vector<ConfigItem> const& from, std::vector<ConfigItem> const& to) {
  std::vector<ConfigItem> changed;
  if (from == to) return changed;
  std::unordered_map<std::string_view, ConfigItem const*> old;
  old.reserve(from.size());
  for (ConfigItem const& item : from)
    old.emplace(item.key, &item);
  for (ConfigItem const& item : to)
    if (auto const it = old.find(item.key); it == old.end() || !(*it->second == item)) changed.push_back(item);
  return changed;
}

/// Only units that changed, so that a step of a run over many nodes costs its own size.
std::vector<DrainUnit> changed_units(std::vector<DrainUnit> const& from, std::vector<DrainUnit> const& to) {
  std::vector<DrainUnit> changed;
  if (to.empty()) return changed;
  std::unordered_map<std::string, DrainUnit const*> old;
  for (DrainUnit const& unit : from)
    old.emplace(unit_key(unit), &unit);
  for (DrainUnit const& unit : to)
    if (auto const it = old.find(unit_key(unit)); it == old.end() || !(*it->second == unit)) changed.push_back(unit);
  return changed;
}

/// Replaces the elements of the same key, the first of each if a key is there more than once, and appends the others.
template <class T, class Key>
void merge_list(std::vector<T>& list, std::vector<T> const& newer, Key key) {
  std::unordered_map<std::string, std::size_t> position;
  for (std::size_t i = 0; i < list.size(); ++i)
    position.emplace(key(list[i]), i);
  for (T const& element : newer) {
    if (auto const it = position.find(key(element)); it != position.end())
      list[it->second] = element;
    else
      list.push_back(element);
  }
}

/// Keeps the items in the order of their keys.
void merge_items(std::vector<ConfigItem>& items, std::vector<ConfigItem> const& newer) {
  if (newer.empty()) return;
  sort_items(items);
  std::map<std::string, ConfigItem const*> added;
  for (ConfigItem const& item : newer) {
    auto const it = std::lower_bound(items.begin(), items.end(), item, by_item_key);
    if (it != items.end() && it->key == item.key)
      *it = item;
    else
      added[item.key] = &item;
  }
  auto const old_count = static_cast<std::ptrdiff_t>(items.size());
  for (auto const& [key, item] : added)
    items.push_back(*item);
  std::inplace_merge(items.begin(), items.begin() + old_count, items.end(), by_item_key);
}

/// Drops units of runs that the value no longer names, or that are over.
void drop_orphaned_units(ReplicatedState& state) {
  std::erase_if(state.units, [&](DrainUnit const& unit) {
    DrainRun const* const run = state.pass(unit.pass);
    return run == nullptr || run->state == DrainRunState::aborted || run->state == DrainRunState::done;
  });
}

/// A short list that the later delta sets replaces that of the earlier one.
template <class T>
void override_list(bool& is_set, std::vector<T>& list, bool is_set_later, std::vector<T> const& later) {
  if (!is_set_later) return;
  is_set = true;
  list = later;
}
}  // namespace

StateDelta read_delta(std::string_view bytes) {
  StateDelta delta = codec::unpack<StateDelta>(bytes);
  check_fields(delta, delta.membership_set);
  return delta;
}

StateDelta delta_of(ReplicatedState const& from, ReplicatedState const& to) {
  StateDelta delta;
  delta.base = from.ballot;
  delta.ballot = to.ballot;
  delta.epoch = to.epoch;
  delta.open = to.open;
  delta.to_fix = to.to_fix;
  delta.largest_membership = to.largest_membership;
  delta.items = changed_items(from.items, to.items);
  delta.units = changed_units(from.units, to.units);
  delta.evacuations_set = !are_same(from.evacuations, to.evacuations);
  if (delta.evacuations_set) delta.evacuations = to.evacuations;
  delta.membership_set = from.membership != to.membership || from.retired != to.retired;
  if (delta.membership_set) {
    delta.membership = to.membership;
    delta.retired = to.retired;
  }
  delta.previous_membership_set = from.previous_membership != to.previous_membership;
  if (delta.previous_membership_set) delta.previous_membership = to.previous_membership;
  delta.duties_set = from.duties != to.duties;
  if (delta.duties_set) delta.duties = to.duties;
  delta.fixed_set = from.fixed != to.fixed;
  if (delta.fixed_set) delta.fixed = to.fixed;
  delta.passes_set = from.passes != to.passes;
  if (delta.passes_set) delta.passes = to.passes;
  return delta;
}

StateDelta join_deltas(StateDelta first, StateDelta const& second) {
  first.ballot = second.ballot;
  first.epoch = second.epoch;
  first.open = second.open;
  first.to_fix = second.to_fix;
  first.largest_membership = second.largest_membership;
  merge_list(first.items, second.items, [](ConfigItem const& item) { return item.key; });
  merge_list(first.units, second.units, unit_key);
  override_list(first.evacuations_set, first.evacuations, second.evacuations_set, second.evacuations);
  if (second.membership_set) first.retired = second.retired;
  override_list(first.membership_set, first.membership, second.membership_set, second.membership);
  override_list(first.previous_membership_set, first.previous_membership, second.previous_membership_set,
                second.previous_membership);
  override_list(first.duties_set, first.duties, second.duties_set, second.duties);
  override_list(first.fixed_set, first.fixed, second.fixed_set, second.fixed);
  override_list(first.passes_set, first.passes, second.passes_set, second.passes);
  return first;
}

bool apply(ReplicatedState& state, StateDelta const& delta) {
  if (state.ballot != delta.base) return false;
  merge_items(state.items, delta.items);
  state.to_fix = delta.to_fix;
  state.largest_membership = delta.largest_membership;
  state.open = delta.open;
  if (delta.duties_set) state.duties = delta.duties;
  if (delta.fixed_set) state.fixed = delta.fixed;
  if (delta.evacuations_set) state.evacuations = delta.evacuations;
  if (delta.membership_set) {
    state.membership = delta.membership;
    state.retired = delta.retired;
  }
  if (delta.previous_membership_set) state.previous_membership = delta.previous_membership;
  if (delta.passes_set) state.passes = delta.passes;
  if (!delta.units.empty()) merge_list(state.units, delta.units, unit_key);
  drop_orphaned_units(state);
  state.ballot = delta.ballot;
  state.epoch = delta.epoch;
  return true;
}

}  // namespace dockbend
