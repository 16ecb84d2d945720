"""The watch of the coordinator's server list: reads its frames and decides when to reconnect. No I/O.

    state    event                            next     action
    (none)   start                            OPENING  connect
    OPENING  ConnectionOpened                 OPEN     request updates after the last one received
    OPEN     frames with new updates          OPEN     deliver each update once, in order
    OPEN     gap or invalid frame             WAITING  close, request again from the last update received;
                                                       after MAX_MISREADS the whole list: `list_rebuild`
    OPEN     no byte for SILENCE_TIMEOUT_MS   WAITING  close, reconnect
    OPEN     a frame takes MAX_FRAME_MS       WAITING  close, reconnect
    OPENING  not up in CONNECT_TIMEOUT_MS     WAITING  close, reconnect
    any      ConnectionClosed                 WAITING  reconnect after a wait that doubles with each failure
    any      AddressChanged                   OPENING  close, connect to the new address at once
    WAITING  TimerExpired                     OPENING  connect

The platform assumes that a director knows of a drain even while its watch is down, so waits are short: the
first is 20 ms, the longest half a second, each with jitter from the director's own random source so that a
fleet does not reconnect at the same moment.

The first byte after a request may take longer, as a slow or crowded coordinator would otherwise never be
heard: each call without a byte doubles the time, up to MAX_REPLY_TIMEOUT_MS, until one has brought a frame.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum
from random import Random

from foxlift import interface as fl
from foxlift.platform.list_rebuild import ListRebuild
from foxlift.platform.settings import Address, ListedServer, ListUpdate

SILENCE_TIMEOUT_MS = 1800.0  # an empty frame is sent each second
MAX_REPLY_TIMEOUT_MS = 6000.0  # for the first byte after a request, once earlier calls have brought none
MAX_FRAME_MS = 30_000.0  # for one frame, from its first byte on
CONNECT_TIMEOUT_MS = 700.0  # time for a connection to come up
FIRST_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 500.0
MAX_FRAME_BYTES = 27 * 65536 + 9  # a full list of 65,536 servers
MAX_MISREADS = 3  # consecutive gaps or invalid frames after which the full list is requested

_FRAME_HEADER = struct.Struct(">IQB")
_SERVER_RECORD = struct.Struct(">I4BHBBBHIQ")
_STATUSES = {0: fl.Status.READY, 1: fl.Status.DRAINING, 2: fl.Status.GONE}


class ProtocolError(ValueError):
    """The coordinator's bytes are invalid; the connection cannot be read any further."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame. `update` is None for an empty frame."""

    number: int
    update: ListUpdate | None


class FrameReader:
    """Parses the coordinator's bytes into frames."""

    def __init__(self, zones: int, kinds: int, cells: int) -> None:
        """Set the numbers of zones, kinds and cells in the settings; a record outside them is invalid."""
        self._bounds = zones, kinds, cells
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes and return the complete frames. Raises ProtocolError."""
        self._buffer += data
        frames: list[Frame] = []
        while len(self._buffer) >= 4:
            length = int.from_bytes(self._buffer[:4], "big")
            if not 9 <= length <= MAX_FRAME_BYTES:
                raise ProtocolError(f"frame of {length} bytes, not of 9 to {MAX_FRAME_BYTES}")
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
            raise ProtocolError("record of an unknown status, zone, kind or cell, or without a port")
        info = fl.NodeInfo(node, zone, kind, cell, _STATUSES[state], weight / 1000, float(started))
        return ListedServer(info, Address(f"{a}.{b}.{c}.{d}", port))


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer has expired; `timer_id` is that of its StartTimer."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """The connection is up."""


@dataclass(frozen=True, slots=True)
class FramesReceived:
    """Frames were received."""

    frames: tuple[Frame, ...]


@dataclass(frozen=True, slots=True)
class BytesReceived:
    """A part of a frame was received."""


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection was lost or could not be made."""


@dataclass(frozen=True, slots=True)
class AddressChanged:
    """The configuration names this address of the coordinator."""

    address: Address


Event = TimerExpired | ConnectionOpened | FramesReceived | BytesReceived | ConnectionClosed | AddressChanged


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection."""

    address: Address


@dataclass(frozen=True, slots=True)
class RequestUpdates:
    """Write `data`: the number of the last update received, or 0 for the full list."""

    data: bytes


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection, or stop connecting."""


