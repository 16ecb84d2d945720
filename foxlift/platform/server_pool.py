"""The connections to one media server: which carries a set-up, and what silence or a refusal proves. No I/O.

    connection  event                       next     what is done
    (none)      SetupQueued, none idle      OPENING  open one, the set-up waits for it
    OPENING     ConnectionOpened            UP       the longest waiting set-up leaves on it
    OPENING     not up in time, lost        (none)   one waiting set-up has failed to connect
    UP          SetupQueued, nothing out    UP       the set-up leaves on it
    UP          quiet with work out         UP       ping
    UP          ping not answered           (none)   shut: what is out on it is lost
    UP          ConnectionLost              (none)   open another if sessions play there
    UP          idle for long               (none)   retire, before the server does as a set-up is written
    any         ConnectRequested, none up   OPENING  open one, again until one is up: a release must leave
    OPENING     ServerRemoved               (none)   shut: what answers there may be another server by now

One set-up at a time leaves on a connection while there is room for more connections: an answer that cannot
be read spoils all that is out on its connection, and so costs one session only.

Sessions that play there belong to no connection. They are lost when the server refuses a connection while
none is up (its process is gone), when the list says that the server is gone and its last connection breaks,
or when nothing was heard for `LOST_MS` whatever was tried.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

PING_IDLE_MS = 900.0  # quiet for so long with something out or playing: test the connection
PING_TIMEOUT_MS = 900.0  # a test is passed at once by a server that lives, however slow its set-ups are
SILENCE_TIMEOUT_MS = (
    5000.0  # silence after which what played there is over; viewers are owed word within 8 s of an end
)
SILENT = "silent"  # why a server is lost of which nothing is known
LATE_OPEN_MARGIN_MS = 200.0  # two looks: a connection that comes up so shortly before that is too late
REOPEN_INTERVAL_MS = 250.0  # between tries to reach a silent server that sessions play on
MAX_REOPEN_INTERVAL_MS = 4000.0  # the same for what only waits to be sent
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # for a connection to come up, where the settings name no time
MAX_IDLE_RATIO = 0.6  # of the server's own idle time: after that this side closes first


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SetupQueued:
    """A set-up is to leave."""

    key: int


@dataclass(frozen=True, slots=True)
class SetupCancelled:
    """A set-up that has not left is no longer wanted."""

    key: int


@dataclass(frozen=True, slots=True)
class ConnectRequested:
    """Something that belongs to no set-up is to be sent: a connection is wanted until one is up."""


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is made."""

    conn: int


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A connection is over or could not be made."""

    conn: int
    refused: bool = False


@dataclass(frozen=True, slots=True)
class DataReceived:
    """Something came that could be read."""

    conn: int


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """A set-up that had left on the connection has its end."""

    conn: int


@dataclass(frozen=True, slots=True)
class SessionsChanged:
    """So many sessions play there now."""

    count: int


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """The list says that the server is no more."""


@dataclass(frozen=True, slots=True)
class ConnectionYielded:
    """The connection's descriptor is wanted for another server; no set-up is out on it."""

    conn: int


@dataclass(frozen=True, slots=True)
class ServerListed:
    """The list names the server, maybe again; `moved`: at another address than before."""

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
    """Make a connection; send Tick when the wait for it is over."""

    conn: int
    within_ms: float


@dataclass(frozen=True, slots=True)
class UseConnection:
    """Send the set-up on the connection."""

    conn: int
    key: int


@dataclass(frozen=True, slots=True)
class SetupUnreachable:
    """No connection for the set-up: nothing of it has left."""

    key: int


