"""Codec of the viewers' JSON lines: bytes to messages, answers to bytes.

A line is one JSON object of at most 16 KiB. A line that is not a message of the protocol raises
`ProtocolError`, after which the whole connection is unusable: its sender no longer separates lines correctly.
A set-up that can be parsed but has an invalid field is an `InvalidSetup` and is answered with an error.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import msgspec

MAX_LINE_BYTES = 16 * 1024  # line feed included
MAX_NUMBER = 1e9  # upper bound of times in ms and of counts
_HEX = frozenset("0123456789abcdefABCDEF")


class ProtocolError(ValueError):
    """The line is invalid; the connection cannot be read any further."""


@dataclass(frozen=True, slots=True)
class Start:
    """A viewer requests a session, or hands over one that already plays at a server (`plays_at`)."""

    tag: str
    klass: str
    tenant: str
    title: str
    remaining_ms: float
    length_hint_ms: float | None
    first_cell: int
    holders: int
    top_rung: int
    viewer: int
    again: bool
    plays_at: int | None
    description: str


@dataclass(frozen=True, slots=True)
class Finish:
    """A viewer cancels a set-up (cause 16) or ends a session."""

    tag: str
    cause: int


@dataclass(frozen=True, slots=True)
class Echo:
    """A viewer tests the connection."""

    tag: str


@dataclass(frozen=True, slots=True)
class ReleaseConfirmed:
    """A viewer confirms a release."""

    tag: str


@dataclass(frozen=True, slots=True)
class InvalidSetup:
    """A set-up with a missing or invalid field."""

    tag: str
    field_name: str


Event = Start | Finish | Echo | ReleaseConfirmed | InvalidSetup


class _Line(msgspec.Struct):
    verb: str
    tag: str
    opts: dict[str, str | int | float] = msgspec.field(default_factory=dict)
    rc: int | None = None
    blob: str | None = None


class _FieldError(ValueError):
    pass


_decode = msgspec.json.Decoder(_Line).decode
_encode = msgspec.json.Encoder().encode


class LineReader:
    """Splits the bytes of one viewer's connection into lines."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._start = 0  # of the first line that was not returned

    @property
    def pending(self) -> int:
        """Number of bytes that were not returned."""
        return len(self._buffer) - self._start

    def add(self, data: bytes) -> None:
        """Add bytes of the connection."""
        del self._buffer[: self._start]
        self._start = 0
        self._buffer += data

    def next_line(self) -> bytes | None:
        """Return the next complete line, or None. Raises ProtocolError if it is too long."""
        end = self._buffer.find(b"\n", self._start, self._start + MAX_LINE_BYTES) + 1
        if end:
            line = bytes(self._buffer[self._start : end])
            self._start = end
            return line
        if self.pending >= MAX_LINE_BYTES:
            raise ProtocolError("line over 16 KiB")
        return None

    @property
    def has_line(self) -> bool:
        """Whether `next_line` has something to return or to raise."""
        if self.pending >= MAX_LINE_BYTES:
            return True
        return self._buffer.find(b"\n", self._start) >= 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return all complete lines. Raises ProtocolError if one is too long."""
        self.add(data)
        lines: list[bytes] = []
        while (line := self.next_line()) is not None:
            lines.append(line)
        return lines


def read_line(line: bytes) -> Event | None:
    """Return the message of a line; None if it is ignored. Raises ProtocolError."""
    try:
        found = _decode(line)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise ProtocolError("line is not a message") from error
    tag = found.tag
    if len(tag) != 16 or not _HEX.issuperset(tag):
        raise ProtocolError("tag is not 16 hexadecimal digits")
    match found.verb:
        case "START":
            try:
                return _start(found)
            except _FieldError as error:
                return InvalidSetup(tag, str(error))
        case "FINISH":
            cause = found.rc if found.rc is not None else 16
            return Finish(tag, cause if 0 < cause < 128 else 16)
        case "ECHO":
            return Echo(tag)
        case "FINISHED":
            return ReleaseConfirmed(tag)
        case "PENDING" | "ECHOED" | "NOTICE":
            return None
    raise ProtocolError("unknown verb")


def _text(opts: dict[str, str | int | float], name: str) -> str:
    value = opts.get(name)
    if not isinstance(value, str) or not value:
        raise _FieldError(name)
    return value


def _number(value: str | int | float | None, name: str, maximum: float = MAX_NUMBER) -> float:
    """Return a finite number from 0 to `maximum`. Raises _FieldError."""
    if isinstance(value, str):
        try:
            # float() also accepts "1_0", " 1" and "infinity", which the protocol does not
            if not value or not set(value) <= set("0123456789.+-eE"):
                raise _FieldError(name)
            value = float(value)
        except ValueError as error:
            raise _FieldError(name) from error
    if value is None or not math.isfinite(value) or not 0 <= value <= maximum:
        raise _FieldError(name)
    return float(value)


def _integer(value: str | None, name: str, maximum: int) -> int:
    if value is None or not (value.isascii() and value.isdigit()) or len(value) > 12 or int(value) > maximum:
        raise _FieldError(name)
    return int(value)


def _start(line: _Line) -> Start:
    opts = line.opts
    title = _text(opts, "key")
    if len(title) != 16 or not _HEX.issuperset(title):
        raise _FieldError("key")
    extras: dict[str, str] = {}
    for part in _text(opts, "extras").split(";"):
        name, _, value = part.partition(":")
        extras[name] = value
    viewer = extras.get("viewer", "0")
    if len(viewer) > 16 or not viewer or not _HEX.issuperset(viewer):
        raise _FieldError("extras.viewer")
    at = extras.get("at")
    if line.blob is None:
        raise _FieldError("description")
    return Start(
        tag=line.tag,
        klass=_text(opts, "class"),
        tenant=str(opts.get("tenant", "")),
        title=title,
        remaining_ms=0.0 if at is not None and "left" not in opts else _number(opts.get("left"), "left"),
        length_hint_ms=_number(opts["hint"], "hint") if "hint" in opts else None,
        first_cell=_integer(extras.get("home"), "extras.home", 65535),
        holders=_integer(extras.get("copies"), "extras.copies", 65535),
        top_rung=_integer(extras.get("top"), "extras.top", 255),
        viewer=int(viewer, 16),
        again=extras.get("again", "0") != "0",
        plays_at=None if at is None else node_number(at),
        description=line.blob,
    )


def node_number(name: str) -> int:
    """Return a server's number from its name, such as `s-00c41f7a`. Raises ValueError."""
    if len(name) != 10 or not name.startswith("s-") or not _HEX.issuperset(name[2:]):
        raise _FieldError("server name")
    return int(name[2:], 16)


def _line(verb: str, tag: str, opts: dict[str, Any], **more: Any) -> bytes:
    return _encode({"verb": verb, "tag": tag, "opts": opts, **more}) + b"\n"


def started(tag: str, description: str) -> bytes:
    """The session has started; the description is that of the server."""
    return _line("STARTED", tag, {}, blob=description)


def finish(tag: str, cause: int, wait_ms: float = 0.0) -> bytes:
    """A refusal, a failure or a release. `wait_ms`: how long not to try again."""
    return _line("FINISH", tag, {"wait": str(round(wait_ms))} if wait_ms > 0 else {}, rc=cause)


def finished(tag: str) -> bytes:
    """Confirms that the viewer ended a session or set-up."""
    return _line("FINISHED", tag, {})


def echoed(tag: str, list_received: bool) -> bytes:
    """Answers a test of the connection."""
    return _line("ECHOED", tag, {}, rc=1 if list_received else 0)


def move(tag: str) -> bytes:
    """The session ends here and its viewer requests it again."""
    return _line("MOVE", tag, {})
