#include <criterion/criterion.h>

#include <set>

#include "support/simulated_network.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
// Every value won holds all that was won before it: nothing acknowledged is lost.
void check_chain(Net const& n, unsigned seed) {
  std::vector<ReplicatedState> h = n.history;
  std::sort(h.begin(), h.end(), [](ReplicatedState const& a, ReplicatedState const& b) { return a.ballot < b.ballot; });
  for (std::size_t i = 1; i < h.size(); ++i) {
    auto const a = h[i - 1].by_key(), b = h[i].by_key();
    for (auto const& [k, it] : a) {
      cr_assert(b.count(k) == 1, "seed %u: item %s lost", seed, k.c_str());
      cr_assert(b.at(k).gen >= it.gen, "seed %u: item %s went back", seed, k.c_str());
      cr_assert(b.at(k).gen > it.gen || b.at(k).body == it.body, "seed %u: two bodies under one generation", seed);
    }
    for (Member const& m : h[i - 1].membership)
      cr_assert(h[i].member(m.ip) != nullptr, "seed %u: member %s lost at %zu of %zu", seed, m.ip.c_str(), i, h.size());
  }
}
}  // namespace

Test(register_, racing_proposers_lose_nothing) {
  std::size_t won = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    Net n(seed, 3);
    for (int i = 3; i < 6; ++i)
      n.add(i, Incarnation(100 + static_cast<u64>(i)), true);
    for (int r = 0; r < 25; ++r) {
      for (int i = 0; i < 6; ++i) {
        Node& x = n.nodes.at(Net::name(i));
        if (n.rnd() % 3 != 0) continue;
        if (!x.prop->idle()) {
          if (n.rnd() % 6 != 0) continue;
          x.prop->abandon();
        }
        if (i >= 3 && n.rnd() % 2 == 0)
          n.propose(x.ip, join_member(x.ip, x.acc->incarnation()));
        else
          n.propose(x.ip, put_item("r/" + std::to_string(n.rnd() % 3), 1 + n.rnd() % 9, x.ip));
      }
      for (int k = 0; k < 45; ++k)
        n.step(0.05);
    }
    n.run();
    check_chain(n, seed);
    won += n.history.size();
  }
  cr_assert(won > 600, "only %zu rounds won", won);
}

// Three joiners that came in before any was filled once waited for each other.
Test(register_, disks_that_can_not_vote_wait_until_they_can_be_filled) {
  ReplicatedState s{};
  for (int i = 0; i < 3; ++i) {
    Member m = member(Net::name(i), Incarnation(1));
    m.whole = true;
    s.membership.push_back(m);
  }
  Member d = member(Net::name(3), Incarnation(7)), e = member(Net::name(4), Incarnation(8)),
         f = member(Net::name(5), Incarnation(9));
  cr_assert(s.admit(d));
  cr_assert(s.admit(e));
  cr_assert_not(s.admit(f), "3 whole disks of 6 are no majority");
  d = *s.member(d.ip);  // what it says of its keys names its membership
  d.whole = true;
  cr_assert(s.admit(d));
  cr_assert(s.admit(f));
  cr_assert_not(s.admit(f), "a member that has not changed is no change");
  Member wiped = member(Net::name(0), Incarnation(77));
  cr_assert_not(s.admit(wiped), "with it only 3 of 6 would be whole");
}

Test(register_, power_loss_and_lost_messages_keep_what_was_won) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    Net n(seed, 3);
    for (int i = 3; i < 5; ++i)
      n.add(i, Incarnation(100 + static_cast<u64>(i)), true);
    for (int r = 0; r < 30; ++r) {
      std::string const ip = Net::name(static_cast<int>(n.rnd() % 5));
      Node& x = n.nodes.at(ip);
      if (x.best() != nullptr) {
        x.prop->abandon();
        if (n.rnd() % 3 == 0)
          n.propose(ip, join_member(ip, x.acc->incarnation()));
        else
          n.propose(ip, put_item("r/" + std::to_string(n.rnd() % 4), 1 + n.rnd() % 9, ip + std::to_string(r)));
      }
      for (int k = 0; k < 40; ++k)
        n.step(0.1);
      if (n.rnd() % 3 == 0) n.reboot(Net::name(static_cast<int>(n.rnd() % 5)));
      if (n.rnd() % 9 == 0)
        for (auto& [a, b] : n.nodes)
          n.reboot(a);  // all of the core at once
    }
    n.run();
    check_chain(n, seed);
  }
}

// A disk is wiped right after it acknowledged. It comes back as a new life: it has
// no vote until the roster names that life, and what was won is still there.
Test(register_, wiped_disk_votes_for_no_old_life) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    Net n(seed, 3);
    u64 incarnation = 1000;
    for (int r = 0; r < 12; ++r) {
      std::string const ip = Net::name(static_cast<int>(n.rnd() % 3));
      Node& x = n.nodes.at(ip);
      if (x.best() != nullptr) {
        x.prop->abandon();
        n.propose(ip, put_item("r/a", static_cast<u64>(r) + 1, ip));
      }
      std::size_t const was = n.history.size();
      while (n.history.size() == was && n.step()) {
      }
      if (r == 5) {
        std::string const gone = Net::name(static_cast<int>(n.rnd() % 3));
        n.wipe(gone, Incarnation(++incarnation));
        // The others answer it only once it has been taken in under its new life.
        for (auto& [a, b] : n.nodes)
          if (a != gone && b.best() != nullptr) {
            b.prop->abandon();
            n.propose(a, join_member(gone, Incarnation(incarnation)));
            break;
          }
        n.run();
      }
    }
    n.run();
    check_chain(n, seed);
    cr_assert(n.history.back().by_key().count("r/a") == 1, "seed %u", seed);
  }
}

