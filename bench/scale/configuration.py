"""Figures of configuration's distribution: time in force, traffic, processor and memory of each part.

Nine zones in three regions, five members of the group, four relays a zone at the planned size (36 control
servers, members among them not counted) and in proportion below it. Changes come at the planned mean of 0.45
a second, restarts at 20 times an ordinary day's. Virtual time: delays between zones and regions, no sockets;
bytes are those of the messages as they are encoded, and of their HTTP headers.
"""

from __future__ import annotations

import json
import math
import random
from dataclasses import dataclass, field

import msgspec

from bench.scale.figures import Figure, mean_figure
from bench.scale.planned_size import PLANNED
from bench.scale.timing import memory_of, processor_of
from bench.scale.virtual_rollout import RolloutWorld, settle
from foxlift.rollout import agent, hub
from foxlift.rollout.agent import Agent
from foxlift.rollout.content import Content
from foxlift.rollout.entry import Change, Entry
from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import ChangeRequest, DirectorWatch, Steps, Watch, WatchResponse

ZONES, REGIONS, MEMBERS = 9, 3, 5
DIRECTORS_PER_RELAY = 117
MAX_RELAYS_PER_ZONE = 4
CHANGES_PER_S = 0.45
RESTART_PACE = 20  # times an ordinary day's
DOWN_MS = 2000.0  # of a restarted director
START_MS, MEASURED_MS, IN_FORCE_WITHIN_MS = 12_000.0, 40_000.0, 12_000.0
ZONE_LOST_AT_MS, ZONE_BACK_AT_MS = 10_000.0, 25_000.0
TITLES = (1_000, 10_000, 100_000)
REPEATS = 30

_decode_answer = msgspec.json.Decoder(WatchResponse).decode
_decode_watch = msgspec.json.Decoder(Watch).decode


def title_value(number: int) -> str:
    """A title's value as an operator puts it in."""
    return json.dumps({"first-cell": number % 100, "holders": 3, "manifest": f"title-{number}.mpd"})


@dataclass(slots=True)
class Changes:
    """The changes of a run: when each was ordered, and which directors were up through its time."""

    world: RolloutWorld
    ordered_at: dict[str, float] = field(default_factory=dict)
    started_at: dict[str, float] = field(default_factory=dict)
    late: dict[str, list[str]] = field(default_factory=dict)  # where a change was not in force in time
    number: int = 0

    def order(self) -> None:
        """Put one change in, at the member whose turn it is."""
        self.number += 1
        key = f"titles/t{self.number}"
        members = [name for name in self.world.members if self.world.processes[name].up]
        change = Change({key: title_value(self.number)})
        self.ordered_at[key] = self.world.now
        self.world.order(members[self.number % len(members)], ChangeRequest(f"q{self.number}", change))
        self.world.later(IN_FORCE_WITHIN_MS, lambda: self._judge(key))

    def _judge(self, key: str) -> None:
        """Directors that were up all the time and have not put it in force."""
        begun, at = self.ordered_at[key], self.world.record.at[key]
        self.late[key] = [
            name
            for name in self.world.up_directors()
            if name not in at and self.started_at.get(name, 0.0) < begun
        ]

    def times_s(self) -> list[tuple[float, float]]:
        """For each change: until 99 in 100 and until all of those up throughout had it in force."""
        found = []
        for key in self.late:
            begun = self.ordered_at[key]
            at = sorted(
                moment - begun
                for name, moment in self.world.record.at[key].items()
                if self.started_at.get(name, 0.0) < begun
            )
            found.append((at[math.ceil(0.99 * len(at)) - 1] / 1000, at[-1] / 1000))
        return found


