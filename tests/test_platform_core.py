"""The platform's sessions without sockets: one answer each, nothing kept that is over, boxes by their ids."""

from __future__ import annotations

import heapq
import json
import random
from dataclasses import replace
from typing import Any

import pytest
from platform_world import config, member

from foxlift import interface as fl
from foxlift.logic import Director
from foxlift.platform import events as ev
from foxlift.platform import rtsp, viewers
from foxlift.platform.core import Core
from foxlift.platform.settings import Address, ListedServer, ListUpdate, read
from foxlift.standins.platform import finish_line, rtsp_answer, rtsp_request, start_line

BOXES = {11: 0, 12: 1, 13: 2, 14: 3}  # id: cell


class World:
    """A core, its clock and timers, and what it sent."""

    def __init__(
        self, boxes: dict[int, int] | None = None, make: type[Director] = Director, **settings: Any
    ) -> None:
        boxes = BOXES if boxes is None else boxes
        members = [member(n, f"10.0.0.{n}:5060", cell) for n, cell in boxes.items()]
        self.config = read(config(members, **settings))
        self.events: list[fl.Event] = []
        self.core = Core(self.config, make, trace=lambda now, event, actions: self.events.append(event))
        self.now = 1_000_000.0
        self.timers: list[tuple[float, int, ev.Event]] = []
        self.order = 0
        self.sent: list[tuple[int, dict[str, Any]]] = []  # to viewers: connection, message
        self.boxed: list[tuple[int, int, bytes]] = []  # to boxes: box, connection, bytes
        self.wanted: list[tuple[int, int]] = []  # set-ups that wait for a connection
        self.next_conn = 100
        for told in self.config.known:
            self.tell(ev.ListUpdated(told))

    def tell(self, event: ev.Event) -> None:
        for action in self.core.handle(self.now, event):
            match action:
                case ev.SendToViewer(conn, data):
                    self.sent.append((conn, json.loads(data)))
                case ev.SendToServer(node, conn, data):
                    self.boxed.append((node, conn, data))
                case ev.QueueSetup(number, node):
                    self.wanted.append((number, node))
                case ev.CancelSetup(number, node):
                    self.wanted = [w for w in self.wanted if w[0] != number]
                case ev.StartTimer(delay, timer):
                    self.order += 1
                    heapq.heappush(self.timers, (self.now + delay, self.order, timer))

    def leave(self) -> list[tuple[int, int, bytes]]:
        """Give each waiting set-up a connection: box, connection, bytes."""
        left = []
        wanted, self.wanted = self.wanted, []
        for number, node in wanted:
            self.next_conn += 1
            data = self.core.take_setup(self.now, number, node, self.next_conn)
            if data is not None:
                left.append((node, self.next_conn, data))
        return left

    def pass_time(self, ms: float) -> None:
        until = self.now + ms
        while self.timers and self.timers[0][0] <= until:
            timer = heapq.heappop(self.timers)
            self.now = max(self.now, timer[0])
            self.tell(timer[2])
        self.now = until

    def viewer(self, line: bytes, conn: int = 1) -> None:
        message = viewers.read_line(line)
        assert message is not None
        self.tell(ev.ViewerMessageReceived(conn, message))

    def box(self, node: int, conn: int, data: bytes) -> None:
        for message in rtsp.MessageReader().feed(data):
            self.tell(ev.ServerMessageReceived(node, conn, message))

    def verbs(self, tag: str) -> list[str]:
        return [message["verb"] for _, message in self.sent if message["tag"] == tag]

    def stand(self, tag: str, klass: str = "free", conn: int = 1) -> tuple[int, int]:
        """A session that stands: its box and connection."""
        self.viewer(start_line(tag, klass), conn)
        [(node, box_conn, _)] = self.leave()
        self.box(node, box_conn, rtsp_answer(200, tag, b"there\r\n"))
        assert self.verbs(tag) == ["STARTED"]
        return node, box_conn


def name(number: int) -> str:
    return f"{number:016x}"


def heard_line(tag: str) -> bytes:
    return b'{"opts":{},"tag":"%s","verb":"FINISHED"}\n' % tag.encode()


