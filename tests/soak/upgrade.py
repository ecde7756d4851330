#!/usr/bin/env python3
"""A rolling upgrade of a system of real processes, machine by machine, while keys are in their window: a key that was
answered is repeated whichever releases are beside each other, none runs again, and no tenant gets another's answer.
Changes that take a client's key away are taken and read back meanwhile, also by a controller of the older release beside one of
the newer: the client's operations stay its own, until the last machine is exchanged.
By hand, for it needs the programs of an older build.

    tests/soak/upgrade.py OLD_BUILD NEW_BUILD [--keep DIR]

Ends with 1 if a rule was broken.
"""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile

import judge
from clients import Call
from ledger import APPLY_BOUND_S, Kind, Request
from stage import Stage, routes_of_host
from stand_in_server import StandInServer

CONTROLLERS, PROXIES = 3, 3
TENANTS = ("ada", "print", "print/budapest")
OPERATIONS = (("ada", "1"), ("ada", "a/b"), ("print", "plain"), ("print/budapest", "plain"))
TARGET, OPEN_TARGET, TIME_S, SETTLE_S = "/signed/seconds-0.05", "/pay/seconds-0.05", 3.0, 2.0
CLIENT = "ivy"  # whose key is changed again and again
# Programs before 2026-12-08 took these for one: asked for once none of them takes part any more.
SHARING_OPERATIONS = (("print", "budapest/odd"), ("print/budapest", "odd"))


class Upgrade:
    def __init__(self, stage: Stage, new_build: pathlib.Path):
        self._stage, self._new_build = stage, new_build
        self._taken_away: list[Request] = []  # operations whose client's key was taken away since, "open-N" with "away-N"
        self.wrong: list[str] = []

    async def play(self) -> None:
        await self._add_tenants()
        await self._ask_all("before", OPERATIONS)
        machines = self._stage.system.proxy_machines + self._stage.system.controller_machines
        for number, machine in enumerate(machines):
            await machine.exchange(self._new_build)
            await asyncio.sleep(SETTLE_S)
            await self._stage.system.wait_until_ready()
            await self._ask_all(f"after {number + 1} of {len(machines)}", OPERATIONS)
            await self._give_key(f"ivy-{number}")
            if machine in self._stage.system.controller_machines:
                await self._take_key_away()
        await self._repeat_all_taken_away()
        await self._ask_all("at the end", OPERATIONS + SHARING_OPERATIONS)
        await self._repeat_without_key()

    async def _add_tenants(self) -> None:
        tenants = [{"name": name, "keys": [f"key-{name}"], "rank": 1} for name in TENANTS]
        policy = {"name": "signed", "kind": "keyed", "setpointS": 1.0, "rank": 1, "selector": {"pathPrefix": "/signed/"},
                  "actuation": {"service": "estimator", "deadlineS": 5, "maxTries": 2, "homeRegions": []}}
        if not await self._stage.change({"customers": tenants, **routes_of_host(policy)}):
            raise RuntimeError("the tenants were not taken")

    async def _give_key(self, key: str) -> None:
        """In place of the one that this client had."""
        if not await self._stage.change({"customers": [{"name": CLIENT, "keys": [key], "rank": 1}]}):
            self.wrong.append(f"the key {key} was not taken")
        for read in await self._stage.system.read_back():
            keys = {customer["name"]: customer["keys"] for customer in read["customers"]}
            if keys.get(CLIENT) != [key]:
                self.wrong.append(f"{keys.get(CLIENT)} is read back, not {key}")

    async def _take_key_away(self) -> None:
        """By the controller that is exchanged last, which is of the older release until then."""
        number = len(self._taken_away)
        await self._give_key(f"away-{number}")
        self._taken_away.append(await self._pay(f"away-{number}", number % PROXIES, f"open-{number}"))
        change = self._stage.next_change({"customers": [{"name": CLIENT, "keys": ["kept"], "rank": 1}]})
        status = await self._stage.system.call_once(CONTROLLERS - 1, "/-/Config.Amend", json.dumps(change).encode())
        if status != 200:
            self.wrong.append(f"the key away-{number} was not taken away: {status}")
        await asyncio.sleep(APPLY_BOUND_S)
        await self._repeat_all_taken_away()

    async def _repeat_all_taken_away(self) -> None:
        for number, first in enumerate(self._taken_away):
            repeats = [await self._pay(f"away-{number}", proxy, f"open-{number}") for proxy in range(PROXIES)]
            print(f"open-{number}, its key taken away: {first.status}, then {[repeat.status for repeat in repeats]}")
            if any((repeat.status, repeat.seal) != (200, first.seal) for repeat in repeats):
                self.wrong.append(f"open-{number} was not repeated once its client's key had been taken away")

    async def _repeat_without_key(self) -> None:
        """On a route that needs no key."""
        await self._give_key("ivy-first")
        first = await self._pay("ivy-first", 0)
        await self._give_key("ivy-second")
        again = await self._pay("ivy-first", 1)
        print(f"with a key that was taken away: {first.status}, {again.status}")
        if (again.status, again.seal) != (200, first.seal):
            self.wrong.append("an operation was not repeated once its client's key had been taken away")

    async def _pay(self, key: str, proxy: int, operation: str = "open") -> Request:
        call = Call(Kind.KEYED, OPEN_TARGET, TIME_S, b"pay", operation, headers={"Authorization": f"Token {key}"})
        return await self._stage.clients.send(call, proxy)

    async def _ask_all(self, when: str, operations: tuple[tuple[str, str], ...]) -> None:
        """Each operation at each proxy; what was answered once is answered so again."""
        outcomes = []
        for tenant, key in operations:
            for proxy in range(PROXIES):
                outcomes.append(await self._ask(tenant, key, proxy, when))
        print(f"{when}: {sum(outcome == 200 for outcome in outcomes)} of {len(outcomes)} served")

    async def _ask(self, tenant: str, key: str, proxy: int, when: str) -> int:
        call = Call(Kind.KEYED, TARGET, TIME_S, b"pay", key, headers={"Authorization": f"Token key-{tenant}"})
        request = await self._stage.clients.send(call, proxy)
        if request is None:
            return 0
        # The judge knows an operation by its key alone.
        request.operation_key = f"{len(tenant)} {tenant} {key}"
        if request.status != 200:
            self.wrong.append(f"{when}: {tenant} {key} at proxy {proxy}: {request.status}")
        return request.status


async def play(old_build: pathlib.Path, new_build: pathlib.Path, work: pathlib.Path) -> bool:
    stage = Stage(old_build, work / "upgrade", slot=0, controllers=CONTROLLERS, proxies=PROXIES)
    try:
        await stage.start(StandInServer)
        upgrade = Upgrade(stage, new_build)
        await upgrade.play()
    finally:
        await stage.stop()
    verdict = judge.judge(stage.ledger)
    for finding in verdict.findings:
        print(f"    BROKEN {finding.cause.value}\n        {finding.detail}")
    for wrong in upgrade.wrong:
        print(f"    BROKEN {wrong}")
    return not verdict.findings and not upgrade.wrong


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("old_build", type=pathlib.Path)
    parser.add_argument("new_build", type=pathlib.Path)
    parser.add_argument("--keep", type=pathlib.Path, help="a new folder for settings and logs")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        work = options.keep or pathlib.Path(folder)
        return 0 if asyncio.run(play(options.old_build.resolve(), options.new_build.resolve(), work)) else 1


if __name__ == "__main__":
    sys.exit(main())
