#!/usr/bin/env python3
"""Who gives a 200 may be gone a moment later. One controller acknowledges a server's departure or an operator's order, and
at that moment it is killed, stopped, frozen or wiped, alone or with all others; the acknowledgement binds all the same.
Each case is played by a small system of its own, of real processes on loopback, all beside each other.

    tests/soak/after_acknowledgement.py BUILD [--only NAME]... [--keep DIR]

Prints which acknowledgements were lost: requests that reached a departed server too late, orders that a controller does
not know. Ends with 1 if any was.
"""

import asyncio
import dataclasses
import json
import signal
import sys
import time
from collections.abc import Awaitable, Callable

import http_messages
import judge
from clients import Call
from http_messages import BrokenMessage
from ledger import Kind
from scenarios import Scenario, run
from stage import HOST, SERVICE, Stage, route
from stand_in_server import StandInServer

CONTROLLERS, PROXIES, SERVERS = 3, 2, 3
QUIET_S, DRAIN_BOUND_S = 3.0, 2.5
SETTINGS = (f"bounds.quietS={QUIET_S}", f"bounds.drainBoundS={DRAIN_BOUND_S}")
REQUEST_PAUSE_S, WARM_UP_S = 0.05, 2.0
# For so long a server serves on after its departure was acknowledged: "at times many seconds".
SERVES_ON_S = 12.0
AWAY_S, SHORTLY_AWAY_S = 3.0, 0.5
# More than leave until a controller that shuts down has ended, of one slot each, and work enough for most of those that
# are left then.
LEAVE_PAUSE_S, LEAVING_SERVERS = 0.01, 100
WORK_OF_SMALL_SERVERS_S = 0.5
# A server waits a second for its acknowledgement, and then asks another controller.
CALL_LIMIT_S = 1.0
ORDER_LIMIT_S = 4.0


class Trial:
    """One stage: servers whose heartbeats go to the first controller alone, and steady traffic to all proxies."""

    def __init__(self, stage: Stage, work_s: float = 0.02):
        self.stage = stage
        self._target = f"/read/seconds-{work_s}"
        self.acknowledged: dict[str, float] = {}  # when, by server
        self.unsettled_until = 0.0  # quietS after the last thing that was done to a controller
        self._traffic: list[asyncio.Task] = []
        self._sent: set[asyncio.Task] = set()

    @property
    def acknowledging_controller(self) -> str:
        return self.stage.system.controllers[0]

    async def begin(self, servers: int = SERVERS, capacity: int = 8) -> None:
        for server in self.stage.servers:  # the stage's own one
            await server.stop()
        for _ in range(servers):
            await self._add_server(capacity)
        self._traffic = [asyncio.create_task(self._send_steadily(proxy)) for proxy in range(PROXIES)]
        await asyncio.sleep(WARM_UP_S)

    async def _add_server(self, capacity: int) -> None:
        controllers = self.stage.system.controllers
        self.stage.system.controllers = controllers[:1]
        try:
            await self.stage.add_server(StandInServer, capacity=capacity)
        finally:
            self.stage.system.controllers = controllers

    async def end(self) -> None:
        for task in self._traffic:
            task.cancel()
        await asyncio.gather(*self._sent)

    async def _send_steadily(self, proxy: int) -> None:
        while True:
            call = Call(Kind.IDEMPOTENT, self._target, time_left_s=1.2)
            request = asyncio.create_task(self.stage.clients.send(call, proxy))
            self._sent.add(request)
            request.add_done_callback(self._sent.discard)
            await asyncio.sleep(REQUEST_PAUSE_S)

    def most_used_server(self) -> StandInServer:
        runs = [run.server for run in self.stage.runs()]
        return max(self.stage.servers, key=lambda server: runs.count(server.id))

    def note_unsettled(self) -> None:
        self.unsettled_until = time.monotonic() + QUIET_S

    async def say(self, server: StandInServer, target: str, body: bytes = b"") -> bool:
        """Its word to the controller that its heartbeats go to; it sends no more of these. True: acknowledged."""
        server.fall_silent()
        try:
            answer = await http_messages.call(self.acknowledging_controller, "POST", target, body, CALL_LIMIT_S)
        except BrokenMessage:
            return False
        if answer.status == 200:
            self.acknowledged[server.id] = time.monotonic()
        return answer.status == 200

    async def leave(self, server: StandInServer) -> bool:
        return await self.say(server, server.leave_target)

    async def drain(self, server: StandInServer) -> bool:
        return await self.say(server, server.heartbeat_target, server.heartbeat_body("draining"))

    def late_requests(self) -> int:
        """Requests that reached a server too long after its acknowledgement, sent and taken by machines in touch."""
        late = 0
        for request in self.stage.ledger.requests.values():
            for run in request.runs:
                acknowledged_at = self.acknowledged.get(run.server)
                is_late = acknowledged_at is not None and run.started_at > acknowledged_at + DRAIN_BOUND_S
                late += is_late and request.begun_at > self.unsettled_until
        return late


