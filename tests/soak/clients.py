"""Clients that keep their connections to a proxy and use them until they are closed, as long as its process lives."""

import asyncio
import dataclasses
import random
import time

import http_messages
from http_messages import BrokenMessage
from ledger import ClientEnd, Kind, Ledger, Request

# A client waits this long beyond its deadline for an answer that comes late.
GRACE_AFTER_DEADLINE_S = 0.5
CONNECT_LIMIT_S = 1.0


@dataclasses.dataclass
class Call:
    """What a client asks for. `sends_within_s`: over how long its body is sent; `reads_after_s`: how long after
    that it looks for its answer."""

    kind: Kind
    target: str
    time_left_s: float
    body: bytes = b""
    operation_key: str = ""
    sends_within_s: float = 0.0
    reads_after_s: float = 0.0

    @property
    def method(self) -> str:
        return "GET" if self.kind is Kind.IDEMPOTENT else "POST"


class Connection:
    """One connection to a proxy; carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader, self._writer = reader, writer
        self.requests = 0
        self.is_open = True

    def is_usable(self) -> bool:
        return self.is_open and not self._reader.at_eof() and self._reader.exception() is None

    def close(self) -> None:
        self.is_open = False
        self._writer.close()

    async def send(self, request: Request, call: Call, host: str) -> None:
        """Fills in how the request ended."""
        request.is_on_kept_connection = self.requests > 0
        self.requests += 1
        try:
            async with asyncio.timeout(call.time_left_s + GRACE_AFTER_DEADLINE_S):
                await self._write(request, call, host)
                await asyncio.sleep(call.reads_after_s)
                await self._read_answer(request)
        except TimeoutError:
            self._end(request, ClientEnd.TIMED_OUT)
        except (BrokenMessage, OSError):
            self._end(request, ClientEnd.CLOSED if request.sent_at > 0 else ClientEnd.NOT_SENT)

    async def _write(self, request: Request, call: Call, host: str) -> None:
        headers = {"Host": host, "X-Attempt-Id": request.attempt_id, "X-Time-Left": str(int(call.time_left_s * 1000))}
        if call.operation_key:
            headers["X-Operation-Key"] = call.operation_key
        message = http_messages.render_message(f"{call.method} {call.target} HTTP/1.1", headers, call.body)
        pieces = 8 if call.sends_within_s > 0 else 1
        size = -(-len(message) // pieces)
        for position in range(0, len(message), size):
            self._writer.write(message[position:position + size])
            await self._writer.drain()
            if position + size < len(message):
                await asyncio.sleep(call.sends_within_s / pieces)
        request.sent_at = time.monotonic()

    async def _read_answer(self, request: Request) -> None:
        answer = await http_messages.read_message(self._reader)
        while 100 <= answer.status < 200:
            answer = await http_messages.read_message(self._reader)
        request.status, request.body = answer.status, answer.body
        request.seal = answer.headers.get("x-server-seal", "")
        request.end, request.ended_at = ClientEnd.ANSWERED, time.monotonic()
        if answer.closes():
            self.close()

    def _end(self, request: Request, end: ClientEnd) -> None:
        request.end, request.ended_at = end, time.monotonic()
        self.close()


async def open_connection(address: str) -> Connection | None:
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_LIMIT_S):
            return Connection(*await asyncio.open_connection(host, int(port), limit=1 << 20))
    except (OSError, TimeoutError):
        return None


class ClientGroup:
    """Sends calls to proxies on kept connections where there are any, on new ones else."""

    def __init__(self, ledger: Ledger, fronts: list[str], host: str, rng: random.Random):
        self._ledger, self._fronts, self._host, self._rng = ledger, fronts, host, rng
        self._idle: list[list[Connection]] = [[] for _ in fronts]

    async def send(self, call: Call, proxy: int) -> Request | None:
        """None: the proxy let nobody in."""
        connection = self._take_idle(proxy) or await open_connection(self._fronts[proxy])
        if connection is None:
            return None
        request = Request(f"{self._rng.getrandbits(64):016x}", call.kind, proxy, time.monotonic(), call.time_left_s,
                          operation_key=call.operation_key, reads_after_s=call.reads_after_s)
        self._ledger.open_request(request)
        await connection.send(request, call, self._host)
        if connection.is_usable():
            self._idle[proxy].append(connection)
        return request

    def _take_idle(self, proxy: int) -> Connection | None:
        idle = self._idle[proxy]
        while idle:
            connection = idle.pop(self._rng.randrange(len(idle)))
            if connection.is_usable():
                return connection
            connection.close()
        return None

    def close(self) -> None:
        for idle in self._idle:
            for connection in idle:
                connection.close()
