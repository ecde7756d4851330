#!/usr/bin/env python3
"""A changed setting is in force for everything that took a copy of the one before: connections in use, at rest or never used,
requests that are being read or are at work. Each case is played by a small system of its own, of real processes on
loopback, all beside each other, for a setting that is raised and for one that is lowered.

    tests/soak/settings_in_force.py BUILD [--only NAME]... [--keep DIR]

Prints what each client got, and ends with 1 unless it is what the changed setting says.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable

import http_messages
from clients import Call
from http_messages import BrokenMessage
from ledger import APPLY_BOUND_S, Kind
from scenarios import Scenario, run
from special_servers import HeaderNotingServer, RefusingServer
from stage import DEADLINE_S, FAR, HOST, TENANTS, Stage, route, routes_of_host
from stand_in_platform import StandInPlatform
from stand_in_server import StandInServer

# The middle one is between the others, by more than all slack.
LOW, MIDDLE, HIGH = 0, 1, 2
BODY_BYTES = (100_000, 1_000_000, 4_000_000)
# The library refuses heads over twice the limit and 128 KiB by itself.
HEAD_BYTES = (2_000, 200_000, 400_000)
IDLE_S = (1, 4, 15)
# The server's work in a request that is under way when a setting changes.
WORK_S = APPLY_BOUND_S + 1.0
CHUNKS, CHUNK_PAUSE_S = 10, 0.2
ANSWER_LIMIT_S = 12.0
MOST_HEADER_LINE = 8_000
TRIES_FOR_TOKENS = 20
PLATFORM_ADDRESS = "127.39.0.1:8200"  # beside the systems' own
REPORT_PERIOD_S, REPORT_DELAY_S = 2.0, 5.0
REPORT_LIMIT_S = 2 * REPORT_PERIOD_S + REPORT_DELAY_S + 3.0  # a lease's term comes first
PLATFORM_SETTINGS = (f"cloudApi.address={PLATFORM_ADDRESS}", "cloudApi.tasks=usage_report", "cloudApi.dutyPerS=20",
                     f"bounds.reportPeriodS={REPORT_PERIOD_S:g}", f"bounds.usageDelayS={REPORT_DELAY_S:g}")


class Client:
    """One connection, one request after the other, byte for byte as the case wants them."""

    def __init__(self, stage: Stage):
        self._stage = stage
        self._requests = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> "Client":
        host, port = self._stage.system.fronts[0].rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
        return self

    def head(self, method: str, target: str, more: list[str]) -> bytes:
        self._requests += 1
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {id(self):x}-{self._requests}",
                 f"X-Time-Left: {int(DEADLINE_S * 1000)}", *more]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def ask(self, target: str = "/read/quick", head_bytes: int = 0, **headers: str) -> str:
        lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        for position in range(0, head_bytes, MOST_HEADER_LINE):
            lines.append(f"X-Filler-{position}: " + "f" * min(MOST_HEADER_LINE, head_bytes - position))
        self._writer.write(self.head("GET", target, lines))
        return await self.answer()

    async def upload(self, size: int) -> str:
        """Its head and then its body, of which all is sent whatever the proxy answers."""
        self._writer.write(self.head("POST", "/upload/quick", [f"Content-Length: {size}"]) + b"u" * size)
        return await self.answer()

    async def begin_upload(self) -> None:
        """Its head, and a body in chunks of which one byte is sent."""
        self._writer.write(self.head("POST", "/upload/quick", ["Transfer-Encoding: chunked"]) + b"1\r\nu\r\n")

    async def end_upload(self, size: int) -> str:
        """The rest of the body that was begun."""
        chunk = size // CHUNKS
        for _ in range(CHUNKS):
            self._writer.write(f"{chunk:x}\r\n".encode() + b"u" * chunk + b"\r\n")
            await asyncio.sleep(CHUNK_PAUSE_S)
        self._writer.write(b"0\r\n\r\n")
        return await self.answer()

    async def answer(self) -> str:
        """Its status; or how the connection ended."""
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                return str((await http_messages.read_message(self._reader)).status)
        except TimeoutError:
            return "silence"
        except (BrokenMessage, OSError):
            return "closed"

    async def closed_within(self, limit_s: float) -> bool:
        try:
            async with asyncio.timeout(limit_s):
                return await self._reader.read(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True


class Trial:
    """A stage whose limits the case sets: each of them low, high, or what the stage began with."""

    def __init__(self, stage: Stage):
        self.stage = stage

    async def set_limits(self, body: int = HIGH, head: int = LOW, idle: int = HIGH) -> None:
        limits = {"headerBytes": HEAD_BYTES[head], "bodyBytes": BODY_BYTES[body], "headerDeadlineS": 3,
                  "idleTimeoutS": IDLE_S[idle]}
        await self._change({"limits": limits})

    async def set_deadline(self, seconds: float) -> None:
        policy = route("read", Kind.IDEMPOTENT, "/read/")
        policy["actuation"]["deadlineS"] = seconds
        await self._change(routes_of_host(policy))

    async def set_allowance(self, rate: int) -> None:
        allowance = {"rate": rate, "burst": rate}
        await self._change({"customers": [
            {"name": TENANTS[0], "keys": [f"key-{TENANTS[0]}"], "rank": 1, "allowance": allowance}]})

    async def _change(self, upsert: dict) -> None:
        if not await self.stage.change(upsert):
            raise RuntimeError("the change was not taken")

    async def client(self) -> Client:
        return await Client(self.stage).open()

    def note(self, what: str) -> None:
        self.stage.outcomes.append(what)

    def expect(self, what: str, seen: object, wanted: object) -> None:
        self.note(f"{what}: {seen}")
        if seen != wanted:
            self.stage.complaints.append(f"{what}: {seen}, not {wanted}")


Play = Callable[[Trial], Awaitable[None]]


def on_each_connection(what: str, before: dict, after: dict, act: Callable[[Client], Awaitable[object]], wanted: object) -> Play:
    """One connection was in use, one is opened and never used, one has a request at work while the limits change; then a
    new one is opened. All of them do the same then."""

    async def play(trial: Trial) -> None:
        await trial.set_limits(**before)
        used, unused, busy = [await trial.client() for _ in range(3)]
        await used.ask()
        at_work = asyncio.create_task(busy.ask(f"/read/seconds-{WORK_S}"))
        await asyncio.sleep(0.2)
        await trial.set_limits(**after)
        trial.expect(f"{what}, at work meanwhile", await at_work, "200")
        fresh = await trial.client()
        clients = {"in use": used, "never used": unused, "with a request at work": busy, "new": fresh}
        results = await asyncio.gather(*(act(client) for client in clients.values()))
        for kind, seen in zip(clients, results):
            trial.expect(f"{what}, connection {kind}", seen, wanted)

    return play


async def rest_and_ask(client: Client) -> str:
    await asyncio.sleep(IDLE_S[MIDDLE])
    return await client.ask()


async def body_raised_while_read(trial: Trial) -> None:
    """The body becomes longer than the limit that its request began under only once that is raised."""
    await trial.set_limits(body=LOW)
    used, unused = await trial.client(), await trial.client()
    await used.ask()
    for client in (used, unused):
        await client.begin_upload()
    await trial.set_limits(body=HIGH)
    for kind, client in (("in use", used), ("never used", unused)):
        trial.expect(f"a body that is being read, connection {kind}", await client.end_upload(BODY_BYTES[MIDDLE]), "200")


async def idle_lowered_at_rest(trial: Trial) -> None:
    await trial.set_limits(idle=HIGH)
    used, unused = await trial.client(), await trial.client()
    await used.ask()
    await trial.set_limits(idle=LOW)
    for kind, client in (("used before", used), ("never used", unused)):
        trial.expect(f"closed at rest, connection {kind}", await client.closed_within(IDLE_S[MIDDLE]), True)


def deadline_changed(before_s: float, after_s: float, wanted: str) -> Play:
    async def play(trial: Trial) -> None:
        client = await trial.client()
        await trial.set_deadline(before_s)
        await client.ask()
        await trial.set_deadline(after_s)
        trial.expect(f"work of 1 s under a deadline of {after_s} s", await client.ask("/read/seconds-1.0"), wanted)

    return play


# Requests of one tenant within a moment, by far more than the one rate allows and by far fewer than the other.
TOKENS_ASKED, FEW_TOKENS, MANY_TOKENS = 30, 3, 500
# A controller that has just started lends no tokens for so long; tokens that were lent before a change end with their loan.
ALLOCATOR_START_S, ALLOWANCE_TERM_S = 4.0, 3.0


async def served_of_tenant(client: Client) -> int:
    statuses = [await client.ask("/limited/quick", Authorization=f"Token key-{TENANTS[0]}") for _ in range(TOKENS_ASKED)]
    return statuses.count("200")


async def allowance_raised(trial: Trial) -> None:
    await asyncio.sleep(ALLOCATOR_START_S)
    await trial.set_allowance(FEW_TOKENS)
    client = await trial.client()
    before = await served_of_tenant(client)
    await trial.set_allowance(MANY_TOKENS)
    after = await served_of_tenant(client)
    trial.note(f"{before} and then {after} of {TOKENS_ASKED} served")
    trial.expect("fewer than all before", before < TOKENS_ASKED, True)
    trial.expect("all after", after, TOKENS_ASKED)


async def allowance_lowered(trial: Trial) -> None:
    await asyncio.sleep(ALLOCATOR_START_S)
    await trial.set_allowance(MANY_TOKENS)
    client = await trial.client()
    before = await served_of_tenant(client)
    await trial.set_allowance(FEW_TOKENS)
    await asyncio.sleep(ALLOWANCE_TERM_S)
    after = await served_of_tenant(client)
    trial.note(f"{before} and then {after} of {TOKENS_ASKED} served")
    trial.expect("all before", before, TOKENS_ASKED)
    trial.expect("fewer than all after", after < TOKENS_ASKED, True)


# ---- the settings file ----

# The near server turns everything away; only a retry reaches the far one.
NO_RETRIES, MANY_RETRIES = "0", "1000"


async def set_retry_slack(trial: Trial, slack: str) -> None:
    trial.stage.proxy_machine.change_setting("bounds.retryRatio", "0")
    trial.stage.proxy_machine.change_setting("bounds.retrySlack", slack)
    await asyncio.sleep(APPLY_BOUND_S)


def retry_slack_changed(before: str, after: str) -> Play:
    served = {NO_RETRIES: "503", MANY_RETRIES: "200"}

    async def play(trial: Trial) -> None:
        await trial.stage.add_server(StandInServer, FAR)
        client = await trial.client()
        for slack in (before, after):
            await set_retry_slack(trial, slack)
            trial.expect(f"with a slack of {slack}", await client.ask(), served[slack])

    return play


async def read_as_ada(trial: Trial) -> int:
    """On a route that needs no key; the status. Tries again while the proxy has no tokens of hers yet."""
    call = Call(Kind.IDEMPOTENT, "/read/quick", DEADLINE_S, headers={"Authorization": f"Token key-{TENANTS[0]}"})
    for _ in range(TRIES_FOR_TOKENS):
        status = (await trial.stage.clients.send(call, 0)).status
        if status != 429:
            break
        await asyncio.sleep(0.2)
    return status


async def credentials_after_last_tenant(trial: Trial) -> None:
    """Servers get a tenant's name in place of its key, and neither once the last tenant was removed."""
    server = trial.stage.servers[0]
    for when, expected in (("ada is a tenant", TENANTS[0]), ("the last tenant was removed", None)):
        trial.expect(when, await read_as_ada(trial), 200)
        trial.expect(f"{when}: X-Tenant", server.headers_seen[-1].get("x-tenant"), expected)
        trial.expect(f"{when}: Authorization", server.headers_seen[-1].get("authorization"), None)
        await trial.stage.change(removed_customers=TENANTS)


