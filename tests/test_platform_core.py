"""Sessions in the platform's core, without sockets.

Guards against a request with no or two answers, against entries that outlive their session, and against
servers that are identified by address instead of their number.
"""

from __future__ import annotations

import heapq
import json
import random
import time
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
from foxlift.platform.used_tags import MAX_TAGS, RETENTION_MS, UsedTags
from foxlift.standins.platform import finish_line, rtsp_answer, rtsp_request, start_line

SERVERS = {11: 0, 12: 1, 13: 2, 14: 3}  # id: cell
MAX_PROCESSOR_S = 120.0  # of a test, as long as others may take by the clock


class World:
    """A core with its clock, timers and sent messages."""

    def __init__(
        self, servers: dict[int, int] | None = None, make: type[Director] = Director, **settings: Any
    ) -> None:
        servers = SERVERS if servers is None else servers
        members = [member(n, f"10.0.0.{n}:5060", cell) for n, cell in servers.items()]
        self.config = read(config(members, **settings))
        self.events: list[fl.Event] = []
        self.core = Core(self.config, make, trace=lambda now, event, actions: self.events.append(event))
        self.now = 1_000_000.0
        self.timers: list[tuple[float, int, ev.Event]] = []
        self.timer_count = 0
        self.sent_to_viewers: list[tuple[int, dict[str, Any]]] = []  # connection, message
        self.sent_to_servers: list[tuple[int, int, bytes]] = []  # server, connection, bytes
        self.waiting: list[tuple[int, int]] = []  # set-ups that wait for a connection: number, server
        self.next_conn = 100
        for expected_causes in self.config.known:
            self.handle(ev.ListUpdated(expected_causes))

    def handle(self, event: ev.Event) -> None:
        for action in self.core.handle(self.now, event):
            match action:
                case ev.SendToViewer(conn, data):
                    self.sent_to_viewers.append((conn, json.loads(data)))
                case ev.SendToServer(node, conn, data):
                    self.sent_to_servers.append((node, conn, data))
                case ev.QueueSetup(number, node):
                    self.waiting.append((number, node))
                case ev.CancelSetup(number, node):
                    self.waiting = [w for w in self.waiting if w[0] != number]
                case ev.StartTimer(delay, timer):
                    self.timer_count += 1
                    heapq.heappush(self.timers, (self.now + delay, self.timer_count, timer))

    def connect_waiting(self) -> list[tuple[int, int, bytes]]:
        """Give each waiting set-up a connection. Return server, connection and bytes of each."""
        left = []
        waiting, self.waiting = self.waiting, []
        for number, node in waiting:
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
            self.handle(timer[2])
        self.now = until

    def receive_from_viewer(self, line: bytes, conn: int = 1) -> None:
        message = viewers.read_line(line)
        assert message is not None
        self.handle(ev.ViewerMessageReceived(conn, message))

    def receive_from_server(self, node: int, conn: int, data: bytes) -> None:
        for message in rtsp.MessageReader().feed(data):
            self.handle(ev.ServerMessageReceived(node, conn, message))

    def verbs(self, tag: str) -> list[str]:
        return [message["verb"] for _, message in self.sent_to_viewers if message["tag"] == tag]

    def start_session(self, tag: str, klass: str = "free", conn: int = 1) -> tuple[int, int]:
        """Start a session. Return its server and connection."""
        self.receive_from_viewer(start_line(tag, klass), conn)
        [(node, box_conn, _)] = self.connect_waiting()
        self.receive_from_server(node, box_conn, rtsp_answer(200, tag, b"there\r\n"))
        assert self.verbs(tag) == ["STARTED"]
        return node, box_conn


def name(number: int) -> str:
    return f"{number:016x}"


def confirm_line(tag: str) -> bytes:
    return b'{"opts":{},"tag":"%s","verb":"FINISHED"}\n' % tag.encode()


