#include "leases/lease_client.hpp"

#include <algorithm>

namespace dockbend {

LeaseClient::LeaseClient(std::string duty, std::string node, std::string ip, LeaseOptions p, Seconds now)
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

void LeaseClient::seen(Lease const* t, Seconds now) {
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

LeaseClient::Action LeaseClient::step(Seconds now, bool fit) {
  if (asking_) return Action::none;
  if (held_) {
    if (handing_) return handed_ || now - asked_ < 0.2 ? Action::none : Action::hand;
    // Without a renewal for a whole term others may take over; it stays the holder
    // of record until they do.
    return now - renewed_ >= p_.renew && now - asked_ >= 0.2 ? Action::renew : Action::none;
  }
  if (!fit || now - asked_ < 0.3) return Action::none;
  if (term_.fence == 0) return now - term_at_ >= wait_ ? Action::take : Action::none;
  // Ours by record, but not by anything this life knows: it goes on under its fence.
  if (term_.holder == node_ && term_.next.empty()) return Action::renew;
  if (term_.next == node_ && free(now)) return Action::take;
  if (free(now) && now - term_at_ >= still() + wait_) return Action::take;
  return Action::none;
}

LeaseClient::Proposal LeaseClient::ask(Action m, Seconds now) {
  asking_ = true;
  asked_ = now;
  Proposal a;
  a.move = m;
  a.fence = term_.fence;
  a.counter = term_.counter;
  a.at = now;
  a.next = next_;
  first_ = m == Action::take && term_.fence == 0;
  return a;
}

bool LeaseClient::apply(ReplicatedState& s, Proposal const& a) const {
  Lease* t = nullptr;
  for (Lease& x : s.duties)
    if (x.duty == duty_) t = &x;
  if (t == nullptr) {
    if (a.move != Action::take || a.fence != 0) return false;
    s.duties.emplace_back();
    t = &s.duties.back();
    t->duty = duty_;
  }
  if (t->fence != a.fence || t->counter != a.counter) return false;
  switch (a.move) {
    case Action::take:
      t->holder = node_;
      t->ip = ip_;
      t->next.clear();
      ++t->fence;
      t->counter = 0;
      return true;
    case Action::renew:
    case Action::hand:
      if (t->holder != node_ || !t->next.empty()) return false;
      ++t->counter;
      if (a.move == Action::hand) t->next = a.next;
      return true;
    case Action::none: break;
  }
  return false;
}

void LeaseClient::answered(Proposal const& a, bool stood, Seconds now) {
  asking_ = false;
  if (!stood) return;
  switch (a.move) {
    case Action::take:
    case Action::renew:
      if (!held_) {
        held_ = true;
        handing_ = handed_ = false;
        held_since_ = now;
        fence_ = a.move == Action::take ? a.fence + 1 : a.fence;
      }
      renewed_ = a.at;
      until_ = a.at + p_.lease - p_.margin;
      break;
    case Action::hand:
      handed_ = true;
      held_ = handing_ = false;
      left_ = now;
      break;
    case Action::none: break;
  }
}

bool LeaseClient::hand_over(std::string const& next) {
  if (!held_ || handing_) return false;
  handing_ = true;
  next_ = next;
  return true;
}

bool LeaseClient::may_act(Seconds now, Seconds need) const {
  if (!held_ || handing_ || now + need > until_) return false;
  // A former life, or a former term of this one, may have acted a moment ago.
  bool const fresh = fence_ == 1 && first_;
  return fresh || free(now);
}

}  // namespace dockbend
