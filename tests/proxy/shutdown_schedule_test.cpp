// What a proxy that got a SIGTERM still does at which time.
#include <criterion/criterion.h>

#include "proxy/shutdown_schedule.hpp"

using namespace dockbend;

// A request that was sent over 3 s after the SIGTERM and is at work when the process ends is lost.
Test(shutdown_schedule, nothing_that_is_begun_late_outlasts_the_process) {
  for (Seconds const grace_period : {4.0, 6.0, 10.0, 30.0}) {
    ShutdownSchedule const schedule(100, grace_period);
    for (Seconds elapsed = 3.0; elapsed < grace_period; elapsed += 0.05) {
      Seconds const now = 100 + elapsed;
      if (schedule.longest_request(now) > 0)
        cr_assert_leq(now + schedule.longest_request(now), schedule.must_end_at() + 1e-9);
    }
    cr_assert_lt(schedule.must_end_at(), 100 + grace_period);
  }
}

Test(shutdown_schedule, at_first_every_request_is_begun_and_connections_are_accepted) {
  ShutdownSchedule const schedule(100, 10);
  cr_assert_gt(schedule.longest_request(102.5), 1e6);
  cr_assert(schedule.accepts_connections(104.4));
  cr_assert_not(schedule.accepts_connections(104.6));
  cr_assert_gt(schedule.longest_request(104), 5, "short requests are begun for longer");
  cr_assert_eq(schedule.longest_request(109.9), 0);
}
