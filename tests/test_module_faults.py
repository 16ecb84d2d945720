"""An exception in the module costs no viewer the answer, in both directors, and later requests are served.

Faults are injected at each kind of event: before the module handles it, after it has (its state then counts
what it decided), and in the middle.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import pytest
from platform_world import config
from sockets import World as Sockets
from sockets import run
from test_platform_core import World, handover_line, name

from foxlift import interface as fl
from foxlift.decide.driver import FAULT_LOG_INTERVAL_MS, Driver
from foxlift.logic import Director, _Pipe, _Session
from foxlift.platform import events as ev
from foxlift.platform.core import FAILED, REFUSED
from foxlift.platform.settings import Address, ListedServer, ListUpdate, read
from foxlift.standins.platform import finish_line, rtsp_answer, rtsp_request, start_line

EVENTS = (fl.NodeList, fl.Ask, fl.Started, fl.Ended, fl.Note, fl.Resumed, fl.Withdrawn, fl.Wake)


class Fault(Exception):
    """The exception that the faulty module raises."""


class Faulty(Director):
    """Raises at the events that `fails` selects: before or after handling them, or at a point within."""

    fails: Callable[[fl.Event], bool] = staticmethod(lambda event: False)
    when = "before"
    event: fl.Event = fl.Wake(0)

    def handle(self, now: float, event: fl.Event) -> list[fl.Action]:
        self.event = event
        if self.when == "before" and self.fails(event):
            raise Fault
        actions = super().handle(now, event)
        if self.when == "after" and self.fails(event):
            raise Fault
        return actions

    def _fail_at(self, where: str) -> None:
        if self.when == where and self.fails(self.event):
            raise Fault

    def _place(self, session: _Session) -> bool:
        self._fail_at("placing")
        return super()._place(session)

    def _assign_rung(self, session: _Session, rung: int) -> None:
        self._fail_at("sending")
        super()._assign_rung(session, rung)

    def _raise_sessions(self, rack: _Pipe) -> None:
        self._fail_at("raising")
        super()._raise_sessions(rack)


def faulty(world: World) -> Faulty:
    module = world.core.module
    assert isinstance(module, Faulty)
    return module


@dataclass
class FailTimes:
    """Selects the first `remaining` events of a kind."""

    kind: type
    remaining: int = 1

    def __call__(self, event: fl.Event) -> bool:
        if not isinstance(event, self.kind) or not self.remaining:
            return False
        self.remaining -= 1
        return True


def answers(world: World, tag: str) -> list[tuple[str, int | None]]:
    """Messages sent to the viewer of a request: verb and code."""
    return [(m["verb"], m.get("rc")) for _, m in world.sent_to_viewers if m["tag"] == tag]


def start_all(world: World) -> None:
    """Answer each set-up with success until no request is unanswered."""
    for _ in range(20):
        for node, conn, data in world.connect_waiting():
            tag = data.split(b"Session: ")[1][:16].decode()
            world.receive_from_server(node, conn, rtsp_answer(200, tag, b"there\r\n"))
        if not world.core.unanswered:
            return
        world.pass_time(100)


def drain(world: World) -> tuple[ListedServer, ...]:
    """All entries of the list, as draining."""
    boxes = world.config.known[0].servers
    return tuple(ListedServer(replace(box.info, status=fl.Status.DRAINING), box.address) for box in boxes)


def check_nothing_is_left(world: World) -> None:
    """End all sessions by their viewers, and check that all tables, seats and rates are empty."""
    for session in list(world.core.sessions.values()):
        world.receive_from_viewer(finish_line(session.tag))
    world.pass_time(10000)
    for conn in range(20):
        world.handle(ev.ViewerDisconnected(conn))
    sizes = world.core.table_sizes()
    del sizes["boxes"], sizes["module boxes"], sizes["ghosts"]
    assert not any(sizes.values()), sizes
    module = world.core.module
    assert not module.seats and not module.held and not module.playing
    for node in module.nodes.values():
        assert not node.setting_up and not node.sessions
        assert abs(node.link.own_kb) < 1e-6 and abs(node.playing_kb) < 1e-6


@pytest.mark.parametrize("klass", ["paid", "free"])
@pytest.mark.parametrize("kind", EVENTS)
@pytest.mark.parametrize("when", ["before", "after"])
def test_each_request_gets_one_answer_whatever_event_the_fault_is_at(
    when: str, kind: type, klass: str
) -> None:
    world = World(make=Faulty)
    module = faulty(world)
    node, conn = world.start_session(name(1), klass)
    module.fails = fails = FailTimes(kind)
    module.when = when
    # in turn: a refusal by a box, a note, a list, a handover, a viewer that leaves, an end, a held request
    world.receive_from_viewer(start_line(name(2), klass))
    for box, out, _ in world.connect_waiting():
        world.receive_from_server(box, out, rtsp_answer(453, name(2), more="Link-State: x0:0.5\r\n"))
    world.receive_from_server(
        node, conn, rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 0.5\r\n")
    )
    lines = [
        ListedServer(box.info, Address("10.0.0.9", 1 + k))
        for k, box in enumerate(world.config.known[0].servers)
    ]
    world.handle(ev.ListUpdated(ListUpdate(2, False, tuple(lines[:2]))))
    world.receive_from_viewer(handover_line(name(3), node), 2)
    world.receive_from_viewer(start_line(name(4), klass))
    world.receive_from_viewer(finish_line(name(4)))
    start_all(world)
    world.pass_time(2000)
    world.receive_from_server(
        node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\nLink-State: x0:0.5\r\n")
    )
    world.receive_from_viewer(start_line(name(5), klass))
    start_all(world)
    world.handle(ev.ListUpdated(ListUpdate(3, False, drain(world))))
    world.receive_from_viewer(start_line(name(7), klass))  # held: all boxes drain
    world.pass_time(100)
    world.handle(ev.ListUpdated(ListUpdate(4, False, world.config.known[0].servers)))
    world.receive_from_viewer(start_line(name(6), klass))
    start_all(world)
    assert not fails.remaining  # the fault occurred
    assert answers(world, name(7)) in ([("STARTED", None)], [("FINISH", REFUSED)])
    assert [a for a in answers(world, name(2)) if a[0] in ("STARTED", "FINISH")] in (
        [("STARTED", None)],
        [("FINISH", REFUSED)],
    )
    assert answers(world, name(1)) == [("STARTED", None), ("FINISH", 16)]
    assert answers(world, name(4)) == [("FINISHED", None)]
    ends = [answers(world, name(n))[:1] for n in (5, 6)]
    assert ends[1] == [("STARTED", None)] and ends[0] in ([("STARTED", None)], [("FINISH", REFUSED)])
    check_nothing_is_left(world)


@pytest.mark.parametrize(("klass", "cause"), [("paid", FAILED), ("free", REFUSED)])
@pytest.mark.parametrize(("when", "times"), [("before", 1), ("before", 9), ("placing", 9)])
def test_a_paid_request_that_may_have_run_fails_and_is_never_refused(
    when: str, times: int, klass: str, cause: int
) -> None:
    world = World(make=Faulty)
    module = faulty(world)
    module.fails, module.when = FailTimes(fl.Ended, times), when
    world.receive_from_viewer(start_line(name(1), klass))
    [(node, conn, _)] = world.connect_waiting()
    world.handle(ev.ServerConnectionLost(node, conn))  # reset under the request
    assert answers(world, name(1)) == [("FINISH", cause)]
    assert not world.connect_waiting()
    if times == 1 or when == "placing":  # a module that raises at every end keeps them in its tables
        check_nothing_is_left(world)


@pytest.mark.parametrize("when", ["placing", "sending"])
def test_a_request_that_the_module_cannot_place_is_refused_at_once_and_keeps_no_seat(when: str) -> None:
    world = World(make=Faulty)
    module = faulty(world)
    module.fails, module.when = lambda event: isinstance(event, fl.Ask), when
    world.receive_from_viewer(start_line(name(1), "paid"))
    assert answers(world, name(1)) == [("FINISH", REFUSED)] and not world.connect_waiting()
    module.when = "never"
    world.receive_from_viewer(start_line(name(2), "paid"))
    start_all(world)
    assert answers(world, name(2)) == [("STARTED", None)]
    check_nothing_is_left(world)


def test_an_end_whose_load_report_raises_is_delivered_without_it() -> None:
    """The failure behind it: a box's load report made the module raise, and the viewer got no answer."""
    world = World(make=Faulty)
    module = faulty(world)
    module.fails, module.when = lambda event: isinstance(event, fl.Ended), "raising"
    world.receive_from_viewer(start_line(name(1), "paid"))
    [(node, conn, _)] = world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(453, name(1), more="Link-State: x0:0.5\r\n"))
    start_all(world)  # tried at the next holder, as without the report
    assert answers(world, name(1)) == [("STARTED", None)]
    assert world.core.counts["exceptions"] == 1
    check_nothing_is_left(world)