def test_a_session_from_set_up_to_release() -> None:
    world = World()
    world.viewer(start_line(name(1), "paid"))
    [(node, conn, data)] = world.leave()
    assert data.startswith(b"SETUP rtsp://media/00000000000000aa RTSP/1.0\r\n")
    assert b"Call-Kind: paid\r\n" in data and b"Answer-Within: 1000\r\n" in data
    world.now += 40
    world.box(node, conn, rtsp_answer(100, name(1)) + rtsp_answer(200, name(1), b"there\r\n"))
    assert world.sent == [(1, {"verb": "STARTED", "tag": name(1), "opts": {}, "blob": "there\r\n"})]
    assert [e.elapsed_ms for e in world.events if isinstance(e, fl.Started)] == [40.0]
    note = rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 0.5\r\n")
    world.box(node, conn + 9, note)  # a session that stands belongs to no connection
    assert [e for e in world.events if isinstance(e, fl.Note)] == [fl.Note(1, node, fl.NoteKind.LINK, 0.5)]
    world.box(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\nLink-State: x0:0.5;z:1\r\n"))
    assert world.sent[-1] == (1, {"verb": "FINISH", "tag": name(1), "opts": {}, "rc": 16})
    ended = world.events[-1]
    assert isinstance(ended, fl.Ended) and ended.final and ended.load == fl.Load(link=0.5)
    world.box(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\n"))  # told again elsewhere
    assert len(world.verbs(name(1))) == 2
    world.viewer(heard_line(name(1)))
    sizes = world.core.table_sizes()
    assert sizes.pop("boxes") == sizes.pop("module boxes") == 4 and not any(sizes.values())


def test_the_id_of_an_open_request_keeps_its_one_answer_against_another_connection() -> None:
    world = World()
    world.viewer(start_line(name(1)), 1)
    world.viewer(start_line(name(1), blob="another"), 2)
    assert world.sent == [(2, {"verb": "FINISH", "tag": name(1), "opts": {}, "rc": 96})]
    [(node, conn, _)] = world.leave()
    world.box(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert world.sent[-1][0] == 1 and world.sent[-1][1]["verb"] == "STARTED"


def test_one_connection_with_two_descriptions_under_one_id_is_never_served() -> None:
    world = World()
    world.viewer(start_line(name(1)), 1)
    world.viewer(start_line(name(1), blob="another"), 1)
    for node, conn, _ in world.leave():
        world.box(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert world.verbs(name(1)) == ["FINISH"]
    assert not world.core.sessions


def test_the_same_set_up_twice_on_a_connection_has_one_answer() -> None:
    world = World()
    world.viewer(start_line(name(1)))
    world.viewer(start_line(name(1)))
    [(node, conn, _)] = world.leave()
    world.box(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert world.verbs(name(1)) == ["STARTED"]


@pytest.mark.parametrize(
    "opts", [{"class": "gold"}, {"tenant": "nobody"}, {"left": "-3"}, {"extras": "home:9;copies:1;top:1"}]
)
def test_what_does_not_exist_is_answered_at_once_and_not_decided(opts: dict[str, str]) -> None:
    world = World()
    world.viewer(start_line(name(1), opts=opts))
    assert [m["rc"] for _, m in world.sent] == [96]
    assert not world.core.sessions and not any(isinstance(e, fl.Ask) for e in world.events)


def test_an_answer_counts_on_its_own_connection_only() -> None:
    world = World()
    world.viewer(start_line(name(1)))
    [(node, conn, _)] = world.leave()
    other = next(n for n in BOXES if n != node)
    world.box(node, conn + 1, rtsp_answer(200, name(1), b"elsewhere\r\n"))
    world.box(other, conn, rtsp_answer(200, name(1), b"elsewhere\r\n"))
    world.box(node, conn, rtsp_answer(200, name(2), b"of nobody\r\n"))
    assert world.sent == []
    world.box(node, conn, rtsp_answer(200, name(1), b"there\r\n") + rtsp_answer(200, name(1), b"again\r\n"))
    assert [m.get("blob") for _, m in world.sent] == ["there\r\n"]


@pytest.mark.parametrize("body", [b"", b"\xff\xfe"])
def test_an_answer_without_a_description_is_none(body: bytes) -> None:
    world = World()
    world.viewer(start_line(name(1), "paid"))
    [(node, conn, _)] = world.leave()
    world.box(node, conn, rtsp_answer(200, name(1), body))
    assert [m["rc"] for _, m in world.sent] == [41]  # it may have run: failed, never refused
    assert (node, conn) in [(n, c) for n, c, data in world.boxed if data.startswith(b"TEARDOWN")]


def test_a_time_out_gives_up_at_the_box_and_swallows_the_late_answer() -> None:
    world = World()
    world.viewer(start_line(name(1), "paid", opts={"left": "300"}))
    [(node, conn, _)] = world.leave()
    world.pass_time(301)
    assert [m["rc"] for _, m in world.sent] == [41]
    assert [(n, c, d.split(b" ")[0]) for n, c, d in world.boxed] == [(node, conn, b"TEARDOWN")]
    assert b"Reason" not in world.boxed[0][2]
    world.box(node, conn, rtsp_answer(200, name(1), b"late\r\n"))
    assert len(world.sent) == 1 and not world.core.sessions


def test_a_repeatable_set_up_goes_to_another_box_after_a_reset_and_a_paid_one_does_not() -> None:
    for klass, attempts in (("free", 2), ("paid", 1)):
        world = World()
        world.viewer(start_line(name(1), klass))
        [(node, conn, _)] = world.leave()
        world.tell(ev.ServerConnectionLost(node, conn))
        again = world.leave()
        assert 1 + len(again) == attempts
        assert all(n != node for n, _, _ in again)
        assert not [d for _, _, d in world.boxed]  # the connection took the set-up with it


def test_a_paid_set_up_that_never_left_goes_to_another_box() -> None:
    world = World()
    world.viewer(start_line(name(1), "paid"))
    [(number, node)] = world.wanted
    world.tell(ev.SetupNotSent(number, 99))  # of another box: of an attempt that is over
    world.tell(ev.SetupNotSent(number, node))
    world.tell(ev.SetupNotSent(number, node))
    [(other, _, _)] = world.leave()
    assert other != node
    failed = [e for e in world.events if isinstance(e, fl.Ended)]
    assert [e.outcome for e in failed] == [fl.Outcome.CONNECT_FAILED]


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (453, fl.Outcome.FULL),
        (454, fl.Outcome.NEVER_SENT),
        (500, fl.Outcome.ERROR),
        (504, fl.Outcome.RESET),
        (404, fl.Outcome.ERROR),
        (302, fl.Outcome.ERROR),
    ],
)
def test_refusals_mean_what_the_protocol_says(status: int, outcome: fl.Outcome) -> None:
    world = World()
    world.viewer(start_line(name(1), "paid"))
    [(node, conn, _)] = world.leave()
    world.box(node, conn, rtsp_answer(status, name(1), more="Link-State: x0:0.25\r\n"))
    [ended] = [e for e in world.events if isinstance(e, fl.Ended)]
    assert ended.outcome is outcome and ended.load == fl.Load(link=0.25)
    assert bool(world.leave()) == outcome.proves_unrun


@pytest.mark.parametrize("text", ["x0:-1", "x0:nan", "x0:inf", "x0:", "x9:1", "", "x0", ";;;"])
def test_a_report_outside_its_columns_or_range_is_none(text: str) -> None:
    world = World()
    world.viewer(start_line(name(1)))
    [(node, conn, _)] = world.leave()
    world.box(node, conn, rtsp_answer(500, name(1), more=f"Link-State: {text}\r\n"))
    assert [e.load for e in world.events if isinstance(e, fl.Ended)] == [None]


def test_a_drain_heard_between_choice_and_write_stops_the_set_up() -> None:
    world = World()
    world.viewer(start_line(name(1), "paid"))
    [(_number, node)] = world.wanted
    info = fl.NodeInfo(node, 0, 0, BOXES[node], fl.Status.DRAINING, 1.0, 0.0)
    world.tell(ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address(f"10.0.0.{node}", 5060)),))))
    assert node not in [n for _, n in world.wanted]
    [(other, _, _)] = world.leave()
    assert other != node and not world.sent