@dataclass(frozen=True, slots=True)
class DeliverUpdate:
    """Deliver an update of the coordinator that is new."""

    update: ListUpdate


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Send TimerExpired with this `timer_id` after `delay_ms`."""

    delay_ms: float
    timer_id: int


Action = OpenConnection | RequestUpdates | CloseConnection | DeliverUpdate | StartTimer


class _State(Enum):
    WAITING = "waiting"
    OPENING = "opening"
    OPEN = "open"


class DiscoveryWatch:
    """Keeps the number of the last update, the state of the connection and the time to reconnect."""

    def __init__(self, address: Address, number: int, seed: int) -> None:
        self.address, self.number = address, number
        self.gaps = 0  # number of gaps in the update numbers; like the next, for the log
        self.reconnects = 0
        self._random = Random(seed)
        self._state = _State.WAITING
        self._timer_id = 0  # of the current timer; earlier timers are ignored
        self._failures = 0
        self._misreads = 0  # consecutive gaps and invalid frames
        self._rebuild: ListRebuild | None = None  # the whole list, while it is read again
        self._last_received_at = 0.0
        self._heard = False  # whether a byte was received on the present connection
        self._unheard_calls = 0  # consecutive calls without a byte
        self._frame_began_at = 0.0  # 0: no frame is incomplete

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions; `now` in ms."""
        match event:
            case TimerExpired(timer_id):
                return self._timer_expired(now, timer_id)
            case ConnectionOpened():
                if self._state is not _State.OPENING:
                    return []
                self._state, self._last_received_at = _State.OPEN, now
                self._heard, self._frame_began_at, self._rebuild = False, 0.0, None
                full = self._misreads >= MAX_MISREADS
                request = RequestUpdates((0 if full else self.number).to_bytes(8, "big"))
                return [request, self._start_timer(self._silence_timeout_ms)]
            case FramesReceived(frames):
                return self._frames_received(now, frames) if self._state is _State.OPEN else []
            case BytesReceived():
                return self._bytes_received(now) if self._state is _State.OPEN else []
            case ConnectionClosed():
                return [] if self._state is _State.WAITING else self._retry(close=False)
            case AddressChanged(address):
                if address == self.address and self._state is not _State.WAITING:
                    return []
                self.address, self._failures, self._unheard_calls = address, 0, 0
                return [CloseConnection(), *self._connect()]

    def start(self) -> list[Action]:
        """Open the first connection, unless AddressChanged has already opened one."""
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
                left = self._time_left_ms(now)
                if left > 0:
                    return [self._start_timer(left)]
                self._unheard_calls += not self._heard
                return self._retry(close=True)

    @property
    def _silence_timeout_ms(self) -> float:
        """How long the present connection may be silent."""
        if self._heard:
            return SILENCE_TIMEOUT_MS
        return min(SILENCE_TIMEOUT_MS * 2.0**self._unheard_calls, MAX_REPLY_TIMEOUT_MS)

    def _time_left_ms(self, now: float) -> float:
        """Until the present connection has been silent, or one frame has been arriving, for too long."""
        silence_left = self._last_received_at + self._silence_timeout_ms - now
        if not self._frame_began_at:
            return silence_left
        return min(silence_left, self._frame_began_at + MAX_FRAME_MS - now)

    def _bytes_received(self, now: float) -> list[Action]:
        self._frame_began_at = self._frame_began_at or now
        return self._note_received(now)

    def _note_received(self, now: float) -> list[Action]:
        """Record received bytes. The first ones end the longer time that a slow coordinator has for them."""
        is_first, self._heard, self._last_received_at = not self._heard, True, now
        return [self._start_timer(SILENCE_TIMEOUT_MS)] if is_first and self._unheard_calls else []

    def _retry(self, close: bool) -> list[Action]:
        self._state = _State.WAITING
        wait = min(FIRST_BACKOFF_MS * 2**self._failures, MAX_BACKOFF_MS) * self._random.uniform(0.75, 1.25)
        self._failures = min(self._failures + 1, 10)
        return [*([CloseConnection()] if close else []), self._start_timer(wait)]

    def _frames_received(self, now: float, frames: tuple[Frame, ...]) -> list[Action]:
        actions = self._note_received(now)
        self._frame_began_at, self._unheard_calls = 0.0, 0
        for frame in frames:
            actions += self._frame_received(frame)
            if self._state is not _State.OPEN:
                break  # a gap: what follows is requested again
        return actions

    def _frame_received(self, frame: Frame) -> list[Action]:
        update = frame.update
        if self._rebuild is not None:
            return self._rebuild_with(self._rebuild, frame)
        if update is None:
            self._failures = 0
            return []
        if update.full and self._misreads >= MAX_MISREADS:
            self._rebuild = ListRebuild.begin(update, self.number)
            return self._deliver_rebuilt(self._rebuild)
        if update.number <= self.number:
            return []  # already received, or an old list
        if not update.full and update.number != self.number + 1:
            return self._gap()
        return self._deliver(update)

    def _rebuild_with(self, rebuild: ListRebuild, frame: Frame) -> list[Action]:
        update = frame.update
        if update is None:
            rebuild.empty_frame(frame.number)
        elif update.full or update.number == rebuild.number + 1:
            rebuild.add(update)
        elif update.number > rebuild.number:
            return self._gap()
        return self._deliver_rebuilt(rebuild)

    def _deliver_rebuilt(self, rebuild: ListRebuild) -> list[Action]:
        if not rebuild.is_complete:
            return []
        self._rebuild = None
        return self._deliver(rebuild.result())

    def _deliver(self, update: ListUpdate) -> list[Action]:
        self.number, self._misreads, self._failures = update.number, 0, 0
        return [DeliverUpdate(update)]

    def _gap(self) -> list[Action]:
        self.gaps += 1
        return self.resynchronize()

    def resynchronize(self) -> list[Action]:
        """Reconnect after an invalid frame or a gap."""
        if self._state is not _State.OPEN:
            return []
        self._misreads = min(self._misreads + 1, MAX_MISREADS)
        return self._retry(close=True)
