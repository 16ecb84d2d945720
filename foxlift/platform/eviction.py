"""Selects the connection to close when a share of the descriptors is used up. No I/O.

The shares are defined in `descriptors`; `admission` selects among connections from clients.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from foxlift.platform.descriptors import MAX_CLOSING
from foxlift.platform.server_pool import ServerPool

# minimum time a connection stays open to receive messages about sessions when other servers need one too
MIN_LISTENING_MS = 1000.0


@dataclass(frozen=True, slots=True)
class ConnectionKey:
    """Identifies one connection to a server."""

    node: int
    conn: int


def select_connection_to_close(
    now: float, servers: Mapping[int, ServerPool], min_listening_ms: float
) -> ConnectionKey | None:
    """Return the connection to close in favour of another server, or None if all are in use. `now` in ms.

    Connections with an unanswered set-up are not closed. Connections that are not needed to receive messages
    about sessions come first, longest unused first. Then come those that are needed for it and have been open
    for `min_listening_ms`, oldest first, so that servers take turns: by the protocol, a server sends what it
    has to report on the next connection.
    """
    idle: list[tuple[bool, float, ConnectionKey]] = []
    for node, server in servers.items():
        listening = server.latest_up if server.sessions else None
        for conn, connection in server.connections.items():
            if not connection.up or connection.in_flight or server.waiting:
                continue
            is_listening = conn == listening
            if is_listening and now - connection.opened_at < min_listening_ms:
                continue
            age = connection.opened_at if is_listening else connection.last_used_at
            idle.append((is_listening, age, ConnectionKey(node, conn)))
    return min(idle, key=lambda each: each[:2])[2] if idle else None


def turn_order(servers: Mapping[int, ServerPool]) -> list[int]:
    """Return the servers in the order in which they may open connections: those that wait longest first."""
    waiting: list[tuple[float, int]] = []
    others: list[int] = []
    for node, server in servers.items():
        if server.waits_since is None:
            others.append(node)
        else:
            waiting.append((server.waits_since, node))
    return [node for _, node in sorted(waiting)] + others


class Abortable(Protocol):
    """A connection that can be aborted."""

    def abort(self) -> None:
        """Close at once and discard unsent bytes."""


@dataclass(slots=True)
class ClosingConnections:
    """At most `MAX_CLOSING` closed connections with bytes that the peer has not received yet."""

    closing: dict[Abortable, None] = field(default_factory=dict)  # in order of closing

    def add(self, connection: Abortable) -> None:
        """Add a connection closed with unsent bytes; abort the one closed first if there are too many."""
        self.closing[connection] = None
        if len(self.closing) > MAX_CLOSING:
            oldest = next(iter(self.closing))
            del self.closing[oldest]
            oldest.abort()

    def discard(self, connection: Abortable) -> None:
        """Remove a connection whose transport has closed."""
        self.closing.pop(connection, None)
