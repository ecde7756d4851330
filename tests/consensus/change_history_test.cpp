/// What a member lacks: sent by the ballot at which each part changed, in the rounds themselves.
#include <criterion/criterion.h>

#include "consensus/round_timeout.hpp"
#include "consensus/state_chunk.hpp"
#include "support/simulated_network.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
void find_deltas_on_own_disk(SimulatedNode& n) {
  n.proposer = std::make_unique<Proposer>(n.ip, [&n](Ballot have, Ballot ballot) {
    return n.acceptor->state() && n.acceptor->state()->ballot == ballot ? n.acceptor->changes_since(have)
                                                                        : std::nullopt;
  });
}
/// Delivers everything in flight in random order; returns the bytes that go to `ip`.
std::size_t run_counting(SimulatedNetwork& n, std::string const& ip) {
  std::size_t bytes = 0;
  while (!n.bag.empty()) {
    std::size_t const i = n.random() % n.bag.size();
    SimulatedMessage const m = n.bag[i];
    n.bag.erase(n.bag.begin() + static_cast<long>(i));
    SimulatedNode& to = n.nodes.at(m.to);
    if (!to.is_up || m.kind == SimulatedMessage::Kind::commit)
      continue;  // nobody learns of commits: only rounds are looked at
    if (m.to == ip) bytes += m.body.size();
    n.deliver(to, m);
  }
  return bytes;
}
AcceptRequest accept_request(ReplicatedState const& from, ReplicatedState to, Ballot b, bool whole) {
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

// Values follow each other by changes, and now and then one is replaced by a value that was not made from it, as when
// it was never committed. From each of them that is still known, the delta leads to the newest.
Test(change_history, the_delta_from_any_known_value_leads_to_the_newest) {
  std::size_t known = 0;
  for (unsigned seed = 1; seed <= 150; ++seed) {
    std::mt19937 r(seed);
    ReplicatedState s;
    for (int i = 0; i < 3; ++i)
      s.membership.push_back(member(SimulatedNetwork::name(i), Incarnation(1)));
    s.ballot = Ballot(1);
    Acceptor a(Incarnation(1), Ballot(1), s);
    std::vector<ReplicatedState> was{s};
    for (u64 b = 2; b < 40; ++b) {
      // Mostly on top of the newest; sometimes of the one before it.
      bool const sibling = was.size() > 2 && r() % 8 == 0;
      ReplicatedState to = sibling ? was[was.size() - 2] : was.back();
      switch (r() % 5) {
        case 0: join_member(SimulatedNetwork::name(static_cast<int>(r() % 5)), Incarnation(1 + r() % 2))(to); break;
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
      a.accept(accept_request(was.back(), to, Ballot(b), sibling || r() % 9 == 0), q);
      cr_assert(q.is_accepted);
      was.push_back(*a.state());
    }
    for (ReplicatedState x : was) {
      auto const d = a.changes_since(x.ballot);
      if (!d) continue;
      ++known;
      cr_assert(apply(x, *d));
      cr_assert(codec::pack(x) == codec::pack(*a.state()), "seed %u", seed);
    }
  }
  cr_assert_gt(known, 150u * 12u);
}

// A member is away for 300 changes to a value of 400 items, loses power, and comes back while changes go on. It has the
// newest value by the first round that reaches it, and was sent what changed, not the value; a round of its own begins
// with its old value and loses nothing.
Test(change_history, a_member_back_after_hundreds_of_changes_catches_up_by_what_changed) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SimulatedNetwork n(seed, 3);
    for (auto& [ip, x] : n.nodes)
      find_deltas_on_own_disk(x);
    std::string const a = SimulatedNetwork::name(0), b = SimulatedNetwork::name(1), gone = SimulatedNetwork::name(2);
    n.propose(a, [](ReplicatedState& s) {
      for (int i = 0; i < 400; ++i)
        s.items.push_back(ConfigItem{"r/" + std::to_string(1000 + i), Generation(1), false, std::string(200, 'x')});
      return true;
    });
    run_counting(n, gone);
    std::size_t const whole = codec::pack(*n.nodes.at(gone).acceptor->state()).size();
    n.nodes.at(gone).is_up = false;
    for (u64 i = 0; i < 300; ++i) {
      n.propose(i % 2 == 0 ? a : b, put_item("r/" + std::to_string(1000 + i % 50), 2 + i, std::string(200, 'y')));
      run_counting(n, gone);
    }
    cr_assert_geq(n.history.size(), 299u);
    n.reboot(gone);
    find_deltas_on_own_disk(n.nodes.at(gone));
    std::size_t bytes = 0;
    std::size_t const before = n.history.size();
    for (u64 i = 0; i < 10; ++i) {
      // Its first ballot is an old one and loses; with the next it reads what it missed.
      n.propose(seed % 2 == 0 && i < 2 ? gone : i % 2 == 0 ? a : b, put_item("r/new" + std::to_string(i), 1, "z"));
      bytes += run_counting(n, gone);
      if (i == 1 || i == 2)
        cr_assert(n.nodes.at(gone).acceptor->state()->ballot == n.history.back().ballot, "seed %u", seed);
    }
    cr_assert(n.nodes.at(gone).acceptor->state()->ballot == n.history.back().ballot);
    cr_assert_geq(n.history.size(), before + 9);
    cr_assert_eq(n.history.back().items.size(), 400u + n.history.size() - before, "seed %u", seed);
    for (ConfigItem const& i : n.history.back().items)
      cr_assert(i.key >= "r/1050" || i.gen.v > 1, "seed %u: %s went back", seed, i.key.c_str());
    cr_assert_lt(bytes, whole / 2, "seed %u: %zu bytes for a value of %zu", seed, bytes, whole);
  }
}