Test(register_, a_vote_for_another_life_is_none) {
  Acceptor a(Incarnation(5), Ballot(), std::nullopt);
  PrepareResponse r{};
  cr_assert_not(a.prepare(PrepareRequest{Ballot(9), Ballot(), Incarnation(4)}, r).write);
  cr_assert_not(r.ok);
  AcceptResponse q{};
  AcceptRequest acc{};
  acc.ballot = Ballot(9);
  acc.incarnation = Incarnation(4);
  cr_assert_not(a.accept(acc, q).write);
  cr_assert_not(q.ok);
}

Test(register_, minority_wins_nothing) {
  Net n(7, 5);
  for (int i = 2; i < 5; ++i)
    n.nodes.at(Net::name(i)).up = false;
  n.propose(Net::name(0), put_item("r/a", 1, "x"));
  n.run();
  cr_assert(n.history.empty());
}

Test(register_, one_way_cut_does_not_split) {
  Net n(3, 3);
  n.cut.insert({Net::name(0), Net::name(1)});
  n.cut.insert({Net::name(0), Net::name(2)});
  n.propose(Net::name(0), put_item("r/a", 1, "cut"));
  n.run();
  cr_assert(n.history.empty());
  n.propose(Net::name(1), put_item("r/a", 1, "whole"));
  n.run();
  cr_assert_eq(n.history.size(), 1u);
  cr_assert_str_eq(n.history[0].by_key().at("r/a").body.c_str(), "whole");
}

// A disk that takes nothing more stops voting; the others go on without it.
Test(register_, full_disk_does_not_vote) {
  Net n(3, 3);
  n.nodes.at(Net::name(2)).votes = false;
  n.propose(Net::name(0), put_item("r/a", 1, "x"));
  n.run();
  cr_assert_eq(n.history.size(), 1u);
  n.nodes.at(Net::name(1)).votes = false;
  n.propose(Net::name(0), put_item("r/a", 2, "y"));
  n.run();
  cr_assert_eq(n.history.size(), 1u);
}

// Four members, a fifth joins: three of the new five are no majority of the old four.
Test(register_, a_step_of_the_roster_needs_both_majorities) {
  Net n(1, 4);
  n.add(4, Incarnation(50), true);
  std::string const e = Net::name(4);
  n.propose(e, join_member(e, Incarnation(50)));
  Node& x = n.nodes.at(e);
  while (!n.bag.empty() && n.bag.front().what != 2) {
    Msg const m = n.bag.front();
    n.bag.erase(n.bag.begin());
    n.deliver(n.nodes.at(m.to), m);
  }
  int old = 0;
  std::vector<Msg> held;
  std::vector<Msg> accs;
  accs.swap(n.bag);
  for (Msg const& m : accs) {
    if (m.what != 2) continue;
    if (m.to != e && ++old > 2) {
      held.push_back(m);
      continue;
    }
    n.deliver(n.nodes.at(m.to), m);
  }
  n.run();
  cr_assert_not(x.prop->won());
  cr_assert_not(held.empty());
  n.bag.push_back(held.front());
  n.run();
  cr_assert(x.prop->won());
}

// A brings members in, but the accepts reach the newcomers only: the steps are not won.
// The others go on without it; A, with the newcomers alone, must not.
Test(register_, a_step_that_is_not_won_lends_nobody_a_majority) {
  std::string const a = Net::name(0), b = Net::name(1), c = Net::name(2), d = Net::name(3), e = Net::name(4);
  auto only = [](Net& n, std::set<std::string> const& who, auto lost) {
    while (!n.bag.empty()) {
      Msg const m = n.bag.front();
      n.bag.erase(n.bag.begin());
      if (who.count(m.from) > 0 && who.count(m.to) > 0 && !lost(m)) n.deliver(n.nodes.at(m.to), m);
    }
  };
  auto none = [](Msg const&) { return false; };
  for (bool const at_once : {true, false}) {
    Net n(1, 3);
    n.add(3, Incarnation(50), false);
    n.add(4, Incarnation(51), false);
    auto const join_d = join_member(d, Incarnation(50)), join_e = join_member(e, Incarnation(51));
    std::vector<Proposer::Change> steps{join_d, join_e};
    if (at_once) steps = {[=](ReplicatedState& s) { return join_d(s) && join_e(s); }};
    for (auto const& s : steps) {
      n.nodes.at(a).prop->abandon();
      n.propose(a, s);
      only(n, {a, b, c, d, e}, [&](Msg const& m) { return m.what == 2 && (m.to == b || m.to == c); });
    }
    cr_assert(n.history.empty());
    for (int i = 0; i < 2; ++i) {
      n.nodes.at(b).prop->abandon();
      n.propose(b, put_item("r/x", 1, "b"));
      only(n, {b, c}, none);
    }
    cr_assert_geq(n.history.size(), 1u);
    n.nodes.at(a).prop->abandon();
    n.propose(a, put_item("r/x", 1, "a"));
    only(n, {a, d, e}, none);
    cr_assert_not(n.nodes.at(a).prop->won(), "two values stand");
    // Once all meet again, one outcome is left.
    n.propose(a, put_item("r/x", 1, "a"));
    n.run();
    n.propose(a, put_item("r/x", 1, "a"));
    n.run();
    check_chain(n, at_once);
    cr_assert_str_eq(n.history.back().by_key().at("r/x").body.c_str(), "b");
  }
}
