"""Notices that a box sends unasked: server-sent events (WHATWG HTML, 9.2), one stream for each director and
box.

The first event of a stream is `hello`: the box's boot id, its session counter and the set-ups of this
director that it holds. A restarted box process has a new boot id, even under the same name.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

MAX_EVENT_BYTES = 1 << 20


class NoticeError(ValueError):
    """A stream with an invalid event: nothing after it can be read."""


class SessionEnded(msgspec.Struct, frozen=True, tag="ended"):
    """A session has ended at the box. `how`: the reason; `at`: when, by the box's clock (Unix ms).

    `how` is `done` (played to its end), `left` (its viewer left), `parked`, `moved` or `lost`.
    """

    session: str
    how: str = "done"
    at: int = 0


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Start of the stream. `counter`: the number of set-ups that the box has done so far.

    `ended`: the latest ends of sessions. They were sent before, and may not have arrived.
    """

    boot: str
    counter: int
    sessions: tuple[str, ...] = ()
    ended: tuple[SessionEnded, ...] = ()


class Delivered(msgspec.Struct, frozen=True, tag="delivered"):
    """The fraction of their booked rates that the box's sessions recently received."""

    session: str
    share: float


class LinkUse(msgspec.Struct, frozen=True, tag="link"):
    """Demand over capacity of the box's link, and of its rack's uplink where the box knows it."""

    session: str
    link: float
    uplink: float | None = None


class RungInForce(msgspec.Struct, frozen=True, tag="rung"):
    """The rung that a session plays. `at`: since when, by the box's clock (Unix ms)."""

    session: str
    rung: int
    at: int = 0


class OwnershipLost(msgspec.Struct, frozen=True, tag="taken"):
    """Sessions of this director that another one has taken over. `at`: when, by the box's clock (Unix ms)."""

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
    """Parses the bytes of a stream into notices; no I/O. Events of unknown kinds are skipped."""

    buffer: bytes = b""
    expects_hello: bool = True

    def feed(self, data: bytes) -> list[BoxNotice]:
        """Raises NoticeError for an event that is too large or malformed, or a stream without `hello`."""
        self.buffer += data.replace(b"\r\n", b"\n")
        *events, self.buffer = self.buffer.split(b"\n\n")
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise NoticeError(f"event too large: more than {MAX_EVENT_BYTES} bytes")
        notices = [notice for notice in map(self._read, events) if notice is not None]
        if notices and self.expects_hello:
            self.expects_hello = False
            if not isinstance(notices[0], Hello):
                raise NoticeError("the stream does not begin with hello")
        return notices

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
            return None  # a keep-alive comment, or a kind added by a later version
        try:
            notice = msgspec.json.decode(b"\n".join(data), type=_KINDS[kind])
        except msgspec.MsgspecError as error:
            raise NoticeError(f"{kind}: {error}") from error
        if isinstance(notice, Delivered) and not (math.isfinite(notice.share) and 0 <= notice.share <= 1):
            raise NoticeError(f"delivered: share {notice.share} is not between 0 and 1")
        if isinstance(notice, LinkUse) and not _is_valid(notice):
            raise NoticeError(f"link: {notice.link} and {notice.uplink} are not all from 0 to below 1e6")
        return notice


def _is_valid(notice: LinkUse) -> bool:
    numbers = [notice.link] if notice.uplink is None else [notice.link, notice.uplink]
    return all(math.isfinite(number) and 0 <= number < 1e6 for number in numbers)


def encode_notice(notice: BoxNotice) -> bytes:
    """One notice as a server-sent event; for boxes written in Python."""
    kind = type(notice).__struct_config__.tag
    body = msgspec.json.encode(notice)
    return b"event: %b\ndata: %b\n\n" % (str(kind).encode(), body)
