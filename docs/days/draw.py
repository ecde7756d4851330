#!/usr/bin/env python3
"""Writes days of our own for the bench: TOML with `[[day]]` tables, drawn from a seed.

The head of each day (traffic, marks, floors) is that of a day of the site file named
on the command line; only troubles, planned work and the closing fault are drawn here.
The same arguments and the same site file give the same days.
"""

import argparse
import itertools
import pathlib
import random
import sys
import tomllib

Entry = dict[str, object]

# Troubles on the core. `x`, `count` and `for_s` as the bench's page of kinds names them.
CORE: dict[str, Entry] = {
    "cut": {"kind": "core_cut", "for_s": 5.0},
    "cut-one-way": {"kind": "core_cut", "for_s": 5.0, "how": "leader one_way"},
    "cut-seeds": {"kind": "core_cut", "for_s": 5.0, "how": "seeds"},
    "cut-both": {"kind": "core_cut", "for_s": 5.0, "how": "both"},
    "cut-meet": {"kind": "core_cut", "for_s": 5.0, "how": "meet"},
    "cut-race": {"kind": "core_cut", "for_s": 5.0, "how": "leader race"},
    "freeze": {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 4.0, "how": "leader"},
    "freeze-meet": {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 4.0, "how": "leader meet"},
    "power": {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "power"},
    "power-race": {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "power leader race"},
    "ack-wipe": {"kind": "after_ack_wipe", "for_s": 2.5},
    "ack-wipe-timed": {"kind": "after_ack_wipe", "for_s": 2.5, "how": "timed"},
    "ack-wipe-taken": {"kind": "after_ack_wipe", "for_s": 2.5, "how": "taken"},
    "ack-kill": {"kind": "after_ack_kill", "for_s": 2.5},
    "ack-kill-timed": {"kind": "after_ack_kill", "for_s": 2.5, "how": "timed"},
    "ack-kill-taken": {"kind": "after_ack_kill", "for_s": 2.5, "how": "taken"},
    "replace": {"kind": "replace_core", "x": 1.0},
    "replace-planned": {"kind": "replace_core", "x": 1.0, "how": "planned"},
    "disk-stall": {"kind": "disk_stall", "count": 1, "for_s": 4.0},
    "disk-full": {"kind": "disk_full", "count": 1, "for_s": 4.0},
    "disk-slow": {"kind": "disk_slow", "count": 1, "x": 30.0, "for_s": 5.0},
    "clock-back": {"kind": "clock_step", "share": 0.5, "x": 4000.0, "for_s": 5.0, "how": "back"},
    "clock-ahead": {"kind": "clock_step", "share": 0.5, "x": 4000.0, "for_s": 5.0, "how": "ahead"},
    "term-remove": {"kind": "roll_term", "on": "core", "count": 1, "how": "remove"},
    "term": {"kind": "roll_term", "on": "core", "share": 1.0, "gap_s": 1.5, "how": "busy"},
    "zone-loss": {"kind": "zone_loss", "for_s": 4.0},
    "zone-loss-meet": {"kind": "zone_loss", "for_s": 4.0, "how": "meet race"},
    "zone-cut": {"kind": "zone_cut", "for_s": 4.0},
    "seeds": {"kind": "seed_turnover"},
    "herd-core": {"kind": "herd_kill", "on": "core", "share": 1.0, "for_s": 1.5, "how": "power"},
    "herd-taken": {"kind": "herd_kill", "on": "core", "share": 1.0, "for_s": 1.5, "how": "power taken"},
    "ack-lost": {"kind": "ack_lost", "x": 0.7, "for_s": 5.0},
    "reset": {"kind": "reset_conns", "on": "core", "share": 0.5, "x": 0.7},
    "slow": {"kind": "node_slow", "on": "core", "count": 1, "x": 5.0, "for_s": 4.0},
}
PLANNED: set[str] = {"term-remove", "term", "seeds"}

# What the operator does meanwhile.
WORK: dict[str, list[Entry]] = {
    "storm": [{"kind": "config_storm", "for_s": 7.0, "gap_s": 0.25}],
    "race": [{"kind": "config_race", "count": 6, "gap_s": 1.1}],
    "bad": [{"kind": "bad_config", "count": 4, "gap_s": 0.7},
            {"kind": "bad_config", "count": 3, "gap_s": 0.9, "how": "old_version"}],
    "big": [{"kind": "big_config", "count": 300}, {"kind": "config_change", "how": "idle"}],
    "evacuate": [{"kind": "evacuate", "for_s": 6.0}],
    "change": [{"kind": "config_change", "how": h} for h in ("weights", "route", "timeout", "idle")],
}

