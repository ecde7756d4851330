#include <criterion/criterion.h>

#include "request/retry_state.hpp"

using namespace dockbend;

// Each way that an attempt may end, for a request that is repeatable and for one that is not.
Test(retry_state, a_request_that_is_not_repeatable_is_retried_only_on_proof_that_it_has_not_run) {
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
      e.attempt_started(0, 1, 0.25);
      e.attempt_ended(c.end);
      cr_assert_eq(e.may_retry(1), rep ? c.repeat : c.effect, "end %d", static_cast<int>(c.end));
      cr_assert_eq(e.costs_budget(), c.end != AttemptResult::unsent);
    }
  }
}

Test(retry_state, a_request_that_may_have_run_stays_so) {
  RetryState e(false, 5, 10);
  e.attempt_started(0, 1, 0.25);
  e.attempt_ended(AttemptResult::broken);
  e.attempt_ended(AttemptResult::not_run);
  cr_assert(e.may_have_run());
  cr_assert_not(e.may_retry(1));
}

// A silent server, a late one, one whose machine is absent; draining breaks off none.
Test(retry_state, a_timer_means_what_the_attempt_came_to) {
  using D = RetryState::TimerMeaning;
  RetryState e(true, 2, 10);
  e.attempt_started(0, 2, 0.25);
  cr_assert(e.timer_meaning(0.2, true, false, false) == D::wait);
  cr_assert(e.timer_meaning(0.25, true, false, false) == D::unsent);
  cr_assert(e.timer_meaning(1.9, true, true, false) == D::wait);
  cr_assert(e.timer_meaning(2.0, true, true, false) == D::late);
  cr_assert(e.timer_meaning(2.0, true, true, true) == D::wait);
  cr_assert(e.timer_meaning(10, true, true, true) == D::expired);
  cr_assert(e.timer_meaning(5, false, false, false) == D::wait, "waits for its key");
  RetryState once(false, 2, 10);
  once.attempt_started(0, 2, 0.25);
  cr_assert(once.timer_meaning(5, true, true, false) == D::wait, "a request that is not repeatable is waited for");
  cr_assert_float_eq(once.next_timer(5, true, true), 10, 1e-9);
}

// Attempts that reached no server count as well: with the last of them at work no retry is
// left, so it is waited for.
Test(retry_state, the_last_allowed_attempt_is_not_late) {
  using D = RetryState::TimerMeaning;
  RetryState e(true, 3, 10);
  for (int i = 0; i < 4; ++i) {
    e.attempt_started(0, 1, 0.25);
    e.attempt_ended(AttemptResult::unsent);
  }
  e.attempt_started(1, 1, 0.25);
  cr_assert_eq(e.attempts(), 5u);
  cr_assert(e.timer_meaning(3, true, true, false) == D::wait);
  cr_assert_float_eq(e.next_timer(3, true, true), 10, 1e-9, "it is waited for to its deadline");
  cr_assert(e.timer_meaning(10, true, true, false) == D::expired);
}

Test(retry_state, no_attempt_is_late_when_no_time_is_left_for_a_retry) {
  RetryState e(true, 3, 10);
  e.attempt_started(0, 1, 0.25);
  cr_assert(e.timer_meaning(9.9, true, true, false) == RetryState::TimerMeaning::late);
  cr_assert(e.timer_meaning(9.995, true, true, false) == RetryState::TimerMeaning::wait);
}

Test(retry_state, no_more_servers_are_asked_than_the_route_allows) {
  RetryState state(true, 2, 10);
  for (int arrivals = 0; arrivals < 2; ++arrivals) {
    cr_assert(state.may_retry(1));
    state.attempt_started(0, 1, 0.25);
    state.attempt_ended(AttemptResult::broken);
  }
  cr_assert_not(state.may_retry(1));
  cr_assert_not(state.may_hedge(1));
}
