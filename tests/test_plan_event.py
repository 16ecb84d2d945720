"""ZoneShares, the event of the zone plan: it orders holders by zone; without a plan it changes nothing."""

from __future__ import annotations

import math
import random
from collections import Counter

import pytest
from fleet import FREE, ONCE, ask, delta, director, full, info, only

from foxlift import interface as fl
from foxlift.logic import Director


def zoned(node: int, zone: int, status: fl.Status = fl.Status.READY) -> fl.NodeInfo:
    return fl.NodeInfo(node, zone, 0, node % 4, status, 1.0, 0.0)


def three_zones() -> Director:
    module = director(0)
    module.handle(0.0, full(*(zoned(node, node % 3) for node in range(12))))
    return module


def placed(module: Director, count: int, first: int = 0) -> Counter[int]:
    """Count by zone where sessions are placed; each is set up and ends at once."""
    zones: Counter[int] = Counter()
    for k in range(first, first + count):
        (sent,) = only(module.handle(1.0 + k, ask(k)), fl.SetUp)
        zones[module.nodes[sent.node].info.zone] += 1
        module.handle(1.0 + k, fl.Ended(k, sent.node, 0, fl.Outcome.OK, True, 5.0))
    return zones


def test_sessions_follow_the_shares_until_the_plan_ends() -> None:
    module = three_zones()
    module.handle(0.5, fl.ZoneShares((0.0, 0.75, 0.25)))
    zones = placed(module, 400)
    assert zones[0] == 0 and 250 < zones[1] < 350 and 50 < zones[2] < 150
    module.handle(500.0, fl.ZoneShares())
    assert all(count > 80 for count in placed(module, 400, 1000).values())


def test_the_only_holders_of_a_title_serve_it_although_their_zone_has_no_share() -> None:
    module = director(0)
    module.handle(0.0, full(*(zoned(node, 0) for node in range(4))))
    module.handle(0.5, fl.ZoneShares((0.0, 1.0)))
    assert placed(module, 10) == {0: 10}


def test_a_zone_without_room_is_skipped() -> None:
    module = three_zones()
    module.handle(0.5, fl.ZoneShares((0.0, 1.0, 0.0)))
    for node in range(12):
        if node % 3 == 1:
            module.handle(0.6, delta(zoned(node, 1, fl.Status.DRAINING)))
    zones = placed(module, 50)
    assert zones[1] == 0 and sum(zones.values()) == 50


@pytest.mark.parametrize("shares", [(math.nan, 1.0), (-1.0, 2.0), (math.inf,), (0.0, 0.0)])
def test_invalid_shares_count_as_no_plan(shares: tuple[float, ...]) -> None:
    module = three_zones()
    module.handle(0.5, fl.ZoneShares(shares))
    assert module.zone_shares == ()


@pytest.mark.parametrize("seed", range(20))
def test_without_a_plan_every_decision_is_the_same(seed: int) -> None:
    """Random events for two modules: one also gets plans that have ended, the other gets no plan at all."""
    rng = random.Random(seed)
    without_plans, with_plans = director(8), director(8)
    with_plans.handle(0.1, fl.ZoneShares((1.0,)))
    with_plans.handle(0.2, fl.ZoneShares())
    now, live = 1.0, dict[int, tuple[int, int]]()
    for number in range(400):
        now += rng.expovariate(1 / 20)
        event: fl.Event
        if live and rng.random() < 0.5:
            session, (node, attempt) = rng.choice(list(live.items()))
            outcome = rng.choice(list(fl.Outcome))
            events: list[fl.Event] = [
                fl.Started(session, node, attempt, 40.0),
                fl.Ended(session, node, attempt, outcome, rng.random() < 0.3, 40.0),
                fl.Note(session, node, rng.choice(list(fl.NoteKind)), rng.random()),
            ]
            event = rng.choice(events)
            if isinstance(event, fl.Ended):
                del live[session]
        elif rng.random() < 0.1:
            event = delta(info(rng.randrange(8), rng.choice(list(fl.Status))))
        elif rng.random() < 0.1:
            event = fl.Wake(0)
        else:
            event = ask(number, rng.choice([FREE, ONCE]))
        actions = without_plans.handle(now, event)
        assert with_plans.handle(now, event) == actions
        with_plans.handle(now, fl.ZoneShares())
        for action in only(actions, fl.SetUp):
            live[action.session] = action.node, without_plans.sessions[action.session].attempts - 1
