"""Ends that cross: releases on their way to boxes, and words on sessions that are not known yet. No I/O.

    release    event                              next      what is done
    (none)     Sent                               SENT
    SENT       Heard by the box                   (none)
    SENT       a connection to the box is over    SENT      sent again: it may have been on it
    SENT       KEPT_MS, the box is gone           (none)    a connection that stood so long has carried it

    set-up     event                              next      what is done
    (none)     given up on a connection           OLD       an answer to its id there is not a later one's
    OLD        the box confirms it, KEPT_MS       (none)

    session    event                              next      what is done
    unknown    its box says that it is over       OVER      remembered
    unknown    its viewer ends it                 ENDED     remembered
    known      it is over                         PAST      remembered
    OVER       it is handed over                  (none)    its viewer is told
    ENDED      it is handed over                  (none)    its box is told
    PAST       it is handed over                  PAST      nothing: both were told

A director that has just started opens connections for the first session that is handed over to it, and its
box sends all ends that it still owes on them: of sessions, too, that are handed over a moment later. Nobody
says such an end twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

RELEASE_RETENTION_MS = 5000.0
MAX_SENDS = 3
END_RETENTION_MS = 10_000.0  # hand-overs come as soon as a start's first test is passed; this is ample
MAX_ENTRIES = 4096  # of each kind; the oldest goes


class EndSource(Enum):
    """Who said that a session is over."""

    SERVER = "its box"
    VIEWER = "its viewer"
    EARLIER = "it was over here"


@dataclass(slots=True)
class _Sent:
    since: float
    data: bytes
    sends: int = 1


@dataclass(slots=True)
class SessionEndings:
    """Releases at boxes that are not confirmed, and ends of sessions that nobody here knows."""

    resent: int = 0  # sent again, for the log
    _sent: dict[tuple[int, str], _Sent] = field(default_factory=dict)  # by box and id, oldest first
    _sent_to: dict[int, dict[str, None]] = field(default_factory=dict)  # the same ids by box, oldest first
    # set-ups that were given up: box, connection and id, since when, oldest first
    _abandoned: dict[tuple[int, int, str], float] = field(default_factory=dict)
    _ends: dict[str, tuple[float, EndSource, int, int]] = field(
        default_factory=dict
    )  # by id: when, who, box, cause

    def __len__(self) -> int:
        return len(self._sent)

    def expire(self, now: float) -> None:
        """Forget what is too old to matter."""
        while self._sent and now - next(iter(self._sent.values())).since > RELEASE_RETENTION_MS:
            self._forget(*next(iter(self._sent)))
        while self._ends and now - next(iter(self._ends.values()))[0] > END_RETENTION_MS:
            del self._ends[next(iter(self._ends))]
        while self._abandoned and now - next(iter(self._abandoned.values())) > RELEASE_RETENTION_MS:
            del self._abandoned[next(iter(self._abandoned))]

    def release_sent(self, now: float, node: int, tag: str, data: bytes) -> None:
        """A release of a session that stood is on its way to its box."""
        self._sent[node, tag] = _Sent(now, data)
        self._sent_to.setdefault(node, {})[tag] = None
        if len(self._sent) > MAX_ENTRIES:
            self._forget(*next(iter(self._sent)))

    def _forget(self, node: int, tag: str) -> None:
        """Forget a release, if it is kept."""
        if self._sent.pop((node, tag), None) is not None:
            tags = self._sent_to[node]
            del tags[tag]
            if not tags:
                del self._sent_to[node]

    def setup_abandoned(self, now: float, node: int, conn: int, tag: str) -> None:
        """A set-up that has no answer was given up on a connection."""
        self._abandoned[node, conn, tag] = now
        if len(self._abandoned) > MAX_ENTRIES:
            del self._abandoned[next(iter(self._abandoned))]

    def is_abandoned(self, now: float, node: int, conn: int, tag: str) -> bool:
        """Whether an answer there may still be the one of a set-up that was given up."""
        since = self._abandoned.get((node, conn, tag))
        return since is not None and now - since <= RELEASE_RETENTION_MS

    def confirmed(self, node: int, conn: int, tag: str) -> None:
        """The box confirmed a release, or that a set-up is given up: what it said of that came before."""
        self._forget(node, tag)
        self._abandoned.pop((node, conn, tag), None)

    def connection_lost(self, now: float, node: int) -> list[bytes]:
        """A connection to the box is over: what may have been on it is to be sent again."""
        found: list[bytes] = []
        for tag in list(self._sent_to.get(node, ())):
            release_sent = self._sent[node, tag]
            if now - release_sent.since > RELEASE_RETENTION_MS or release_sent.sends >= MAX_SENDS:
                self._forget(node, tag)
                continue
            release_sent.sends += 1
            found.append(release_sent.data)
        self.resent += len(found)
        return found

    def server_removed(self, node: int) -> None:
        """The box is no more, and its sessions with it."""
        for tag in self._sent_to.pop(node, ()):
            del self._sent[node, tag]

    def record_end(self, now: float, tag: str, source: EndSource, node: int = 0, cause: int = 0) -> None:
        """A session is over that is not known, or no longer. The first word holds."""
        self._ends.setdefault(tag, (now, source, node, cause))
        if len(self._ends) > MAX_ENTRIES:
            del self._ends[next(iter(self._ends))]

    def find_end(self, now: float, tag: str, node: int) -> tuple[EndSource, int] | None:
        """Whether a session that is handed over, at this box, is over, and with which cause."""
        found = self._ends.get(tag)
        if (
            found is None
            or now - found[0] > END_RETENTION_MS
            or (found[1] is EndSource.SERVER and found[2] != node)
        ):
            return None
        return found[1], found[3]
