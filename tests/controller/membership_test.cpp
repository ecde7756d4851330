#include <criterion/criterion.h>

#include "consensus/failure_margin.hpp"
#include "consensus/membership_monitor.hpp"
#include "idempotency/claim_quorum.hpp"
#include "idempotency/key_table.hpp"
#include "support/simulated_network.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
// zones: one letter a member, its region the letter's pair (a,b | c,d | e,f).
ReplicatedState roster_of(std::string const& zones) {
  ReplicatedState s;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    Member m = member(SimulatedNetwork::name(static_cast<int>(i)), Incarnation(1));
    m.zone = std::string(1, zones[i]);
    m.region = std::string(1, static_cast<char>('A' + (zones[i] - 'a') / 2));
    m.whole = true;
    s.membership.push_back(m);
  }
  return s;
}
Member newcomer(int i, u64 incarnation, char zone) {
  Member m = member(SimulatedNetwork::name(i), Incarnation(incarnation));
  m.zone = std::string(1, zone);
  m.region = std::string(1, static_cast<char>('A' + (zone - 'a') / 2));
  return m;
}
// What a won round does to who came in.
void round(ReplicatedState& s, u64 ballot) {
  s.ballot = Ballot(ballot);
  s.epoch = Epoch(ballot);
  for (Member& m : s.membership)
    if (m.since == kUnassignedEpoch) m.since = Epoch(ballot);
}
void fill(ReplicatedState& s, std::string const& ip) {
  Member m = *s.member(ip);
  m.whole = true;
  cr_assert(s.admit(m));
}
FailureTolerance const one{1, 1, 1};
MembershipMonitorOptions const plan{2, 10, 80};
}  // namespace

// Five planned replacements, one after the other: the roster is as large as the members
// that are up, at every step whole disks bear what the tolerance names.
Test(member, replacements_leave_the_roster_as_large_as_before) {
  ReplicatedState s = roster_of("abcdef");
  for (int k = 0; k < 5; ++k) {
    int const y = 6 + k;
    std::string const x = s.membership.front().ip, why_ip = x;
    char const zone = s.membership.front().zone[0];
    cr_assert(s.admit(newcomer(y, 50 + static_cast<u64>(k), zone)));
    round(s, 10 + 2 * static_cast<u64>(k));
    std::string why;
    ReplicatedState early = s;
    remove_if_harmless(early, x, s.member(x)->incarnation, one, why);
    if (early.membership.size() == 6) cr_assert_geq(failure_margin(early, one).machines, 0);
    fill(s, SimulatedNetwork::name(y));
    cr_assert(remove_if_harmless(s, x, s.member(x)->incarnation, one, why), "%d: %s", k, why.c_str());
    round(s, 11 + 2 * static_cast<u64>(k));
    cr_assert_eq(s.membership.size(), 6u);
    FailureMargin const m = failure_margin(s, one);
    cr_assert(m.machines >= 0 && m.zones >= 0 && m.regions >= 0, "%d", k);
  }
}

Test(member, nobody_leaves_where_a_region_would_hold_a_majority) {
  ReplicatedState s = roster_of("aabcd");  // three of region A, two of B
  std::string why;
  cr_assert_not(remove_if_harmless(s, s.membership[4].ip, Incarnation(1), FailureTolerance{1, 0, 0}, why) &&
                s.membership.size() != 4);
  ReplicatedState t = roster_of("abcdef");
  cr_assert(remove_if_harmless(t, t.membership[0].ip, Incarnation(1), one, why));  // 1, 2, 2 of five: any region may go
  cr_assert_not(remove_if_harmless(t, t.membership[0].ip, Incarnation(1), one, why));
  cr_assert(why.find("the loss of 1 region ") != std::string::npos, "%s", why.c_str());
  cr_assert_eq(t.membership.size(), 5u);
  ReplicatedState u = roster_of("abc");
  cr_assert_not(remove_if_harmless(u, u.membership[0].ip, Incarnation(1), FailureTolerance{1, 0, 0}, why));
  cr_assert(why.find("the loss of 1 machine ") != std::string::npos, "%s", why.c_str());
  // Asked again, it finds the member gone.
  cr_assert_not(remove_if_harmless(t, "10.0.0.1", Incarnation(1), one, why));
  cr_assert(why.empty());
}

