"""What a seed does to a system: who is stopped, told or changed, and when. Series, which overlap."""

import dataclasses
import enum
import random
import signal

# Extra signals that may follow a SIGTERM, and how long after it.
EXTRA_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


class Action(enum.Enum):
    RESTART_MACHINE = "SIGTERM for a proxy's machine"
    RESTART_AGENT = "SIGTERM for an agent alone"
    KILL_MACHINE = "SIGKILL for a proxy's machine"
    RESTART_CONTROLLER = "SIGTERM for a controller"
    KILL_CONTROLLER = "SIGKILL for a controller"
    HANG_UP = "SIGHUP for a proxy's machine, its settings changed or not"
    CHANGE_SETTINGS = "changed settings without a signal"
    CHANGE_ROUTES = "change of routes and limits"
    CHANGE_TENANTS = "tenants and their keys are added, changed and taken away"
    RELEASE_SERVER = "a server leaves and another one comes"
    EVACUATE = "a zone is evacuated, and taken back"
    DRAIN_PROXY = "an operator's drain of a proxy, ended after a while"
    DRAIN_SERVERS = "an operator's rotation of a zone's servers, ended after a while"
    LEAVE_THEN_KILL = "a server leaves, and its controller is killed with the acknowledgement"
    DRAIN_THEN_KILL = "a server drains and says nothing more, and its controller is killed with the acknowledgement"
    CHANGE_THEN_KILL = "a change, and its controller is killed with the acknowledgement"
    EVACUATE_THEN_KILL = "an evacuation, and its controller is killed with the acknowledgement"
    MASS_DISCONNECT = "a share of the clients that wait for an answer leave in one moment"


@dataclasses.dataclass
class Event:
    """`target`: a number that the runner takes modulo how many there are."""

    at: float
    action: Action
    target: int
    extra_signals: list[tuple[float, signal.Signals]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Series:
    """One action again and again. `usual_gap_s`: of a system of five proxies; larger ones get more."""

    action: Action
    chance: float
    usual_gap_s: float
    grows_with_size: bool = False


SERIES = (
    Series(Action.RESTART_MACHINE, 1.0, 1.6, grows_with_size=True),
    Series(Action.HANG_UP, 0.8, 0.8, grows_with_size=True),
    Series(Action.CHANGE_SETTINGS, 0.4, 2.0, grows_with_size=True),
    Series(Action.CHANGE_ROUTES, 0.9, 0.5),
    Series(Action.RELEASE_SERVER, 0.7, 2.0, grows_with_size=True),
    Series(Action.RESTART_CONTROLLER, 0.5, 9.0),
    Series(Action.RESTART_AGENT, 0.4, 4.0),
    Series(Action.EVACUATE, 0.3, 8.0),
    Series(Action.DRAIN_PROXY, 0.3, 4.0),
    Series(Action.DRAIN_SERVERS, 0.2, 6.0),
    Series(Action.MASS_DISCONNECT, 0.6, 3.0),
    Series(Action.KILL_CONTROLLER, 0.2, 12.0),
    Series(Action.LEAVE_THEN_KILL, 0.4, 8.0),
    Series(Action.DRAIN_THEN_KILL, 0.3, 8.0),
    Series(Action.CHANGE_THEN_KILL, 0.4, 8.0),
    Series(Action.EVACUATE_THEN_KILL, 0.2, 10.0),
    Series(Action.KILL_MACHINE, 0.2, 8.0),
)
TENANT_SERIES = (Series(Action.CHANGE_TENANTS, 0.7, 0.7),)
USUAL_PROXIES = 5


def draw_schedule(rng: random.Random, length_s: float, proxies: int,
                  all_series: tuple[Series, ...] = SERIES) -> list[Event]:
    """All events from 0 to length_s, in order. Which series there are, when they begin and how dense they are is drawn."""
    events: list[Event] = []
    for series in all_series:
        if rng.random() >= series.chance:
            continue
        size = max(1.0, proxies / USUAL_PROXIES) if series.grows_with_size else 1.0
        gap_s = series.usual_gap_s * rng.uniform(0.5, 1.5) / size
        is_in_turn = rng.random() < 0.5
        at, number = rng.uniform(0, 2), rng.randrange(1000)
        while at < length_s:
            number = number + 1 if is_in_turn else rng.randrange(1000)
            events.append(Event(at, series.action, number, _draw_extra_signals(rng, series.action)))
            at += gap_s * rng.uniform(0.3, 1.7)
    return sorted(events, key=lambda event: event.at)


def _draw_extra_signals(rng: random.Random, action: Action) -> list[tuple[float, signal.Signals]]:
    if action is not Action.RESTART_MACHINE or rng.random() < 0.5:
        return []
    times = sorted(rng.uniform(0, 3) for _ in range(rng.randint(1, 3)))
    return [(after_s, rng.choice(EXTRA_SIGNALS)) for after_s in times]
