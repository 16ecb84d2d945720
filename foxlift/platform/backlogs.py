"""Connections with messages that were read and are not handled yet: each gets a portion in turn.

One client must not keep the loop from the others, however fast it sends. A connection handles a portion of
what it has read at once; the rest waits here, and nothing more is read from it meanwhile. In each iteration
of the loop one portion of what waits is handled, round robin, and the sockets are polled in between.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol


class Backlogged(Protocol):
    """A connection that may have messages which are not handled yet."""

    def handle_portion(self) -> bool:
        """Handle some messages; return whether more can be handled now."""


class Backlogs:
    """The connections that wait for their turn. `call_soon` calls a function in the loop's next iteration."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._waiting: deque[Backlogged] = deque()

    def __len__(self) -> int:
        """Return the number of connections that wait."""
        return len(self._waiting)

    def add(self, connection: Backlogged) -> None:
        """Let a connection wait for its turn. It must not wait already."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            self._call_soon(self._take_turn)

    def _take_turn(self) -> None:
        if len(self._waiting) > 1:
            self._call_soon(self._take_turn)
        connection = self._waiting.popleft()
        if connection.handle_portion():
            self.add(connection)
