#include <criterion/criterion.h>

#include "consensus/membership.hpp"
#include "idempotency/key_table.hpp"
#include "support/simulated_network.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
// zones: one letter a member, its region the letter's pair (a,b | c,d | e,f).
State roster_of(std::string const& zones) {
  State s;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    Member m = member(Net::name(static_cast<int>(i)), Life(1));
    m.zone = std::string(1, zones[i]);
    m.region = std::string(1, static_cast<char>('A' + (zones[i] - 'a') / 2));
    m.whole = true;
    s.roster.push_back(m);
  }
  return s;
}
Member newcomer(int i, u64 life, char zone) {
  Member m = member(Net::name(i), Life(life));
  m.zone = std::string(1, zone);
  m.region = std::string(1, static_cast<char>('A' + (zone - 'a') / 2));
  return m;
}
// What a won round does to who came in.
void round(State& s, u64 bal) {
  s.bal = Ballot(bal);
  s.epoch = Epoch(bal);
  for (Member& m : s.roster)
    if (m.since == unnamed) m.since = Epoch(bal);
}
void fill(State& s, std::string const& ip) {
  Member m = *s.member(ip);
  m.whole = true;
  cr_assert(s.admit(m));
}
Tolerance const one{1, 1, 1};
WatchPlan const plan{2, 10, 80};
}  // namespace

// Five planned replacements, one after the other: the roster is as large as the members
// that are up, at every step whole disks bear what the tolerance names.
Test(member, replacements_leave_the_roster_as_large_as_before) {
  State s = roster_of("abcdef");
  for (int k = 0; k < 5; ++k) {
    int const y = 6 + k;
    std::string const x = s.roster.front().ip, why_ip = x;
    char const zone = s.roster.front().zone[0];
    cr_assert(s.admit(newcomer(y, 50 + static_cast<u64>(k), zone)));
    round(s, 10 + 2 * static_cast<u64>(k));
    std::string why;
    State early = s;
    take_out(early, x, s.member(x)->life, one, why);
    if (early.roster.size() == 6) cr_assert_geq(margin_of(early, one).machines, 0);
    fill(s, Net::name(y));
    cr_assert(take_out(s, x, s.member(x)->life, one, why), "%d: %s", k, why.c_str());
    round(s, 11 + 2 * static_cast<u64>(k));
    cr_assert_eq(s.roster.size(), 6u);
    Margin const m = margin_of(s, one);
    cr_assert(m.machines >= 0 && m.zones >= 0 && m.regions >= 0, "%d", k);
  }
}

Test(member, nobody_leaves_where_a_region_would_hold_a_majority) {
  State s = roster_of("aabcd");  // three of region A, two of B
  std::string why;
  cr_assert_not(take_out(s, s.roster[4].ip, Life(1), Tolerance{1, 0, 0}, why) && s.roster.size() != 4);
  State t = roster_of("abcdef");
  cr_assert(take_out(t, t.roster[0].ip, Life(1), one, why));  // 1, 2, 2 of five: any region may go
  cr_assert_not(take_out(t, t.roster[0].ip, Life(1), one, why));
  cr_assert(why.find("the loss of 1 region ") != std::string::npos, "%s", why.c_str());
  cr_assert_eq(t.roster.size(), 5u);
  State u = roster_of("abc");
  cr_assert_not(take_out(u, u.roster[0].ip, Life(1), Tolerance{1, 0, 0}, why));
  cr_assert(why.find("the loss of 1 machine ") != std::string::npos, "%s", why.c_str());
  // Asked again, it finds the member gone.
  cr_assert_not(take_out(t, "10.0.0.1", Life(1), one, why));
  cr_assert(why.empty());
}

// Five members, a key won on three; the two others and nobody else are left: without the
// rule they would give it to another holder.
Test(member, a_key_binds_however_many_left_after_it_was_won) {
  for (std::size_t const n : {3u, 4u, 5u, 6u, 7u, 8u, 9u}) {
    for (bool const ruled : {true, false}) {
      State s = roster_of(std::string("abcdefghi").substr(0, n));
      std::map<std::string, Ledger> disks;
      for (Member const& m : s.roster)
        disks.emplace(m.ip, Ledger(true));
      Quest q(n, s.epoch);
      for (std::size_t i = 0; i < s.majority(); ++i) {
        Claim c;
        c.key = "k";
        c.holder = 7;
        ClaimR r;
        disks.at(s.roster[i].ip).claim(c, s.epoch, 0, r);
        cr_assert_eq(q.hear(s.roster[i].ip, r) == Quest::End::granted, i + 1 == s.majority());
      }
      // Those that gave it leave one after the other, as far as they may.
      for (u64 b = 1; s.roster.size() > 1; ++b) {
        if (!ruled) s.widest = 0;
        if (!s.dismiss(s.roster.front().ip, Life(1))) break;
        round(s, b);
      }
      Quest p(s.roster.size(), s.epoch);
      Quest::End e = Quest::End::open;
      for (Member const& m : s.roster) {
        Claim c;
        c.key = "k";
        c.holder = 8;
        c.epoch = s.epoch;
        ClaimR r;
        disks.at(m.ip).claim(c, s.epoch, 0, r);
        if (e == Quest::End::open) e = p.hear(m.ip, r);
      }
      if (ruled)
        cr_assert_neq(e, Quest::End::granted, "of %zu", n);
      else
        cr_assert_eq(e, Quest::End::granted, "%zu: the case shows nothing", n);
    }
  }
}

