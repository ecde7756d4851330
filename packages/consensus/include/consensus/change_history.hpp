/// Which ballot last changed what, so that a member with an older value is sent just what it lacks.
#pragma once
#include <deque>
#include <string>
#include <unordered_map>

#include "consensus/state_rows.hpp"

namespace dockbend {

/// The recent changes of one disk's value.
///
/// Invariants:
/// - ballots_ are the ballots whose values this disk has held, in their order, the newest last;
/// - last_change_ names, for every part that differs from the value of ballots_.front(), the last of these ballots
///   that changed it.
/// A ballot has one value. The parts changed after ballot B therefore lead from B's value to the newest, whatever
/// values were in between.
class ChangeHistory {
 public:
  /// The value `now` was made from the one before it by these rows.
  void record(std::vector<StateRow> const& rows, ReplicatedState const& now);
  /// What leads from the value of `have` to `now`; none if that value was not held here, or too long ago.
  std::optional<StateDelta> since(Ballot have, ReplicatedState const& now) const;

 private:
  /// So many ballots are kept at least, and twice as many at most.
  static std::size_t constexpr kKeptBallots = 4096;
  bool has_changed_after(Ballot ballot, std::string const& part) const;
  void add_changed_lists(StateDelta& delta, ReplicatedState const& now) const;
  void add_changed_items(StateDelta& delta, ReplicatedState const& now) const;
  void forget_old_ballots();

  std::deque<Ballot> ballots_;
  std::unordered_map<std::string, Ballot> last_change_;  // by part: a row's key, or the kind of a short list
};

}  // namespace dockbend
