"""Settings, and helpers that build events and read actions, for the tests of the decision module."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from foxlift import interface as fl
from foxlift.logic import Director

FREE, ONCE = 0, 1
CLASSES = (
    fl.SessionClass("free", fl.Repeat.FREE, wanted_ms=1000, deadline_ms=4000, worth=1, top=3),
    fl.SessionClass("once", fl.Repeat.ONCE, 1500, 3000, worth=1, floor=1, top=2, seats=2),
)
SETTINGS = fl.Settings(
    director=0,
    directors=1,
    classes=CLASSES,
    ladder_kb=(100.0, 200.0, 400.0, 800.0),
    ladder_worth=(0.25, 0.5, 0.75, 1.0),
    cells=4,
    racks=2,
    link_kb_per_weight=2000.0,
    kind_slots=(30,),
    answer_slack_ms=40.0,
    cold_from=0.4,
    warm_up_ms=12000.0,
    cold_multiple=2.5,
    cold_window_ms=1500.0,
    uplink_kb=3000.0,
    note_late_ms=700.0,
    report_every_ms=2000.0,
    rung_change_s=0.5,
    tick_ms=10.0,
    max_attempts=5,
    come_back=True,
    come_back_max_ms=500.0,
)


def info(node: int, status: fl.Status = fl.Status.READY, started_ms: float = 0.0) -> fl.NodeInfo:
    return fl.NodeInfo(node, 0, 0, node % 4, status, 1.0, started_ms)


def full(*nodes: fl.NodeInfo) -> fl.NodeList:
    return fl.NodeList(fl.ListKind.FULL, nodes)


def delta(*nodes: fl.NodeInfo) -> fl.NodeList:
    return fl.NodeList(fl.ListKind.DELTA, nodes)


def ask(session: int, klass: int = FREE, **changes: Any) -> fl.Ask:
    default = fl.Ask(session, klass, title=1, first_cell=0, holders=4, best_rung=3, ttl_ms=3000.0)
    return replace(default, **changes)


def director(nodes: int = 4, **changes: Any) -> Director:
    module = Director(replace(SETTINGS, **changes), seed=1)
    module.handle(0.0, full(*(info(node) for node in range(nodes))))
    return module


def only(actions: list[fl.Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


def play(module: Director, now: float, request: fl.Ask) -> tuple[int, int]:
    """Request and start a session. Returns its node and rung."""
    actions = module.handle(now, request)
    (sent,) = only(actions, fl.SetUp)
    module.handle(now, fl.Started(request.session, sent.node, 0, 50.0))
    return sent.node, only(actions, fl.SetRung)[0].rung
