"""Both core machines of a route's home region are lost, and its operations are repeated."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST, KEYS = "desk.example", 12
QUIET_S, DEADLINE_S, CONVERGE_S = 4.0, 12.0, 6.0
HOME = "gyor"


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, settings=[f"bounds.convergeS={CONVERGE_S:.0f}"], machines_borne=2)
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
    if stand.TROUBLE:
        for machine in lab.core:
            if lab.zones[machine.zone] == HOME:
                await machine.kill()  # and it stays away
    await asyncio.sleep(CONVERGE_S + QUIET_S)
    first = await confirm_all(lab)
    if sum(answer.status == 200 for answer in first) < KEYS:
        raise stand.CannotRun(f"the first tries were not all answered: {[answer.status for answer in first]}")
    await asyncio.sleep(2)
    again = await confirm_all(lab)
    refused = sum(answer.status == 409 for answer in again)
    repeated = sum(a.status == 200 and a.seal == b.seal for a, b in zip(again, first))
    text = f"of {KEYS} operations that were answered with success, {refused} repeats got 409 2 s later, {repeated} the answer"
    lab.record.note(text)
    print(text)
    return refused > 3


stand.play(case)
