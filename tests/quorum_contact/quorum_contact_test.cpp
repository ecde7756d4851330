#include "quorum_contact/quorum_contact.hpp"

#include <criterion/criterion.h>

#include <random>
#include <set>

#include "quorum_contact/controller_selection.hpp"

using namespace dockbend;

namespace {

// Nodes that ask each other over a simulated network: letters take `way`, some ways are cut
// without a word, a frozen node reads what waits for it only when it thaws.
struct Town {
  struct Message {
    Seconds at = 0;
    std::string from, to;
    bool answer = false;
    u32 number = 0;
    ContactProbeResponse r;
  };
  struct Node {
    QuorumContact<> c;
    Ballot ballot;
    Incarnation incarnation{1};
    bool frozen = false;
    std::vector<std::string> near_first;
  };

  explicit Town(int n, Seconds w = 0.03) : way(w) {
    for (int i = 0; i < n; ++i)
      nodes[ip(i)].c = QuorumContact<>(ContactOptions::of(Bounds()), ip(i), static_cast<u32>(1000 * i));
    for (auto& [me, x] : nodes) {
      std::vector<QuorumContact<>::Voter> v;
      for (auto const& [o, y] : nodes) {
        v.push_back({o, Incarnation(1)});
        if (o != me) x.near_first.push_back(o);
      }
      x.c.members(v, Incarnation(1));
    }
    run(2);
  }
  static std::string ip(int i) { return "10.0.0." + std::to_string(100 + i); }
  Node& at(int i) { return nodes.at(ip(i)); }
  bool in(int i) { return at(i).c.in_contact(now); }
  void cut(int a, int b, bool back = true) {
    ways_cut.insert({ip(a), ip(b)});
    if (back) ways_cut.insert({ip(b), ip(a)});
  }
  void cut_off(int a, bool out = true, bool in = true) {
    for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
      if (i != a && out) cut(a, i, false);
      if (i != a && in) cut(i, a, false);
    }
  }
  void send(Message l) {
    l.at = now + way;
    if (ways_cut.count({l.from, l.to}) == 0) bag.push_back(l);
  }
  void step() {
    now += 0.01;
    ++turn;
    std::vector<Message> later, due;
    for (Message& l : bag)
      (l.at <= now && !nodes.at(l.to).frozen ? due : later).push_back(l);
    bag = later;
    for (Message const& l : due) {
      Node& n = nodes.at(l.to);
      if (l.answer) {
        n.c.answered(l.from, l.number, l.r);
        continue;
      }
      ContactProbeResponse r;
      r.incarnation = n.incarnation;
      r.ballot = n.ballot;
      r.left = n.c.left(now);
      send({0, l.to, l.from, true, l.number, r});
    }
    for (auto& [me, n] : nodes) {
      if (n.frozen) continue;
      // Who sends a caller on sends it to a node that is in contact at that moment.
      if (std::string const o = n.c.other(now); !o.empty())
        cr_assert(nodes.at(o).c.in_contact(now), "%s sends on to %s", me.c_str(), o.c_str());
      if (turn % 10 != 0) continue;
      for (std::string const& o : n.c.due(n.near_first, now)) {
        ++asked;
        send({0, me, o, false, n.c.ask(o, now), {}});
      }
    }
  }
  // All the while, `stay` are in contact. True if none of `out` is at the end, nor was from
  // `bound` after the beginning on.
  bool run(Seconds t, std::set<int> stay = {}, std::set<int> out = {}) {
    bool good = true;
    Seconds const from = now, bound = ContactOptions::of(Bounds()).bound;
    while (now < from + t) {
      step();
      for (int i : stay)
        cr_assert(in(i), "%d is out after %.2f s", i, now - from);
      for (int i : out)
        good = good && (now - from < bound || !in(i));
    }
    return good;
  }

  Seconds way, now = 100;
  int turn = 0, asked = 0;
  std::map<std::string, Node> nodes;
  std::vector<Message> bag;
  std::set<std::pair<std::string, std::string>> ways_cut;
};

ContactProbeResponse said(u64 ballot, Seconds left = 1, u64 incarnation = 1) {
  ContactProbeResponse r;
  r.incarnation = Incarnation(incarnation);
  r.ballot = Ballot(ballot);
  r.left = left;
  return r;
}

}  // namespace

// One of five, cut silently, both ways and either way: it is out within the bound, the others
// never are; its contact returns with the first answers.
Test(contact, a_silent_cut_is_noticed_whichever_way_it_goes) {
  for (auto const& [out, in] : {std::pair{true, true}, {true, false}, {false, true}}) {
    Town t(5);
    t.run(1, {0, 1, 2, 3, 4});
    t.cut_off(0, out, in);
    cr_assert(t.run(20, {1, 2, 3, 4}, {0}), "cut %d%d", out, in);
    t.ways_cut.clear();
    t.run(0.8, {1, 2, 3, 4});
    cr_assert(t.in(0));
  }
}