Depart = Callable[[Trial, StandInServer], Awaitable[bool]]
Fault = Callable[[Trial], Awaitable[None]]


def departure(depart: Depart, fault: Fault):
    """One server departs, and the fault comes with the acknowledgement."""

    async def play(stage: Stage) -> None:
        trial = Trial(stage)
        await trial.begin()
        server = trial.most_used_server()
        if not await depart(trial, server):
            stage.complaints.append("the departure was not acknowledged")
        began_at = time.monotonic()
        await fault(trial)
        await asyncio.sleep(max(0.0, began_at + SERVES_ON_S - time.monotonic()))
        await finish(trial)

    return play


async def finish(trial: Trial) -> None:
    await trial.end()
    trial.stage.complaints += [f"{late} requests reached a server too late" for late in (trial.late_requests(),) if late]


# ---- faults ----

async def is_killed(trial: Trial) -> None:
    machine = trial.stage.system.controller_machines[0]
    machine.kill_now()
    await asyncio.sleep(AWAY_S)
    await machine.start_again()
    trial.note_unsettled()


async def is_killed_for_good(trial: Trial) -> None:
    machine = trial.stage.system.controller_machines[0]
    machine.kill_now()
    await machine.until_ended()
    trial.note_unsettled()


async def loses_its_disk(trial: Trial) -> None:
    machine = trial.stage.system.controller_machines[0]
    machine.kill_now()
    await asyncio.sleep(SHORTLY_AWAY_S)
    await machine.start_again(is_disk_wiped=True)
    trial.note_unsettled()


async def is_frozen(trial: Trial) -> None:
    """A frozen controller tells nobody anything, as one that was cut off."""
    machine = trial.stage.system.controller_machines[0]
    machine.send_now(signal.SIGSTOP)
    trial.note_unsettled()
    await asyncio.sleep(SERVES_ON_S - 1)
    machine.send_now(signal.SIGCONT)


async def all_controllers_are_killed(trial: Trial) -> None:
    machines = trial.stage.system.controller_machines
    for machine in machines:
        machine.kill_now()
    await asyncio.sleep(SHORTLY_AWAY_S)
    await asyncio.gather(*(machine.start_again() for machine in machines))
    trial.note_unsettled()


async def everything_is_killed(trial: Trial) -> None:
    machines = trial.stage.system.controller_machines + trial.stage.system.proxy_machines
    for machine in machines:
        machine.kill_now()
    await asyncio.sleep(SHORTLY_AWAY_S)
    await asyncio.gather(*(machine.start_again() for machine in machines))
    trial.note_unsettled()


