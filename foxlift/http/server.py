"""The listening side: one protocol object a connection, one exchange a request.

A connection's states, each with its clock:

    IDLE  -> HEAD   first byte of a request        idle_time_ms, then closed without a word
    HEAD  -> BODY   header section complete        header_time_ms from the first byte, then 408
    BODY  -> IDLE   message complete               the same clock
    any   -> CLOSED error, end of input, or limit

End of input closes the connection even while an answer is owed: a player that walks away and one that closes
its sending half look the same, and a set-up for a viewer who has left must be called off.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import cast

import httptools

from foxlift.http.cors import Cors
from foxlift.http.messages import Headers, Limits, Request, encode_head, problem

MAX_FIELDS = 100  # header fields of one request, repeated ones counted each time

Handler = Callable[["Exchange"], None]


class _State(Enum):
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    CLOSED = "closed"


class ResponseStream:
    """A body sent in pieces: chunked (RFC 9112 section 7.1), or of a length stated before."""

    def __init__(self, exchange: Exchange, body_allowed: bool, chunked: bool) -> None:
        self._exchange, self._body_allowed, self._chunked = exchange, body_allowed, chunked
        self.on_drain: Callable[[], None] | None = None
        self.ended = False

    def write(self, data: bytes) -> bool:
        """Send one piece; False asks the caller to wait for `on_drain`."""
        if self.ended or not data or not self._body_allowed:
            return not self.ended
        return self._exchange._write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """End the body."""
        if not self.ended:
            self.ended = True
            self._exchange._write(b"0\r\n\r\n" if self._body_allowed and self._chunked else b"")
            self._exchange._finish()


class Exchange:
    """One request and its one answer; a second answer is an error of the caller."""

    __slots__ = (
        "_connection",
        "_held",
        "answered",
        "common_headers",
        "done",
        "keep_alive",
        "on_disconnect",
        "request",
        "stream",
    )

    def __init__(self, connection: _Connection, request: Request, keep_alive: bool) -> None:
        self._connection: _Connection | None = connection
        self.request, self.keep_alive = request, keep_alive
        self.common_headers = connection.server.common_headers_for(request)  # what every answer here carries
        self.on_disconnect: Callable[[], None] | None = None
        self.answered = self.done = False
        self.stream: ResponseStream | None = None
        self._held: list[bytes] = []  # written before its turn among pipelined answers

    @property
    def disconnected(self) -> bool:
        """Whether the peer has left: nothing that is written arrives any more."""
        return self._connection is None

    def reply(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send the whole answer. RuntimeError where one was sent already."""
        self._begin()
        keep = self.keep_alive and not (self._connection is not None and self._connection.server.stopping)
        self.keep_alive = keep
        head = encode_head(status, headers + self.common_headers, len(body), close=not keep)
        self._write(head if self.request.method == "HEAD" or status in (204, 304) else head + body)
        self._finish()

    def reply_whole(self, answer: bytes) -> None:
        """Send an answer that was made before: head and body, kept alive."""
        self._begin()
        self._write(answer)
        self._finish()

    def reply_problem(self, status: int, title: str, detail: str = "", extra: Headers = ()) -> None:
        """Send problem details (RFC 9457)."""
        headers, body = problem(status, title, detail)
        self.reply(status, headers + extra, body)

    def start_stream(self, status: int, headers: Headers = (), length: int | None = None) -> ResponseStream:
        """Send the header section; the body follows in pieces, `length` bytes where that is known.

        A caller that cannot send as many as it stated aborts.
        """
        self._begin()
        self.stream = ResponseStream(self, self.request.method != "HEAD", length is None)
        self._write(encode_head(status, headers + self.common_headers, length, close=not self.keep_alive))
        return self.stream

    def abort(self) -> None:
        """Break the connection off."""
        if self._connection is not None:
            self._connection.abort()

    def on_raw_request(self, with_bytes: Callable[[bytes], None]) -> None:
        """Before the answer: learn the bytes of this request, if it came whole, alone and is kept alive."""
        if self._connection is not None and self.keep_alive:
            self._connection._on_raw_request = with_bytes

    def _begin(self) -> None:
        if self.answered:
            raise RuntimeError("this exchange was answered already")
        self.answered = True

    def _write(self, data: bytes) -> bool:
        connection = self._connection
        if connection is None:
            return True
        if connection.exchanges[0] is not self:
            self._held.append(data)
            return True
        return connection.send(data)

    def _finish(self) -> None:
        self.done = True
        if self._connection is not None:
            self._connection.exchange_done(self)


