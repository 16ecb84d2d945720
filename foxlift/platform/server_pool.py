"""The connections to one media server: which carries a set-up, and when the server counts as lost. No I/O.

    connection  event                           next     action
    (none)      SetupQueued, none idle          OPENING  open one, the set-up waits for it
    OPENING     ConnectionOpened                UP       the set-up that waited longest is sent on it
    OPENING     not up in time, lost            (none)   one waiting set-up has failed to connect
    UP          SetupQueued, none unanswered    UP       the set-up is sent on it
    UP          quiet while needed              UP       ping
    UP          ping not answered               (none)   close: set-ups unanswered on it have failed
    UP          a set-up ends unanswered        UP       ping, unless a message comes before
    UP          a set-up's answer is overdue    UP       the same, and no new set-ups until a message comes
    UP          a message begun and not ended   (none)   close, as above
    UP          ConnectionLost                  (none)   open another if sessions play: `replacement`
    UP          idle for long                   (none)   retire, before the server closes it during a set-up
    any         ConnectRequested, none open     OPENING  open one, repeat until one is up
    OPENING     ServerRemoved                   (none)   close: another server may answer there

The event ConnectRequested means that a message other than a set-up, such as a release, must be sent.

While more connections may be opened, each carries one set-up at a time: an invalid answer makes all
unanswered set-ups on its connection fail, and so affects one session only.

Sessions that play at the server are not bound to a connection. They are lost when the server refuses a
connection while none is up (its process is gone), when the list has removed the server and its last
connection closes, or when nothing was received for `SILENCE_TIMEOUT_MS`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from foxlift.platform import pool_messages as messages
from foxlift.platform.pooled_connection import PooledConnection, SetupAnswer
from foxlift.platform.replacement import Replacement

# sessions are lost after this silence; viewers must be notified within 8 s of an end
SILENCE_TIMEOUT_MS = 5000.0
LATE_OPEN_MARGIN_MS = (
    200.0  # two ticks; a connection opened this shortly before SILENCE_TIMEOUT_MS is too late
)
REOPEN_INTERVAL_MS = 250.0  # between attempts to reach a silent server on which sessions play
MAX_REOPEN_INTERVAL_MS = 4000.0  # upper bound if only messages wait to be sent
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # used if the settings name none


@dataclass(slots=True)
class ServerPool:
    """The state of all connections to one server."""

    connect_ms: float
    idle_ms: float
    max_connections: int  # open at the same time
    max_streams: int  # concurrent set-ups on one connection, by the settings
    sessions: int = 0
    is_removed: bool = False
    connections: dict[int, PooledConnection] = field(default_factory=dict)
    waiting: deque[tuple[int, float]] = field(default_factory=deque)  # set-up, time it was queued
    last_received_at: float = 0.0  # moved on by the time in which nothing was asked
    unasked_since: float | None = None  # since when it has no connection for want of a descriptor
    waits_since: float | None = None  # the same, until a connection was opened or has failed
    last_open_at: float = 0.0
    connect_requested: bool = False  # a message other than a set-up waits for a connection
    open_attempts: int = 0  # consecutive attempts to open a connection
    replacement: Replacement = field(default_factory=Replacement)
    _last_conn: int = 0

    def handle(self, now: float, event: messages.Event) -> list[messages.Action]:
        """Handle one event and return the actions; `now` in ms."""
        match event:
            case messages.DataReceived(conn):
                return self._data_received(now, conn)
            case messages.PartialMessage(conn, pending):
                return self._partial_message(now, conn, pending)
            case messages.SetupQueued(key):
                return self._queue_setup(now, key)
            case messages.SlotReleased(conn, answer):
                return self._slot_released(now, conn, answer)
            case messages.SetupCancelled(key):
                self.waiting = deque(wait for wait in self.waiting if wait[0] != key)
                return []
            case messages.ConnectRequested():
                self.connect_requested, self.open_attempts = True, 0
                return [] if self.connections else [self._open(now)]
            case messages.ConnectionOpened(conn):
                return self._opened(now, conn)
            case messages.ConnectionLost(conn, refused):
                return self._connection_lost(now, conn, refused)
            case messages.SessionsChanged(count):
                return self._sessions_changed(now, count)
            case messages.ServerRemoved():
                return self._removed()
            case messages.ServerListed(moved):
                return self._listed(now, moved)
            case messages.ConnectionYielded(conn):
                return self._yielded(now, conn)
            case messages.NoDescriptor(conn):
                return self._not_opened(now, conn)
            case messages.Tick():
                return self._tick(now)

    @property
    def latest_up(self) -> int | None:
        """The open connection on which a message was received last; one on which none is overdue first."""
        open_connections = [
            (not c.is_doubtful, c.last_received_at, number) for number, c in self.connections.items() if c.up
        ]
        return max(open_connections)[2] if open_connections else None

    @property
    def in_flight(self) -> int:
        """Number of set-ups sent and not answered."""
        return sum(conn.in_flight for conn in self.connections.values())

    @property
    def unused(self) -> bool:
        """Whether the server has no sessions and no waiting or unanswered set-ups."""
        return not (self.sessions or self.waiting or self.in_flight)

    def _open(self, now: float) -> messages.OpenConnection:
        if self.unasked_since is not None:
            self.last_received_at += now - self.unasked_since
            self.unasked_since = None
        self._last_conn += 1
        self.connections[self._last_conn] = PooledConnection(now, self.idle_ms)
        self.last_open_at = now
        return messages.OpenConnection(self._last_conn, self.connect_ms)

    def _queue_setup(self, now: float, key: int) -> list[messages.Action]:
        number = self._select_connection(now)
        if number is not None:
            return [self._assign(now, number, key)]
        self.waiting.append((key, now))
        opening = sum(1 for c in self.connections.values() if not c.up)
        if opening < len(self.waiting) and len(self.connections) < self.max_connections:
            return [self._open(now)]
        return []

    def _select_connection(self, now: float) -> int | None:
        """Return the connection for a set-up: one without another set-up while more may be opened."""
        usable = {number: conn for number, conn in self.connections.items() if conn.is_usable}
        free = [
            (conn.last_received_at, number)
            for number, conn in usable.items()
            if not conn.in_flight and not conn.is_idle(now)
        ]
        if free:
            return max(free)[1]
        if len(self.connections) < self.max_connections:
            return None
        shared = [
            (conn.in_flight, number) for number, conn in usable.items() if conn.in_flight < self.max_streams
        ]
        return min(shared)[1] if shared else None

    def _assign(self, now: float, number: int, key: int) -> messages.UseConnection:
        conn = self.connections[number]
        conn.in_flight += 1
        conn.last_used_at = now
        return messages.UseConnection(number, key)

    def _opened(self, now: float, number: int) -> list[messages.Action]:
        conn = self.connections.get(number)
        if conn is None:
            return [messages.CloseConnection(number)]
        conn.up, conn.last_received_at, conn.last_used_at = True, now, now
        self.waits_since = None
        self.connect_requested = False
        self.replacement.connection_opened(conn.opened_at)
        lost: list[messages.Action] = []
        if self.sessions and now - self.last_received_at >= SILENCE_TIMEOUT_MS - LATE_OPEN_MARGIN_MS:
            # a lost zone is back: the process that answers may be a new one, without the sessions of the old
            self.last_received_at = now
            lost.append(messages.SessionsLost(messages.SILENT))
        if self.waiting:
            return [*lost, self._assign(now, number, self.waiting.popleft()[0])]
        return lost + self._ping(now, number, conn) if self.sessions else []

    def _ping(self, now: float, number: int, conn: PooledConnection) -> list[messages.Action]:
        conn.pinged_at = now
        return [messages.PingConnection(number)]

    def _data_received(self, now: float, number: int) -> list[messages.Action]:
        self.last_received_at = now
        conn = self.connections.get(number)
        if conn is None:
            return []
        conn.last_received_at = now
        if conn.incomplete_since:
            conn.incomplete_since = now  # if another message has begun, its time begins now
        if not (conn.pinged_at or conn.missing_answer):
            return []
        conn.pinged_at, conn.missing_answer = 0.0, None
        return self._assign_waiting(now, number, conn)

    def _partial_message(self, now: float, number: int, pending: bool) -> list[messages.Action]:
        conn = self.connections.get(number)
        if conn is None:
            return []
        if pending:
            conn.incomplete_since = conn.incomplete_since or now
            return []
        conn.incomplete_since = 0.0
        return self._assign_waiting(now, number, conn)

    def _assign_waiting(self, now: float, number: int, conn: PooledConnection) -> list[messages.Action]:
        """Send the set-ups that waited for this connection, which is usable again.

        Those for which another connection is being opened wait for that one.
        """
        if not conn.is_usable:
            return []
        opening = sum(1 for c in self.connections.values() if not c.up)
        room = min(len(self.waiting) - opening, self.max_streams - conn.in_flight)
        return [self._assign(now, number, self.waiting.popleft()[0]) for _ in range(room)]

    def _slot_released(self, now: float, number: int, answer: SetupAnswer) -> list[messages.Action]:
        conn = self.connections.get(number)
        if conn is None:
            return []
        conn.setup_ended(answer)
        if self.waiting and conn.is_usable and conn.in_flight < self.max_streams:
            return [self._assign(now, number, self.waiting.popleft()[0])]
        return []

    def _connection_lost(self, now: float, number: int, refused: bool) -> list[messages.Action]:
        conn = self.connections.pop(number, None)
        if conn is None:
            return []
        self.waits_since = None
        actions: list[messages.Action] = []
        if conn.up and self.sessions:
            self.replacement.connection_lost(now)
        if refused and self.connect_requested and not any(c.up for c in self.connections.values()):
            self.connect_requested = False
            actions.append(messages.DiscardUnsent())
        if not conn.up and self.waiting:
            actions.append(messages.SetupUnreachable(self.waiting.popleft()[0]))
        if self.sessions and not any(c.up for c in self.connections.values()):
            if refused or self.is_removed:
                return [*actions, messages.SessionsLost("refused" if refused else "gone")]
            if conn.up and not self.connections:
                actions.append(self._open(now))
        elif (
            self.waiting
            and len(self.waiting) > len(self.connections)
            and len(self.connections) < self.max_connections
        ):
            actions.append(self._open(now))
        return actions

    def _removed(self) -> list[messages.Action]:
        self.is_removed = True
        actions: list[messages.Action] = [messages.DiscardUnsent()] if self.connect_requested else []
        self.connect_requested = False
        for number in [number for number, conn in self.connections.items() if not conn.up]:
            del self.connections[number]
            actions.append(messages.CloseConnection(number))
        actions += [messages.SetupUnreachable(key) for key, _ in self.waiting]
        self.waiting.clear()
        return actions

    def _listed(self, now: float, moved: bool) -> list[messages.Action]:
        self.is_removed = False
        actions: list[messages.Action] = []
        if moved:
            for number, conn in list(self.connections.items()):
                if conn.in_flight:
                    conn.outdated = True
                else:
                    del self.connections[number]
                    actions.append(
                        messages.RetireConnection(number) if conn.up else messages.CloseConnection(number)
                    )
            if not any(not conn.outdated for conn in self.connections.values()) and (
                self.waiting or self.sessions
            ):
                actions.append(self._open(now))
        return actions

    def _yielded(self, now: float, number: int) -> list[messages.Action]:
        if self.connections.pop(number, None) is None:
            return []
        self.last_open_at = now  # not opened again at once: another server uses the descriptor for now
        self._wait_for_descriptor(now)
        return [messages.CloseConnection(number)]

    def _not_opened(self, now: float, number: int) -> list[messages.Action]:
        if self.connections.pop(number, None) is None:
            return []
        self._wait_for_descriptor(now)
        return [messages.SetupUnreachable(self.waiting.popleft()[0])] if self.waiting else []

    def _wait_for_descriptor(self, now: float) -> None:
        if not self.connections:
            self.unasked_since = now
            self.waits_since = now if self.waits_since is None else self.waits_since

    def _sessions_changed(self, now: float, count: int) -> list[messages.Action]:
        is_first = count and not self.sessions
        self.sessions = count
        if not count:
            self.replacement.no_longer_needed()
        if is_first:
            # the silence starts now: no message was expected before
            self.last_received_at, self.unasked_since = now, None
        return [self._open(now)] if is_first and not self.connections else []

    def _tick(self, now: float) -> list[messages.Action]:
        actions: list[messages.Action] = []
        # one connection is enough to receive messages about sessions
        listening = self.latest_up if self.sessions else None
        for number, conn in list(self.connections.items()):
            if not conn.up:
                if now - conn.opened_at >= self.connect_ms:
                    actions += [messages.CloseConnection(number), *self._connection_lost(now, number, False)]
                continue
            if conn.is_dead(now):
                actions += [messages.CloseConnection(number), *self._connection_lost(now, number, False)]
                continue
            needed = conn.in_flight or number == listening
            if conn.is_ping_due(now, bool(needed)):
                actions += self._ping(now, number, conn)
            if not conn.in_flight and (conn.outdated or (not needed and conn.is_idle(now))):
                del self.connections[number]
                actions.append(messages.RetireConnection(number))
        wait = REOPEN_INTERVAL_MS
        if self.waiting and not self.connections:  # the last one was retired for its age or address
            return [*actions, self._open(now)]
        if self.sessions:
            if self.unasked_since is None and now - self.last_received_at >= SILENCE_TIMEOUT_MS:
                self.last_received_at = now
                return [*actions, messages.SessionsLost(messages.SILENT)]
            if self.is_removed and not self.connections:
                return [*actions, messages.SessionsLost("gone")]
            actions += self._replace_lost(now)
        elif self.connect_requested:  # no session depends on it: back off
            wait = min(REOPEN_INTERVAL_MS * 2**self.open_attempts, MAX_REOPEN_INTERVAL_MS)
        if (
            (self.sessions or self.connect_requested)
            and not self.connections
            and now - self.last_open_at >= wait
        ):
            self.open_attempts += 1
            actions.append(self._open(now))
        return actions

    def _replace_lost(self, now: float) -> list[messages.Action]:
        """Open a connection beside the others if one was lost, on which a release may have been sent."""
        if self.is_removed or not self.connections or not self.replacement.is_due(now):
            return []
        lost_at = self.replacement.lost_at
        if any(not conn.up and conn.opened_at >= lost_at for conn in self.connections.values()):
            return []
        actions: list[messages.Action] = []
        if len(self.connections) >= self.max_connections:
            idle = [
                (conn.last_used_at, number)
                for number, conn in self.connections.items()
                if conn.up and not conn.in_flight
            ]
            if not idle:
                return []
            longest_idle = min(idle)[1]
            del self.connections[longest_idle]
            actions.append(messages.RetireConnection(longest_idle))
        self.replacement.attempted(now)
        return [*actions, self._open(now)]
