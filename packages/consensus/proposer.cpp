#include "consensus/proposer.hpp"

#include <algorithm>
#include <cstdio>

namespace dockbend {
namespace {
std::string id_of(std::string const& ip, Life l) {
  return ip + "/" + std::to_string(l.v);
}
std::string id_of(Member const& m) {
  return id_of(m.ip, m.life);
}
u64 ip_num(std::string const& ip) {
  unsigned a = 0, b = 0, c = 0, d = 0;
  std::sscanf(ip.c_str(), "%u.%u.%u.%u", &a, &b, &c, &d);
  return static_cast<u64>(a) << 24 | b << 16 | c << 8 | d;
}
// Does a majority of who decides about s say so? alone: its step is known to be won.
bool has_quorum(State const& s, std::set<std::string> const& who, bool alone) {
  auto said = [&](Member const& m) { return who.count(id_of(m)) > 0; };
  if (!alone) return s.stands(said);
  return static_cast<std::size_t>(std::count_if(s.roster.begin(), s.roster.end(), said)) >= s.majority();
}
}  // namespace

Proposer::Proposer(std::string const& my_ip, Leads leads) : node_(ip_num(my_ip)), leads_(std::move(leads)) {}

std::vector<Proposer::Out> Proposer::begin(State const& best, Change change, Secs now, std::optional<Epoch> known) {
  best_ = best;
  known_ = known;
  first_.reset();
  change_ = std::move(change);
  saw(best.bal);
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
  for (auto const* l : {&best_.roster, &best_.was}) {
    if (l == &best_.was && settled()) break;
    for (Member const& m : *l) {
      if (!asked_.insert(id_of(m)).second) continue;
      Out o;
      o.ip = m.ip;
      o.prep = Prep{bal_, have(), m.life};
      out.push_back(std::move(o));
    }
  }
  return out;
}

std::vector<Proposer::Out> Proposer::on_prep(std::string const& from, PrepR const& r) {
  if (phase_ != Phase::preparing || r.bal != bal_) return {};
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
  if ((r.full || !r.delta.empty()) && r.accepted > best_.bal) {
    State s;
    if (r.full) {
      s = read_state(r.state);
    } else {
      s = first_ ? *first_ : best_;
      if (!apply(s, read_delta(r.delta))) return {};  // not what we said that we have: no promise
    }
    if (s.bal != r.accepted) throw codec::Malformed("a value under another ballot");
    if (s.bal > best_.bal) {
      if (!first_) first_ = std::move(best_);
      best_ = std::move(s);
      out = ask_for_promises();
    }
  }
  promised_.insert(id_of(from, r.life));  // only now: a promise whose value can't be read is none
  if (has_quorum(best_, promised_, settled())) {
    auto more = try_accept();
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

// Whose votes this round may need.
std::vector<std::vector<Member> const*> Proposer::voters() const {
  std::vector<std::vector<Member> const*> v{&best_.roster};
  if (!settled()) v.push_back(&best_.was);
  if (phase_ == Phase::accepting || won_) v.push_back(&next_.roster);
  return v;
}

Acc Proposer::acc_for(Member const& m, bool full, Ballot have) const {
  Acc a;
  a.bal = bal_;
  a.life = m.life;
  if (full && have != Ballot()) {
    std::optional<Delta> d;
    if (first_ && first_->bal == have) {
      // What we had ourselves; it may never have been won, and have what this value lacks, which
      // a difference can't say.
      d = delta_of(*first_, next_);
      State s = *first_;
      if (!apply(s, *d) || codec::pack(s) != codec::pack(next_)) d.reset();
    }
    if (!d && leads_ && !(d = leads_(have, bal_))) {
      // Our own disk has not taken this value, but may have the one it is made of.
      if ((d = leads_(have, best_.bal))) d = joined(std::move(*d), delta_of(best_, next_));
    }
    if (d) {
      a.delta = codec::pack(*d);
      return a;
    }
  }
  if (full || best_.bal == Ballot(0))
    a.state = codec::pack(next_);
  else
    a.delta = delta_;
  return a;
}

std::vector<Proposer::Out> Proposer::try_accept() {
  next_ = best_;
  if (settled()) {
    next_.was.clear();
    change_(next_);
  }
  // Even with nothing to change, the value found is written again: only so is it
  // known to be on a majority before anyone is told of it.
  next_.bal = bal_;
  bool moved = next_.roster.size() != best_.roster.size();
  for (Member& m : next_.roster) {
    Member const* o = best_.member(m.ip);
    if (o != nullptr && o->same_disk(m) && o->since == m.since) continue;
    moved = true;
    m.since = Epoch(bal_.v);
  }
  if (moved) {
    next_.epoch = Epoch(bal_.v);
    next_.was = best_.roster;
  }
  if (!same_view(best_, next_)) next_.open = bal_;
  delta_ = best_.bal == Ballot(0) ? std::string() : codec::pack(delta_of(best_, next_));
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

std::vector<Proposer::Out> Proposer::on_acc(std::string const& from, AccR const& r) {
  if (r.bal != bal_) return {};
  // Who comes late to a round that is won is still told what it lacks.
  if (phase_ != Phase::accepting && !(won_ && r.want_full)) return {};
  check_ballot(r.promised);
  saw(r.promised);
  if (r.ok) {
    accepted_.insert(id_of(from, r.life));
    if (has_quorum(best_, accepted_, settled()) && has_quorum(next_, accepted_, false)) {
      phase_ = Phase::idle;
      done_ = won_ = true;
    }
    return {};
  }
  if (r.want_full) {
    for (auto const* l : voters())
      for (Member const& m : *l)
        if (m.ip == from && m.life == r.life) {
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
        o.prep = Prep{bal_, have(), m.life};
      else
        o.acc = acc_for(m, true);
      out.push_back(std::move(o));
    }
  }
  return out;
}

}  // namespace dockbend
