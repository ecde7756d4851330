#!/usr/bin/env python3
"""Names that hold what programs separate names with: each is what it is, and no two are taken for one. Each case is played
by a small system of its own, of real processes on loopback, all beside each other.

    tests/soak/names.py BUILD [--only NAME]... [--keep DIR]

Prints what clients got, and ends with 1 unless each got what its names say.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable

from clients import Call
from ledger import Kind, Request
from scenarios import Scenario, check_rules_and_complaints, run
from stage import SERVICE, Stage, routes_of_host

SEPARATORS = ("/", "|", "%", "@", ":", ",", "%2F", "//")
KEYED_TARGET, TIME_S = "/signed/seconds-0.05", 3.0
PARTS = ("print", "budapest", "1")


class Trial:
    def __init__(self, stage: Stage):
        self.stage = stage

    async def set_tenants(self, names: list[str]) -> None:
        tenants = [{"name": name, "keys": [token_of(name)], "rank": 1} for name in names]
        routes = routes_of_host(keyed_route("signed", "/signed/"), keyed_route("open", "/open/", is_keyless=True))
        await self.stage.change({"customers": tenants, **routes})

    async def pay(self, tenant: str | None, key: str) -> Request:
        headers = {"Authorization": f"Token {token_of(tenant)}"} if tenant is not None else {}
        target = KEYED_TARGET if tenant is not None else KEYED_TARGET.replace("signed", "open")
        call = Call(Kind.KEYED, target, TIME_S, b"pay", key, headers=headers)
        request = await self.stage.clients.send(call, 0)
        request.operation_key = f"{tenant!r} {key!r}"  # the judge knows an operation by this
        return request

    async def expect_own_runs(self, operations: list[tuple[str | None, str]]) -> None:
        """Each operation runs, and each repeat gets its own operation's answer (see judge.py)."""
        for _ in range(2):
            for tenant, key in operations:
                request = await self.pay(tenant, key)
                if request.status != 200:
                    self.stage.complaints.append(f"tenant {tenant!r}, key {key!r}: {request.status}")
        self.stage.outcomes.append(f"{len(operations)} operations")


Play = Callable[[Trial], Awaitable[None]]


def token_of(tenant: str) -> str:
    return "token-" + tenant.encode().hex()


def keyed_route(name: str, prefix: str, is_keyless: bool = False) -> dict:
    return {"name": name, "kind": "keyed", "setpointS": 1.0, "rank": 1, "keyless": is_keyless,
            "selector": {"pathPrefix": prefix},
            "actuation": {"service": SERVICE, "deadlineS": 5, "maxTries": 2, "homeRegions": []}}


# ---- tenants ----

async def tenants_and_keys(trial: Trial) -> None:
    """The same parts, split between tenant and key in different places."""
    first, second, third = PARTS
    names = [first, *(first + separator + second for separator in SEPARATORS)]
    await trial.set_tenants(names)
    operations: list[tuple[str | None, str]] = []
    for separator in SEPARATORS:
        operations += [(first, second + separator + third), (first + separator + second, third)]
    await trial.expect_own_runs(operations)


async def tenants_and_nobody(trial: Trial) -> None:
    """A tenant's operation, and one of nobody whose key reads like tenant and key."""
    await trial.set_tenants([PARTS[0]])
    operations: list[tuple[str | None, str]] = [(PARTS[0], PARTS[1])]
    operations += [(None, PARTS[0] + separator + PARTS[1]) for separator in SEPARATORS]
    await trial.expect_own_runs(operations)


def scenario(name: str, play: Play) -> Scenario:
    async def play_on(stage: Stage) -> None:
        await play(Trial(stage))

    return Scenario(name, play_on)


SCENARIOS = [
    scenario("tenants' names and keys with separators", tenants_and_keys),
    scenario("a key without a tenant that reads like tenant and key", tenants_and_nobody),
]


if __name__ == "__main__":
    sys.exit(asyncio.run(run("tests/soak/names.py", __doc__, SCENARIOS, check_rules_and_complaints)))