def make_world(size: int, seed: int) -> RolloutWorld:
    """A fleet of about so many directors, all up and quiet."""
    each = max(round(size / ZONES), 1)
    relays = min(max(math.ceil(each / DIRECTORS_PER_RELAY), 1), MAX_RELAYS_PER_ZONE)
    world = RolloutWorld(
        seed,
        regions=REGIONS,
        zones=ZONES // REGIONS,
        members=MEMBERS,
        relays=relays,
        directors=each,
        count_bytes=True,
    )
    world.start_all(spread_ms=START_MS / 2)
    world.run(START_MS)
    return world


def _traffic(world: RolloutWorld) -> dict[str, tuple[int, int]]:
    return {name: (p.bytes_out + p.bytes_in, p.messages) for name, p in world.processes.items()}


def _busiest(
    before: dict[str, tuple[int, int]], after: dict[str, tuple[int, int]], first: str, seconds: float
) -> tuple[float, float]:
    """Bytes and messages a second of the busiest process whose name begins so."""
    spent = [
        (after[name][0] - before[name][0], after[name][1] - before[name][1])
        for name in after
        if name.startswith(first)
    ]
    return max(b for b, _ in spent) / seconds, max(m for _, m in spent) / seconds


def _schedule(world: RolloutWorld, seed: int, restarts: bool) -> Changes:
    chance = random.Random(f"{seed} changes")
    changes = Changes(world)
    at = 0.0
    while (at := at + chance.expovariate(CHANGES_PER_S) * 1000) < MEASURED_MS:
        world.later(at, changes.order)
    pace = RESTART_PACE * PLANNED.restarts_per_s * len(world.directors) / PLANNED.directors
    at = 0.0
    while restarts and (at := at + chance.expovariate(pace) * 1000) < MEASURED_MS:
        name = chance.choice(world.directors)
        world.later(at, lambda name=name: _restart(changes, name))  # type: ignore[misc]
    return changes


def _restart(changes: Changes, name: str) -> None:
    changes.started_at[name] = changes.world.now + DOWN_MS
    changes.world.restart(name, DOWN_MS)


def under_restarts(size: int, seed: int) -> list[Figure]:
    """Changes at the planned mean while directors restart at 20 times an ordinary day's pace."""
    return _measured(size, seed, "under restarts", lambda changes: None)


def zone_lost(size: int, seed: int) -> list[Figure]:
    """The same while all directors and relays of a zone are lost at once, and come back together."""
    return _measured(size, seed, "a zone lost and back", _lose_zone)


def _lose_zone(changes: Changes) -> None:
    world = changes.world
    lost = [name for name in world.of_zone(ZONES - 1) if name not in world.members]

    def end() -> None:
        for name in lost:
            world.kill(name)

    def begin() -> None:
        for name in lost:
            changes.started_at[name] = world.now
            world.start(name)

    world.later(ZONE_LOST_AT_MS, end)
    world.later(ZONE_BACK_AT_MS, begin)


def _measured(size: int, seed: int, words: str, trouble) -> list[Figure]:  # type: ignore[no-untyped-def]
    world = make_world(size, seed)
    quiet = _traffic(world)
    world.run(10_000.0)
    idle_bytes, _ = _busiest(quiet, _traffic(world), "d", 10.0)
    before = _traffic(world)
    changes = _schedule(world, seed, restarts=True)
    trouble(changes)
    world.run(MEASURED_MS)
    after = _traffic(world)
    world.run(IN_FORCE_WITHIN_MS)
    seconds = MEASURED_MS / 1000
    times = changes.times_s()
    faults = settle(world)
    figures = [
        Figure(f"changes, {words}", "1", float(len(times)), 0.0),
        Figure(
            f"longest time until a change is in force at 99%, {words}", "s", max(t for t, _ in times), 0.0
        ),
        Figure(
            f"longest time until a change is in force at all, {words}", "s", max(t for _, t in times), 0.0
        ),
        mean_figure(f"time until a change is in force at all, {words}", "s", [t for _, t in times]),
        Figure(
            f"directors without a change after 12 s, {words}",
            "1",
            float(sum(map(len, changes.late.values()))),
            0.0,
        ),
        Figure(f"faults found by the checker, {words}", "1", float(len(faults)), 0.0),
    ]
    for first, who in (("d", "director"), ("r", "relay"), ("c", "group member")):
        sent, messages = _busiest(before, after, first, seconds)
        figures.append(Figure(f"bytes of the busiest {who}, {words}", "B/s", sent, 0.0))
        figures.append(Figure(f"messages of the busiest {who}, {words}", "1/s", messages, 0.0))
    if words == "under restarts":
        figures.append(Figure("bytes of the busiest director, no changes", "B/s", idle_bytes, 0.0))
    return figures


