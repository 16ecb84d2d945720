"""Which connection gives up its descriptor where a share is used up. No I/O.

The shares stand in `descriptors`; which connection from clients is closed for a new one, in `admission`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from foxlift.platform.descriptors import MAX_CLOSING
from foxlift.platform.server_pool import ServerPool

MIN_LISTENING_MS = 1000.0  # a connection that sessions are heard on stays so long where others want the same


@dataclass(frozen=True, slots=True)
class ConnectionKey:
    """Names one connection to a server."""

    node: int
    conn: int


def select_connection_to_close(
    now: float, servers: Mapping[int, ServerPool], min_listening_ms: float
) -> ConnectionKey | None:
    """The connection to close for another server's; None where each is in use. `now` in ms.

    None with a set-up out is closed. One that no session is heard on goes first, the longest unused before
    others; then the oldest of those that sessions are heard on, so that servers take turns: what a server
    has to say meanwhile it says on the next connection, by the protocol. These stay `min_listening_ms`.
    """
    idle: list[tuple[bool, float, ConnectionKey]] = []
    for node, server in servers.items():
        listened = server.latest_up if server.sessions else None
        for conn, connection in server.connections.items():
            if not connection.up or connection.in_flight or server.waiting:
                continue
            is_listening = conn == listened
            if is_listening and now - connection.opened_at < min_listening_ms:
                continue
            age = connection.opened_at if is_listening else connection.last_used_at
            idle.append((is_listening, age, ConnectionKey(node, conn)))
    return min(idle, key=lambda each: each[:2])[2] if idle else None


class Abortable(Protocol):
    """A connection that can be cut."""

    def abort(self) -> None:
        """Cut it; what is unsent is lost."""


@dataclass(slots=True)
class ClosingConnections:
    """Closed connections whose last bytes the other side has not taken. Never more than `MAX_CLOSING`."""

    closing: dict[Abortable, None] = field(default_factory=dict)  # in order of their close

    def add(self, connection: Abortable) -> None:
        """It was closed with bytes unsent; the longest closed gives way where there are too many."""
        self.closing[connection] = None
        if len(self.closing) > MAX_CLOSING:
            oldest = next(iter(self.closing))
            del self.closing[oldest]
            oldest.abort()

    def discard(self, connection: Abortable) -> None:
        """It is over."""
        self.closing.pop(connection, None)
