"""A small system of real processes, on which one scenario is played: controllers, proxies and servers, mostly one each."""

import asyncio
import itertools
import pathlib
import random
import re
import time

from clients import Call, ClientGroup
from http_messages import Message
from ledger import APPLY_BOUND_S, Kind, Ledger, Request, Run, RunEnd, watch_lag
from stand_in_server import StandInServer, Work
from system import Machine, System

HOST = "record.example"
SERVICE = "estimator"
GRACE_PERIOD_S = 10.0
# The record of 2026-12-02: a run is late after 2.6 s.
WANTED_TIME_S = 3.06
LATE_AFTER_S = 2.6
DEADLINE_S = 15.336
WORK_S, QUICK_WORK_S = 5.0, 0.05
IDLE_TIMEOUT_S = 15
# Each has a rate limit, and none has tokens at a proxy before its first request there.
TENANTS = ("ada", "bob", "eve", "max", "zoe")
NEAR, FAR = "oak", "ash"  # zones: the proxy's, and one of another region
POLL_PERIOD_S = 0.01


def route(name: str, kind: Kind, prefix: str, generation: int = 1, is_keyless: bool = True) -> dict:
    return {"name": name, "kind": kind.value, "setpointS": WANTED_TIME_S, "rank": 1, "keyless": is_keyless,
            "generation": f"{generation:08x}", "selector": {"pathPrefix": prefix},
            "actuation": {"service": SERVICE, "deadlineS": DEADLINE_S, "maxTries": 2, "homeRegions": []}}


def limits(idle_timeout_s: float, generation: int = 1) -> dict:
    return {"headerBytes": 16384, "bodyBytes": 67108864, "headerDeadlineS": 3, "idleTimeoutS": idle_timeout_s,
            "generation": f"{generation:08x}"}


def configuration(idle_timeout_s: float) -> dict:
    """Routes without a tenant, and one, limited, that wants a tenant."""
    version = "00000001"
    pool = {"name": SERVICE, "healthPath": "/health", "connLimit": 1700, "selfDedupes": False, "coldS": 0,
            "coldRateS": 1000, "generation": version}
    policy = [route("read", Kind.IDEMPOTENT, "/read/"), route("pay", Kind.KEYED, "/pay/"),
              route("upload", Kind.UPLOAD, "/upload/"),
              route("limited", Kind.IDEMPOTENT, "/limited/", is_keyless=False)]
    tenants = [{"name": name, "keys": [f"key-{name}"], "rank": 1, "generation": version,
                "allowance": {"rate": 60, "burst": 60}} for name in TENANTS]
    return {"upsert": {"limits": limits(idle_timeout_s), "customers": tenants,
                       "sockets": [{"host": HOST, "policy": policy}], "pools": [pool]}, "remove": {"routes": []}}


def with_version(upsert: dict, version: str) -> dict:
    """The same items, all under this version."""
    changed = dict(upsert)
    if "limits" in upsert:
        changed["limits"] = {**upsert["limits"], "generation": version}
    for list_name in ("customers", "pools"):
        if list_name in upsert:
            changed[list_name] = [{**item, "generation": version} for item in upsert[list_name]]
    if "sockets" in upsert:
        changed["sockets"] = [{**socket, "policy": [{**policy, "generation": version} for policy in socket["policy"]]}
                              for socket in upsert["sockets"]]
    return changed


def routes_of_host(*policies: dict) -> dict:
    """For Stage.change()."""
    return {"sockets": [{"host": HOST, "policy": list(policies)}]}


def work_of(request: Message) -> Work:
    """A target may state the seconds of work and the bytes of the answer: /read/seconds-0.5/bytes-1000."""
    if "quick" in request.target:
        return Work(QUICK_WORK_S)
    seconds, size = re.search(r"seconds-([\d.]+)", request.target), re.search(r"bytes-(\d+)", request.target)
    return Work(float(seconds[1]) if seconds else WORK_S, int(size[1]) if size else 20)


