#!/usr/bin/env python3
"""Operations that are repeated: each repeat gets the answer of its own operation, whatever has become of the key and of
the machines since. Each case is played by a small system of its own, of real processes on loopback, all beside each other.

    tests/soak/repeats.py BUILD [--only NAME]... [--keep DIR]

Prints what clients got, and ends with 1 unless each got what it should.
"""

import asyncio
import collections
import sys
import time
from collections.abc import Awaitable, Callable

from clients import Call
from ledger import APPLY_BOUND_S, QUIET_S, Kind, Request
from scenarios import Scenario, check_rules_and_complaints, run
from special_servers import CutShortServer, UnframedServer
from stage import FAR, TENANTS, Stage, route, routes_of_host
from stand_in_server import StandInServer
from system import ZONES

KEYS, ROUNDS, PROXIES = 8, 2, 3
TARGET, TIME_S = "/pay/seconds-0.05", 4.0
# A disk forgets a key after 1.25 times its horizon and 5 s (docs/idempotency.md), and looks a few times in a second.
KEY_HORIZON_S = 2.0
FORGOTTEN_AFTER_S = 1.25 * KEY_HORIZON_S + 5 + 1.5
SETTLE_S = 1.0
CUSTOMER = "ivy"  # without a limit
MANY_KEYS = [f"key-{n}" for n in range(40)]
# A key that was taken away is let go at the age of an operation's key and the time that changes take, looked for each 10 s.
LET_GO_WITHIN_S = FORGOTTEN_AFTER_S + APPLY_BOUND_S + 10.0
LET_GO = "Former keys are let go"
HOME, OTHER_HOME = ZONES[FAR], "east"
HOME_CONTROLLER = list(ZONES).index(FAR)  # its only core machine


class Trial:
    def __init__(self, stage: Stage):
        self.stage = stage
        self.headers: dict[str, str] = {}  # of all requests

    async def pay(self, number: int, proxy: int, generation: str = "") -> Request:
        """generation: tells operations apart that have the same key at different times."""
        call = Call(Kind.KEYED, TARGET, TIME_S, b"pay " + generation.encode(), f"order-{number}", headers=self.headers)
        request = await self.stage.clients.send(call, proxy)
        request.operation_key += f" {generation}"  # the judge knows an operation by this
        return request

    async def pay_all(self, first_proxy: int, proxies: int, generation: str = "") -> list[Request]:
        """One after the other: far proxies have a small part of a server's capacity."""
        return [await self.pay(n, first_proxy + n % proxies, generation) for n in range(KEYS)]

    async def repeat_everywhere(self) -> list[Request]:
        """Each operation at each proxy."""
        return await asyncio.gather(*(self.pay(n, proxy) for n in range(KEYS) for proxy in range(PROXIES)))

    async def set_homes(self, homes: list[str]) -> None:
        policy = route("pay", Kind.KEYED, "/pay/")
        policy["actuation"]["homeRegions"] = homes
        await self.stage.change(routes_of_host(policy))

    async def set_keys(self, tenant: str, *keys: str) -> None:
        """In place of those that the tenant had."""
        await self.stage.change(keys_of(tenant, *keys))

    async def pay_with_keys(self, keys: list[str]) -> list[Request]:
        """An operation with each of a client's keys."""
        requests = []
        for number, key in enumerate(keys):
            self.headers = {"Authorization": f"Token {key}"}
            requests.append(await self.pay(number, number % PROXIES))
        return requests

    async def repeat_with_keys(self, keys: list[str], first: list[Request]) -> None:
        """At another proxy than the first time each."""
        self.expect("first operations", first, is_served)
        seals = [request.seal for request in first]
        repeats = []
        for number, key in enumerate(keys):
            self.headers = {"Authorization": f"Token {key}"}
            repeats.append(await self.pay(number, (number + 1) % PROXIES))
        self.expect("repeats", repeats, lambda request: request.seal in seals)

    def expect(self, what: str, requests: list[Request], expected: Callable[[Request], bool]) -> None:
        """The requests are told in the report, and each that is not as expected is a complaint."""
        statuses = collections.Counter(request.status for request in requests)
        self.stage.outcomes.append(f"{what}: " + ", ".join(f"{n} x {status}" for status, n in sorted(statuses.items())))
        wrong = sum(not expected(request) for request in requests)
        if wrong > 0:
            self.stage.complaints.append(f"{what}: {wrong} of {len(requests)} are not as they should be")


Play = Callable[[Trial], Awaitable[None]]


def keys_of(tenant: str, *keys: str) -> dict:
    """For Stage.change()."""
    return {"customers": [{"name": tenant, "keys": list(keys), "rank": 1}]}


def is_served(request: Request) -> bool:
    return request.status == 200


def is_lost(request: Request) -> bool:
    """It may have run, and there is no answer; 503: no server was to be had, and it has not run."""
    return request.status in (502, 503)


