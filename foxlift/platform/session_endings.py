"""Session ends that cross other messages: unconfirmed releases, abandoned set-ups, ends of unknown sessions.

No I/O. "Released" and "ended" refer to a session at a media server.

    release    event                              next      action
    (none)     release sent                       SENT
    SENT       confirmed by the server            (none)
    SENT       a connection to the server closes  SENT      sent again, as it may have been lost on it
    SENT       RELEASE_RETENTION_MS               (none)    connections open for that long have delivered it
    SENT       MAX_SENDS reached, server removed  (none)

    set-up     event                              next       action
    (none)     abandoned on a connection          ABANDONED  an answer there does not belong to a later set-up
    ABANDONED  confirmed, RELEASE_RETENTION_MS    (none)

    session    event                              next      action
    unknown    its server reports its end         SERVER    recorded
    unknown    its viewer ends it                 VIEWER    recorded
    known      it ends                            EARLIER   recorded
    SERVER     handed over                        SERVER    the viewer gets the release
    VIEWER     handed over                        VIEWER    the server gets the release
    EARLIER    handed over                        EARLIER   none: viewer and server were both notified
    any        END_RETENTION_MS                   (none)

A director that has just started opens connections for the first session handed over to it. On these, the
server sends all ends it still has to report, including ends of sessions that are handed over a moment later.
No side reports such an end twice, so it is recorded until the handover arrives.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

RELEASE_RETENTION_MS = 5000.0
MAX_SENDS = 3
END_RETENTION_MS = 10_000.0  # handovers arrive as soon as the first ping after a start is answered
MAX_ENTRIES = 4096  # in each table; beyond it the oldest is dropped


class EndSource(Enum):
    """Which side reported the end of a session."""

    SERVER = "its box"
    VIEWER = "its viewer"
    EARLIER = "it was over here"


@dataclass(slots=True)
class _Sent:
    sent_at: float
    data: bytes
    sends: int = 1


@dataclass(slots=True)
class SessionEndings:
    """Unconfirmed releases sent to servers, abandoned set-ups, and recorded ends of sessions."""

    resent: int = 0  # number of releases sent again, for the log
    _sent: dict[tuple[int, str], _Sent] = field(default_factory=dict)  # by server and tag, oldest first
    # the same tags by server, oldest first
    _sent_to: dict[int, dict[str, None]] = field(default_factory=dict)
    # abandoned set-ups by server, connection and tag: time of abandoning; oldest first
    _abandoned: dict[tuple[int, int, str], float] = field(default_factory=dict)
    # by tag: time, source, server, cause
    _ends: dict[str, tuple[float, EndSource, int, int]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._sent)

    def expire(self, now: float) -> None:
        """Drop entries past their retention time."""
        while self._sent and now - next(iter(self._sent.values())).sent_at > RELEASE_RETENTION_MS:
            self._forget(*next(iter(self._sent)))
        while self._ends and now - next(iter(self._ends.values()))[0] > END_RETENTION_MS:
            del self._ends[next(iter(self._ends))]
        while self._abandoned and now - next(iter(self._abandoned.values())) > RELEASE_RETENTION_MS:
            del self._abandoned[next(iter(self._abandoned))]

    def release_sent(self, now: float, node: int, tag: str, data: bytes) -> None:
        """Record the release of a playing session that was sent to its server."""
        self._sent[node, tag] = _Sent(now, data)
        self._sent_to.setdefault(node, {})[tag] = None
        if len(self._sent) > MAX_ENTRIES:
            self._forget(*next(iter(self._sent)))

    def _forget(self, node: int, tag: str) -> None:
        """Drop a release, if it is recorded."""
        if self._sent.pop((node, tag), None) is not None:
            tags = self._sent_to[node]
            del tags[tag]
            if not tags:
                del self._sent_to[node]

    def setup_abandoned(self, now: float, node: int, conn: int, tag: str) -> None:
        """Record that an unanswered set-up was abandoned on a connection."""
        self._abandoned[node, conn, tag] = now
        if len(self._abandoned) > MAX_ENTRIES:
            del self._abandoned[next(iter(self._abandoned))]

    def is_abandoned(self, now: float, node: int, conn: int, tag: str) -> bool:
        """Return whether an answer on the connection may belong to an abandoned set-up."""
        abandoned_at = self._abandoned.get((node, conn, tag))
        return abandoned_at is not None and now - abandoned_at <= RELEASE_RETENTION_MS

    def confirmed(self, node: int, conn: int, tag: str) -> None:
        """The server confirmed a release or an abandoned set-up; no answer to the latter can follow."""
        self._forget(node, tag)
        self._abandoned.pop((node, conn, tag), None)

    def connection_lost(self, now: float, node: int) -> list[bytes]:
        """A connection to the server closed: return the releases to send again, as any may have been lost."""
        releases: list[bytes] = []
        for tag in list(self._sent_to.get(node, ())):
            sent = self._sent[node, tag]
            if now - sent.sent_at > RELEASE_RETENTION_MS or sent.sends >= MAX_SENDS:
                self._forget(node, tag)
                continue
            sent.sends += 1
            releases.append(sent.data)
        self.resent += len(releases)
        return releases

    def server_removed(self, node: int) -> None:
        """The server no longer exists, nor do its sessions."""
        for tag in self._sent_to.pop(node, ()):
            del self._sent[node, tag]

    def record_end(self, now: float, tag: str, source: EndSource, node: int = 0, cause: int = 0) -> None:
        """Record the end of a session that is unknown or no longer known. The first report holds."""
        self._ends.setdefault(tag, (now, source, node, cause))
        if len(self._ends) > MAX_ENTRIES:
            del self._ends[next(iter(self._ends))]

    def find_end(self, now: float, tag: str, node: int) -> tuple[EndSource, int] | None:
        """Return source and cause of the end of a session handed over at this server, if it has ended."""
        found = self._ends.get(tag)
        if (
            found is None
            or now - found[0] > END_RETENTION_MS
            or (found[1] is EndSource.SERVER and found[2] != node)
        ):
            return None
        return found[1], found[3]
