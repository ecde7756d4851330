#include "consensus/change_history.hpp"

#include "item_order.hpp"
#include "row_kinds.hpp"

namespace dockbend {
namespace {
std::string list_part(RowKind kind) {
  return std::string(1, static_cast<char>(kind));
}

/// The part of the value that is sent when this row changes. Items and units are sent one by one, short lists as
/// lists: a lease's counter with the leases, a drain run's initial servers with the runs.
std::string part_of(std::string const& row_key) {
  switch (kind_of(row_key)) {
    case RowKind::item:
    case RowKind::drain_unit: return row_key;
    case RowKind::lease_counter: return list_part(RowKind::lease);
    case RowKind::initial_servers: return list_part(RowKind::drain_run);
    default: return list_part(kind_of(row_key));
  }
}

/// A delta can't say that an item is gone, nor that a unit is gone while its run is not over.
bool is_inexpressible(StateRow const& row, ReplicatedState const& now) {
  if (!row.gone) return false;
  if (kind_of(row.key) == RowKind::item) return true;
  if (kind_of(row.key) != RowKind::drain_unit) return false;
  return std::any_of(now.passes.begin(), now.passes.end(), [&](DrainRun const& run) {
    std::string const run_digits = drain_run_digits(run.id);
    return run.state != DrainRunState::aborted && run.state != DrainRunState::done &&
           row.key.compare(kRowPrefixLength, run_digits.size(), run_digits) == 0;
  });
}
}  // namespace

void ChangeHistory::record(std::vector<StateRow> const& rows, ReplicatedState const& now) {
  // Only a value that was never committed had what is now gone; the history begins anew.
  if (std::any_of(rows.begin(), rows.end(), [&](StateRow const& row) { return is_inexpressible(row, now); })) {
    ballots_.clear();
    last_change_.clear();
  }
  if (!ballots_.empty())
    for (StateRow const& row : rows)
      last_change_[part_of(row.key)] = now.ballot;
  if (ballots_.empty() || ballots_.back() < now.ballot) ballots_.push_back(now.ballot);
  if (ballots_.size() > 2 * kKeptBallots) forget_old_ballots();
}

void ChangeHistory::forget_old_ballots() {
  ballots_.erase(ballots_.begin(), ballots_.begin() + static_cast<std::ptrdiff_t>(kKeptBallots));
  std::erase_if(last_change_, [&](auto const& change) { return change.second <= ballots_.front(); });
}

bool ChangeHistory::has_changed_after(Ballot ballot, std::string const& part) const {
  auto const it = last_change_.find(part);
  return it != last_change_.end() && it->second > ballot;
}

std::optional<StateDelta> ChangeHistory::since(Ballot have, ReplicatedState const& now) const {
  // Founding values (ballot 0) come from settings, and may differ between members.
  bool const is_known = have != Ballot(0) && !ballots_.empty() && ballots_.back() == now.ballot &&
                        std::binary_search(ballots_.begin(), ballots_.end(), have);
  if (!is_known || !are_items_sorted(now.items)) return std::nullopt;
  StateDelta delta;
  delta.base = have;
  delta.ballot = now.ballot;
  delta.epoch = now.epoch;
  delta.open = now.open;
  delta.to_fix = now.to_fix;
  delta.largest_membership = now.largest_membership;
  add_changed_lists(delta, now);
  add_changed_items(delta, now);
  for (DrainUnit const& unit : now.units)
    if (has_changed_after(have, drain_unit_row_key(unit))) delta.units.push_back(unit);
  return delta;
}

void ChangeHistory::add_changed_lists(StateDelta& delta, ReplicatedState const& now) const {
  auto const has_changed = [&](RowKind kind) { return has_changed_after(delta.base, list_part(kind)); };
  delta.evacuations_set = has_changed(RowKind::evacuation);
  if (delta.evacuations_set) delta.evacuations = now.evacuations;
  delta.membership_set = has_changed(RowKind::member) || has_changed(RowKind::retired_member);
  if (delta.membership_set) {
    delta.membership = now.membership;
    delta.retired = now.retired;
  }
  delta.previous_membership_set = has_changed(RowKind::previous_member);
  if (delta.previous_membership_set) delta.previous_membership = now.previous_membership;
  delta.duties_set = has_changed(RowKind::lease);
  if (delta.duties_set) delta.duties = now.duties;
  delta.fixed_set = has_changed(RowKind::frozen_report);
  if (delta.fixed_set) delta.fixed = now.fixed;
  delta.passes_set = has_changed(RowKind::drain_run);
  if (delta.passes_set) delta.passes = now.passes;
}

void ChangeHistory::add_changed_items(StateDelta& delta, ReplicatedState const& now) const {
  for (auto const& [part, changed_at] : last_change_) {
    if (changed_at <= delta.base || kind_of(part) != RowKind::item) continue;
    std::string_view const key = std::string_view(part).substr(kRowPrefixLength);
    auto const it = std::lower_bound(now.items.begin(), now.items.end(), key,
                                     [](ConfigItem const& item, std::string_view k) { return item.key < k; });
    if (it != now.items.end() && it->key == key) delta.items.push_back(*it);
  }
}

}  // namespace dockbend
