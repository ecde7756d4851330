#include "consensus/state_rows.hpp"

#include <cstdio>
#include <cstring>

#include "item_order.hpp"
#include "row_codecs.hpp"

namespace dockbend {
namespace {
u64 constexpr kSealHashSeed = 1;

u64 hash_of(StateRow const& row) {
  return hash64(row.body, hash64(row.key));
}

void write_row(RowDiff& diff, StateRow row, StateRow const* replaced) {
  if (replaced != nullptr) diff.checksum.remove(*replaced);
  diff.checksum.add(row);
  diff.rows.push_back(std::move(row));
}

void delete_row(RowDiff& diff, StateRow const& row) {
  diff.checksum.remove(row);
  diff.rows.push_back(StateRow{row.key, "", true});
}

/// Both lists have the same keys at the same positions.
template <class Rows, class T>
bool are_aligned(std::vector<T> const& from, std::vector<T> const& to) {
  return std::equal(from.begin(), from.end(), to.begin(), to.end(),
                    [](T const& a, T const& b) { return Rows::key(a) == Rows::key(b); });
}

template <class Rows, class T>
void diff_aligned_lists(std::vector<T> const& from, std::vector<T> const& to, RowDiff& diff) {
  for (std::size_t i = 0; i < from.size(); ++i) {
    StateRow const before = Rows::row(from[i], i);
    StateRow now = Rows::row(to[i], i);
    if (before.body != now.body) write_row(diff, std::move(now), &before);
  }
}

template <class Rows, class T>
void diff_lists(std::vector<T> const& from, std::vector<T> const& to, RowDiff& diff) {
  if (are_aligned<Rows>(from, to)) return diff_aligned_lists<Rows>(from, to, diff);
  std::map<std::string, StateRow> old;
  for (std::size_t i = 0; i < from.size(); ++i)
    old[Rows::key(from[i])] = Rows::row(from[i], i);
  for (std::size_t i = 0; i < to.size(); ++i) {
    StateRow now = Rows::row(to[i], i);
    auto const it = old.find(now.key);
    bool const is_same = it != old.end() && it->second.body == now.body;
    if (!is_same) write_row(diff, std::move(now), it == old.end() ? nullptr : &it->second);
    if (it != old.end()) old.erase(it);
  }
  for (auto const& [key, row] : old)
    delete_row(diff, row);
}

/// Items are many: one walk over both sorted lists, and rows only for what differs.
void diff_items(std::vector<ConfigItem> const& from, std::vector<ConfigItem> const& to, RowDiff& diff) {
  if (!are_items_sorted(from) || !are_items_sorted(to)) return diff_lists<ItemRows>(from, to, diff);
  auto old = from.begin();
  for (auto now = to.begin(); old != from.end() || now != to.end();) {
    if (now == to.end() || (old != from.end() && old->key < now->key)) {
      delete_row(diff, ItemRows::row(*old++, 0));
    } else if (old == from.end() || now->key < old->key) {
      write_row(diff, ItemRows::row(*now++, 0), nullptr);
    } else {
      if (!(*old == *now)) {
        StateRow const before = ItemRows::row(*old, 0);
        write_row(diff, ItemRows::row(*now, 0), &before);
      }
      ++old;
      ++now;
    }
  }
}

void diff_all_but_items(ReplicatedState const& from, ReplicatedState const& to, RowDiff& diff) {
  diff_lists<EvacuationRows>(from.evacuations, to.evacuations, diff);
  diff_lists<MemberRows>(from.membership, to.membership, diff);
  diff_lists<PreviousMemberRows>(from.previous_membership, to.previous_membership, diff);
  diff_lists<RetiredMemberRows>(from.retired, to.retired, diff);
  diff_lists<LeaseRows>(from.duties, to.duties, diff);
  diff_lists<LeaseCounterRows>(from.duties, to.duties, diff);
  diff_lists<FrozenReportRows>(from.fixed, to.fixed, diff);
  diff_lists<DrainRunRows>(from.passes, to.passes, diff);
  diff_lists<InitialServerRows>(from.passes, to.passes, diff);
  diff_lists<DrainUnitRows>(from.units, to.units, diff);
}

/// Calls f with each short list of the value that the delta may change. Lists that it leaves alone are not looked at.
template <class F>
void for_each_changed_list(StateDelta const& delta, F f) {
  if (delta.evacuations_set) f(&ReplicatedState::evacuations);
  if (delta.membership_set) f(&ReplicatedState::membership);
  if (delta.membership_set) f(&ReplicatedState::retired);
  if (delta.previous_membership_set) f(&ReplicatedState::previous_membership);
  if (delta.duties_set) f(&ReplicatedState::duties);
  if (delta.fixed_set) f(&ReplicatedState::fixed);
  if (delta.passes_set) f(&ReplicatedState::passes);
  // Units go with their runs.
  if (delta.passes_set || !delta.units.empty()) f(&ReplicatedState::units);
}

ConfigItem const* find_item(std::vector<ConfigItem> const& sorted, std::string const& key) {
  auto const it = std::lower_bound(sorted.begin(), sorted.end(), key,
                                   [](ConfigItem const& item, std::string const& k) { return item.key < k; });
  return it != sorted.end() && it->key == key ? &*it : nullptr;
}

/// The rows, as they are now, of the items that the delta changes; none for an item that is not there yet.
std::map<std::string, std::optional<StateRow>> rows_of_changed_items(ReplicatedState const& state,
                                                                     StateDelta const& delta) {
  std::map<std::string, std::optional<StateRow>> rows;
  for (ConfigItem const& changed : delta.items) {
    ConfigItem const* const item = find_item(state.items, changed.key);
    rows[changed.key] = item != nullptr ? std::optional<StateRow>(ItemRows::row(*item, 0)) : std::nullopt;
  }
  return rows;
}
}  // namespace

std::string digits(u64 number) {
  char text[24];
  std::snprintf(text, sizeof text, "%020llu", static_cast<unsigned long long>(number));
  return text;
}

std::string drain_run_digits(u64 run) {
  return digits(run);
}

std::string drain_unit_row_key(DrainUnit const& unit) {
  return row_key(RowKind::drain_unit, digits(unit.pass) + "/" + unit.name);
}

void RowChecksum::add(StateRow const& row) {
  sum += hash_of(row);
  ++count;
}

void RowChecksum::remove(StateRow const& row) {
  sum -= hash_of(row);
  --count;
}

std::vector<StateRow> rows_of(ReplicatedState const& state) {
  return rows_between(nullptr, state).rows;
}

RowDiff rows_between(ReplicatedState const* from, ReplicatedState const& to) {
  RowDiff diff;
  ReplicatedState const none;
  ReplicatedState const& old = from != nullptr ? *from : none;
  diff_items(old.items, to.items, diff);
  diff_all_but_items(old, to, diff);
  return diff;
}

std::optional<RowDiff> apply_rows(ReplicatedState& state, StateDelta const& delta) {
  if (state.ballot != delta.base) return std::nullopt;
  RowDiff diff;
  ReplicatedState before;
  for_each_changed_list(delta, [&](auto ReplicatedState::*list) { before.*list = state.*list; });
  if (!delta.items.empty()) sort_items(state.items);
  auto const items_before = rows_of_changed_items(state, delta);

  apply(state, delta);

  for (auto const& [key, row] : items_before) {
    StateRow now = ItemRows::row(*find_item(state.items, key), 0);
    if (!row || row->body != now.body) write_row(diff, std::move(now), row ? &*row : nullptr);
  }
  // The changed lists are moved out for the comparison and back again: no copy of them is made.
  ReplicatedState now;
  auto const exchange = [&](auto ReplicatedState::*list) { std::swap(now.*list, state.*list); };
  for_each_changed_list(delta, exchange);
  diff_all_but_items(before, now, diff);
  for_each_changed_list(delta, exchange);
  return diff;
}

std::string sealed(std::string const& body) {
  u64 const hash = hash64(body, kSealHashSeed);
  std::string record(sizeof hash, '\0');
  std::memcpy(record.data(), &hash, sizeof hash);
  return record + body;
}

std::optional<std::string> unsealed(std::string const& sealed_record) {
  u64 hash = 0;
  if (sealed_record.size() < sizeof hash) return std::nullopt;
  std::memcpy(&hash, sealed_record.data(), sizeof hash);
  std::string body = sealed_record.substr(sizeof hash);
  if (hash64(body, kSealHashSeed) != hash) return std::nullopt;
  return body;
}

}  // namespace dockbend
