"""HTTP/1.1 on both sides: limits on what a peer may cost, order of answers, and what a failure proves."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from sockets import Reply, ask, parse

from foxlift.http import (
    Exchange,
    Failure,
    FailureKind,
    Limits,
    Pool,
    PoolLimits,
    Response,
    ResponseStream,
    Server,
)

SMALL = Limits(
    max_connections=20,
    max_header_bytes=1000,
    max_body_bytes=100,
    max_pipelined=3,
    header_time_ms=150.0,
    idle_time_ms=300.0,
)


class Door:
    """A server that keeps its exchanges for the test to answer."""

    def __init__(self, limits: Limits = SMALL, answer: bool = True) -> None:
        self.loop = asyncio.get_running_loop()
        self.answer = answer
        self.held: list[Exchange] = []
        self.gone = 0
        self.server = Server(self.loop, self.asked, limits)

    async def listen(self) -> int:
        return await self.server.listen("127.0.0.1", 0)

    def asked(self, exchange: Exchange) -> None:
        self.held.append(exchange)
        exchange.on_disconnect = self.left
        if self.answer:
            exchange.reply(200, (("x-path", exchange.request.path),), exchange.request.body or b"hello")

    def left(self) -> None:
        self.gone += 1


def with_door(
    test: Callable[[Door, int], Awaitable[None]], limits: Limits = SMALL, answer: bool = True
) -> None:
    async def main() -> None:
        door = Door(limits, answer)
        port = await door.listen()
        try:
            await test(door, port)
        finally:
            await door.server.stop(50.0)

    uvloop.run(main())


async def raw(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    with contextlib.suppress(ConnectionError):
        found = await reader.read()
        writer.close()
        return found
    return b""


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 2000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 5000, 431),
        (b"GET /" + b"y" * 5000 + b" HTTP/1.1\r\nhost: x\r\n\r\n", 414),
        (b"GET / HTTP/1.1\r\nhost: x\r\n" + b"a: b\r\n" * 90 + b"c: d\r\n" * 90 + b"\r\n", 431),
        (b"PUT / HTTP/1.1\r\nhost: x\r\ncontent-length: 101\r\n\r\n", 413),
        (b"PUT / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nff\r\n" + b"y" * 255, 413),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET http://x/ HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: x\r\n", 408),  # never complete
        (b"PUT / HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\nabc", 408),
    ],
)
def test_what_costs_too_much_or_cannot_be_read_is_told_and_cut_off(data: bytes, status: int) -> None:
    async def test(door: Door, port: int) -> None:
        reply = parse(await raw(port, data))
        assert reply.status == status
        assert reply.headers["content-type"] == "application/problem+json"
        assert (await ask(port, "/after")).status == 200

    with_door(test)


def test_a_drip_of_bytes_does_not_hold_a_connection_beyond_its_time() -> None:
    async def test(door: Door, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)

        async def drip() -> None:
            with contextlib.suppress(ConnectionError):
                for byte in b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 1000:
                    writer.write(bytes([byte]))
                    await asyncio.sleep(0.01)

        dripping = asyncio.ensure_future(drip())
        assert parse(await reader.read()).status == 408
        dripping.cancel()
        writer.close()

    with_door(test)


def test_pipelined_requests_are_answered_in_their_order_whatever_is_ready_first() -> None:
    async def test(door: Door, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"".join(b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % k for k in range(3)))
        while len(door.held) < 3:
            await asyncio.sleep(0.005)
        for k in (2, 0, 1):
            door.held[k].reply(200, (), b"%d" % k)
        data = b""
        while data.count(b"HTTP/1.1 200") < 3:
            data += await reader.read(1000)
        assert [part.rpartition(b"\r\n\r\n")[2][:1] for part in data.split(b"HTTP/1.1 200")[1:]] == [
            b"0",
            b"1",
            b"2",
        ]
        writer.close()

    with_door(test, answer=False)


def test_too_many_pipelined_requests_are_told_so() -> None:
    async def test(door: Door, port: int) -> None:
        asked = asyncio.ensure_future(raw(port, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n" * 10))
        while len(door.held) < 3:
            await asyncio.sleep(0.005)
        for exchange in list(door.held):
            exchange.reply(200)
        data = await asked
        assert data.count(b"HTTP/1.1 200") == 3
        assert data.count(b"HTTP/1.1 429") == 1
        assert len(door.held) == 3

    with_door(test, answer=False)


def test_connections_over_the_limit_are_told_when_to_come_back() -> None:
    async def test(door: Door, port: int) -> None:
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
        reply = parse(await raw(port, b""))
        assert (reply.status, reply.headers["retry-after"]) == (503, "1")
        for _, writer in idle:
            writer.close()

    with_door(test)


def test_a_client_that_leaves_is_told_of_once_and_only_before_its_answer() -> None:
    async def test(door: Door, port: int) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        while not door.held:
            await asyncio.sleep(0.005)
        writer.close()
        while not door.gone:
            await asyncio.sleep(0.005)
        door.held[0].reply(200, (), b"to nobody")
        with pytest.raises(RuntimeError):
            door.held[0].reply(200)
        door.answer = True
        assert (await ask(port, "/")).status == 200
        await asyncio.sleep(0.02)
        assert door.gone == 1

    with_door(test, answer=False)


def test_a_peer_that_does_not_read_stops_being_read_and_the_writer_hears_when_it_does() -> None:
    async def test(door: Door, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1000)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        while not door.held:
            await asyncio.sleep(0.005)
        stream: ResponseStream = door.held[0].start_stream(200)
        drained: list[bool] = []
        stream.on_drain = lambda: drained.append(True)
        written = 0
        while stream.write(b"z" * 65536):
            written += 65536
            await asyncio.sleep(0)
            assert written < 50_000_000
        while not drained:
            await reader.read(65536)
        writer.close()

    with_door(test, answer=False)


def test_a_stop_answers_what_is_owed_and_closes_the_rest() -> None:
    async def test(door: Door, port: int) -> None:
        idle_reader, _ = await asyncio.open_connection("127.0.0.1", port)
        asked = asyncio.ensure_future(ask(port, "/"))
        while not door.held:
            await asyncio.sleep(0.005)
        stop = asyncio.ensure_future(door.server.stop(1000.0))
        assert await idle_reader.read() == b""
        door.held[0].reply(200, (), b"owed")
        assert (await asked).body == b"owed"
        await stop

    with_door(test, answer=False)


@given(st.lists(st.binary(max_size=80), max_size=6), st.booleans())
@settings(max_examples=60, deadline=None)
def test_any_bytes_cost_only_their_own_connection(pieces: list[bytes], ask_first: bool) -> None:
    async def test(door: Door, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        if ask_first:
            writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n")
        with contextlib.suppress(RuntimeError):  # the door may have closed it by now
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
        writer.close()
        reply: Reply = await ask(port, "/after")
        assert (reply.status, reply.headers["x-path"]) == (200, "/after")
        with contextlib.suppress(ConnectionError):
            await reader.read()

    with_door(test)


# ---- Client -----------------------------------------------------------------------------------------------
LIMITS = PoolLimits(connect_ms=300.0, max_connections=1, idle_ms=100.0, max_response_bytes=1000)


class Asker:
    """A pool against a peer that does what the test says."""

    def __init__(self, port: int, limits: PoolLimits = LIMITS) -> None:
        self.pool = Pool(asyncio.get_running_loop(), "127.0.0.1", port, limits)

    async def ask(self, timeout_ms: float = 500.0, method: str = "GET") -> Response | Failure:
        found: asyncio.Future[Response | Failure] = asyncio.get_running_loop().create_future()
        self.call = self.pool.call(method, "/", found.set_result, timeout_ms=timeout_ms)
        return await found


Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def with_peer(peer: Peer, test: Callable[[Asker, int], Awaitable[None]]) -> None:
    async def main() -> None:
        server = await asyncio.start_server(peer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        asker = Asker(port)
        try:
            await test(asker, port)
        finally:
            asker.pool.close()
            server.close()

    uvloop.run(main())


def says(data: bytes, close: bool = True, wait: float = 0.0) -> Peer:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(wait)
            writer.write(data)
            if not close:
                await reader.read()
        writer.close()

    return peer


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"", FailureKind.RESET),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab", FailureKind.RESET),
        (b"\0\1\2\r\n\r\n", FailureKind.INVALID),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n" + b"y" * 2000, FailureKind.TOO_LARGE),
        (b"HTTP/1.1 200 OK\r\nx: " + b"y" * 20_000, FailureKind.TOO_LARGE),
        (b"HTTP/1.1 200 OK\r\nx: " + b"y" * 20_000 + b"\r\n\r\n", FailureKind.TOO_LARGE),
    ],
)
def test_an_answer_that_cannot_be_used_is_a_failure_after_the_call_left(
    data: bytes, kind: FailureKind
) -> None:
    async def test(asker: Asker, _: int) -> None:
        found = await asker.ask()
        assert isinstance(found, Failure)
        assert (found.kind, found.sent) == (kind, True)

    with_peer(says(data), test)


def test_what_never_had_a_connection_never_left() -> None:
    async def test(asker: Asker, _: int) -> None:
        blocked = asyncio.ensure_future(asker.ask(400.0))
        await asyncio.sleep(0.05)
        waiting = await asker.ask(100.0)  # the pool's one connection is taken
        assert waiting == Failure(FailureKind.TIMEOUT, sent=False)
        assert await blocked == Failure(FailureKind.TIMEOUT, sent=True)
        refused = await Asker(1).ask()
        assert isinstance(refused, Failure)
        assert (refused.kind, refused.sent) == (FailureKind.CONNECT, False)

    with_peer(says(b"", wait=5.0), test)


def test_a_call_that_is_called_off_tells_whether_it_had_left_and_spoils_no_other() -> None:
    async def test(asker: Asker, _: int) -> None:
        first = asyncio.ensure_future(asker.ask())
        await asyncio.sleep(0.05)
        asker.call.cancel()
        asker.call.cancel()
        assert await first == Failure(FailureKind.CANCELLED, sent=True)
        # the peer answers the first only now; the second must not take that for its own
        second = await asker.ask()
        assert isinstance(second, Response)
        assert second.body == b"ok"

    with_peer(says(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", wait=0.1), test)


def test_an_unasked_answer_on_an_idle_connection_is_never_taken_for_the_next_calls() -> None:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine")
                await asyncio.sleep(0.02)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray")

    async def test(asker: Asker, _: int) -> None:
        for _ in range(3):
            found = await asker.ask()
            assert isinstance(found, Response)
            assert found.body == b"mine"
            await asyncio.sleep(0.05)

    with_peer(peer, test)


def test_a_connection_left_idle_too_long_is_not_used_again() -> None:
    connections = 0

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def test(asker: Asker, _: int) -> None:
        await asker.ask()
        await asker.ask()
        assert connections == 1
        await asyncio.sleep(0.15)
        await asker.ask()
        assert connections == 2

    with_peer(peer, test)
