"""Draws a day's viewers from its seed before it begins, so that no answer changes who requests what."""

from __future__ import annotations

import random
from bisect import bisect
from itertools import accumulate

from foxlift.rehearsal.files import zone_of
from foxlift.rehearsal.scenario import Scenario
from foxlift.standins.viewer import Viewer, ViewerAction


def draw_viewers(scenario: Scenario, seed: int) -> list[tuple[Viewer, int]]:
    """All viewers of the day in order of arrival, each with the director that it requests first."""
    rng = random.Random(f"viewers {seed}")
    zipf = list(accumulate(1 / (k + 1) ** 0.8 for k in range(scenario.titles)))
    arrivals: list[tuple[float, int]] = []
    for _ in range(scenario.viewers):
        title = bisect(zipf, rng.random() * zipf[-1])
        arrivals.append((rng.random() * scenario.seconds * 0.9, title))
    for step in scenario.steps:
        if step.do == "crowd":
            title = int(step.on[1:])
            arrivals += [
                (step.at_s + rng.random() * max(step.for_s, 0.1), title) for _ in range(int(step.value))
            ]
    return [_viewer(scenario, rng, k, at, title) for k, (at, title) in enumerate(sorted(arrivals))]


def _viewer(scenario: Scenario, rng: random.Random, number: int, at: float, title: int) -> tuple[Viewer, int]:
    class_mix = rng.choices(scenario.classes, [c.part for c in scenario.classes])[0]
    tenant = rng.choices(scenario.tenants, [t.part for t in scenario.tenants])[0]
    small = rng.random() < 0.25
    length = rng.uniform(*class_mix.length_s)
    # a seed of its own: the viewers are the same with and without habits
    habits_rng = random.Random(f"habits {number} {at}")
    actions = [
        ViewerAction(
            habits_rng.uniform(0.1, 0.7) * length, habit.do, habits_rng.uniform(0.3, 1.0) * habit.value
        )
        for habit in scenario.habits
        if habits_rng.random() < habit.part
    ]
    viewer = Viewer(
        name=f"v{number}",
        klass=class_mix.terms.name,
        tenant=tenant.name,
        title=f"t{title}",
        paid=class_mix.terms.repeat != "free",
        wanted_ms=class_mix.terms.wanted_ms,
        deadline_ms=class_mix.terms.deadline_ms,
        worth=class_mix.terms.worth,
        best=max(class_mix.terms.top - 1 if small else class_mix.terms.top, class_mix.terms.floor),
        length_s=length,
        at_s=at,
        actions=tuple(sorted(actions, key=lambda act: act.at_s)),
    )
    first = rng.randrange(scenario.directors)
    if scenario.at_home:
        zone = habits_rng.choice(scenario.zones)
        first = habits_rng.choice(
            [k for k in range(scenario.directors) if zone_of(scenario, k) == zone] or [first]
        )
    return viewer, first
