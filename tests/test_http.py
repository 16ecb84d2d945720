"""HTTP server and client: limits for a peer, order of responses, and whether a failed call was sent."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from ports import free_address
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


class ManualServer:
    """A server that keeps its exchanges, so that the test can respond to them."""

    def __init__(self, limits: Limits = SMALL, responds: bool = True) -> None:
        self.loop = asyncio.get_running_loop()
        self.responds = responds
        self.exchanges: list[Exchange] = []
        self.disconnects = 0
        self.server = Server(self.loop, self.handle, limits)

    async def listen(self) -> int:
        return await self.server.listen("127.0.0.1", 0)

    def handle(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)
        exchange.on_disconnect = self.disconnected
        if self.responds:
            exchange.reply(200, (("x-path", exchange.request.path),), exchange.request.body or b"hello")

    def disconnected(self) -> None:
        self.disconnects += 1


def with_server(
    test: Callable[[ManualServer, int], Awaitable[None]], limits: Limits = SMALL, responds: bool = True
) -> None:
    async def main() -> None:
        fixture = ManualServer(limits, responds)
        port = await fixture.listen()
        try:
            await test(fixture, port)
        finally:
            await fixture.server.stop(50.0)

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
def test_oversized_and_malformed_requests_get_an_error_and_are_disconnected(data: bytes, status: int) -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        reply = parse(await raw(port, data))
        assert reply.status == status
        assert reply.headers["content-type"] == "application/problem+json"
        assert (await ask(port, "/after")).status == 200

    with_server(test)


def test_a_request_sent_byte_by_byte_is_ended_by_the_header_time_out() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
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

    with_server(test)


def test_pipelined_responses_keep_the_order_of_their_requests() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"".join(b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % k for k in range(3)))
        while len(fixture.exchanges) < 3:
            await asyncio.sleep(0.005)
        for k in (2, 0, 1):
            fixture.exchanges[k].reply(200, (), b"%d" % k)
        data = b""
        while data.count(b"HTTP/1.1 200") < 3:
            data += await reader.read(1000)
        assert [part.rpartition(b"\r\n\r\n")[2][:1] for part in data.split(b"HTTP/1.1 200")[1:]] == [
            b"0",
            b"1",
            b"2",
        ]
        writer.close()

    with_server(test, responds=False)


def test_too_many_pipelined_requests_get_429() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        asked = asyncio.ensure_future(raw(port, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n" * 10))
        while len(fixture.exchanges) < 3:
            await asyncio.sleep(0.005)
        for exchange in list(fixture.exchanges):
            exchange.reply(200)
        data = await asked
        assert data.count(b"HTTP/1.1 200") == 3
        assert data.count(b"HTTP/1.1 429") == 1
        assert len(fixture.exchanges) == 3

    with_server(test, responds=False)


def test_connections_over_the_limit_get_503_with_retry_after() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
        reply = parse(await raw(port, b""))
        assert (reply.status, reply.headers["retry-after"]) == (503, "1")
        for _, writer in idle:
            writer.close()

    with_server(test)


def test_a_disconnect_before_the_response_is_reported_once() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        while not fixture.exchanges:
            await asyncio.sleep(0.005)
        writer.close()
        while not fixture.disconnects:
            await asyncio.sleep(0.005)
        fixture.exchanges[0].reply(200, (), b"to nobody")
        with pytest.raises(RuntimeError):
            fixture.exchanges[0].reply(200)
        fixture.responds = True
        assert (await ask(port, "/")).status == 200
        await asyncio.sleep(0.02)
        assert fixture.disconnects == 1

    with_server(test, responds=False)


def test_a_stream_to_a_slow_reader_pauses_and_reports_when_it_drains() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1000)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        while not fixture.exchanges:
            await asyncio.sleep(0.005)
        stream: ResponseStream = fixture.exchanges[0].start_stream(200)
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

    with_server(test, responds=False)


def test_a_stop_sends_pending_responses_and_closes_idle_connections() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        idle_reader, _ = await asyncio.open_connection("127.0.0.1", port)
        asked = asyncio.ensure_future(ask(port, "/"))
        while not fixture.exchanges:
            await asyncio.sleep(0.005)
        stop = asyncio.ensure_future(fixture.server.stop(1000.0))
        assert await idle_reader.read() == b""
        fixture.exchanges[0].reply(200, (), b"pending")
        assert (await asked).body == b"pending"
        await stop

    with_server(test, responds=False)


@given(st.lists(st.binary(max_size=80), max_size=6), st.booleans())
@settings(max_examples=60, deadline=None)
def test_invalid_bytes_affect_only_their_own_connection(pieces: list[bytes], ask_first: bool) -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        if ask_first:
            writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n")
        with contextlib.suppress(RuntimeError):  # the server may have closed it already
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
        writer.close()
        reply: Reply = await ask(port, "/after")
        assert (reply.status, reply.headers["x-path"]) == (200, "/after")
        with contextlib.suppress(ConnectionError):
            await reader.read()

    with_server(test)


# ---- Client -----------------------------------------------------------------------------------------------
LIMITS = PoolLimits(connect_ms=300.0, max_connections=1, idle_ms=100.0, max_response_bytes=1000)


class Client:
    """A client pool connected to a peer that the test scripts."""

    def __init__(self, port: int, limits: PoolLimits = LIMITS) -> None:
        self.pool = Pool(asyncio.get_running_loop(), "127.0.0.1", port, limits)

    async def ask(self, timeout_ms: float = 500.0, method: str = "GET") -> Response | Failure:
        found: asyncio.Future[Response | Failure] = asyncio.get_running_loop().create_future()
        self.call = self.pool.call(method, "/", found.set_result, timeout_ms=timeout_ms)
        return await found


Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def with_peer(peer: Peer, test: Callable[[Client, int], Awaitable[None]]) -> None:
    async def main() -> None:
        server = await asyncio.start_server(peer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = Client(port)
        try:
            await test(client, port)
        finally:
            client.pool.close()
            server.close()

    uvloop.run(main())


def test_calls_beyond_the_connections_fail_at_once_where_the_peer_refuses() -> None:
    """A dead peer: calls without a connection must not wait for their time-out with no connect under way."""

    async def main() -> None:
        host, _, port = free_address().partition(":")
        pool = Pool(asyncio.get_running_loop(), host, int(port), PoolLimits(max_connections=2))
        loop = asyncio.get_running_loop()
        results = [loop.create_future() for _ in range(20)]
        for result in results:
            pool.call("GET", "/", result.set_result, timeout_ms=20_000.0)
        failures = await asyncio.wait_for(asyncio.gather(*results), 5)
        assert {(failure.kind, failure.sent) for failure in failures} == {(FailureKind.CONNECT, False)}
        pool.close()

    uvloop.run(main())


def responds_with(data: bytes, close: bool = True, wait: float = 0.0) -> Peer:
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
def test_an_unusable_response_is_a_failure_of_a_sent_call(data: bytes, kind: FailureKind) -> None:
    async def test(client: Client, _: int) -> None:
        found = await client.ask()
        assert isinstance(found, Failure)
        assert (found.kind, found.sent) == (kind, True)

    with_peer(responds_with(data), test)


def test_a_call_that_never_had_a_connection_counts_as_not_sent() -> None:
    async def test(client: Client, _: int) -> None:
        blocked = asyncio.ensure_future(client.ask(400.0))
        await asyncio.sleep(0.05)
        waiting = await client.ask(100.0)  # the pool's one connection is taken
        assert waiting == Failure(FailureKind.TIMEOUT, sent=False)
        assert await blocked == Failure(FailureKind.TIMEOUT, sent=True)
        refused = await Client(1).ask()
        assert isinstance(refused, Failure)
        assert (refused.kind, refused.sent) == (FailureKind.CONNECT, False)

    with_peer(responds_with(b"", wait=5.0), test)


def test_a_cancelled_call_reports_whether_it_was_sent_and_does_not_affect_the_next() -> None:
    async def test(client: Client, _: int) -> None:
        first = asyncio.ensure_future(client.ask())
        await asyncio.sleep(0.05)
        client.call.cancel()
        client.call.cancel()
        assert await first == Failure(FailureKind.CANCELLED, sent=True)
        # the peer responds to the first only now; the second must not take that response for its own
        second = await client.ask()
        assert isinstance(second, Response)
        assert second.body == b"ok"

    with_peer(responds_with(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", wait=0.1), test)


def test_an_unexpected_response_on_an_idle_connection_is_not_taken_for_the_next_call() -> None:
    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine")
                await asyncio.sleep(0.02)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray")

    async def test(client: Client, _: int) -> None:
        for _ in range(3):
            found = await client.ask()
            assert isinstance(found, Response)
            assert found.body == b"mine"
            await asyncio.sleep(0.05)

    with_peer(peer, test)


def test_a_connection_idle_for_too_long_is_not_reused() -> None:
    connections = 0

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def test(client: Client, _: int) -> None:
        await client.ask()
        await client.ask()
        assert connections == 1
        await asyncio.sleep(0.15)
        await client.ask()
        assert connections == 2

    with_peer(peer, test)


# ---- A stop while clients connect -------------------------------------------------------------------------
def connected_socket(port: int) -> socket.socket:
    """A client's connection, made without letting the server's loop run."""
    return socket.create_connection(("127.0.0.1", port))


async def received(sock: socket.socket) -> bytes:
    """All that the server sends until it closes."""
    sock.setblocking(False)
    loop, data = asyncio.get_running_loop(), b""
    while chunk := await loop.sock_recv(sock, 65_536):
        data += chunk
    return data


@pytest.mark.parametrize("count", [1, 50])
def test_a_stop_answers_clients_whose_connections_wait_to_be_accepted(count: int) -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        clients = [connected_socket(port) for _ in range(count)]
        for client in clients:
            client.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        await fixture.server.stop(1000.0)
        for client in clients:
            answer = await received(client)
            assert answer.startswith(b"HTTP/1.1 503 ") and b"stopping" in answer
            client.close()

    with_server(test, Limits(max_connections=100))


@pytest.mark.parametrize("served_before", [False, True])
def test_a_stop_answers_a_request_that_has_not_been_read(served_before: bool) -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        client = connected_socket(port)
        client.setblocking(False)
        if served_before:
            client.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
            assert (await asyncio.get_running_loop().sock_recv(client, 65_536)).startswith(b"HTTP/1.1 200 ")
        while not fixture.server.connections:
            await asyncio.sleep(0.001)
        client.sendall(b"GET /b HTTP/1.1\r\nhost: x\r\n\r\n")
        await fixture.server.stop(1000.0)
        assert (await received(client)).startswith(b"HTTP/1.1 503 ")
        client.close()

    with_server(test)


def test_a_stop_answers_the_first_request_of_a_connection_just_accepted() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        client = connected_socket(port)
        while not fixture.server.connections:
            await asyncio.sleep(0.001)
        stop = asyncio.ensure_future(fixture.server.stop(1000.0))
        await asyncio.sleep(0.02)
        client.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        assert (await received(client)).startswith(b"HTTP/1.1 503 ")
        client.close()
        await stop

    with_server(test)


@pytest.mark.parametrize("stopping", [False, True])
def test_a_late_loop_closes_no_connection_whose_request_has_arrived(stopping: bool) -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        client = connected_socket(port)
        while not fixture.server.connections:
            await asyncio.sleep(0.001)
        stop = asyncio.ensure_future(fixture.server.stop(1000.0)) if stopping else None
        await asyncio.sleep(0.02)
        other = ManualServer()

        def work_long(exchange: Exchange) -> None:
            """The request arrives after this turn of the loop has looked for input."""
            client.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            time.sleep(SMALL.idle_time_ms / 1000)
            exchange.reply(200)

        other.server.handler = work_long
        assert (await ask(await other.listen(), "/")).status == 200
        assert (await received(client)).startswith(b"HTTP/1.1 503 " if stopping else b"HTTP/1.1 200 ")
        client.close()
        await other.server.stop(50.0)
        if stop is not None:
            await stop

    with_server(test)


def test_a_stop_does_not_wait_for_connections_without_a_request() -> None:
    async def test(fixture: ManualServer, port: int) -> None:
        clients = [connected_socket(port) for _ in range(5)]
        begin = fixture.loop.time()
        await fixture.server.stop(5000.0)
        assert fixture.loop.time() - begin < 1.0
        for client in clients:
            assert await received(client) == b""
            client.close()

    with_server(test)