def test_a_viewer_that_closes_with_a_set_up_out_leaves_nothing() -> None:
    world = World()
    world.viewer(start_line(name(1)))
    world.viewer(start_line(name(2)))
    left = world.leave()
    world.tell(ev.ViewerDisconnected(1))
    assert [d.split(b" ")[0] for _, _, d in world.boxed] == [b"TEARDOWN", b"TEARDOWN"]
    for node, conn, _ in left:
        world.box(node, conn, rtsp_answer(200, name(1), b"late\r\n"))
    assert world.sent == [] and not world.core.sessions and not world.core.module.sessions


def test_hundreds_of_set_ups_taken_back_at_once() -> None:
    world = World()
    for k in range(400):
        world.viewer(start_line(name(k)))
    world.leave()
    for k in range(400):
        world.viewer(finish_line(name(k)))
    assert {message["verb"] for _, message in world.sent} == {"FINISHED"}
    assert not world.core.sessions and not world.core.module.sessions and world.core.unanswered == 0


def test_a_release_by_the_viewer_on_another_connection_and_twice() -> None:
    world = World()
    node, conn = world.stand(name(1))
    world.viewer(finish_line(name(1), 34), 2)
    world.viewer(finish_line(name(1), 34), 3)
    world.viewer(finish_line(name(9), 34), 3)  # of an id that nobody knows
    released = [d for n, c, d in world.boxed if (n, c) == (node, conn)]
    assert len(released) == 1 and b"Reason: cause=" in released[0]
    world.box(
        node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=31\r\n")
    )  # both at the same moment
    assert world.verbs(name(1)) == ["STARTED", "FINISHED", "FINISHED"]
    assert not world.core.sessions