// Two of five that reach each other but nobody else.
Test(contact, two_of_five_are_out_together) {
  Town t(5);
  for (int a : {0, 1})
    for (int b : {2, 3, 4})
      t.cut(a, b);
  cr_assert(t.run(10, {2, 3, 4}, {0, 1}));
  t.cut(2, 3);  // 4 reaches both: it stays, they have but two each
  cr_assert(t.run(5, {4}, {0, 1, 2, 3}));
  cr_assert_eq(t.at(2).c.other(t.now), Town::ip(4));
  cr_assert_eq(t.at(0).c.other(t.now), "");
}

// Who stood still finds answers waiting for it. They were asked for before.
Test(contact, a_frozen_asker_does_not_believe_what_waited_for_it) {
  Town t(3);
  t.at(0).frozen = true;
  t.run(5, {1, 2});
  t.at(0).frozen = false;
  t.cut_off(0);
  cr_assert_not(t.in(0));
  t.run(0.3);
  cr_assert_not(t.in(0));
}

Test(contact, frozen_peers_are_missed_and_their_late_answers_are_old) {
  Town t(5);
  for (int i : {2, 3, 4})
    t.at(i).frozen = true;
  cr_assert(t.run(8, {}, {0, 1}));
  // Nothing new gets through to them, but they answer what waited.
  for (int i : {2, 3, 4}) {
    t.at(i).frozen = false;
    for (int j : {0, 1})
      t.cut(j, i, false);
  }
  cr_assert_not(t.in(0));
  t.run(0.04);
  cr_assert(t.run(3, {}, {0, 1}));
}

// An answer fits one question, of this life and over the connection it was asked over; a disk
// that was replaced is not the member that the roster names.
Test(contact, answers_of_an_earlier_life_count_nothing) {
  QuorumContact<> old(ContactOptions(), "a", 7);
  u32 const before = old.ask("b", 0);
  QuorumContact<> c(ContactOptions(), "a", 5000);
  c.members({{"a", Incarnation(1)}, {"b", Incarnation(1)}}, Incarnation(1));
  c.ask("b", 1);
  cr_assert_not(c.answered("b", before, said(0)));
  cr_assert_not(c.answered("b", 0, said(0)));
  u32 const over_old = c.ask("b", 1);
  c.connected("b");
  cr_assert_not(c.answered("b", over_old, said(0)));
  cr_assert_not(c.in_contact(1));
  u32 const n = c.ask("b", 1);
  cr_assert(c.answered("b", n, said(0, 1, 2)));  // another disk
  cr_assert_not(c.in_contact(1));
  u32 const m = c.ask("b", 1);
  cr_assert(c.answered("b", m, said(0)));
  cr_assert(c.in_contact(1));
  cr_assert_not(c.answered("b", m, said(0)));  // once
  cr_assert_not(c.answered("b", n, said(0)));  // older than what was answered
}

// A member answers, but knows of a change that we don't: what we would serve is old.
Test(contact, who_lacks_what_members_know_is_not_in_contact) {
  QuorumContact<> c(ContactOptions(), "a", 1);
  c.members({{"a", Incarnation(1)}, {"b", Incarnation(1)}, {"c", Incarnation(1)}}, Incarnation(1));
  c.knows(Ballot(4));
  cr_assert(c.answered("b", c.ask("b", 10), said(5)));
  cr_assert_not(c.in_contact(10.1));
  c.knows(Ballot(5));
  cr_assert(c.in_contact(10.1));
  cr_assert(c.answered("b", c.ask("b", 11), said(9)));  // the older answer still counts
  cr_assert_eq(c.since(11.1), 10);
  cr_assert_not(c.in_contact(11.6));
}

// Fifteen in three regions, the far ones 0.1 s away: nobody asks all, nobody loses contact,
// also when the near ones are gone.
Test(contact, of_many_only_as_many_are_asked_as_it_takes) {
  Town t(15, 0.1);
  t.asked = 0;
  std::set<int> all, rest;
  for (int i = 0; i < 15; ++i)
    all.insert(i);
  for (int i = 4; i < 15; ++i)
    rest.insert(i);
  t.run(6, all);
  cr_assert_lt(t.asked, 15 * 8 * 11, "%d questions", t.asked);
  for (int i = 0; i < 4; ++i)
    t.cut_off(i);
  cr_assert(t.run(6, rest, {0, 1, 2, 3}));
}

