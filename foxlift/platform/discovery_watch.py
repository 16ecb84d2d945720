"""The coordinator's feed: frames read, and when to ask again. No I/O.

    state    event                    next     what is done
    (start)  Due                      OPENING  connect
    OPENING  Opened                   OPEN     say which event was the last one held
    OPEN     Frames with news         OPEN     tell it, once, in order
    OPEN     gap, unreadable frame    WAITING  close, ask again from the last event held
    OPEN     silent for SILENT_MS     WAITING  close, ask again
    OPENING  not up for OPEN_MS       WAITING  close, ask again
    any      Closed                   WAITING  ask again after a wait that doubles with each failure
    any      Moved                    OPENING  close, connect to the new address at once
    WAITING  Due                      OPENING  connect

A drain counts as told while the feed is down, so waits are short: the first is near nothing, the longest half
a second, each varied by the director's own random source so that a fleet does not return in step.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum
from random import Random

from foxlift import interface as fl
from foxlift.platform.settings import Address, ListedServer, ListUpdate

SILENCE_TIMEOUT_MS = 1800.0  # an empty frame comes each second; what is silent for longer has stopped
CONNECT_TIMEOUT_MS = 700.0  # a connection that is not up by then is given up
FIRST_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 500.0
MAX_FRAME_BYTES = 27 * 65536 + 9  # bytes: a whole list of 65,536 boxes
MAX_MISREADS = 3  # failures of one kind in a row after which the whole list is asked for anew

_FRAME_HEADER = struct.Struct(">IQB")
_SERVER_RECORD = struct.Struct(">I4BHBBBHIQ")
_STATUSES = {0: fl.Status.READY, 1: fl.Status.DRAINING, 2: fl.Status.GONE}


class ProtocolError(ValueError):
    """The feed cannot be read any further."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame. `told` is None for an empty one."""

    number: int
    update: ListUpdate | None


class FrameReader:
    """Cuts the coordinator's bytes into frames."""

    def __init__(self, zones: int, kinds: int, cells: int) -> None:
        """How many zones, kinds and cells the settings know; a record of another is unreadable."""
        self._bounds = zones, kinds, cells
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are whole by now. Raises Unreadable."""
        self._buffer += data
        frames: list[Frame] = []
        while len(self._buffer) >= 4:
            length = int.from_bytes(self._buffer[:4], "big")
            if not 9 <= length <= MAX_FRAME_BYTES:
                raise ProtocolError(f"frame of {length} bytes")
            if len(self._buffer) < 4 + length:
                break
            frames.append(self._frame(bytes(self._buffer[: 4 + length])))
            del self._buffer[: 4 + length]
        return frames

    def _frame(self, data: bytes) -> Frame:
        _, number, kind = _FRAME_HEADER.unpack_from(data)
        body = data[_FRAME_HEADER.size :]
        if kind == 0:
            return Frame(number, None)
        if kind > 2 or len(body) % _SERVER_RECORD.size:
            raise ProtocolError(f"frame of kind {kind} with {len(body)} bytes")
        servers = tuple(self._server(record) for record in _SERVER_RECORD.iter_unpack(body))
        return Frame(number, ListUpdate(number, kind == 1, servers))

    def _server(self, record: tuple[int, ...]) -> ListedServer:
        node, a, b, c, d, port, state, zone, kind, cell, weight, started = record
        zones, kinds, cells = self._bounds
        if state not in _STATUSES or zone >= zones or kind >= kinds or cell >= cells or not port:
            raise ProtocolError("record of an unknown state, zone, kind or cell")
        info = fl.NodeInfo(node, zone, kind, cell, _STATUSES[state], weight / 1000, float(started))
        return ListedServer(info, Address(f"{a}.{b}.{c}.{d}", port))


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer of this machine's has come due; `turn` is the one it was started with."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """The connection is up."""


@dataclass(frozen=True, slots=True)
class FramesReceived:
    """Frames came."""

    frames: tuple[Frame, ...]


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection broke, could not be made, or could not be read."""


@dataclass(frozen=True, slots=True)
class AddressChanged:
    """The coordinator has another address."""

    address: Address


