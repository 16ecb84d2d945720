"""The module under any events that its interface allows: no exception, and no figure without sense.

On a day of the whole fleet a note of 0 delivered left an uplink no size, and every later look at it raised.
"""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from fleet import CLASSES, ONCE, SETTINGS, ask, director, info, only, play
from hypothesis import given, settings
from hypothesis import strategies as st

from foxlift import interface as fl
from foxlift.logic import MIN_CAPACITY_KB, MIN_SHARE, Director

NODES, SESSIONS = 6, 8
MEASURES = st.sampled_from([0.0, 1e-300, 0.05, 0.5, 0.97, 1.0, 1.2, 30.0, 1e6, 1e300])
SENSELESS = st.sampled_from([-1.0, math.nan, math.inf])
FIGURES = st.one_of(MEASURES, st.floats(0, 2), SENSELESS)
MAYBE = st.none() | FIGURES


@st.composite
def worlds(draw: st.DrawFn) -> fl.Settings:
    """Settings at the ends of what both configurations let through."""
    small = draw(st.sampled_from([0.0, 1e-6, 1.0]))
    scale = draw(st.sampled_from([0.01, 1.0]))
    klass = replace(CLASSES[ONCE], seats=draw(st.integers(0, 1)), rate_scale=scale)
    return replace(
        SETTINGS,
        director=draw(st.integers(0, 2)),
        directors=draw(st.sampled_from([3, 300])),
        classes=(replace(CLASSES[0], worth=draw(st.sampled_from([0.0, 1.0]))), klass),
        ladder_worth=draw(st.sampled_from([(0.0, 0.0, 0.0, 0.0), (0.25, 0.5, 0.75, 1.0)])),
        racks=draw(st.integers(0, 2)),
        link_kb_per_weight=draw(st.sampled_from([1e-9, 2000.0, 1e9])),
        uplink_kb=draw(st.sampled_from([-1.0, 0.0, 1e-9, 3000.0])),
        kind_slots=(draw(st.integers(1, 30)),),
        warm_up_ms=draw(st.sampled_from([0.0, 12000.0])),
        node_full_from=draw(st.sampled_from([0.0, 0.9])),
        report_every_ms=draw(st.sampled_from([0.0, 2000.0])),
        note_late_ms=small,
        tick_ms=small,
        rung_change_s=draw(st.sampled_from([0.0, 0.5, 1e9])),
        extra_span_ms=draw(st.sampled_from([0.0, 1000.0])),
        extra_free=1.0,
        price_crossing=small,
        come_back_max_ms=small,
        list_by_ask=draw(st.booleans()),
    )


@st.composite
def events(draw: st.DrawFn) -> fl.Event | float:
    """One event of any kind, or how long nothing happens, ms."""
    node, session = draw(st.integers(0, NODES)), draw(st.integers(0, SESSIONS))
    load = st.builds(fl.Load, link=MAYBE, link_up_to_one=MAYBE, uplink=MAYBE, streams=MAYBE)
    plain = ask(session, klass=draw(st.integers(0, 1)), holders=draw(st.integers(1, 9)))
    asked = replace(
        plain,
        title=draw(st.integers(0, 1)),
        first_cell=draw(st.integers(0, 3)),
        best_rung=draw(st.integers(0, 3)),
        ttl_ms=draw(st.sampled_from([0.0, 1.0, 3000.0])),
        length_ms=draw(st.sampled_from([None, 0.0, 1e-9, 1e12])),
    )
    line = replace(
        info(node, draw(st.sampled_from(fl.Status))),
        cell=draw(st.integers(0, 3)),
        weight=draw(st.sampled_from([0.0, 1e-300, 1.0, 1e6, math.nan])),
        started_ms=draw(st.sampled_from([0.0, 1.0, 1e15])),
    )
    lines = [info(n) for n in range(draw(st.integers(0, NODES)))]
    made: fl.Event | float = draw(
        st.one_of(
            st.sampled_from([0.0, 1.0, 60.0, 1500.0, 20000.0, 1e9]),
            st.just(asked),
            st.just(fl.Resumed(asked, node)),
            st.builds(fl.Note, st.just(session), st.just(node), st.sampled_from(fl.NoteKind), FIGURES),
            st.builds(fl.Probed, st.just(node), st.sampled_from(fl.Outcome), st.just(1.0), st.none() | load),
            st.builds(fl.NodeList, st.sampled_from(fl.ListKind), st.just((line, *lines))),
            st.builds(
                fl.Ended,
                st.just(session),
                st.just(node),
                st.integers(0, 2),
                st.sampled_from(fl.Outcome),
                st.booleans(),
                st.just(1.0),
                st.none() | load,
            ),
            st.just(fl.Started(session, node, 0, 1.0)),
            st.just(fl.Withdrawn(session)),
            st.just(fl.Wake(0)),
        )
    )
    return made


