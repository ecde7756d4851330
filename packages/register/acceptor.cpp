#include "register/acceptor.hpp"

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
      r.full = true;
      r.state = codec::pack(*st_);
    }
  }
  return {true};
}

Acceptor::Step Acceptor::accept(Acc const& a, AccR& r) {
  check_ballot(a.bal);
  r.bal = a.bal;
  r.life = life_;
  if (a.life != life_) return {};
  r.promised = promised_;
  if (a.bal < promised_) return {};
  if (st_ && st_->bal == a.bal) {  // a repeat of what stands
    r.ok = true;
    return {true};
  }
  if (st_ && st_->bal > a.bal) return {};
  State next;
  if (!a.state.empty()) {
    next = read_state(a.state);
  } else {
    if (!st_) {
      r.want_full = true;
      return {};
    }
    next = *st_;
    if (!apply(next, read_delta(a.delta))) {
      r.want_full = true;
      return {};
    }
  }
  if (next.bal != a.bal) throw codec::Malformed("a value under another ballot");
  promised_ = a.bal;
  st_ = std::move(next);
  r.ok = true;
  r.promised = promised_;
  return {true};
}

bool Acceptor::learn(State const& s) {
  if (st_ && st_->bal >= s.bal) return false;
  // A majority holds s, so no lower ballot can still win; our promise only rises.
  st_ = s;
  promised_ = std::max(promised_, s.bal);
  return true;
}

}  // namespace dockbend