def is_not_known(request: Request) -> bool:
    """It has not run again, and the first one's answer is not given: another one may be at work, or may have run."""
    return request.status in (409, 502, 503)


async def key_used_again(trial: Trial) -> None:
    """A key that has lapsed names a new operation, in another region; its repeats get the new answer only."""
    trial.expect("first operations", await trial.pay_all(0, 2, "one"), is_served)
    await asyncio.sleep(FORGOTTEN_AFTER_S)
    again = await trial.pay_all(2, 1, "two")
    trial.expect("new ones with the same keys", again, is_served)
    await asyncio.sleep(SETTLE_S)
    for number, new in enumerate(again):
        repeats = [await trial.pay(number, proxy, "two") for proxy in [*range(PROXIES)] * ROUNDS]
        trial.expect(f"order-{number}", repeats, lambda repeat, seal=new.seal: repeat.status == 200 and repeat.seal == seal)


async def home_core_away(trial: Trial) -> None:
    """Operations run while no core machine of their home region is there; their repeats get the answer where they were
    answered, are never told elsewhere that they are at work, and get the answer everywhere once the machine is back."""
    await trial.set_homes([HOME])
    machine = trial.stage.system.controller_machines[HOME_CONTROLLER]
    machine.kill_now()
    await asyncio.sleep(QUIET_S)
    trial.expect("first operations", await trial.pay_all(0, PROXIES), is_served)
    await asyncio.sleep(SETTLE_S)
    trial.expect("repeats at the same proxies", await trial.pay_all(0, PROXIES), is_served)
    trial.expect("repeats elsewhere", await trial.repeat_everywhere(), lambda request: request.status in (200, 503))
    await machine.start_again()
    await asyncio.sleep(QUIET_S)
    trial.expect("once it is back", await trial.repeat_everywhere(), is_served)


async def homes_changed(trial: Trial) -> None:
    """Operations that were answered in one home region are repeated after their route was given another one."""
    await trial.set_homes([HOME])
    trial.expect("first operations", await trial.pay_all(0, PROXIES), is_served)
    await trial.set_homes([OTHER_HOME])
    trial.expect("repeats under other homes", await trial.repeat_everywhere(), is_served)


async def pay_and_lose_key(trial: Trial) -> Callable[[Request], bool]:
    """The route needs no key of a client; its requests bear one, which is taken away after they were answered. Says whether a
    repeat gets the first answer."""
    await trial.set_keys(CUSTOMER, "key")
    trial.headers = {"Authorization": "Token key"}
    first = await trial.pay_all(0, PROXIES)
    trial.expect("first operations", first, is_served)
    await trial.set_keys(CUSTOMER, "another")
    seals = [request.seal for request in first]
    return lambda request: request.seal in seals


async def key_taken_away(trial: Trial) -> None:
    has_first_answer = await pay_and_lose_key(trial)
    trial.expect("with the key taken away", await trial.pay_all(0, PROXIES), has_first_answer)


async def key_taken_away_before_restart(trial: Trial) -> None:
    """Then all customers are dropped, and all machines are started again."""
    has_first_answer = await pay_and_lose_key(trial)
    await trial.stage.change(removed_customers=(CUSTOMER, *TENANTS))
    machines = trial.stage.system.controller_machines + trial.stage.system.proxy_machines
    for machine in machines:
        machine.kill_now()
    await asyncio.sleep(SETTLE_S)
    await asyncio.gather(*(machine.start_again() for machine in machines))
    await asyncio.sleep(QUIET_S)
    trial.expect("after the restart", await trial.pay_all(0, PROXIES), has_first_answer)


async def many_keys_taken_away(trial: Trial) -> None:
    """A customer has many keys, which one change takes away."""
    await trial.set_keys(CUSTOMER, *MANY_KEYS)
    first = await trial.pay_with_keys(MANY_KEYS)
    await trial.set_keys(CUSTOMER, "another")
    await trial.repeat_with_keys(MANY_KEYS, first)


async def keys_taken_away_in_series(trial: Trial) -> None:
    """Each change replaces a customer's key, one soon after the other."""
    await trial.set_keys(CUSTOMER, MANY_KEYS[0])
    first = await trial.pay_with_keys(MANY_KEYS[:1])
    for key in MANY_KEYS[1:]:
        await trial.stage.change(keys_of(CUSTOMER, key), settles_for_s=0.0)
    await trial.repeat_with_keys(MANY_KEYS[:1], first)