class Stage:
    """Starts, plays and stops the system of one scenario."""

    def __init__(self, build: pathlib.Path, work: pathlib.Path, slot: int, idle_timeout_s: float = IDLE_TIMEOUT_S,
                 controllers: int = 1, proxies: int = 1, more_settings: tuple[str, ...] = ()):
        self.ledger = Ledger(GRACE_PERIOD_S)
        work.mkdir(parents=True)
        self.system = System(self.ledger, build, work, slot, controllers, proxies, more_settings=more_settings)
        self.clients = ClientGroup(self.ledger, self.system.fronts, HOST, random.Random(slot))
        self.servers: list[StandInServer] = []
        self.complaints: list[str] = []  # of the scenario itself, beside the judge's findings
        self.outcomes: list[str] = []  # in words, for the report
        self._idle_timeout_s = idle_timeout_s
        self._generations = itertools.count(2)  # 1: the stage's own configuration
        self._lag_watch: asyncio.Task | None = None

    async def start(self, first_server: type[StandInServer]) -> None:
        self._lag_watch = asyncio.create_task(watch_lag(self.ledger))
        await self.system.start()
        await self.add_server(first_server)
        if await self.system.amend(configuration(self._idle_timeout_s)) != 200:
            raise RuntimeError("the configuration was not taken")
        self.system.first_start_is_over()
        await self.system.wait_until_ready()

    def note_crashes(self) -> None:
        """A process that has ended, though nobody had ended it, is a complaint."""
        self.system.note_crashes()
        self.complaints += [f"a process ended by itself: {process}" for process in self.ledger.crashed_processes]

    async def stop(self) -> None:
        self.clients.close()
        for server in self.servers:
            await server.stop()
        await self.system.stop()
        if self._lag_watch:
            self._lag_watch.cancel()

    async def add_server(self, kind: type[StandInServer], zone: str = NEAR, capacity: int = 8) -> StandInServer:
        server = kind(self.ledger, SERVICE, zone, self.system.server_address(len(self.servers)), work_of, capacity)
        self.servers.append(server)
        await server.start(self.system.controllers)
        return server

    async def change(self, upsert: dict | None = None, removed_customers: tuple[str, ...] = (),
                     settles_for_s: float = APPLY_BOUND_S) -> bool:
        """Sends items of the configuration under a version of their own, and waits until they have to be in force. What is
        refused is a complaint."""
        change = self.next_change(upsert or {}, removed_customers)
        status = await self.system.amend(change)
        if status != 200:
            self.complaints.append(f"a change was answered with {status}: {change}")
        await asyncio.sleep(settles_for_s)
        return status == 200

    def next_change(self, upsert: dict, removed_customers: tuple[str, ...] = ()) -> dict:
        """These items and removals under a version of their own."""
        version = f"{next(self._generations):08x}"
        removals = [{"name": name, "generation": version} for name in removed_customers]
        return {"upsert": with_version(upsert, version), "remove": {"customers": removals}}

    def send(self, kind: Kind, target: str, body: bytes = b"", time_left_s: float = DEADLINE_S, key: str = "",
             sends_within_s: float = 0.0, **fields) -> asyncio.Task:
        """fields: others of Call."""
        call = Call(kind, target, time_left_s, body, key, sends_within_s, **fields)
        return asyncio.create_task(self.clients.send(call, 0))

    async def until_at_work(self) -> Request:
        while True:
            for request in self.ledger.requests.values():
                if any(run.end is RunEnd.AT_WORK for run in request.runs):
                    return request
            await asyncio.sleep(POLL_PERIOD_S)

    async def until_cut(self, request: Request, limit_s: float) -> None:
        """Waits until its first run was cut, or for this long."""
        give_up_at = time.monotonic() + limit_s
        while request.runs[0].end is RunEnd.AT_WORK and time.monotonic() < give_up_at:
            await asyncio.sleep(POLL_PERIOD_S)

    async def until_runs_end(self) -> None:
        while any(run.end is RunEnd.AT_WORK for run in self.runs()):
            await asyncio.sleep(POLL_PERIOD_S)

    def runs(self) -> list[Run]:
        return [run for request in self.ledger.requests.values() for run in request.runs]

    @property
    def proxy_machine(self) -> Machine:
        return self.system.proxy_machines[0]
