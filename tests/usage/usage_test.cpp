#include <criterion/criterion.h>

#include <random>

#include "usage/usage_totals.hpp"

using namespace dockbend;

// Rows of many proxies, late, twice and out of order, with proxies killed on the way,
// by two relays of which one forgets everything: each errand counts once.
Test(tally, rows_join_to_the_same_sum_whatever_their_way) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 rnd(seed);
    std::map<std::string, u64> truth;
    std::vector<UsageRow> sent;
    UsageTotals relay, holder;
    for (u64 incarnation = 1; incarnation <= 12; ++incarnation) {
      UsageCounter c(incarnation);
      for (int i = 0; i < 200; ++i) {
        std::string const t = "t" + std::to_string(rnd() % 5);
        c.began(t, UsageWindow(7 + rnd() % 2));
        if (rnd() % 20 == 0)
          for (UsageRow& r : c.take(rnd() % 4 == 0).rows)
            sent.push_back(std::move(r));
      }
      for (int k = 0; k < 5; ++k)
        truth["t" + std::to_string(k)] += c.count("t" + std::to_string(k), UsageWindow(7));
      for (UsageRow& r : c.take(true).rows)
        sent.push_back(std::move(r));
    }
    for (std::size_t i = 0; i < 30; ++i)
      sent.push_back(sent[rnd() % sent.size()]);
    std::shuffle(sent.begin(), sent.end(), rnd);
    for (std::size_t i = 0; i < sent.size(); ++i) {
      relay.join(sent[i]);
      if (rnd() % 3 == 0)
        for (UsageRow const& r : relay.take(false).rows)
          holder.join(r);
      if (i == sent.size() / 2) {  // a new holder: it gets all
        holder = UsageTotals();
        for (UsageRow const& r : relay.take(true).rows)
          holder.join(r);
      }
    }
    for (UsageRow const& r : relay.take(false).rows)
      holder.join(r);
    cr_assert(holder.sum(UsageWindow(7)) == truth, "seed %u", seed);
  }
}

Test(tally, nothing_of_reported_windows_comes_back) {
  UsageTotals t;
  UsageCounter c(1);
  c.began("a", UsageWindow(3));
  c.began("a", UsageWindow(4));
  for (UsageRow const& r : c.take(false).rows)
    t.join(r);
  t.forget(UsageWindow(4));
  for (UsageRow const& r : c.take(true).rows)
    t.join(r);
  cr_assert(t.sum(UsageWindow(3)).empty());
  cr_assert_eq(t.first().v, 4u);
  cr_assert(c.take(false).rows.empty(), "said once");
}

// One clock at a time jumps; what is said stays true.
Test(tally, true_time_follows_no_jump) {
  struct Case {
    char const* what;
    double own_jump, mate_jump;
  };
  for (Case const c : {Case{"own forward", 4, 0}, Case{"own back", -4, 0}, Case{"a mate", 0, 5}, Case{"none", 0, 0}}) {
    MedianClock k;
    for (int i = 0; i < 200; ++i) {
      Seconds const s = 10 + 0.1 * i;
      bool const jumped = i > 100;
      k.own(s, 1000 + s + 0.01 + (jumped ? c.own_jump : 0));
      if (i % 6 == 0) {
        k.peer_reading("a", s, 1000 + s - 0.01 + (jumped ? c.mate_jump : 0));
        k.peer_reading("b", s, 1000 + s + 0.02);
      }
      cr_assert_float_eq(k.at(s), 1000 + s, 0.05, "%s at %d", c.what, i);
    }
  }
  // Begun with a wrong time of day: the mates are many.
  MedianClock k;
  k.own(10, 2000);
  k.peer_reading("a", 10, 1010);
  k.peer_reading("b", 10, 1010.02);
  cr_assert_float_eq(k.at(10), 1010, 0.05);
  // Alone, the time from before the jump stands.
  MedianClock alone;
  alone.own(1, 101);
  alone.own(2, 107);
  cr_assert_float_eq(alone.at(2), 102, 0.01);
}
