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
/// The answer. A promise (`ok`) carries the acceptor's value if it is newer than the proposer's: as a delta from
/// `have`, or complete in `state` if `full`.
struct PrepareResponse {
  DB_RECORD(PrepareResponse, (bool, ok), (Ballot, ballot), (Ballot, promised), (Ballot, accepted), (bool, full),
            (std::string, state), (Incarnation, incarnation), (std::string, delta));
};
/// Phase 2: asks the disk of that incarnation to accept the value of `ballot`, as a delta or complete in `state`.
struct AcceptRequest {
  DB_RECORD(AcceptRequest, (Ballot, ballot), (Incarnation, incarnation), (std::string, delta), (std::string, state));
};
/// The answer. `want_full`: the delta does not apply to the value of `have` that this disk holds.
struct AcceptResponse {
  DB_RECORD(AcceptResponse, (bool, ok), (Ballot, ballot), (Ballot, promised), (bool, want_full),
            (Incarnation, incarnation), (Ballot, have));
};
/// Says that the value of `ballot` is committed, as a delta or complete.
struct CommitNotice {
  DB_RECORD(CommitNotice, (Ballot, ballot), (std::string, delta), (std::string, state));
};
/// Asks for what the sender lacks. `have`: its newest value, committed or not; `won`: the newest that it knows to be
/// committed; `part`, `after`: of the value of `part` the items up to key `after` have arrived in chunks.
struct CatchUpRequest {
  DB_RECORD(CatchUpRequest, (Ballot, have), (Ballot, won), (Ballot, part), (std::string, after));
};

}  // namespace dockbend
