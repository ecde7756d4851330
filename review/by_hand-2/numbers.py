"""A split into thirds is read back with other weights than were sent."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

import json

HOST = "desk.example"
SERVICES = ("one", "two", "three")


def gains():
    return [100 / 3] * 3 if stand.TROUBLE else [34, 33, 33]


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, controllers=["c-one", "d-one", "g-one"], edges=["c-one"])
    try:
        first = [stand.route("quote", "idempotent", "/quote/", "one")]
        await lab.start(stand.first_configuration(HOST, first, [stand.pool(name) for name in SERVICES]),
                        [stand.Server(name, "c-one") for name in SERVICES])
        split = stand.route("quote", "idempotent", "/quote/", "one", version=2)
        del split["actuation"]["service"]
        split["actuation"]["split"] = [{"service": name, "gain": gain} for name, gain in zip(SERVICES, gains())]
        if await lab.amend({"upsert": {"sockets": [{"host": HOST, "policy": [split]}]}, "remove": {"routes": []}}) != 200:
            raise stand.CannotRun("the split was not taken")
        await asyncio.sleep(4.0)
        status, body = await lab.operator("GET", "/-/Config.Read")
        if status != 200:
            raise stand.CannotRun("the configuration can't be read")
        read = json.loads(body)["sockets"][0]["policy"][0]
        sent_text, read_text = json.dumps(split["actuation"]["split"]), json.dumps(read["actuation"]["split"])
        for text in (f"sent: {sent_text}", f"read: {read_text}"):
            lab.record.note(text)
            print(text)
        return read != split
    finally:
        await lab.stop()


stand.play(case)