class _Connection(asyncio.Protocol):
    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[Exchange] = deque()
        self.state = _State.IDLE
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._header_size = self._body_size = self._header_count = 0
        self._first_byte = 0.0
        self._deadline = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._paused = False
        self._messages = 0
        self._on_raw_request: Callable[[bytes], None] | None = None
        self._peer = ""

    # ---- asyncio.Protocol ---------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=self.server.limits.write_buffer_bytes)
        name = transport.get_extra_info("peername")
        self._peer = name[0] if isinstance(name, tuple) else ""
        if not self.server.add(self):
            headers, body = problem(503, "too many connections")
            self.transport.write(encode_head(503, (*headers, ("retry-after", "1")), len(body), True) + body)
            self._close()
            return
        self._arm(self.server.limits.idle_time_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        self.state = _State.CLOSED
        self.server.drop(self)
        if self._timer is not None:
            self._timer.cancel()
        self._leave_exchanges()

    def eof_received(self) -> bool:
        self._leave_exchanges()
        return False

    def data_received(self, data: bytes) -> None:
        if self.state is _State.CLOSED or self._closing:
            return
        began_idle = self.state is _State.IDLE and not self.exchanges
        if began_idle and (answer := self.server.cached_response(data)) is not None:
            self._deadline = self.server.loop.time() + self.server.limits.idle_time_ms / 1000
            self.send(answer)
            return
        before = self._messages
        self._read(data)
        if began_idle and self._messages == before + 1 and self.state is _State.IDLE:
            callback, self._on_raw_request = self._on_raw_request, None
            if callback is not None:
                callback(data)

    def _read(self, data: bytes) -> None:
        if self.state is _State.IDLE:
            self._first_byte = self.server.loop.time()
            self._arm(self.server.limits.header_time_ms)
            self.state = _State.HEAD
            self._header_size = 0
        if self.state is _State.HEAD:
            self._header_size += len(data)
        try:
            self._parser.feed_data(data)
        except _Refused as refused:
            self._refuse(refused.status, refused.title)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, _Refused):
                self._refuse(cause.status, cause.title)
            else:
                raise
        except httptools.HttpParserError:
            self._refuse(400, "malformed request")
        else:
            if self.state is _State.HEAD and self._header_size > self.server.limits.max_header_bytes:
                self._refuse(431, "header section too large")

    def pause_writing(self) -> None:
        """The peer reads slower than it is answered: stop taking requests of it until it has read."""
        self._paused = True
        self._read_on()

    def resume_writing(self) -> None:
        self._paused = False
        self._read_on()
        if self.exchanges:
            stream = self.exchanges[0].stream
            if stream is not None and stream.on_drain is not None:
                stream.on_drain()

    # ---- httptools ----------------------------------------------------------------------------------------
    def on_message_begin(self) -> None:
        self._url, self._headers, self._body = b"", {}, []
        self._body_size = self._header_count = 0
        self.state = _State.HEAD

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > self.server.limits.max_header_bytes:
            raise _Refused(414, "target too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        self._header_count += 1
        if self._header_count > MAX_FIELDS:
            raise _Refused(431, "too many header fields")
        text = value.decode("latin-1")
        self._headers[key] = f"{self._headers[key]}, {text}" if key in self._headers else text

    def on_headers_complete(self) -> None:
        self.state = _State.BODY
        size = len(self._url) + sum(len(k) + len(v) for k, v in self._headers.items())
        if size > self.server.limits.max_header_bytes:
            raise _Refused(431, "header section too large")
        if self._parser.should_upgrade():
            raise _Refused(400, "upgrade is not offered")
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.server.limits.max_body_bytes:
            raise _Refused(413, "body too large")
        if "host" not in self._headers and self._parser.get_http_version() == "1.1":
            raise _Refused(400, "no host")  # RFC 9112 section 3.2
        if self._headers.get("expect", "").lower() == "100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > self.server.limits.max_body_bytes:
            raise _Refused(413, "body too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        self.state = _State.IDLE
        self._header_size = 0
        if self._closing:
            return
        target = self._url.decode("latin-1")
        path, _, query = target.partition("?")
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=path,
            query=query,
            headers=self._headers,
            body=b"".join(self._body),
            peer=self._peer,
            arrived=self._first_byte,
        )
        exchange = Exchange(self, request, self._parser.should_keep_alive())
        self._messages += 1
        self._on_raw_request = None
        self.exchanges.append(exchange)
        self._arm(self.server.limits.idle_time_ms)
        if len(self.exchanges) > self.server.limits.max_pipelined:
            exchange.keep_alive = False
            exchange.reply_problem(429, "too many requests in one pipeline")
            self._closing = True
            return
        self._read_on()
        if not path.startswith("/"):
            exchange.reply_problem(400, "the target is no path")
        elif request.method == "OPTIONS" and self.server.cors is not None:
            exchange.reply_whole(self.server.cors.preflight(request.headers))
        elif self.server.stopping:
            exchange.reply_problem(503, "stopping", extra=(("retry-after", "1"),))
        else:
            self.server.handler(exchange)

    # ---- Writing ------------------------------------------------------------------------------------------
    def send(self, data: bytes) -> bool:
        if self.transport is not None and data and not self.transport.is_closing():
            self.transport.write(data)
        return not self._paused

    def exchange_done(self, exchange: Exchange) -> None:
        """Let the next pipelined answers go, in the order in which they were asked."""
        while self.exchanges and self.exchanges[0].done:
            finished = self.exchanges.popleft()
            finished._connection = None
            if not finished.keep_alive:
                self._close()
                return
            if self.exchanges:
                following = self.exchanges[0]
                for data in following._held:
                    self.send(data)
                following._held.clear()
        if not self.exchanges and self.server.stopping:
            self._close()
            return
        self._read_on()

    def _read_on(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        # one more than the limit is read, so that the peer is told and not just stalled
        if self._paused:
            transport.pause_reading()
        elif not transport.is_reading():
            transport.resume_reading()

    # ---- End ----------------------------------------------------------------------------------------------
    def _refuse(self, status: int, title: str) -> None:
        """Answer what could not be read, after what was asked before it, and close."""
        self._closing = True
        self.server.rejected_requests += 1
        if self.transport is not None and not self.exchanges:
            headers, body = problem(status, title)
            self.transport.write(encode_head(status, headers, len(body), True) + body)
            self._close()
        elif self.exchanges:
            self.exchanges[-1].keep_alive = False

    def _close(self) -> None:
        self._closing = True
        if self.transport is not None:
            self.transport.close()
        self._arm(1000.0)  # a peer that does not read its last answer is cut off then

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _leave_exchanges(self) -> None:
        left, self.exchanges = list(self.exchanges), deque()
        for exchange in left:
            exchange._connection = None
            if not exchange.done and exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def _arm(self, delay_ms: float) -> None:
        """Set the connection's one deadline; the timer is moved only when it comes due early."""
        self._deadline = self.server.loop.time() + delay_ms / 1000
        if self._timer is None:
            self._timer = self.server.loop.call_at(self._deadline, self._due)
        elif self._timer.when() > self._deadline + 0.001:
            self._timer.cancel()
            self._timer = self.server.loop.call_at(self._deadline, self._due)

    def _due(self) -> None:
        self._timer = None
        if self.state is _State.CLOSED:
            return
        if self.server.loop.time() < self._deadline - 0.001:
            self._timer = self.server.loop.call_at(self._deadline, self._due)
        elif self._closing:
            self.abort()
        elif self.state is _State.IDLE and not self.exchanges:
            self._close()
        elif self.state is _State.IDLE:
            self._arm(self.server.limits.idle_time_ms)  # an answer is owed: its own deadline bounds it
        else:
            self._refuse(408, "request not complete in time")

    @property
    def idle(self) -> bool:
        return self.state is _State.IDLE and not self.exchanges

    def stop(self) -> None:
        if self.idle or self.transport is None:
            self._close()


class _Refused(Exception):
    def __init__(self, status: int, title: str) -> None:
        super().__init__(title)
        self.status, self.title = status, title


class Server:
    """Listens, hands each request to `handler`, and stops in order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: Handler,
        limits: Limits,
        cors: Cors | None = None,
        extra_headers: Headers = (),
    ) -> None:
        """`cors`: allowed origins; answers OPTIONS if given. `extra_headers`: sent with every response."""
        self.loop, self.handler, self.limits = loop, handler, limits
        self.cors, self._extra_headers = cors, extra_headers
        # where any origin is let in, the same for every request
        same = cors is None or cors.allows_any
        self._common_headers = extra_headers + (() if cors is None else cors.headers({})) if same else None
        # a whole answer to a whole request whose bytes are known, without reading it again
        self.cached_response: Callable[[bytes], bytes | None] = lambda data: None
        self.connections: set[_Connection] = set()
        self.stopping = False
        self.rejected_connections = self.rejected_requests = 0
        self._server: asyncio.Server | None = None
        self._empty: asyncio.Event = asyncio.Event()

    async def listen(self, host: str, port: int) -> int:
        """Bind and accept; gives back the port. Raises OSError."""
        self._server = await self.loop.create_server(lambda: _Connection(self), host, port, backlog=1024)
        return cast(int, self._server.sockets[0].getsockname()[1])

    async def stop(self, grace_ms: float) -> None:
        """Accept nothing new, let what is owed be answered for `grace_ms` at most, then cut off."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.stop()
        self._empty.clear()
        if self.connections:
            try:
                await asyncio.wait_for(self._empty.wait(), grace_ms / 1000)
            except TimeoutError:
                for connection in list(self.connections):
                    connection.abort()
        await asyncio.sleep(0)

    def common_headers_for(self, request: Request) -> Headers:
        """What every answer to this request carries."""
        if self._common_headers is not None or self.cors is None:
            return self._common_headers or ()
        return self._extra_headers + self.cors.headers(request.headers)

    def add(self, connection: _Connection) -> bool:
        """Admit a connection; False where the limit is reached."""
        if len(self.connections) >= self.limits.max_connections:
            self.rejected_connections += 1
            return False
        self.connections.add(connection)
        return True

    def drop(self, connection: _Connection) -> None:
        """A connection is closed."""
        self.connections.discard(connection)
        if not self.connections:
            self._empty.set()