CLOSINGS: list[Entry] = [
    {"kind": "power_off_all"},
    {"kind": "power_off_all", "how": "timed"},
    {"kind": "power_off_all", "how": "taken"},
    {"kind": "wipe_after_ack", "how": "aimed"},
    {"kind": "wipe_after_ack", "how": "timed"},
    {"kind": "wipe_after_ack", "how": "taken"},
    {"kind": "wipe_after_ack"},
    {"kind": "kill_all"},
    {"kind": "kill_all", "how": "timed"},
    {"kind": "kill_all", "how": "taken"},
]


class Day:
    """One day: its head from the site file, its troubles from here."""

    def __init__(self, head: Entry, name: str, seed: int, length: float) -> None:
        self.fields: Entry = {k: v for k, v in head.items() if k not in ("plan", "faults", "closing", "small")}
        self.fields |= {"name": name, "seed": seed, "length_s": length}
        self.plan: list[Entry] = []
        self.faults: list[Entry] = []

    def work(self, at: float, entry: Entry) -> None:
        self.plan.append({"at": round(at, 2)} | entry)

    def fault(self, at: float, entry: Entry) -> None:
        self.faults.append({"at": round(at, 2)} | entry)

    def trouble(self, at: float, name: str) -> None:
        (self.work if name in PLANNED else self.fault)(at, CORE[name])

    def changes(self, start: float, end: float, gap: float, how: str = "idle") -> None:
        at: float = start
        while at < end:
            self.work(at, {"kind": "config_change", "how": how})
            at += gap

    def close(self, entry: Entry, down: float) -> None:
        self.fields["closing"] = entry | {"down_s": down}

    def text(self) -> str:
        fields: Entry = self.fields | {"plan": self.plan, "faults": self.faults}
        return "[[day]]\n" + "".join(f"{k} = {toml(v, True)}\n" for k, v in fields.items())


def toml(value: object, top: bool = False) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case str():
            return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
        case dict():
            return "{ " + ", ".join(f"{k} = {toml(v)}" for k, v in value.items()) + " }"
        case list():
            rows: list[str] = [toml(v) for v in value]
            if top and any(isinstance(v, dict) for v in value):
                return "[\n" + "".join(f"  {r},\n" for r in rows) + "]"
            return "[" + ", ".join(rows) + "]"
        case _:
            return str(value)


def deal(seed: int) -> list[tuple[str, str, str]]:
    """All (trouble, trouble, work), shuffled by the seed."""
    deck: list[tuple[str, str, str]] = [(a, b, w) for (a, b), w in itertools.product(itertools.combinations(CORE, 2), WORK)]
    random.Random(seed).shuffle(deck)
    return deck


def pair_day(head: Entry, seed: int, index: int, blocks: int, lead: float) -> tuple[Day, str]:
    """Day `index` of a seed's deck: `blocks` pairs of troubles, each during its work, with calm between."""
    draw: random.Random = random.Random(f"{seed}/{index}")
    deck: list[tuple[str, str, str]] = deal(seed)
    day: Day = Day(head, f"pairs-{seed}-{index}", draw.randrange(1 << 30), 6 + 20 * blocks)
    told: list[str] = []
    for block in range(blocks):
        first, second, work = deck[(index * blocks + block) % len(deck)]
        start: float = 4 + 20 * block
        for step, entry in enumerate(WORK[work]):
            day.work(start + 1.1 * step + draw.random(), entry)
        day.trouble(start + 1.5 + draw.random(), first)
        day.trouble(start + 2.5 + 4 * draw.random(), second)
        told.append(f"{first} + {second} during {work}")
    closing: Entry = CLOSINGS[index % len(CLOSINGS)]
    day.close(closing, round(draw.uniform(0.5, 1.6), 2))
    told.append(f"closing {closing['kind']} {closing.get('how', '')}".rstrip())
    return day, "; ".join(told)