// A disk that was taken out and comes back has missed what was won without it. Neither its
// own word nor one that was on its way since before makes it whole.
Test(member, a_disk_that_returns_is_filled_again) {
  State s = roster_of("abcdef");
  cr_assert(s.admit(newcomer(6, 50, 'a')));
  round(s, 3);
  Member early = *s.member(Net::name(6));
  early.whole = true;
  fill(s, Net::name(6));
  std::string why;
  cr_assert(take_out(s, Net::name(6), Life(50), one, why), "%s", why.c_str());
  round(s, 4);
  cr_assert(s.admit(early), "it may come in again");
  cr_assert_not(s.member(Net::name(6))->whole);
  round(s, 5);
  cr_assert_eq(s.member(Net::name(6))->since.v, 5u);
  s.admit(early);
  cr_assert_not(s.member(Net::name(6))->whole, "said of an earlier membership");
  early.since = Epoch(5);
  cr_assert(s.admit(early));
  cr_assert(s.member(Net::name(6))->whole);
}

// The proposer names the membership; one batch that takes a disk out and in again makes a new one.
Test(member, a_round_that_takes_a_disk_out_and_in_makes_a_new_membership) {
  Net n(1, 3);
  for (auto& [ip, x] : n.nodes) {
    State s = *x.committed;
    for (Member& m : s.roster)
      m.whole = true;
    x.committed = s;
    x.acc = std::make_unique<Acceptor>(Life(1), Ballot(), s);
  }
  n.propose(Net::name(0), [](State& s) {
    Member m = *s.member(Net::name(2));
    return s.dismiss(m.ip, m.life) && s.admit(m);
  });
  n.run();
  cr_assert_eq(n.history.size(), 1u);
  State const& v = n.history[0];
  cr_assert_eq(v.member(Net::name(2))->since.v, v.bal.v);
  cr_assert_eq(v.epoch.v, v.bal.v);
  cr_assert_not(v.member(Net::name(2))->whole);
  cr_assert(v.member(Net::name(1))->whole);
}

Test(member, who_an_operator_took_out_stays_out) {
  State s = roster_of("abcdef");
  std::string why;
  Member const x = s.roster[1];
  cr_assert(take_out(s, x.ip, x.life, one, why));
  s.retired.push_back(Retired{x.ip, x.life});
  cr_assert_not(s.admit(x));
  Member wiped = x;
  wiped.life = Life(99);
  wiped.whole = false;
  cr_assert(s.admit(wiped), "another disk at that address is another member");
}

Test(member, the_silent_one_goes_only_when_another_came_in_its_place) {
  State s = roster_of("abcdef");
  RosterWatch w(plan, 0);
  w.see(s, 0);
  auto all_heard = [&](Secs now, std::string const& but) {
    for (Member const& m : s.roster)
      if (m.ip != but) w.heard(m.ip, now);
  };
  std::string const me = Net::name(1), x = Net::name(0), y = Net::name(6);
  all_heard(20, x);
  cr_assert_not(w.swap(s, me, 20), "nobody came");
  // One comes in another zone, then one in its own; it counts once it is whole.
  cr_assert(s.admit(newcomer(7, 60, 'c')));
  round(s, 2);
  w.see(s, 20);
  all_heard(21, x);
  fill(s, Net::name(7));
  cr_assert_not(w.swap(s, me, 21));
  State t = s;
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
  RosterWatch v(plan, 40);
  v.see(s, 40);
  cr_assert_not(v.swap(s, me, 60));
  // One newcomer stands for one member.
  RosterWatch u(plan, 0);
  u.see(t, 0);
  u.see(s, 1);
  u.heard(y, 5);
  cr_assert(u.swap(s, me, 5));
  u.used(y);
  cr_assert_not(u.swap(s, me, 5));
}

// Keys bind for a horizon; only a node that saw one roster stand for so long may say that
// those of wider ones are over.
Test(member, a_wide_roster_is_forgotten_after_a_horizon) {
  State s = roster_of("abcdef");
  RosterWatch w(plan, 0);
  w.see(s, 0);
  cr_assert_not(w.settled(79));
  cr_assert(w.settled(81));
  s.widest = 9;
  cr_assert_not(s.dismiss(Net::name(0), Life(1)));
  round(s, 9);
  w.see(s, 81);
  cr_assert_not(w.settled(100));
  auto const e = w.settled(162);
  cr_assert(e && *e == s.epoch);
  s.widest = 6;
  cr_assert(s.dismiss(Net::name(0), Life(1)));
}
