"""HTTP client: a pool of connections, one call at a time on each, without retries.

A call's phases. From `SENT` on the peer may have acted on the request.

    WAITING   no connection yet                 a call cancelled or timed out here was certainly never sent
    SENT      bytes handed to the transport     any failure from here on: the request may have run
    BODY      header section of the response read
    DONE      result reported, exactly once
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
    """Why a call has no response."""

    CONNECT = "no connection"
    RESET = "connection lost"
    TIMEOUT = "no answer in time"
    INVALID = "answer cannot be read"
    TOO_LARGE = "answer too large"
    CANCELLED = "called off"


@dataclass(frozen=True, slots=True)
class Failure:
    """A call without a response. `sent`: whether any byte of it was handed to a connection."""

    kind: FailureKind
    sent: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response; if the body is streamed, its status and headers only."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """A header's value by its lower-case name, None if it is absent."""
        return header(self.headers, name)


Result = Response | Failure


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a pool's connections and responses."""

    connect_ms: float = 250.0
    max_connections: int = 64
    idle_ms: float = 4000.0
    max_response_bytes: int = 65_536
    max_header_bytes: int = 16_384


class Phase(Enum):
    """The progress of a call; see the head of this module."""

    WAITING = "waiting for a connection"
    SENT = "handed to a connection"
    BODY = "answer begun"
    DONE = "over"


class Call:
    """One request in progress. `on_result` is called exactly once, never from inside `Pool.call`."""

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
        """Whether any byte of the request may have been sent."""
        return self.phase in (Phase.SENT, Phase.BODY)

    @property
    def streaming(self) -> bool:
        """Whether the body is passed to `on_data` in pieces."""
        return self._on_data is not None

    def cancel(self) -> None:
        """Cancel the call; the result is a Failure with `sent`. No effect once the call is done."""
        self._abort(FailureKind.CANCELLED)

    def _set_timeout(self, timeout_ms: float) -> None:
        self._timer = self._pool.loop.call_later(timeout_ms / 1000, self._abort, FailureKind.TIMEOUT)

    def _abort(self, kind: FailureKind) -> None:
        if self.phase is Phase.DONE:
            return
        connection, sent = self._connection, self.sent
        self._pool.remove(self)
        self._settle(Failure(kind, sent))
        if connection is not None:
            connection.call = None
            connection.abort()  # the response may still arrive on it, so no other call can use it

    def _start(self, connection: _ClientConnection) -> None:
        self._connection = connection
        if connection.begin(self, self._data):
            self.phase = Phase.SENT
        else:  # closed meanwhile, before any byte was handed over
            self._pool.loop.call_soon(self._settle, Failure(FailureKind.CONNECT, False, "closed"))

    def _head(self, response: Response) -> None:
        self.phase = Phase.BODY
        if self._on_head is not None:
            self._on_head(response)

    def _deliver(self, data: bytes) -> None:
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
        self.is_closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._size = self._head_size = 0
        self._in_head = True
        self._complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def begin(self, call: Call, data: bytes) -> bool:
        """Send the request; False if the connection is already closed and nothing was sent."""
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
            self.abort()  # unexpected data: the next call must not take it for its response
            return
        if self._in_head:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            too_large = isinstance(error.__context__, _TooLargeError)
            self._fail(FailureKind.TOO_LARGE if too_large else FailureKind.INVALID, type(error).__name__)
            return
        except httptools.HttpParserUpgrade:
            self._fail(FailureKind.INVALID, "upgrade")
            return
        if self._in_head and self.call is not None and self._head_size > self.pool.limits.max_header_bytes:
            self._fail(FailureKind.TOO_LARGE, "header section")

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        call, self.call = self.call, None
        self.pool.connection_lost(self)
        if call is not None:
            # includes bodies without a stated length, which end with the connection (RFC 9112 section 6.3)
            call._settle(Failure(FailureKind.RESET, True, type(exc).__name__ if exc else "closed"))

    def eof_received(self) -> bool:
        return False

    # ---- httptools ----------------------------------------------------------------------------------------
    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self._headers) >= 100:
            raise _TooLargeError
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        self._in_head = False
        if sum(len(k) + len(v) for k, v in self._headers) > self.pool.limits.max_header_bytes:
            raise _TooLargeError
        if self.call is not None and self._parser.get_status_code() >= 200:
            self.call._head(Response(self._parser.get_status_code(), tuple(self._headers), b""))

    def on_body(self, body: bytes) -> None:
        call = self.call
        if call is None:
            return
        if call.streaming:
            call._deliver(body)
            return
        self._size += len(body)
        if self._size > self.pool.limits.max_response_bytes:
            raise _TooLargeError
        self._body.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._reset()
            return
        call, self.call = self.call, None
        if call is None:
            return
        response = Response(status, tuple(self._headers), b"".join(self._body))
        if self._parser.should_keep_alive():
            self.pool.release(self)
        else:
            self.abort()
        call._settle(response)

    def _fail(self, kind: FailureKind, detail: str) -> None:
        call, self.call = self.call, None
        self.abort()
        if call is not None:
            call._settle(Failure(kind, True, detail))

    def abort(self) -> None:
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()


