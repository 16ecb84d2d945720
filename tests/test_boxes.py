"""The box protocol as the director reads it (load reports, notices, refusals), and the director's
timeline."""

from __future__ import annotations

import asyncio
import heapq
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from foxlift import interface as fl
from foxlift.boxes import (
    BoxNotice,
    Delivered,
    Hello,
    LinkUse,
    NoticeError,
    NoticeReader,
    RungInForce,
    SessionEnded,
    box_outcome,
    read_load,
)
from foxlift.boxes.notices import encode_notice
from foxlift.director.timeline import Timeline


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ('JSON {"named_metrics": {"link": 0.5, "uplink": 0.25}}', fl.Load(link=0.5, uplink=0.25)),
        ('JSON {"cpu_utilization": 0.3, "named_metrics": {"streams": 4, "x": 1}}', fl.Load(streams=4.0)),
        ("TEXT cpu_utilization=0.3, named_metrics.link=0.5,named_metrics.x=y", fl.Load(link=0.5)),
        ('JSON {"named_metrics": {"link": 1e9, "uplink": 0.5}}', fl.Load(uplink=0.5)),
        ("TEXT named_metrics.link=nan", None),
        ("TEXT named_metrics.link=-1", None),
        ("JSON {", None),
        ("BIN abc", None),
        ("", None),
        (None, None),
        ("TEXT " + "x" * 5000, None),
    ],
)
def test_load_reports_are_read_in_json_and_text_form(value: str | None, load: fl.Load | None) -> None:
    assert read_load(value) == load


@given(st.text(max_size=80))
def test_any_load_header_is_read_or_ignored_without_an_error(value: str) -> None:
    for form in ("", "JSON ", "TEXT "):
        found = read_load(form + value)
        assert found is None or found != fl.Load()


NOTICES: list[BoxNotice] = [
    Hello("b#1", 4, ("d-1-0",)),
    Delivered("d-1-0", 0.8),
    LinkUse("d-1-0", 1.2, 0.7),
    RungInForce("d-1-0", 2),
    SessionEnded("d-1-0", "left"),
]


@given(st.lists(st.integers(1, 60), max_size=30))
def test_notices_are_parsed_whole_wherever_the_stream_is_split(cuts: list[int]) -> None:
    data = b": keep-alive\n\n" + b"".join(map(encode_notice, NOTICES)) + b"event: newer\ndata: {}\n\n"
    reader, found = NoticeReader(), []
    for cut in [*cuts, len(data)]:
        found += reader.feed(data[:cut])
        data = data[cut:]
    found += reader.feed(data)
    assert found == NOTICES


@pytest.mark.parametrize(
    "data",
    [
        encode_notice(NOTICES[1]),
        b"event: hello\ndata: {\n\n",
        encode_notice(NOTICES[0]) + b'event: delivered\ndata: {"session": "a", "share": 2}\n\n',
        encode_notice(NOTICES[0]) + b'event: link\ndata: {"session": "a", "link": -1}\n\n',
        b"x" * (2 << 20),
    ],
)
def test_an_invalid_notice_stream_raises_an_error(data: bytes) -> None:
    with pytest.raises(NoticeError):
        NoticeReader().feed(data)


def test_notice_lines_may_end_with_crlf() -> None:
    data = encode_notice(NOTICES[0]).replace(b"\n", b"\r\n")
    assert NoticeReader().feed(data) == [NOTICES[0]]


def test_only_a_boxs_refusal_header_proves_that_nothing_ran() -> None:
    assert box_outcome(503, "full") is fl.Outcome.FULL
    assert box_outcome(503, "draining") is fl.Outcome.FULL
    assert box_outcome(503, None) is fl.Outcome.ERROR
    assert box_outcome(500, "full") is fl.Outcome.ERROR
    assert box_outcome(404, None) is fl.Outcome.ERROR


class _Handle:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class FakeLoop:
    """A loop whose time the test sets; it polls its sockets between timers, as a real loop does."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, _Handle, Callable[[], Any]]] = []
        self.sockets: list[Callable[[], Any]] = []
        self.count = 0

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable[[], Any]) -> _Handle:
        self.count += 1
        handle = _Handle()
        heapq.heappush(self.heap, (when, self.count, handle, callback))
        return handle

    def call_later(self, delay: float, callback: Callable[[], Any]) -> _Handle:
        return self.call_at(self.now + delay, callback)

    def turn(self, now: float) -> None:
        """One iteration of the loop at time `now`: due timers, then the sockets."""
        self.now = now
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap))
        for _, _, handle, callback in due:
            if not handle.cancelled:
                callback()
        sockets, self.sockets = self.sockets, []
        for callback in sockets:
            callback()


def make_timeline(loop: FakeLoop) -> tuple[Timeline, list[float]]:
    stalls: list[float] = []
    event_loop: asyncio.AbstractEventLoop = loop  # type: ignore[assignment]
    return Timeline(event_loop, 1_000_000.0, 200.0, stalls.append), stalls


def test_timers_run_in_order_of_due_time_then_of_registration() -> None:
    loop = FakeLoop()
    clock, stalls = make_timeline(loop)
    events: list[str] = []
    clock.later(50.0, lambda: events.append("c"))
    clock.later(10.0, lambda: events.append("a"))
    clock.later(10.0, lambda: events.append("b"))
    loop.turn(0.06)
    assert events == ["a", "b", "c"]
    assert stalls == []
    assert clock.now() == 1_000_000_060.0


def test_after_a_stall_received_data_is_handled_before_due_timers() -> None:
    loop = FakeLoop()
    clock, stalls = make_timeline(loop)
    events: list[str] = []
    clock.later(600.0, lambda: events.append("time-out"))
    clock.later(500.0, lambda: events.append("beat"))
    loop.sockets.append(lambda: events.append("answer"))  # arrived during the stall
    loop.turn(5.0)
    loop.sockets.append(lambda: events.append("new connection"))  # accepted by the first poll
    for poll in (1, 2, 3):
        loop.turn(5.0 + poll * 0.0015)
    assert events == ["answer", "new connection", "beat", "time-out"]
    assert stalls == [pytest.approx(4500.0)]
    assert clock.stalls == 1


def test_on_uvloop_data_received_during_a_stall_is_handled_before_due_timers() -> None:
    async def test() -> None:
        loop, events = asyncio.get_running_loop(), list[str]()
        pairs = [socket.socketpair() for _ in range(2)]

        class Reader(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                events.append("answer")

        class StallingReader(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                # stalls the loop while it reads: data sent now is found only by the poll after the timers
                time.sleep(0.06)
                pairs[0][1].send(b"x")

        await loop.create_connection(Reader, sock=pairs[0][0])
        await loop.create_connection(StallingReader, sock=pairs[1][0])
        done = loop.create_future()
        clock = Timeline(loop, time.time(), 20.0, lambda late: events.append("stall"))
        clock.later(10.0, lambda: events.append("time-out"))
        clock.later(10.0, lambda: done.set_result(None))
        pairs[1][1].send(b"y")
        await asyncio.wait_for(done, 20)
        for _, peer in pairs:
            peer.close()
        assert events == ["stall", "answer", "time-out"]

    uvloop.run(test())


def test_after_close_no_timer_runs() -> None:
    loop = FakeLoop()
    clock, _ = make_timeline(loop)
    events: list[str] = []
    clock.later(10.0, lambda: events.append("a"))
    clock.close()
    loop.turn(1.0)
    assert events == []