// Five members, a key won on three; the two others and nobody else are left: without the
// rule they would give it to another holder.
Test(member, a_key_binds_however_many_left_after_it_was_won) {
  for (std::size_t const n : {3u, 4u, 5u, 6u, 7u, 8u, 9u}) {
    for (bool const ruled : {true, false}) {
      ReplicatedState s = roster_of(std::string("abcdefghi").substr(0, n));
      std::map<std::string, KeyTable> disks;
      for (Member const& m : s.membership)
        disks.emplace(m.ip, KeyTable(true));
      ClaimQuorum q(n, s.epoch);
      for (std::size_t i = 0; i < s.majority(); ++i) {
        ClaimRequest c;
        c.key = "k";
        c.holder = 7;
        ClaimResponse r;
        disks.at(s.membership[i].ip).claim(c, s.epoch, 0, r);
        cr_assert_eq(q.count(s.membership[i].ip, r) == ClaimQuorum::Result::granted, i + 1 == s.majority());
      }
      // Those that gave it leave one after the other, as far as they may.
      for (u64 b = 1; s.membership.size() > 1; ++b) {
        if (!ruled) s.largest_membership = 0;
        if (!s.remove_member(s.membership.front().ip, Incarnation(1))) break;
        round(s, b);
      }
      ClaimQuorum p(s.membership.size(), s.epoch);
      ClaimQuorum::Result e = ClaimQuorum::Result::open;
      for (Member const& m : s.membership) {
        ClaimRequest c;
        c.key = "k";
        c.holder = 8;
        c.epoch = s.epoch;
        ClaimResponse r;
        disks.at(m.ip).claim(c, s.epoch, 0, r);
        if (e == ClaimQuorum::Result::open) e = p.count(m.ip, r);
      }
      if (ruled)
        cr_assert_neq(e, ClaimQuorum::Result::granted, "of %zu", n);
      else
        cr_assert_eq(e, ClaimQuorum::Result::granted, "%zu: the case shows nothing", n);
    }
  }
}

// A disk that was taken out and comes back has missed what was won without it. Neither its
// own word nor one that was on its way since before makes it whole.
Test(member, a_disk_that_returns_is_filled_again) {
  ReplicatedState s = roster_of("abcdef");
  cr_assert(s.admit(newcomer(6, 50, 'a')));
  round(s, 3);
  Member early = *s.member(SimulatedNetwork::name(6));
  early.whole = true;
  fill(s, SimulatedNetwork::name(6));
  std::string why;
  cr_assert(remove_if_harmless(s, SimulatedNetwork::name(6), Incarnation(50), one, why), "%s", why.c_str());
  round(s, 4);
  cr_assert(s.admit(early), "it may come in again");
  cr_assert_not(s.member(SimulatedNetwork::name(6))->whole);
  round(s, 5);
  cr_assert_eq(s.member(SimulatedNetwork::name(6))->since.v, 5u);
  s.admit(early);
  cr_assert_not(s.member(SimulatedNetwork::name(6))->whole, "said of an earlier membership");
  early.since = Epoch(5);
  cr_assert(s.admit(early));
  cr_assert(s.member(SimulatedNetwork::name(6))->whole);
}

// The proposer names the membership; one batch that takes a disk out and in again makes a new one.
Test(member, a_round_that_takes_a_disk_out_and_in_makes_a_new_membership) {
  SimulatedNetwork n(1, 3);
  for (auto& [ip, x] : n.nodes) {
    ReplicatedState s = *x.committed;
    for (Member& m : s.membership)
      m.whole = true;
    x.committed = s;
    x.acceptor = std::make_unique<Acceptor>(Incarnation(1), Ballot(), s);
  }
  n.propose(SimulatedNetwork::name(0), [](ReplicatedState& s) {
    Member m = *s.member(SimulatedNetwork::name(2));
    return s.remove_member(m.ip, m.incarnation) && s.admit(m);
  });
  n.run();
  cr_assert_eq(n.history.size(), 1u);
  ReplicatedState const& v = n.history[0];
  cr_assert_eq(v.member(SimulatedNetwork::name(2))->since.v, v.ballot.v);
  cr_assert_eq(v.epoch.v, v.ballot.v);
  cr_assert_not(v.member(SimulatedNetwork::name(2))->whole);
  cr_assert(v.member(SimulatedNetwork::name(1))->whole);
}

