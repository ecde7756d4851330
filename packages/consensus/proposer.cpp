#include "consensus/proposer.hpp"

#include <algorithm>
#include <cstdio>

namespace dockbend {
namespace {
std::string id_of(std::string const& ip, Incarnation l) {
  return ip + "/" + std::to_string(l.v);
}
std::string id_of(Member const& m) {
  return id_of(m.ip, m.incarnation);
}
u64 ip_num(std::string const& ip) {
  unsigned a = 0, b = 0, c = 0, d = 0;
  std::sscanf(ip.c_str(), "%u.%u.%u.%u", &a, &b, &c, &d);
  return static_cast<u64>(a) << 24 | b << 16 | c << 8 | d;
}
// Does a majority of who decides about s say so? alone: its step is known to be won.
bool has_quorum(ReplicatedState const& s, std::set<std::string> const& who, bool alone) {
  auto said = [&](Member const& m) { return who.count(id_of(m)) > 0; };
  if (!alone) return s.stands(said);
  return static_cast<std::size_t>(std::count_if(s.membership.begin(), s.membership.end(), said)) >= s.majority();
}
}  // namespace

Proposer::Proposer(std::string const& my_ip, Leads leads) : node_(ip_num(my_ip)), leads_(std::move(leads)) {}

std::vector<Proposer::Out> Proposer::begin(ReplicatedState const& best, Change change, Seconds now,
                                           std::optional<Epoch> known) {
  best_ = best;
  known_ = known;
  first_.reset();
  change_ = std::move(change);
  saw(best.ballot);
  bal_ = Ballot(++counter_ << 32 | node_);
  phase_ = Phase::preparing;
  done_ = won_ = false;
  since_ = now;
  asked_.clear();
  promised_.clear();
  accepted_.clear();
  return ask_for_promises();
}

std::vector<Proposer::Out> Proposer::ask_for_promises() {
  std::vector<Out> out;
  for (auto const* l : {&best_.membership, &best_.previous_membership}) {
    if (l == &best_.previous_membership && settled()) break;
    for (Member const& m : *l) {
      if (!asked_.insert(id_of(m)).second) continue;
      Out o;
      o.ip = m.ip;
      o.prep = PrepareRequest{bal_, have(), m.incarnation};
      out.push_back(std::move(o));
    }
  }
  return out;
}

std::vector<Proposer::Out> Proposer::on_prep(std::string const& from, PrepareResponse const& r) {
  if (phase_ != Phase::preparing || r.ballot != bal_) return {};
  check_ballot(r.promised);
  saw(r.promised);
  if (!r.ok) {
    if (r.promised > bal_) {  // someone else is ahead: give way
      phase_ = Phase::idle;
      done_ = true;
    }
    return {};
  }
  std::vector<Out> out;
  if ((r.full || !r.delta.empty()) && r.accepted > best_.ballot) {
    ReplicatedState s;
    if (r.full) {
      s = read_state(r.state);
    } else {
      s = first_ ? *first_ : best_;
      if (!apply(s, read_delta(r.delta))) return {};  // not what we said that we have: no promise
    }
    if (s.ballot != r.accepted) throw codec::MalformedMessage("a value under another ballot");
    if (s.ballot > best_.ballot) {
      if (!first_) first_ = std::move(best_);
      best_ = std::move(s);
      out = ask_for_promises();
    }
  }
  promised_.insert(id_of(from, r.incarnation));  // only now: a promise whose value can't be read is none
  if (has_quorum(best_, promised_, settled())) {
    auto more = try_accept();
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

// Whose votes this round may need.
std::vector<std::vector<Member> const*> Proposer::voters() const {
  std::vector<std::vector<Member> const*> v{&best_.membership};
  if (!settled()) v.push_back(&best_.previous_membership);
  if (phase_ == Phase::accepting || won_) v.push_back(&next_.membership);
  return v;
}

AcceptRequest Proposer::acc_for(Member const& m, bool full, Ballot have) const {
  AcceptRequest a;
  a.ballot = bal_;
  a.incarnation = m.incarnation;
  if (full && have != Ballot()) {
    std::optional<StateDelta> d;
    if (first_ && first_->ballot == have) {
      // What we had ourselves; it may never have been won, and have what this value lacks, which
      // a difference can't say.
      d = delta_of(*first_, next_);
      ReplicatedState s = *first_;
      if (!apply(s, *d) || codec::pack(s) != codec::pack(next_)) d.reset();
    }
    if (!d && leads_ && !(d = leads_(have, bal_))) {
      // Our own disk has not taken this value, but may have the one it is made of.
      if ((d = leads_(have, best_.ballot))) d = joined(std::move(*d), delta_of(best_, next_));
    }
    if (d) {
      a.delta = codec::pack(*d);
      return a;
    }
  }
  if (full || best_.ballot == Ballot(0))
    a.state = codec::pack(next_);
  else
    a.delta = delta_;
  return a;
}

std::vector<Proposer::Out> Proposer::try_accept() {
  next_ = best_;
  if (settled()) {
    next_.previous_membership.clear();
    change_(next_);
  }
  // Even with nothing to change, the value found is written again: only so is it
  // known to be on a majority before anyone is told of it.
  next_.ballot = bal_;
  bool moved = next_.membership.size() != best_.membership.size();
  for (Member& m : next_.membership) {
    Member const* o = best_.member(m.ip);
    if (o != nullptr && o->same_disk(m) && o->since == m.since) continue;
    moved = true;
    m.since = Epoch(bal_.v);
  }
  if (moved) {
    next_.epoch = Epoch(bal_.v);
    next_.previous_membership = best_.membership;
  }
  if (!same_view(best_, next_)) next_.open = bal_;
  delta_ = best_.ballot == Ballot(0) ? std::string() : codec::pack(delta_of(best_, next_));
  phase_ = Phase::accepting;
  std::vector<Out> out;
  std::set<std::string> sent;
  auto ask = [&](std::vector<Member> const& l) {
    for (Member const& m : l) {
      if (!sent.insert(id_of(m)).second) continue;
      Out o;
      o.ip = m.ip;
      o.is_prep = false;
      o.acc = acc_for(m, false);
      out.push_back(std::move(o));
    }
  };
  for (auto const* l : voters())
    ask(*l);
  return out;
}

std::vector<Proposer::Out> Proposer::on_acc(std::string const& from, AcceptResponse const& r) {
  if (r.ballot != bal_) return {};
  // Who comes late to a round that is won is still told what it lacks.
  if (phase_ != Phase::accepting && !(won_ && r.want_full)) return {};
  check_ballot(r.promised);
  saw(r.promised);
  if (r.ok) {
    accepted_.insert(id_of(from, r.incarnation));
    if (has_quorum(best_, accepted_, settled()) && has_quorum(next_, accepted_, false)) {
      phase_ = Phase::idle;
      done_ = won_ = true;
    }
    return {};
  }
  if (r.want_full) {
    for (auto const* l : voters())
      for (Member const& m : *l)
        if (m.ip == from && m.incarnation == r.incarnation) {
          Out o;
          o.ip = from;
          o.is_prep = false;
          o.acc = acc_for(m, true, r.have);
          return {o};
        }
    return {};
  }
  if (r.promised > bal_) {
    phase_ = Phase::idle;
    done_ = true;  // lost; the value may or may not stand, the next round will see
  }
  return {};
}

std::vector<Proposer::Out> Proposer::resend(std::string const& ip) {
  std::vector<Out> out;
  if (phase_ == Phase::idle) return out;
  std::set<std::string> sent;
  for (auto const* l : voters()) {
    for (Member const& m : *l) {
      if (m.ip != ip || !sent.insert(id_of(m)).second) continue;
      Out o;
      o.ip = ip;
      o.is_prep = phase_ == Phase::preparing;
      if (o.is_prep)
        o.prep = PrepareRequest{bal_, have(), m.incarnation};
      else
        o.acc = acc_for(m, true);
      out.push_back(std::move(o));
    }
  }
  return out;
}

}  // namespace dockbend