def replacements(head: Entry, seed: int, count: int) -> tuple[Day, str]:
    day: Day = Day(head, f"replacements-{count}-{seed}", seed, 118)
    for n in range(count):
        day.fault(6 + 17 * n, {"kind": "replace_core", "x": 1.0, "how": "planned"})
    day.fault(6 + 17 * count, {"kind": "core_cut", "count": 1, "for_s": 20.0})
    day.changes(3, 113, 1.1)
    day.close({"kind": "wipe_after_ack", "how": "aimed"}, 0.9)
    return day, f"{count} planned replacements 17 s apart, a cut of 20 s, a change each 1.1 s"


def zone_after_replacement(head: Entry, seed: int, how: str) -> tuple[Day, str]:
    day: Day = Day(head, f"zone-after-replacement-{how or 'unplanned'}-{seed}", seed, 70)
    for at in (6.0, 36.0):
        day.fault(at, {"kind": "replace_core", "x": 1.0} | ({"how": how} if how else {}))
        day.fault(at + 9, {"kind": "zone_loss", "for_s": 6.0})
    day.changes(3, 66, 1.1)
    day.work(8, {"kind": "evacuate", "for_s": 8.0})
    day.close({"kind": "power_off_all"}, 0.9)
    return day, f"a zone lost 9 s after a replacement ({how or 'unplanned'}), twice"


def storm(head: Entry, seed: int, away: int) -> tuple[Day, str]:
    day: Day = Day(head, f"storm-{away}-away-{seed}", seed, 80)
    day.fault(5, {"kind": "node_kill", "on": "core", "count": away, "for_s": 50.0, "how": "power"})
    day.work(8, {"kind": "config_storm", "count": 250, "gap_s": 0.18})
    day.work(20, {"kind": "evacuate", "for_s": 10.0})
    day.close({"kind": "kill_all"}, 0.9)
    return day, f"250 changes with {away} core machines away for 50 s"


def long_cut(head: Entry, seed: int, how: str, count: int) -> tuple[Day, str]:
    day: Day = Day(head, f"cut-20s-{count}-{how.replace(' ', '-') or 'silent'}-{seed}", seed, 64)
    day.fault(8, {"kind": "core_cut", "count": count, "for_s": 20.0} | ({"how": how} if how else {}))
    day.changes(6, 40, 1.3, "weights")
    day.work(9, {"kind": "config_race", "count": 12, "gap_s": 1.5})
    day.work(10, {"kind": "evacuate", "for_s": 9.0})
    day.work(22, {"kind": "evacuate", "for_s": 9.0})
    day.close({"kind": "wipe_after_ack", "how": "aimed"}, 0.9)
    return day, f"{count} core machine(s) cut off for 20 s ({how or 'silent'}) with changes, races, evacuations"


def members(head: Entry, seed: int) -> list[tuple[Day, str]]:
    """The days of the membership and contact points."""
    days: list[tuple[Day, str]] = [replacements(head, seed, n) for n in (4, 5)]
    days += [zone_after_replacement(head, seed, how) for how in ("planned", "")]
    days += [storm(head, seed, away) for away in (1, 2)]
    days += [long_cut(head, seed, how, n) for how, n in (("", 1), ("one_way", 1), ("leader race", 1), ("", 2), ("one_way", 2))]
    return days