def test_a_session_from_set_up_to_release() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1), "paid"))
    [(node, conn, data)] = world.connect_waiting()
    assert data.startswith(b"SETUP rtsp://media/00000000000000aa RTSP/1.0\r\n")
    assert b"Call-Kind: paid\r\n" in data and b"Answer-Within: 1000\r\n" in data
    world.now += 40
    world.receive_from_server(node, conn, rtsp_answer(100, name(1)) + rtsp_answer(200, name(1), b"there\r\n"))
    assert world.sent_to_viewers == [
        (1, {"verb": "STARTED", "tag": name(1), "opts": {}, "blob": "there\r\n"})
    ]
    assert [e.elapsed_ms for e in world.events if isinstance(e, fl.Started)] == [40.0]
    note = rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 0.5\r\n")
    world.receive_from_server(node, conn + 9, note)  # a playing session is not bound to a connection
    assert [e for e in world.events if isinstance(e, fl.Note)] == [fl.Note(1, node, fl.NoteKind.LINK, 0.5)]
    world.receive_from_server(
        node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\nLink-State: x0:0.5;z:1\r\n")
    )
    assert world.sent_to_viewers[-1] == (1, {"verb": "FINISH", "tag": name(1), "opts": {}, "rc": 16})
    ended = world.events[-1]
    assert isinstance(ended, fl.Ended) and ended.final and ended.load == fl.Load(link=0.5)
    # sent again on another connection
    world.receive_from_server(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\n"))
    assert len(world.verbs(name(1))) == 2
    world.receive_from_viewer(confirm_line(name(1)))
    sizes = world.core.table_sizes()
    assert sizes.pop("boxes") == sizes.pop("module boxes") == 4 and not any(sizes.values())


def test_an_open_tag_used_on_another_connection_is_rejected_there_and_answered_once_here() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1)), 1)
    world.receive_from_viewer(start_line(name(1), blob="another"), 2)
    assert world.sent_to_viewers == [(2, {"verb": "FINISH", "tag": name(1), "opts": {}, "rc": 96})]
    [(node, conn, _)] = world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert world.sent_to_viewers[-1][0] == 1 and world.sent_to_viewers[-1][1]["verb"] == "STARTED"


def test_two_descriptions_under_one_tag_on_a_connection_are_both_rejected() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1)), 1)
    world.receive_from_viewer(start_line(name(1), blob="another"), 1)
    for node, conn, _ in world.connect_waiting():
        world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert world.verbs(name(1)) == ["FINISH"]
    assert not world.core.sessions


@pytest.mark.parametrize(
    ("klass", "more"),
    [
        ("paid", {}),
        ("free", {"title": name(0xB2)}),
        ("free", {"opts": {"left": "900"}}),
        ("free", {"opts": {"extras": "home:1;copies:4;top:3;viewer:00000000b4d65521"}}),
    ],
    ids=["class", "title", "time", "first cell"],
)
def test_two_requests_under_one_tag_are_both_rejected(klass: str, more: dict[str, Any]) -> None:
    """Guards against serving a client whose two requests differ in other fields than the description."""
    world = World()
    world.receive_from_viewer(start_line(name(1), "free"), 1)
    world.receive_from_viewer(start_line(name(1), klass, **more), 1)
    for node, conn, _ in world.connect_waiting():
        world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert [m["rc"] for _, m in world.sent_to_viewers] == [96]
    assert not world.core.sessions


@pytest.mark.parametrize(
    "extras",
    [
        "home:0;copies:60000;top:3",
        "home:0;copies:17;top:3",
        "home:0;copies:0;top:3",
        "home:4;copies:3;top:3",
        "home:0;copies:3;top:250",
        "home:0;copies:3;top:10",
    ],
)
def test_a_set_up_with_a_figure_far_out_of_range_is_rejected(extras: str) -> None:
    """Guards against serving a client whose figures can't be those of this deployment (4 cells, 4 rungs)."""
    world = World()
    world.receive_from_viewer(start_line(name(1), opts={"extras": extras}))
    assert [m["rc"] for _, m in world.sent_to_viewers] == [96]
    assert not world.core.sessions and not any(isinstance(e, fl.Ask) for e in world.events)