Test(member, who_an_operator_took_out_stays_out) {
  ReplicatedState s = roster_of("abcdef");
  std::string why;
  Member const x = s.membership[1];
  cr_assert(remove_if_harmless(s, x.ip, x.incarnation, one, why));
  s.retired.push_back(RetiredMember{x.ip, x.incarnation});
  cr_assert_not(s.admit(x));
  Member wiped = x;
  wiped.incarnation = Incarnation(99);
  wiped.whole = false;
  cr_assert(s.admit(wiped), "another disk at that address is another member");
}

Test(member, the_silent_one_goes_only_when_another_came_in_its_place) {
  ReplicatedState s = roster_of("abcdef");
  MembershipMonitor w(plan, 0);
  w.see(s, 0);
  auto all_heard = [&](Seconds now, std::string const& but) {
    for (Member const& m : s.membership)
      if (m.ip != but) w.heard(m.ip, now);
  };
  std::string const me = SimulatedNetwork::name(1), x = SimulatedNetwork::name(0), y = SimulatedNetwork::name(6);
  all_heard(20, x);
  cr_assert_not(w.swap(s, me, 20), "nobody came");
  // One comes in another zone, then one in its own; it counts once it is whole.
  cr_assert(s.admit(newcomer(7, 60, 'c')));
  round(s, 2);
  w.see(s, 20);
  all_heard(21, x);
  fill(s, SimulatedNetwork::name(7));
  cr_assert_not(w.swap(s, me, 21));
  ReplicatedState t = s;
  cr_assert(s.admit(newcomer(6, 50, 'a')));
  round(s, 3);
  w.see(s, 21);
  all_heard(22, x);
  cr_assert_not(w.swap(s, me, 22), "not whole");
  fill(s, y);
  auto const g = w.swap(s, me, 22);
  cr_assert(g && g->gone.ip == x && g->by.ip == y);
  w.forgive(22);
  cr_assert_not(w.swap(s, me, 23), "we stood still ourselves");
  all_heard(24, x);
  cr_assert(w.swap(s, me, 24.5));
  w.heard(x, 24.5);
  cr_assert_not(w.swap(s, me, 25), "it is back");
  w.heard(x, 35);
  all_heard(40, x);
  cr_assert_not(w.swap(s, me, 40), "that one came long before the silence");
  // A watcher that has just begun knows nobody as a newcomer.
  MembershipMonitor v(plan, 40);
  v.see(s, 40);
  cr_assert_not(v.swap(s, me, 60));
  // One newcomer stands for one member.
  MembershipMonitor u(plan, 0);
  u.see(t, 0);
  u.see(s, 1);
  u.heard(y, 5);
  cr_assert(u.swap(s, me, 5));
  u.used(y);
  cr_assert_not(u.swap(s, me, 5));
}

// Failure: the horizon of a changed settings file was not in force until the process started again.
Test(member, a_changed_horizon_is_in_force) {
  ReplicatedState const state = roster_of("abcdef");
  MembershipMonitor monitor(plan, 0);
  monitor.see(state, 0);
  cr_assert_not(monitor.settled(79));
  monitor.set_options({plan.silent, plan.recent, 50});
  cr_assert(monitor.settled(51));
  monitor.set_options({plan.silent, plan.recent, 120});
  cr_assert_not(monitor.settled(119));
}

// Keys bind for a horizon; only a node that saw one roster stand for so long may say that
// those of wider ones are over.
Test(member, a_wide_roster_is_forgotten_after_a_horizon) {
  ReplicatedState s = roster_of("abcdef");
  MembershipMonitor w(plan, 0);
  w.see(s, 0);
  cr_assert_not(w.settled(79));
  cr_assert(w.settled(81));
  s.largest_membership = 9;
  cr_assert_not(s.remove_member(SimulatedNetwork::name(0), Incarnation(1)));
  round(s, 9);
  w.see(s, 81);
  cr_assert_not(w.settled(100));
  auto const e = w.settled(162);
  cr_assert(e && *e == s.epoch);
  s.largest_membership = 6;
  cr_assert(s.remove_member(SimulatedNetwork::name(0), Incarnation(1)));
}
