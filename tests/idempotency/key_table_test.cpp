#include <criterion/criterion.h>

#include <map>
#include <random>
#include <set>

#include "idempotency/key_table.hpp"

using namespace dockbend;

namespace {
ClaimRequest claim(std::string k, u64 holder, u64 epoch = 1) {
  ClaimRequest c{};
  c.key = std::move(k);
  c.holder = holder;
  c.epoch = Epoch(epoch);
  c.work_ms = 1000;
  return c;
}
}  // namespace

Test(keys, first_come_and_only_one) {
  KeyTable l(true);
  ClaimResponse r{};
  cr_assert(l.claim(claim("k", 7), Epoch(1), 0, r) == ClaimVote::granted);
  cr_assert(l.claim(claim("k", 7), Epoch(1), 0, r) == ClaimVote::granted, "the same holder may ask again");
  cr_assert(l.claim(claim("k", 8), Epoch(1), 0.5, r) == ClaimVote::held);
  cr_assert(r.at_work);
  cr_assert(l.claim(claim("k", 8), Epoch(1), 1.5, r) == ClaimVote::held);
  cr_assert_not(r.at_work, "its time is up");
  ReleaseRequest rel{};
  rel.key = "k";
  rel.holder = 8;
  cr_assert_not(l.release(rel), "only its holder gives it back");
  rel.holder = 7;
  cr_assert(l.release(rel));
  cr_assert(l.claim(claim("k", 8), Epoch(1), 2, r) == ClaimVote::held, "whoever released claims no more");
  cr_assert_eq(l.late(), 1u);
  cr_assert(l.claim(claim("k", 9), Epoch(1), 2, r) == ClaimVote::granted);
}

// Claimed twice by one holder; the first write fails, another gets the key, and only then
// the second write ends.
Test(keys, a_grant_that_another_has_meanwhile_is_not_said) {
  KeyTable l(true);
  ClaimResponse r{};
  l.claim(claim("k", 7), Epoch(1), 0, r);
  l.claim(claim("k", 7), Epoch(1), 0, r);
  cr_assert_not(l.written("k", 7, false));
  cr_assert(l.claim(claim("k", 8), Epoch(1), 0, r) == ClaimVote::granted);
  cr_assert_not(l.written("k", 7, true));
  cr_assert(l.written("k", 8, true));
}

Test(keys, a_write_that_failed_grants_nothing) {
  KeyTable l(true);
  ClaimResponse r{};
  l.claim(claim("k", 7), Epoch(1), 0, r);
  l.written("k", 7, false);
  cr_assert(l.claim(claim("k", 8), Epoch(1), 0, r) == ClaimVote::granted);
  l.written("k", 8, true);
  l.written("k", 8, false);
  cr_assert(l.claim(claim("k", 9), Epoch(1), 0, r) == ClaimVote::held, "what is on disk stays");
}

Test(keys, other_epoch_and_empty_disk_say_nothing) {
  KeyTable l(true);
  ClaimResponse r{};
  cr_assert(l.claim(claim("k", 7, 1), Epoch(2), 0, r) == ClaimVote::epoch);
  KeyTable n(false);
  cr_assert(n.claim(claim("k", 7), Epoch(1), 0, r) == ClaimVote::unready);
  n.seal("k", 7, 0);
  n.set_whole();
  cr_assert(n.claim(claim("k", 7), Epoch(1), 0, r) == ClaimVote::held,
            "what was copied is not granted, not even to its holder");
}

Test(keys, says_of_another_roster_are_no_votes) {
  ClaimQuorum q(3, Epoch(2));
  ClaimResponse r{};
  r.epoch = Epoch(1);
  for (ClaimVote const s : {ClaimVote::held, ClaimVote::granted})
    for (char const* d : {"a", "b", "c"}) {
      r.say = s;
      cr_assert(q.hear(d, r) == ClaimQuorum::Result::open);
    }
  cr_assert_eq(q.grants() + q.refusals(), 0u);
}

Test(keys, kept_past_the_horizon_and_anew_after_a_restart) {
  KeyTable l(true);
  ClaimResponse r{};
  l.load("k", 7, false, 100);
  cr_assert(l.forget(60, 159, 10).empty());
  cr_assert(l.claim(claim("k", 8), Epoch(1), 159, r) == ClaimVote::held);
  cr_assert_eq(l.forget(60, 161, 10).size(), 1u);
  cr_assert(l.claim(claim("k", 8), Epoch(1), 161, r) == ClaimVote::granted);
}

