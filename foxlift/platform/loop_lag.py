"""Event-loop lag: how long received bytes may have waited unread in the kernel. No I/O.

A client's deadline counts from its last byte, not from the moment this process reads it. The event loop's
clock keeps the time of its last poll, so time spent in the current iteration is accounted for. But bytes that
a poll finds may have arrived at any moment since the previous poll, if the loop was busy between the two.
"""

from __future__ import annotations

from dataclasses import dataclass

IDLE_POLL_MS = 1.5  # a loop that polls again this soon after its work did not wait for events
MIN_LAG_MS = 4.0  # smaller values are within the clock's resolution


@dataclass(slots=True)
class EventLoopLag:
    """Estimates the queueing delay of the bytes read in the current iteration of the loop."""

    polled_at: float = 0.0  # time of the poll of the last iteration with work, ms
    done_at: float = float("-inf")  # time at which that work ended, ms
    queueing_delay: float = 0.0  # upper bound for the bytes of this iteration, ms

    def work_begins(self, polled_at: float) -> float:
        """Start work in the iteration that polled at `polled_at`; return its bytes' queueing delay, ms.

        Call it before any work of an iteration, and `work_ends` after it.
        """
        if polled_at != self.polled_at:
            waited = polled_at - self.polled_at
            was_busy = polled_at - self.done_at < IDLE_POLL_MS
            self.queueing_delay = waited if was_busy and waited >= MIN_LAG_MS else 0.0
            self.polled_at = polled_at
        return self.queueing_delay

    def work_ends(self, now: float) -> None:
        """Record that work of the iteration has ended."""
        self.done_at = now
