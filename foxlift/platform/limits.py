"""Who may stay connected, and how long bytes lay unread. No I/O.

Viewers hold at most a third of the descriptors by the platform's word; whoever connects beyond, or says
nothing, is nobody's viewer yet and is the first to go. A connection is *proven* once a whole message came on
it that makes sense.

    connection  event                        what is done
    unproven    older than UNPROVEN_MS       shut
    any         half a message for HALF_MS   shut
    any         MOST_BLAMED without sense    shut
    any         one too many connects        shut the oldest unproven; else the longest quiet one without a
                                             session; else the one that came
"""

from __future__ import annotations

from dataclasses import dataclass, field

UNPROVEN_MS = 2000.0  # bad clients are owed a close within 3 s of connecting
HALF_MS = 1500.0  # a viewer writes a line at once; half of one is none
VIEWER_PART = 0.55  # of the descriptors: a third for viewers, the rest for those who are not yet known
BOX_PART = 0.3  # of the descriptors, for media boxes
MOST_PER_BOX = 32  # connections: more set-ups at once than that share connections
RESERVED = 16  # descriptors: the loop's own, the listener, the coordinator's old and new connection, logs
MOST_BLAMED = 40  # messages without sense, each answered, after which a connection is shut
LOOK_MS = 1.5  # a loop that looks at its sockets again within this was not waiting for them
LEAST_LAG_MS = 4.0  # less than this is the clock's own grain


def viewer_connections(descriptors: int) -> int:
    """How many connections from viewers, known or not, there is room for."""
    return max(int(descriptors * VIEWER_PART) - RESERVED, 8)


def box_connections(descriptors: int, boxes: int) -> int:
    """How many connections one of so many boxes may have; at least one, whatever the limit."""
    return max(min(int(descriptors * BOX_PART) // max(boxes, 1), MOST_PER_BOX), 1)


@dataclass(slots=True)
class _Door:
    since: float
    proven: bool = False
    half_since: float = 0.0  # 0: no half message
    heard_at: float = 0.0
    sessions: int = 0  # open or standing
    blamed: int = 0  # messages that made no sense


@dataclass(slots=True)
class Doors:
    """Every connection from viewers."""

    most: int
    doors: dict[int, _Door] = field(default_factory=dict)  # in order of their coming
    turned_away: int = 0

    def opened(self, now: float, conn: int) -> int | None:
        """A connection came; the one to shut for it, if any."""
        self.doors[conn] = _Door(now, heard_at=now)
        if len(self.doors) <= self.most:
            return None
        self.turned_away += 1
        unproven = next((name for name, door in self.doors.items() if not door.proven), conn)
        if unproven == conn:
            quiet = [(d.heard_at, name) for name, d in self.doors.items() if not d.sessions and name != conn]
            unproven = min(quiet)[1] if quiet else conn
        del self.doors[unproven]  # hundreds may come before its end is heard: the next needs another's place
        return unproven

    def heard(self, now: float, conn: int, proven: bool, half: bool) -> None:
        """Bytes came; `proven`: a message that makes sense was among them; `half`: one is not whole yet."""
        door = self.doors.get(conn)
        if door is not None:
            door.heard_at = now
            door.proven |= proven
            door.half_since = (door.half_since or now) if half else 0.0

    def sessions(self, conn: int, more: int) -> None:
        """Sessions on the connection have come or gone."""
        door = self.doors.get(conn)
        if door is not None:
            door.sessions = max(door.sessions + more, 0)

    def blame(self, conn: int) -> bool:
        """A message on the connection made no sense; whether to shut it, after the answer to it."""
        door = self.doors.get(conn)
        if door is None:
            return False
        door.blamed += 1
        return door.blamed == MOST_BLAMED

    def closed(self, conn: int) -> None:
        """The connection is over."""
        self.doors.pop(conn, None)

    def overdue(self, now: float) -> list[int]:
        """Connections to shut by now."""
        late = [
            name
            for name, door in self.doors.items()
            if (not door.proven and now - door.since >= UNPROVEN_MS)
            or (door.half_since and now - door.half_since >= HALF_MS)
        ]
        for name in late:
            del self.doors[name]  # told once: how long its closing takes is its transport's business
        return late


@dataclass(slots=True)
class Lag:
    """How long bytes that are read now may have lain unread, because the loop was busy or stood still.

    A viewer's time runs from its last byte, not from when this process came to read it. The loop's clock
    stands at its last look at the sockets, so what a round takes itself is not lost. But what a look finds
    may have come at any moment since the look before, if the loop was busy all the time between the two.
    """

    polled_at: float = 0.0  # of the last round with work: when the loop looked at its sockets, ms
    done_at: float = float("-inf")  # when that work was finished
    lay: float = 0.0  # what this round's bytes may have waited for the round before

    def look(self, polled_at: float) -> float:
        """Work of the round that looked at its sockets then; how long what it read may have waited, ms.

        To be called before any work of a round, as `done` after it.
        """
        if polled_at != self.polled_at:
            waited = polled_at - self.polled_at
            at_once = polled_at - self.done_at < LOOK_MS
            self.lay = waited if at_once and waited >= LEAST_LAG_MS else 0.0
            self.polled_at = polled_at
        return self.lay

    def done(self, now: float) -> None:
        """Some work of the round is finished."""
        self.done_at = now
