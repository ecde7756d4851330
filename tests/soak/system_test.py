#!/usr/bin/env python3
"""A machine whose process ended by itself is told from one whose process was ended."""

import asyncio
import pathlib
import signal
import tempfile
import unittest

from ledger import Ledger
from system import Machine, Process

SHELL = pathlib.Path("/bin/sh")


class Crashes(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._work = pathlib.Path(folder.name)
        self._ledger = Ledger(1.0)

    def machine_of(self, command: str) -> Machine:
        process = Process(SHELL, ["-c", command], self._work / "settings.txt", self._work / "log.txt")
        return Machine(self._ledger, -1, self._work / "settings.txt", [process])

    def test_a_process_that_ends_by_itself_is_noted(self):
        async def play() -> None:
            machine = self.machine_of("exit 3")
            await machine.start()
            await machine.until_ended()
            machine.note_crashes()

        asyncio.run(play())
        self.assertEqual(self._ledger.crashed_processes, ["settings sh, exit code 3"])

    def test_a_process_that_was_ended_is_not(self):
        async def play(end) -> None:
            machine = self.machine_of("exec sleep 60")
            await machine.start()
            end(machine)
            await machine.until_ended()
            machine.note_crashes()

        for end in (Machine.kill_now, lambda machine: machine.send_now(signal.SIGTERM)):
            asyncio.run(play(end))
        self.assertEqual(self._ledger.crashed_processes, [])

    def test_a_running_process_is_not(self):
        async def play() -> None:
            machine = self.machine_of("exec sleep 60")
            await machine.start()
            machine.send_now(signal.SIGHUP)
            machine.note_crashes()
            await machine.stop()

        asyncio.run(play())
        self.assertEqual(self._ledger.crashed_processes, [])


if __name__ == "__main__":
    unittest.main()
