#include "consensus/acceptor.hpp"

namespace dockbend {

Acceptor::PendingWrite Acceptor::prepare(PrepareRequest const& p, PrepareResponse& r) {
  check_ballot(p.ballot);
  r.ballot = p.ballot;
  r.incarnation = incarnation_;
  if (p.incarnation != incarnation_) return {};  // meant for another disk: no vote, and no news of ours either
  if (p.ballot <= promised_) {
    r.promised = promised_;
    return {};
  }
  promised_ = p.ballot;
  r.ok = true;
  r.promised = promised_;
  if (st_) {
    r.accepted = st_->ballot;
    if (st_->ballot > p.have) {
      if (auto const d = since(p.have)) {
        r.delta = codec::pack(*d);
      } else {
        r.full = true;
        r.state = codec::pack(*st_);
      }
    }
  }
  return {true, {}};
}

Acceptor::PendingWrite Acceptor::accept(AcceptRequest const& a, AcceptResponse& r) {
  check_ballot(a.ballot);
  r.ballot = a.ballot;
  r.incarnation = incarnation_;
  if (a.incarnation != incarnation_) return {};
  r.promised = promised_;
  if (st_) r.have = st_->ballot;
  if (a.ballot < promised_) return {};
  if (st_ && st_->ballot == a.ballot) {  // a repeat of what stands
    r.ok = true;
    return {true, {}};
  }
  if (st_ && st_->ballot > a.ballot) return {};
  RowDiff d;
  if (!a.state.empty()) {
    ReplicatedState next = read_state(a.state);
    if (next.ballot != a.ballot) throw codec::MalformedMessage("a value under another ballot");
    d = rows_between(st_ ? &*st_ : nullptr, next);
    st_ = std::move(next);
  } else {
    StateDelta const delta = read_delta(a.delta);
    if (delta.ballot != a.ballot) throw codec::MalformedMessage("a value under another ballot");
    std::optional<RowDiff> by;
    if (st_) by = apply_rows(*st_, delta);
    if (!by) {
      r.want_full = true;
      return {};
    }
    d = std::move(*by);
  }
  promised_ = a.ballot;
  r.ok = true;
  r.promised = promised_;
  return take(std::move(d));
}

Acceptor::PendingWrite Acceptor::learn(ReplicatedState const& s) {
  if (st_ && st_->ballot >= s.ballot) return {};
  // A majority holds s, so no lower ballot can still win; our promise only rises.
  RowDiff d = rows_between(st_ ? &*st_ : nullptr, s);
  st_ = s;
  promised_ = std::max(promised_, s.ballot);
  return take(std::move(d));
}

Acceptor::PendingWrite Acceptor::take(RowDiff d) {
  move_sum(d.sum);
  changes_.moved(d.rows, *st_);
  return {true, std::move(d.rows)};
}

VoteHeader Acceptor::head() const {
  VoteHeader h;
  h.incarnation = incarnation_;
  h.promised = promised_;
  h.has = st_.has_value();
  if (st_) {
    h.ballot = st_->ballot;
    h.epoch = st_->epoch;
    h.open = st_->open;
    h.to_fix = st_->to_fix;
    h.largest_membership = st_->largest_membership;
  }
  h.sum = sum_.sum;
  h.count = sum_.count;
  return h;
}

}  // namespace dockbend
