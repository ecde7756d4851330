#!/usr/bin/env python3
"""The judge finds each broken rule in facts that show it, and excuses what the rules excuse. Runs nothing."""

import unittest

from judge import Cause, Excuse, judge
from ledger import (APPLY_BOUND_S, DRAIN_BOUND_S, QUIET_S, ClientEnd, Disconnect, Kind, Ledger, LimitsChange, Request, Run,
                    RunEnd, Signal)

GRACE_PERIOD_S = 6.0
ROUTE_DEADLINE_S = 3.0
SEAL, BODY = "i-1.1", b"whole"


def a_run(end: RunEnd, started_at: float = 0.1, ended_at: float = 1.0) -> Run:
    run = Run("i-1", started_at, ended_at, end)
    if end is RunEnd.FINISHED:
        run.seal, run.body = SEAL, BODY
    return run


def a_request(*runs: Run, status: int = 0, kind: Kind = Kind.UPLOAD, ended_at: float = 1.0, key: str = "",
              attempt_id: str = "a1", begun_at: float = 0.0, end: ClientEnd | None = None, seal: str = "",
              body: bytes = b"", sent_at: float = 0.0) -> Request:
    request = Request(attempt_id, kind, 0, begun_at, 5.0, operation_key=key, sent_at=sent_at, ended_at=ended_at)
    request.end = end or (ClientEnd.ANSWERED if status else ClientEnd.CLOSED)
    request.status, request.seal, request.body, request.runs = status, seal, body, list(runs)
    return request


def a_success(*runs: Run, **fields) -> Request:
    return a_request(*runs, status=200, seal=SEAL, body=BODY, **fields)


def a_disconnect(*runs: Run, disconnected_at: float = 0.5, **fields) -> Request:
    request = a_request(*runs, end=ClientEnd.DISCONNECTED, **fields)
    request.disconnected_at, request.disconnect = disconnected_at, Disconnect.CLOSE
    return request


def ledger_of(*requests: Request, term_at: float | None = None, kill_at: float | None = None) -> Ledger:
    ledger = Ledger(GRACE_PERIOD_S, (ROUTE_DEADLINE_S,))
    for request in requests:
        ledger.open_request(request)
    for signal, at in ((Signal.TERM, term_at), (Signal.KILL, kill_at)):
        if at is not None:
            ledger.note(at, 0, signal)
    return ledger


