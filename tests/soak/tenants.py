"""Tenants of a soak, whose API keys are added, changed and taken away while their clients go on."""

import collections
import dataclasses
import itertools
import random
import time

from ledger import APPLY_BOUND_S

NAMES = ("ada", "bob", "eve", "max")
MOST_KEYS = 12
OPERATIONS_REMEMBERED = 50
REPEATED_SHARE = 0.3
# Of the repeats so many come with another key of the tenant than the first try.
OTHER_KEY_SHARE = 0.3
# Of new operations so many come with a key of the tenant's newest change, which not all machines need to know yet.
NEW_KEY_SHARE = 0.3


@dataclasses.dataclass
class Operation:
    """`api_key`: the one that it was begun with; empty: its client has none. `is_settled`: every machine knew it by then."""

    key: str
    tenant: str = ""
    api_key: str = ""
    is_settled: bool = False


@dataclasses.dataclass
class _Tenant:
    """`keys`: of the newest change that was acknowledged, at `acknowledged_at`. `settled_keys`: those that every machine must
    have known as this tenant's at some moment; they stay its own. `newest_keys`: of the newest change, answered or not."""

    newest_keys: list[str] = dataclasses.field(default_factory=list)
    keys: list[str] = dataclasses.field(default_factory=list)
    acknowledged_at: float = 0.0
    settled_keys: list[str] = dataclasses.field(default_factory=list)
    is_changing: bool = False


class Tenants:
    """Invariant: a key is given to one tenant only, and may come back to it."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._tenants = {name: _Tenant() for name in NAMES}
        self._numbers = itertools.count(1)
        self._operations: collections.deque[Operation] = collections.deque(maxlen=OPERATIONS_REMEMBERED)

    def first_change(self, generation: int) -> dict:
        change = {"upsert": {"customers": []}, "remove": {"customers": []}}
        for name, tenant in self._tenants.items():
            tenant.keys = [self._new_key(name)]
            change["upsert"]["customers"].append(_item(name, tenant.keys, generation))
        return change

    def draw_change(self, generation: int) -> tuple[list[str], dict]:
        """The tenants that it changes, none of them under another change, and the change."""
        free = [name for name, tenant in self._tenants.items() if not tenant.is_changing]
        names = self._rng.sample(free, min(len(free), self._rng.choice((1, 1, 2))))
        change = {"upsert": {"customers": []}, "remove": {"customers": []}}
        for name in names:
            keys = self._draw_keys(name)
            self._tenants[name].is_changing = True
            self._tenants[name].newest_keys = keys or []
            if keys is None:
                change["remove"]["customers"].append({"name": name, "generation": f"{generation:08x}"})
            else:
                change["upsert"]["customers"].append(_item(name, keys, generation))
        return names, change

    def note_answer(self, names: list[str], change: dict, status: int) -> None:
        """A change was acknowledged (200), or has no clear answer."""
        keys = {customer["name"]: customer["keys"] for customer in change["upsert"]["customers"]}
        for name in names:
            tenant = self._tenants[name]
            self._settle(tenant)
            tenant.is_changing = False
            if status == 200:
                tenant.keys, tenant.acknowledged_at = keys.get(name, []), time.monotonic()

    def draw_operation(self) -> Operation:
        """A new one, or one that is tried again: with the same key, or, if every machine knew that, with another one that
        every machine has known as its tenant's."""
        if self._operations and self._rng.random() < REPEATED_SHARE:
            return self._repeat(self._rng.choice(self._operations))
        operation = Operation(f"key-{self._rng.getrandbits(48):x}")
        tenant = self._tenants[self._rng.choice(NAMES)]
        self._settle(tenant)
        in_force = [key for key in tenant.keys if key in tenant.settled_keys]
        keys = tenant.newest_keys if self._rng.random() < NEW_KEY_SHARE else in_force
        if keys:
            operation.api_key = self._rng.choice(keys)
            operation.tenant = operation.api_key.partition("-")[0]
            operation.is_settled = operation.api_key in tenant.settled_keys
        self._operations.append(operation)
        return operation

    def _repeat(self, operation: Operation) -> Operation:
        settled = self._tenants[operation.tenant].settled_keys if operation.is_settled else []
        if settled and self._rng.random() < OTHER_KEY_SHARE:
            return dataclasses.replace(operation, api_key=self._rng.choice(settled))
        return operation

    def _settle(self, tenant: _Tenant) -> None:
        if tenant.acknowledged_at + APPLY_BOUND_S < time.monotonic():
            tenant.settled_keys += [key for key in tenant.keys if key not in tenant.settled_keys]

    def _draw_keys(self, name: str) -> list[str] | None:
        """None: the tenant is dropped."""
        known = self._tenants[name]
        match self._rng.choice(("add", "replace", "take away", "give back", "drop")):
            case "add": keys = [*known.keys, self._new_key(name)]
            case "replace": keys = [self._new_key(name) for _ in range(self._rng.randint(1, MOST_KEYS))]
            case "take away": keys = self._rng.sample(known.keys, len(known.keys) // 2)
            case "give back": keys = list({*known.keys, *self._rng.sample(known.settled_keys, min(2, len(known.settled_keys)))})
            case _: return None
        return sorted(keys)[-MOST_KEYS:]

    def _new_key(self, name: str) -> str:
        return f"{name}-{next(self._numbers):05}"


def _item(name: str, keys: list[str], generation: int) -> dict:
    return {"name": name, "keys": keys, "rank": 1, "generation": f"{generation:08x}"}