// Two holders ask the disks in any order, with losses, restarts of the askers and
// one wiped disk that is filled from a majority of the others: never do both win.
Test(keys, two_holders_never_both_win) {
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    std::mt19937 rnd(seed);
    int const n = 3 + static_cast<int>(rnd() % 4);
    int const maj = n / 2 + 1;
    std::vector<KeyTable> d(static_cast<std::size_t>(n), KeyTable(true));
    std::vector<u64> epoch(static_cast<std::size_t>(n), 1);
    std::vector<Incarnation> incarnation(static_cast<std::size_t>(n), Incarnation(1));
    struct QuotaDemand {
      u64 holder;
      int to;
      u64 epoch;
    };
    std::vector<QuotaDemand> bag;
    for (u64 h : {7, 8})
      for (int i = 0; i < n; ++i)
        bag.push_back({h, i, 1});
    std::shuffle(bag.begin(), bag.end(), rnd);
    std::map<u64, ClaimQuorum> q;
    for (u64 h : {7, 8})
      q.emplace(h, ClaimQuorum(static_cast<std::size_t>(n), Epoch(1)));
    std::set<u64> won;
    int const wiped = static_cast<int>(rnd() % static_cast<unsigned>(n));
    std::size_t const when = rnd() % bag.size();
    for (std::size_t i = 0; i < bag.size(); ++i) {
      if (i == when) {
        // Every other disk takes the new roster, then the new disk is filled.
        d[static_cast<std::size_t>(wiped)] = KeyTable(false);
        incarnation[static_cast<std::size_t>(wiped)] = Incarnation(99);
        for (auto& e : epoch)
          e = 2;
        std::vector<int> others;
        for (int k = 0; k < n; ++k)
          if (k != wiped) others.push_back(k);
        std::shuffle(others.begin(), others.end(), rnd);
        for (int k = 0; k < std::min<int>(maj, static_cast<int>(others.size())); ++k)
          for (HeldKey const& hk : d[static_cast<std::size_t>(others[static_cast<std::size_t>(k)])].all())
            d[static_cast<std::size_t>(wiped)].seal(hk.key, hk.holder, 0);
        if (static_cast<int>(others.size()) >= maj) d[static_cast<std::size_t>(wiped)].set_whole();
        // Those still asking begin again under the new roster.
        for (u64 h : {7, 8})
          if (won.count(h) == 0) {
            q.erase(h);
            q.emplace(h, ClaimQuorum(static_cast<std::size_t>(n), Epoch(2)));
            for (int k = 0; k < n; ++k)
              bag.push_back({h, k, 2});
          }
        std::shuffle(bag.begin() + static_cast<long>(i) + 1, bag.end(), rnd);
      }
      QuotaDemand const w = bag[i];
      if (rnd() % 10 == 0 || won.count(w.holder) > 0) continue;
      auto const to = static_cast<std::size_t>(w.to);
      ClaimResponse r{};
      ClaimRequest const c = claim("k", w.holder, w.epoch);
      if (d[to].claim(c, Epoch(epoch[to]), 0, r) == ClaimVote::granted) d[to].written("k", w.holder, true);
      if (q.at(w.holder).epoch() == Epoch(w.epoch) &&
          q.at(w.holder).hear(std::to_string(w.to) + "/" + std::to_string(incarnation[to].v), r) ==
              ClaimQuorum::Result::granted)
        won.insert(w.holder);
    }
    cr_assert(won.size() <= 1, "seed %u: both hold the key", seed);
  }
}

// A new disk copied a key from one who held it for a moment, then from those whose
// holder ran it. The first one's release must not free what the other ran.
Test(keys, a_losers_release_frees_no_sealed_key_of_another) {
  for (bool const loser_first : {true, false}) {
    KeyTable l(false);
    u64 const ran = 7, loser = 9;
    l.seal("k", loser_first ? loser : ran, 1);
    l.seal("k", loser_first ? ran : loser, 1);
    l.set_whole();
    ReleaseRequest r;
    r.key = "k";
    for (u64 const h : {loser, ran, KeyTable::nobody}) {
      r.holder = h;
      cr_assert_not(l.release(r));
    }
    ClaimRequest c;
    c.key = "k";
    c.holder = 11;
    c.epoch = Epoch(3);
    ClaimResponse a;
    cr_assert(l.claim(c, Epoch(3), 2, a) == ClaimVote::held);
  }
  // With one holder only, its release frees it.
  KeyTable l(false);
  l.seal("k", 5, 1);
  l.seal("k", 5, 1);
  ReleaseRequest r;
  r.key = "k";
  r.holder = 5;
  cr_assert(l.release(r));
}
