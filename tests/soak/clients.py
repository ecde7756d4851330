"""Clients that keep their connections to a proxy and use them until they are closed, as long as its process lives. Some
leave before they are answered."""

import asyncio
import contextlib
import dataclasses
import random
import socket
import struct
import time
from collections.abc import Callable

import http_messages
from http_messages import BrokenMessage
from ledger import ClientEnd, Disconnect, Kind, Ledger, Request

# A client waits this long beyond its deadline for an answer that comes late.
GRACE_AFTER_DEADLINE_S = 0.5
CONNECT_LIMIT_S = 1.0
NO_LINGER = struct.pack("ii", 1, 0)  # a close resets the connection
PIPELINED_TARGET = "/read/next"


@dataclasses.dataclass
class Call:
    """What a client asks for. `sends_within_s`: over how long its body is sent; `reads_after_s`: how long after
    that it looks for its answer; `disconnects_after_s`: how long after it began to send it disconnects, unless it has
    its answer by then."""

    kind: Kind
    target: str
    time_left_s: float
    body: bytes = b""
    operation_key: str = ""
    sends_within_s: float = 0.0
    reads_after_s: float = 0.0
    disconnects_after_s: float | None = None
    disconnect: Disconnect = Disconnect.CLOSE
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def method(self) -> str:
        return "GET" if self.kind is Kind.IDEMPOTENT else "POST"


class Connection:
    """One connection to a proxy; carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader, self._writer = reader, writer
        self._request: Request | None = None  # that is not answered yet
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
        self._request = request
        try:
            async with asyncio.timeout(call.time_left_s + GRACE_AFTER_DEADLINE_S):
                await self._write(request, call, host)
                await asyncio.sleep(call.reads_after_s)
                await self._read_answer(request)
        except TimeoutError:
            self._end(request, ClientEnd.TIMED_OUT)
        except (BrokenMessage, OSError):
            self._end(request, ClientEnd.CLOSED if request.sent_at > 0 else ClientEnd.NOT_SENT)
        self._request = None

    def disconnect(self, how: Disconnect, next_request: bytes = b"") -> bool:
        """The client of the request that is not answered yet goes away. next_request: sent before a PIPELINED one.
        False: there is none, or it left before."""
        request = self._request
        if request is None or request.disconnected_at > 0 or not self.is_open:
            return False
        request.disconnected_at, request.disconnect, request.end = time.monotonic(), how, ClientEnd.DISCONNECTED
        self.is_open = False
        match how:
            case Disconnect.CLOSE:
                self._writer.transport.abort()
            case Disconnect.RESET:
                self._writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                self._writer.transport.abort()
            case Disconnect.HALF_CLOSE:
                with contextlib.suppress(OSError):  # the proxy has closed it meanwhile
                    self._writer.write_eof()
            case Disconnect.PIPELINED:
                self._writer.write(next_request)
                self._writer.close()
        return True

    async def _write(self, request: Request, call: Call, host: str) -> None:
        message = render_call(call, request.attempt_id, host)
        pieces = 8 if call.sends_within_s > 0 else 1
        size = -(-len(message) // pieces)
        for position in range(0, len(message), size):
            self._writer.write(message[position:position + size])
            await self._writer.drain()
            if position + size < len(message):
                await asyncio.sleep(call.sends_within_s / pieces)
            if request.disconnected_at > 0:
                raise BrokenMessage("left")
        request.sent_at = time.monotonic()

    async def _read_answer(self, request: Request) -> None:
        answer = await http_messages.read_message(self._reader)
        while 100 <= answer.status < 200:
            answer = await http_messages.read_message(self._reader)
        request.status, request.body = answer.status, answer.body
        request.seal = answer.headers.get("x-server-seal", "")
        self._note_end(request, ClientEnd.ANSWERED)
        if answer.closes() or request.disconnected_at > 0:
            self.close()

    def _end(self, request: Request, end: ClientEnd) -> None:
        self._note_end(request, end)
        self.close()

    def _note_end(self, request: Request, end: ClientEnd) -> None:
        request.ended_at = time.monotonic()
        if request.disconnected_at == 0:
            request.end = end


def render_call(call: Call, attempt_id: str, host: str) -> bytes:
    headers = {"Host": host, "X-Attempt-Id": attempt_id, "X-Time-Left": str(int(call.time_left_s * 1000)), **call.headers}
    if call.operation_key:
        headers["X-Operation-Key"] = call.operation_key
    return http_messages.render_message(f"{call.method} {call.target} HTTP/1.1", headers, call.body)


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
        self._busy: dict[Connection, int] = {}  # to the proxy that it leads to

    async def send(self, call: Call, proxy: int) -> Request | None:
        """None: the proxy let nobody in."""
        connection = self._take_idle(proxy) or await open_connection(self._fronts[proxy])
        if connection is None:
            return None
        request = self._open_request(call, proxy)
        timer = None
        if call.disconnects_after_s is not None:
            timer = asyncio.get_running_loop().call_later(
                call.disconnects_after_s, lambda: self._disconnect(connection, proxy, call.disconnect))
        self._busy[connection] = proxy
        await connection.send(request, call, self._host)
        del self._busy[connection]
        if timer is not None:
            timer.cancel()
        if connection.is_usable():
            self._idle[proxy].append(connection)
        return request

    def disconnect_together(self, share: float, choose_disconnect: Callable[[], Disconnect]) -> int:
        """This share of the clients that wait for an answer leave in one moment; how many."""
        waiting = list(self._busy.items())
        chosen = self._rng.sample(waiting, round(len(waiting) * share))
        return sum(self._disconnect(connection, proxy, choose_disconnect()) for connection, proxy in chosen)

    def _disconnect(self, connection: Connection, proxy: int, how: Disconnect) -> bool:
        if how is not Disconnect.PIPELINED:
            return connection.disconnect(how)
        call = Call(Kind.IDEMPOTENT, PIPELINED_TARGET, time_left_s=3.0)
        attempt_id = self._new_attempt_id()
        if not connection.disconnect(how, render_call(call, attempt_id, self._host)):
            return False
        now = time.monotonic()
        self._ledger.open_request(Request(attempt_id, call.kind, proxy, now, call.time_left_s, sent_at=now, ended_at=now,
                                          disconnected_at=now, disconnect=how, end=ClientEnd.DISCONNECTED))
        return True

    def _open_request(self, call: Call, proxy: int) -> Request:
        request = Request(self._new_attempt_id(), call.kind, proxy, time.monotonic(), call.time_left_s,
                          operation_key=call.operation_key, body_bytes_sent=len(call.body),
                          reads_after_s=call.reads_after_s,
                          is_to_disconnect=call.disconnects_after_s is not None)
        self._ledger.open_request(request)
        return request

    def _new_attempt_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

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