# ---- One part by itself, in this process ------------------------------------------------------------------
def filled_log(titles: int, changes: int = 0) -> ConfigLog:
    """A log that begins at a content of so many titles, with changes after it."""
    log = ConfigLog()
    log.restore(1, {f"titles/t{number}": title_value(number) for number in range(titles)}, {})
    for number in range(changes):
        change = Change({f"titles/t{number % titles}": title_value(number + 1)})
        version = log.head + 1
        digest = log.content.digest_after(change)
        log.append(Entry(version, "c0", f"q{number}", change, released=version, digest=digest))
    return log


def next_change(log: ConfigLog, titles: int) -> bytes:
    """One more released change of the log, as a relay tells it to a director."""
    version = log.head + 1
    change = Change({f"titles/t{version % titles}": title_value(version)})
    digest = log.content.digest_after(change)
    log.append(Entry(version, "c0", f"q{version}", change, released=version, digest=digest))
    return msgspec.json.encode(Steps(log.head, log.steps(version - 1, version)))


def director_content(titles: int, seed: int) -> list[Figure]:
    """A director's memory, and its processor for one change, from a relay's bytes to its next watch's."""
    del seed
    values = {f"titles/t{number}": title_value(number) for number in range(titles)}
    _, memory = memory_of(lambda: Content({"".join(key): "".join(value) for key, value in values.items()}))
    log = filled_log(titles)
    made = Agent("d0", 1, ("r0",), 1, lambda change: None, log.head, Content(log.content.values))
    asks = [action.watch_id for action in made.start() if isinstance(action, agent.SendWatch)]

    def take(body: bytes) -> None:
        for action in made.handle(agent.WatchAnswered(asks.pop(), _decode_answer(body))):
            if isinstance(action, agent.SendWatch):
                asks.append(action.watch_id)
                msgspec.json.encode(action.watch)

    bodies = iter([next_change(log, titles) for _ in range(REPEATS + 1)])
    return [
        Figure("memory of the content at a director", "B", float(memory), 0.0),
        mean_figure(
            "processor of a change at a director", "s", processor_of(lambda: take(next(bodies)), REPEATS)
        ),
    ]


def relay_fan_out(directors: int, seed: int) -> list[Figure]:
    """A relay's processor for one released change: reading its directors' watches, and answering them all."""
    del seed
    log = filled_log(1_000)
    source = hub.WatchHub(log)

    def watch_all() -> None:
        for number in range(directors):
            body = msgspec.json.encode(DirectorWatch(f"d{number}", 1, log.head))
            source.handle(0.0, hub.WatchReceived(number, _decode_watch(body)))

    def one_change() -> None:
        next_change(log, 1_000)
        for reply in source.handle(0.0, hub.LogChanged()):
            msgspec.json.encode(reply.response)
        watch_all()

    watch_all()
    return [mean_figure("processor of a change at a relay", "s", processor_of(one_change, REPEATS))]


def server_memory(titles: int, seed: int) -> list[Figure]:
    """A control server's log: contents at three versions, and as many entries as it keeps."""
    del seed
    _, memory = memory_of(lambda: filled_log(titles, 16_384))
    return [Figure("memory of the log at a control server", "B", float(memory), 0.0)]
