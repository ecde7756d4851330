/// The messages of a consensus round, of commits and of catching up. Field order and types are the wire format.
#pragma once
#include <string>

#include "base/record.hpp"
#include "base/types.hpp"

namespace dockbend {

/// Phase 1: asks the disk of that incarnation to promise `ballot`. `have`: the ballot of the proposer's own value.
struct PrepareRequest {
  DB_RECORD(PrepareRequest, (Ballot, ballot), (Ballot, have), (Incarnation, incarnation));
};
/// The answer. A promise (`is_promised`) carries the acceptor's value if it is newer than the proposer's: as a delta
/// from `have`, or complete in `state` if `has_complete_state`.
struct PrepareResponse {
  DB_RECORD(PrepareResponse, (bool, is_promised), (Ballot, ballot), (Ballot, promised), (Ballot, accepted),
            (bool, has_complete_state), (std::string, state), (Incarnation, incarnation), (std::string, delta));
};
/// Phase 2: asks the disk of that incarnation to accept the value of `ballot`, as a delta or complete in `state`.
struct AcceptRequest {
  DB_RECORD(AcceptRequest, (Ballot, ballot), (Incarnation, incarnation), (std::string, delta), (std::string, state));
};
/// The answer. `needs_complete_state`: the delta does not apply to the value of `have` that this disk holds.
struct AcceptResponse {
  DB_RECORD(AcceptResponse, (bool, is_accepted), (Ballot, ballot), (Ballot, promised), (bool, needs_complete_state),
            (Incarnation, incarnation), (Ballot, have));
};
/// Says that the value of `ballot` is committed, as a delta or complete.
struct CommitNotice {
  DB_RECORD(CommitNotice, (Ballot, ballot), (std::string, delta), (std::string, state));
};
/// Asks for what the sender lacks. `have`: its newest value, committed or not; `committed`: the newest that it knows to
/// be committed; `chunk_ballot`, `chunk_after`: of the value of `chunk_ballot` the items up to key `chunk_after` have
/// arrived in chunks.
struct CatchUpRequest {
  DB_RECORD(CatchUpRequest, (Ballot, have), (Ballot, committed), (Ballot, chunk_ballot), (std::string, chunk_after));
};

}  // namespace dockbend
