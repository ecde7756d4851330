// One disk's vote. No I/O: every step hands out what must be on disk before the
// reply may leave.
#pragma once
#include "consensus/change_history.hpp"

namespace dockbend {

// Invariants: promised >= accepted.bal; both only grow within one life. A reply
// leaves only after the pair it speaks of is on disk. A vote counts only for the
// life that the asker named. sum is that of the rows of state().
class Acceptor {
 public:
  Acceptor(Incarnation incarnation, Ballot promised, std::optional<ReplicatedState> st)
      : incarnation_(incarnation), promised_(promised), st_(std::move(st)) {
    if (!st_) return;
    move_sum(rows_between(nullptr, *st_).sum);
    changes_.moved({}, *st_);
  }

  struct PendingWrite {
    bool write = false;          // persist head() and `rows` before replying
    std::vector<StateRow> rows;  // by which state() differs from what it was
    operator bool() const { return write; }
  };
  PendingWrite prepare(PrepareRequest const& p, PrepareResponse& r);
  PendingWrite accept(AcceptRequest const& a, AcceptResponse& r);

  Incarnation incarnation() const { return incarnation_; }
  Ballot promised() const { return promised_; }
  std::optional<ReplicatedState> const& state() const { return st_; }
  // Takes a value known to be committed (a majority holds it); a write if it is news.
  PendingWrite learn(ReplicatedState const& s);
  // What stands beside the rows on disk; its seq is the writer's.
  VoteHeader head() const;
  RowChecksum sum() const { return sum_; }
  // From the value of `have` to state(), if that value was held here.
  std::optional<StateDelta> since(Ballot have) const { return st_ ? changes_.since(have, *st_) : std::nullopt; }

 private:
  void move_sum(RowChecksum by) {
    sum_.sum += by.sum;
    sum_.count += by.count;
  }
  PendingWrite take(RowDiff d);

  Incarnation incarnation_;
  Ballot promised_;
  std::optional<ReplicatedState> st_;
  RowChecksum sum_;
  ChangeHistory changes_;
};

}  // namespace dockbend
