// The register's one value: manifest items, evacuations, roster. It is replaced
// by ballots (CASPaxos); inside it items join by their own generation.
#pragma once
#include <algorithm>
#include <map>
#include <optional>

#include "configuration/configuration.hpp"

namespace dockbend {

// Invariants: at most one member an ip; (ip, life) names one disk for ever; since is the
// ballot that took this disk in (0: a founder), and a disk that left and came back has
// another; whole is set only once that disk holds every key that a majority held, in the
// membership that since names, so the members that are whole are always a majority of the
// roster.
struct Member {
  DB_RECORD(Member, (std::string, ip), (Incarnation, incarnation), (std::string, zone), (std::string, region),
            (u32, control), (bool, whole), (Epoch, since));
  bool same_disk(Member const& o) const { return ip == o.ip && incarnation == o.incarnation; }
};
// Stands for since while a round is being made; its ballot takes the place.
inline constexpr Epoch kUnassignedEpoch{~0ULL};
// A disk that an operator took out. Invariant: it is not in the roster, and does not come
// back in that life before an operator says so.
struct RetiredMember {
  DB_RECORD(RetiredMember, (std::string, ip), (Incarnation, incarnation));
};

// Who carries out a duty that one node at a time has. Invariants: fence rises with
// every holder and never falls; counter rises with every renewal under one fence; next
// names whom a leaving holder wants, and a term with next set has nobody acting.
struct Lease {
  DB_RECORD(Lease, (std::string, duty), (std::string, holder), (std::string, ip), (u64, fence), (u64, counter),
            (std::string, next));
};
// A window's report as it will be sent for ever. Invariant: two bodies never stand
// under one window.
struct FrozenUsageReport {
  DB_RECORD(FrozenUsageReport, (u64, window), (std::string, body));
};

// How far one unit of a pass is on its way out and back. Invariant: it only climbs, but
// for a step back to waiting (un-cordoned for want of room, or called off).
enum class DrainStage : u8 { waiting = 0, cordoned = 1, draining = 2, empty = 3, released = 4, back = 5 };
enum class DrainRunState : u8 { running = 1, paused = 2, aborted = 3, done = 4 };

// A node (by its front address) or a server (by its id) that a pass takes out.
// Invariants: a name stands in at most one pass that is not over; life is that of the
// process that is to end, and no other life of the same name is drained in its place.
struct DrainUnit {
  DB_RECORD(DrainUnit, (u64, pass), (std::string, name), (std::string, node), (u32, wave), (DrainStage, stage),
            (u64, incarnation));
};
struct InitialServerCount {  // servers that a service had in service when the pass began
  DB_RECORD(InitialServerCount, (std::string, service), (u32, n));
};
// What an operator ordered. Invariants: units of a pass that is over are gone from the
// value; max_out is above 0 for servers; only the holder of the duty `drain` moves it.
// digest is that of the order (0: not known); heard has a bit for each kind of command
// that was acknowledged, and it only grows; turn rises with each pause and resume.
struct DrainRun {
  DB_RECORD(DrainRun, (u64, id), (bool, servers), (DrainRunState, state), (double, headroom), (u32, max_out),
            (double, patience), (bool, replaced), (std::string, why), (std::vector<InitialServerCount>, had),
            (u32, total), (u32, back), (u64, digest), (u32, heard), (u32, turn));
};

// Invariants: bal is the ballot that wrote this value (0: founding); epoch is the
// ballot that last changed who is in the roster, and so epoch <= bal; open is the
// ballot that last changed what proxies and agents go by, and so open <= bal; to_fix
// is the first window (0: none yet) whose report is not fixed, and it never falls; was
// is the roster that the step of this epoch left, kept until a round's proposer knew
// that step to be won: as long as it stands here, a majority of it counts as well; widest
// is at least the size of every roster under which a key may have been won that still binds.
struct ReplicatedState {
  DB_RECORD(ReplicatedState, (Ballot, ballot), (Epoch, epoch), (std::vector<ConfigItem>, items),
            (std::vector<Evacuation>, evacuations), (std::vector<Member>, membership), (std::vector<Lease>, duties),
            (u64, to_fix), (std::vector<FrozenUsageReport>, fixed), (Ballot, open), (std::vector<DrainRun>, passes),
            (std::vector<DrainUnit>, units), (std::vector<Member>, previous_membership), (u32, largest_membership),
            (std::vector<RetiredMember>, retired));
  DrainRun const* pass(u64 id) const {
    for (DrainRun const& p : passes)
      if (p.id == id) return &p;
    return nullptr;
  }
  Member const* member(std::string const& ip) const {
    for (Member const& m : membership)
      if (m.ip == ip) return &m;
    return nullptr;
  }
  Lease const* term(std::string const& duty) const {
    for (Lease const& t : duties)
      if (t.duty == duty) return &t;
    return nullptr;
  }
  std::size_t majority() const { return membership.size() / 2 + 1; }
  // Does this value stand, if just the disks for which on_disk(member) is true hold it?
  template <class F>
  bool stands(F on_disk) const {
    auto most = [&](std::vector<Member> const& l) {
      return static_cast<std::size_t>(std::count_if(l.begin(), l.end(), on_disk)) > l.size() / 2;
    };
    return most(membership) && (previous_membership.empty() || most(previous_membership));
  }
  // Takes a member in, or a new disk at its address, or news of itself; false if
  // it must wait: a disk that can't vote on keys yet may come only while those
  // that can are a majority without it, or nobody could ever fill it.
  bool admit(Member const& me);
  // Takes that disk out; false if it is no member in that life, or if too few disks that
  // vote on keys would be left. Who asks has looked at what the roster is to bear.
  bool dismiss(std::string const& ip, Incarnation incarnation);
  // May a roster of n disks follow? A key won under the widest roster is on all whole disks
  // but ceil(widest/2)-1 at most; no majority of n may consist of such disks alone.
  bool may_shrink_to(std::size_t n) const;
  bool is_retired(std::string const& ip, Incarnation incarnation) const {
    for (RetiredMember const& r : retired)
      if (r.ip == ip && r.incarnation == incarnation) return true;
    return false;
  }
  std::map<std::string, ConfigItem> by_key() const {
    std::map<std::string, ConfigItem> m;
    for (ConfigItem const& i : items)
      m[i.key] = i;
    return m;
  }
};

// What changed between two values, for the wire.
struct StateDelta {
  DB_RECORD(StateDelta, (Ballot, base), (Ballot, ballot), (Epoch, epoch), (std::vector<ConfigItem>, items),
            (bool, evacuations_set), (std::vector<Evacuation>, evacuations), (bool, membership_set),
            (std::vector<Member>, membership), (bool, duties_set), (std::vector<Lease>, duties), (u64, to_fix),
            (bool, fixed_set), (std::vector<FrozenUsageReport>, fixed), (Ballot, open), (bool, passes_set),
            (std::vector<DrainRun>, passes), (std::vector<DrainUnit>, units), (bool, previous_membership_set),
            (std::vector<Member>, previous_membership), (u32, largest_membership),
            (std::vector<RetiredMember>, retired));
};
// The part that proxies and agents go by, under the ballot that last changed it: no
// renewals, no reports.
ReplicatedState view_of(ReplicatedState const& s);
// No round has a ballot above this: one that a garbled letter named would leave no room for
// the next, and the register would stand still for ever. Throws codec::Malformed.
Ballot constexpr kLastBallot{~0ULL >> 1};
inline void check_ballot(Ballot b) {
  if (b > kLastBallot) throw codec::MalformedMessage("a ballot that no round can have");
}

// Reads a value, or what changed of one, that came from outside. Throws codec::Malformed unless
// it keeps what every value keeps: a roster of distinct addresses, epoch and open not above
// bal, items of known kinds.
ReplicatedState read_state(std::string_view bytes);
StateDelta read_delta(std::string_view bytes);
void check_value(ReplicatedState const& s);  // the same of one that came in pieces

bool same_view(ReplicatedState const& a, ReplicatedState const& b);
StateDelta delta_of(ReplicatedState const& from, ReplicatedState const& to);
// First a, then b, which begins where a ends.
StateDelta joined(StateDelta a, StateDelta const& b);
// False unless st is the delta's base.
bool apply(ReplicatedState& st, StateDelta const& d);

// Wire messages.
struct PrepareRequest {
  DB_RECORD(PrepareRequest, (Ballot, ballot), (Ballot, have), (Incarnation, incarnation));
};
struct PrepareResponse {
  DB_RECORD(PrepareResponse, (bool, ok), (Ballot, ballot), (Ballot, promised), (Ballot, accepted), (bool, full),
            (std::string, state), (Incarnation, incarnation), (std::string, delta));
};
struct AcceptRequest {
  DB_RECORD(AcceptRequest, (Ballot, ballot), (Incarnation, incarnation), (std::string, delta), (std::string, state));
};
struct AcceptResponse {
  DB_RECORD(AcceptResponse, (bool, ok), (Ballot, ballot), (Ballot, promised), (bool, want_full),
            (Incarnation, incarnation), (Ballot, have));
};
struct CommitNotice {
  DB_RECORD(CommitNotice, (Ballot, ballot), (std::string, delta), (std::string, state));
};
// have: the newest value here, won or not; won: the newest known to be; part, after: of the
// value of `part` the items up to `after` have come in pieces.
struct CatchUpRequest {
  DB_RECORD(CatchUpRequest, (Ballot, have), (Ballot, won), (Ballot, part), (std::string, after));
};

}  // namespace dockbend
