// One disk's vote. No I/O: every step hands out what must be on disk before the
// reply may leave.
#pragma once
#include "register/state.hpp"

namespace dockbend {

// Invariants: promised >= accepted.bal; both only grow within one life. A reply
// leaves only after the pair it speaks of is on disk. A vote counts only for the
// life that the asker named.
class Acceptor {
 public:
  Acceptor(Life life, Ballot promised, std::optional<State> st) : life_(life), promised_(promised), st_(std::move(st)) {}

  struct Step {
    bool write = false;  // persist promised() and state() before replying
  };
  Step prepare(Prep const& p, PrepR& r);
  Step accept(Acc const& a, AccR& r);

  Life life() const { return life_; }
  Ballot promised() const { return promised_; }
  std::optional<State> const& state() const { return st_; }
  // Takes a value known to be committed (a majority holds it); true if it is news.
  bool learn(State const& s);

 private:
  Life life_;
  Ballot promised_;
  std::optional<State> st_;
};

}  // namespace dockbend
