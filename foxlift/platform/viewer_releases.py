"""Releases that viewers are owed: on which connection each goes, and when it goes again. No I/O.

    release     event                        next      what is done
    (none)      Over, its connection open    SENT      written there
    (none)      Over, closed, another open   SENT      written on the other: a session belongs to none
    (none)      Over, none open              OWED      kept
    SENT        Confirmed                    (none)
    SENT        its connection is gone       as Over   it may not have arrived: written again elsewhere
    OWED        a connection is of use       SENT      written there
    both        OWED_MS since the end        (none)    its viewer has counted it as lost by now

Another's connection is one on which a session was served, the last of them; else one that asked for one. A
connection that never did is nobody's viewer as far as is known.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

RETENTION_MS = 8000.0  # viewers are owed word within 8 s of an end
MAX_UNSENT = 4096  # releases kept while no connection is open
MAX_UNCONFIRMED = 256  # on one connection: of viewers that confirm nothing the oldest has long arrived


@dataclass(frozen=True, slots=True)
class Write:
    """Write the release on the connection."""

    conn: int
    data: bytes


@dataclass(slots=True)
class ViewerReleases:
    """Every release that is not confirmed, and the connections that may carry one."""

    resent: int = 0  # written again because a connection ended
    expired: int = 0
    _serving: dict[int, None] = field(default_factory=dict)  # in order of their last use
    _requesting: dict[int, None] = field(default_factory=dict)
    # by connection and id, in order of their writing: since when it is owed, the release
    _sent: dict[tuple[int, str], tuple[float, bytes]] = field(default_factory=dict)
    _sent_on: dict[int, dict[str, None]] = field(default_factory=dict)  # the same ids by connection
    _unsent: deque[tuple[float, str, bytes]] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self._unsent) + len(self._sent)

    def session_requested(self, now: float, conn: int) -> list[Write]:
        """A session was asked for on the connection."""
        self._requesting.pop(conn, None)
        self._requesting[conn] = None
        self._expire(now)
        return self._send_unsent(now)

    def session_started(self, now: float, conn: int) -> list[Write]:
        """A session of the connection stands."""
        self._serving.pop(conn, None)
        self._serving[conn] = None
        self._expire(now)
        return self._send_unsent(now)

    def add(self, since: float, conn: int, tag: str, data: bytes) -> list[Write]:
        """A session is over, now or then, whose viewer is owed word; `conn` is the one that it came on."""
        if conn not in self._serving and conn not in self._requesting:
            other = next(reversed(self._serving), None) or next(reversed(self._requesting), None)
            if other is None:
                self._unsent.append((since, tag, data))
                if len(self._unsent) > MAX_UNSENT:
                    self._unsent.popleft()
                    self.expired += 1
                return []
            conn = other
        self._expire(since)
        self._sent[conn, tag] = since, data
        tags = self._sent_on.setdefault(conn, {})
        tags[tag] = None
        if len(tags) > MAX_UNCONFIRMED:
            self.confirmed(conn, next(iter(tags)))
        return [Write(conn, data)]

    def _expire(self, now: float) -> None:
        """Forget what no viewer is owed any more: not every viewer confirms."""
        while self._sent:
            conn, tag = next(iter(self._sent))
            if now - self._sent[conn, tag][0] <= RETENTION_MS:
                return
            self.confirmed(conn, tag)
            self.expired += 1

    def confirmed(self, conn: int, tag: str) -> None:
        """The viewer heard it."""
        if self._sent.pop((conn, tag), None) is not None:
            tags = self._sent_on[conn]
            del tags[tag]
            if not tags:
                del self._sent_on[conn]

    def connection_closed(self, now: float, conn: int) -> list[Write]:
        """The connection is over: what it was to carry goes elsewhere."""
        self._serving.pop(conn, None)
        self._requesting.pop(conn, None)
        self._expire(now)
        sent = [(tag, *self._sent.pop((conn, tag))) for tag in self._sent_on.pop(conn, ())]
        self.resent += len(sent)
        return self._resend(now, [(since, tag, data) for tag, since, data in sent])

    def _send_unsent(self, now: float) -> list[Write]:
        unsent, self._unsent = self._unsent, deque()
        return self._resend(now, unsent) if unsent else []

    def _resend(self, now: float, unsent: Iterable[tuple[float, str, bytes]]) -> list[Write]:
        writes: list[Write] = []
        for since, tag, data in unsent:
            if now - since > RETENTION_MS:
                self.expired += 1
            else:
                writes += self.add(since, 0, tag, data)
        return writes
