"""Open set-ups: those accepted from viewers and not answered. How many each connection may have. No I/O.

Each open set-up takes memory and work until it is answered. A connection may have a fixed part of what is
free in all (the dynamic threshold of A. Choudhury and E. Hahne, "Dynamic queue length thresholds for
shared-memory packet switches", 1998): one client alone gets many, and if several take many, something is
left for all others.
"""

from __future__ import annotations

from collections.abc import Iterator

MAX_OPEN_SETUPS = 2048  # of all connections
FREE_RATIO = 0.25  # of what is free, for one connection


class OpenSetups:
    """The numbers of the open set-ups, by viewer's connection."""

    def __init__(self) -> None:
        self._by_conn: dict[int, set[int]] = {}
        self.total = 0

    def __len__(self) -> int:
        """Return the number of connections with an open set-up."""
        return len(self._by_conn)

    def __iter__(self) -> Iterator[int]:
        return (number for numbers in self._by_conn.values() for number in numbers)

    def of(self, conn: int) -> frozenset[int]:
        """Return the open set-ups of a connection."""
        return frozenset(self._by_conn.get(conn, ()))

    def count(self, conn: int) -> int:
        """Return the number of open set-ups of a connection."""
        return len(self._by_conn.get(conn, ()))

    def has_room(self, conn: int) -> bool:
        """Return whether the connection may open one more."""
        return self.count(conn) < (MAX_OPEN_SETUPS - self.total) * FREE_RATIO

    def add(self, conn: int, number: int) -> None:
        """Add an open set-up, which must be a new one."""
        self._by_conn.setdefault(conn, set()).add(number)
        self.total += 1

    def remove(self, conn: int, number: int) -> bool:
        """Remove a set-up that was answered or needs no answer; return whether it was open."""
        numbers = self._by_conn.get(conn)
        if numbers is None or number not in numbers:
            return False
        numbers.remove(number)
        self.total -= 1
        if not numbers:
            del self._by_conn[conn]
        return True