// Bounds follow from what the operators promise, whatever that is.
Test(contact, times_are_derived_from_the_apply_bound) {
  for (double const apply : {1.5, 2.5, 4.0, 10.0}) {
    Bounds b;
    b.applyBoundS = apply;
    ContactOptions const p = ContactOptions::of(b);
    Seconds const tick = 0.1, way = 0.05;
    cr_assert_leq(p.bound + tick + 4 * way, apply * 0.81);      // agents are fed by another
    cr_assert_lt(p.pace + tick + 2 * way, p.widen + 2 * tick);  // in calm times few widen for long
    cr_assert_lt(p.widen + tick + 2 * way, p.bound);            // and widening comes in time
  }
}

// An agent whose two nearest nodes are cut off from the core is fed by others well inside
// applyBoundS, and goes back when they are in contact to stay.
Test(contact, an_agent_leaves_feeders_that_are_out_of_contact) {
  Town t(5);
  std::map<std::string, ReportedContact> word;
  std::vector<std::string> fed;
  auto const live = [&](Seconds for_s) {  // it hears a feeder at once when that changes, others each 0.6 s
    for (Seconds const from = t.now; t.now < from + for_s;) {
      t.step();
      if (t.turn % 10 != 0) continue;
      std::vector<ControllerCandidate> v;
      for (int i = 0; i < 5; ++i) {
        bool const feeds = std::find(fed.begin(), fed.end(), Town::ip(i)) != fed.end();
        if (feeds || t.turn % 60 == 0) word[Town::ip(i)].hear(t.in(i), t.now);
        v.push_back({Town::ip(i), word[Town::ip(i)].rank(t.now, feeds), i / 2, static_cast<u64>(i)});
      }
      fed = choose_feeders(v, 2);
    }
  };
  using V = std::vector<std::string>;
  live(1);
  cr_assert(fed == (V{Town::ip(0), Town::ip(1)}));
  for (int a : {0, 1})
    for (int b : {2, 3, 4})
      t.cut(a, b);
  live(0.8 * Bounds().applyBoundS);
  cr_assert(fed == (V{Town::ip(2), Town::ip(3)}));
  t.cut(2, 3);
  t.cut(3, 4);  // nobody has a majority: the nearest serve on
  t.cut(2, 4);
  live(3);
  cr_assert(fed == (V{Town::ip(0), Town::ip(1)}));
  t.ways_cut.clear();
  live(4);
  cr_assert(fed == (V{Town::ip(0), Town::ip(1)}));
}

Test(contact, who_comes_and_goes_is_not_gone_back_to_each_time) {
  ReportedContact s(1.2);
  cr_assert_eq(s.rank(0, false), 1);
  s.hear(true, 0);
  cr_assert_eq(s.rank(0, false), 0);  // never out: believed at once
  s.hear(false, 1);
  cr_assert_eq(s.rank(1, true), 2);
  s.hear(true, 2);
  cr_assert_eq(s.rank(2, false), 1);
  cr_assert_eq(s.rank(2, true), 0);
  cr_assert_eq(s.rank(3.3, false), 0);
}

// Long days of random cuts and freezes: a node that says it is in contact can't have been cut
// off for longer than the bound, and whom it sends callers on to is in contact.
Test(contact, random_cuts_never_outlast_the_bound) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    std::mt19937 rnd(seed);
    Town t(5);
    Seconds const bound = ContactOptions::of(Bounds()).bound;
    std::map<int, Seconds> reached;  // when it last had both ways to a majority
    for (int turn = 0; turn < 6000; ++turn) {
      if (rnd() % 60 == 0) t.cut(static_cast<int>(rnd() % 5), static_cast<int>(rnd() % 5), rnd() % 2 == 0);
      if (rnd() % 400 == 0) t.ways_cut.clear();
      if (rnd() % 200 == 0) t.at(static_cast<int>(rnd() % 5)).frozen = true;
      if (rnd() % 100 == 0)
        for (int i = 0; i < 5; ++i)
          t.at(i).frozen = false;
      for (int i = 0; i < 5; ++i) {
        int n = 1;
        for (int j = 0; j < 5; ++j)
          n += i != j && !t.at(i).frozen && !t.at(j).frozen && t.ways_cut.count({Town::ip(i), Town::ip(j)}) == 0 &&
                       t.ways_cut.count({Town::ip(j), Town::ip(i)}) == 0
                   ? 1
                   : 0;
        if (n >= 3) reached[i] = t.now;
      }
      t.step();
      for (int i = 0; i < 5; ++i)
        // Letters under way when a freeze ends may make up a majority that never stood at once.
        if (t.in(i)) cr_assert_lt(t.now - reached[i], 2 * bound, "seed %u, node %d", seed, i);
    }
  }
}
