#!/usr/bin/env python3
"""Routes of unlike work: what one of them takes, or should take, must not have another one refused. Each case is played by a
small system of its own, of real processes on loopback, all beside each other.

    tests/soak/unlike_routes.py BUILD [--only NAME]... [--keep DIR]

Prints how many requests of each route were served, and ends with 1 unless nearly all were.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable

from clients import Call
from ledger import Kind
from scenarios import Scenario, check_rules_and_complaints, run
from stage import Stage, route, routes_of_host

TIME_S = 6.0
# So many requests of the long route at a time, for so long that a proxy's smoothed estimates are theirs.
LONG_AT_ONCE, LONG_WORK_S, LONG_AIM_S, LONG_FOR_S = 6, 0.4, 2.5, 14.0
SHORT_PER_S, SHORT_REQUESTS, SHORT_WORK_S, SHORT_AIM_S, SHORT_RANK = 10, 30, 0.024, 0.15, 2
IDLE_S = 5.0
LEAST_SHARE_SERVED = 0.95


class Trial:
    def __init__(self, stage: Stage):
        self.stage = stage

    async def add_route(self, name: str, kind: Kind, aim_s: float, rank: int) -> None:
        policy = {**route(name, kind, f"/{name}/"), "setpointS": aim_s, "rank": rank}
        await self.stage.change(routes_of_host(policy))

    async def load_long(self, name: str) -> None:
        """One request after the other, on several connections."""
        until = asyncio.get_running_loop().time() + LONG_FOR_S

        async def one_by_one() -> list[int]:
            statuses = []
            while asyncio.get_running_loop().time() < until:
                statuses.append(await self._send(name, Kind.UPLOAD, LONG_WORK_S))
            return statuses

        lists = await asyncio.gather(*(one_by_one() for _ in range(LONG_AT_ONCE)))
        self._expect_served("long", [status for statuses in lists for status in statuses])

    async def load_short(self, name: str, when: str) -> None:
        requests = []
        for _ in range(SHORT_REQUESTS):
            requests.append(asyncio.create_task(self._send(name, Kind.IDEMPOTENT, SHORT_WORK_S)))
            await asyncio.sleep(1 / SHORT_PER_S)
        self._expect_served(when, await asyncio.gather(*requests))

    async def _send(self, name: str, kind: Kind, work_s: float) -> int:
        body = b"" if kind is Kind.IDEMPOTENT else b"upload"
        call = Call(kind, f"/{name}/seconds-{work_s:g}", TIME_S, body)
        return (await self.stage.clients.send(call, 0)).status

    def _expect_served(self, when: str, statuses: list[int]) -> None:
        served = statuses.count(200)
        self.stage.outcomes.append(f"{when}: {served} of {len(statuses)} served")
        if served < LEAST_SHARE_SERVED * len(statuses):
            self.stage.complaints.append(f"{when}: {len(statuses) - served} of {len(statuses)} were refused")


Play = Callable[[Trial], Awaitable[None]]


async def short_beside_long(trial: Trial) -> None:
    """A route with short work is added to a service that one with long work uses; both go on, and then it alone."""
    await trial.add_route("long", Kind.UPLOAD, LONG_AIM_S, rank=1)
    long = asyncio.create_task(trial.load_long("long"))
    await asyncio.sleep(LONG_FOR_S / 2)
    await trial.add_route("short", Kind.IDEMPOTENT, SHORT_AIM_S, SHORT_RANK)
    await trial.load_short("short", "short, beside it")
    await long
    await asyncio.sleep(IDLE_S)
    await trial.load_short("short", "short, alone")


async def aim_out_of_reach(trial: Trial) -> None:
    """A route whose answers should come sooner than any server's; the servers are idle."""
    await trial.add_route("short", Kind.IDEMPOTENT, SHORT_WORK_S / 5, SHORT_RANK)
    await trial.load_short("short", "with an aim out of reach")


def scenario(name: str, play: Play) -> Scenario:
    async def play_on(stage: Stage) -> None:
        await play(Trial(stage))

    return Scenario(name, play_on)


SCENARIOS = [
    scenario("short work beside long work on one service", short_beside_long),
    scenario("an aim that no server can meet", aim_out_of_reach),
]

if __name__ == "__main__":
    sys.exit(asyncio.run(run("tests/soak/unlike_routes.py", __doc__, SCENARIOS, check_rules_and_complaints)))