// A member without a base value receives chunks while the value changes between any two of them, loses some, gets some
// twice, and asks another member whose history is shorter: it ends with a complete value, the chunks are bounded, and
// what arrived is kept.
Test(change_history, chunks_of_a_changing_value_make_a_complete_one) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 r(seed);
    ReplicatedState s;
    s.ballot = Ballot(1);
    s.membership.push_back(member(SimulatedNetwork::name(0), Incarnation(1)));
    for (int i = 0; i < 300; ++i)
      s.items.push_back(ConfigItem{"r/" + std::to_string(1000 + i), Generation(1), false, std::string(100, 'x')});
    Acceptor a(Incarnation(1), Ballot(1), s);
    ChunkAssembler assembler;
    std::optional<ReplicatedState> got;
    std::size_t pieces = 0;
    std::string last;
    for (u64 b = 2; !got; ++b) {
      cr_assert_lt(b, 400u, "seed %u: it never ends", seed);
      if (r() % 3 != 0) {
        ReplicatedState to = *a.state();
        put_item("r/" + std::to_string(900 + r() % 500), b, std::string(100, 'y'))(to);
        AcceptResponse q;
        a.accept(accept_request(*a.state(), to, Ballot(b), false), q);
      }
      bool const other = seed % 4 == 0 && b == 20;
      auto const since = [&](Ballot x) { return other ? std::nullopt : a.changes_since(x); };
      StateChunk const p = next_chunk(*a.state(), a.checksum(), assembler.have(), assembler.after(), since, 2000);
      std::string const packed = codec::pack(p);
      cr_assert_lt(packed.size(), 8000u);
      ++pieces;
      if (r() % 5 == 0) continue;  // lost with the connection; asked for again
      if (!last.empty() && r() % 5 == 0) {
        std::string const had = assembler.after();
        cr_assert_not(assembler.take(codec::unpack<StateChunk>(last)).is_used, "seed %u", seed);
        cr_assert_str_eq(assembler.after().c_str(), had.c_str(), "seed %u", seed);
      }
      last = packed;
      got = assembler.take(codec::unpack<StateChunk>(packed)).complete;
    }
    cr_assert(codec::pack(*got) == codec::pack(*a.state()), "seed %u", seed);
    cr_assert_gt(pieces, 15u);
    StateChunk bad = next_chunk(
        *a.state(), a.checksum(), Ballot(), "", [](Ballot) { return std::nullopt; }, 1 << 20);
    bad.part.items[7].body[3] ^= 1;
    cr_assert_not(ChunkAssembler().take(bad).complete.has_value());
  }
}

// The time-out grows with what a majority is to be sent, over the links as they were measured.
Test(change_history, a_round_waits_for_the_bytes_that_a_majority_is_sent) {
  RoundTimeout p(1e6);
  std::vector<std::string> const others{"a", "b", "c", "d"};
  Seconds const idle = p.timeout(others);
  cr_assert(idle > 1 && idle < 1.5);
  p.asked("a", 4000000, 0);
  cr_assert_float_eq(p.timeout(others), idle, 1e-9, "two of the others are enough");
  for (char const* x : {"b", "c"})
    p.asked(x, 4000000, 0);
  cr_assert_float_eq(p.timeout(others), idle + 8, 1e-9);
  for (char const* x : {"a", "b", "c"})
    p.answered(x, 16);  // a quarter of the assumed rate
  cr_assert_float_eq(p.timeout(others), idle, 1e-9);
  for (char const* x : {"a", "b", "c"})
    p.asked(x, 4000000, 20);
  cr_assert(p.timeout(others) > idle + 10);
  p.begin();
  cr_assert_float_eq(p.timeout(others), idle, 1e-9);
}
