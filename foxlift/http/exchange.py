"""One request and its response, as a handler sees them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from foxlift.http.messages import Headers, Request, encode_head, problem


class ExchangeConnection(Protocol):
    """What an exchange uses of its connection."""

    exchanges: deque[Exchange]
    on_raw_request: Callable[[bytes], None] | None

    @property
    def stopping(self) -> bool:
        """Whether the server stops, so that the connection closes after its responses."""

    def common_headers_for(self, request: Request) -> Headers:
        """The headers of every response to this request."""

    def send(self, data: bytes) -> bool:
        """Write bytes; False asks the caller to wait until they are sent."""

    def exchange_done(self, exchange: Exchange) -> None:
        """The whole response of this exchange is written."""

    def abort(self) -> None:
        """Close at once."""


class ResponseStream:
    """A response body sent in pieces: chunked (RFC 9112 section 7.1) or of a known length."""

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
    """One request and its response; sending a second response is a caller's error."""

    __slots__ = (
        "_connection",
        "_pending_writes",
        "answered",
        "common_headers",
        "done",
        "keep_alive",
        "on_disconnect",
        "request",
        "stream",
    )

    def __init__(self, connection: ExchangeConnection, request: Request, keep_alive: bool) -> None:
        self._connection: ExchangeConnection | None = connection
        self.request, self.keep_alive = request, keep_alive
        self.common_headers = connection.common_headers_for(request)
        self.on_disconnect: Callable[[], None] | None = None
        self.answered = self.done = False
        self.stream: ResponseStream | None = None
        self._pending_writes: list[bytes] = []  # written before the earlier pipelined responses were done

    @property
    def disconnected(self) -> bool:
        """Whether the connection is closed; nothing written arrives any more."""
        return self._connection is None

    def reply(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send the whole response. Raises RuntimeError if one was already sent."""
        self._claim_response()
        keep = self.keep_alive and not (self._connection is not None and self._connection.stopping)
        self.keep_alive = keep
        head = encode_head(status, headers + self.common_headers, len(body), close=not keep)
        self._write(head if self.request.method == "HEAD" or status in (204, 304) else head + body)
        self._finish()

    def reply_encoded(self, response: bytes) -> None:
        """Send an encoded response, headers and body; the connection stays open."""
        self._claim_response()
        self._write(response)
        self._finish()

    def reply_problem(self, status: int, title: str, detail: str = "", extra: Headers = ()) -> None:
        """Send problem details (RFC 9457)."""
        headers, body = problem(status, title, detail)
        self.reply(status, headers + extra, body)

    def start_stream(self, status: int, headers: Headers = (), length: int | None = None) -> ResponseStream:
        """Send the header section; the body follows in pieces, `length` bytes in total if that is known.

        A caller that cannot send `length` bytes has to abort.
        """
        self._claim_response()
        self.stream = ResponseStream(self, self.request.method != "HEAD", length is None)
        self._write(encode_head(status, headers + self.common_headers, length, close=not self.keep_alive))
        return self.stream

    def abort(self) -> None:
        """Abort the connection."""
        if self._connection is not None:
            self._connection.abort()

    def on_raw_request(self, callback: Callable[[bytes], None]) -> None:
        """Ask for the raw bytes of this request; call it before the response.

        `callback` is called only if the request arrived alone and in one piece, on a connection that stays
        open.
        """
        if self._connection is not None and self.keep_alive:
            self._connection.on_raw_request = callback

    def _claim_response(self) -> None:
        if self.answered:
            raise RuntimeError("this exchange already has a response")
        self.answered = True

    def detach(self) -> None:
        """The connection is closed or has gone on: nothing is written any more."""
        self._connection = None

    def write_pending(self) -> None:
        """Write what was held back behind the responses to earlier requests."""
        pending, self._pending_writes = self._pending_writes, []
        for data in pending:
            self._write(data)

    def _write(self, data: bytes) -> bool:
        connection = self._connection
        if connection is None:
            return True
        if connection.exchanges[0] is not self:
            self._pending_writes.append(data)
            return True
        return connection.send(data)

    def _finish(self) -> None:
        self.done = True
        if self._connection is not None:
            self._connection.exchange_done(self)