def test_held_requests_are_answered_if_their_wake_raises_and_later_ones_still_wake() -> None:
    world = World(make=Faulty)
    module = faulty(world)
    world.handle(ev.ListUpdated(ListUpdate(2, False, drain(world))))
    module.fails = FailTimes(fl.Wake)
    for n in (1, 2):
        world.receive_from_viewer(start_line(name(n), "paid"))
    assert not world.sent_to_viewers
    world.pass_time(60)
    assert [answers(world, name(n)) for n in (1, 2)] == [[("FINISH", REFUSED)]] * 2
    world.receive_from_viewer(start_line(name(3), "free"))
    world.handle(ev.ListUpdated(ListUpdate(3, False, world.config.known[0].servers)))
    world.pass_time(120)
    start_all(world)
    assert answers(world, name(3)) == [("STARTED", None)]
    check_nothing_is_left(world)


def test_one_entry_of_a_list_that_raises_does_not_cost_the_others() -> None:
    world = World(make=Faulty)
    module = faulty(world)
    boxes = world.config.known[0].servers
    bad = boxes[1].info.node
    module.fails = lambda event: (
        isinstance(event, fl.NodeList) and any(line.node == bad for line in event.nodes)
    )
    world.handle(ev.ListUpdated(ListUpdate(2, True, boxes[1:])))
    assert set(module.nodes) == {box.info.node for box in boxes[1:]}
    assert boxes[0].info.node not in module.nodes  # a node missing in a full list is gone


