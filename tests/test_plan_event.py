"""The plan's one event: the order of holders with it, and nothing at all without it."""

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
    made = director(0)
    made.handle(0.0, full(*(zoned(node, node % 3) for node in range(12))))
    return made


def placed(made: Director, count: int, begin: int = 0) -> Counter[int]:
    """Zones of so many sessions, each set up and over at once."""
    zones: Counter[int] = Counter()
    for k in range(begin, begin + count):
        (sent,) = only(made.handle(1.0 + k, ask(k)), fl.SetUp)
        zones[made.nodes[sent.node].info.zone] += 1
        made.handle(1.0 + k, fl.Ended(k, sent.node, 0, fl.Outcome.OK, True, 5.0))
    return zones


def test_sessions_go_where_the_shares_say_and_back_when_the_plan_is_over() -> None:
    made = three_zones()
    made.handle(0.5, fl.ZoneShares((0.0, 0.75, 0.25)))
    zones = placed(made, 400)
    assert zones[0] == 0 and 250 < zones[1] < 350 and 50 < zones[2] < 150
    made.handle(500.0, fl.ZoneShares())
    assert all(count > 80 for count in placed(made, 400, 1000).values())


def test_the_only_holders_of_a_title_serve_it_though_the_plan_sends_nobody_there() -> None:
    made = director(0)
    made.handle(0.0, full(*(zoned(node, 0) for node in range(4))))
    made.handle(0.5, fl.ZoneShares((0.0, 1.0)))
    assert placed(made, 10) == {0: 10}


def test_a_zone_without_room_is_passed_over_for_the_next() -> None:
    made = three_zones()
    made.handle(0.5, fl.ZoneShares((0.0, 1.0, 0.0)))
    for node in range(12):
        if node % 3 == 1:
            made.handle(0.6, delta(zoned(node, 1, fl.Status.DRAINING)))
    zones = placed(made, 50)
    assert zones[1] == 0 and sum(zones.values()) == 50


@pytest.mark.parametrize("shares", [(math.nan, 1.0), (-1.0, 2.0), (math.inf,), (0.0, 0.0)])
def test_shares_that_make_no_sense_are_no_plan(shares: tuple[float, ...]) -> None:
    made = three_zones()
    made.handle(0.5, fl.ZoneShares(shares))
    assert made.zone_shares == ()


@pytest.mark.parametrize("seed", range(20))
def test_without_a_plan_every_decision_is_the_same(seed: int) -> None:
    """Storms of events at two modules: one is told of plans that are over, the other of nothing."""
    chance = random.Random(seed)
    plain, told = director(8), director(8)
    told.handle(0.1, fl.ZoneShares((1.0,)))
    told.handle(0.2, fl.ZoneShares())
    now, out = 1.0, dict[int, tuple[int, int]]()
    for number in range(400):
        now += chance.expovariate(1 / 20)
        event: fl.Event
        if out and chance.random() < 0.5:
            session, (node, attempt) = chance.choice(list(out.items()))
            outcome = chance.choice(list(fl.Outcome))
            events: list[fl.Event] = [
                fl.Started(session, node, attempt, 40.0),
                fl.Ended(session, node, attempt, outcome, chance.random() < 0.3, 40.0),
                fl.Note(session, node, chance.choice(list(fl.NoteKind)), chance.random()),
            ]
            event = chance.choice(events)
            if isinstance(event, fl.Ended):
                del out[session]
        elif chance.random() < 0.1:
            event = delta(info(chance.randrange(8), chance.choice(list(fl.Status))))
        elif chance.random() < 0.1:
            event = fl.Wake(0)
        else:
            event = ask(number, chance.choice([FREE, ONCE]))
        actions = plain.handle(now, event)
        assert told.handle(now, event) == actions
        told.handle(now, fl.ZoneShares())
        for action in only(actions, fl.SetUp):
            out[action.session] = action.node, plain.sessions[action.session].attempts - 1
