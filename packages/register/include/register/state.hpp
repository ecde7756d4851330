// The register's one value: manifest items, evacuations, roster. It is replaced
// by ballots (CASPaxos); inside it items join by their own generation.
#pragma once
#include <map>
#include <optional>

#include "manifest/manifest.hpp"

namespace dockbend {

// Invariants: at most one member an ip; (ip, life) names one disk for ever; whole
// is set only once that disk holds every key that a majority held, so the members
// that are whole are always a majority of the roster.
struct Member {
  DB_RECORD(Member, (std::string, ip), (Life, life), (std::string, zone), (std::string, region),
                           (u32, control), (bool, whole));
  bool same_disk(Member const& o) const { return ip == o.ip && life == o.life; }
};

// Who carries out a duty that one node at a time has. Invariants: fence rises with
// every holder and never falls; counter rises with every renewal under one fence; next
// names whom a leaving holder wants, and a term with next set has nobody acting.
struct Term {
  DB_RECORD(Term, (std::string, duty), (std::string, holder), (std::string, ip), (u64, fence), (u64, counter), (std::string, next));
};
// A window's report as it will be sent for ever. Invariant: two bodies never stand
// under one window.
struct FixedWindow {
  DB_RECORD(FixedWindow, (u64, window), (std::string, body));
};

// Invariants: bal is the ballot that wrote this value (0: founding); epoch is the
// ballot that last changed who is in the roster, and so epoch <= bal; open is the
// ballot that last changed what proxies and agents go by, and so open <= bal; to_fix
// is the first window (0: none yet) whose report is not fixed, and it never falls.
struct State {
  DB_RECORD(State, (Ballot, bal), (Epoch, epoch), (std::vector<Item>, items),
                           (std::vector<Evac>, evacs), (std::vector<Member>, roster), (std::vector<Term>, duties),
                           (u64, to_fix), (std::vector<FixedWindow>, fixed), (Ballot, open));
  Member const* member(std::string const& ip) const {
    for (Member const& m : roster)
      if (m.ip == ip) return &m;
    return nullptr;
  }
  Term const* term(std::string const& duty) const {
    for (Term const& t : duties)
      if (t.duty == duty) return &t;
    return nullptr;
  }
  std::size_t majority() const { return roster.size() / 2 + 1; }
  // Takes a member in, or a new disk at its address, or news of itself; false if
  // it must wait: a disk that can't vote on keys yet may come only while those
  // that can are a majority without it, or nobody could ever fill it.
  bool admit(Member const& me);
  std::map<std::string, Item> by_key() const {
    std::map<std::string, Item> m;
    for (Item const& i : items) m[i.key] = i;
    return m;
  }
};

// What changed between two values, for the wire.
struct Delta {
  DB_RECORD(Delta, (Ballot, base), (Ballot, bal), (Epoch, epoch), (std::vector<Item>, items),
                           (bool, evacs_set), (std::vector<Evac>, evacs), (bool, roster_set),
                           (std::vector<Member>, roster), (bool, duties_set), (std::vector<Term>, duties), (u64, to_fix),
                           (bool, fixed_set), (std::vector<FixedWindow>, fixed), (Ballot, open));
};
// The part that proxies and agents go by, under the ballot that last changed it: no
// renewals, no reports.
State view_of(State const& s);
bool same_view(State const& a, State const& b);
Delta delta_of(State const& from, State const& to);
// False unless st is the delta's base.
bool apply(State& st, Delta const& d);

// Wire messages.
struct Prep {
  DB_RECORD(Prep, (Ballot, bal), (Ballot, have), (Life, life));
};
struct PrepR {
  DB_RECORD(PrepR, (bool, ok), (Ballot, bal), (Ballot, promised), (Ballot, accepted), (bool, full),
                           (std::string, state), (Life, life));
};
struct Acc {
  DB_RECORD(Acc, (Ballot, bal), (Life, life), (std::string, delta), (std::string, state));
};
struct AccR {
  DB_RECORD(AccR, (bool, ok), (Ballot, bal), (Ballot, promised), (bool, want_full), (Life, life));
};
struct Commit {
  DB_RECORD(Commit, (Ballot, bal), (std::string, delta), (std::string, state));
};
struct Pull {
  DB_RECORD(Pull, (Ballot, have));
};

}  // namespace dockbend
