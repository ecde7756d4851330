#!/usr/bin/env python3
"""Answers that a process makes by itself, byte by byte, to each method and from each source: what the head says and what
follows it agree, and the next answer on the connection begins where this one ends. Each source is played by a small
system of its own, of real processes on loopback, all beside each other.

    tests/soak/local_replies.py BUILD [--only NAME]... [--keep DIR]

Prints each source's statuses, and ends with 1 if an answer was followed by bytes that belong to none, or had another status.
"""

import asyncio
import itertools
import sys
from collections.abc import Awaitable, Callable

from ledger import Kind
from scenarios import Scenario, run
from special_servers import BreakingServer, RefusingServer
from stage import DEADLINE_S, HOST, TENANTS, Stage, limits, route
from stand_in_server import StandInServer
from system import CONTROL_PORT, DIRECTORY_PORT, READY_PORT

METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH")
WITH_BODY = ("POST", "PUT", "PATCH")
# The library answers these by itself and closes.
LARGE_HEAD, LARGE_BODY, SMALL_LIMIT = 400_000, 1_000_000, 1_000
ANSWER_LIMIT_S, CLOSE_LIMIT_S = 20.0, 2.0
# Nothing more comes within this time behind an answer on a connection that stays open.
QUIET_LIMIT_S = 0.2
# A directory names nobody for so long after its first proxy has registered.
DIRECTORY_START_S = 2.0
# The library lets no other method to this port.
READINESS_METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE")


class StrayBytes(Exception):
    """Bytes that are no answer, or not the one that is due."""


class Answer:
    """The head of an answer, and how many bytes may follow it."""

    def __init__(self, head: bytes, method: str):
        lines = head.decode("latin-1").split("\r\n")
        words = lines[0].split(" ", 2)
        if not words[0].startswith("HTTP/1.") or len(words) < 2 or not words[1].isdigit():
            raise StrayBytes(f"not the head of an answer: {lines[0]!r}")
        self.status = int(words[1])
        self.headers = dict(self._split(line) for line in lines[1:] if line)
        self.has_body = method != "HEAD" and self.status not in (204, 304) and self.status >= 200
        self.closes = self.headers.get("connection", "").lower() == "close"
        if self.has_body and "content-length" not in self.headers:
            raise StrayBytes(f"{self.status} to {method} states no length")

    @staticmethod
    def _split(line: str) -> tuple[str, str]:
        name, _, value = line.partition(":")
        return name.strip().lower(), value.strip()

    @property
    def body_bytes(self) -> int:
        return int(self.headers.get("content-length", "0")) if self.has_body else 0


