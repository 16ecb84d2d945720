"""Releases to viewers: the connection each is sent on, and when it is sent again. No I/O.

    release     event                             next      action
    (none)      add, its connection in use        SENT      written there
    (none)      add, another connection in use    SENT      written there: a session may use any connection
    (none)      add, no connection in use         UNSENT    kept
    SENT        confirmed                         (none)
    SENT        its connection closes             as add    sent again elsewhere, as it may be lost
    SENT        was not on a viewers' connection  SENT      written on the next that shows itself one
    SENT        MAX_UNCONFIRMED on a connection   (none)    the oldest is dropped if it has surely arrived
    UNSENT      a connection comes into use       SENT      written there
    UNSENT      MAX_UNSENT exceeded               (none)    the oldest is dropped
    both        RETENTION_MS since the end        (none)    the viewer has counted the session as lost

The other connection is a viewers' connection, else the one on which a session was requested last. Viewers'
are those on which a session started, latest first, or which ended one that played: the front tests a
director on connections, too, and anybody can request sessions that are not served, or end an unknown one.
So a release that was written on another connection is written once more, on the next viewers' connection,
unless it was confirmed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import islice

RETENTION_MS = 8000.0  # viewers must be notified within 8 s of an end
MAX_UNSENT = 4096  # releases kept while no connection is in use
MAX_UNCONFIRMED = 256  # per connection, of those written more than DELIVERY_MS ago
DELIVERY_MS = 1000.0  # after which a release on an open connection has arrived, confirmed or not


@dataclass(frozen=True, slots=True)
class Write:
    """Action: write the release on the connection."""

    conn: int
    data: bytes


@dataclass(frozen=True, slots=True)
class _Sent:
    ended_at: float  # the session
    written_at: float
    data: bytes
    was_passed_on: bool = False  # to another connection


@dataclass(slots=True)
class ViewerReleases:
    """Unconfirmed releases and the connections that may carry them."""

    resent: int = 0  # number of releases written again because a connection closed
    expired: int = 0  # number of releases dropped after RETENTION_MS or beyond MAX_UNSENT
    # connections on which a session started, least recent first
    _serving: dict[int, None] = field(default_factory=dict)
    # connections on which one was requested, or ended by its viewer
    _requesting: dict[int, None] = field(default_factory=dict)
    _sent: dict[tuple[int, str], _Sent] = field(default_factory=dict)  # by connection and tag, as written
    _sent_on: dict[int, dict[str, None]] = field(default_factory=dict)  # the same tags by connection
    _unsent: deque[tuple[float, str, bytes]] = field(default_factory=deque)
    # by tag: the connection of releases that were written, but on no viewers' connection; oldest first
    _doubtful: dict[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._unsent) + len(self._sent)

    def session_requested(self, now: float, conn: int) -> list[Write]:
        """A session was requested on the connection: return the releases to write now."""
        self._requesting.pop(conn, None)
        self._requesting[conn] = None
        self._expire(now)
        return self._send_unsent(now)

    def session_ended_by_viewer(self, now: float, conn: int) -> list[Write]:
        """A session that plays was ended on the connection: return the releases to write now."""
        return [] if conn in self._serving else self.session_started(now, conn)

    def session_started(self, now: float, conn: int) -> list[Write]:
        """A session of the connection started: return the releases to write now."""
        self._serving.pop(conn, None)
        self._serving[conn] = None
        self._expire(now)
        return self._send_unsent(now) + self._send_doubtful(now, conn)

    def add(self, now: float, conn: int, tag: str, data: bytes) -> list[Write]:
        """Add the release of a session that ended now; `conn`: the connection it was requested on."""
        return self._add(now, now, conn, tag, data)

    def _add(self, now: float, ended_at: float, conn: int, tag: str, data: bytes) -> list[Write]:
        if conn not in self._serving and conn not in self._requesting:
            other = next(reversed(self._serving), None) or next(reversed(self._requesting), None)
            if other is None:
                self._unsent.append((ended_at, tag, data))
                if len(self._unsent) > MAX_UNSENT:
                    self._unsent.popleft()
                    self.expired += 1
                return []
            conn = other
        self._expire(now)
        if conn not in self._serving:
            self._doubtful[tag] = conn
        earlier = self._sent.get((conn, tag))
        if earlier is not None:
            self._sent[conn, tag] = replace(earlier, was_passed_on=False)
            return []
        self._sent[conn, tag] = _Sent(ended_at, now, data)
        tags = self._sent_on.setdefault(conn, {})
        tags[tag] = None
        self._drop_delivered(now, conn, tags)
        return [Write(conn, data)]

    def _drop_delivered(self, now: float, conn: int, tags: dict[str, None]) -> None:
        """Drop the oldest of a connection beyond MAX_UNCONFIRMED: not every viewer confirms."""
        excess = len(tags) - MAX_UNCONFIRMED
        for tag in list(islice(tags, max(excess, 0))):
            if now - self._sent[conn, tag].written_at <= DELIVERY_MS and len(tags) <= MAX_UNSENT:
                return
            self._forget(conn, tag)

    def _expire(self, now: float) -> None:
        """Drop releases past RETENTION_MS: not every viewer confirms."""
        while self._sent:
            conn, tag = next(iter(self._sent))
            if now - self._sent[conn, tag].ended_at <= RETENTION_MS:
                return
            self._forget(conn, tag)
            self.expired += 1

    def confirmed(self, conn: int, tag: str) -> None:
        """The viewer confirmed the release."""
        self._forget(conn, tag)

    def _forget(self, conn: int, tag: str) -> None:
        if self._sent.pop((conn, tag), None) is not None:
            tags = self._sent_on[conn]
            del tags[tag]
            if not tags:
                del self._sent_on[conn]
            if self._doubtful.get(tag) == conn:
                del self._doubtful[tag]

    def connection_closed(self, now: float, conn: int) -> list[Write]:
        """The connection closed: return its unconfirmed releases to write on another connection."""
        self._serving.pop(conn, None)
        self._requesting.pop(conn, None)
        self._expire(now)
        sent = [(tag, self._sent.pop((conn, tag))) for tag in self._sent_on.pop(conn, ())]
        for tag, _ in sent:
            if self._doubtful.get(tag) == conn:
                del self._doubtful[tag]
        lost = [(each.ended_at, tag, each.data) for tag, each in sent if not each.was_passed_on]
        self.resent += len(lost)
        return self._resend(now, lost)

    def _send_unsent(self, now: float) -> list[Write]:
        unsent, self._unsent = self._unsent, deque()
        return self._resend(now, unsent) if unsent else []

    def _send_doubtful(self, now: float, conn: int) -> list[Write]:
        """Write releases on a viewers' connection that were written on others only."""
        doubtful, self._doubtful = self._doubtful, {}
        writes: list[Write] = []
        for tag, former in doubtful.items():
            sent = self._sent.get((former, tag))  # None: it has expired meanwhile
            if sent is not None and former != conn:
                self._sent[former, tag] = replace(sent, was_passed_on=True)
                writes += self._add(now, sent.ended_at, conn, tag, sent.data)
        self.resent += len(writes)
        return writes

    def _resend(self, now: float, unsent: Iterable[tuple[float, str, bytes]]) -> list[Write]:
        writes: list[Write] = []
        for since, tag, data in unsent:
            if now - since > RETENTION_MS:
                self.expired += 1
            else:
                writes += self._add(now, since, 0, tag, data)
        return writes
