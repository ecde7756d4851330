// What a member lacks: sent by the ballot at which each thing changed, in the rounds themselves.
#include <criterion/criterion.h>

#include "consensus/round_timeout.hpp"
#include "consensus/state_chunk.hpp"
#include "support/simulated_network.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
void leads(Node& n) {
  n.prop = std::make_unique<Proposer>(n.ip, [&n](Ballot have, Ballot ballot) {
    return n.acc->state() && n.acc->state()->ballot == ballot ? n.acc->since(have) : std::nullopt;
  });
}
// All that is under way, in an order drawn; what goes to `ip` is counted.
std::size_t run_counting(Net& n, std::string const& ip) {
  std::size_t bytes = 0;
  while (!n.bag.empty()) {
    std::size_t const i = n.rnd() % n.bag.size();
    Msg const m = n.bag[i];
    n.bag.erase(n.bag.begin() + static_cast<long>(i));
    Node& to = n.nodes.at(m.to);
    if (!to.up || m.what == 4) continue;  // nobody is told what was won: only rounds are looked at
    if (m.to == ip) bytes += m.body.size();
    n.deliver(to, m);
  }
  return bytes;
}
AcceptRequest acc_of(ReplicatedState const& from, ReplicatedState to, Ballot b, bool whole) {
  to.ballot = b;
  AcceptRequest a;
  a.ballot = b;
  a.incarnation = Incarnation(1);
  if (whole)
    a.state = codec::pack(to);
  else
    a.delta = codec::pack(delta_of(from, to));
  return a;
}
}  // namespace

// Values follow each other by changes, and now and then one is replaced by another that does
// not come of it, as when it was never won. From every one of them that is still known, what
// is said to lack makes the newest.
Test(changes, what_lacks_makes_the_newest_value_of_any_that_was_held) {
  std::size_t known = 0;
  for (unsigned seed = 1; seed <= 150; ++seed) {
    std::mt19937 r(seed);
    ReplicatedState s;
    for (int i = 0; i < 3; ++i)
      s.membership.push_back(member(Net::name(i), Incarnation(1)));
    s.ballot = Ballot(1);
    Acceptor a(Incarnation(1), Ballot(1), s);
    std::vector<ReplicatedState> was{s};
    for (u64 b = 2; b < 40; ++b) {
      // Mostly on top of the newest; sometimes of the one before it.
      bool const sibling = was.size() > 2 && r() % 8 == 0;
      ReplicatedState to = sibling ? was[was.size() - 2] : was.back();
      switch (r() % 5) {
        case 0: join_member(Net::name(static_cast<int>(r() % 5)), Incarnation(1 + r() % 2))(to); break;
        case 1:
          if (to.duties.empty())
            to.duties.push_back(Lease{"usage", "x", "", 1, 1, ""});
          else
            ++to.duties[0].counter;
          break;
        case 2:
          if (to.passes.empty()) {
            DrainRun p;
            p.id = b;
            p.state = DrainRunState::running;
            to.passes.push_back(p);
            for (u32 i = 0; i < 3; ++i)
              to.units.push_back(DrainUnit{b, "u" + std::to_string(i), "", i, DrainStage::waiting, 0});
          } else if (r() % 4 == 0) {
            to.passes.clear();
            to.units.clear();
          } else {
            to.units[r() % 3].stage = static_cast<DrainStage>(r() % 6);
          }
          break;
        default: put_item("r/" + std::to_string(r() % 12), 1 + r() % 99, std::to_string(b))(to);
      }
      AcceptResponse q;
      a.accept(acc_of(was.back(), to, Ballot(b), sibling || r() % 9 == 0), q);
      cr_assert(q.ok);
      was.push_back(*a.state());
    }
    for (ReplicatedState x : was) {
      auto const d = a.since(x.ballot);
      if (!d) continue;
      ++known;
      cr_assert(apply(x, *d));
      cr_assert(codec::pack(x) == codec::pack(*a.state()), "seed %u", seed);
    }
  }
  cr_assert_gt(known, 150u * 12u);
}

