"""Faults between two processes: in virtual time by random commands, and on sockets through a tap."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from foxlift.standins.link_direction import (
    MAX_BUFFERED_BYTES,
    Action,
    BreakConnection,
    Forward,
    LinkConditions,
    LinkDirection,
    LinkState,
    SenderClosed,
    WakeAt,
)
from foxlift.standins.tap import Recorder, Tap

OPEN, HELD, CUT = LinkState.OPEN, LinkState.HELD, LinkState.CUT
TERMS = st.builds(
    LinkConditions,
    state=st.sampled_from([OPEN, OPEN, HELD, CUT]),
    delay_s=st.sampled_from([0.0, 0.5, 3.0]),
    rate=st.sampled_from([0.0, 1.0, 1000.0]),
    break_after=st.sampled_from([None, None, None, 1, 7]),
)
STEP = st.one_of(st.binary(min_size=1, max_size=9), TERMS, st.floats(0, 5), st.just("end"))


def passed(actions: list[Action]) -> bytes:
    return b"".join(action.data for action in actions if isinstance(action, Forward))


@settings(max_examples=500, deadline=None)
@given(st.lists(STEP, max_size=30))
def test_what_passes_is_the_beginning_of_what_was_sent_and_nothing_comes_after_the_end(
    script: list[bytes | LinkConditions | float | str],
) -> None:
    direction, now, sent, got = LinkDirection(), 0.0, b"", b""
    over = ended = False
    for step in script:
        if isinstance(step, bytes):
            if ended:
                continue
            sent += step
            actions = direction.receive(now, step)
        elif isinstance(step, LinkConditions):
            actions = direction.change(now, step)
        elif isinstance(step, float):
            now += step
            actions = direction.timer_due(now)
        else:
            ended = True
            actions = direction.close(now)
        assert not (over and actions)
        got += passed(actions)
        over = over or any(isinstance(action, SenderClosed | BreakConnection) for action in actions)
        assert sent.startswith(got) and direction.forwarded_bytes == len(got)
        assert direction.buffered_bytes <= len(sent) - len(got)
        if direction.conditions.state is not OPEN:
            assert not actions  # nothing gets through a cut, nor through a hold
        if any(isinstance(action, SenderClosed) for action in actions):
            assert got == sent and ended
    if not direction.bytes_lost and not over:  # mended, everything arrives in the end
        got += passed(direction.change(now, LinkConditions()))
        got += passed(direction.timer_due(now + 1000.0))
        assert got == sent or direction.conditions.break_after is not None


def test_each_fault_does_what_it_says() -> None:
    direction = LinkDirection(LinkConditions(delay_s=2.0))
    assert direction.receive(1.0, b"late") == [WakeAt(3.0)]
    assert direction.timer_due(2.9) == [WakeAt(3.0)] and direction.timer_due(3.0) == [Forward(b"late")]
    direction = LinkDirection(LinkConditions(rate=10.0))
    assert direction.receive(0.0, b"x" * 5) == [WakeAt(0.5)]
    direction.receive(0.0, b"x" * 5)
    assert direction.timer_due(0.5) == [Forward(b"x" * 5), WakeAt(1.0)]
    direction = LinkDirection(LinkConditions(HELD))
    assert not direction.receive(0.0, b"a") and not direction.receive(9.0, b"b")
    assert direction.change(10.0, LinkConditions()) == [
        Forward(b"a"),
        Forward(b"b"),
    ]
    direction = LinkDirection(LinkConditions(break_after=3))
    assert direction.receive(0.0, b"ab") == [Forward(b"ab")]
    assert direction.receive(0.0, b"cd") == [
        Forward(b"c"),
        BreakConnection(),
    ] and not direction.receive(0.0, b"e")
    direction = LinkDirection(LinkConditions(CUT))
    assert not direction.receive(0.0, b"lost")
    assert (
        not direction.change(1.0, LinkConditions())
        and not direction.receive(2.0, b"never skipped")
        and direction.bytes_lost
    )
    direction = LinkDirection(LinkConditions(HELD))
    direction.receive(0.0, b"x" * (MAX_BUFFERED_BYTES + 1))
    assert direction.full


# ---- On sockets -------------------------------------------------------------------------------------------
class Echo(asyncio.Protocol):
    """Answers each read with the same bytes; keeps what came."""

    made: Echo

    def __init__(self) -> None:
        self.got, self.over = b"", asyncio.Event()
        Echo.made = self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data
        self.transport.write(data)  # type: ignore[attr-defined]

    def connection_lost(self, exc: Exception | None) -> None:
        self.over.set()


def through(folder: Path, test: Callable[[Tap], Awaitable[None]]) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        recorder = Recorder(folder / "taps.bin", loop)
        server = await loop.create_server(Echo, "127.0.0.1", 0)
        tap = Tap("x", recorder, loop)
        tap.target = server.sockets[0].getsockname()[1]
        await tap.listen()
        try:
            await asyncio.wait_for(test(tap), 20)
        finally:
            tap.close()
            server.close()
            recorder.close()

    uvloop.run(main())


def test_a_request_is_delivered_and_its_answer_lost_and_nobody_is_told(tmp_path: Path) -> None:
    async def test(tap: Tap) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", tap.port)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        tap.change(down=LinkConditions(CUT))
        writer.write(b"two")
        answered = asyncio.ensure_future(reader.read(1))
        while Echo.made.got != b"onetwo":
            await asyncio.sleep(0.001)
        other_reader, other = await asyncio.open_connection("127.0.0.1", tap.port)  # in vain, too
        other.write(b"three")
        while Echo.made.got != b"three":
            await asyncio.sleep(0.001)
        while sum(side.direction.bytes_lost for side in tap._sides) < 2:
            await asyncio.sleep(0.001)
        assert not answered.done()
        tap.mend()  # a stream that has lost bytes is of no use: both are reset
        with pytest.raises(ConnectionError):
            await answered
        with pytest.raises(ConnectionError):
            await other_reader.read(1)

    through(tmp_path, test)


def test_what_is_held_is_released_late_in_order_and_its_end_too(tmp_path: Path) -> None:
    async def test(tap: Tap) -> None:
        tap.change(up=LinkConditions(HELD))
        reader, writer = await asyncio.open_connection("127.0.0.1", tap.port)
        writer.write(b"a")
        writer.write(b"b")
        _, quick_writer = await asyncio.open_connection("127.0.0.1", tap.port)
        quick_writer.close()
        while sum(side.direction.buffered_bytes for side in tap._sides) < 2 or not any(
            s.direction._sender_closed for s in tap._sides
        ):
            await asyncio.sleep(0.001)
        tap.change(up=LinkConditions())
        assert await reader.readexactly(2) == b"ab"
        writer.close()
        while tap._sides:
            await asyncio.sleep(0.001)

    through(tmp_path, test)


def test_refused_and_taken_again_at_the_same_port_and_broken_after_so_many_bytes(tmp_path: Path) -> None:
    async def test(tap: Tap) -> None:
        port = tap.port
        tap.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)
        assert await tap.listen() == port
        tap.change(down=LinkConditions(break_after=2))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"four")
        assert await reader.read() == b"fo"
        await Echo.made.over.wait()

    through(tmp_path, test)


def test_a_cut_link_says_nothing_to_a_new_connection_and_hides_the_end_of_an_old_one(tmp_path: Path) -> None:
    async def test(tap: Tap) -> None:
        old, old_writer = await asyncio.open_connection("127.0.0.1", tap.port)
        old_writer.write(b"x")
        await old.readexactly(1)
        far = Echo.made
        tap.change(up=LinkConditions(CUT), down=LinkConditions(CUT))
        new, new_writer = await asyncio.open_connection("127.0.0.1", tap.port)
        new_writer.write(b"hello")
        far.transport.abort()  # type: ignore[attr-defined]
        await far.over.wait()
        for reader in (old, new):
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.05)
        assert Echo.made is far  # the new one got nowhere

    through(tmp_path, test)
