"""When a server with other open connections gets a further one because one was lost. No I/O.

A server sends the release of a session on one connection, and again on the next one that is opened. What it
sent on a connection that was then lost is therefore only heard after another has been opened, however many
are up.

    state   event                                          next    action
    (none)  a connection is lost while sessions play       DUE
    DUE     a connection opens whose opening began later   (none)
    DUE     no sessions play any more                      (none)
    DUE     time passes                                    DUE     open one; the waits grow
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_INTERVAL_MS = 250.0  # between two attempts; doubled with each
MAX_INTERVAL_MS = 4000.0  # the first five attempts lie within 8 s, in which viewers must hear of an end


@dataclass(slots=True)
class Replacement:
    """Whether a connection is to be opened in place of a lost one. All times in ms on one clock."""

    lost_at: float = 0.0  # when the last connection was lost that is not replaced; 0: none
    attempted_at: float = float("-inf")
    interval_ms: float = 0.0  # from the last attempt to the next

    def connection_lost(self, now: float) -> None:
        """Record the loss of a connection while sessions play."""
        self.lost_at = now

    def connection_opened(self, began_at: float) -> None:
        """Record that a connection has opened; `began_at`: when its opening began."""
        if began_at >= self.lost_at:
            self.lost_at = 0.0

    def no_longer_needed(self) -> None:
        """Record that no sessions play."""
        self.lost_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether to open a connection now."""
        return self.lost_at > 0 and now - self.attempted_at >= self.interval_ms

    def attempted(self, now: float) -> None:
        """Record that the opening of a connection has begun."""
        is_repeated = now - self.attempted_at < 2 * MAX_INTERVAL_MS
        self.interval_ms = min(2 * self.interval_ms, MAX_INTERVAL_MS) if is_repeated else MIN_INTERVAL_MS
        self.attempted_at = now
