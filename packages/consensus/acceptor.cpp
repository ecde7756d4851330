#include "consensus/acceptor.hpp"

namespace dockbend {
namespace {
void check_same_ballot(Ballot of_value, Ballot of_request) {
  if (of_value != of_request) throw codec::MalformedMessage("a value under another ballot");
}
}  // namespace

Acceptor::Acceptor(Incarnation incarnation, Ballot promised, std::optional<ReplicatedState> state)
    : incarnation_(incarnation), promised_(promised), state_(std::move(state)) {
  if (!state_) return;
  add_to_checksum(rows_between(nullptr, *state_).checksum);
  changes_.record({}, *state_);
}

void Acceptor::add_to_checksum(RowChecksum difference) {
  checksum_.sum += difference.sum;
  checksum_.count += difference.count;
}

std::optional<StateDelta> Acceptor::changes_since(Ballot have) const {
  return state_ ? changes_.since(have, *state_) : std::nullopt;
}

Acceptor::PendingWrite Acceptor::prepare(PrepareRequest const& request, PrepareResponse& response) {
  check_ballot(request.ballot);
  response.ballot = request.ballot;
  response.incarnation = incarnation_;
  if (request.incarnation != incarnation_) return {};  // for another disk: no vote, and nothing said of this one
  if (request.ballot <= promised_) {
    response.promised = promised_;
    return {};
  }
  promised_ = request.ballot;
  response.is_promised = true;
  response.promised = promised_;
  if (!state_) return {true, {}};
  response.accepted = state_->ballot;
  if (state_->ballot <= request.have) return {true, {}};
  if (auto const delta = changes_since(request.have)) {
    response.delta = codec::pack(*delta);
  } else {
    response.has_complete_state = true;
    response.state = codec::pack(*state_);
  }
  return {true, {}};
}

Acceptor::PendingWrite Acceptor::accept(AcceptRequest const& request, AcceptResponse& response) {
  check_ballot(request.ballot);
  response.ballot = request.ballot;
  response.incarnation = incarnation_;
  if (request.incarnation != incarnation_) return {};
  response.promised = promised_;
  if (state_) response.have = state_->ballot;
  if (request.ballot < promised_) return {};
  if (state_ && state_->ballot == request.ballot) {  // the same request again
    response.is_accepted = true;
    return {true, {}};
  }
  if (state_ && state_->ballot > request.ballot) return {};
  std::optional<RowDiff> diff = replace_state(request);
  if (!diff) {
    response.needs_complete_state = true;
    return {};
  }
  promised_ = request.ballot;
  response.is_accepted = true;
  response.promised = promised_;
  return record_change(std::move(*diff));
}

std::optional<RowDiff> Acceptor::replace_state(AcceptRequest const& request) {
  if (request.state.empty()) {
    StateDelta const delta = read_delta(request.delta);
    check_same_ballot(delta.ballot, request.ballot);
    return state_ ? apply_rows(*state_, delta) : std::nullopt;
  }
  ReplicatedState next = read_state(request.state);
  check_same_ballot(next.ballot, request.ballot);
  RowDiff diff = rows_between(state_ ? &*state_ : nullptr, next);
  state_ = std::move(next);
  return diff;
}

Acceptor::PendingWrite Acceptor::learn(ReplicatedState const& committed) {
  if (state_ && state_->ballot >= committed.ballot) return {};
  RowDiff diff = rows_between(state_ ? &*state_ : nullptr, committed);
  state_ = committed;
  // A majority holds this value, so no lower ballot can be committed any more; the promise only rises.
  promised_ = std::max(promised_, committed.ballot);
  return record_change(std::move(diff));
}

Acceptor::PendingWrite Acceptor::record_change(RowDiff diff) {
  add_to_checksum(diff.checksum);
  changes_.record(diff.rows, *state_);
  return {true, std::move(diff.rows)};
}

VoteHeader Acceptor::vote_header() const {
  VoteHeader header;
  header.incarnation = incarnation_;
  header.promised = promised_;
  header.has_value = state_.has_value();
  if (state_) {
    header.ballot = state_->ballot;
    header.epoch = state_->epoch;
    header.open = state_->open;
    header.to_fix = state_->to_fix;
    header.largest_membership = state_->largest_membership;
  }
  header.sum = checksum_.sum;
  header.count = checksum_.count;
  return header;
}

}  // namespace dockbend
