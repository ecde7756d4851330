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
  Acceptor(Life life, Ballot promised, std::optional<State> st) : life_(life), promised_(promised), st_(std::move(st)) {
    if (!st_) return;
    move_sum(rows_between(nullptr, *st_).sum);
    changes_.moved({}, *st_);
  }

  struct Step {
    bool write = false;          // persist head() and `rows` before replying
    std::vector<ValueRow> rows;  // by which state() differs from what it was
    operator bool() const { return write; }
  };
  Step prepare(Prep const& p, PrepR& r);
  Step accept(Acc const& a, AccR& r);

  Life life() const { return life_; }
  Ballot promised() const { return promised_; }
  std::optional<State> const& state() const { return st_; }
  // Takes a value known to be committed (a majority holds it); a write if it is news.
  Step learn(State const& s);
  // What stands beside the rows on disk; its seq is the writer's.
  Head head() const;
  RowSum sum() const { return sum_; }
  // From the value of `have` to state(), if that value was held here.
  std::optional<Delta> since(Ballot have) const { return st_ ? changes_.since(have, *st_) : std::nullopt; }

 private:
  void move_sum(RowSum by) {
    sum_.sum += by.sum;
    sum_.count += by.count;
  }
  Step take(RowDiff d);

  Life life_;
  Ballot promised_;
  std::optional<State> st_;
  RowSum sum_;
  Changes changes_;
};

}  // namespace dockbend
