#include <criterion/criterion.h>

#include "usage/median_clock.hpp"

using namespace dockbend;

// One clock at a time jumps; the median clock stays right.
Test(median_clock, follows_no_jump_of_one_clock) {
  struct Case {
    char const* name;
    double own_jump, peer_jump;
  };
  for (Case const& jump :
       {Case{"own forward", 4, 0}, Case{"own back", -4, 0}, Case{"a peer", 0, 5}, Case{"none", 0, 0}}) {
    MedianClock clock;
    for (int i = 0; i < 200; ++i) {
      Seconds const now = 10 + 0.1 * i;
      bool const has_jumped = i > 100;
      clock.on_own_reading(now, 1000 + now + 0.01 + (has_jumped ? jump.own_jump : 0));
      if (i % 6 == 0) {
        clock.on_peer_reading("a", now, 1000 + now - 0.01 + (has_jumped ? jump.peer_jump : 0));
        clock.on_peer_reading("b", now, 1000 + now + 0.02);
      }
      cr_assert_float_eq(clock.wall_time_at(now), 1000 + now, 0.05, "%s at %d", jump.name, i);
    }
  }
}

Test(median_clock, a_wrong_clock_at_the_start_is_outvoted_by_peers) {
  MedianClock clock;
  clock.on_own_reading(10, 2000);
  clock.on_peer_reading("a", 10, 1010);
  clock.on_peer_reading("b", 10, 1010.02);
  cr_assert_float_eq(clock.wall_time_at(10), 1010, 0.05);
}

Test(median_clock, without_peers_the_time_from_before_a_jump_stands) {
  MedianClock clock;
  clock.on_own_reading(1, 101);
  clock.on_own_reading(2, 107);
  cr_assert_float_eq(clock.wall_time_at(2), 102, 0.01);
}
