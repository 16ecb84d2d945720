"""Faults of a rehearsal: what a step does to a link, faults drawn from a seed, the least script that breaks.

Players are no end of a link: faults touch what directors say to boxes and to the list. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import msgspec

from foxlift.rehearsal.scenario import LINK_FAULTS, Scenario, Step
from foxlift.standins import ways

Part = tuple[int, ...]  # of a script, by number
LEAST_S, MOST_S = 0.3, 4.0  # how long a drawn fault lasts
KINDS = ("kill", "stall", "die", *LINK_FAULTS)


def terms_of(step: Step) -> ways.Terms:
    """What a direction does to bytes while the step lasts; as ever for those that act once."""
    match step.do:
        case "cut":
            return ways.Terms(ways.State.CUT)
        case "hold":
            return ways.Terms(ways.State.HELD)
        case "delay":
            return ways.Terms(delay_s=step.value)
        case "slow":
            return ways.Terms(rate=max(step.value, 1.0))
        case "break":
            return ways.Terms(break_after=int(step.value))
    return ways.Terms()


def draw_faults(scenario: Scenario, seed: int, count: int) -> tuple[Step, ...]:
    """So many faults over the middle of the day, each undone before its end; the same ones for a seed.

    No director and no box is struck twice at a time, and one director is left alone at any moment: what
    is to be seen is faults meeting, not a fleet that is not there.
    """
    chance = random.Random(f"faults {scenario.name} {seed}")
    busy: list[tuple[float, float, str]] = []
    steps: list[Step] = []
    tries = 0
    while len(steps) < count and tries < 50 * count:
        tries += 1
        step = _draw(scenario, chance)
        until = step.at_s + step.for_s
        struck = step.on if step.do in ("kill", "stall", "die") else ""
        meets = [name for begin, end, name in busy if begin < until + 1.0 and step.at_s < end + 1.0]
        down = {name for name in meets if name.startswith("d")}
        if struck in meets or (struck.startswith("d") and len(down) + 2 > scenario.directors):
            continue
        if struck:
            busy.append((step.at_s, until, struck))
        steps.append(step)
    return tuple(sorted(steps, key=lambda step: step.at_s))


def _draw(scenario: Scenario, chance: random.Random) -> Step:
    do = chance.choice(KINDS)
    lasts = round(chance.uniform(LEAST_S, min(MOST_S, scenario.seconds / 4)), 2)
    at = round(chance.uniform(scenario.seconds * 0.1, scenario.seconds * 0.85 - lasts), 2)
    director, box = f"d{chance.randrange(scenario.directors)}", f"b{chance.randrange(scenario.boxes)}"
    if do in ("kill", "stall"):
        return Step(at, do, director, for_s=lasts)  # type: ignore[arg-type]
    if do == "die":
        return Step(at, "die", box, for_s=lasts)
    others = [f"d{k}" for k in range(scenario.directors) if f"d{k}" != director] if scenario.takeover else []
    ends = [box, box, "list", "boxes", *(["directors", chance.choice(others)] if others else [])]
    end = "list" if do == "refuse" else chance.choice(ends)
    link = f"{director}{chance.choice('-<>')}{end}"
    value = {"delay": chance.choice([0.1, 0.5, 2.0]), "slow": 2000.0, "break": float(chance.randrange(400))}
    return Step(at, do, link, value.get(do, 1.0), lasts)  # type: ignore[arg-type]


async def shrink(steps: Part, breaks: Callable[[Part], Awaitable[bool]], most: int) -> Part:
    """A smaller script that still breaks, by leaving out ever smaller parts (delta debugging, Zeller 1999).

    `most` bounds how often a script is played. What is given back has been seen to break, or is `steps`.
    """
    parts, played = 2, 0
    while len(steps) >= 2 and played < most:
        size = -(-len(steps) // parts)
        pieces = [steps[k : k + size] for k in range(0, len(steps), size)]
        for k, _ in enumerate(pieces):
            rest = tuple(step for j, piece in enumerate(pieces) if j != k for step in piece)
            if played >= most:
                return steps
            played += 1
            if rest and await breaks(rest):
                steps, parts = rest, max(parts - 1, 2)
                break
        else:
            if size == 1:
                return steps
            parts = min(parts * 2, len(steps))
    return steps


def with_faults(scenario: Scenario, seed: int, count: int, only: Part | None = None) -> Scenario:
    """The day with drawn faults in place of its script, or with some of them, counted from 0.

    Raises ValueError where `only` names none of them.
    """
    steps = draw_faults(scenario, seed, count)
    if only is not None:
        if not all(0 <= number < len(steps) for number in only):
            raise ValueError(f"there are faults 0 to {len(steps) - 1}")
        steps = tuple(steps[number] for number in sorted(set(only)))
    return msgspec.structs.replace(scenario, steps=steps)