def has_sense(made: Director) -> None:
    """Every size, rate and count that others are divided by or compared with."""
    for node in made.nodes.values():
        for pipe in (node.link, node.rack):
            assert pipe.capacity_kb >= MIN_CAPACITY_KB
            assert math.isfinite(pipe.own_kb) and pipe.own_kb > -1e-3
            assert pipe.reported_use is None or 0 <= pipe.reported_use < math.inf
        assert node.setting_up >= 0 and math.isfinite(node.playing_kb)
    assert 0 <= made.mean_use <= 1 / MIN_SHARE
    assert made.playing >= 0 and math.isfinite(made.playing_kb)
    assert all(count > 0 for count in made.seats.values())
    assert all(0 <= s.rung < len(made.settings.ladder_kb) for s in made.sessions.values())


@settings(max_examples=400)
@given(worlds(), st.lists(events(), max_size=40))
def test_no_event_raises_or_leaves_a_figure_without_sense(
    world: fl.Settings, script: list[fl.Event | float]
) -> None:
    made = Director(world, seed=1)
    made.handle(0.0, fl.NodeList(fl.ListKind.FULL, tuple(info(node) for node in range(NODES))))
    now, ever = 0.0, set()
    for event in script:
        if isinstance(event, float):
            now += event
            event = fl.Wake(0)
        if isinstance(event, fl.Ask | fl.Resumed):
            asked = event if isinstance(event, fl.Ask) else event.ask
            if asked.session in ever:
                continue  # a session's number is never given twice
            ever.add(asked.session)
        made.handle(now, event)
        has_sense(made)


def cut_off_rack(share: float) -> Director:
    """Three boxes on one uplink, two sessions on each, and a note of `share` delivered on each session."""
    made = director(nodes=3, cells=6, racks=1)
    for session in range(1, 7):
        play(made, 10.0 * session, ask(session, holders=6))
    for name, node in made.nodes.items():
        for session in list(node.sessions):
            made.handle(5000.0, fl.Note(session, name, fl.NoteKind.DELIVERED, share))
    return made


@pytest.mark.parametrize("share", [0.0, 1e-12])
def test_a_rack_that_delivers_nothing_keeps_a_size_and_the_next_request_its_answer(share: float) -> None:
    made = cut_off_rack(share)
    rack = made.nodes[0].rack
    assert rack.capacity_kb >= MIN_SHARE * rack.own_kb > MIN_CAPACITY_KB
    actions = made.handle(9000.0, ask(50, holders=6))  # no note came since: the shortage is not known to last
    assert only(actions, fl.SetUp) or only(actions, fl.SetTimer)


def test_one_senseless_report_does_not_close_every_unheard_link() -> None:
    made = director()
    made.handle(0.0, fl.Probed(0, fl.Outcome.OK, 1.0, fl.Load(link=1e300)))
    for _ in range(40):
        made.handle(1.0, fl.Probed(0, fl.Outcome.OK, 1.0, fl.Load(link=0.3)))
    assert made.mean_use == pytest.approx(0.3, rel=0.5)
