"""What a box tells of its own accord: server-sent events (WHATWG HTML, 9.2), one stream a director and box.

The first event of a stream is `hello`: the box's boot id, its session counter and the set-ups of this
director that it holds. A box that lost its process has another boot id, whatever its name.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

MAX_EVENT_BYTES = 1 << 20


class NoticeError(ValueError):
    """A stream that cannot be read on."""


class SessionEnded(msgspec.Struct, frozen=True, tag="ended"):
    """A session is over at the box: its viewer had all of it, left, or it was broken off; `at` as above."""

    session: str
    how: str = "done"
    at: int = 0


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The stream begins. `counter` is the number of set-ups the box had done by then.

    `ended`: ends of late, told before and perhaps never heard; the latest few.
    """

    boot: str
    counter: int
    sessions: tuple[str, ...] = ()
    ended: tuple[SessionEnded, ...] = ()


class Delivered(msgspec.Struct, frozen=True, tag="delivered"):
    """The share of their rates that sessions here got a while ago."""

    session: str
    share: float


class LinkUse(msgspec.Struct, frozen=True, tag="link"):
    """What is asked of the link, and of the rack's uplink where the box knows, over what they give."""

    session: str
    link: float
    uplink: float | None = None


class RungInForce(msgspec.Struct, frozen=True, tag="rung"):
    """The rung in force for a session, since when by the box's clock (Unix ms)."""

    session: str
    rung: int
    at: int = 0


class OwnershipLost(msgspec.Struct, frozen=True, tag="taken"):
    """Sessions of this director that another one owns now, since when by the box's clock (Unix ms)."""

    sessions: tuple[str, ...]
    new_owner: str = msgspec.field(name="by")
    at: int = 0


BoxNotice = Hello | Delivered | LinkUse | RungInForce | SessionEnded | OwnershipLost
_KINDS: dict[str, type[BoxNotice]] = {
    "hello": Hello,
    "delivered": Delivered,
    "link": LinkUse,
    "rung": RungInForce,
    "ended": SessionEnded,
    "taken": OwnershipLost,
}


@dataclass
class NoticeReader:
    """Turns the bytes of a stream into notices; no I/O. Unknown kinds are passed over."""

    buffer: bytes = b""
    first: bool = True

    def feed(self, data: bytes) -> list[BoxNotice]:
        """Raises NoticeError for an event that is too large or ill-formed, or a stream without `hello`."""
        self.buffer += data.replace(b"\r\n", b"\n")
        *events, self.buffer = self.buffer.split(b"\n\n")
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise NoticeError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        found = [notice for notice in map(self._read, events) if notice is not None]
        if found and self.first:
            self.first = False
            if not isinstance(found[0], Hello):
                raise NoticeError("the stream does not begin with hello")
        return found

    def _read(self, event: bytes) -> BoxNotice | None:
        kind, data = "message", []
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"event":
                kind = value.decode("utf-8", "replace")
            elif name == b"data":
                data.append(value)
        if kind not in _KINDS or not data:
            return None  # a comment that keeps the stream alive, or a kind of a later version
        try:
            notice = msgspec.json.decode(b"\n".join(data), type=_KINDS[kind])
        except msgspec.MsgspecError as error:
            raise NoticeError(f"{kind}: {error}") from error
        if isinstance(notice, Delivered) and not (math.isfinite(notice.share) and 0 <= notice.share <= 1):
            raise NoticeError("delivered: share is not between 0 and 1")
        if isinstance(notice, LinkUse) and not _sane(notice):
            raise NoticeError("link: not a finite use")
        return notice


def _sane(notice: LinkUse) -> bool:
    numbers = [notice.link] if notice.uplink is None else [notice.link, notice.uplink]
    return all(math.isfinite(number) and 0 <= number < 1e6 for number in numbers)


def encode_notice(notice: BoxNotice) -> bytes:
    """One event; for boxes written in Python."""
    kind = type(notice).__struct_config__.tag
    body = msgspec.json.encode(notice)
    return b"event: %b\ndata: %b\n\n" % (str(kind).encode(), body)
