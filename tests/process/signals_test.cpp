// Signals, on a real event loop.
#include <criterion/criterion.h>
#include <signal.h>

#include "process/signals.hpp"
#include "request/request_machine.hpp"

using namespace dockbend;

namespace {
// Two timers of one loop turn; a SIGTERM arrives in the first.
struct Turn {
  event_base* loop = event_base_new();
  RequestMachine request{"a", false, RetryState(true, 3, 10)};
  bool draining = false, timer_ran = false, hedged = false;
};
}  // namespace

Test(signals, a_sigterm_counts_before_the_loop_has_handled_it) {
  struct sigaction before {};
  sigaction(SIGTERM, nullptr, &before);
  Turn t;
  t.request.on_quota_granted();
  t.request.attempt_started(0, 1, 0.25);
  {
    ProcessSignals signals(t.loop);
    cr_assert_not(term_arrived());
    signals.on_term.connect([&] {
      t.draining = true;
      event_base_loopbreak(t.loop);
    });
    event* const first = event_new(
        t.loop, -1, 0, [](evutil_socket_t, short, void*) { raise(SIGTERM); }, nullptr);
    event* const second = event_new(
        t.loop, -1, 0,
        [](evutil_socket_t, short, void* p) {
          Turn& u = *static_cast<Turn*>(p);
          u.timer_ran = true;
          cr_assert_not(u.draining, "the loop has not handled the signal yet");
          cr_assert(term_arrived());
          bool const terminating = u.draining || term_arrived();
          cr_assert(u.request.retry_state().timer_meaning(2, true, true, terminating) ==
                    RetryState::TimerMeaning::wait);
          u.hedged = u.request.hedge_attempt(
              2, terminating, [] { return true; }, [] { return true; });
        },
        &t);
    event_active(first, EV_TIMEOUT, 1);
    event_active(second, EV_TIMEOUT, 1);
    event_base_dispatch(t.loop);
    cr_assert(t.timer_ran);
    cr_assert_not(t.hedged);
    cr_assert(t.draining, "the signal still reaches its event");
    cr_assert(term_arrived());
    event_free(first);
    event_free(second);
  }
  struct sigaction after {};
  sigaction(SIGTERM, nullptr, &after);
  cr_assert(after.sa_handler == before.sa_handler, "the handler from before is back");
  cr_assert_not(term_arrived());
  event_base_free(t.loop);
}

// A machine's processes may be told of new settings while they still start. That ended a process.
Test(signals, hangup_before_its_event_exists_does_nothing) {
  signal(SIGHUP, SIG_DFL);  // whoever started the test may have had them ignored
  ignore_hangups();
  raise(SIGHUP);
  event_base* const loop = event_base_new();
  {
    ProcessSignals signals(loop);
    int hangups = 0;
    signals.on_hangup.connect([&] { ++hangups; });
    raise(SIGHUP);
    event_base_loop(loop, EVLOOP_ONCE);
    cr_assert_eq(hangups, 1);
  }
  raise(SIGHUP);  // and after it again
  event_base_free(loop);
}