@pytest.mark.parametrize("cells", [1, 2, 4, 200])
@pytest.mark.parametrize("rungs", [2, 4, 6])
def test_every_figure_that_the_pages_name_for_usual_viewers_is_accepted(cells: int, rungs: int) -> None:
    """Guards against ranges that refuse usual viewers: few cells, all cells, a short ladder, the example."""
    world = World(
        servers={number: cell % cells for number, cell in SERVERS.items()},
        family_info__cells=cells,
        family_info__ladder_kb=[100.0 * 2**k for k in range(rungs)],
        family_info__ladder_worth=[(k + 1) / rungs for k in range(rungs)],
    )
    most = max(cells, 3)  # "three at least"
    usual = [(0, 1, 0), (cells - 1, most, rungs - 1), (0, most, 4), (0, 3, 9)]
    for number, (home, copies, top) in enumerate(usual):
        world.receive_from_viewer(
            start_line(name(number), opts={"extras": f"home:{home};copies:{copies};top:{top}"})
        )
    assert sum(isinstance(event, fl.Ask) for event in world.events) == len(usual)
    assert 96 not in [m.get("rc") for _, m in world.sent_to_viewers]


def test_a_repeated_set_up_on_a_connection_has_one_answer() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1)))
    world.receive_from_viewer(start_line(name(1)))
    [(node, conn, _)] = world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert world.verbs(name(1)) == ["STARTED"]


@pytest.mark.parametrize(
    "opts", [{"class": "gold"}, {"tenant": "nobody"}, {"left": "-3"}, {"extras": "home:9;copies:1;top:1"}]
)
def test_a_set_up_with_unknown_values_is_rejected_at_once(opts: dict[str, str]) -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1), opts=opts))
    assert [m["rc"] for _, m in world.sent_to_viewers] == [96]
    assert not world.core.sessions and not any(isinstance(e, fl.Ask) for e in world.events)


def test_an_answer_on_another_connection_is_ignored() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1)))
    [(node, conn, _)] = world.connect_waiting()
    other = next(n for n in SERVERS if n != node)
    world.receive_from_server(node, conn + 1, rtsp_answer(200, name(1), b"elsewhere\r\n"))
    world.receive_from_server(other, conn, rtsp_answer(200, name(1), b"elsewhere\r\n"))
    world.receive_from_server(node, conn, rtsp_answer(200, name(2), b"of nobody\r\n"))
    assert world.sent_to_viewers == []
    world.receive_from_server(
        node, conn, rtsp_answer(200, name(1), b"there\r\n") + rtsp_answer(200, name(1), b"again\r\n")
    )
    assert [m.get("blob") for _, m in world.sent_to_viewers] == ["there\r\n"]


@pytest.mark.parametrize("body", [b"", b"\xff\xfe"])
def test_an_answer_without_a_description_fails_the_attempt(body: bytes) -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1), "paid"))
    [(node, conn, _)] = world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(200, name(1), body))
    # it may have run, so it fails and is not refused
    assert [m["rc"] for _, m in world.sent_to_viewers] == [41]
    assert (node, conn) in [(n, c) for n, c, data in world.sent_to_servers if data.startswith(b"TEARDOWN")]


def test_a_time_out_cancels_at_the_server_and_ignores_the_late_answer() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1), "paid", opts={"left": "300"}))
    [(node, conn, _)] = world.connect_waiting()
    world.pass_time(301)
    assert [m["rc"] for _, m in world.sent_to_viewers] == [41]
    assert [(n, c, d.split(b" ")[0]) for n, c, d in world.sent_to_servers] == [(node, conn, b"TEARDOWN")]
    assert b"Reason" not in world.sent_to_servers[0][2]
    world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"late\r\n"))
    assert len(world.sent_to_viewers) == 1 and not world.core.sessions


