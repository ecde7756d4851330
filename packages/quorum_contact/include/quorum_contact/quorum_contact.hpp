// How fresh a node's contact with the register's members is. No I/O.
//
// A node asks the members numbered questions all the while. An answer counts from the
// moment its question was asked, on the asker's steady clock, and only if all that the
// member knew to be committed when it answered is known here too. In contact is who has
// such answers of a quorum, asked no longer than `bound` ago.
#pragma once
#include <algorithm>
#include <concepts>
#include <deque>
#include <limits>
#include <map>

#include "base/record.hpp"
#include "settings/settings.hpp"
#include "wire/codec.hpp"

namespace dockbend {

// The answer to a question of contact: the member's disk, the newest ballot it knows to be
// committed, and for how much longer it is in contact itself (0: it is not).
struct ContactProbeResponse {
  DB_RECORD(ContactProbeResponse, (Incarnation, incarnation), (Ballot, ballot), (double, left));
};

// Derived from what the operators promise, never set by itself: a node may be out of contact
// for `bound` before it says so, its agents hear that within a tick and need a round trip to
// be fed by another node, all of it within applyBoundS.
struct ContactOptions {
  Seconds bound = 1.5;  // an answer counts until so long after its question
  Seconds pace = 0.6;   // between two questions to a member that is asked all the while
  Seconds widen = 0.9;  // older than this, every member is asked
  static ContactOptions of(Bounds const& b) {
    ContactOptions p;
    p.bound = 0.6 * b.applyBoundS;
    p.pace = 0.4 * p.bound;
    p.widen = 0.6 * p.bound;
    return p;
  }
};

Seconds constexpr kNever = -std::numeric_limits<Seconds>::infinity();

// Whose answers are enough. `asked` holds a time for every member: when the newest question
// was asked that it answered. since() is the newest time such that enough of them answered
// something asked then or later; enough() how many of n members that takes.
template <class Q>
concept Quorum = requires(std::vector<Seconds> asked, std::size_t n) {
  { Q::since(asked) } -> std::same_as<Seconds>;
  { Q::enough(n) } -> std::same_as<std::size_t>;
};

struct MajorityQuorum {
  static std::size_t enough(std::size_t n) { return n / 2 + 1; }
  static Seconds since(std::vector<Seconds> asked);
};

// Invariants:
// - a question has one number in this process's life, and is open on one connection only;
//   an answer that names no question open on its connection counts nothing;
// - a peer's `since` is the time of asking of a question that it answered, and never falls
//   but with the life of its disk;
// - so the end of contact never comes nearer, but by a change of the roster: what `left`
//   said to others holds, and two nodes never send a caller to and fro.
template <Quorum Q = MajorityQuorum>
class QuorumContact {
 public:
  struct Voter {
    std::string ip;
    Incarnation incarnation;
    friend bool operator==(Voter const&, Voter const&) = default;
  };

  QuorumContact() = default;
  // first: where the numbers begin, by chance, so that no answer to an earlier life fits.
  QuorumContact(ContactOptions p, std::string me, u32 first) : p_(p), me_(std::move(me)), next_(first) {}

  ContactOptions const& plan() const { return p_; }
  void plan(ContactOptions p) { p_ = p; }

  // The roster, and the life of our own disk.
  void members(std::vector<Voter> v, Incarnation mine) {
    voters_ = std::move(v);
    mine_ = mine;
  }
  // We know all that was committed up to b.
  void knows(Ballot b) {
    if (b <= known_) return;
    known_ = b;
    for (auto& [ip, p] : peers_)
      cover(p);
  }

  // A new connection to ip: what was asked over the old one is void.
  void connected(std::string const& ip) { peers_[ip].open.clear(); }
  // The number of a question that goes to ip now; never 0.
  u32 ask(std::string const& ip, Seconds now) {
    if (++next_ == 0) ++next_;
    Peer& p = peers_[ip];
    p.asked = now;
    p.open.push_back({next_, now});
    if (p.open.size() > 16) p.open.pop_front();
    return next_;
  }
  // False if it answers nothing that is open.
  bool answered(std::string const& ip, u32 number, ContactProbeResponse const& a) {
    auto const it = peers_.find(ip);
    if (it == peers_.end()) return false;
    Peer& p = it->second;
    auto const q = std::find_if(p.open.begin(), p.open.end(), [&](Question const& x) { return x.number == number; });
    if (q == p.open.end()) return false;
    Seconds const at = q->at;
    p.open.erase(p.open.begin(), q + 1);  // older ones say less
    if (a.incarnation != p.incarnation) {
      p.since = kNever;
      p.ahead.clear();
      p.incarnation = a.incarnation;
    }
    p.until = a.left > 0 ? at + std::min(a.left, p_.bound) : kNever;  // nobody is in contact for longer
    p.ahead.push_back({at, a.ballot});
    if (p.ahead.size() > 16) p.ahead.pop_front();
    cover(p);
    return true;
  }

  // A quorum answered something that was asked at this time or later. We answer ourselves.
  Seconds since(Seconds now) const {
    std::vector<Seconds> v;
    for (Voter const& m : voters_) {
      if (m.ip == me_) {
        v.push_back(m.incarnation == mine_ ? now : kNever);
        continue;
      }
      auto const it = peers_.find(m.ip);
      v.push_back(it != peers_.end() && it->second.incarnation == m.incarnation ? it->second.since : kNever);
    }
    return Q::since(std::move(v));
  }
  Seconds left(Seconds now) const { return std::max(0.0, since(now) + p_.bound - now); }
  bool in_contact(Seconds now) const { return left(now) > 0; }

  // Whom to ask now, of those that are connected, near ones first: as many as it takes and
  // one more; all of them when contact grows old.
  std::vector<std::string> due(std::vector<std::string> const& near_first, Seconds now) const {
    std::size_t const most = now - since(now) > p_.widen ? near_first.size() : Q::enough(voters_.size());
    std::vector<std::string> out;
    std::size_t n = 0;
    for (std::string const& ip : near_first) {
      if (std::none_of(voters_.begin(), voters_.end(), [&](Voter const& m) { return m.ip == ip; })) continue;
      if (++n > most) break;
      auto const it = peers_.find(ip);
      if (it == peers_.end() || now - it->second.asked >= p_.pace) out.push_back(ip);
    }
    return out;
  }

  // A member that is in contact for certain; "": none is known.
  std::string other(Seconds now) const {
    std::string best;
    Seconds until = now;
    for (Voter const& m : voters_)
      if (auto const it = peers_.find(m.ip); m.ip != me_ && it != peers_.end() && it->second.until > until) {
        best = m.ip;
        until = it->second.until;
      }
    return best;
  }

 private:
  struct Question {
    u32 number = 0;
    Seconds at = 0;
  };
  struct Ahead {  // answered, but we don't know all that the member knew
    Seconds at = 0;
    Ballot ballot;
  };
  struct Peer {
    Seconds asked = kNever, since = kNever;
    Seconds until = kNever;  // it is in contact until then, by our clock, as it said itself
    Incarnation incarnation;
    std::deque<Question> open;
    std::deque<Ahead> ahead;
  };
  void cover(Peer& p) {
    std::erase_if(p.ahead, [&](Ahead const& a) {
      if (a.ballot > known_) return false;
      p.since = std::max(p.since, a.at);
      return true;
    });
  }

  ContactOptions p_;
  std::string me_;
  u32 next_ = 0;
  std::vector<Voter> voters_;
  Incarnation mine_;
  Ballot known_;
  std::map<std::string, Peer> peers_;
};

}  // namespace dockbend
