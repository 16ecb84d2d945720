"""The connections to one media server: which carries a set-up, and when the server counts as lost. No I/O.

    connection  event                           next     action
    (none)      SetupQueued, none idle          OPENING  open one, the set-up waits for it
    OPENING     ConnectionOpened                UP       the set-up that waited longest is sent on it
    OPENING     not up in time, lost            (none)   one waiting set-up has failed to connect
    UP          SetupQueued, none unanswered    UP       the set-up is sent on it
    UP          quiet while needed              UP       ping
    UP          ping not answered               (none)   close: set-ups unanswered on it have failed
    UP          ConnectionLost                  (none)   open another if sessions play there
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

PING_IDLE_MS = 900.0  # silence after which a connection with unanswered set-ups or sessions is pinged
PING_TIMEOUT_MS = 900.0  # a running server answers a ping at once, however slow its set-ups are
# sessions are lost after this silence; viewers must be notified within 8 s of an end
SILENCE_TIMEOUT_MS = 5000.0
SILENT = "silent"  # reason of the loss of a server whose state is unknown
LATE_OPEN_MARGIN_MS = (
    200.0  # two ticks; a connection opened this shortly before SILENCE_TIMEOUT_MS is too late
)
REOPEN_INTERVAL_MS = 250.0  # between attempts to reach a silent server on which sessions play
MAX_REOPEN_INTERVAL_MS = 4000.0  # upper bound if only messages wait to be sent
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # used if the settings name none
MAX_IDLE_RATIO = 0.6  # of the server's idle timeout; after that this side closes first


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SetupQueued:
    """A set-up is ready to be sent."""

    key: int


@dataclass(frozen=True, slots=True)
class SetupCancelled:
    """A set-up that was not sent is cancelled."""

    key: int


@dataclass(frozen=True, slots=True)
class ConnectRequested:
    """A message other than a set-up waits to be sent: keep connecting until a connection is up."""


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection has opened."""

    conn: int


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A connection has closed or could not be opened."""

    conn: int
    refused: bool = False


@dataclass(frozen=True, slots=True)
class DataReceived:
    """A valid message was received."""

    conn: int


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """A set-up that was sent on the connection is answered or has failed."""

    conn: int


@dataclass(frozen=True, slots=True)
class SessionsChanged:
    """The number of sessions that play at the server has changed."""

    count: int


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """The list no longer names the server."""


@dataclass(frozen=True, slots=True)
class ConnectionYielded:
    """The connection's descriptor is needed for another server; it has no unanswered set-up."""

    conn: int


@dataclass(frozen=True, slots=True)
class ServerListed:
    """The list names the server, possibly again. `moved`: at another address than before."""

    moved: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    SetupQueued
    | SetupCancelled
    | ConnectRequested
    | ConnectionOpened
    | ConnectionLost
    | DataReceived
    | SlotReleased
    | SessionsChanged
    | ServerRemoved
    | ConnectionYielded
    | ServerListed
    | Tick
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection; send Tick after `within_ms`."""

    conn: int
    within_ms: float


@dataclass(frozen=True, slots=True)
class UseConnection:
    """Send the set-up on the connection."""

    conn: int
    key: int


@dataclass(frozen=True, slots=True)
class SetupUnreachable:
    """There is no connection for the set-up: nothing of it was sent."""

    key: int


@dataclass(frozen=True, slots=True)
class PingConnection:
    """Send a ping on the connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class RetireConnection:
    """Write nothing more and close after the server: a release may still arrive."""

    conn: int


@dataclass(frozen=True, slots=True)
class SessionsLost:
    """The sessions that played at the server are lost."""

    reason: str


@dataclass(frozen=True, slots=True)
class DiscardUnsent:
    """Drop the messages kept for the server: the process they are for no longer exists."""


Action = (
    OpenConnection
    | UseConnection
    | SetupUnreachable
    | PingConnection
    | CloseConnection
    | RetireConnection
    | SessionsLost
    | DiscardUnsent
)


@dataclass(slots=True)
class _Connection:
    opened_at: float
    up: bool = False
    in_flight: int = 0
    last_received_at: float = 0.0
    last_used_at: float = 0.0
    pinged_at: float = 0.0  # 0: no unanswered ping
    outdated: bool = False  # to a former address of the server: no new set-ups are sent on it