class _TooLargeError(Exception):
    pass


class Pool:
    """Connections to one peer. Calls beyond the limit wait in a queue until their time-out."""

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
        """Send a request as soon as a connection is free. With `on_data`, the body is streamed to it."""
        data = encode_request(method, target, f"{self.host}:{self.port}", headers, body)
        call = Call(self, data, on_result, on_head, on_data)
        if timeout_ms is not None:
            call._set_timeout(timeout_ms)
        connection = self._take_idle()
        if connection is not None:
            call._start(connection)
        else:
            self._waiting.append(call)
            self._open_one()
        return call

    def _take_idle(self) -> _ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            expired = self.loop.time() - connection.idle_since > self.limits.idle_ms / 1000
            if connection.is_closed or (
                connection.transport is not None and connection.transport.is_closing()
            ):
                continue
            if expired:
                # the peer may be closing it right now, and a paid set-up lost that way cannot be repeated
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
        task.add_done_callback(self._connect_ended)

    def _connect_ended(self, task: asyncio.Task[None]) -> None:
        """Begin another connect if calls still wait: those beyond the limit had none under way."""
        self._opening.discard(task)
        if self._waiting and not self.closed:
            self._open_one()

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
        if connection.is_closed or self.closed:
            self._open -= 1
            connection.abort()
            self._connect_failed("closed while it was opened")
            return
        self._all.add(connection)
        if self._waiting:
            self._waiting.popleft()._start(connection)
        else:
            self.release(connection)

    def _connect_failed(self, detail: str) -> None:
        """A failed connect fails one waiting call."""
        if self._waiting:
            self._waiting.popleft()._settle(Failure(FailureKind.CONNECT, False, detail))

    def release(self, connection: _ClientConnection) -> None:
        """Reuse a connection whose call is done."""
        if connection.is_closed or self.closed:
            connection.abort()
        elif self._waiting:
            self._waiting.popleft()._start(connection)
        else:
            connection.idle_since = self.loop.time()
            self._idle.append(connection)

    def remove(self, call: Call) -> None:
        """Remove a call that ended while it waited for a connection."""
        if call.phase is Phase.WAITING and call in self._waiting:
            self._waiting.remove(call)

    def connection_lost(self, connection: _ClientConnection) -> None:
        """Account for a connection that was closed or broken."""
        if connection not in self._all:
            return  # lost before its connect was reported: `_connect` counts it
        self._open -= 1
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            self._open_one()

    def close(self) -> None:
        """Abort every connection and fail the waiting calls."""
        self.closed = True
        for task in list(self._opening):
            task.cancel()
        for connection in list(self._all):
            connection.abort()
        while self._waiting:
            self._waiting.popleft()._settle(Failure(FailureKind.CANCELLED, False, "closed"))
