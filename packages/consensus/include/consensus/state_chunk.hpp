// A whole value in pieces of bounded size, for who has no base: they go on after a cut, from
// any member, and while changes go on. No I/O.
#pragma once
#include <functional>

#include "consensus/state_rows.hpp"

namespace dockbend {

// Invariants: part has every short list of the value of part.bal, and of its items those after
// `after` up to `upto`, and besides those up to `after` that changed since the value of `base`.
// base 0: nothing that came before counts, and after is empty.
struct StateChunk {
  DB_RECORD(StateChunk, (Ballot, base), (std::string, after), (std::string, upto), (bool, last), (u64, sum),
            (u64, count), (ReplicatedState, part));
};

// What comes next for who has the items up to `after` of the value of `have`.
StateChunk piece_of(ReplicatedState const& s, RowChecksum sum, Ballot have, std::string const& after,
                    std::function<std::optional<StateDelta>(Ballot)> const& since, std::size_t most);

// Who gathers them. Invariant: items_ are those up to after_ of the value of have_.
class ChunkAssembler {
 public:
  Ballot have() const { return have_; }
  std::string const& after() const { return after_; }
  struct Took {
    bool used = false;                     // it was the next one; ask on
    std::optional<ReplicatedState> whole;  // once all are there and the rows add up; else it begins anew
  };
  Took take(StateChunk const& p);

 private:
  Ballot have_;
  std::string after_;
  std::map<std::string, ConfigItem> items_;
};

}  // namespace dockbend
