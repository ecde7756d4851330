"""A route whose host is written with capital letters."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

APPLY_BOUND_S, QUIET_S = 2.5, 4.0
REQUESTS = 30


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, controllers=["c-one", "d-one", "g-one"], edges=["c-one", "d-one"])
    try:
        first = [stand.route("quote", "idempotent", "/quote/", "estimator")]
        await lab.start(stand.first_configuration("desk.example", first, [stand.pool("estimator")]),
                        [stand.Server("estimator", zone) for zone in ("c-one", "d-one")])
        await asyncio.sleep(QUIET_S)
        host = "Prints.Example" if stand.TROUBLE else "prints.example"
        later = stand.route("price", "idempotent", "/price/", "estimator", version=2)
        if await lab.amend({"upsert": {"sockets": [{"host": host, "policy": [later]}]}, "remove": {"routes": []}}) != 200:
            raise stand.CannotRun("the later route was not taken")
        await asyncio.sleep(APPLY_BOUND_S + QUIET_S)
        answers = [await stand.send(lab, lab.fronts[n % 2], host, "GET", "/price/x") for n in range(REQUESTS)]
        refused = sum(answer.status == 404 for answer in answers)
        text = f"{refused} of {REQUESTS} requests for {host}/price/ were refused with 404, {APPLY_BOUND_S + QUIET_S} s after the 200"
        lab.record.note(text)
        print(text)
        return refused > 0
    finally:
        await lab.stop()


stand.play(case)
