"""A server of the system's protocol that writes down each run: when it began, when and how it ended."""

import asyncio
import dataclasses
import itertools
import json
import random
import time
from collections.abc import Callable

import http_messages
from http_messages import BrokenMessage, Message
from ledger import Ledger, Run, RunEnd

HEARTBEAT_PERIOD_S = 0.5
MISDIRECTED, AT_CAPACITY, NO_ID = "421 Misdirected Request", "503 Service Unavailable", "400 Bad Request"


@dataclasses.dataclass
class Work:
    """What a run does. `breaks_off`: the connection is reset instead of an answer."""

    seconds: float
    body_bytes: int = 20
    breaks_off: bool = False
    closes_after: bool = False


WorkOf = Callable[[Message], Work]


class StandInServer:
    """Listens at `address`, runs up to `capacity` requests at once, and turns away what comes beyond that."""

    _lives = itertools.count(1)

    def __init__(self, ledger: Ledger, service: str, zone: str, address: str, work_of: WorkOf, capacity: int = 8):
        self.id = f"i-{next(self._lives):06x}"
        self.address = address
        self.is_draining = False
        self._ledger, self._service, self._zone = ledger, service, zone
        self._work_of, self._capacity = work_of, capacity
        self._in_work = 0
        self._calls = itertools.count(1)
        self._seals = itertools.count(1)
        self._listener: asyncio.Server | None = None
        self._heartbeats: asyncio.Task | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self, controllers: list[str]) -> None:
        host, port = self.address.rsplit(":", 1)
        self._listener = await asyncio.start_server(self._accept, host, int(port), limit=1 << 20, backlog=512)
        self._heartbeats = asyncio.create_task(self._send_heartbeats(controllers))

    async def stop(self) -> None:
        """Ends at once, whatever is at work."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def fall_silent(self) -> None:
        """Serves on, and sends no more heartbeats."""
        self._heartbeats.cancel()

    async def leave(self, controllers: list[str], serve_on_s: float) -> None:
        """Says that it drains, serves on, says that it leaves, and ends once nothing is at work."""
        self.is_draining = True
        if await self._heartbeat(controllers):
            self._ledger.note_departure(self.id)
        await asyncio.sleep(serve_on_s)
        await self._tell(controllers, self.leave_target, b"")
        await self.end_idle()

    @property
    def leave_target(self) -> str:
        return f"/-/Servers.Leave/{self.id}"

    @property
    def heartbeat_target(self) -> str:
        return f"/-/Servers.Heartbeat/{self.id}"

    def has_departed(self) -> None:
        """Its departure was acknowledged, by whatever way it was told."""
        self.is_draining = True
        self._ledger.note_departure(self.id)

    async def end_idle(self) -> None:
        """Ends once nothing is at work."""
        while self._in_work > 0:
            await asyncio.sleep(0.02)
        await self.stop()

    # ---- what it says to the system ----

    async def _send_heartbeats(self, controllers: list[str]) -> None:
        while True:
            await self._heartbeat(controllers)
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def _heartbeat(self, controllers: list[str]) -> bool:
        body = self.heartbeat_body("draining" if self.is_draining else "ready")
        return await self._tell(controllers, self.heartbeat_target, body)

    def heartbeat_body(self, state: str) -> bytes:
        heartbeat = {"service": self._service, "address": self.address, "zone": self._zone, "generation": "v1",
                     "capacity": self._capacity, "state": state, "coldLeftS": 0, "callSeq": next(self._calls)}
        return json.dumps(heartbeat).encode()

    async def _tell(self, controllers: list[str], target: str, body: bytes) -> bool:
        """True: acknowledged."""
        for controller in random.sample(controllers, len(controllers)):
            try:
                if (await http_messages.call(controller, "POST", target, body, 1.0)).status < 300:
                    return True
            except BrokenMessage:
                continue
        return False

    # ---- requests ----

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            await self._serve(reader, writer)
        except (BrokenMessage, OSError, asyncio.CancelledError):
            pass  # cancelled: the run is over, and nobody awaits this task
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await self._serve_one(reader, writer):
            pass

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """False: the connection is over."""
        request = await http_messages.read_message(reader)
        attempt_id = request.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": attempt_id, "X-Server-Id": self.id}
        refusal = self._refusal_of(request)
        if refusal is not None:
            if refusal != MISDIRECTED:
                headers["X-Not-Run"] = "1"
            writer.write(http_messages.render_message(f"HTTP/1.1 {refusal}", headers))
            return True
        run = Run(self.id, time.monotonic())
        self._ledger.open_run(attempt_id, run)
        self._in_work += 1
        try:
            return await self._run(request, run, reader, writer, headers)
        except OSError:  # the connection ended while something was written to it
            if run.end is RunEnd.AT_WORK:
                run.end = RunEnd.CUT_BY_PROXY
            raise
        finally:
            self._in_work -= 1
            run.ended_at = time.monotonic()

    def _refusal_of(self, request: Message) -> str | None:
        if request.headers.get("x-target-server", self.id) != self.id:
            return MISDIRECTED
        if "x-attempt-id" not in request.headers:
            return NO_ID
        return AT_CAPACITY if self._in_work >= self._capacity else None

    async def _run(self, request: Message, run: Run, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                   headers: dict[str, str]) -> bool:
        work = self._work_of(request)
        time_left_s = int(request.headers.get("x-time-left", "60000")) / 1000
        if await _closed_within(reader, min(work.seconds, time_left_s)):
            run.end = RunEnd.CUT_BY_PROXY
            return False
        if work.breaks_off or work.seconds > time_left_s:
            run.end = RunEnd.BROKE_OFF
            writer.transport.abort()
            return False
        run.seal = f"{self.id}.{next(self._seals)}"
        run.body = (run.seal.encode() + b" ").ljust(work.body_bytes, b"x")
        run.end = RunEnd.FINISHED
        headers["X-Server-Seal"] = run.seal
        closes = work.closes_after or self.is_draining
        headers["Connection"] = "close" if closes else "keep-alive"
        writer.write(http_messages.render_message("HTTP/1.1 200 OK", headers, run.body))
        await writer.drain()
        return not closes


async def _closed_within(reader: asyncio.StreamReader, seconds: float) -> bool:
    """Does the caller close the connection within this time?"""
    try:
        async with asyncio.timeout(seconds):
            return await reader.read(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True
