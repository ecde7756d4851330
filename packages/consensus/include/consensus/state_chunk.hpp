/// A complete value in chunks of bounded size, for a member without a base value. The transfer continues after a
/// disconnect, from any member, and while the value changes. No I/O.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "consensus/state_rows.hpp"

namespace dockbend {

/// One chunk.
///
/// Invariants: `part` has every short list of the value of part.ballot and, of its items, those with keys after
/// `after` up to `upto`, and also those up to `after` that changed since the value of `base`. base 0: nothing that
/// came before counts, and `after` is empty. `sum` and `count` are the checksum of the complete value's rows.
struct StateChunk {
  DB_RECORD(StateChunk, (Ballot, base), (std::string, after), (std::string, upto), (bool, last), (u64, sum),
            (u64, count), (ReplicatedState, part));
};

/// What leads from the value of a ballot to the sender's value, if the sender knows.
using ChangesSince = std::function<std::optional<StateDelta>(Ballot)>;

/// The next chunk for a receiver that has the items up to key `after` of the value of `have`. most_bytes: an estimate
/// of its items' size; the item that reaches it is the last.
StateChunk next_chunk(ReplicatedState const& state, RowChecksum checksum, Ballot have, std::string const& after,
                      ChangesSince const& changes_since, std::size_t most_bytes);

/// Receives chunks. Invariant: items_ are the items up to key after_ of the value of have_.
class ChunkAssembler {
 public:
  Ballot have() const { return have_; }
  std::string const& after() const { return after_; }
  /// What became of a chunk.
  struct Result {
    bool is_used = false;  ///< it was the next chunk; ask for another
    /// Set once all chunks are here and the rows have the checksum; if they do not, the transfer begins again.
    std::optional<ReplicatedState> complete;
  };
  Result take(StateChunk const& chunk);

 private:
  bool is_next(StateChunk const& chunk) const;
  std::optional<ReplicatedState> finish(StateChunk const& last);

  Ballot have_;
  std::string after_;
  std::map<std::string, ConfigItem> items_;
};

}  // namespace dockbend