class Wire:
    """A connection, read strictly."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: str) -> "Wire":
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port), limit=1 << 22))

    def send(self, message: bytes) -> None:
        self._writer.write(message)

    async def read(self, method: str) -> Answer:
        """One whole answer, and nothing behind it."""
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                head = await self._reader.readuntil(b"\r\n\r\n")
                answer = Answer(head.removesuffix(b"\r\n\r\n"), method)
                await self._reader.readexactly(answer.body_bytes)
        except (asyncio.IncompleteReadError, TimeoutError) as error:
            raise StrayBytes(f"no whole answer to {method}: {error!r}") from error
        await self._expect_nothing(answer, method)
        return answer

    async def _expect_nothing(self, answer: Answer, method: str) -> None:
        try:
            async with asyncio.timeout(CLOSE_LIMIT_S if answer.closes else QUIET_LIMIT_S):
                more = await self._reader.read(1000)
        except TimeoutError as error:
            if answer.closes:
                raise StrayBytes(f"{answer.status} to {method} was to close the connection") from error
            return
        except ConnectionError:
            more = b""
        if more:
            raise StrayBytes(f"{answer.status} to {method} is followed by {more[:60]!r}")
        if not answer.closes:
            raise StrayBytes(f"{answer.status} to {method} was followed by a close that it did not announce")

    def close(self) -> None:
        self._writer.close()


_ids = itertools.count(1)


def message(method: str, target: str, *, body: bytes = b"", host: str = HOST, more: tuple[str, ...] = (),
            has_id: bool = True, time_left_s: float = DEADLINE_S) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"X-Time-Left: {int(time_left_s * 1000)}", *more]
    if has_id:
        lines.append(f"X-Attempt-Id: {next(_ids):016x}")
    if method in WITH_BODY or body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Trial:
    """A stage, and where its answers are written down."""

    def __init__(self, stage: Stage):
        self.stage = stage
        self.front = stage.system.fronts[0]

    def address(self, port: int) -> str:
        """A port of the proxy's machine, or of the controller's."""
        machine = self.front if port == READY_PORT else self.stage.system.controllers[0]
        return f"{machine.rsplit(':', 1)[0]}:{port}"

    def complain(self, what: str) -> None:
        self.stage.complaints.append(what)

    async def twice(self, wanted: int | tuple[int, ...], message_of: Callable[[str], bytes],
                    methods: tuple[str, ...] = METHODS, address: str = "") -> None:
        """For each method: two answers in a row on one connection; one, if the first closes it. wanted: any of these
        statuses."""
        allowed = wanted if isinstance(wanted, tuple) else (wanted,)
        seen = {}
        for method in methods:
            wire = await Wire.open(address or self.front)
            try:
                statuses = []
                for _ in range(2):
                    wire.send(message_of(method))
                    answer = await wire.read(method)
                    statuses.append(answer.status)
                    if answer.closes:
                        break
                seen[method] = statuses
                if any(status not in allowed for status in statuses):
                    self.complain(f"{method}: {statuses}, not {wanted}")
            except StrayBytes as error:
                self.complain(f"{method}: {error}")
            finally:
                wire.close()
        self.stage.outcomes.append(", ".join(f"{method} {statuses}" for method, statuses in seen.items()))


Play = Callable[[Trial], Awaitable[None]]


# ---- the proxy, before admission and by admission ----

def proxy_replies(wanted: int | tuple[int, ...], target: str, methods: tuple[str, ...] = METHODS, **fields) -> Play:
    async def play(trial: Trial) -> None:
        await trial.twice(wanted, lambda method: message(method, target, **fields), methods)

    return play


async def large_bodies(trial: Trial) -> None:
    """Refused by the library, by their stated length."""
    await trial.stage.change({"limits": {**limits(15), "bodyBytes": SMALL_LIMIT}})
    methods = ("GET", *WITH_BODY)
    await trial.twice(413, lambda method: message(method, "/read/quick", body=b"u" * LARGE_BODY), methods)


async def stated_body_of_head_request(trial: Trial) -> None:
    """A HEAD that states a body, over the limit."""
    await trial.stage.change({"limits": {**limits(15), "bodyBytes": SMALL_LIMIT}})
    await trial.twice(400, lambda method: message(method, "/read/quick", body=b"u" * LARGE_BODY), ("HEAD",))


async def without_configuration(trial: Trial) -> None:
    """A proxy that has just started beside a controller that is gone knows no configuration."""
    controller = trial.stage.system.controller_machines[0]
    controller.kill_now()
    await controller.until_ended()
    await trial.stage.proxy_machine.restart()
    await asyncio.sleep(1.0)
    await trial.twice(503, lambda method: message(method, "/read/quick"))


async def while_shutting_down(trial: Trial) -> None:
    """A request that may outlast the process is refused late in a shutdown, which a request at work holds up."""
    held = trial.stage.send(Kind.IDEMPOTENT, "/read/seconds-9.0")
    wires = {method: await Wire.open(trial.front) for method in METHODS}
    for method, wire in wires.items():
        wire.send(message(method, "/read/quick"))
        await wire.read(method)
    stop = asyncio.create_task(trial.stage.proxy_machine.restart())
    await asyncio.sleep(4.0)
    for method, wire in wires.items():
        wire.send(message(method, "/read/quick"))
        try:
            answer = await wire.read(method)
            trial.stage.outcomes.append(f"{method} {answer.status}")
            if answer.status != 503:
                trial.complain(f"{method}: {answer.status}, not 503")
        except StrayBytes as error:
            trial.complain(f"{method}: {error}")
        wire.close()
    await held
    await stop


# ---- the proxy, after admission ----

async def no_server(trial: Trial) -> None:
    for server in trial.stage.servers:
        await server.leave(trial.stage.system.controllers, 0.1)
    await asyncio.sleep(1.0)
    await trial.twice(503, lambda method: message(method, "/read/quick", time_left_s=0.5))


async def at_deadline(trial: Trial) -> None:
    """A server that does not answer in time gets nothing for a while."""
    await trial.twice((504, 503), lambda method: message(method, "/read/seconds-5.0", time_left_s=0.4))


async def over_quota(trial: Trial) -> None:
    """Of a tenant that may send nothing for now."""
    allowance = {"rate": 0.001, "burst": 1}
    await trial.stage.change({"customers": [
        {"name": TENANTS[0], "keys": [f"key-{TENANTS[0]}"], "rank": 1, "allowance": allowance}]})
    await asyncio.sleep(4.0)
    more = (f"Authorization: Token key-{TENANTS[0]}",)
    wire = await Wire.open(trial.front)  # takes what token there is
    wire.send(message("GET", "/limited/quick", more=more))
    await wire.read("GET")
    await trial.twice(429, lambda method: message(method, "/limited/quick", more=more, time_left_s=0.5))


async def last_tenant_dropped(trial: Trial) -> None:
    """Routes that need a key go on needing one."""
    await trial.stage.change(removed_customers=TENANTS)
    for key in (f"key-{TENANTS[0]}", "key-of-nobody"):
        more = (f"Authorization: Token {key}",)
        await trial.twice(401, lambda method, more=more: message(method, "/limited/quick", more=more))
    await trial.twice(401, lambda method: message(method, "/limited/quick"))


async def stored(trial: Trial) -> None:
    """Repeats get the first answer, which a POST had; HEAD gets its head."""
    more = ("X-Operation-Key: stored",)
    wire = await Wire.open(trial.front)
    wire.send(message("POST", "/pay/quick", body=b"pay", more=more))
    await wire.read("POST")
    await trial.twice(200, lambda method: message(method, "/pay/quick", more=more))


async def key_at_work(trial: Trial) -> None:
    more = ("X-Operation-Key: at-work",)
    wire = await Wire.open(trial.front)
    wire.send(message("POST", "/pay/seconds-9.0", body=b"pay", more=more))
    await asyncio.sleep(1.0)
    await trial.twice(409, lambda method: message(method, "/pay/seconds-9.0", more=more))
    wire.close()


async def forwarded(trial: Trial) -> None:
    """For comparison: answers of a server."""
    await trial.twice(200, lambda method: message(method, "/read/quick"))


# ---- other ports ----

RESOLVE = f"/-/resolve?name={HOST}&region=east&zone=oak"


def other_port(port: int, wanted: int, target: str, methods: tuple[str, ...] = METHODS) -> Play:
    async def play(trial: Trial) -> None:
        await asyncio.sleep(DIRECTORY_START_S)
        await trial.twice(wanted, lambda method: message(method, target), methods, trial.address(port))

    return play


def large_head_at(port: int | None) -> Play:
    """Refused by the library."""
    async def play(trial: Trial) -> None:
        await trial.twice(400, lambda method: message(method, "/read/quick", more=("X-Filler: " + "f" * LARGE_HEAD,)),
                          METHODS, trial.address(port) if port else "")

    return play


def scenario(name: str, play: Play, first_server: type[StandInServer] = StandInServer) -> Scenario:
    async def play_on(stage: Stage) -> None:
        await play(Trial(stage))

    return Scenario(name, play_on, first_server)


SCENARIOS = [
    scenario("no route (404)", proxy_replies(404, "/nothing/x")),
    scenario("no host that is known (404)", proxy_replies(404, "/read/quick", host="other.example")),
    scenario("no tenant's key (401)", proxy_replies(401, "/limited/quick")),
    scenario("no tenant's key, the last tenant has been dropped (401)", last_tenant_dropped),
    scenario("no attempt id (400)", proxy_replies(400, "/read/quick", has_id=False)),
    scenario("no operation key (400)", proxy_replies(400, "/pay/quick")),
    scenario("two hosts (400)", proxy_replies(400, "/read/quick", more=("Host: other.example",))),
    scenario("head over the limit (431)", proxy_replies(431, "/read/quick", more=("X-Filler: " + "f" * 20_000,))),
    scenario("head far over the limit, by the library (400)", large_head_at(None)),
    scenario("body over the limit, by the library (413)", large_bodies),
    scenario("HEAD with a body over the limit (400)", stated_body_of_head_request),
    scenario("method that is not allowed, by the library (501)", proxy_replies(501, "/read/quick", ("TRACE",))),
    scenario("no configuration (503)", without_configuration),
    scenario("shutting down (503)", while_shutting_down),
    scenario("no server (503)", no_server),
    scenario("turned away by all servers (503)", proxy_replies(503, "/read/quick", time_left_s=0.5), RefusingServer),
    scenario("broken off by the server (502, then 503)", proxy_replies((502, 503), "/upload/quick"), BreakingServer),
    scenario("at the deadline (504, then 503)", at_deadline),
    scenario("over the tenant's quota (429)", over_quota),
    scenario("key at work (409)", key_at_work),
    scenario("stored answer (200)", stored),
    scenario("forwarded answer (200)", forwarded),
    scenario("readiness (200)", other_port(READY_PORT, 200, "/-/readiness", READINESS_METHODS)),
    scenario("readiness port, no such path (404)", other_port(READY_PORT, 404, "/other", READINESS_METHODS)),
    scenario("control port, status (200)", other_port(CONTROL_PORT, 200, "/-/Status")),
    scenario("control port, no such call (404)", other_port(CONTROL_PORT, 404, "/-/Nothing")),
    scenario("control port, wrong method (405)", other_port(CONTROL_PORT, 405, "/-/Config.Amend",
                                                           ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"))),
    scenario("control port, head far over the limit, by the library (400)", large_head_at(CONTROL_PORT)),
    scenario("directory (200)", other_port(DIRECTORY_PORT, 200, RESOLVE, ("GET",))),
    scenario("directory, wrong method (405)", other_port(DIRECTORY_PORT, 405, RESOLVE, METHODS[1:])),
    scenario("directory, no such call (404)", other_port(DIRECTORY_PORT, 404, "/other")),
    scenario("directory, head far over the limit, by the library (400)", large_head_at(DIRECTORY_PORT)),
]


def check(scenario: Scenario, stage: Stage) -> bool:
    print(f"{scenario.name}: {'; '.join(stage.outcomes)}")
    for complaint in stage.complaints:
        print(f"    BROKEN {complaint}")
    return not stage.complaints


if __name__ == "__main__":
    sys.exit(asyncio.run(run("tests/soak/local_replies.py", __doc__, SCENARIOS, check)))
