#include "consensus/acceptor.hpp"

namespace dockbend {

Acceptor::Step Acceptor::prepare(Prep const& p, PrepR& r) {
  check_ballot(p.bal);
  r.bal = p.bal;
  r.life = life_;
  if (p.life != life_) return {};  // meant for another disk: no vote, and no news of ours either
  if (p.bal <= promised_) {
    r.promised = promised_;
    return {};
  }
  promised_ = p.bal;
  r.ok = true;
  r.promised = promised_;
  if (st_) {
    r.accepted = st_->bal;
    if (st_->bal > p.have) {
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

Acceptor::Step Acceptor::accept(Acc const& a, AccR& r) {
  check_ballot(a.bal);
  r.bal = a.bal;
  r.life = life_;
  if (a.life != life_) return {};
  r.promised = promised_;
  if (st_) r.have = st_->bal;
  if (a.bal < promised_) return {};
  if (st_ && st_->bal == a.bal) {  // a repeat of what stands
    r.ok = true;
    return {true, {}};
  }
  if (st_ && st_->bal > a.bal) return {};
  RowDiff d;
  if (!a.state.empty()) {
    State next = read_state(a.state);
    if (next.bal != a.bal) throw codec::Malformed("a value under another ballot");
    d = rows_between(st_ ? &*st_ : nullptr, next);
    st_ = std::move(next);
  } else {
    Delta const delta = read_delta(a.delta);
    if (delta.bal != a.bal) throw codec::Malformed("a value under another ballot");
    std::optional<RowDiff> by;
    if (st_) by = apply_rows(*st_, delta);
    if (!by) {
      r.want_full = true;
      return {};
    }
    d = std::move(*by);
  }
  promised_ = a.bal;
  r.ok = true;
  r.promised = promised_;
  return take(std::move(d));
}

Acceptor::Step Acceptor::learn(State const& s) {
  if (st_ && st_->bal >= s.bal) return {};
  // A majority holds s, so no lower ballot can still win; our promise only rises.
  RowDiff d = rows_between(st_ ? &*st_ : nullptr, s);
  st_ = s;
  promised_ = std::max(promised_, s.bal);
  return take(std::move(d));
}

Acceptor::Step Acceptor::take(RowDiff d) {
  move_sum(d.sum);
  changes_.moved(d.rows, *st_);
  return {true, std::move(d.rows)};
}

Head Acceptor::head() const {
  Head h;
  h.life = life_;
  h.promised = promised_;
  h.has = st_.has_value();
  if (st_) {
    h.bal = st_->bal;
    h.epoch = st_->epoch;
    h.open = st_->open;
    h.to_fix = st_->to_fix;
    h.widest = st_->widest;
  }
  h.sum = sum_.sum;
  h.count = sum_.count;
  return h;
}

}  // namespace dockbend