Event = TimerExpired | ConnectionOpened | FramesReceived | ConnectionClosed | AddressChanged


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection."""

    address: Address


@dataclass(frozen=True, slots=True)
class RequestUpdates:
    """Write the number of the last event held."""

    data: bytes


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection, or stop making it."""


@dataclass(frozen=True, slots=True)
class DeliverUpdate:
    """An event of the coordinator that was not held yet."""

    update: ListUpdate


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Send Due after so many milliseconds."""

    delay_ms: float
    timer_id: int


Action = OpenConnection | RequestUpdates | CloseConnection | DeliverUpdate | StartTimer


class _State(Enum):
    WAITING = "waiting"
    OPENING = "opening"
    OPEN = "open"


class DiscoveryWatch:
    """Which event was the last, and whether the feed is alive."""

    def __init__(self, address: Address, number: int, seed: int) -> None:
        self.address, self.number = address, number
        self.gaps = 0  # this and the next are for the log
        self.reconnects = 0
        self._random = Random(seed)
        self._state = _State.WAITING
        self._timer_id = 0  # a timer of an earlier state says nothing of this one
        self._failures = 0
        self._misreads = 0  # gaps and unreadable feeds in a row
        self._last_received_at = 0.0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms."""
        match event:
            case TimerExpired(timer_id):
                return self._timer_expired(now, timer_id)
            case ConnectionOpened():
                if self._state is not _State.OPENING:
                    return []
                self._state, self._last_received_at = _State.OPEN, now
                full = self._misreads >= MAX_MISREADS
                request = RequestUpdates((0 if full else self.number).to_bytes(8, "big"))
                return [request, self._start_timer(SILENCE_TIMEOUT_MS)]
            case FramesReceived(frames):
                return self._frames_received(now, frames) if self._state is _State.OPEN else []
            case ConnectionClosed():
                return [] if self._state is _State.WAITING else self._retry(close=False)
            case AddressChanged(address):
                if address == self.address and self._state is not _State.WAITING:
                    return []
                self.address, self._failures = address, 0
                return [CloseConnection(), *self._connect()]

    def start(self) -> list[Action]:
        """The first connection; nothing where a new address was told before, in the middle of the start."""
        return [] if self.reconnects else self._connect()

    def _start_timer(self, delay_ms: float) -> StartTimer:
        self._timer_id += 1
        return StartTimer(delay_ms, self._timer_id)

    def _connect(self) -> list[Action]:
        self._state = _State.OPENING
        self.reconnects += 1
        return [OpenConnection(self.address), self._start_timer(CONNECT_TIMEOUT_MS)]

    def _timer_expired(self, now: float, timer_id: int) -> list[Action]:
        if timer_id != self._timer_id:
            return []
        match self._state:
            case _State.WAITING:
                return self._connect()
            case _State.OPENING:
                return self._retry(close=True)
            case _State.OPEN:
                left = self._last_received_at + SILENCE_TIMEOUT_MS - now
                return [self._start_timer(left)] if left > 0 else self._retry(close=True)

    def _retry(self, close: bool) -> list[Action]:
        self._state = _State.WAITING
        wait = min(FIRST_BACKOFF_MS * 2**self._failures, MAX_BACKOFF_MS) * self._random.uniform(0.75, 1.25)
        self._failures = min(self._failures + 1, 10)
        return [*([CloseConnection()] if close else []), self._start_timer(wait)]

    def _frames_received(self, now: float, frames: tuple[Frame, ...]) -> list[Action]:
        self._last_received_at = now
        actions: list[Action] = []
        for frame in frames:
            if frame.update is None:
                self._failures = 0
                continue
            full = frame.update.full
            if frame.number <= self.number and not (full and self._misreads >= MAX_MISREADS):
                continue  # told twice, or an old list
            if not full and frame.number != self.number + 1:
                self.gaps += 1
                return [*actions, *self.resynchronize()]
            self.number, self._misreads, self._failures = max(frame.number, self.number), 0, 0
            actions.append(DeliverUpdate(frame.update))
        return actions

    def resynchronize(self) -> list[Action]:
        """The feed cannot be read, or has left something out: ask again."""
        if self._state is not _State.OPEN:
            return []
        self._misreads = min(self._misreads + 1, MAX_MISREADS)
        return self._retry(close=True)
