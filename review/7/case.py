"""Both core machines of a route's home region are lost, and its operations are repeated."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST, KEYS = "desk.example", 12
QUIET_S, DEADLINE_S = 4.0, 12.0
# The longest loss of machines in the site files (zone_loss).
LOST_S = 6.2
HOME = "gyor"


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, settings=["bounds.convergeS=6"], machines_borne=2)
    try:
        route = stand.route("confirm", "keyed", "/confirm/", "estimator", deadline_s=DEADLINE_S)
        route["actuation"]["homeRegions"] = [HOME]
        await lab.start(stand.first_configuration(HOST, [route], [stand.pool("estimator")]),
                        [stand.Server("estimator", zone) for zone in lab.zones])
        await lab.until_joined()
        return await play(lab)
    finally:
        await lab.stop()


async def confirm_all(lab):
    """At the proxies of the other regions and of the home region alike."""
    return await asyncio.gather(*(stand.send(lab, lab.fronts[n % len(lab.fronts)], HOST, "POST", "/confirm/x", f"order-{n}",
                                             DEADLINE_S, b"pay") for n in range(KEYS)))


async def play(lab):
    lost = [machine for machine in lab.core if lab.zones[machine.zone] == HOME]
    began_at = time.monotonic()

    async def until(seconds):
        await asyncio.sleep(max(0.0, began_at + seconds - time.monotonic()))

    if stand.TROUBLE:
        for machine in lost:
            machine.send(signal.SIGKILL)
    await until(QUIET_S + 0.1)
    first = await confirm_all(lab)
    if sum(answer.status == 200 for answer in first) < KEYS:
        raise stand.CannotRun(f"the first tries were not all answered: {[answer.status for answer in first]}")
    await asyncio.sleep(1.1)
    again = await confirm_all(lab)
    if time.monotonic() - began_at > LOST_S:
        raise stand.CannotRun("this machine is too slow")
    await until(LOST_S)
    if stand.TROUBLE:
        for machine in lost:
            await machine.end()
            await machine.start()
    await asyncio.sleep(QUIET_S + 1)
    later = await confirm_all(lab)
    refused = sum(answer.status == 409 for answer in again)
    text = (f"of {KEYS} operations that were answered with success, {refused} repeats got 409 1.1 s later, {same(first, again)} the "
            f"answer; when all machines were back for {QUIET_S + 1:.0f} s, {same(first, later)} the answer and the others "
            f"{sorted({answer.status for answer in later} - {200})}")
    lab.record.note(text)
    print(text)
    return refused > 3


def same(first, again):
    return sum(a.status == 200 and a.seal == b.seal for a, b in zip(again, first))


stand.play(case)
