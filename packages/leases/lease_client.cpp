#include "leases/lease_client.hpp"

#include <algorithm>

namespace dockbend {

Duty::Duty(std::string duty, std::string node, std::string ip, DutyPlan p, Secs now)
    : duty_(std::move(duty)),
      node_(std::move(node)),
      ip_(std::move(ip)),
      p_(p),
      term_at_(now),
      born_(now),
      wait_(0.3 * random01()) {
  p_.margin = std::min(p_.margin, 0.2 * p_.lease);
  p_.renew = std::min(p_.renew, p_.lease / 3);
}

void Duty::seen(Term const* t, Secs now) {
  if (t == nullptr) return;
  if (t->fence < term_.fence || (t->fence == term_.fence && t->counter < term_.counter)) return;  // old news
  if (t->fence != term_.fence || t->counter != term_.counter || t->next != term_.next) {
    term_ = *t;
    term_at_ = now;
    wait_ = 0.3 * random01();
  }
  if (held_ && (term_.fence != fence_ || term_.holder != node_)) {
    held_ = false;
    handing_ = false;
    left_ = now;
  } else if (held_ && handing_ && !term_.next.empty()) {  // handed over, though the register's answer was lost
    held_ = handing_ = false;
    handed_ = true;
    left_ = now;
  }
}

Duty::Move Duty::step(Secs now, bool fit) {
  if (asking_) return Move::none;
  if (held_) {
    if (handing_) return handed_ || now - asked_ < 0.2 ? Move::none : Move::hand;
    // Without a renewal for a whole term others may take over; it stays the holder
    // of record until they do.
    return now - renewed_ >= p_.renew && now - asked_ >= 0.2 ? Move::renew : Move::none;
  }
  if (!fit || now - asked_ < 0.3) return Move::none;
  if (term_.fence == 0) return now - term_at_ >= wait_ ? Move::take : Move::none;
  // Ours by record, but not by anything this life knows: it goes on under its fence.
  if (term_.holder == node_ && term_.next.empty()) return Move::renew;
  if (term_.next == node_ && free(now)) return Move::take;
  if (free(now) && now - term_at_ >= still() + wait_) return Move::take;
  return Move::none;
}

Duty::Ask Duty::ask(Move m, Secs now) {
  asking_ = true;
  asked_ = now;
  Ask a;
  a.move = m;
  a.fence = term_.fence;
  a.counter = term_.counter;
  a.at = now;
  a.next = next_;
  first_ = m == Move::take && term_.fence == 0;
  return a;
}

bool Duty::apply(State& s, Ask const& a) const {
  Term* t = nullptr;
  for (Term& x : s.duties)
    if (x.duty == duty_) t = &x;
  if (t == nullptr) {
    if (a.move != Move::take || a.fence != 0) return false;
    s.duties.emplace_back();
    t = &s.duties.back();
    t->duty = duty_;
  }
  if (t->fence != a.fence || t->counter != a.counter) return false;
  switch (a.move) {
    case Move::take:
      t->holder = node_;
      t->ip = ip_;
      t->next.clear();
      ++t->fence;
      t->counter = 0;
      return true;
    case Move::renew:
    case Move::hand:
      if (t->holder != node_ || !t->next.empty()) return false;
      ++t->counter;
      if (a.move == Move::hand) t->next = a.next;
      return true;
    case Move::none: break;
  }
  return false;
}

void Duty::answered(Ask const& a, bool stood, Secs now) {
  asking_ = false;
  if (!stood) return;
  switch (a.move) {
    case Move::take:
    case Move::renew:
      if (!held_) {
        held_ = true;
        handing_ = handed_ = false;
        held_since_ = now;
        fence_ = a.move == Move::take ? a.fence + 1 : a.fence;
      }
      renewed_ = a.at;
      until_ = a.at + p_.lease - p_.margin;
      break;
    case Move::hand:
      handed_ = true;
      held_ = handing_ = false;
      left_ = now;
      break;
    case Move::none: break;
  }
}

bool Duty::hand_over(std::string const& next) {
  if (!held_ || handing_) return false;
  handing_ = true;
  next_ = next;
  return true;
}

bool Duty::may_act(Secs now, Secs need) const {
  if (!held_ || handing_ || now + need > until_) return false;
  // A former life, or a former term of this one, may have acted a moment ago.
  bool const fresh = fence_ == 1 && first_;
  return fresh || free(now);
}

}  // namespace dockbend
