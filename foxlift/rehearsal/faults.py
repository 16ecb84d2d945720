"""Faults of a rehearsal: effect of a step on a link, faults drawn from a seed, reduction of a failing script.

Faults apply to links between directors, boxes and the list, never to those of players. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import msgspec

from foxlift.rehearsal.scenario import LINK_FAULTS, Scenario, Step
from foxlift.standins import link_direction

Selection = tuple[int, ...]  # numbers of steps
MIN_DURATION_S, MAX_DURATION_S = 0.3, 4.0  # of a drawn fault
KINDS = ("kill", "stall", "die", *LINK_FAULTS)


def conditions_of(step: Step) -> link_direction.LinkConditions:
    """The conditions of a direction during the step; without a fault if the step acts only once."""
    match step.do:
        case "cut":
            return link_direction.LinkConditions(link_direction.LinkState.CUT)
        case "hold":
            return link_direction.LinkConditions(link_direction.LinkState.HELD)
        case "delay":
            return link_direction.LinkConditions(delay_s=step.value)
        case "slow":
            return link_direction.LinkConditions(rate=max(step.value, 1.0))
        case "break":
            return link_direction.LinkConditions(break_after=int(step.value))
    return link_direction.LinkConditions()


def draw_faults(scenario: Scenario, seed: int, count: int) -> tuple[Step, ...]:
    """Draw `count` faults within the middle of the day, each ended before the day is; the same for a seed.

    No director and no box has two faults of its own at a time, and at least one director has none: the days
    are for combinations of faults, not for a fleet that is down.
    """
    rng = random.Random(f"faults {scenario.name} {seed}")
    busy: list[tuple[float, float, str]] = []
    steps: list[Step] = []
    draws = 0
    while len(steps) < count and draws < 50 * count:
        draws += 1
        step = _draw(scenario, rng)
        until = step.at_s + step.for_s
        target = step.on if step.do in ("kill", "stall", "die") else ""
        overlapping = [name for begin, end, name in busy if begin < until + 1.0 and step.at_s < end + 1.0]
        down = {name for name in overlapping if name.startswith("d")}
        if target in overlapping or (target.startswith("d") and len(down) + 2 > scenario.directors):
            continue
        if target:
            busy.append((step.at_s, until, target))
        steps.append(step)
    return tuple(sorted(steps, key=lambda step: step.at_s))


def _draw(scenario: Scenario, rng: random.Random) -> Step:
    do = rng.choice(KINDS)
    duration_s = round(rng.uniform(MIN_DURATION_S, min(MAX_DURATION_S, scenario.seconds / 4)), 2)
    at = round(rng.uniform(scenario.seconds * 0.1, scenario.seconds * 0.85 - duration_s), 2)
    director, box = f"d{rng.randrange(scenario.directors)}", f"b{rng.randrange(scenario.boxes)}"
    if do in ("kill", "stall"):
        return Step(at, do, director, for_s=duration_s)  # type: ignore[arg-type]
    if do == "die":
        return Step(at, "die", box, for_s=duration_s)
    others = [f"d{k}" for k in range(scenario.directors) if f"d{k}" != director] if scenario.takeover else []
    ends = [box, box, "list", "boxes", *(["directors", rng.choice(others)] if others else [])]
    end = "list" if do == "refuse" else rng.choice(ends)
    link = f"{director}{rng.choice('-<>')}{end}"
    value = {"delay": rng.choice([0.1, 0.5, 2.0]), "slow": 2000.0, "break": float(rng.randrange(400))}
    return Step(at, do, link, value.get(do, 1.0), duration_s)  # type: ignore[arg-type]


async def shrink(steps: Selection, breaks: Callable[[Selection], Awaitable[bool]], most: int) -> Selection:
    """A smaller script that still fails: delta debugging (Zeller 1999).

    At most `most` scripts are played. The result has been seen to fail, or is `steps`.
    """
    chunk_count, played = 2, 0
    while len(steps) >= 2 and played < most:
        size = -(-len(steps) // chunk_count)
        chunks = [steps[k : k + size] for k in range(0, len(steps), size)]
        for k, _ in enumerate(chunks):
            rest = tuple(step for j, chunk in enumerate(chunks) if j != k for step in chunk)
            if played >= most:
                return steps
            played += 1
            if rest and await breaks(rest):
                steps, chunk_count = rest, max(chunk_count - 1, 2)
                break
        else:
            if size == 1:
                return steps
            chunk_count = min(chunk_count * 2, len(steps))
    return steps


def with_faults(scenario: Scenario, seed: int, count: int, only: Selection | None = None) -> Scenario:
    """The day with drawn faults in place of its script; `only`: with these of them, counted from 0.

    Raises ValueError if `only` has a number that none of them has.
    """
    steps = draw_faults(scenario, seed, count)
    if only is not None:
        if not all(0 <= number < len(steps) for number in only):
            raise ValueError(f"there are faults 0 to {len(steps) - 1}")
        steps = tuple(steps[number] for number in sorted(set(only)))
    return msgspec.structs.replace(scenario, steps=steps)
