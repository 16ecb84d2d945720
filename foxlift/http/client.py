"""The asking side: a pool of connections, one call at a time on each, no repeats of its own.

A call's phases. What matters to a caller is whether the peer can have acted on it: from `SENT` on it can.

    WAITING   no connection yet             cancelled or timed out here: provably never sent
    SENT      bytes handed to the transport any failure from here on: may have run
    BODY      header section of the answer read
    DONE      result told, once
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

import httptools

from foxlift.http.messages import Headers, encode_request, header


class FailureKind(Enum):
    """Why a call has no answer."""

    CONNECT = "no connection"
    RESET = "connection lost"
    TIMEOUT = "no answer in time"
    INVALID = "answer cannot be read"
    TOO_LARGE = "answer too large"
    CANCELLED = "called off"


@dataclass(frozen=True, slots=True)
class Failure:
    """A call without an answer. `sent`: whether any byte of it was handed to a connection."""

    kind: FailureKind
    sent: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer; with a streamed body, its head."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """A header's value by its lower-case name, None where it is absent."""
        return header(self.headers, name)


Result = Response | Failure


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """What the peers of a pool may cost. Times are milliseconds, sizes bytes."""

    connect_ms: float = 250.0
    max_connections: int = 64
    idle_ms: float = 4000.0
    max_response_bytes: int = 65_536
    max_header_bytes: int = 16_384


class Phase(Enum):
    """How far a call has come."""

    WAITING = "waiting for a connection"
    SENT = "handed to a connection"
    BODY = "answer begun"
    DONE = "over"


class Call:
    """One request on its way. `on_result` is called exactly once, never from inside `Pool.call`."""

    def __init__(
        self,
        pool: Pool,
        data: bytes,
        on_result: Callable[[Result], None],
        on_head: Callable[[Response], None] | None,
        on_data: Callable[[bytes], None] | None,
    ) -> None:
        self._pool, self._data, self._on_result = pool, data, on_result
        self._on_head, self._on_data = on_head, on_data
        self.phase = Phase.WAITING
        self._connection: _ClientConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have left this process."""
        return self.phase in (Phase.SENT, Phase.BODY)

    @property
    def streaming(self) -> bool:
        """Whether the body goes to `on_data` piece by piece."""
        return self._on_data is not None

    def cancel(self) -> None:
        """Call it off; the result is a Failure that tells whether it had left. No effect once over."""
        self._give_up(FailureKind.CANCELLED)

    def _arm(self, timeout_ms: float) -> None:
        self._timer = self._pool.loop.call_later(timeout_ms / 1000, self._give_up, FailureKind.TIMEOUT)

    def _give_up(self, kind: FailureKind) -> None:
        if self.phase is Phase.DONE:
            return
        connection, sent = self._connection, self.sent
        self._pool.forget(self)
        self._settle(Failure(kind, sent))
        if connection is not None:
            connection.call = None
            connection.abort()  # an answer may still come on it: it can serve no other call

    def _go(self, connection: _ClientConnection) -> None:
        self._connection = connection
        if connection.begin(self, self._data):
            self.phase = Phase.SENT
        else:  # closed under our hands, before a byte was handed over
            self._pool.loop.call_soon(self._settle, Failure(FailureKind.CONNECT, False, "closed"))

    def _head(self, answer: Response) -> None:
        self.phase = Phase.BODY
        if self._on_head is not None:
            self._on_head(answer)

    def _piece(self, data: bytes) -> None:
        if self._on_data is not None:
            self._on_data(data)

    def _settle(self, result: Result) -> None:
        if self.phase is Phase.DONE:
            return
        self.phase = Phase.DONE
        if self._timer is not None:
            self._timer.cancel()
        self._connection = None
        self._on_result(result)


class _ClientConnection(asyncio.Protocol):
    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.idle_since = 0.0
        self.lost = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._size = self._head_size = 0
        self._in_head = True
        self._complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def begin(self, call: Call, data: bytes) -> bool:
        """Hand the request over; False where the connection is closed already and nothing was."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.call = call
        self._reset()
        self.transport.write(data)
        return True

    def _reset(self) -> None:
        self._headers, self._body = [], []
        self._size = self._head_size = 0
        self._in_head, self._complete = True, False

    def data_received(self, data: bytes) -> None:
        if self.call is None:
            self.abort()  # an answer to nothing: the next call must not take it for its own
            return
        if self._in_head:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            too_large = isinstance(error.__context__, _TooLarge)
            self._fail(FailureKind.TOO_LARGE if too_large else FailureKind.INVALID, type(error).__name__)
            return
        except httptools.HttpParserUpgrade:
            self._fail(FailureKind.INVALID, "upgrade")
            return
        if self._in_head and self.call is not None and self._head_size > self.pool.limits.max_header_bytes:
            self._fail(FailureKind.TOO_LARGE, "header section")

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        call, self.call = self.call, None
        self.pool.lost(self)
        if call is not None:
            # a body without a stated length ends with the connection (RFC 9112 section 6.3)
            call._settle(Failure(FailureKind.RESET, True, type(exc).__name__ if exc else "closed"))

    def eof_received(self) -> bool:
        return False

    # ---- httptools ----------------------------------------------------------------------------------------
    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self._headers) >= 100:
            raise _TooLarge
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        self._in_head = False
        if sum(len(k) + len(v) for k, v in self._headers) > self.pool.limits.max_header_bytes:
            raise _TooLarge
        if self.call is not None and self._parser.get_status_code() >= 200:
            self.call._head(Response(self._parser.get_status_code(), tuple(self._headers), b""))

    def on_body(self, body: bytes) -> None:
        call = self.call
        if call is None:
            return
        if call.streaming:
            call._piece(body)
            return
        self._size += len(body)
        if self._size > self.pool.limits.max_response_bytes:
            raise _TooLarge
        self._body.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._reset()
            return
        call, self.call = self.call, None
        if call is None:
            return
        answer = Response(status, tuple(self._headers), b"".join(self._body))
        if self._parser.should_keep_alive():
            self.pool.give_back(self)
        else:
            self.abort()
        call._settle(answer)

    def _fail(self, kind: FailureKind, detail: str) -> None:
        call, self.call = self.call, None
        self.abort()
        if call is not None:
            call._settle(Failure(kind, True, detail))

    def abort(self) -> None:
        self.lost = True
        if self.transport is not None:
            self.transport.abort()