def test_a_repeatable_set_up_goes_to_another_server_after_a_reset_and_a_paid_one_does_not() -> None:
    for klass, attempts in (("free", 2), ("paid", 1)):
        world = World()
        world.receive_from_viewer(start_line(name(1), klass))
        [(node, conn, _)] = world.connect_waiting()
        world.handle(ev.ServerConnectionLost(node, conn))
        again = world.connect_waiting()
        assert 1 + len(again) == attempts
        assert all(n != node for n, _, _ in again)
        assert not [d for _, _, d in world.sent_to_servers]  # the set-up ended with its connection


def test_a_paid_set_up_that_was_not_sent_goes_to_another_server() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1), "paid"))
    [(number, node)] = world.waiting
    world.handle(ev.SetupNotSent(number, 99))  # another server: of an attempt that has ended
    world.handle(ev.SetupNotSent(number, node))
    world.handle(ev.SetupNotSent(number, node))
    [(other, _, _)] = world.connect_waiting()
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
def test_refusal_statuses_map_to_the_outcomes_of_the_protocol(status: int, outcome: fl.Outcome) -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1), "paid"))
    [(node, conn, _)] = world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(status, name(1), more="Link-State: x0:0.25\r\n"))
    [ended] = [e for e in world.events if isinstance(e, fl.Ended)]
    assert ended.outcome is outcome and ended.load == fl.Load(link=0.25)
    assert bool(world.connect_waiting()) == outcome.proves_unrun


@pytest.mark.parametrize("text", ["x0:-1", "x0:nan", "x0:inf", "x0:", "x9:1", "", "x0", ";;;"])
def test_a_load_report_outside_its_columns_or_range_is_ignored(text: str) -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1)))
    [(node, conn, _)] = world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(500, name(1), more=f"Link-State: {text}\r\n"))
    assert [e.load for e in world.events if isinstance(e, fl.Ended)] == [None]


def test_a_drain_between_placement_and_write_stops_the_set_up() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1), "paid"))
    [(_number, node)] = world.waiting
    info = fl.NodeInfo(node, 0, 0, SERVERS[node], fl.Status.DRAINING, 1.0, 0.0)
    world.handle(ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address(f"10.0.0.{node}", 5060)),))))
    assert node not in [n for _, n in world.waiting]
    [(other, _, _)] = world.connect_waiting()
    assert other != node and not world.sent_to_viewers


def test_a_viewer_that_closes_with_an_open_set_up_leaves_no_entries() -> None:
    world = World()
    world.receive_from_viewer(start_line(name(1)))
    world.receive_from_viewer(start_line(name(2)))
    left = world.connect_waiting()
    world.handle(ev.ViewerDisconnected(1))
    assert [d.split(b" ")[0] for _, _, d in world.sent_to_servers] == [b"TEARDOWN", b"TEARDOWN"]
    for node, conn, _ in left:
        world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"late\r\n"))
    assert world.sent_to_viewers == [] and not world.core.sessions and not world.core.module.sessions


def test_hundreds_of_set_ups_cancelled_at_once() -> None:
    world = World()
    for k in range(400):
        world.receive_from_viewer(start_line(name(k)))
    world.connect_waiting()
    for k in range(400):
        world.receive_from_viewer(finish_line(name(k)))
    assert {message["verb"] for _, message in world.sent_to_viewers} == {"FINISHED"}
    assert not world.core.sessions and not world.core.module.sessions and world.core.unanswered == 0


