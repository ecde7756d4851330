"""Just enough HTTP/1.1 for stand-in servers and clients: one message at a time, bodies by length or in chunks."""

import asyncio
import dataclasses

MOST_HEAD_BYTES = 64 * 1024


class BrokenMessage(Exception):
    """The connection ended, or what came is no HTTP message. `bytes_read`: how much of it had come."""

    def __init__(self, reason: str, bytes_read: int = 0):
        super().__init__(reason)
        self.bytes_read = bytes_read


@dataclasses.dataclass
class Message:
    """A request or a response. `first_line`: its three words. Header names are in lower case."""

    first_line: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.first_line[0]

    @property
    def target(self) -> str:
        return self.first_line[1]

    @property
    def status(self) -> int:
        return int(self.first_line[1])

    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message whole; raises BrokenMessage if the connection ends or breaks before that."""
    received = 0
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        received = len(head)
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(_split_header(line) for line in lines[1:] if line)
        message = Message(lines[0].split(" ", 2), headers)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        else:
            message.body = await reader.readexactly(int(headers.get("content-length", "0")))
        return message
    except asyncio.IncompleteReadError as error:
        raise BrokenMessage("closed", received + len(error.partial)) from error
    except OSError as error:
        raise BrokenMessage(type(error).__name__, received) from error
    except (ValueError, asyncio.LimitOverrunError) as error:
        raise BrokenMessage(f"unreadable: {error}", received) from error


def _split_header(line: str) -> tuple[str, str]:
    name, _, value = line.partition(":")
    return name.strip().lower(), value.strip()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


def render_message(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


async def call(address: str, method: str, target: str, body: bytes = b"", timeout_s: float = 2.0) -> Message:
    """One call on a connection of its own; raises BrokenMessage, also after the time-out."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MOST_HEAD_BYTES * 64)
            headers = {"Host": address, "Content-Type": "application/json", "Connection": "close"}
            writer.write(render_message(f"{method} {target} HTTP/1.1", headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError) as error:
        raise BrokenMessage(type(error).__name__) from error
    finally:
        if writer is not None:
            writer.close()
