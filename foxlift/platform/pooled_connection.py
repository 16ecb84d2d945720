"""The state of one connection to a media server, and what follows from it for its use. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

PING_IDLE_MS = 900.0  # silence after which a connection with unanswered set-ups or sessions is pinged
PING_TIMEOUT_MS = 900.0  # a running server answers a ping at once, however slow its set-ups are
INCOMPLETE_TIMEOUT_MS = PING_TIMEOUT_MS  # the rest of a message that has begun follows at once, too
MAX_IDLE_RATIO = 0.6  # of the server's idle timeout; after that this side closes first


class SetupAnswer(Enum):
    """Whether a set-up that was sent on a connection has ended with its answer."""

    RECEIVED = "received, or nothing was sent"
    CANCELLED = "cancelled before its answer"
    OVERDUE = "not received within the set-up's time"


@dataclass(slots=True)
class PooledConnection:
    """One connection of a `ServerPool`. All times in ms on the clock of the pool's events."""

    opened_at: float  # when the attempt to open it began
    idle_timeout_ms: float  # of the server
    up: bool = False
    in_flight: int = 0  # set-ups sent on it and not answered
    last_received_at: float = 0.0
    last_used_at: float = 0.0
    pinged_at: float = 0.0  # 0: no unanswered ping
    incomplete_since: float = 0.0  # when a message began of which a part is missing; 0: none
    missing_answer: SetupAnswer | None = None  # of a set-up that has ended; None once a message has come
    outdated: bool = False  # to a former address of the server: no new set-ups are sent on it

    @property
    def is_usable(self) -> bool:
        """Whether set-ups may be sent on it: it is up, and nothing suggests that it may be dead."""
        return self.up and not (self.pinged_at or self.is_doubtful or self.outdated)

    @property
    def is_doubtful(self) -> bool:
        """Whether a message of the server, or the rest of one, is overdue on this connection."""
        return self.missing_answer is SetupAnswer.OVERDUE or self.incomplete_since > 0

    @property
    def may_be_pinged(self) -> bool:
        """Whether a ping may be sent: its answer must not be taken for the rest of an incomplete message."""
        return not (self.pinged_at or self.incomplete_since)

    def is_idle(self, now: float) -> bool:
        """Return whether it was unused for so long that the server may be closing it."""
        return now - self.last_used_at >= self.idle_timeout_ms * MAX_IDLE_RATIO

    def is_ping_due(self, now: float, is_needed: bool) -> bool:
        """Return whether to ping it. `is_needed`: it has unanswered set-ups or receives for sessions."""
        unproven = self.missing_answer is not None
        return self.may_be_pinged and (unproven or (is_needed and self.is_quiet(now)))

    def setup_ended(self, answer: SetupAnswer) -> None:
        """Record the end of a set-up on this connection."""
        self.in_flight = max(self.in_flight - 1, 0)
        if answer is not SetupAnswer.RECEIVED and self.missing_answer is not SetupAnswer.OVERDUE:
            self.missing_answer = answer

    def is_quiet(self, now: float) -> bool:
        """Return whether nothing was sent or received for so long that it must be pinged if it is needed."""
        quiet_ms = now - max(self.last_received_at, self.last_used_at)
        return quiet_ms >= min(PING_IDLE_MS, self.idle_timeout_ms * MAX_IDLE_RATIO)

    def is_dead(self, now: float) -> bool:
        """Return whether a message of the server is overdue: the answer to a ping, or the rest of one."""
        if self.incomplete_since and now - self.incomplete_since >= INCOMPLETE_TIMEOUT_MS:
            return True
        return bool(self.pinged_at) and now - self.pinged_at >= PING_TIMEOUT_MS
