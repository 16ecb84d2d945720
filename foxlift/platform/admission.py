"""Connection admission: which connections from clients stay open under the descriptor limit. No I/O.

By the platform's protocol, clients hold at most a third of the descriptors. Connections beyond the bound are
closed to make room. A connection is *proven* once a complete, valid message has been received on it.

    group      members                                         order within the group
    new        not proven, no message begun                    time of accept
    partial    a message has begun and is not complete         time of its first byte
    idle       proven, no session                              time of the last message
    standing   proven, sessions that play, no open set-up      time of the last message
    busy       with an open set-up                             -

    connection  event                                                  action
    any         not proven after FIRST_REQUEST_TIMEOUT_MS              closed
    any         a message incomplete for PARTIAL_MESSAGE_TIMEOUT_MS    closed
    any         MAX_PROTOCOL_ERRORS invalid messages                   closed
    any         more connections than the bound                        one is evicted, see below

The connection to evict is the first that exists of:
1. the oldest new connection, if it is older than FIRST_BYTE_GRACE_MS;
2. the oldest new connection, else the oldest unproven one, if unproven connections exceed
   MAX_UNPROVEN_RATIO of the bound (a connection that was just accepted counts as new only in rule 1);
3. the connection that has been idle longest;
4. the oldest new connection;
5. the oldest partial connection without a session;
6. the standing connection without a message for longest: a session that plays belongs to no connection;
7. the oldest partial connection without an open set-up;
8. the connection with the most open set-ups; of several, the one with the most set-ups that failed. Its open
   set-ups must be answered before it is closed, since a request that was read needs its answer.

A fall of the bound evicts nothing by rule 8: connections beyond it stay until their set-ups have ended.

New connections are preferred to idle ones because a client's first request arrives some round trips after its
connect and may come in several segments, while the platform's clients close idle connections themselves. The
preference ends at MAX_UNPROVEN_RATIO so that clients which open hundreds of connections without sending a
request displace each other instead of everyone else.
"""

from __future__ import annotations

from dataclasses import dataclass, field

FIRST_REQUEST_TIMEOUT_MS = 2000.0  # invalid clients must be closed within 3 s of connecting
PARTIAL_MESSAGE_TIMEOUT_MS = 1500.0  # clients write a complete line at once
FIRST_BYTE_GRACE_MS = 500.0  # the first byte follows the connect by one or two round trips
MAX_UNPROVEN_RATIO = 0.25  # of the bound; up to this share, unproven connections displace idle ones
MAX_OVERSHOOT = 8  # connections over the bound until all sockets are read: half of RESERVED_DESCRIPTORS
MAX_PROTOCOL_ERRORS = 40  # invalid messages, each answered, after which a connection is closed


@dataclass(slots=True)
class _Connection:
    opened_at: float
    proven: bool = False
    partial_since: float = 0.0  # 0: no partial message
    sessions: int = 0  # open or playing
    open_setups: int = 0
    failed_setups: int = 0  # that ended without a session
    protocol_errors: int = 0  # invalid messages received