async def leaves_during_shutdown(stage: Stage) -> None:
    """One server after the other leaves while the controller that acknowledges ends by a SIGTERM."""
    trial = Trial(stage, WORK_OF_SMALL_SERVERS_S)
    await trial.begin(LEAVING_SERVERS + SERVERS, capacity=1)
    machine = stage.system.controller_machines[0]
    machine.send_now(signal.SIGTERM)
    for server in stage.servers[1:LEAVING_SERVERS + 1]:
        if not machine.is_running():
            break
        await trial.leave(server)
        await asyncio.sleep(LEAVE_PAUSE_S)
    stage.outcomes.append(f"{len(trial.acknowledged)} departures acknowledged during the shutdown")
    if not 0 < len(trial.acknowledged) < LEAVING_SERVERS:
        stage.complaints.append(f"{len(trial.acknowledged)} departures were acknowledged during the shutdown")
    trial.note_unsettled()
    await asyncio.sleep(SERVES_ON_S)
    await finish(trial)


# ---- operators' orders ----

# Controllers that were started again catch up within this time, and their links are up.
KNOWN_WITHIN_S = 5.0
POLL_PERIOD_S = 0.1


@dataclasses.dataclass(frozen=True)
class Order:
    """An operator's order; a controller that knows of it names `trace` in its answer to `question`."""

    target: str
    question: str
    trace: str
    body_for: Callable[[Stage], dict | None] = lambda stage: None

    def body(self, stage: Stage) -> bytes:
        body = self.body_for(stage)
        return b"" if body is None else json.dumps(body).encode()

    def is_in(self, answer: dict) -> bool:
        return self.trace in json.dumps(answer)


RUN_ID = "77"


def later_route(_: Stage) -> dict:
    return {"upsert": {"sockets": [{"host": HOST, "policy": [route("later", Kind.IDEMPOTENT, "/later/", 2)]}]}}


def drain_of_last_proxy(stage: Stage) -> dict:
    return drain_order(False, stage.system.fronts[-1], f"edge-{PROXIES}")


def rotation_of_last_server(stage: Stage) -> dict:
    return drain_order(True, stage.servers[-1].id, SERVICE)


def drain_order(are_servers: bool, name: str, node: str) -> dict:
    return {"id": RUN_ID, "servers": are_servers, "headroom": 0.1, "maxUnavailable": 1, "patienceS": 60,
            "replaced": are_servers, "units": [{"name": name, "node": node, "wave": 0}],
            "had": [{"service": SERVICE, "n": SERVERS}]}


ORDERS = {
    "a change": Order("/-/Config.Amend", "/-/Config.Read", "/later/", later_route),
    "an evacuation": Order("/-/Evacuation.Begin/ash", "/-/Status", '"zone": "ash"'),
    "a drain": Order("/-/Drain.Start", "/-/Drain.Status", f'"id": "{RUN_ID}"', drain_of_last_proxy),
    "a rotation": Order("/-/Rotation.Start", "/-/Rotation.Status", f'"id": "{RUN_ID}"', rotation_of_last_server),
    "a hand-over": Order("/-/Duty.HandOver/allowance/core-2", "/-/Duty.Status", '"holder": "core-2"'),
}


def order(order: Order, fault: Fault):
    """An order is acknowledged, and the fault comes with that; every controller that runs knows the order then."""

    async def play(stage: Stage) -> None:
        trial = Trial(stage)
        await trial.begin()
        began_at = time.monotonic()
        if (status := await give(trial, order)) != 200:
            what = f"{status or 'no answer'} after {time.monotonic() - began_at:.1f} s"
            stage.complaints.append(f"the order was not acknowledged: {what}")
        await fault(trial)
        await expect_known(stage, order)
        await finish(trial)

    return play


async def give(trial: Trial, order: Order) -> int:
    """The status of the answer; 0: there is none."""
    try:
        call = http_messages.call(trial.acknowledging_controller, "POST", order.target, order.body(trial.stage),
                                  ORDER_LIMIT_S)
        return (await call).status
    except BrokenMessage:
        return 0


async def expect_known(stage: Stage, order: Order) -> None:
    give_up_at = time.monotonic() + KNOWN_WITHIN_S
    running = [controller for controller, machine in zip(stage.system.controllers, stage.system.controller_machines)
               if machine.is_running()]
    unaware = running
    while unaware and time.monotonic() < give_up_at:
        await asyncio.sleep(POLL_PERIOD_S)
        unaware = [controller for controller in unaware if not await knows(controller, order)]
    if unaware or not running:
        stage.complaints.append(f"not known to {len(unaware)} of {len(running)} controllers that run")