class JudgeTest(unittest.TestCase):
    def expect_cause(self, cause: Cause, ledger: Ledger) -> None:
        self.assertEqual(dict(judge(ledger).by_cause()), {cause: 1})

    def expect_excuse(self, excuse: Excuse, ledger: Ledger) -> None:
        verdict = judge(ledger)
        self.assertEqual((verdict.findings, dict(verdict.excused)), ([], {excuse: 1}))

    def test_success_is_one(self):
        verdict = judge(ledger_of(a_success(a_run(RunEnd.FINISHED))))
        self.assertEqual((verdict.successes, verdict.findings), (1, []))

    def test_success_that_lost_its_hedge_is_one(self):
        request = a_success(a_run(RunEnd.CUT_BY_PROXY), a_run(RunEnd.FINISHED), kind=Kind.IDEMPOTENT)
        verdict = judge(ledger_of(request))
        self.assertEqual((verdict.successes, verdict.hedged, verdict.findings), (1, 1, []))

    def test_lost(self):
        cut, finished, broken = a_run(RunEnd.CUT_BY_PROXY), a_run(RunEnd.FINISHED), a_run(RunEnd.BROKE_OFF)
        self.expect_cause(Cause.CUT_AT_WORK, ledger_of(a_request(cut)))
        self.expect_cause(Cause.CUT_AT_WORK, ledger_of(a_request(a_run(RunEnd.AT_WORK))))
        self.expect_cause(Cause.ANSWER_NOT_DELIVERED, ledger_of(a_request(finished)))
        self.expect_cause(Cause.DROPPED_AFTER_READING, ledger_of(a_request(broken)))
        self.expect_cause(Cause.DROPPED_AFTER_READING, ledger_of(a_request()))
        self.expect_cause(Cause.REPLACED_BY_OWN_ANSWER, ledger_of(a_request(cut, status=502)))
        self.expect_cause(Cause.REPLACED_BY_OWN_ANSWER, ledger_of(a_request(cut, broken, status=502, kind=Kind.IDEMPOTENT)))
        self.expect_cause(Cause.REPLACED_BY_OWN_ANSWER, ledger_of(a_request(cut, status=503, kind=Kind.IDEMPOTENT)))
        self.expect_cause(Cause.WORK_THROWN_AWAY, ledger_of(a_request(finished, status=502)))
        failure = a_request(cut, finished, status=500, kind=Kind.IDEMPOTENT, seal=SEAL, body=BODY)
        self.expect_cause(Cause.REPLACED_BY_FAILURE, ledger_of(failure))

    def test_no_answer_in_time(self):
        late = a_request(a_run(RunEnd.AT_WORK), end=ClientEnd.TIMED_OUT, ended_at=5.5)
        self.expect_cause(Cause.NO_ANSWER_AT_DEADLINE, ledger_of(late))

    def test_repeats_and_promises(self):
        finished = a_run(RunEnd.FINISHED)
        self.expect_cause(Cause.RAN_TWICE, ledger_of(a_success(finished, a_run(RunEnd.BROKE_OFF))))
        self.expect_cause(Cause.RAN_TWICE, ledger_of(a_success(finished, kind=Kind.KEYED, key="k"),
                                                     a_success(finished, kind=Kind.KEYED, key="k", attempt_id="a2")))
        self.expect_cause(Cause.RAN_THOUGH_REFUSED, ledger_of(a_request(finished, status=503)))
        self.expect_cause(Cause.MIXED, ledger_of(a_request(finished, status=200, seal=SEAL, body=b"who")))
        self.expect_cause(Cause.MIXED, ledger_of(a_request(finished, status=200, body=BODY)))
        self.expect_cause(Cause.DENIED, ledger_of(a_request(status=404)))

    def test_runs_that_nobody_asked_for(self):
        ledger = ledger_of(a_success(a_run(RunEnd.FINISHED)))
        ledger.open_run("a9", a_run(RunEnd.FINISHED))
        self.expect_cause(Cause.UNASKED, ledger)

    def test_processes_and_changes(self):
        for cause, field in ((Cause.OVERDUE_PROCESS, "overdue_processes"), (Cause.CRASHED_PROCESS, "crashed_processes"),
                             (Cause.REFUSED_CHANGE, "refused_changes"), (Cause.LOST_CHANGE, "lost_changes")):
            ledger = ledger_of()
            getattr(ledger, field).append("one")
            self.expect_cause(cause, ledger)

    def test_repeats_denied(self):
        def with_denied(keys: int) -> Ledger:
            requests = []
            for number in range(keys):
                key = f"k{number}"
                requests.append(a_success(a_run(RunEnd.FINISHED), kind=Kind.KEYED, key=key, attempt_id=f"a{number}"))
                requests.append(a_request(status=409, kind=Kind.KEYED, key=key, attempt_id=f"b{number}", begun_at=2.1,
                                          sent_at=2.1, ended_at=2.2))
            return ledger_of(*requests)

        self.assertEqual(judge(with_denied(3)).findings, [])
        self.expect_cause(Cause.REPEAT_DENIED, with_denied(4))

    def test_excused(self):
        cut = a_run(RunEnd.CUT_BY_PROXY)
        self.expect_excuse(Excuse.SERVER_BROKE_OFF, ledger_of(a_request(a_run(RunEnd.BROKE_OFF), status=502)))
        self.expect_excuse(Excuse.DEADLINE, ledger_of(a_request(cut, status=504, ended_at=5.0)))
        self.expect_excuse(Excuse.DEADLINE, ledger_of(a_request(cut, status=504, ended_at=ROUTE_DEADLINE_S)))
        self.expect_excuse(Excuse.REFUSED, ledger_of(a_request(status=503)))
        self.expect_excuse(Excuse.CROSSED_CLOSE, ledger_of(a_request(ended_at=0.1)))
        self.expect_excuse(Excuse.NOT_SENT, ledger_of(a_request(end=ClientEnd.NOT_SENT)))
        self.expect_excuse(Excuse.KEY_AT_WORK, ledger_of(a_request(status=409, kind=Kind.KEYED, key="k")))
        self.expect_excuse(Excuse.KILLED, ledger_of(a_request(cut), kill_at=0.9))

    def test_end_of_grace_period(self):
        def cut_at(end_of_run: float, sent_at: float) -> Request:
            return a_request(a_run(RunEnd.CUT_BY_PROXY, sent_at, end_of_run), ended_at=end_of_run, sent_at=sent_at)

        # The last sixth begins 5 s after the SIGTERM.
        self.expect_excuse(Excuse.END_OF_GRACE, ledger_of(cut_at(4.6, 0.2), term_at=-1.0))
        self.expect_cause(Cause.CUT_AT_WORK, ledger_of(cut_at(4.6, 2.5), term_at=0.0))
        self.expect_cause(Cause.CUT_AT_WORK, ledger_of(cut_at(4.6, 3.5), term_at=-1.0))

    # ---- clients that leave ----

    def test_run_that_may_be_repeated_ends_with_its_client(self):
        run = a_run(RunEnd.CUT_BY_PROXY, ended_at=0.6)
        self.expect_excuse(Excuse.CLIENT_DISCONNECTED, ledger_of(a_disconnect(run, kind=Kind.IDEMPOTENT)))

    def test_run_that_goes_on_for_nobody_breaks_gone(self):
        for run in (a_run(RunEnd.FINISHED, ended_at=1.2), a_run(RunEnd.AT_WORK, ended_at=0.0)):
            self.expect_cause(Cause.AT_WORK_AFTER_DISCONNECT, ledger_of(a_disconnect(run, kind=Kind.IDEMPOTENT)))

    def test_run_that_ends_just_after_its_client_left_is_excused(self):
        run = a_run(RunEnd.FINISHED, ended_at=0.9)
        self.expect_excuse(Excuse.CLIENT_DISCONNECTED, ledger_of(a_disconnect(run, kind=Kind.IDEMPOTENT)))

    def test_request_that_is_sent_on_for_nobody_breaks_gone(self):
        run = a_run(RunEnd.FINISHED, started_at=1.1, ended_at=1.2)
        for kind in (Kind.IDEMPOTENT, Kind.UPLOAD):
            self.expect_cause(Cause.SENT_ON_AFTER_DISCONNECT, ledger_of(a_disconnect(run, kind=kind)))

    def test_server_that_does_not_look_may_work_on_until_it_does(self):
        run = a_run(RunEnd.CUT_BY_PROXY, ended_at=3.6)
        run.reads_from = 3.5
        self.expect_excuse(Excuse.CLIENT_DISCONNECTED, ledger_of(a_disconnect(run, kind=Kind.IDEMPOTENT)))
        run.ended_at = 4.1
        self.expect_cause(Cause.AT_WORK_AFTER_DISCONNECT, ledger_of(a_disconnect(run, kind=Kind.IDEMPOTENT)))

    def test_cut_at_the_deadline_that_its_server_sees_late_is_excused(self):
        run = a_run(RunEnd.CUT_BY_PROXY, ended_at=4.0)
        self.expect_cause(Cause.CUT_FOR_DISCONNECT, ledger_of(a_disconnect(run)))
        run.reads_from = 3.9
        self.expect_excuse(Excuse.CLIENT_DISCONNECTED, ledger_of(a_disconnect(run)))

    def test_lag_of_the_observer_is_no_disconnect_missed(self):
        ledger = ledger_of(a_disconnect(a_run(RunEnd.CUT_BY_PROXY, ended_at=1.2), kind=Kind.IDEMPOTENT))
        ledger.observer_lags.append((1.1, 0.4))
        self.expect_excuse(Excuse.CLIENT_DISCONNECTED, ledger)

    def test_run_that_may_not_be_repeated_goes_on(self):
        for kind in (Kind.UPLOAD, Kind.KEYED):
            run = a_run(RunEnd.FINISHED, ended_at=2.0)
            self.expect_excuse(Excuse.CLIENT_DISCONNECTED, ledger_of(a_disconnect(run, kind=kind)))

    def test_run_that_may_not_be_repeated_is_not_cut_for_a_disconnect(self):
        run = a_run(RunEnd.CUT_BY_PROXY, ended_at=0.6)
        self.expect_cause(Cause.CUT_FOR_DISCONNECT, ledger_of(a_disconnect(run)))

    def test_half_closed_client_gets_no_false_answer(self):
        run = a_run(RunEnd.FINISHED, ended_at=2.0)
        self.expect_cause(Cause.RAN_THOUGH_REFUSED, ledger_of(a_disconnect(run, status=503)))
        self.expect_cause(Cause.MIXED, ledger_of(a_disconnect(run, status=200, seal="other", body=BODY)))

    def test_late_request_at_a_departed_server(self):
        def departed(at: float) -> Ledger:
            request = a_success(a_run(RunEnd.FINISHED, started_at=20.1, ended_at=20.5), begun_at=20.0, sent_at=20.0,
                                ended_at=20.5)
            ledger = ledger_of(request)
            ledger.departures["i-1"] = at
            return ledger

        self.expect_cause(Cause.LATE_AT_DEPARTED, departed(at=20.1 - DRAIN_BOUND_S - 0.1))
        self.assertEqual(judge(departed(at=20.1 - DRAIN_BOUND_S + 0.1)).findings, [])
        for proxy in (-1, 0):  # a controller's machine, the proxy's own
            out_of_touch = departed(at=5.0)
            out_of_touch.note(20.0 - QUIET_S + 0.1, proxy, Signal.KILL)
            self.assertEqual(judge(out_of_touch).findings, [])
            in_touch = departed(at=5.0)
            in_touch.note(20.0 - QUIET_S - 0.1, proxy, Signal.KILL)
            self.expect_cause(Cause.LATE_AT_DEPARTED, in_touch)

    def test_body_over_the_limit(self):
        def refused(*changes: LimitsChange) -> Ledger:
            request = a_request(status=413, begun_at=20.0, sent_at=20.0, ended_at=20.5)
            request.body_bytes_sent = 300
            ledger = ledger_of(request)
            ledger.limits_changes = list(changes)
            return ledger

        low, high, long_ago, lately = 100, 1000, 20.0 - APPLY_BOUND_S - 1, 20.0 - APPLY_BOUND_S + 1
        self.expect_cause(Cause.DENIED, refused(LimitsChange(1.0, high, 1.1)))
        self.expect_excuse(Excuse.BODY_LIMIT, refused(LimitsChange(1.0, low, 1.1)))
        self.expect_cause(Cause.DENIED, refused(LimitsChange(1.0, low, 1.1), LimitsChange(2.0, high, long_ago)))
        self.expect_excuse(Excuse.BODY_LIMIT, refused(LimitsChange(1.0, low, 1.1), LimitsChange(2.0, high, lately)))
        self.expect_excuse(Excuse.BODY_LIMIT, refused(LimitsChange(1.0, high, 1.1), LimitsChange(20.2, low)))
        self.expect_cause(Cause.DENIED, refused(LimitsChange(1.0, high, 1.1), LimitsChange(21.0, low)))
        out_of_touch = refused(LimitsChange(1.0, high, 1.1))
        out_of_touch.note(19.0, 0, Signal.STARTED)
        self.expect_excuse(Excuse.OUT_OF_TOUCH, out_of_touch)

    def test_process_that_something_keeps_is_found(self):
        ledger = ledger_of(a_success(a_run(RunEnd.FINISHED)))
        ledger.slow_ends.append("edge-1: 5.0 s")
        self.expect_cause(Cause.SLOW_END, ledger)

    def test_run_of_a_client_that_left_may_be_cut_at_its_deadline_or_by_a_kill(self):
        at_deadline = a_run(RunEnd.CUT_BY_PROXY, ended_at=5.0)
        self.expect_excuse(Excuse.CLIENT_DISCONNECTED, ledger_of(a_disconnect(at_deadline)))
        by_kill = a_run(RunEnd.CUT_BY_PROXY, ended_at=0.6)
        self.expect_excuse(Excuse.CLIENT_DISCONNECTED, ledger_of(a_disconnect(by_kill, ended_at=0.6), kill_at=0.59))


if __name__ == "__main__":
    unittest.main()
