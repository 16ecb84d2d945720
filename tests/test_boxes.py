"""The director's side of the box protocol: load reports, notices, what an answer proves; and the clock."""

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
def test_load_reports_in_both_forms(value: str | None, load: fl.Load | None) -> None:
    assert read_load(value) == load


@given(st.text(max_size=80))
def test_no_header_costs_the_answer_it_came_with(value: str) -> None:
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
def test_notices_come_out_whole_however_the_stream_is_cut(cuts: list[int]) -> None:
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
def test_a_stream_that_makes_no_sense_is_given_up(data: bytes) -> None:
    with pytest.raises(NoticeError):
        NoticeReader().feed(data)


def test_crlf_ends_lines_too() -> None:
    data = encode_notice(NOTICES[0]).replace(b"\n", b"\r\n")
    assert NoticeReader().feed(data) == [NOTICES[0]]


def test_only_a_boxs_own_word_proves_that_nothing_ran() -> None:
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
    """Time that the test moves; sockets are looked at once between timers, as a real loop does."""

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
        """One turn of the loop at a time: what is due, then the sockets."""
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


def timeline(loop: FakeLoop) -> tuple[Timeline, list[float]]:
    stalls: list[float] = []
    made: asyncio.AbstractEventLoop = loop  # type: ignore[assignment]
    return Timeline(made, 1_000_000.0, 200.0, stalls.append), stalls


def test_timers_come_in_order_of_due_time_then_of_asking() -> None:
    loop = FakeLoop()
    line, stalls = timeline(loop)
    seen: list[str] = []
    line.later(50.0, lambda: seen.append("c"))
    line.later(10.0, lambda: seen.append("a"))
    line.later(10.0, lambda: seen.append("b"))
    loop.turn(0.06)
    assert seen == ["a", "b", "c"]
    assert stalls == []
    assert line.now() == 1_000_000_060.0


def test_after_a_stall_what_came_meanwhile_is_seen_before_what_came_due() -> None:
    loop = FakeLoop()
    line, stalls = timeline(loop)
    seen: list[str] = []
    line.later(600.0, lambda: seen.append("time-out"))
    line.later(500.0, lambda: seen.append("beat"))
    loop.sockets.append(lambda: seen.append("answer"))  # came during the stall
    loop.turn(5.0)
    loop.sockets.append(lambda: seen.append("of one who had just connected"))  # accepted by the first look
    for look in (1, 2, 3):
        loop.turn(5.0 + look * 0.0015)
    assert seen == ["answer", "of one who had just connected", "beat", "time-out"]
    assert stalls == [pytest.approx(4500.0)]
    assert line.stalls == 1


def test_on_the_loop_in_service_what_came_during_a_stall_is_read_before_what_came_due() -> None:
    async def test() -> None:
        loop, seen = asyncio.get_running_loop(), list[str]()
        pairs = [socket.socketpair() for _ in range(2)]

        class Reads(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                seen.append("answer")

        class Stalls(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                # stands still while it reads: what comes now is found by the look after the timers
                time.sleep(0.06)
                pairs[0][1].send(b"x")

        await loop.create_connection(Reads, sock=pairs[0][0])
        await loop.create_connection(Stalls, sock=pairs[1][0])
        over = loop.create_future()
        line = Timeline(loop, time.time(), 20.0, lambda late: seen.append("stall"))
        line.later(10.0, lambda: seen.append("time-out"))
        line.later(10.0, lambda: over.set_result(None))
        pairs[1][1].send(b"y")
        await asyncio.wait_for(over, 20)
        for _, far in pairs:
            far.close()
        assert seen == ["stall", "answer", "time-out"]

    uvloop.run(test())


def test_after_the_end_no_timer_comes() -> None:
    loop = FakeLoop()
    line, _ = timeline(loop)
    seen: list[str] = []
    line.later(10.0, lambda: seen.append("a"))
    line.close()
    loop.turn(1.0)
    assert seen == []
