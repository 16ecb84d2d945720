"""The one place where the loop's time becomes the module's milliseconds, and where a loop that stood still is
seen.

The module's clock is Unix time in ms, read once at the start and carried on by the loop: it never steps back,
and a box's stated start time means on it what it says.

Timers are kept in one heap. When the loop has stood still for longer than `stall_ms`, what is due is held
back until the loop has looked at its sockets: an answer that came during the stall must not lose to a
time-out that came due after it, and the module must see both in the order in which they happened as nearly as
can be told.

A look is a timer of the loop's own: its timers run before its sockets are read, so only what a further timer
waits for has been read. The loop knows whole milliseconds and runs what is nearer than that at once, before
any look. Three looks: the first accepts a connection, the second reads it, the third hears its end.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from itertools import count

SOON_S = 0.001  # one look at the sockets; the loop takes anything shorter for none
LOOKS = 3


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
        self._handle: asyncio.TimerHandle | None = None
        self._looks = 0  # the loop has taken at its sockets since it stood still
        self.stalls = 0
        self.closed = False

    def now(self) -> float:
        """Unix time in ms on the module's clock."""
        return self._offset_ms + self._loop.time() * 1000

    def unix_s(self) -> float:
        """The same in seconds."""
        return self.now() / 1000

    def at(self, loop_s: float) -> float:
        """A moment of the loop's clock on the module's."""
        return self._offset_ms + loop_s * 1000

    def later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call back after so many milliseconds; in order of due time, then of asking."""
        due = self._loop.time() + delay_ms / 1000
        heapq.heappush(self._heap, (due, next(self._order), callback))
        if self._heap[0][0] == due:
            self._arm()

    def _arm(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        if self._heap and not self.closed:
            self._handle = self._loop.call_at(self._heap[0][0], self._due)

    def _due(self) -> None:
        self._handle = None
        now = self._loop.time()
        late = now - self._heap[0][0] if self._heap else 0.0
        if late > self._stall_s and self._looks < LOOKS:
            if not self._looks:
                self.stalls += 1
                self._on_stall(late * 1000)
            self._looks += 1
            self._handle = self._loop.call_later(SOON_S, self._due)
            return
        self._looks = 0
        try:
            while self._heap and self._heap[0][0] <= now and not self.closed:
                heapq.heappop(self._heap)[2]()
        finally:
            self._arm()  # a callback that fails must not take the others' time with it

    def close(self) -> None:
        """No timer comes due any more."""
        self.closed = True
        self._arm()
        self._heap.clear()
