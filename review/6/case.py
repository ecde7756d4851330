"""An operation's key is used again after its horizon, and the new operation is repeated."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-2"))
import lab as stand

HOST = "desk.example"
KEY_HORIZON_S = 60.0
# Keys are kept for 1.25 times the horizon and 5 s (docs/idempotency.md).
LATER_S = KEY_HORIZON_S * 1.25 + 5 + 4
KEYS, ROUNDS = 8, 2


async def case():
    lab = stand.Lab(pathlib.Path(__file__).parent, settings=[f"bounds.keyHorizonS={KEY_HORIZON_S:.0f}"])
    try:
        routes = [stand.route("confirm", "keyed", "/confirm/", "estimator")]
        await lab.start(stand.first_configuration(HOST, routes, [stand.pool("estimator")]),
                        [stand.Server("estimator", zone) for zone in lab.zones])
        await lab.until_joined()
        return await play(lab)
    finally:
        await lab.stop()


async def confirm(lab, number, edge, body):
    return await stand.send(lab, lab.fronts[edge], HOST, "POST", "/confirm/x", f"order-{number}", 4.0, body)


async def play(lab):
    old = [None] * KEYS
    if stand.TROUBLE:  # in the first two regions
        old = await asyncio.gather(*(confirm(lab, n, n % 4, b"one part") for n in range(KEYS)))
    await asyncio.sleep(LATER_S)
    new = await asyncio.gather(*(confirm(lab, n, 4 + n % 2, b"two parts") for n in range(KEYS)))  # in the third
    for before, now in zip(old, new):
        if now.status != 200 or before is not None and (before.status != 200 or before.seal == now.seal):
            raise stand.CannotRun(f"a new operation did not run: {now.status} {now.seal}")
    await asyncio.sleep(1.5)
    repeats = wrong = keys = 0
    for n in range(KEYS):
        answers = [await confirm(lab, n, edge, b"two parts") for edge in [*range(6)] * ROUNDS]
        foreign = sum(answer.status == 200 and answer.seal != new[n].seal for answer in answers)
        repeats, wrong, keys = repeats + len(answers), wrong + foreign, keys + (foreign > 0)
    text = (f"{wrong} of {repeats} repeats of {KEYS} new operations got another answer than their operation, that of {LATER_S:.0f} s "
            f"before; {keys} of {KEYS} operations had such repeats")
    lab.record.note(text)
    print(text)
    return wrong > 0


stand.play(case)