def test_a_release_written_as_its_connection_broke_is_told_again_elsewhere() -> None:
    world = World()
    for k in (1, 2):
        node, conn = world.stand(name(k), conn=5)
        world.box(node, conn, rtsp_request("TEARDOWN", name(k), "Reason: cause=16\r\n"))
    world.stand(name(3), conn=6)
    world.viewer(heard_line(name(1)), 5)
    world.viewer(heard_line(name(1)), 5)
    world.viewer(heard_line(name(9)), 6)
    world.sent.clear()
    world.tell(ev.ViewerDisconnected(5))
    assert world.sent == [(6, {"verb": "FINISH", "tag": name(2), "opts": {}, "rc": 16})]
    world.viewer(heard_line(name(2)), 6)
    assert world.core.table_sizes()["releases"] == 0


def test_the_box_is_told_the_cause_for_which_a_viewer_ends_its_session() -> None:
    world = World()
    world.stand(name(1))
    world.viewer(finish_line(name(1), 77), 2)
    assert [b"\r\nReason: cause=77\r\n" in data for _, _, data in world.boxed] == [True]


def test_the_same_set_up_on_a_new_connection_after_the_first_closed_has_its_answer() -> None:
    world = World()
    world.viewer(start_line(name(1)), 1)
    world.leave()
    world.tell(ev.ViewerDisconnected(1))
    world.viewer(start_line(name(1)), 2)
    [(node, conn, _)] = world.leave()
    world.box(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert [(conn, m["verb"]) for conn, m in world.sent] == [(2, "STARTED")]


def test_hundreds_at_once_and_again_the_moment_they_are_refused_have_one_answer_each() -> None:
    world = World(boxes={})
    tags = [name(k) for k in range(300)]
    for round_ in range(4):
        for tag in tags:
            world.viewer(start_line(tag, "free" if round_ % 2 else "paid"))
        world.pass_time(1500)
        assert sorted(m["tag"] for _, m in world.sent) == tags
        assert {(m["verb"], m["rc"]) for _, m in world.sent} == {("FINISH", 34)}
        world.sent.clear()
    assert not world.core.sessions and not world.core.module.held


def test_more_handed_over_than_there_is_room_for_is_told_so_at_once() -> None:
    world = World()
    for k in range(4097):
        world.viewer(at_line(name(k), 0x77))
    assert world.verbs(name(4096)) == ["FINISH"] and world.core.table_sizes()["handovers"] == 4096


def test_a_note_on_a_session_just_ended_is_passed_over() -> None:
    world = World()
    node, conn = world.stand(name(1))
    world.box(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=41\r\n"))
    told = len(world.events)
    world.box(node, conn, rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 2\r\n"))
    for text in (
        "Fail-Word: odd\r\nX-Reading: 2\r\n",
        "Fail-Word: link\r\nX-Reading: nan\r\n",
        "Fail-Word: rung\r\nX-Reading: 40\r\n",
    ):
        other = world.stand(name(2 + len(text)))
        told = len(world.events)
        world.box(*other, rtsp_request("ANNOUNCE", name(2 + len(text)), text))
    assert len(world.events) == told


def test_a_move_tells_both_sides_and_owes_nothing_more() -> None:
    class Mover(Director):
        def handle(self, now: float, event: fl.Event) -> list[fl.Action]:
            actions = super().handle(now, event)
            return [*actions, fl.Move(1)] if isinstance(event, fl.Note) else actions

    world = World(make=Mover)
    node, conn = world.stand(name(1))
    world.box(node, conn, rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 0.5\r\n"))
    assert world.verbs(name(1)) == ["STARTED", "MOVE"]
    assert [d.split(b" ")[0] for _, _, d in world.boxed] == [b"REDIRECT"]
    world.box(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=31\r\n"))
    assert world.verbs(name(1)) == ["STARTED", "MOVE"] and not world.core.sessions


def test_a_lost_box_releases_what_played_there_and_nothing_else() -> None:
    world = World()
    places = {name(k): world.stand(name(k))[0] for k in range(1, 9)}
    node = places[name(1)]
    world.tell(ev.ServerLost(node, "silent"))
    gone = {tag for tag, at in places.items() if at == node}
    assert {m["tag"] for _, m in world.sent if m["verb"] == "FINISH"} == gone
    assert len(world.core.sessions) == 8 - len(gone)


def test_a_box_that_started_anew_has_lost_what_stood_before() -> None:
    world = World()
    node, _ = world.stand(name(1))
    info = fl.NodeInfo(node, 0, 0, BOXES[node], fl.Status.READY, 1.0, world.now + 10)
    world.now += 500
    world.tell(ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address(f"10.0.0.{node}", 5060)),))))
    assert world.verbs(name(1)) == ["STARTED", "FINISH"]


def test_a_new_id_on_an_old_address_closes_the_old_box() -> None:
    world = World()
    gone: list[int] = []
    info = fl.NodeInfo(99, 0, 0, 0, fl.Status.READY, 1.0, 0.0)
    for action in world.core.handle(
        world.now, ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address("10.0.0.11", 5060)),)))
    ):
        if isinstance(action, ev.RemoveServer):
            gone.append(action.node)
    assert gone == [11]