@dataclass(frozen=True, slots=True)
class PingConnection:
    """Test the connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class RetireConnection:
    """Write nothing more and close when the server has: a release may be on its way."""

    conn: int


@dataclass(frozen=True, slots=True)
class SessionsLost:
    """Every session that played there is over."""

    reason: str


@dataclass(frozen=True, slots=True)
class DiscardUnsent:
    """What was to be sent there concerns nothing any more: the process that it was for is gone."""


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
    pinged_at: float = 0.0  # 0: no test is out
    outdated: bool = False  # to an address that the server has left: nothing new goes there


@dataclass(slots=True)
class ServerPool:
    """The connections to one server, as far as connections go."""

    connect_ms: float
    idle_ms: float
    max_connections: int  # connections at once
    max_streams: int  # set-ups at once that one connection takes, by the settings
    sessions: int = 0
    is_removed: bool = False
    connections: dict[int, _Connection] = field(default_factory=dict)
    waiting: deque[tuple[int, float]] = field(default_factory=deque)  # set-up, since when
    last_received_at: float = 0.0
    last_open_at: float = 0.0
    connect_requested: bool = False  # something waits for any connection
    open_attempts: int = 0  # of a connection for what it owes, in a row
    _last_conn: int = 0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms."""
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
        """The connection last heard of."""
        ups = [(c.last_received_at, name) for name, c in self.connections.items() if c.up]
        return max(ups)[1] if ups else None

    @property
    def in_flight(self) -> int:
        """Set-ups that have left and have no end yet."""
        return sum(conn.in_flight for conn in self.connections.values())

    @property
    def unused(self) -> bool:
        """Nothing is out, plays or waits there."""
        return not (self.sessions or self.waiting or self.in_flight)

    def _open(self, now: float) -> OpenConnection:
        self._last_conn += 1
        self.connections[self._last_conn] = _Connection(now)
        self.last_open_at = now
        return OpenConnection(self._last_conn, self.connect_ms)

    def _queue_setup(self, now: float, key: int) -> list[Action]:
        best: int | None = None
        for name, conn in self.connections.items():
            # one that is being tested may be dead; one long idle may be closed by the server at this moment
            if (
                conn.up
                and not conn.in_flight
                and not conn.pinged_at
                and not conn.outdated
                and now - conn.last_used_at < self.idle_ms * MAX_IDLE_RATIO
            ):
                best = (
                    name
                    if best is None or conn.last_received_at >= self.connections[best].last_received_at
                    else best
                )
        if best is None and len(self.connections) >= self.max_connections:
            ups = [
                (c.in_flight, name)
                for name, c in self.connections.items()
                if c.up and not c.pinged_at and not c.outdated
            ]
            best = min(ups)[1] if ups and min(ups)[0] < self.max_streams else None
        if best is not None:
            return [self._assign(now, best, key)]
        self.waiting.append((key, now))
        opening = sum(1 for c in self.connections.values() if not c.up)
        if opening < len(self.waiting) and len(self.connections) < self.max_connections:
            return [self._open(now)]
        return []

    def _assign(self, now: float, name: int, key: int) -> UseConnection:
        conn = self.connections[name]
        conn.in_flight += 1
        conn.last_used_at = now
        return UseConnection(name, key)

    def _opened(self, now: float, name: int) -> list[Action]:
        conn = self.connections.get(name)
        if conn is None:
            return [CloseConnection(name)]
        conn.up, conn.last_received_at, conn.last_used_at = True, now, now
        self.connect_requested = False
        lost: list[Action] = []
        if self.sessions and now - self.last_received_at >= SILENCE_TIMEOUT_MS - LATE_OPEN_MARGIN_MS:
            # a zone that was lost is back: to hear the new process is not to hear of the sessions of the old
            self.last_received_at = now
            lost.append(SessionsLost(SILENT))
        if self.waiting:
            return [*lost, self._assign(now, name, self.waiting.popleft()[0])]
        return lost + self._ping(now, name, conn) if self.sessions else []

    def _ping(self, now: float, name: int, conn: _Connection) -> list[Action]:
        conn.pinged_at = now
        return [PingConnection(name)]

    def _data_received(self, now: float, name: int) -> list[Action]:
        self.last_received_at = now
        conn = self.connections.get(name)
        if conn is None:
            return []
        conn.last_received_at, ping_sent_at, conn.pinged_at = now, conn.pinged_at, 0.0
        if not (ping_sent_at and self.waiting and conn.up) or conn.outdated:
            return []
        # what came while it was tested waits for it, where there was no room for another connection
        opening = sum(1 for c in self.connections.values() if not c.up)
        room = min(len(self.waiting) - opening, self.max_streams - conn.in_flight)
        return [self._assign(now, name, self.waiting.popleft()[0]) for _ in range(room)]

    def _slot_released(self, now: float, name: int) -> list[Action]:
        conn = self.connections.get(name)
        if conn is None:
            return []
        conn.in_flight = max(conn.in_flight - 1, 0)
        if (
            self.waiting
            and conn.up
            and not (conn.pinged_at or conn.outdated)
            and conn.in_flight < self.max_streams
        ):
            return [self._assign(now, name, self.waiting.popleft()[0])]
        return []

    def _connection_lost(self, now: float, name: int, refused: bool) -> list[Action]:
        conn = self.connections.pop(name, None)
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
        for name in [name for name, conn in self.connections.items() if not conn.up]:
            del self.connections[name]
            actions.append(CloseConnection(name))
        actions += [SetupUnreachable(key) for key, _ in self.waiting]
        self.waiting.clear()
        return actions

    def _listed(self, now: float, moved: bool) -> list[Action]:
        self.is_removed = False
        actions: list[Action] = []
        if moved:
            for name, conn in list(self.connections.items()):
                if conn.in_flight:
                    conn.outdated = True
                else:
                    del self.connections[name]
                    actions.append(RetireConnection(name) if conn.up else CloseConnection(name))
            if not any(not conn.outdated for conn in self.connections.values()) and (
                self.waiting or self.sessions
            ):
                actions.append(self._open(now))
        return actions

    def _yielded(self, now: float, name: int) -> list[Action]:
        if self.connections.pop(name, None) is None:
            return []
        self.last_open_at = now  # not opened again at once: the place is another server's for now
        return [CloseConnection(name)]

    def _sessions_changed(self, now: float, count: int) -> list[Action]:
        first = count and not self.sessions
        self.sessions = count
        if first:
            # silence counts from here: nothing was listened for before
            self.last_received_at = now
        return [self._open(now)] if first and not self.connections else []

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        listened = self.latest_up if self.sessions else None  # one is enough to hear of sessions
        for name, conn in list(self.connections.items()):
            if not conn.up:
                if now - conn.opened_at >= self.connect_ms:
                    actions += [CloseConnection(name), *self._connection_lost(now, name, False)]
                continue
            if conn.pinged_at and now - conn.pinged_at >= PING_TIMEOUT_MS:
                actions += [CloseConnection(name), *self._connection_lost(now, name, False)]
                continue
            quiet = now - max(conn.last_received_at, conn.last_used_at) >= min(
                PING_IDLE_MS, self.idle_ms * MAX_IDLE_RATIO
            )
            needed = conn.in_flight or name == listened
            if quiet and needed and not conn.pinged_at:
                actions += self._ping(now, name, conn)
            idle = conn.outdated or (not needed and now - conn.last_used_at >= self.idle_ms * MAX_IDLE_RATIO)
            if not conn.in_flight and idle:
                del self.connections[name]
                actions.append(RetireConnection(name))
        wait = REOPEN_INTERVAL_MS
        if self.waiting and not self.connections:  # the last one went for its age or its address
            return [*actions, self._open(now)]
        if self.sessions:
            if now - self.last_received_at >= SILENCE_TIMEOUT_MS:
                self.last_received_at = now
                return [*actions, SessionsLost(SILENT)]
            if self.is_removed and not self.connections:
                return [*actions, SessionsLost("gone")]
        elif self.connect_requested:  # nobody waits for it here: less and less often
            wait = min(REOPEN_INTERVAL_MS * 2**self.open_attempts, MAX_REOPEN_INTERVAL_MS)
        if (
            (self.sessions or self.connect_requested)
            and not self.connections
            and now - self.last_open_at >= wait
        ):
            self.open_attempts += 1
            actions.append(self._open(now))
        return actions