@dataclass(slots=True)
class ConnectionAdmission:
    """All connections from clients, by number. The cost of a call does not depend on their count."""

    max_connections: int
    connections: dict[int, _Connection] = field(default_factory=dict)
    rejected: int = 0  # number of evicted connections
    examined: int = 0  # number of entries examined in the search for connections to close
    _unproven: dict[int, None] = field(default_factory=dict)  # in order of accept
    _partial: dict[int, None] = field(default_factory=dict)  # in order of the first byte of the message
    _idle: dict[int, None] = field(default_factory=dict)  # in order of the last message
    _standing: dict[int, None] = field(default_factory=dict)  # in order of the last message
    _tolerated: int = 0  # number of connections beyond a bound that has fallen

    def opened(self, now: float, conn: int) -> int | None:
        """Register an accepted connection; return one to close now if MAX_OVERSHOOT is exceeded."""
        self.connections[conn] = _Connection(now)
        self._unproven[conn] = None
        bound = self.max_connections + self._tolerated + MAX_OVERSHOOT
        return self._evict(now) if len(self.connections) > bound else None

    def change_bound(self, max_connections: int) -> None:
        """Change the bound. Call `surplus` once all sockets have been read."""
        self.max_connections = max_connections
        self._tolerated = max(len(self.connections) - max_connections, 0)

    @property
    def is_over_bound(self) -> bool:
        """Whether there are more connections than the bound."""
        return len(self.connections) > self.max_connections

    def surplus(self, now: float) -> list[int]:
        """Evict connections down to the bound and return them. Call once all sockets have been read.

        Those with an open set-up are evicted only for others that were accepted since the bound has fallen.
        """
        closed = []
        while self.is_over_bound:
            victim = self._select_victim(now)
            if victim is None and len(self.connections) <= self.max_connections + self._tolerated:
                break
            closed.append(self._evict(now, victim))
        self._tolerated = min(self._tolerated, max(len(self.connections) - self.max_connections, 0))
        return closed

    def received(self, now: float, conn: int, proven: bool, partial: bool) -> None:
        """Record received bytes. `proven`: they complete a valid message; `partial`: one is incomplete."""
        connection = self.connections.get(conn)
        if connection is None:
            return
        if proven and not connection.proven:
            connection.proven = True
            del self._unproven[conn]
        if not partial:
            connection.partial_since = 0.0
            self._partial.pop(conn, None)
        elif not connection.partial_since:
            connection.partial_since = now
            self._partial[conn] = None
        self._idle.pop(conn, None)
        self._standing.pop(conn, None)
        self._update_groups(conn, connection)

    def sessions_changed(self, conn: int, change: int) -> None:
        """Add `change` to the number of open and playing sessions of the connection."""
        connection = self.connections.get(conn)
        if connection is not None:
            connection.sessions = max(connection.sessions + change, 0)
            self._update_groups(conn, connection)

    def setup_opened(self, conn: int) -> None:
        """A set-up was requested on the connection."""
        connection = self.connections.get(conn)
        if connection is not None:
            connection.open_setups += 1
            self._update_groups(conn, connection)

    def setup_closed(self, conn: int, has_started: bool) -> None:
        """A set-up of the connection has ended: its session has started, or it needs no answer any more."""
        connection = self.connections.get(conn)
        if connection is not None:
            connection.open_setups = max(connection.open_setups - 1, 0)
            connection.failed_setups += not has_started
            self._update_groups(conn, connection)

    def record_protocol_error(self, conn: int) -> bool:
        """Count an invalid message. Return True if the connection must be closed after the answer."""
        connection = self.connections.get(conn)
        if connection is None:
            return False
        connection.protocol_errors += 1
        return connection.protocol_errors == MAX_PROTOCOL_ERRORS

    def closed(self, conn: int) -> None:
        """Remove a closed connection."""
        if self.connections.pop(conn, None) is not None:
            for group in (self._unproven, self._partial, self._idle, self._standing):
                group.pop(conn, None)

    def overdue(self, now: float) -> list[int]:
        """Remove and return the connections whose time limit has passed."""
        overdue = dict.fromkeys(self._overdue_unproven(now) + self._overdue_partial(now))
        for conn in overdue:
            self.closed(conn)
        return list(overdue)

    def _update_groups(self, conn: int, connection: _Connection) -> None:
        """Add the connection to the idle or standing group or remove it from there."""
        is_quiet = connection.proven and not connection.open_setups and not connection.partial_since
        for group, is_member in (
            (self._idle, is_quiet and not connection.sessions),
            (self._standing, is_quiet and bool(connection.sessions)),
        ):
            if is_member:
                group.setdefault(conn, None)
            else:
                group.pop(conn, None)

    def _overdue_unproven(self, now: float) -> list[int]:
        late = []
        for conn in self._unproven:
            self.examined += 1
            if now - self.connections[conn].opened_at < FIRST_REQUEST_TIMEOUT_MS:
                break
            late.append(conn)
        return late

    def _overdue_partial(self, now: float) -> list[int]:
        late = []
        for conn in self._partial:
            self.examined += 1
            if now - self.connections[conn].partial_since < PARTIAL_MESSAGE_TIMEOUT_MS:
                break
            late.append(conn)
        return late

    def _evict(self, now: float, victim: int | None = None) -> int:
        """Remove one connection to make room for the others: `victim`, or the one that the rules select."""
        conn = victim or self._select_victim(now) or self._select_busy()
        self.rejected += 1
        self.closed(conn)
        return conn

    def _select_victim(self, now: float) -> int | None:
        """Return the connection to evict by rules 1 to 7 of the module docstring."""
        new = self._oldest_new()
        if new is not None and now - self.connections[new].opened_at >= FIRST_BYTE_GRACE_MS:
            return new
        newcomer = next(reversed(self.connections))
        if new == newcomer:
            new = None
        if len(self._unproven) > max(int(self.max_connections * MAX_UNPROVEN_RATIO), 1):
            return new if new is not None else next(iter(self._unproven))
        if self._idle:
            return next(iter(self._idle))
        if new is not None:
            return new
        return self._select_without_setup()

    def _select_without_setup(self) -> int | None:
        """Return the connection to evict by rules 5 to 7."""
        for conn in self._partial:
            if not self.connections[conn].sessions:
                return conn
        if self._standing:
            return next(iter(self._standing))
        return next((conn for conn in self._partial if not self.connections[conn].open_setups), None)

    def _select_busy(self) -> int:
        """Return the connection to evict by rule 8: all have open set-ups, or may send one at once."""
        return max(self.connections, key=self._burden)

    def _burden(self, conn: int) -> tuple[int, int, int]:
        connection = self.connections[conn]
        return connection.open_setups, connection.failed_setups, conn

    def _oldest_new(self) -> int | None:
        """Return the oldest connection without a received byte; older unproven ones have begun a message."""
        for conn in self._unproven:
            self.examined += 1
            if not self.connections[conn].partial_since:
                return conn
        return None
