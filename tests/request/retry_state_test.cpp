#include <criterion/criterion.h>

#include "request/retry_state.hpp"

using namespace dockbend;

// Each way that a try may end, for an errand that may repeat and for one that may not.
Test(course, only_a_proof_lets_what_may_not_repeat_go_again) {
  struct Case {
    AttemptResult end;
    bool repeat, effect;
  };
  for (Case const c : {Case{AttemptResult::not_run, true, true},
                       {AttemptResult::misdirected, true, true},
                       {AttemptResult::unsent, true, true},
                       {AttemptResult::broken, true, false},
                       {AttemptResult::silent, true, false}}) {
    for (bool const rep : {true, false}) {
      RetryState e(rep, 3, 10);
      e.began(0, 1, 0.25);
      e.ended(c.end);
      cr_assert_eq(e.may_try_again(1), rep ? c.repeat : c.effect, "end %d", static_cast<int>(c.end));
      cr_assert_eq(e.costs_budget(), c.end != AttemptResult::unsent);
    }
  }
}

Test(course, once_maybe_run_always_so) {
  RetryState e(false, 5, 10);
  e.began(0, 1, 0.25);
  e.ended(AttemptResult::broken);
  e.ended(AttemptResult::not_run);
  cr_assert(e.maybe_run());
  cr_assert_not(e.may_try_again(1));
}

// A silent server, a late one, one whose machine is not there; draining breaks off none.
Test(course, timers_mean_what_the_try_came_to) {
  using D = RetryState::Due;
  RetryState e(true, 2, 10);
  e.began(0, 2, 0.25);
  cr_assert(e.due(0.2, true, false, false) == D::wait);
  cr_assert(e.due(0.25, true, false, false) == D::unsent);
  cr_assert(e.due(1.9, true, true, false) == D::wait);
  cr_assert(e.due(2.0, true, true, false) == D::late);
  cr_assert(e.due(2.0, true, true, true) == D::wait);
  cr_assert(e.due(10, true, true, true) == D::expired);
  cr_assert(e.due(5, false, false, false) == D::wait, "waits for its key");
  RetryState once(false, 2, 10);
  once.began(0, 2, 0.25);
  cr_assert(once.due(5, true, true, false) == D::wait, "what may not repeat is waited for");
  cr_assert_float_eq(once.next(5, true, true), 10, 1e-9);
}

// Attempts that reached no server count as well: with the last of them at work no retry is
// left, so it is waited for.
Test(course, the_last_allowed_attempt_is_not_late) {
  using D = RetryState::Due;
  RetryState e(true, 3, 10);
  for (int i = 0; i < 4; ++i) {
    e.began(0, 1, 0.25);
    e.ended(AttemptResult::unsent);
  }
  e.began(1, 1, 0.25);
  cr_assert_eq(e.attempts(), 5u);
  cr_assert(e.due(3, true, true, false) == D::wait);
  cr_assert_float_eq(e.next(3, true, true), 10, 1e-9, "it is waited for to its deadline");
  cr_assert(e.due(10, true, true, false) == D::expired);
}

Test(course, no_attempt_is_late_when_no_time_is_left_for_a_retry) {
  RetryState e(true, 3, 10);
  e.began(0, 1, 0.25);
  cr_assert(e.due(9.9, true, true, false) == RetryState::Due::late);
  cr_assert(e.due(9.995, true, true, false) == RetryState::Due::wait);
}
