"""Codec of RTSP as media servers use it: responses and requests mixed on one connection.

It is strict because a server's answer is passed on to a viewer as proof of a session. Either a message is
complete and well formed or the connection is not read any further: a wrong length, a byte outside a message,
or a repeated or missing header among those that identify a message raises `ProtocolError`. Every message is
checked against `MAX_MESSAGE_BYTES` before any of it is kept.

Grammar: RFC 2326, sections 4 and 6 to 7, without continuation lines, which the servers do not send.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_MESSAGE_BYTES = 16 * 1024  # head and body together
PING_CSEQ = 3
_MESSAGE_PREFIXES = (
    b"RTSP/1.0 ",
    b"TEARDOWN ",
    b"ANNOUNCE ",
    b"OPTIONS ",
    b"SETUP ",
    b"SET_PARAMETER ",
    b"REDIRECT ",
)
_MESSAGE_START = re.compile(
    rb"RTSP/1\.0 \d{3}|(?:TEARDOWN|ANNOUNCE|OPTIONS|SETUP|SET_PARAMETER|REDIRECT) rtsp://media/"
)
_UNIQUE_HEADERS = frozenset(("cseq", "session", "content-length"))  # if repeated, a message is ambiguous


class ProtocolError(ValueError):
    """The bytes are invalid; the connection cannot be read any further."""


@dataclass(frozen=True, slots=True)
class Response:
    """A response. `session` is empty if it has no Session header."""

    status: int
    cseq: int
    session: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Request:
    """A request of the server: a release or a note."""

    method: str
    cseq: int
    session: str
    headers: dict[str, str]
    body: bytes


Message = Response | Request


class MessageReader:
    """Parses the bytes of one connection into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._failed = False

    @property
    def pending(self) -> int:
        """Number of bytes of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes and return the complete messages. Raises ProtocolError, then on every later call.

        Messages that precede an invalid one in the same read are not returned: if a length was wrong, the
        message before the invalid bytes is the corrupt one.
        """
        if self._failed:
            raise ProtocolError("data after an invalid message")
        self._buffer += data
        found: list[Message] = []
        try:
            while self._buffer:
                message = self._next()
                if message is None:
                    break
                found.append(message)
        except ProtocolError:
            self._failed = True
            self._buffer.clear()
            raise
        return found

    def _next(self) -> Message | None:
        buffer = self._buffer
        if not any(buffer.startswith(start[: len(buffer)]) for start in _MESSAGE_PREFIXES):
            raise ProtocolError("message starts with neither RTSP/1.0 nor a known method")
        end = buffer.find(b"\r\n\r\n", 0, MAX_MESSAGE_BYTES)
        if end < 0:
            if len(buffer) >= MAX_MESSAGE_BYTES:
                raise ProtocolError(f"head exceeds {MAX_MESSAGE_BYTES} bytes")
            return None
        first, headers = _head(bytes(buffer[:end]))
        length = _number(headers.get("content-length"), "Content-Length", MAX_MESSAGE_BYTES)
        if end + 4 + length > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"message of {end + 4 + length} bytes exceeds {MAX_MESSAGE_BYTES}")
        if len(buffer) < end + 4 + length:
            return None
        body = bytes(buffer[end + 4 : end + 4 + length])
        del buffer[: end + 4 + length]
        return _message(first, headers, body)


def _head(head: bytes) -> tuple[list[str], dict[str, str]]:
    try:
        lines = head.decode("ascii").split("\r\n")
    except UnicodeDecodeError as error:
        raise ProtocolError("head is not ASCII") from error
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        key = name.lower()
        if not colon or not name or name != name.strip() or not line.isprintable():
            raise ProtocolError("malformed header line")
        if key in _UNIQUE_HEADERS and key in headers:
            raise ProtocolError(f"repeated {name} header")
        headers[key] = value.strip()
    if not lines[0].isprintable():
        raise ProtocolError("first line has unprintable characters")
    return lines[0].split(" ", 2), headers


def _number(text: str | None, name: str, maximum: int) -> int:
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 10 or int(text) > maximum:
        raise ProtocolError(f"{name} is missing or not a number up to {maximum}")
    return int(text)


def _message(first: list[str], headers: dict[str, str], body: bytes) -> Message:
    cseq = _number(headers.get("cseq", "0"), "CSeq", 2**31)
    session = headers.get("session", "")
    if first[0] == "RTSP/1.0":
        if len(first) < 2 or len(first[1]) != 3 or not (first[1].isascii() and first[1].isdigit()):
            raise ProtocolError("response without a status of three digits")
        return Response(int(first[1]), cseq, session, headers, body)
    if len(first) != 3 or first[2] != "RTSP/1.0" or not first[1].startswith("rtsp://media/"):
        raise ProtocolError("malformed request line")
    return Request(first[0], cseq, session, headers, body)


def count_message_starts(text: bytes) -> int:
    """Return how often a message of this protocol begins in a text.

    A body that stopped short is completed by the messages that follow it on the connection, which its text
    does not show unless they begin in it.
    """
    return sum(1 for _ in _MESSAGE_START.finditer(text))


def is_failed_ping(message: Message) -> bool:
    """Return whether the message answers a ping with an error."""
    return isinstance(message, Response) and message.cseq == PING_CSEQ and message.status != 200


# ---- What a director sends --------------------------------------------------------------------------------
def _request(method: str, address: str, cseq: int, session: str, more: str = "", body: bytes = b"") -> bytes:
    head = f"{method} rtsp://media/{address} RTSP/1.0\r\nCSeq: {cseq}\r\nSession: {session}\r\n{more}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def setup(session: str, title: str, klass: str, rung: int, within_ms: int, body: bytes) -> bytes:
    """Request a session of the server; `within_ms`: how long this director will wait."""
    more = f"Call-Kind: {klass}\r\nAnswer-Within: {within_ms}\r\nX-Quality: {rung}\r\n"
    return _request("SETUP", title, 1, session, more, body)


def cancel_setup(session: str) -> bytes:
    """Cancel an unanswered set-up."""
    return _request("TEARDOWN", session, 2, session)


def release(session: str, cause: int) -> bytes:
    """End a playing session."""
    return _request("TEARDOWN", session, 2, session, f"Reason: cause={cause}\r\n")


def set_rung(session: str, rung: int) -> bytes:
    """Set the rung of a session; not answered."""
    return _request("SET_PARAMETER", session, 4, session, f"X-Quality: {rung}\r\n")


def move(session: str) -> bytes:
    """End a session because its viewer requests it again elsewhere; not answered."""
    return _request("REDIRECT", session, 5, session)


def ping(token: str) -> bytes:
    """Test the connection."""
    return _request("OPTIONS", "ping", PING_CSEQ, token)


def confirm_release(request: Request) -> bytes:
    """Confirm a release by the server."""
    named = f"CSeq: {request.cseq}\r\nSession: {request.session}\r\n"
    return f"RTSP/1.0 200 OK\r\n{named}Content-Length: 0\r\n\r\n".encode()