def themes(head: Entry, seed: int) -> list[tuple[Day, str]]:
    """Days of one trouble that goes on and on while the operator changes things."""
    core: Entry = {"on": "core"}
    rows: dict[str, tuple[str, list[tuple[float, Entry]], Entry]] = {
        "gone-for-good": ("four core machines replaced without a plan, 17 s apart",
                          [(6 + 17.0 * n, {"kind": "replace_core", "x": 1.0}) for n in range(4)], {"kind": "power_off_all"}),
        "removed": ("core machines leave by SIGTERM, 20 s apart",
                    [(6 + 20.0 * n, {"kind": "roll_term", "count": 1, "how": "remove"} | core) for n in range(3)], {"kind": "kill_all"}),
        "wiped": ("a disk lost right after an acknowledgement, each 12 s",
                  [(6 + 12.0 * n, {"kind": "after_ack_wipe", "for_s": 2.0, "how": h}) for n, h in enumerate(("", "timed", "taken", "leader", "timed", ""))],
                  {"kind": "wipe_after_ack", "how": "timed"}),
        "killed": ("power lost right after an acknowledgement, each 9 s",
                   [(6 + 9.0 * n, {"kind": "after_ack_kill", "for_s": 2.0, "how": h}) for n, h in enumerate(("timed", "taken", "kill", "timed", "taken", "timed"))],
                   {"kind": "power_off_all"}),
        "herds": ("all core machines lose power, three times",
                  [(8 + 20.0 * n, {"kind": "herd_kill", "for_s": 1.5, "how": h} | core) for n, h in enumerate(("power taken", "power", "power taken"))],
                  {"kind": "kill_all"}),
        "clocks": ("the time of day jumps by an hour back and ahead on most machines",
                   [(6 + 14.0 * n, {"kind": "clock_step", "share": s, "x": 3600000.0, "for_s": 8.0, "how": h})
                    for n, (h, s) in enumerate((("back", 0.5), ("ahead", 0.5), ("back", 1.0), ("ahead", 0.3)))], {"kind": "power_off_all"}),
        "full": ("a full disk, then a hung one, then a slow one, 14 s each",
                 [(6, {"kind": "disk_full", "count": 1, "for_s": 14.0}), (26, {"kind": "disk_stall", "count": 1, "for_s": 14.0}),
                  (46, {"kind": "disk_slow", "count": 2, "x": 60.0, "for_s": 14.0})], {"kind": "wipe_after_ack", "how": "aimed"}),
        "resets": ("connections of all core machines reset each 2 s",
                   [(6 + 2.0 * n, {"kind": "reset_conns", "share": 1.0, "x": 1.0} | core) for n in range(25)], {"kind": "kill_all"}),
        "acks": ("acknowledgements to the operator lost all day, a core machine killed now and then",
                 [(4, {"kind": "ack_lost", "x": 0.9, "for_s": 60.0})]
                 + [(10 + 12.0 * n, {"kind": "node_kill", "count": 1, "for_s": 2.0, "how": "power leader race"} | core) for n in range(4)],
                 {"kind": "power_off_all"}),
        "zone-cut": ("a zone cut off for 20 s, clients still reach it; then one lost",
                     [(6, {"kind": "zone_cut", "for_s": 20.0}), (40, {"kind": "zone_loss", "for_s": 12.0, "how": "meet race hard"})],
                     {"kind": "wipe_after_ack", "how": "taken"}),
        "frozen": ("a core machine stands still for 12 s and comes back into a storm, three times",
                   [(6 + 20.0 * n, {"kind": "node_freeze", "count": 1, "for_s": 12.0, "how": h} | core)
                    for n, h in enumerate(("leader meet", "leader race", "seed meet hard"))], {"kind": "wipe_after_ack", "how": "aimed"}),
        "slow": ("a core machine runs 15 times slower for 12 s, three times",
                 [(6 + 20.0 * n, {"kind": "node_slow", "count": 1, "x": 15.0, "for_s": 12.0} | core) for n in range(3)], {"kind": "kill_all"}),
    }
    days: list[tuple[Day, str]] = []
    for name, (told, faults, closing) in rows.items():
        day: Day = Day(head, f"theme-{name}-{seed}", seed, 74)
        for at, entry in faults:
            (day.work if entry.get("how") == "remove" else day.fault)(at, entry)
        day.changes(3, 71, 2.9)
        day.work(5, {"kind": "config_race", "count": 14, "gap_s": 4.7})
        day.work(7, {"kind": "config_storm", "for_s": 55.0, "gap_s": 0.9, "how": "route"})
        for at in (9, 30, 51):
            day.work(at, {"kind": "evacuate", "for_s": 7.0})
        day.close(closing, 0.9)
        days.append((day, told))
    return days


