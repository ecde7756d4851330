"""A caller without a key names its operation as another tenant's operation is stored."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST, OPERATIONS = "desk.example", 10
QUIET_S = 4.0
ADA = {"Authorization": "Token key-ada"}
SEPARATOR = "/" if stand.TROUBLE else "-"


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, controllers=["c-one", "d-one", "g-one"], edges=["c-one", "d-one"])
    try:
        routes = [stand.route("confirm", "keyed", "/confirm/", "estimator"),
                  stand.route("book", "keyed", "/book/", "intake", keyless=True)]
        customers = [{"name": "ada", "keys": ["key-ada"], "generation": stand.generation(1)}]
        pools = [stand.pool("estimator"), stand.pool("intake")]
        servers = [stand.Server(service, zone) for service in ("estimator", "intake") for zone in ("c-one", "d-one")]
        await lab.start(stand.first_configuration(HOST, routes, pools, customers), servers)
        await asyncio.sleep(QUIET_S)
        return await play(lab)
    finally:
        await lab.stop()


async def play(lab):
    async def confirm(number):
        return await stand.send(lab, lab.fronts[0], HOST, "POST", "/confirm/x", f"{number}", 4.0, b"ada's order", ADA)

    async def book(number):
        return await stand.send(lab, lab.fronts[1], HOST, "POST", "/book/x", f"ada{SEPARATOR}{number}", 4.0, b"a booking")

    tenants = await asyncio.gather(*(confirm(n) for n in range(OPERATIONS)))
    if any(answer.status != 200 for answer in tenants):
        raise stand.CannotRun("the tenant's operations were not answered")
    await asyncio.sleep(0.5)
    others = await asyncio.gather(*(book(n) for n in range(OPERATIONS)))
    foreign = sum(b.status == 200 and b.seal == a.seal and b.body == a.body for a, b in zip(tenants, others))
    ran = {run.attempt for server in lab.servers for run in server.runs}
    never = sum(answer.status == 200 and answer.attempt not in ran for answer in others)
    text = (f"of {OPERATIONS} bookings without a key, {foreign} were answered with stamp and body of an order of tenant ada, "
            f"and {never} were answered with success but never ran")
    lab.record.note(text)
    print(text)
    return foreign > 0


stand.play(case)
