"""A service is dropped that a route in force names (CONFIG: something invalid gets an acknowledgement and is in force)."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

import json

HOST, APPLY_BOUND_S, REQUESTS = "desk.example", 2.5, 20


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, controllers=["c-one", "d-one", "g-one"], edges=["c-one", "d-one"])
    try:
        quote = stand.route("quote", "idempotent", "/quote/", "estimator")
        pools = [stand.pool("estimator"), stand.pool("unused")]
        await lab.start(stand.first_configuration(HOST, [quote], pools),
                        [stand.Server("estimator", zone) for zone in ("c-one", "d-one")])
        await asyncio.sleep(4)
        name = "estimator" if stand.TROUBLE else "unused"
        change = {"upsert": {}, "remove": {"pools": [{"name": name, "generation": stand.generation(2)}]}}
        status, _ = await lab.operator("POST", "/-/Config.Amend", json.dumps(change).encode())
        await asyncio.sleep(APPLY_BOUND_S + 1)
        before = sum(len(server.runs) for server in lab.servers)
        for n in range(REQUESTS):
            await stand.send(lab, lab.fronts[n % 2], HOST, "GET", "/quote/x")
        ran = sum(len(server.runs) for server in lab.servers) - before
        read = json.loads((await lab.operator("GET", "/-/Config.Read"))[1])
        known = {pool["name"] for pool in read["pools"]}
        named = {policy["actuation"]["service"] for socket in read["sockets"] for policy in socket["policy"]}
        text = (f"dropping service {name}: {status}; read back: routes name {sorted(named)}, services {sorted(known)}; "
                f"{ran} of {REQUESTS} requests ran")
        lab.record.note(text)
        print(text)
        return status == 200 and not named <= known
    finally:
        await lab.stop()


stand.play(case)
