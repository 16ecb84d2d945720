"""The module under any events that its interface allows: no exception, and no invalid figure in its state.

The failure behind it: a note of 0 delivered left an uplink with a capacity of 0, and every later division by
it raised.
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
INVALID = st.sampled_from([-1.0, math.nan, math.inf])
FIGURES = st.one_of(MEASURES, st.floats(0, 2), INVALID)
MAYBE = st.none() | FIGURES


@st.composite
def worlds(draw: st.DrawFn) -> fl.Settings:
    """Settings at the limits of what both configurations accept."""
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
    """One event of any kind, or a time without events, ms."""
    node, session = draw(st.integers(0, NODES)), draw(st.integers(0, SESSIONS))
    load = st.builds(fl.Load, link=MAYBE, link_up_to_one=MAYBE, uplink=MAYBE, streams=MAYBE)
    request = ask(session, klass=draw(st.integers(0, 1)), holders=draw(st.integers(1, 9)))
    asked = replace(
        request,
        title=draw(st.integers(0, 1)),
        first_cell=draw(st.integers(0, 3)),
        best_rung=draw(st.integers(0, 3)),
        ttl_ms=draw(st.sampled_from([0.0, 1.0, 3000.0])),
        length_ms=draw(st.sampled_from([None, 0.0, 1e-9, 1e12])),
    )
    entry = replace(
        info(node, draw(st.sampled_from(fl.Status))),
        cell=draw(st.integers(0, 3)),
        weight=draw(st.sampled_from([0.0, 1e-300, 1.0, 1e6, math.nan])),
        started_ms=draw(st.sampled_from([0.0, 1.0, 1e15])),
    )
    entries = [info(n) for n in range(draw(st.integers(0, NODES)))]
    event: fl.Event | float = draw(
        st.one_of(
            st.sampled_from([0.0, 1.0, 60.0, 1500.0, 20000.0, 1e9]),
            st.just(asked),
            st.just(fl.Resumed(asked, node)),
            st.builds(fl.Note, st.just(session), st.just(node), st.sampled_from(fl.NoteKind), FIGURES),
            st.builds(fl.Probed, st.just(node), st.sampled_from(fl.Outcome), st.just(1.0), st.none() | load),
            st.builds(fl.NodeList, st.sampled_from(fl.ListKind), st.just((entry, *entries))),
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
    return event


def check_figures(module: Director) -> None:
    """Check every capacity, rate and count that the module divides by or compares with."""
    for node in module.nodes.values():
        for pipe in (node.link, node.rack):
            assert pipe.capacity_kb >= MIN_CAPACITY_KB
            assert math.isfinite(pipe.own_kb) and pipe.own_kb > -1e-3
            assert pipe.reported_use is None or 0 <= pipe.reported_use < math.inf
        assert node.setting_up >= 0 and math.isfinite(node.playing_kb)
    assert 0 <= module.mean_use <= 1 / MIN_SHARE
    assert module.playing >= 0 and math.isfinite(module.playing_kb)
    assert all(count > 0 for count in module.seats.values())
    assert all(0 <= s.rung < len(module.settings.ladder_kb) for s in module.sessions.values())


@settings(max_examples=400)
@given(worlds(), st.lists(events(), max_size=40))
def test_no_event_raises_or_leaves_an_invalid_figure(
    world: fl.Settings, script: list[fl.Event | float]
) -> None:
    module = Director(world, seed=1)
    module.handle(0.0, fl.NodeList(fl.ListKind.FULL, tuple(info(node) for node in range(NODES))))
    now, seen_sessions = 0.0, set()
    for event in script:
        if isinstance(event, float):
            now += event
            event = fl.Wake(0)
        if isinstance(event, fl.Ask | fl.Resumed):
            asked = event if isinstance(event, fl.Ask) else event.ask
            if asked.session in seen_sessions:
                continue  # session numbers are never used twice
            seen_sessions.add(asked.session)
        module.handle(now, event)
        check_figures(module)


def cut_off_rack(share: float) -> Director:
    """Three nodes on one uplink, two sessions on each, and a note of the delivered share for each session."""
    module = director(nodes=3, cells=6, racks=1)
    for session in range(1, 7):
        play(module, 10.0 * session, ask(session, holders=6))
    for name, node in module.nodes.items():
        for session in list(node.sessions):
            module.handle(5000.0, fl.Note(session, name, fl.NoteKind.DELIVERED, share))
    return module


@pytest.mark.parametrize("share", [0.0, 1e-12])
def test_a_rack_that_delivers_nothing_keeps_a_capacity_and_the_next_request_is_answered(share: float) -> None:
    module = cut_off_rack(share)
    rack = module.nodes[0].rack
    assert rack.capacity_kb >= MIN_SHARE * rack.own_kb > MIN_CAPACITY_KB
    actions = module.handle(9000.0, ask(50, holders=6))  # no note since then: the shortage may be over
    assert only(actions, fl.SetUp) or only(actions, fl.SetTimer)


def test_one_invalid_report_does_not_close_every_unreported_link() -> None:
    module = director()
    module.handle(0.0, fl.Probed(0, fl.Outcome.OK, 1.0, fl.Load(link=1e300)))
    for _ in range(40):
        module.handle(1.0, fl.Probed(0, fl.Outcome.OK, 1.0, fl.Load(link=0.3)))
    assert module.mean_use == pytest.approx(0.3, rel=0.5)