async def keys_let_go(trial: Trial) -> None:
    """Once operations that were begun with a key have lapsed, the key is not known any more. Until then it stays its
    customer's, though controllers are started again."""
    has_first_answer = await pay_and_lose_key(trial)
    lost_at = time.monotonic()
    for machine in trial.stage.system.controller_machines:
        await machine.kill()
    trial.expect("with the key taken away", await trial.pay_all(0, PROXIES), has_first_answer)
    await asyncio.sleep(max(0.0, lost_at + FORGOTTEN_AFTER_S - time.monotonic()))
    trial.expect("after their horizon", await trial.pay_all(0, PROXIES, "two"), is_served)
    await asyncio.sleep(LET_GO_WITHIN_S)
    known = [machine.log_text().count(LET_GO) for machine in trial.stage.system.controller_machines]
    trial.stage.outcomes.append(f"let go by {sum(known)} controllers")
    if sum(known) == 0:
        trial.stage.complaints.append("the key was not let go")


async def key_added_behind_agent(trial: Trial) -> None:
    """A customer gets a key while one proxy's agent stands still. Operations with the key run at the others; each is sent
    again to that proxy, which has not heard of the key, and the agent goes on."""
    await trial.set_keys(CUSTOMER, "key")
    held = trial.stage.system.proxy_machines[0]
    held.freeze_agent()
    await trial.set_keys(CUSTOMER, "key", "added")
    trial.headers = {"Authorization": "Token added"}
    first = await trial.pay_all(1, PROXIES - 1)
    trial.expect("first operations", first, is_served)
    repeats = [asyncio.create_task(trial.pay(n, 0)) for n in range(KEYS)]
    await asyncio.sleep(SETTLE_S)
    held.thaw_agent()
    seals = [request.seal for request in first]
    trial.expect("repeats at the proxy that has not heard of the key", await asyncio.gather(*repeats),
                 lambda request: request.seal in seals or is_not_known(request))


async def key_added_and_used_at_once(trial: Trial) -> None:
    """Operations with keys that are being added, each sent to all proxies at once, before the change is answered and after."""
    for number in range(KEYS):
        trial.headers = {"Authorization": f"Token added-{number}"}
        change = asyncio.create_task(trial.stage.change(keys_of(CUSTOMER, f"added-{number}"), settles_for_s=0.0))
        requests = []
        while not change.done():
            requests += [asyncio.create_task(trial.pay(number, proxy, "one")) for proxy in range(PROXIES)]
            await asyncio.sleep(0.002)
        answers = await asyncio.gather(*requests)
        answers += await asyncio.gather(*(trial.pay(number, proxy, "one") for proxy in range(PROXIES)))
        trial.expect(f"operation {number}", answers, lambda request: is_served(request) or is_not_known(request))


async def without_length(trial: Trial) -> None:
    """The servers' answers end with their connections, in order: each is whole, and is what repeats get."""
    trial.expect("first operations", await trial.pay_all(0, PROXIES), is_served)
    trial.expect("repeats", await trial.repeat_everywhere(), is_served)
    for kind, target in ((Kind.IDEMPOTENT, "/read/quick"), (Kind.UPLOAD, "/upload/quick")):
        requests = [await trial.stage.clients.send(Call(kind, target, TIME_S, b"body"), n % PROXIES) for n in range(KEYS)]
        trial.expect(kind.name.lower(), requests, is_served)


async def cut_short(trial: Trial) -> None:
    """The same with connections that are reset on the way: no part of an answer is given to anybody."""
    trial.expect("first operations", await trial.pay_all(0, PROXIES), is_lost)
    trial.expect("repeats", await trial.repeat_everywhere(), is_lost)


def scenario(name: str, play: Play, more_settings: tuple[str, ...] = (),
             server: type[StandInServer] = StandInServer) -> Scenario:
    async def play_on(stage: Stage) -> None:
        await stage.add_server(type(stage.servers[0]), FAR)
        await play(Trial(stage))

    return Scenario(name, play_on, server, controllers=3, proxies=PROXIES, more_settings=more_settings)


SCENARIOS = [
    scenario("a key that is used again after its horizon", key_used_again, (f"bounds.keyHorizonS={KEY_HORIZON_S:g}",)),
    scenario("all core machines of the home region are away", home_core_away),
    scenario("a route is given other home regions", homes_changed),
    scenario("a customer's key is taken away", key_taken_away),
    scenario("a customer's key is taken away, all are dropped, and all machines are started again", key_taken_away_before_restart),
    scenario("forty keys of a customer are taken away by one change", many_keys_taken_away),
    scenario("forty changes take a customer's key away, one after the other", keys_taken_away_in_series),
    scenario("a key that was taken away is let go", keys_let_go, (f"bounds.keyHorizonS={KEY_HORIZON_S:g}",)),
    scenario("a key is added that a proxy has not heard of", key_added_behind_agent),
    scenario("a key is added and used at once", key_added_and_used_at_once),
    scenario("answers without a length", without_length, server=UnframedServer),
    scenario("answers without a length that are cut short", cut_short, server=CutShortServer),
]


if __name__ == "__main__":
    sys.exit(asyncio.run(run("tests/soak/repeats.py", __doc__, SCENARIOS, check_rules_and_complaints)))
