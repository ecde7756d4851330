"""The first customer is added between two tries of one operation (TWICE)."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST, APPLY_BOUND_S, KEY = "desk.example", 2.5, {"Authorization": "Token key-ada"}


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, controllers=["c-one", "d-one", "g-one"], edges=["c-one", "d-one"])
    try:
        confirm = stand.route("confirm", "keyed", "/confirm/", "estimator")
        await lab.start(stand.first_configuration(HOST, [confirm], [stand.pool("estimator")]),
                        [stand.Server("estimator", zone) for zone in ("c-one", "d-one")])
        await asyncio.sleep(4)

        async def send(edge):
            return await stand.send(lab, lab.fronts[edge], HOST, "POST", "/confirm/x", "order-1", 4.0, b"pay", KEY)

        if (await send(0)).status != 200:
            raise stand.CannotRun("the first try was not answered")
        if stand.TROUBLE:
            customer = {"name": "ada", "keys": ["key-ada"], "generation": stand.generation(2)}
            change = {"upsert": {"customers": [customer]}, "remove": {"routes": []}}
        else:  # a change all the same
            other = stand.route("other", "idempotent", "/other/", "estimator", version=2)
            change = {"upsert": {"sockets": [{"host": HOST, "policy": [other]}]}, "remove": {"routes": []}}
        if await lab.amend(change) != 200:
            raise stand.CannotRun("the change was not taken")
        await asyncio.sleep(APPLY_BOUND_S + 1)
        await send(1)
        runs = sum(len(server.runs) for server in lab.servers)
        text = f"one operation, sent twice with the same key and headers, ran {runs} times"
        lab.record.note(text)
        print(text)
        return runs > 1
    finally:
        await lab.stop()


stand.play(case)
