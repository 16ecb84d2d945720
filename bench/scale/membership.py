"""Figures of the membership view in virtual time: what a member sends and uses, how fast news is known.

Each function makes a fleet of its own, so that each can be run alone and none takes longer than it must.
"""

from __future__ import annotations

import math
import random
import statistics
import sys
import tracemalloc
from collections.abc import Callable, Sequence

from bench.scale.figures import Figure, mean_figure
from bench.scale.virtual_fleet import SETTLE_MS, Traffic, VirtualFleet
from foxlift import peers as pr

RESTARTS_A_DAY_AND_DIRECTOR = 6_100 / 4_200
PACE = 20
"""Restarts are played at so many times the pace of an ordinary day."""
DOWN_MS = 3_000.0
"""Between a planned stop and the new process."""
ZONES, RACKS = 9, 100
MAX_WATCHED = 60
"""Deaths whose spreading is followed, of those that come at once."""
QUIET_MS, CHANGE_MS = 20_000.0, 20_000.0
VICTIMS = 5
VICTIM_EVERY_MS = 1_500.0
KNOWN_WITHIN_MS = 300_000.0
JOINER_LEARNS_MS = 60_000.0


def traffic_figures(when: str, traffic: Traffic) -> list[Figure]:
    """Mean and busiest member. The busiest one's error is the spread of members about their mean."""
    busiest = max(traffic.messages)
    most_bytes = max(traffic.bytes)
    return [
        mean_figure(f"membership messages sent, {when}", "1/s", traffic.messages),
        Figure(
            f"membership messages sent by the busiest, {when}",
            "1/s",
            busiest,
            statistics.stdev(traffic.messages),
        ),
        mean_figure(f"membership bytes sent, {when}", "B/s", traffic.bytes),
        Figure(
            f"membership bytes sent by the busiest, {when}",
            "B/s",
            most_bytes,
            statistics.stdev(traffic.bytes),
        ),
        mean_figure(f"membership view processor, {when}", "s/s", traffic.view_cpu),
    ]


def settled(size: int, seed: int) -> VirtualFleet:
    """A fleet that knows itself and has been quiet."""
    fleet = VirtualFleet(size, seed)
    fleet.run(SETTLE_MS)
    return fleet


def quiet(size: int, seed: int) -> list[Figure]:
    """Nothing happens."""
    return traffic_figures("quiet", settled(size, seed).measure(QUIET_MS))


def restarts(size: int, seed: int) -> list[Figure]:
    """Planned restarts at many times the pace of an ordinary day, from directors drawn at random."""
    fleet = settled(size, seed)
    chance = random.Random(f"restarts {seed}")
    rate_per_ms = RESTARTS_A_DAY_AND_DIRECTOR * PACE * size / 86_400_000
    ordinary = [name for name in fleet.names if name not in fleet.timed]
    schedule = []
    at = chance.expovariate(rate_per_ms)
    while at < CHANGE_MS * 2 and ordinary:
        schedule.append((at, ordinary.pop(chance.randrange(len(ordinary)))))
        at += chance.expovariate(rate_per_ms)
    begin = fleet.now
    coming_back: list[tuple[float, str, int]] = []

    def play(until: float) -> None:
        """Stops and starts that are due by then."""
        while True:
            stop_at = begin + schedule[0][0] if schedule else math.inf
            start_at = coming_back[0][0] if coming_back else math.inf
            due = min(stop_at, start_at)
            if due > until:
                break
            fleet.run(max(due - fleet.now, 0.0))
            if stop_at <= start_at:
                name = schedule.pop(0)[1]
                coming_back.append((fleet.now + DOWN_MS, name, fleet.leave(name) + 1))
            else:
                _, name, run = coming_back.pop(0)
                fleet.start(name, run)
        fleet.run(until - fleet.now)

    play(begin + CHANGE_MS)
    traffic = fleet.measured(lambda: play(begin + 2 * CHANGE_MS), CHANGE_MS)
    return traffic_figures(f"{PACE} times an ordinary day's restarts", traffic)


def first_beliefs(
    fleet: VirtualFleet, names: Sequence[str], state: pr.PeerState, run: int
) -> list[dict[str, float]]:
    """Watch when members come to believe this of each of them."""
    return [fleet.beliefs.watch(name, state, run) for name in names]


def known_times(
    begun: Sequence[float], known: Sequence[dict[str, float]], among: set[str]
) -> tuple[list[float], list[float]]:
    """Seconds until 99 in 100 members and until all have come to know each of several facts.

    A fact that fewer know by now is not in the list.
    """
    part, whole = [], []
    for begin, by_member in zip(begun, known, strict=True):
        times = sorted((at - begin) / 1000 for member, at in by_member.items() if member in among)
        needed = math.ceil(0.99 * len(among))
        if len(times) >= needed:
            part.append(times[needed - 1])
        if len(times) == len(among):
            whole.append(times[-1])
    return part, whole


