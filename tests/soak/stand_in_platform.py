"""A stand-in for the platform that usage is reported to: it takes every report and keeps it."""

import asyncio
import json

import http_messages
from http_messages import BrokenMessage


class StandInPlatform:
    """Listens at `address`."""

    def __init__(self, address: str):
        self.address = address
        self.reports: dict[int, dict[str, int]] = {}  # the tallies of each window
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        host, port = self.address.rsplit(":", 1)
        self._listener = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()

    async def until_window(self, window: int, limit_s: float) -> bool:
        """Waits until this window was reported; False: not within the limit."""
        try:
            async with asyncio.timeout(limit_s):
                while window not in self.reports:
                    await asyncio.sleep(0.05)
            return True
        except TimeoutError:
            return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await http_messages.read_message(reader)
                if request.target == "/usage":
                    report = json.loads(request.body)
                    self.reports[report["windowIndex"]] = report["tallies"]
                writer.write(http_messages.render_message("HTTP/1.1 200 OK", {}))
                await writer.drain()
        except (BrokenMessage, OSError):
            writer.close()
