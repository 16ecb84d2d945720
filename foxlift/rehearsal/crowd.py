"""Who comes when: viewers drawn from the seed before the day begins, so that no answer changes who asks."""

from __future__ import annotations

import random
from bisect import bisect
from itertools import accumulate

from foxlift.rehearsal.files import zone_of
from foxlift.rehearsal.scenario import Scenario
from foxlift.standins.player import Act, Viewer


def draw_viewers(scenario: Scenario, seed: int) -> list[tuple[Viewer, int]]:
    """Every viewer of the day with the director that it comes to first, in order of coming."""
    chance = random.Random(f"viewers {seed}")
    zipf = list(accumulate(1 / (k + 1) ** 0.8 for k in range(scenario.titles)))
    wishes: list[tuple[float, int]] = []
    for _ in range(scenario.viewers):
        title = bisect(zipf, chance.random() * zipf[-1])
        wishes.append((chance.random() * scenario.seconds * 0.9, title))
    for step in scenario.steps:
        if step.do == "crowd":
            title = int(step.on[1:])
            wishes += [
                (step.at_s + chance.random() * max(step.for_s, 0.1), title) for _ in range(int(step.value))
            ]
    return [_viewer(scenario, chance, k, at, title) for k, (at, title) in enumerate(sorted(wishes))]


def _viewer(
    scenario: Scenario, chance: random.Random, number: int, at: float, title: int
) -> tuple[Viewer, int]:
    mix = chance.choices(scenario.classes, [c.part for c in scenario.classes])[0]
    tenant = chance.choices(scenario.tenants, [t.part for t in scenario.tenants])[0]
    small = chance.random() < 0.25
    length = chance.uniform(*mix.length_s)
    # from a seed of its own: a day's viewers are the same with and without habits
    own = random.Random(f"habits {number} {at}")
    acts = [
        Act(own.uniform(0.1, 0.7) * length, habit.do, own.uniform(0.3, 1.0) * habit.value)
        for habit in scenario.habits
        if own.random() < habit.part
    ]
    viewer = Viewer(
        name=f"v{number}",
        klass=mix.terms.name,
        tenant=tenant.name,
        title=f"t{title}",
        paid=mix.terms.repeat != "free",
        wanted_ms=mix.terms.wanted_ms,
        deadline_ms=mix.terms.deadline_ms,
        worth=mix.terms.worth,
        best=max(mix.terms.top - 1 if small else mix.terms.top, mix.terms.floor),
        length_s=length,
        at_s=at,
        acts=tuple(sorted(acts, key=lambda act: act.at_s)),
    )
    first = chance.randrange(scenario.directors)
    if scenario.at_home:
        zone = own.choice(scenario.zones)
        first = own.choice([k for k in range(scenario.directors) if zone_of(scenario, k) == zone] or [first])
    return viewer, first
