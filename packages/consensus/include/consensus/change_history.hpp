// Which ballot last changed what, so that who has an older value is sent just what it lacks.
#pragma once
#include <deque>
#include <unordered_map>

#include "consensus/state_rows.hpp"

namespace dockbend {

// Invariants: line_ has ballots whose values this disk once held, in their order, the newest
// last; at_ names for every row that is not as it was under line_.front() the last of them
// that moved it. So the rows moved after `have` lead from have's value to the newest, by
// whatever way the values went: a ballot has one value.
class ChangeHistory {
 public:
  // The value of bal came of the one before by these rows.
  void moved(std::vector<StateRow> const& rows, ReplicatedState const& now);
  // None: have's value was not held here, or is too long ago.
  std::optional<StateDelta> since(Ballot have, ReplicatedState const& now) const;

 private:
  static std::size_t constexpr most = 4096;
  std::deque<Ballot> line_;
  std::unordered_map<std::string, Ballot> at_;  // by row; lists that travel whole by their kind
};

}  // namespace dockbend