def at_line(tag: str, node: int) -> bytes:
    return start_line(tag, opts={"extras": f"home:0;copies:4;top:3;viewer:1;at:s-{node:08x}"})


def test_handed_over_sessions_before_the_list_twice_and_for_what_is_held() -> None:
    world = World()
    node, _ = world.stand(name(1))
    world.viewer(at_line(name(1), node))  # held already
    world.viewer(at_line(name(2), 12))
    world.viewer(at_line(name(2), 12))
    world.viewer(at_line(name(3), 77))  # not on the list yet
    world.viewer(at_line(name(3), 77))
    world.viewer(at_line(name(4), 78))  # never on it
    assert [e.ask.session for e in world.events if isinstance(e, fl.Resumed)] == [2]
    info = fl.NodeInfo(77, 0, 0, 1, fl.Status.READY, 1.0, 0.0)
    world.tell(ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address("10.0.0.77", 5060)),))))
    assert [e.node for e in world.events if isinstance(e, fl.Resumed)] == [12, 77]
    world.pass_time(4000)
    assert world.verbs(name(4)) == ["FINISH"]  # what nobody can follow is over, and its viewer hears so
    world.box(77, 5, rtsp_request("TEARDOWN", name(3), "Reason: cause=16\r\n"))
    assert world.verbs(name(3)) == ["FINISH"]
    assert len(world.core.sessions) == 2


def test_a_test_is_passed_only_with_a_whole_list() -> None:
    world = World()
    echo = b'{"verb":"ECHO","tag":"%s","opts":{},"rc":0}\n' % name(1).encode()
    world.viewer(echo)
    world.core.list_received = False
    world.viewer(echo)
    assert [m["rc"] for _, m in world.sent] == [1, 0]


def test_refused_at_once_with_a_time_to_come_back_when_the_module_gives_up() -> None:
    world = World(boxes={})
    world.viewer(start_line(name(1)))
    world.pass_time(400)
    [(conn, message)] = world.sent
    assert (conn, message["verb"], message["rc"], message["opts"]) == (1, "FINISH", 34, {"wait": "500"})


def test_the_time_already_waited_is_taken_off() -> None:
    world = World()
    message = viewers.read_line(start_line(name(1), "paid"))
    assert message is not None
    world.tell(ev.ViewerMessageReceived(1, message, waited_ms=300.0))
    [(_, _, data)] = world.leave()
    assert b"Answer-Within: 700\r\n" in data


