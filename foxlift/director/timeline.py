"""Clock and timers of a director: converts the event loop's time to the module's clock and detects stalls.

The module's clock is Unix time in ms, read once at the start and advanced by the loop's monotonic clock: it
never steps back, and start times that boxes state in Unix time can be compared with it.

Timers are kept in one heap. After a stall of the loop longer than `stall_ms`, due timers are held back until
the loop has polled its sockets: a response that arrived during the stall must not lose to a time-out that
became due later, and the module should see both in the order in which they happened.

To poll the sockets once, a timer of the loop is set: the loop runs its timers before it reads its sockets, so
only when a further timer runs have they been read. The loop counts in whole milliseconds and runs shorter
timers at once, without a poll. Three polls are needed: the first accepts a connection, the second reads from
it, the third sees it closed.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count

POLL_DELAY_S = 0.001  # the loop runs shorter timers at once, without polling its sockets
POLLS_AFTER_STALL = 3


class Timeline:
    """Clock and timers of one director."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        unix_s: float,
        stall_ms: float,
        on_stall: Callable[[float], None],
    ) -> None:
        self._loop, self._stall_s, self._on_stall = loop, stall_ms / 1000, on_stall
        self._offset_ms = unix_s * 1000 - loop.time() * 1000
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._timer: asyncio.TimerHandle | None = None
        self._polls = 0  # of the sockets since the stall
        self.stalls = 0
        self.closed = False

    def now(self) -> float:
        """Unix time in ms on the module's clock."""
        return self._offset_ms + self._loop.time() * 1000

    def unix_s(self) -> float:
        """Unix time in seconds on the module's clock."""
        return self.now() / 1000

    def at(self, loop_s: float) -> float:
        """Convert a time of the loop's clock to the module's clock."""
        return self._offset_ms + loop_s * 1000

    def later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_ms`; callbacks run in order of due time, then of registration."""
        due = self._loop.time() + delay_ms / 1000
        heapq.heappush(self._heap, (due, next(self._order), callback))
        if self._heap[0][0] == due:
            self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._heap and not self.closed:
            self._timer = self._loop.call_at(self._heap[0][0], self._run_due)

    def _run_due(self) -> None:
        self._timer = None
        now = self._loop.time()
        late_s = now - self._heap[0][0] if self._heap else 0.0
        if late_s > self._stall_s and self._polls < POLLS_AFTER_STALL:
            if not self._polls:
                self.stalls += 1
                self._on_stall(late_s * 1000)
            self._polls += 1
            self._timer = self._loop.call_later(POLL_DELAY_S, self._run_due)
            return
        self._polls = 0
        try:
            while self._heap and self._heap[0][0] <= now and not self.closed:
                heapq.heappop(self._heap)[2]()
        finally:
            self._schedule()  # even if a callback raises, the other timers still run

    def close(self) -> None:
        """Drop all timers."""
        self.closed = True
        self._schedule()
        self._heap.clear()
