"""Scenarios, each played on a small system of its own (see stage.py), all beside each other."""

import argparse
import asyncio
import dataclasses
import pathlib
import tempfile
from collections.abc import Awaitable, Callable

import judge
import known_red
from stage import IDLE_TIMEOUT_S, Stage
from stand_in_server import StandInServer

FIRST_SLOT = 0
MOST_FINDINGS_SHOWN = 3


@dataclasses.dataclass
class Scenario:
    name: str
    play: Callable[[Stage], Awaitable[None]]
    first_server: type[StandInServer] = StandInServer
    idle_timeout_s: float = IDLE_TIMEOUT_S
    controllers: int = 1
    proxies: int = 1
    more_settings: tuple[str, ...] = ()


# Prints how the requests of a scenario ended. True: as they should.
Check = Callable[[Scenario, Stage], bool]


def check_rules_and_complaints(scenario: Scenario, stage: Stage) -> bool:
    """Prints the scenario's outcomes, and what the judge and the scenario itself found wrong."""
    verdict = judge.judge(stage.ledger)
    print(f"{scenario.name}: {'; '.join(stage.outcomes)}")
    for cause, count in verdict.by_cause().items():
        print(f"    BROKEN {count} x {cause.value}")
    for finding in verdict.findings[:MOST_FINDINGS_SHOWN]:
        print(f"        {finding.detail}")
    for complaint in stage.complaints:
        print(f"    BROKEN {complaint}")
    return not verdict.findings and not stage.complaints


async def _play(scenario: Scenario, check: Check, build: pathlib.Path, work: pathlib.Path, slot: int) -> bool:
    stage = Stage(build, work / f"{slot}", slot, scenario.idle_timeout_s, scenario.controllers, scenario.proxies,
                  scenario.more_settings)
    try:
        await stage.start(scenario.first_server)
        await scenario.play(stage)
        stage.note_crashes()
    finally:
        await stage.stop()
    return check(scenario, stage)


async def run(script: str, description: str, scenarios: list[Scenario], check: Check) -> int:
    """Plays those that the command line names, or all; the exit code. script: how KNOWN-RED.txt names it."""
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--only", action="append", default=[], metavar="NAME")
    parser.add_argument("--keep", type=pathlib.Path, help="a new folder for settings and logs")
    arguments = parser.parse_args()
    chosen = [scenario for scenario in scenarios if not arguments.only or scenario.name in arguments.only]
    with tempfile.TemporaryDirectory() as folder:
        work = arguments.keep or pathlib.Path(folder)
        results = await asyncio.gather(*(_play(scenario, check, arguments.build.resolve(), work, FIRST_SLOT + slot)
                                         for slot, scenario in enumerate(chosen)))
    passed = {scenario.name: result for scenario, result in zip(chosen, results)}
    return 0 if chosen and known_red.verdict(script, passed) else 1
