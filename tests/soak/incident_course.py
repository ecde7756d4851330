#!/usr/bin/env python3
"""Requests that are at work while everything happens to them that may break them off: the course of the operators' record
(docs/incidents/2026-12-02-lost-after-a-sigterm.md) with each end that its retry can have, and what else is known to
end an exchange early. Each is played by a small system of its own, of real processes on loopback, all beside each other.

    tests/soak/incident_course.py BUILD [--only NAME]... [--keep DIR]

Prints how each request ended, and ends with 1 unless all got their server's answer.
"""

import asyncio
import signal
import sys

import judge
from ledger import Kind
from scenarios import Scenario, run
from special_servers import (BreakingServer, ClosedServer, FailingServer, FullServer, OtherIdServer, RefusingServer,
                             SlowReadingServer, StrayAnswerServer)
from stage import FAR, GRACE_PERIOD_S, LATE_AFTER_S, NEAR, Stage, limits
from stand_in_server import StandInServer

# As in the record: the SIGTERM comes 0.75 s after the run was given up.
SIGTERM_AFTER_LATE_S = 0.75


# ---- the course of the record ----

def course_of_record(*retry_servers: tuple[type[StandInServer], str], is_stopped: bool = True):
    """A run becomes late, its retry goes to these servers (kind, zone), and the SIGTERM comes 0.75 s later."""

    async def play(stage: Stage) -> None:
        sent = stage.send(Kind.IDEMPOTENT, "/read/x")
        request = await stage.until_at_work()
        for kind, zone in retry_servers:
            await stage.add_server(kind, zone)
        await stage.until_cut(request, LATE_AFTER_S + 0.1)
        await asyncio.sleep(SIGTERM_AFTER_LATE_S)
        if is_stopped:
            stop = asyncio.create_task(stage.proxy_machine.restart())
            await sent
            await stop
        else:
            await sent

    return play


# ---- what else may end an exchange that is at work ----

async def stopped_while_at_work(stage: Stage) -> None:
    sent = stage.send(Kind.IDEMPOTENT, "/read/x")
    await stage.until_at_work()
    await asyncio.sleep(1)
    await stage.proxy_machine.restart([(0.2, signal.SIGHUP), (0.5, signal.SIGTERM), (1.0, signal.SIGTERM)])
    await sent


async def stopped_for_longer_than_connections_are_accepted(stage: Stage) -> None:
    """It ends between the end of the accepting and the last sixth of the grace period."""
    sent = stage.send(Kind.IDEMPOTENT, "/read/seconds-7.0")
    await stage.until_at_work()
    stop = asyncio.create_task(stage.proxy_machine.restart())
    await sent
    await stop


async def upload_arrives_at_end_of_shutdown(stage: Stage) -> None:
    """It is being sent when nothing else is open and no connection is accepted any more."""
    stop = asyncio.create_task(stage.proxy_machine.restart())
    await asyncio.sleep(0.35 * GRACE_PERIOD_S)
    await stage.send(Kind.UPLOAD, "/upload/quick", b"u" * 50_000, time_left_s=5.5, sends_within_s=4.0)
    await stop


def longer_than_idle_limit(kind: Kind, target: str, body: bytes = b""):
    async def play(stage: Stage) -> None:
        await stage.send(kind, target, body, key="key-1" if kind is Kind.KEYED else "")

    return play


async def upload_to_slow_reader(stage: Stage) -> None:
    await stage.send(Kind.UPLOAD, "/upload/quick", b"u" * 12_000_000)


async def stray_answer_on_kept_connection(stage: Stage) -> None:
    for _ in range(2):
        await stage.send(Kind.UPLOAD, "/upload/quick", b"u")


async def agent_restarted_while_at_work(stage: Stage) -> None:
    sent = stage.send(Kind.KEYED, "/pay/x", b"p", key="key-1")
    await stage.until_at_work()
    await stage.proxy_machine.restart_agent()
    await sent


async def server_forgotten_while_at_work(stage: Stage) -> None:
    sent = stage.send(Kind.IDEMPOTENT, "/read/x")
    await stage.until_at_work()
    stage.servers[0].fall_silent()
    await sent


async def route_removed_while_at_work(stage: Stage) -> None:
    sent = stage.send(Kind.IDEMPOTENT, "/read/x")
    await stage.until_at_work()
    change = {"upsert": {"limits": limits(1, generation=2)}, "remove": {"routes": [
        {"name": "read", "generation": "00000002"}]}}
    if await stage.system.amend(change) != 200:
        raise RuntimeError("the change was not taken")
    await sent


SCENARIOS = [
    Scenario("record, retries hang at connect", course_of_record(
        (FullServer, NEAR), (FullServer, NEAR), (FullServer, FAR))),
    Scenario("record without SIGTERM, retries hang at connect", course_of_record(
        (FullServer, NEAR), (FullServer, NEAR), (FullServer, FAR), is_stopped=False)),
    Scenario("record, retries are let in nowhere", course_of_record((ClosedServer, NEAR), (ClosedServer, FAR))),
    Scenario("record, retry is turned away", course_of_record((RefusingServer, NEAR))),
    Scenario("record, retry is broken off", course_of_record((BreakingServer, NEAR))),
    Scenario("record, retry's server fails", course_of_record((FailingServer, NEAR))),
    Scenario("record, retry gets another's answer", course_of_record((OtherIdServer, NEAR))),
    Scenario("stopped three times while at work", stopped_while_at_work),
    Scenario("stopped, at work for longer than connections are accepted",
             stopped_for_longer_than_connections_are_accepted),
    Scenario("upload arrives at the end of a shutdown", upload_arrives_at_end_of_shutdown),
    Scenario("GET for longer than the idle limit", longer_than_idle_limit(Kind.IDEMPOTENT, "/read/x"),
             idle_timeout_s=2),
    Scenario("POST for longer than the idle limit", longer_than_idle_limit(Kind.KEYED, "/pay/x", b"p"),
             idle_timeout_s=2),
    Scenario("upload to a server that reads nothing for 3.5 s", upload_to_slow_reader, SlowReadingServer),
    Scenario("stray answer where the next one is due", stray_answer_on_kept_connection, StrayAnswerServer),
    Scenario("agent restarted while at work", agent_restarted_while_at_work),
    Scenario("server forgotten while at work", server_forgotten_while_at_work),
    Scenario("route removed and limits changed while at work", route_removed_while_at_work),
]


def check(scenario: Scenario, stage: Stage) -> bool:
    """Prints how its requests ended. True: all with success, for no server here gives one up for good."""
    verdict = judge.judge(stage.ledger)
    print(f"{scenario.name}: {verdict.successes} succeeded"
          + "".join(f", {count} excused ({excuse.value})" for excuse, count in verdict.excused.items()))
    for finding in verdict.findings:
        print(f"    {finding.cause.value}\n        {finding.detail}")
    for request in stage.ledger.requests.values():
        if not 200 <= request.status < 300:
            print(f"    {request.status or request.end.value} after {request.ended_at - request.begun_at:.3f} s")
    return bool(stage.ledger.requests) and not verdict.findings and verdict.successes == len(stage.ledger.requests)


if __name__ == "__main__":
    sys.exit(asyncio.run(run("tests/soak/incident_course.py", __doc__, SCENARIOS, check)))