class _TooLarge(Exception):
    pass


class Pool:
    """Connections to one peer. Calls beyond the limit wait in turn until their time is up."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: str, port: int, limits: PoolLimits) -> None:
        self.loop, self.host, self.port, self.limits = loop, host, port, limits
        self._idle: list[_ClientConnection] = []
        self._waiting: deque[Call] = deque()
        self._open = 0
        self._opening: set[asyncio.Task[None]] = set()
        self._all: set[_ClientConnection] = set()
        self.closed = False

    def call(
        self,
        method: str,
        target: str,
        on_result: Callable[[Result], None],
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_ms: float | None = None,
        on_head: Callable[[Response], None] | None = None,
        on_data: Callable[[bytes], None] | None = None,
    ) -> Call:
        """Send a request as soon as a connection is free. With `on_data` the body is streamed to it."""
        data = encode_request(method, target, f"{self.host}:{self.port}", headers, body)
        call = Call(self, data, on_result, on_head, on_data)
        if timeout_ms is not None:
            call._arm(timeout_ms)
        connection = self._take_idle()
        if connection is not None:
            call._go(connection)
        else:
            self._waiting.append(call)
            self._open_one()
        return call

    def _take_idle(self) -> _ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            old = self.loop.time() - connection.idle_since > self.limits.idle_ms / 1000
            if connection.lost or (connection.transport is not None and connection.transport.is_closing()):
                continue
            if old:
                # the peer may be closing it just now, and a paid set-up lost so is lost for good
                connection.abort()
                continue
            return connection
        return None

    def _open_one(self) -> None:
        if self._open >= self.limits.max_connections or len(self._opening) >= len(self._waiting):
            return
        self._open += 1
        task = self.loop.create_task(self._connect())
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self) -> None:
        try:
            _, connection = await asyncio.wait_for(
                self.loop.create_connection(lambda: _ClientConnection(self), self.host, self.port),
                self.limits.connect_ms / 1000,
            )
        except (OSError, TimeoutError) as error:
            self._open -= 1
            self._connect_failed(type(error).__name__)
            return
        if connection.lost or self.closed:
            self._open -= 1
            connection.abort()
            self._connect_failed("closed as it was made")
            return
        self._all.add(connection)
        if self._waiting:
            self._waiting.popleft()._go(connection)
        else:
            self.give_back(connection)

    def _connect_failed(self, detail: str) -> None:
        """One failed connect answers one waiting call; each of the others has its own under way."""
        if self._waiting:
            self._waiting.popleft()._settle(Failure(FailureKind.CONNECT, False, detail))

    def give_back(self, connection: _ClientConnection) -> None:
        """A connection is free again."""
        if connection.lost or self.closed:
            connection.abort()
        elif self._waiting:
            self._waiting.popleft()._go(connection)
        else:
            connection.idle_since = self.loop.time()
            self._idle.append(connection)

    def forget(self, call: Call) -> None:
        """A call is over before a connection was free for it."""
        if call.phase is Phase.WAITING and call in self._waiting:
            self._waiting.remove(call)

    def lost(self, connection: _ClientConnection) -> None:
        """A connection is closed or broken."""
        if connection not in self._all:
            return  # lost before its connect was told: counted there
        self._open -= 1
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            self._open_one()

    def close(self) -> None:
        """Break off every connection and fail what waits."""
        self.closed = True
        for task in list(self._opening):
            task.cancel()
        for connection in list(self._all):
            connection.abort()
        while self._waiting:
            self._waiting.popleft()._settle(Failure(FailureKind.CANCELLED, False, "closed"))
