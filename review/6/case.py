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
ROUNDS = 4


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


async def confirm(lab, edge, body):
    answer = await stand.send(lab, lab.fronts[edge], HOST, "POST", "/confirm/x", "order-1", 4.0, body)
    return answer


async def play(lab):
    old = await confirm(lab, 0, b"one part") if stand.TROUBLE else None
    await asyncio.sleep(LATER_S)
    new = await confirm(lab, 4, b"two parts")
    if new.status != 200 or (old is not None and (old.status != 200 or old.seal == new.seal)):
        raise stand.CannotRun(f"the new operation did not run: {new.status} {new.seal}")
    await asyncio.sleep(1.5)
    repeats = [await confirm(lab, edge, b"two parts") for edge in [*range(6)] * ROUNDS]
    wrong = [answer for answer in repeats if answer.status == 200 and answer.seal != new.seal]
    text = (f"the new operation was answered with seal {new.seal}; its {len(repeats)} repeats at the six proxies with "
            f"{[answer.seal or answer.status for answer in repeats]}"
            + (f"; {old.seal} is the answer of {LATER_S:.0f} s earlier" if old else ""))
    lab.record.note(text)
    print(text)
    return bool(wrong)


stand.play(case)