def known_figures(what: str, part: Sequence[float], whole: Sequence[float], facts: int) -> list[Figure]:
    """Figures of `known_times`, which say how many facts were known in time."""
    figures = [Figure(f"{what} known to all in time", "ratio", len(whole) / facts, 0.0)]
    if part:
        figures.append(mean_figure(f"{what} known to 99%", "s", part))
    if whole:
        figures.append(mean_figure(f"{what} known to all", "s", whole))
    return figures


def deaths(size: int, seed: int) -> list[Figure]:
    """A few directors die, one after the other."""
    fleet = settled(size, seed)
    victims = drawn(fleet, seed, VICTIMS)
    known = first_beliefs(fleet, victims, pr.PeerState.DEAD, 1)
    begun = []
    for victim in victims:
        begun.append(fleet.now)
        fleet.kill(victim)
        fleet.run(VICTIM_EVERY_MS)
    among = set(fleet.living())
    run_until(fleet, lambda: all(len(by_member) >= len(among) for by_member in known))
    part, whole = known_times(begun, known, among)
    wrong = Figure("directors alive believed dead", "1", float(fleet.beliefs.wrong_deaths), 0.0)
    return [*known_figures("one death", part, whole, len(victims)), wrong]


def joins(size: int, seed: int) -> list[Figure]:
    """A few directors restart, one after the other: who knows of it, and what the new process knows."""
    fleet = settled(size, seed)
    victims = drawn(fleet, seed, VICTIMS)
    runs = {name: fleet.leave(name) for name in victims}
    fleet.run(2 * SETTLE_MS)
    known = first_beliefs(fleet, victims, pr.PeerState.ALIVE, 2)
    learned = [fleet.beliefs.watch_member(name) for name in victims]
    begun = []
    for victim in victims:
        begun.append(fleet.now)
        fleet.start(victim, runs[victim] + 1)
        fleet.run(VICTIM_EVERY_MS)
    fleet.run(JOINER_LEARNS_MS)
    among = set(fleet.living()) - set(victims)
    part, whole = known_times(begun, known, among)
    counts = [
        sum(1 for at in by_peer.values() if at <= begin + JOINER_LEARNS_MS) / (size - 1)
        for begin, by_peer in zip(begun, learned, strict=True)
    ]
    share = mean_figure("peers that a restarted director knows after 60 s", "ratio", counts)
    return [*known_figures("a join", part, whole, len(victims)), share]


def zone_lost(size: int, seed: int) -> list[Figure]:
    """A ninth of the directors dies at once."""
    return together_lost(size, seed, ZONES, "a ninth dies")


def rack_lost(size: int, seed: int) -> list[Figure]:
    """One director in a hundred dies at once."""
    return together_lost(size, seed, RACKS, "one in 100 dies")


def together_lost(size: int, seed: int, groups: int, when: str) -> list[Figure]:
    """One of so many equal groups dies at once."""
    fleet = settled(size, seed)
    victims = [name for name in fleet.names[1::groups] if name not in fleet.timed]
    watched = victims[:: math.ceil(len(victims) / MAX_WATCHED)]
    known = first_beliefs(fleet, watched, pr.PeerState.DEAD, 1)
    begin = fleet.now
    fleet.kill(*victims)
    among = set(fleet.living())
    figures = traffic_figures(when, fleet.measure(CHANGE_MS))
    run_until(fleet, lambda: all(len(by_member) >= len(among) for by_member in known))
    part, whole = known_times([begin] * len(watched), known, among)
    figures += known_figures(f"each death as {when}", part, whole, len(watched))
    if len(whole) == len(watched):
        figures.append(Figure(f"last death as {when} known to all", "s", max(whole), 0.0))
    wrong = fleet.beliefs.wrong_deaths
    return [*figures, Figure(f"directors alive believed dead as {when}", "1", float(wrong), 0.0)]


def drawn(fleet: VirtualFleet, seed: int, count: int) -> list[str]:
    """Directors that are not timed."""
    ordinary = [name for name in fleet.names if name not in fleet.timed]
    return random.Random(f"victims {seed}").sample(ordinary, count)


def run_until(fleet: VirtualFleet, true: Callable[[], bool]) -> None:
    """Let time pass in seconds until it is true, or the longest wait is over."""
    end = fleet.now + KNOWN_WITHIN_MS
    while not true() and fleet.now < end:
        fleet.run(1000.0)


def view_memory(size: int, seed: int) -> list[Figure]:
    """Bytes of the program's own view of a fleet that it knows."""
    names = [f"d{k}" for k in range(size)]
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        view = pr.Peers("d0", 1, names, seed)
        for peer in view.peers.values():
            peer.state, peer.boot_epoch = pr.PeerState.ALIVE, 1
        view._next_target()  # the order of a round is held too
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    names_bytes = sum(sys.getsizeof(name) for name in names)
    return [Figure("membership view memory", "B", float(after - before + names_bytes), 0.0)]


SCENARIOS: dict[str, Callable[[int, int], list[Figure]]] = {
    "memory": view_memory,
    "quiet": quiet,
    "deaths": deaths,
    "joins": joins,
    "restarts": restarts,
    "rack": rack_lost,
    "zone": zone_lost,
}