def test_a_viewer_ends_its_session_on_another_connection_and_twice() -> None:
    world = World()
    node, conn = world.start_session(name(1))
    world.receive_from_viewer(finish_line(name(1), 34), 2)
    world.receive_from_viewer(finish_line(name(1), 34), 3)
    world.receive_from_viewer(finish_line(name(9), 34), 3)  # of an unknown tag
    released = [d for n, c, d in world.sent_to_servers if (n, c) == (node, conn)]
    assert len(released) == 1 and b"Reason: cause=" in released[0]
    # both at the same time
    world.receive_from_server(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=31\r\n"))
    assert world.verbs(name(1)) == ["STARTED", "FINISHED", "FINISHED"]
    assert not world.core.sessions


def test_a_release_written_as_its_connection_closed_is_sent_again_elsewhere() -> None:
    world = World()
    for k in (1, 2):
        node, conn = world.start_session(name(k), conn=5)
        world.receive_from_server(node, conn, rtsp_request("TEARDOWN", name(k), "Reason: cause=16\r\n"))
    world.start_session(name(3), conn=6)
    world.receive_from_viewer(confirm_line(name(1)), 5)
    world.receive_from_viewer(confirm_line(name(1)), 5)
    world.receive_from_viewer(confirm_line(name(9)), 6)
    world.sent_to_viewers.clear()
    world.handle(ev.ViewerDisconnected(5))
    assert world.sent_to_viewers == [(6, {"verb": "FINISH", "tag": name(2), "opts": {}, "rc": 16})]
    world.receive_from_viewer(confirm_line(name(2)), 6)
    assert world.core.table_sizes()["releases"] == 0


def test_the_server_gets_the_cause_with_which_a_viewer_ends_its_session() -> None:
    world = World()
    world.start_session(name(1))
    world.receive_from_viewer(finish_line(name(1), 77), 2)
    assert [b"\r\nReason: cause=77\r\n" in data for _, _, data in world.sent_to_servers] == [True]


def test_the_same_set_up_on_a_new_connection_after_the_first_closed_unsent_is_answered() -> None:
    """A set-up that crosses the close of its connection is sent again by its client."""
    world = World()
    world.receive_from_viewer(start_line(name(1)), 1)
    world.handle(ev.ViewerDisconnected(1))
    world.waiting.clear()
    world.receive_from_viewer(start_line(name(1)), 2)
    [(node, conn, _)] = world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert [(conn, m["verb"]) for conn, m in world.sent_to_viewers] == [(2, "STARTED")]


@pytest.mark.parametrize("klass", ["paid", "free"])
def test_the_same_set_up_on_a_new_connection_after_the_first_was_sent_runs_once(klass: str) -> None:
    """Guards against a set-up that runs twice: of the first one, nothing is known."""
    world = World()
    world.receive_from_viewer(start_line(name(1), klass), 1)
    [(node, conn, _)] = world.connect_waiting()
    world.handle(ev.ViewerDisconnected(1))
    world.receive_from_viewer(start_line(name(1), klass), 2)
    assert not world.connect_waiting()
    world.receive_from_server(node, conn, rtsp_answer(200, name(1), b"there\r\n"))
    assert [(conn, m["verb"], m["rc"]) for conn, m in world.sent_to_viewers] == [(2, "FINISH", 96)]


def test_a_tag_is_not_used_again_after_its_session_has_ended() -> None:
    world = World()
    world.start_session(name(1), "paid")
    world.pass_time(RETENTION_MS)
    world.receive_from_viewer(finish_line(name(1)))
    world.pass_time(RETENTION_MS)
    world.receive_from_viewer(start_line(name(1), "paid"))
    assert not world.connect_waiting() and world.verbs(name(1)) == ["STARTED", "FINISHED", "FINISH"]
    world.pass_time(1.0)
    world.receive_from_viewer(start_line(name(1), "paid"))
    assert world.connect_waiting()


def test_the_tags_that_were_used_are_bounded_in_number_and_time() -> None:
    used = UsedTags()
    for k in range(2 * MAX_TAGS):
        used.add(k / 1000, name(k))
    assert len(used) == MAX_TAGS and not used.contains(20.0, name(0))
    assert used.contains(20.0, name(2 * MAX_TAGS - 1))
    assert not used.contains(RETENTION_MS + 20.0, name(2 * MAX_TAGS - 1))


def test_hundreds_of_set_ups_repeated_as_soon_as_they_are_refused_have_one_answer_each() -> None:
    world = World(servers={})
    tags = [name(k) for k in range(300)]
    for round_ in range(4):
        for tag in tags:
            world.receive_from_viewer(start_line(tag, "free" if round_ % 2 else "paid"))
        world.pass_time(1500)
        assert sorted(m["tag"] for _, m in world.sent_to_viewers) == tags
        assert {(m["verb"], m["rc"]) for _, m in world.sent_to_viewers} == {("FINISH", 34)}
        world.sent_to_viewers.clear()
    assert not world.core.sessions and not world.core.module.held


def test_handovers_beyond_the_limit_are_released_at_once() -> None:
    world = World()
    for k in range(4097):
        world.receive_from_viewer(handover_line(name(k), 0x77))
    assert world.verbs(name(4096)) == ["FINISH"] and world.core.table_sizes()["handovers"] == 4096


def test_a_note_on_an_ended_session_is_ignored() -> None:
    world = World()
    node, conn = world.start_session(name(1))
    world.receive_from_server(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=41\r\n"))
    expected_causes = len(world.events)
    world.receive_from_server(
        node, conn, rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 2\r\n")
    )
    for text in (
        "Fail-Word: odd\r\nX-Reading: 2\r\n",
        "Fail-Word: link\r\nX-Reading: nan\r\n",
        "Fail-Word: rung\r\nX-Reading: 40\r\n",
    ):
        other = world.start_session(name(2 + len(text)))
        expected_causes = len(world.events)
        world.receive_from_server(*other, rtsp_request("ANNOUNCE", name(2 + len(text)), text))
    assert len(world.events) == expected_causes


def test_a_move_notifies_both_sides_once() -> None:
    class Mover(Director):
        def handle(self, now: float, event: fl.Event) -> list[fl.Action]:
            actions = super().handle(now, event)
            return [*actions, fl.Move(1)] if isinstance(event, fl.Note) else actions

    world = World(make=Mover)
    node, conn = world.start_session(name(1))
    world.receive_from_server(
        node, conn, rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 0.5\r\n")
    )
    assert world.verbs(name(1)) == ["STARTED", "MOVE"]
    assert [d.split(b" ")[0] for _, _, d in world.sent_to_servers] == [b"REDIRECT"]
    world.receive_from_server(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=31\r\n"))
    assert world.verbs(name(1)) == ["STARTED", "MOVE"] and not world.core.sessions


def test_a_lost_server_releases_its_own_sessions_only() -> None:
    world = World()
    places = {name(k): world.start_session(name(k))[0] for k in range(1, 9)}
    node = places[name(1)]
    world.handle(ev.ServerLost(node, "silent"))
    gone = {tag for tag, at in places.items() if at == node}
    assert {m["tag"] for _, m in world.sent_to_viewers if m["verb"] == "FINISH"} == gone
    assert len(world.core.sessions) == 8 - len(gone)


def test_a_restarted_server_has_lost_its_earlier_sessions() -> None:
    world = World()
    node, _ = world.start_session(name(1))
    info = fl.NodeInfo(node, 0, 0, SERVERS[node], fl.Status.READY, 1.0, world.now + 10)
    world.now += 500
    world.handle(ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address(f"10.0.0.{node}", 5060)),))))
    assert world.verbs(name(1)) == ["STARTED", "FINISH"]