def leaving(head: Entry, seed: int) -> list[tuple[Day, str]]:
    """Servers leave, are replaced and evacuated round troubles of the core."""
    troubles: list[Entry] = [
        {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": "power leader meet drain"},
        {"kind": "zone_loss", "for_s": 4.0, "how": "race drain hard"},
        {"kind": "core_cut", "for_s": 6.0, "how": "leader race drain hard"},
        {"kind": "core_cut", "for_s": 6.0, "how": "one_way meet drain"},
        {"kind": "herd_kill", "on": "core", "for_s": 1.5, "how": "power race drain"},
        {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 5.0, "how": "leader meet drain"},
        {"kind": "replace_core", "x": 1.0},
        {"kind": "replace_core", "x": 1.0, "how": "planned"},
        {"kind": "ack_lost", "x": 0.8, "for_s": 8.0},
        {"kind": "zone_cut", "for_s": 6.0},
        {"kind": "herd_kill", "share": 0.5, "for_s": 2.0, "how": "power"},
        {"kind": "reset_conns", "share": 0.6, "x": 0.8},
    ]
    works: list[list[Entry]] = [
        [{"kind": "scale_in", "share": 0.2}],
        [{"kind": "release", "share": 0.4, "x": 2.0, "gap_s": 0.6}],
        [{"kind": "evacuate", "for_s": 6.0}, {"kind": "scale_in", "share": 0.1, "how": "spot"}],
        [{"kind": "roll_term", "share": 0.5, "x": 2.0, "gap_s": 0.8}, {"kind": "config_change", "how": "weights"}],
    ]
    draw: random.Random = random.Random(f"leaving/{seed}")
    draw.shuffle(troubles)
    days: list[tuple[Day, str]] = []
    for number in range(4):
        day: Day = Day(head, f"leaving-{seed}-{number}", draw.randrange(1 << 30), 82)
        told: list[str] = []
        for block in range(4):
            trouble: Entry = troubles[(number * 3 + block) % len(troubles)]
            work: list[Entry] = works[(number + block) % len(works)]
            start: float = 5 + 19 * block
            for step, entry in enumerate(work):
                day.work(start + 1.2 * step, entry)
            day.fault(start + 4 * draw.random(), trouble)
            day.fault(start + 1, {"kind": "replace_with_reuse", "share": 0.1, "how": draw.choice(("", "drain", "dark"))})
            told.append(f"{trouble['kind']} {trouble.get('how', '')}".rstrip() + f" round {work[0]['kind']}")
        day.changes(4, 78, 3.7)
        day.close(CLOSINGS[(seed + 3 * number) % len(CLOSINGS)], 0.9)
        days.append((day, "; ".join(told)))
    return days


SETS = {"members": members, "themes": themes, "leaving": leaving}


def natural(text: str) -> int:
    value: int = int(text)
    if value < 0:
        raise argparse.ArgumentTypeError(f"{text} is negative")
    return value


def options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path, help="site file whose head the days take")
    parser.add_argument("--set", choices=("pairs", "members", "themes", "leaving"), default="pairs",
                        help="pairs: two core troubles during the operator's work; members: replacements, storms, long cuts; "
                             "themes: one trouble that goes on all day; "
                             "leaving: servers that leave round troubles of the core")
    parser.add_argument("--seed", type=natural, default=1, help="what the days are drawn from (1)")
    parser.add_argument("--head", default="trouble-1", help="day of the site file whose head is taken (trouble-1)")
    parser.add_argument("--first", type=natural, default=0, help="index of the first day (0)")
    parser.add_argument("--days", type=natural, default=1, help="how many days of the pairs (1)")
    parser.add_argument("--blocks", type=natural, default=3, help="pairs in each day (3)")
    parser.add_argument("--only", default="", help="only days whose name begins so")
    parser.add_argument("--out", type=pathlib.Path, default=None, help="folder for one file a day; left out, all go to stdout")
    parser.add_argument("--list", action="store_true", help="only say what each day holds")
    args = parser.parse_args()
    if args.blocks == 0:
        parser.error("--blocks must be at least 1")
    return args


def main() -> int:
    args = options()
    try:
        with args.site.open("rb") as file:
            site: dict[str, object] = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as trouble:
        print(f"draw: {args.site}: {trouble}", file=sys.stderr)
        return 2
    heads: list[Entry] = [d for d in site.get("day", []) if d["name"] == args.head]
    if not heads:
        print(f"draw: {args.site} has no day named {args.head}", file=sys.stderr)
        return 2
    if args.set in SETS:
        days = SETS[args.set](heads[0], args.seed)
    else:
        days = [pair_day(heads[0], args.seed, n, args.blocks, 4) for n in range(args.first, args.first + args.days)]
    days = [(d, told) for d, told in days if str(d.fields["name"]).startswith(args.only)]
    if not days:
        print("draw: no day is left", file=sys.stderr)
        return 2
    for day, told in days:
        if args.list:
            print(f"{day.fields['name']}: {told}")
        elif args.out:
            args.out.mkdir(parents=True, exist_ok=True)
            (args.out / f"{day.fields['name']}.toml").write_text(day.text())
        else:
            print(day.text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
