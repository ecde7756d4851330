/// One disk's vote in consensus rounds. No I/O: every step returns what must be on disk before its answer may be sent.
#pragma once
#include <optional>
#include <vector>

#include "consensus/change_history.hpp"
#include "consensus/messages.hpp"

namespace dockbend {

/// Invariants:
/// - an acceptor never accepts a ballot lower than one it promised: promised_ >= the ballot of state();
/// - both ballots only rise within one incarnation;
/// - an answer is sent only after the promise and the value that it speaks of are on disk;
/// - a vote counts only for the incarnation that the request named;
/// - checksum_ is that of the rows of state().
class Acceptor {
 public:
  /// state: the value on this disk, if there is one.
  Acceptor(Incarnation incarnation, Ballot promised, std::optional<ReplicatedState> state);

  /// What a step changed.
  struct PendingWrite {
    bool is_needed = false;      ///< vote_header() and `rows` must be on disk before the answer is sent
    std::vector<StateRow> rows;  ///< by which state() differs from what it was
  };
  /// Phase 1; fills the response. Throws codec::MalformedMessage for a ballot that no round can have.
  PendingWrite prepare(PrepareRequest const& request, PrepareResponse& response);
  /// Phase 2; fills the response. Throws codec::MalformedMessage for a value that can't be read.
  PendingWrite accept(AcceptRequest const& request, AcceptResponse& response);
  /// Takes a value that is known to be committed; no write if it is not newer.
  PendingWrite learn(ReplicatedState const& committed);

  Incarnation incarnation() const { return incarnation_; }
  Ballot promised() const { return promised_; }
  std::optional<ReplicatedState> const& state() const { return state_; }
  /// What is stored beside the rows; its `seq` is filled in by the writer.
  VoteHeader vote_header() const;
  RowChecksum checksum() const { return checksum_; }
  /// What leads from the value of `have` to state(), if this disk held that value.
  std::optional<StateDelta> changes_since(Ballot have) const;

 private:
  void add_to_checksum(RowChecksum difference);
  /// Makes the request's value the state. None if the request has a delta that does not apply to state().
  std::optional<RowDiff> replace_state(AcceptRequest const& request);
  PendingWrite record_change(RowDiff diff);

  Incarnation incarnation_;
  Ballot promised_;
  std::optional<ReplicatedState> state_;
  RowChecksum checksum_;
  ChangeHistory changes_;
};

}  // namespace dockbend