def test_a_new_server_at_an_address_removes_the_former_one() -> None:
    world = World()
    gone: list[int] = []
    info = fl.NodeInfo(99, 0, 0, 0, fl.Status.READY, 1.0, 0.0)
    for action in world.core.handle(
        world.now, ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address("10.0.0.11", 5060)),)))
    ):
        if isinstance(action, ev.RemoveServer):
            gone.append(action.node)
    assert gone == [11]


def handover_line(tag: str, node: int) -> bytes:
    return start_line(tag, opts={"extras": f"home:0;copies:4;top:3;viewer:1;at:s-{node:08x}"})


def test_handovers_before_the_list_repeated_and_for_a_known_session() -> None:
    world = World()
    node, _ = world.start_session(name(1))
    world.receive_from_viewer(handover_line(name(1), node))  # known already
    world.receive_from_viewer(handover_line(name(2), 12))
    world.receive_from_viewer(handover_line(name(2), 12))
    world.receive_from_viewer(handover_line(name(3), 77))  # not on the list yet
    world.receive_from_viewer(handover_line(name(3), 77))
    world.receive_from_viewer(handover_line(name(4), 78))  # never on the list
    assert [e.ask.session for e in world.events if isinstance(e, fl.Resumed)] == [2]
    info = fl.NodeInfo(77, 0, 0, 1, fl.Status.READY, 1.0, 0.0)
    world.handle(ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address("10.0.0.77", 5060)),))))
    assert [e.node for e in world.events if isinstance(e, fl.Resumed)] == [12, 77]
    world.pass_time(4000)
    assert world.verbs(name(4)) == ["FINISH"]  # a session that cannot be handed over is released
    world.receive_from_server(77, 5, rtsp_request("TEARDOWN", name(3), "Reason: cause=16\r\n"))
    assert world.verbs(name(3)) == ["FINISH"]
    assert len(world.core.sessions) == 2


