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
from foxlift.platform.settings import Address, Box, Told

SILENT_MS = 1800.0  # an empty frame comes each second; what is silent for longer has stopped
OPEN_MS = 700.0  # a connection that is not up by then is given up
FIRST_WAIT_MS = 20.0
LONGEST_WAIT_MS = 500.0
MAX_FRAME = 27 * 65536 + 9  # bytes: a whole list of 65,536 boxes
WHOLE_AFTER = 3  # failures of one kind in a row after which the whole list is asked for anew

_HEAD = struct.Struct(">IQB")
_RECORD = struct.Struct(">I4BHBBBHIQ")
_STATES = {0: fl.Status.READY, 1: fl.Status.DRAINING, 2: fl.Status.GONE}


class Unreadable(ValueError):
    """The feed cannot be read any further."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame. `told` is None for an empty one."""

    number: int
    told: Told | None


class Reader:
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
            if not 9 <= length <= MAX_FRAME:
                raise Unreadable(f"frame of {length} bytes")
            if len(self._buffer) < 4 + length:
                break
            frames.append(self._frame(bytes(self._buffer[: 4 + length])))
            del self._buffer[: 4 + length]
        return frames

    def _frame(self, data: bytes) -> Frame:
        _, number, kind = _HEAD.unpack_from(data)
        body = data[_HEAD.size :]
        if kind == 0:
            return Frame(number, None)
        if kind > 2 or len(body) % _RECORD.size:
            raise Unreadable(f"frame of kind {kind} with {len(body)} bytes")
        boxes = tuple(self._box(record) for record in _RECORD.iter_unpack(body))
        return Frame(number, Told(number, kind == 1, boxes))

    def _box(self, record: tuple[int, ...]) -> Box:
        node, a, b, c, d, port, state, zone, kind, cell, weight, started = record
        zones, kinds, cells = self._bounds
        if state not in _STATES or zone >= zones or kind >= kinds or cell >= cells or not port:
            raise Unreadable("record of an unknown state, zone, kind or cell")
        info = fl.NodeInfo(node, zone, kind, cell, _STATES[state], weight / 1000, float(started))
        return Box(info, Address(f"{a}.{b}.{c}.{d}", port))


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Due:
    """A timer of this machine's has come due; `turn` is the one it was started with."""

    turn: int


@dataclass(frozen=True, slots=True)
class Opened:
    """The connection is up."""


@dataclass(frozen=True, slots=True)
class Heard:
    """Frames came."""

    frames: tuple[Frame, ...]


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection broke, could not be made, or could not be read."""


@dataclass(frozen=True, slots=True)
class Moved:
    """The coordinator has another address."""

    address: Address


Event = Due | Opened | Heard | Closed | Moved


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection."""

    address: Address


@dataclass(frozen=True, slots=True)
class Ask:
    """Write the number of the last event held."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Drop:
    """Close the connection, or stop making it."""


@dataclass(frozen=True, slots=True)
class Tell:
    """An event of the coordinator that was not held yet."""

    told: Told


@dataclass(frozen=True, slots=True)
class Later:
    """Send Due after so many milliseconds."""

    delay_ms: float
    turn: int


Action = Connect | Ask | Drop | Tell | Later


class _State(Enum):
    WAITING = "waiting"
    OPENING = "opening"
    OPEN = "open"


class Feed:
    """Which event was the last, and whether the feed is alive."""

    def __init__(self, address: Address, number: int, seed: int) -> None:
        self.address, self.number = address, number
        self.gaps = 0  # this and the next are for the log
        self.reconnects = 0
        self._random = Random(seed)
        self._state = _State.WAITING
        self._turn = 0  # a timer of an earlier state says nothing of this one
        self._failures = 0
        self._misread = 0  # gaps and unreadable feeds in a row
        self._heard_at = 0.0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms."""
        match event:
            case Due(turn):
                return self._due(now, turn)
            case Opened():
                if self._state is not _State.OPENING:
                    return []
                self._state, self._heard_at = _State.OPEN, now
                whole = self._misread >= WHOLE_AFTER
                ask = Ask((0 if whole else self.number).to_bytes(8, "big"))
                return [ask, self._later(SILENT_MS)]
            case Heard(frames):
                return self._heard(now, frames) if self._state is _State.OPEN else []
            case Closed():
                return [] if self._state is _State.WAITING else self._again(drop=False)
            case Moved(address):
                if address == self.address and self._state is not _State.WAITING:
                    return []
                self.address, self._failures = address, 0
                return [Drop(), *self._open()]

    def start(self) -> list[Action]:
        """The first connection; nothing where a new address was told before, in the middle of the start."""
        return [] if self.reconnects else self._open()

    def _later(self, delay_ms: float) -> Later:
        self._turn += 1
        return Later(delay_ms, self._turn)

    def _open(self) -> list[Action]:
        self._state = _State.OPENING
        self.reconnects += 1
        return [Connect(self.address), self._later(OPEN_MS)]

    def _due(self, now: float, turn: int) -> list[Action]:
        if turn != self._turn:
            return []
        match self._state:
            case _State.WAITING:
                return self._open()
            case _State.OPENING:
                return self._again(drop=True)
            case _State.OPEN:
                left = self._heard_at + SILENT_MS - now
                return [self._later(left)] if left > 0 else self._again(drop=True)

    def _again(self, drop: bool) -> list[Action]:
        self._state = _State.WAITING
        wait = min(FIRST_WAIT_MS * 2**self._failures, LONGEST_WAIT_MS) * self._random.uniform(0.75, 1.25)
        self._failures = min(self._failures + 1, 10)
        return [*([Drop()] if drop else []), self._later(wait)]

    def _heard(self, now: float, frames: tuple[Frame, ...]) -> list[Action]:
        self._heard_at = now
        actions: list[Action] = []
        for frame in frames:
            if frame.told is None:
                self._failures = 0
                continue
            whole = frame.told.whole
            if frame.number <= self.number and not (whole and self._misread >= WHOLE_AFTER):
                continue  # told twice, or an old list
            if not whole and frame.number != self.number + 1:
                self.gaps += 1
                return [*actions, *self.misread()]
            self.number, self._misread, self._failures = max(frame.number, self.number), 0, 0
            actions.append(Tell(frame.told))
        return actions

    def misread(self) -> list[Action]:
        """The feed cannot be read, or has left something out: ask again."""
        if self._state is not _State.OPEN:
            return []
        self._misread = min(self._misread + 1, WHOLE_AFTER)
        return self._again(drop=True)
