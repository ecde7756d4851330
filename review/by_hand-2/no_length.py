"""Servers whose answers have no length and end with their connection."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST = "desk.example"
REQUESTS, PER_S = 40, 8
APPLY_BOUND_S, QUIET_S = 2.5, 4.0


class WithoutLength(stand.Server):
    """Sound, but that its answer has no length: the end of the connection is the end of the answer."""

    async def answer(self, run, headers, writer):
        if not stand.TROUBLE:
            return await super().answer(run, headers, writer)
        await asyncio.sleep(self.work_s)
        run.seal = f"{self.id}.{next(self._seals)}"
        fields = {**headers, "X-Server-Seal": run.seal, "Connection": "close"}
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
        writer.write(head.encode() + b"body of " + run.seal.encode())
        await writer.drain()
        return False  # closed in order: no reset, nothing unread


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, controllers=["c-one", "d-one", "g-one"], edges=["c-one", "d-one"])
    try:
        servers = [stand.Server("estimator", zone) for zone in ("c-one", "d-one")]
        servers += [WithoutLength("intake", zone) for zone in ("c-one", "c-two", "d-one", "d-two")]
        first = [stand.route("quote", "effectful", "/quote/", "estimator")]
        await lab.start(stand.first_configuration(HOST, first, [stand.pool("estimator"), stand.pool("intake")]), servers)
        later = stand.route("upload", "inflow", "/upload/", "intake", version=2)
        if await lab.amend({"upsert": {"sockets": [{"host": HOST, "policy": [later]}]}, "remove": {"routes": []}}) != 200:
            raise stand.CannotRun("the later route was not taken")
        await asyncio.sleep(APPLY_BOUND_S + QUIET_S)
        return await compare(lab)
    finally:
        await lab.stop()


async def compare(lab):
    served = {"quote": 0, "upload": 0}

    async def one(name, number):
        answer = await stand.send(lab, lab.fronts[number % 2], HOST, "POST", f"/{name}/x", body=b"body")
        served[name] += 200 <= answer.status < 300 and answer.seal != ""

    tasks = []
    for number in range(REQUESTS):
        tasks += [asyncio.create_task(one(name, number)) for name in served]
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    run = sum(len(server.runs) for server in lab.servers if server.service == "intake")
    text = (f"of {REQUESTS} requests each, {served['quote']} on the first route and {served['upload']} on the later one "
            f"were served; servers ran and answered {run} of the later ones")
    lab.record.note(text)
    print(text)
    return served["upload"] * 4 < served["quote"]


stand.play(case)