ONE_SEAT: dict[str, Any] = {"family_info__licence_cap": [1, 1]}


def test_a_session_handed_over_before_its_list_takes_its_seat() -> None:
    """With one seat for the title, no set-up may go out while the session plays at an unlisted server."""
    world = World(**ONE_SEAT)
    world.receive_from_viewer(handover_line(name(1), 77))
    world.receive_from_viewer(start_line(name(2)))
    assert not world.connect_waiting()
    info = fl.NodeInfo(77, 0, 0, 1, fl.Status.READY, 1.0, 0.0)
    world.handle(ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address("10.0.0.77", 5060)),))))
    world.receive_from_viewer(start_line(name(3)))
    assert not world.connect_waiting()  # nor when it is listed, as the session plays on
    world.pass_time(1000)
    world.receive_from_server(77, 5, rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\n"))
    world.receive_from_viewer(start_line(name(4)))
    assert len(world.connect_waiting()) == 1


def test_the_seat_of_a_handover_whose_server_is_never_listed_is_free_again() -> None:
    world = World(**ONE_SEAT)
    world.receive_from_viewer(handover_line(name(1), 78))
    world.pass_time(4000)
    assert world.verbs(name(1)) == ["FINISH"] and not world.core.module.seats
    world.receive_from_viewer(start_line(name(2)))
    assert len(world.connect_waiting()) == 1


def test_a_test_succeeds_only_after_a_full_list() -> None:
    world = World()
    echo = b'{"verb":"ECHO","tag":"%s","opts":{},"rc":0}\n' % name(1).encode()
    world.receive_from_viewer(echo)
    world.core.list_received = False
    world.receive_from_viewer(echo)
    assert [m["rc"] for _, m in world.sent_to_viewers] == [1, 0]


def test_a_refusal_by_the_module_carries_its_wait_time() -> None:
    world = World(servers={})
    world.receive_from_viewer(start_line(name(1)))
    world.pass_time(400)
    [(conn, message)] = world.sent_to_viewers
    assert (conn, message["verb"], message["rc"], message["opts"]) == (1, "FINISH", 34, {"wait": "500"})


def test_the_time_already_waited_is_subtracted() -> None:
    world = World()
    message = viewers.read_line(start_line(name(1), "paid"))
    assert message is not None
    world.handle(ev.ViewerMessageReceived(1, message, waited_ms=300.0))
    [(_, _, data)] = world.connect_waiting()
    assert b"Answer-Within: 700\r\n" in data


@pytest.mark.timeout(600)
def test_table_sizes_depend_on_live_sessions_only_over_a_hundred_thousand_sessions() -> None:
    """Tags, connections and servers are always new, sessions end in every way, and no entry remains.

    Its limit is in processor time: how long that takes by the clock is up to what else the machine does.
    """
    began_s = time.process_time()
    world = World()
    chance = random.Random(7)
    live: list[tuple[str, int, int]] = []
    servers = dict(SERVERS)
    addresses = {n: Address(f"10.0.0.{n}", 5060) for n in servers}
    number = 2
    most = 0
    for k in range(1, 100_001):
        tag = name(k)
        world.now += 11.0
        world.events.clear()
        world.sent_to_viewers.clear()
        world.sent_to_servers.clear()
        world.receive_from_viewer(start_line(tag, "paid" if k % 3 else "free"), k)
        left = world.connect_waiting()
        way = chance.random()
        for node, conn, _ in left:
            if way < 0.8:
                world.receive_from_server(node, conn, rtsp_answer(200, tag, b"there\r\n"))
                live.append((tag, node, conn))
            elif way < 0.85:
                world.receive_from_server(node, conn, rtsp_answer(500, tag))
            elif way < 0.9:
                world.handle(ev.ServerConnectionLost(node, conn))
            elif way < 0.95:
                world.receive_from_viewer(finish_line(tag), k)
        for conn, message in world.sent_to_viewers:
            if message["verb"] == "FINISH":
                world.receive_from_viewer(confirm_line(message["tag"]), conn)
        world.handle(ev.ViewerDisconnected(k))
        while len(live) > 40:
            tag, node, conn = live.pop(chance.randrange(len(live)))
            if chance.random() < 0.9:
                world.receive_from_server(node, conn, rtsp_request("TEARDOWN", tag, "Reason: cause=16\r\n"))
            else:
                world.receive_from_viewer(finish_line(tag, 16), 1_000_000)
        if k % 500 == 0:  # a server is replaced by one with a new number, sometimes at the same address
            number += 1
            old = min(servers)
            cell, new = servers.pop(old), 100 + k
            servers[new] = cell
            gone = fl.NodeInfo(old, 0, 0, cell, fl.Status.GONE, 1.0, 0.0)
            fresh = fl.NodeInfo(new, 0, 0, cell, fl.Status.READY, 1.0, 0.0)
            if k % 1000 == 0:
                addresses[new] = addresses.pop(old)
            else:
                addresses[new] = Address(f"10.9.{k % 251}.{k // 500}", 5060)
            address = addresses[new]
            world.handle(
                ev.ListUpdated(
                    ListUpdate(number, False, (ListedServer(gone, address), ListedServer(fresh, address)))
                )
            )
            for tag, node, conn in [entry for entry in live if entry[1] == old]:
                world.receive_from_server(node, conn, rtsp_request("TEARDOWN", tag, "Reason: cause=41\r\n"))
            live = [entry for entry in live if entry[1] != old]
            world.pass_time(2000)
        sizes = world.core.table_sizes()
        most = max(most, *(size for table, size in sizes.items()))
    assert most < 400
    world.pass_time(5000)
    for tag, node, conn in live:
        world.receive_from_server(node, conn, rtsp_request("TEARDOWN", tag, "Reason: cause=16\r\n"))
    world.pass_time(9000)  # no viewer is connected for the last releases: they are kept for RETENTION_MS
    world.receive_from_viewer(start_line(name(0)))
    world.receive_from_viewer(finish_line(name(0)))
    sizes = world.core.table_sizes()
    assert sizes.pop("boxes") == sizes.pop("module boxes") == 4
    assert not any(sizes.values()), sizes
    assert not world.core._playing and not world.core.module.held and not world.core.module.seats
    assert time.process_time() - began_s < MAX_PROCESSOR_S


def test_servers_of_the_configured_list_are_as_warm_as_their_start_times_say() -> None:
    """The configuration holds the list up to the start; treated as old, it made all servers cold for 12 s."""
    for started, expected in ((0.0, 6), (999_000.0, 1)):
        world = World(invariants__ramp_time_ms=12000.0)
        listed = tuple(
            ListedServer(
                replace(server.info, started_ms=started, status=status),
                server.address,
            )
            for server, status in zip(
                world.config.known[0].servers, [fl.Status.READY] + [fl.Status.GONE] * 3, strict=True
            )
        )
        world.handle(ev.ListUpdated(ListUpdate(2, False, listed)))
        for k in range(6):
            world.receive_from_viewer(start_line(name(k)))
        assert len(world.connect_waiting()) == expected