def test_boxes_of_a_cached_list_that_raises_count_as_cold() -> None:
    world = World(make=Faulty)
    module = faulty(world)
    lines = tuple(box.info for box in world.config.known[0].servers)
    module.fails = FailTimes(fl.NodeList)
    world.core._driver.deliver(world.now, fl.NodeList(fl.ListKind.CACHED, lines[1:]))
    assert set(module.nodes) == {line.node for line in lines[1:]}
    assert all(node.cold_since == world.now for node in module.nodes.values())


def test_actions_decided_before_the_fault_are_carried_out_and_no_older_ones_again() -> None:
    done: list[fl.Action] = []
    module = Faulty(read(config([])).module, 1)
    driver = Driver(module, done.append, log_fault=print)
    old: list[fl.Action] = [fl.Log("old")]
    module.actions = old
    module.fails = lambda event: True
    driver.deliver(0, fl.Withdrawn(1))
    assert not done and module.actions is old
    module.when = "after"
    module.handlers[fl.Withdrawn] = lambda event: module.actions.append(fl.Log("new"))
    driver.deliver(1, fl.Withdrawn(1))
    assert done == [fl.Log("new")]


def test_a_set_up_that_could_not_be_carried_out_counts_as_one_that_may_have_run() -> None:
    world = World(make=Faulty)

    def carry_out(action: fl.Action) -> None:
        if isinstance(action, fl.SetUp):
            raise Fault
        world.core._carry_out(action)

    world.core._driver._carry_out = carry_out
    world.receive_from_viewer(start_line(name(1), "paid"))
    world.receive_from_viewer(start_line(name(2), "free"))
    assert answers(world, name(1)) == [("FINISH", FAILED)]
    assert answers(world, name(2)) == [("FINISH", REFUSED)]
    check_nothing_is_left(world)


