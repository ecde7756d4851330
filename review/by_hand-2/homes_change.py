"""The home region of a keyed route is changed, and its answered operations are repeated (DENIED)."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST, KEYS, DEADLINE_S, APPLY_BOUND_S = "desk.example", 12, 12.0, 2.5


def route(version, home):
    made = stand.route("confirm", "keyed", "/confirm/", "estimator", version=version, deadline_s=DEADLINE_S)
    made["actuation"]["homeRegions"] = [home]
    return made


async def confirm_all(lab, edges):
    return await asyncio.gather(*(stand.send(lab, lab.fronts[n % edges], HOST, "POST", "/confirm/x", f"order-{n}", DEADLINE_S,
                                             b"pay") for n in range(KEYS)))


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent)
    try:
        await lab.start(stand.first_configuration(HOST, [route(1, "csepel")], [stand.pool("estimator")]),
                        [stand.Server("estimator", zone) for zone in lab.zones])
        await lab.until_joined()
        first = await confirm_all(lab, 2)
        if any(answer.status != 200 for answer in first):
            raise stand.CannotRun("the first tries were not all answered")
        policy = [route(2, "gyor" if stand.TROUBLE else "csepel")]
        if await lab.amend({"upsert": {"sockets": [{"host": HOST, "policy": policy}]}, "remove": {"routes": []}}) != 200:
            raise stand.CannotRun("the change was not taken")
        await asyncio.sleep(APPLY_BOUND_S + 1)
        refused = sum(answer.status == 409 for answer in await confirm_all(lab, 6))
        text = f"of {KEYS} operations that were answered with success, {refused} repeats got 409"
        lab.record.note(text)
        print(text)
        return refused > 3
    finally:
        await lab.stop()


stand.play(case)
