"""The last tenant is dropped from the configuration."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST = "desk.example"
APPLY_BOUND_S, QUIET_S = 2.5, 4.0
REQUESTS = 20
HELD, NEVER_HELD = {"Authorization": "Token key-ada"}, {"Authorization": "Token key-of-nobody"}


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, controllers=["c-one", "d-one", "g-one"], edges=["c-one", "d-one"])
    try:
        routes = [stand.route("quote", "idempotent", "/quote/", "estimator"),
                  stand.route("confirm", "keyed", "/confirm/", "estimator")]
        customer = {"name": "ada", "keys": ["key-ada"], "generation": stand.generation(1)}
        await lab.start(stand.first_configuration(HOST, routes, [stand.pool("estimator")], [customer]),
                        [stand.Server("estimator", zone) for zone in ("c-one", "d-one")])
        await asyncio.sleep(QUIET_S)
        return await play(lab)
    finally:
        await lab.stop()


async def confirm(lab, front):
    return await stand.send(lab, lab.fronts[front], HOST, "POST", "/confirm/x", "order-1", 4.0, b"pay", HELD)


async def quotes(lab, headers):
    """How many of them a server ran."""
    answers = [await stand.send(lab, lab.fronts[n % 2], HOST, "GET", "/quote/x", headers=headers) for n in range(REQUESTS)]
    attempts = {run.attempt for server in lab.servers for run in server.runs}
    return sum(answer.attempt in attempts for answer in answers)


async def play(lab):
    if (await confirm(lab, 0)).status != 200 or await quotes(lab, NEVER_HELD) != 0:
        raise stand.CannotRun("the tenant's key is not in force")
    if stand.TROUBLE:
        change = {"upsert": {}, "remove": {"customers": [{"name": "ada", "generation": stand.generation(2)}]}}
    else:  # a change all the same, after which the tenant still stands
        change = {"upsert": {"customers": [{"name": "ada", "keys": [], "generation": stand.generation(2)}]},
                  "remove": {"routes": []}}
    if await lab.amend(change) != 200:
        raise stand.CannotRun("the change was not taken")
    await asyncio.sleep(APPLY_BOUND_S + QUIET_S)
    dropped, never = await quotes(lab, HELD), await quotes(lab, NEVER_HELD)
    await confirm(lab, 1)
    confirmations = sum(run.key == "order-1" for server in lab.servers for run in server.runs)
    text = (f"after the change servers ran {dropped} of {REQUESTS} requests with the key that was taken away, and {never} "
            f"of {REQUESTS} with a key that no configuration ever held; the confirmation of one order ran "
            f"{confirmations} times")
    lab.record.note(text)
    print(text)
    return never > 0 or dropped > 0 or confirmations > 1


stand.play(case)