// A member is away for 300 changes to a value of 400 items, its power goes, and it comes back
// to more of them. It has the newest by the first round that reaches it, and was sent what
// changed, not the value; a round of its own begins with its old value and loses nothing.
Test(changes, a_member_back_after_hundreds_of_changes_catches_up_by_what_changed) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Net n(seed, 3);
    for (auto& [ip, x] : n.nodes)
      leads(x);
    std::string const a = Net::name(0), b = Net::name(1), gone = Net::name(2);
    n.propose(a, [](ReplicatedState& s) {
      for (int i = 0; i < 400; ++i)
        s.items.push_back(ConfigItem{"r/" + std::to_string(1000 + i), Generation(1), false, std::string(200, 'x')});
      return true;
    });
    run_counting(n, gone);
    std::size_t const whole = codec::pack(*n.nodes.at(gone).acc->state()).size();
    n.nodes.at(gone).up = false;
    for (u64 i = 0; i < 300; ++i) {
      n.propose(i % 2 == 0 ? a : b, put_item("r/" + std::to_string(1000 + i % 50), 2 + i, std::string(200, 'y')));
      run_counting(n, gone);
    }
    cr_assert_geq(n.history.size(), 299u);
    n.reboot(gone);
    leads(n.nodes.at(gone));
    std::size_t bytes = 0;
    std::size_t const before = n.history.size();
    for (u64 i = 0; i < 10; ++i) {
      // Its first ballot is an old one and loses; with the next it reads what it missed.
      n.propose(seed % 2 == 0 && i < 2 ? gone : i % 2 == 0 ? a : b, put_item("r/new" + std::to_string(i), 1, "z"));
      bytes += run_counting(n, gone);
      if (i == 1 || i == 2)
        cr_assert(n.nodes.at(gone).acc->state()->ballot == n.history.back().ballot, "seed %u", seed);
    }
    cr_assert(n.nodes.at(gone).acc->state()->ballot == n.history.back().ballot);
    cr_assert_geq(n.history.size(), before + 9);
    cr_assert_eq(n.history.back().items.size(), 400u + n.history.size() - before, "seed %u", seed);
    for (ConfigItem const& i : n.history.back().items)
      cr_assert(i.key >= "r/1050" || i.gen.v > 1, "seed %u: %s went back", seed, i.key.c_str());
    cr_assert_lt(bytes, whole / 2, "seed %u: %zu bytes for a value of %zu", seed, bytes, whole);
  }
}

// A member without a base gathers a value in pieces while it changes between any two of them,
// loses some, hears some twice, and asks another member that knows less far back: it ends with a
// value that was whole, its pieces are bounded, and what came stays.
Test(changes, pieces_of_a_value_that_changes_make_it_whole) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 r(seed);
    ReplicatedState s;
    s.ballot = Ballot(1);
    s.membership.push_back(member(Net::name(0), Incarnation(1)));
    for (int i = 0; i < 300; ++i)
      s.items.push_back(ConfigItem{"r/" + std::to_string(1000 + i), Generation(1), false, std::string(100, 'x')});
    Acceptor a(Incarnation(1), Ballot(1), s);
    ChunkAssembler g;
    std::optional<ReplicatedState> got;
    std::size_t pieces = 0;
    std::string last;
    for (u64 b = 2; !got; ++b) {
      cr_assert_lt(b, 400u, "seed %u: it never ends", seed);
      if (r() % 3 != 0) {
        ReplicatedState to = *a.state();
        put_item("r/" + std::to_string(900 + r() % 500), b, std::string(100, 'y'))(to);
        AcceptResponse q;
        a.accept(acc_of(*a.state(), to, Ballot(b), false), q);
      }
      bool const other = seed % 4 == 0 && b == 20;
      auto const since = [&](Ballot x) { return other ? std::nullopt : a.since(x); };
      StateChunk const p = piece_of(*a.state(), a.sum(), g.have(), g.after(), since, 2000);
      std::string const packed = codec::pack(p);
      cr_assert_lt(packed.size(), 8000u);
      ++pieces;
      if (r() % 5 == 0) continue;  // lost in a cut; asked for again
      if (!last.empty() && r() % 5 == 0) {
        std::string const had = g.after();
        cr_assert_not(g.take(codec::unpack<StateChunk>(last)).used, "seed %u", seed);
        cr_assert_str_eq(g.after().c_str(), had.c_str(), "seed %u", seed);
      }
      last = packed;
      got = g.take(codec::unpack<StateChunk>(packed)).whole;
    }
    cr_assert(codec::pack(*got) == codec::pack(*a.state()), "seed %u", seed);
    cr_assert_gt(pieces, 15u);
    StateChunk bad = piece_of(
        *a.state(), a.sum(), Ballot(), "", [](Ballot) { return std::nullopt; }, 1 << 20);
    bad.part.items[7].body[3] ^= 1;
    cr_assert_not(ChunkAssembler().take(bad).whole.has_value());
  }
}

// Patience grows with what a majority is to be sent, over the link as it was measured.
Test(changes, a_round_waits_for_the_bytes_that_a_majority_is_sent) {
  RoundTimeout p(1e6);
  std::vector<std::string> const others{"a", "b", "c", "d"};
  Seconds const idle = p.of(others);
  cr_assert(idle > 1 && idle < 1.5);
  p.asked("a", 4000000, 0);
  cr_assert_float_eq(p.of(others), idle, 1e-9, "two of the others are enough");
  for (char const* x : {"b", "c"})
    p.asked(x, 4000000, 0);
  cr_assert_float_eq(p.of(others), idle + 8, 1e-9);
  for (char const* x : {"a", "b", "c"})
    p.answered(x, 16);  // a quarter of what was believed
  cr_assert_float_eq(p.of(others), idle, 1e-9);
  for (char const* x : {"a", "b", "c"})
    p.asked(x, 4000000, 20);
  cr_assert(p.of(others) > idle + 10);
  p.begin();
  cr_assert_float_eq(p.of(others), idle, 1e-9);
}
