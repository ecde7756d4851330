"""A route with short work beside one with long work, on one service."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST = "desk.example"
APPLY_BOUND_S, QUIET_S = 2.5, 4.0
# Of the users' tables: model uploads (580 ms, aim 2,500 ms) and views of photographs (24 ms, aim 200 ms).
LONG_WORK_S, LONG_AIM_S, SHORT_WORK_S, SHORT_AIM_S = 0.58, 2.5, 0.024, 0.2
LONG_PER_S, SHORT_PER_S, SHORT_REQUESTS = 8, 5, 60
IDLE_S = 15.0


def work_s(run):
    return LONG_WORK_S if run.target.startswith("/upload/") else SHORT_WORK_S


def route(name, kind, service, aim_s, rank, version):
    made = stand.route(name, kind, f"/{name}/", service, version=version, deadline_s=6.0)
    made["setpointS"], made["rank"] = aim_s, rank
    return made


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, controllers=["c-one", "d-one", "g-one"], edges=["c-one", "d-one"])
    try:
        servers = [stand.Server(service, zone, work_s, capacity=6) for service in ("intake", "other")
                   for zone in ("c-one", "c-two", "d-one", "d-two")]
        first = [route("upload", "inflow", "intake", LONG_AIM_S, 1, 1)]
        await lab.start(stand.first_configuration(HOST, first, [stand.pool("intake"), stand.pool("other")]), servers)
        return await play(lab)
    finally:
        await lab.stop()


async def load(lab, name, method, per_s, requests):
    """How many of them were served."""
    answers = []

    async def one(number):
        answers.append(await stand.send(lab, lab.fronts[number % 2], HOST, method, f"/{name}/x", time_left_s=6.0))

    tasks = []
    for number in range(requests):
        tasks.append(asyncio.create_task(one(number)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)
    return sum(200 <= answer.status < 300 and answer.seal != "" for answer in answers)


async def play(lab):
    seconds = 12 + APPLY_BOUND_S + QUIET_S + SHORT_REQUESTS / SHORT_PER_S
    long_requests = int(seconds * LONG_PER_S)
    uploads = asyncio.create_task(load(lab, "upload", "POST", LONG_PER_S, long_requests))
    await asyncio.sleep(12)
    later = route("photo", "idempotent", "intake" if stand.TROUBLE else "other", SHORT_AIM_S, 2, 2)
    if await lab.amend({"upsert": {"sockets": [{"host": HOST, "policy": [later]}]}, "remove": {"routes": []}}) != 200:
        raise stand.CannotRun("the later route was not taken")
    await asyncio.sleep(APPLY_BOUND_S + QUIET_S)
    beside = await load(lab, "photo", "GET", SHORT_PER_S, SHORT_REQUESTS)
    served_uploads = await uploads
    await asyncio.sleep(IDLE_S)  # no request at all: every server is idle
    alone = await load(lab, "photo", "GET", SHORT_PER_S, SHORT_REQUESTS)
    text = (f"served: {served_uploads} of {long_requests} on the first route; of {SHORT_REQUESTS} on the later one "
            f"{beside} beside it, and {alone} after {IDLE_S:.0f} s in which all servers were idle")
    lab.record.note(text)
    print(text)
    return (beside + alone) / (2 * SHORT_REQUESTS) * 4 < served_uploads / long_requests


stand.play(case)