def test_a_set_up_that_raised_after_sending_is_cancelled_and_not_tried_again() -> None:
    world = World(make=Faulty)

    def carry_out(action: fl.Action) -> None:
        world.core._carry_out(action)
        if isinstance(action, fl.SetUp):
            raise Fault

    world.core._driver._carry_out = carry_out
    world.receive_from_viewer(start_line(name(1), "free"))
    assert answers(world, name(1)) == [("FINISH", REFUSED)]
    assert not world.connect_waiting() and world.core.counts["attempts"] == 1
    assert world.core.counts["exceptions"] == 1
    check_nothing_is_left(world)


def test_an_attempt_that_is_out_keeps_its_request_through_faults() -> None:
    world = World(make=Faulty)
    module = faulty(world)
    module.fails, module.when = FailTimes(fl.Ended), "after"
    world.receive_from_viewer(start_line(name(1), "paid"))
    [(node, conn, _)] = world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(453, name(1), more="Link-State: x0:0.5\r\n"))
    [(node, conn, _)] = world.connect_waiting()  # the module had sent it to another box before it raised
    module.fails, module.when = FailTimes(fl.Wake), "before"
    world.handle(fl.Wake(0))
    world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert answers(world, name(1)) == [("STARTED", None)]
    check_nothing_is_left(world)


def test_a_lasting_fault_is_logged_ten_times_a_second_and_counted() -> None:
    lines: list[str] = []
    module = Faulty(read(config([])).module, 1)
    module.fails = lambda event: True
    driver = Driver(module, lambda action: None, lines.append)
    for ms in range(200):
        driver.deliver(ms, fl.Withdrawn(1))
    assert len(lines) == 200 / FAULT_LOG_INTERVAL_MS
    assert lines[0].startswith("Withdrawn: Fault at test_module_faults.py:")
    assert lines[1].endswith(" 99 more not logged")


@pytest.mark.parametrize("kind", [fl.NodeList, fl.Ask, fl.Started, fl.Ended, fl.Note, fl.Withdrawn, fl.Wake])
@pytest.mark.parametrize("when", ["before", "after"])
def test_each_player_gets_one_answer_over_http_and_the_next_is_served(
    tmp_path: Path, when: str, kind: type
) -> None:
    """The same over HTTP, on sockets."""

    async def test(world: Sockets) -> None:
        module = world.director.core.module
        assert isinstance(module, Faulty)
        module.fails, module.when = FailTimes(kind), when
        statuses = []
        for claim in ("a", "b", "c"):
            reply = await world.manifest(world.token(claim, "graded"))
            statuses.append(reply.status)
        if kind is fl.Withdrawn:
            for box in world.fleet.boxes:
                world.fleet.command("hang", box, True)
            _, writer = await asyncio.open_connection("127.0.0.1", world.port)
            token = world.token("left", "graded")
            writer.write(f"GET /dash/t1/manifest.mpd?token={token} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
            await world.until(lambda: len(world.module_events(fl.Ask)) == 4)
            writer.close()
            await world.until(lambda: world.module_events(fl.Withdrawn))
            for box in world.fleet.boxes:
                world.fleet.command("hang", box, False)
        if kind is fl.Ask:
            assert statuses == [503 if when == "before" else 200, 200, 200]
        else:
            assert statuses == [200, 200, 200]
        last = await world.manifest(world.token("z", "graded"))
        assert last.status == 200 and world.set_ups("z") == 1

    run(tmp_path, test, make=Faulty)


def test_a_paid_attempt_that_may_have_run_fails_over_http_too(tmp_path: Path) -> None:
    async def test(world: Sockets) -> None:
        module: Any = world.director.core.module
        module.fails = lambda event: isinstance(event, fl.Ended)
        for box in world.fleet.boxes:
            world.fleet.command("lose-answers", box, 1.0)
        token = world.token("a", "graded")
        assert (await world.manifest(token)).status in (502, 504)
        for box in world.fleet.boxes:
            world.fleet.command("lose-answers", box, 0.0)
        assert (await world.manifest(token)).status == 502
        assert world.set_ups("a") == 1

    run(tmp_path, test, make=Faulty)