async def usage_after_last_tenant(trial: Trial) -> None:
    """Windows go on being reported, one after the other, and count nobody."""
    platform = StandInPlatform(PLATFORM_ADDRESS)
    await platform.start()
    try:
        await read_as_ada(trial)
        counted = int(time.time() / REPORT_PERIOD_S)
        trial.expect("a window is reported", await platform.until_window(counted + 1, REPORT_LIMIT_S), True)
        counted_tenants = {name for tallies in platform.reports.values() for name in tallies}
        trial.expect("tenants counted", counted_tenants, set(TENANTS[:1]))
        await trial.stage.change(removed_customers=TENANTS)
        await read_as_ada(trial)
        last = int(time.time() / REPORT_PERIOD_S) + 1
        trial.expect("a later window is reported", await platform.until_window(last, REPORT_LIMIT_S), True)
        windows = sorted(platform.reports)
        trial.expect("no window is left out", windows == list(range(windows[0], windows[-1] + 1)), True)
        since = [platform.reports[window] for window in windows if window >= last - 1]
        trial.expect("tenants counted since", since, [{}] * len(since))
    finally:
        platform.stop()


def scenario(name: str, play: Play, first_server: type[StandInServer] = StandInServer,
             more_settings: tuple[str, ...] = ()) -> Scenario:
    async def play_on(stage: Stage) -> None:
        await play(Trial(stage))

    return Scenario(name, play_on, first_server, more_settings=more_settings)