def test_tables_are_bounded_by_what_is_live_over_a_hundred_thousand_sessions() -> None:
    """Ids, connections and boxes are always new; every end is met; nothing stays."""
    world = World()
    chance = random.Random(7)
    live: list[tuple[str, int, int]] = []
    boxes = dict(BOXES)
    addresses = {n: Address(f"10.0.0.{n}", 5060) for n in boxes}
    number = 2
    most = 0
    for k in range(1, 100_001):
        tag = name(k)
        world.now += 11.0
        world.events.clear()
        world.sent.clear()
        world.boxed.clear()
        world.viewer(start_line(tag, "paid" if k % 3 else "free"), k)
        left = world.leave()
        way = chance.random()
        for node, conn, _ in left:
            if way < 0.8:
                world.box(node, conn, rtsp_answer(200, tag, b"there\r\n"))
                live.append((tag, node, conn))
            elif way < 0.85:
                world.box(node, conn, rtsp_answer(500, tag))
            elif way < 0.9:
                world.tell(ev.ServerConnectionLost(node, conn))
            elif way < 0.95:
                world.viewer(finish_line(tag), k)
        for conn, message in world.sent:
            if message["verb"] == "FINISH":
                world.viewer(heard_line(message["tag"]), conn)
        world.tell(ev.ViewerDisconnected(k))
        while len(live) > 40:
            tag, node, conn = live.pop(chance.randrange(len(live)))
            if chance.random() < 0.9:
                world.box(node, conn, rtsp_request("TEARDOWN", tag, "Reason: cause=16\r\n"))
            else:
                world.viewer(finish_line(tag, 16), 1_000_000)
        if k % 500 == 0:  # a box is replaced under a new id, now and then at the same address
            number += 1
            old = min(boxes)
            cell, new = boxes.pop(old), 100 + k
            boxes[new] = cell
            gone = fl.NodeInfo(old, 0, 0, cell, fl.Status.GONE, 1.0, 0.0)
            fresh = fl.NodeInfo(new, 0, 0, cell, fl.Status.READY, 1.0, 0.0)
            if k % 1000 == 0:
                addresses[new] = addresses.pop(old)
            else:
                addresses[new] = Address(f"10.9.{k % 251}.{k // 500}", 5060)
            address = addresses[new]
            world.tell(
                ev.ListUpdated(
                    ListUpdate(number, False, (ListedServer(gone, address), ListedServer(fresh, address)))
                )
            )
            for tag, node, conn in [entry for entry in live if entry[1] == old]:
                world.box(node, conn, rtsp_request("TEARDOWN", tag, "Reason: cause=41\r\n"))
            live = [entry for entry in live if entry[1] != old]
            world.pass_time(2000)
        sizes = world.core.table_sizes()
        most = max(most, *(size for table, size in sizes.items()))
    assert most < 400
    world.pass_time(5000)
    for tag, node, conn in live:
        world.box(node, conn, rtsp_request("TEARDOWN", tag, "Reason: cause=16\r\n"))
    world.pass_time(
        9000
    )  # no viewer is there to hear of the last ends: they are kept as long as they are owed
    world.viewer(start_line(name(0)))
    world.viewer(finish_line(name(0)))
    sizes = world.core.table_sizes()
    assert sizes.pop("boxes") == sizes.pop("module boxes") == 4
    assert not any(sizes.values()), sizes
    assert not world.core._playing and not world.core.module.held and not world.core.module.seats


def test_boxes_of_the_configuration_s_list_are_as_warm_as_it_says() -> None:
    """It holds what was told until the start; taken for an old one, it had all boxes cold for 12 s."""
    for started, expected in ((0.0, 6), (999_000.0, 1)):
        world = World(invariants__ramp_time_ms=12000.0)
        boxes = tuple(
            ListedServer(replace(box.info, started_ms=started, status=status), box.address)
            for box, status in zip(
                world.config.known[0].servers, [fl.Status.READY] + [fl.Status.GONE] * 3, strict=True
            )
        )
        world.tell(ev.ListUpdated(ListUpdate(2, False, boxes)))
        for k in range(6):
            world.viewer(start_line(name(k)))
        assert len(world.leave()) == expected