@dataclass(slots=True)
class ServerPool:
    """The state of all connections to one server."""

    connect_ms: float
    idle_ms: float
    max_connections: int  # open at the same time
    max_streams: int  # concurrent set-ups on one connection, by the settings
    sessions: int = 0
    is_removed: bool = False
    connections: dict[int, _Connection] = field(default_factory=dict)
    waiting: deque[tuple[int, float]] = field(default_factory=deque)  # set-up, time it was queued
    last_received_at: float = 0.0
    last_open_at: float = 0.0
    connect_requested: bool = False  # a message other than a set-up waits for a connection
    open_attempts: int = 0  # consecutive attempts to open a connection
    _last_conn: int = 0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions; `now` in ms."""
        match event:
            case DataReceived(conn):
                return self._data_received(now, conn)
            case SetupQueued(key):
                return self._queue_setup(now, key)
            case SlotReleased(conn):
                return self._slot_released(now, conn)
            case SetupCancelled(key):
                self.waiting = deque(wait for wait in self.waiting if wait[0] != key)
                return []
            case ConnectRequested():
                self.connect_requested, self.open_attempts = True, 0
                return [] if self.connections else [self._open(now)]
            case ConnectionOpened(conn):
                return self._opened(now, conn)
            case ConnectionLost(conn, refused):
                return self._connection_lost(now, conn, refused)
            case SessionsChanged(count):
                return self._sessions_changed(now, count)
            case ServerRemoved():
                return self._removed()
            case ServerListed(moved):
                return self._listed(now, moved)
            case ConnectionYielded(conn):
                return self._yielded(now, conn)
            case Tick():
                return self._tick(now)

    @property
    def latest_up(self) -> int | None:
        """The open connection on which a message was received last."""
        open_connections = [(c.last_received_at, number) for number, c in self.connections.items() if c.up]
        return max(open_connections)[1] if open_connections else None

    @property
    def in_flight(self) -> int:
        """Number of set-ups sent and not answered."""
        return sum(conn.in_flight for conn in self.connections.values())

    @property
    def unused(self) -> bool:
        """Whether the server has no sessions and no waiting or unanswered set-ups."""
        return not (self.sessions or self.waiting or self.in_flight)

    def _open(self, now: float) -> OpenConnection:
        self._last_conn += 1
        self.connections[self._last_conn] = _Connection(now)
        self.last_open_at = now
        return OpenConnection(self._last_conn, self.connect_ms)

    def _queue_setup(self, now: float, key: int) -> list[Action]:
        best: int | None = None
        for number, conn in self.connections.items():
            # one with an unanswered ping may be dead; the server may be closing one that is long idle
            if (
                conn.up
                and not conn.in_flight
                and not conn.pinged_at
                and not conn.outdated
                and now - conn.last_used_at < self.idle_ms * MAX_IDLE_RATIO
            ):
                best = (
                    number
                    if best is None or conn.last_received_at >= self.connections[best].last_received_at
                    else best
                )
        if best is None and len(self.connections) >= self.max_connections:
            open_connections = [
                (c.in_flight, number)
                for number, c in self.connections.items()
                if c.up and not c.pinged_at and not c.outdated
            ]
            best = (
                min(open_connections)[1]
                if open_connections and min(open_connections)[0] < self.max_streams
                else None
            )
        if best is not None:
            return [self._assign(now, best, key)]
        self.waiting.append((key, now))
        opening = sum(1 for c in self.connections.values() if not c.up)
        if opening < len(self.waiting) and len(self.connections) < self.max_connections:
            return [self._open(now)]
        return []

    def _assign(self, now: float, number: int, key: int) -> UseConnection:
        conn = self.connections[number]
        conn.in_flight += 1
        conn.last_used_at = now
        return UseConnection(number, key)

    def _opened(self, now: float, number: int) -> list[Action]:
        conn = self.connections.get(number)
        if conn is None:
            return [CloseConnection(number)]
        conn.up, conn.last_received_at, conn.last_used_at = True, now, now
        self.connect_requested = False
        lost: list[Action] = []
        if self.sessions and now - self.last_received_at >= SILENCE_TIMEOUT_MS - LATE_OPEN_MARGIN_MS:
            # a lost zone is back: the process that answers may be a new one, without the sessions of the old
            self.last_received_at = now
            lost.append(SessionsLost(SILENT))
        if self.waiting:
            return [*lost, self._assign(now, number, self.waiting.popleft()[0])]
        return lost + self._ping(now, number, conn) if self.sessions else []

    def _ping(self, now: float, number: int, conn: _Connection) -> list[Action]:
        conn.pinged_at = now
        return [PingConnection(number)]

    def _data_received(self, now: float, number: int) -> list[Action]:
        self.last_received_at = now
        conn = self.connections.get(number)
        if conn is None:
            return []
        conn.last_received_at, ping_sent_at, conn.pinged_at = now, conn.pinged_at, 0.0
        if not (ping_sent_at and self.waiting and conn.up) or conn.outdated:
            return []
        # set-ups queued since the ping wait for this connection if no other could be opened
        opening = sum(1 for c in self.connections.values() if not c.up)
        room = min(len(self.waiting) - opening, self.max_streams - conn.in_flight)
        return [self._assign(now, number, self.waiting.popleft()[0]) for _ in range(room)]

    def _slot_released(self, now: float, number: int) -> list[Action]:
        conn = self.connections.get(number)
        if conn is None:
            return []
        conn.in_flight = max(conn.in_flight - 1, 0)
        if (
            self.waiting
            and conn.up
            and not (conn.pinged_at or conn.outdated)
            and conn.in_flight < self.max_streams
        ):
            return [self._assign(now, number, self.waiting.popleft()[0])]
        return []

    def _connection_lost(self, now: float, number: int, refused: bool) -> list[Action]:
        conn = self.connections.pop(number, None)
        if conn is None:
            return []
        actions: list[Action] = []
        if refused and self.connect_requested and not any(c.up for c in self.connections.values()):
            self.connect_requested = False
            actions.append(DiscardUnsent())
        if not conn.up and self.waiting:
            actions.append(SetupUnreachable(self.waiting.popleft()[0]))
        if self.sessions and not any(c.up for c in self.connections.values()):
            if refused or self.is_removed:
                return [*actions, SessionsLost("refused" if refused else "gone")]
            if conn.up and not self.connections:
                actions.append(self._open(now))
        elif (
            self.waiting
            and len(self.waiting) > len(self.connections)
            and len(self.connections) < self.max_connections
        ):
            actions.append(self._open(now))
        return actions

    def _removed(self) -> list[Action]:
        self.is_removed = True
        actions: list[Action] = [DiscardUnsent()] if self.connect_requested else []
        self.connect_requested = False
        for number in [number for number, conn in self.connections.items() if not conn.up]:
            del self.connections[number]
            actions.append(CloseConnection(number))
        actions += [SetupUnreachable(key) for key, _ in self.waiting]
        self.waiting.clear()
        return actions

    def _listed(self, now: float, moved: bool) -> list[Action]:
        self.is_removed = False
        actions: list[Action] = []
        if moved:
            for number, conn in list(self.connections.items()):
                if conn.in_flight:
                    conn.outdated = True
                else:
                    del self.connections[number]
                    actions.append(RetireConnection(number) if conn.up else CloseConnection(number))
            if not any(not conn.outdated for conn in self.connections.values()) and (
                self.waiting or self.sessions
            ):
                actions.append(self._open(now))
        return actions

    def _yielded(self, now: float, number: int) -> list[Action]:
        if self.connections.pop(number, None) is None:
            return []
        self.last_open_at = now  # not opened again at once: another server uses the descriptor for now
        return [CloseConnection(number)]

    def _sessions_changed(self, now: float, count: int) -> list[Action]:
        is_first = count and not self.sessions
        self.sessions = count
        if is_first:
            # the silence starts now: no message was expected before
            self.last_received_at = now
        return [self._open(now)] if is_first and not self.connections else []

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        # one connection is enough to receive messages about sessions
        listening = self.latest_up if self.sessions else None
        for number, conn in list(self.connections.items()):
            if not conn.up:
                if now - conn.opened_at >= self.connect_ms:
                    actions += [CloseConnection(number), *self._connection_lost(now, number, False)]
                continue
            if conn.pinged_at and now - conn.pinged_at >= PING_TIMEOUT_MS:
                actions += [CloseConnection(number), *self._connection_lost(now, number, False)]
                continue
            quiet = now - max(conn.last_received_at, conn.last_used_at) >= min(
                PING_IDLE_MS, self.idle_ms * MAX_IDLE_RATIO
            )
            needed = conn.in_flight or number == listening
            if quiet and needed and not conn.pinged_at:
                actions += self._ping(now, number, conn)
            idle = conn.outdated or (not needed and now - conn.last_used_at >= self.idle_ms * MAX_IDLE_RATIO)
            if not conn.in_flight and idle:
                del self.connections[number]
                actions.append(RetireConnection(number))
        wait = REOPEN_INTERVAL_MS
        if self.waiting and not self.connections:  # the last one was retired for its age or address
            return [*actions, self._open(now)]
        if self.sessions:
            if now - self.last_received_at >= SILENCE_TIMEOUT_MS:
                self.last_received_at = now
                return [*actions, SessionsLost(SILENT)]
            if self.is_removed and not self.connections:
                return [*actions, SessionsLost("gone")]
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