SCENARIOS = [
    scenario("bodyBytes raised", on_each_connection(
        "upload", {"body": LOW}, {"body": HIGH}, lambda client: client.upload(BODY_BYTES[MIDDLE]), "200")),
    scenario("bodyBytes lowered", on_each_connection(
        "upload", {"body": HIGH}, {"body": LOW}, lambda client: client.upload(BODY_BYTES[MIDDLE]), "413")),
    scenario("bodyBytes raised while a body is read", body_raised_while_read),
    scenario("headerBytes raised", on_each_connection(
        "long head", {"head": LOW}, {"head": HIGH}, lambda client: client.ask(head_bytes=HEAD_BYTES[MIDDLE]), "200")),
    scenario("headerBytes lowered", on_each_connection(
        "long head", {"head": HIGH}, {"head": LOW}, lambda client: client.ask(head_bytes=10 * HEAD_BYTES[LOW]), "431")),
    scenario("idleTimeoutS raised", on_each_connection(
        "request after a rest", {"idle": MIDDLE}, {"idle": HIGH}, rest_and_ask, "200")),
    scenario("idleTimeoutS lowered", idle_lowered_at_rest),
    scenario("deadlineS raised", deadline_changed(0.5, 5.0, "200")),
    scenario("deadlineS lowered", deadline_changed(5.0, 0.5, "504")),
    scenario("a tenant's allowance raised", allowance_raised),
    scenario("a tenant's allowance lowered", allowance_lowered),
    scenario("the last tenant is removed: credentials", credentials_after_last_tenant, HeaderNotingServer),
    scenario("the last tenant is removed: usage", usage_after_last_tenant, more_settings=PLATFORM_SETTINGS),
    scenario("retrySlack raised in the settings file", retry_slack_changed(NO_RETRIES, MANY_RETRIES), RefusingServer),
    scenario("retrySlack lowered in the settings file", retry_slack_changed(MANY_RETRIES, NO_RETRIES), RefusingServer),
]


def check(scenario: Scenario, stage: Stage) -> bool:
    print(scenario.name)
    for outcome in stage.outcomes:
        print(f"    {outcome}")
    for complaint in stage.complaints:
        print(f"    BROKEN {complaint}")
    return not stage.complaints


if __name__ == "__main__":
    sys.exit(asyncio.run(run("tests/soak/settings_in_force.py", __doc__, SCENARIOS, check)))