async def knows(controller: str, order: Order) -> bool:
    try:
        answer = await http_messages.call(controller, "GET", order.question)
        return answer.status == 200 and order.is_in(json.loads(answer.body))
    except BrokenMessage:
        return False


# ---- keys ----

KEY, KEYED_TARGET, KEYED_TIME_S = "key-1", "/pay/seconds-0.05", 3.0
REPEATS, REPEAT_PAUSE_S = 8, 0.5


def key(fault: Fault):
    """A keyed request is answered, and the fault comes with that; its repeats at another proxy run nowhere (see judge.py)."""

    async def play(stage: Stage) -> None:
        trial = Trial(stage)
        await trial.begin()
        if not await is_served(stage, proxy=0):
            stage.complaints.append("the keyed request was not served")
        await fault(trial)
        served = 0
        for _ in range(REPEATS):
            served += await is_served(stage, proxy=1)
            await asyncio.sleep(REPEAT_PAUSE_S)
        stage.outcomes.append(f"of {REPEATS} repeats {served} got the first answer")
        await finish(trial)

    return play


async def is_served(stage: Stage, proxy: int) -> bool:
    request = await stage.clients.send(Call(Kind.KEYED, KEYED_TARGET, KEYED_TIME_S, b"pay", KEY), proxy)
    return request is not None and request.status == 200


async def first_proxy_is_killed_for_good(trial: Trial) -> None:
    machine = trial.stage.system.proxy_machines[0]
    machine.kill_now()
    await machine.until_ended()


def scenario(name: str, play) -> Scenario:
    return Scenario(name, play, controllers=CONTROLLERS, proxies=PROXIES, more_settings=SETTINGS)


SCENARIOS = [
    scenario("a server leaves, its controller is killed", departure(Trial.leave, is_killed)),
    scenario("a server leaves, its controller is killed for good", departure(Trial.leave, is_killed_for_good)),
    scenario("a server leaves, its controller loses its disk", departure(Trial.leave, loses_its_disk)),
    scenario("a server leaves, its controller is frozen", departure(Trial.leave, is_frozen)),
    scenario("a server leaves, all controllers are killed", departure(Trial.leave, all_controllers_are_killed)),
    scenario("a server leaves, everything is killed", departure(Trial.leave, everything_is_killed)),
    scenario("a server drains, its controller is killed", departure(Trial.drain, is_killed)),
    scenario("a server drains, its controller is killed for good", departure(Trial.drain, is_killed_for_good)),
    scenario("a server drains, all controllers are killed", departure(Trial.drain, all_controllers_are_killed)),
    scenario("servers leave while their controller shuts down", leaves_during_shutdown),
    *(scenario(f"{name}, {words}", order(ORDERS[name], fault)) for name in ORDERS
      for words, fault in (("its controller is killed for good", is_killed_for_good),
                           ("its controller loses its disk", loses_its_disk),
                           ("everything is killed", everything_is_killed))),
    scenario("a key, its proxy is killed for good", key(first_proxy_is_killed_for_good)),
    scenario("a key, a controller loses its disk", key(loses_its_disk)),
    scenario("a key, everything is killed", key(everything_is_killed)),
]


def check(scenario: Scenario, stage: Stage) -> bool:
    verdict = judge.judge(stage.ledger)
    print(f"{scenario.name}: {verdict.successes} succeeded"
          + "".join(f", {count} excused ({excuse.value})" for excuse, count in verdict.excused.items()))
    for outcome in stage.outcomes:
        print(f"    {outcome}")
    for finding in verdict.findings:
        print(f"    {finding.cause.value}\n        {finding.detail}")
    for complaint in stage.complaints:
        print(f"    BROKEN {complaint}")
    return verdict.successes > 0 and not verdict.findings and not stage.complaints


if __name__ == "__main__":
    sys.exit(asyncio.run(run("tests/soak/after_acknowledgement.py", __doc__, SCENARIOS, check)))
