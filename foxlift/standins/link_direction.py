"""One direction of a link between two processes, with faults on command. No I/O, no clock.

    state     event                   next    what is done with bytes
    OPEN      bytes received          OPEN    forwarded at once, after `delay_s` or at `rate`, what is later
    OPEN      changed to HELD         HELD    buffered
    HELD      changed to OPEN         OPEN    what was buffered is forwarded now, in order
    any       changed to CUT          CUT     lost without a notice, also those under way
    CUT       changed to OPEN         OPEN    a connection that lost any forwards nothing: TCP skips none
    any       break_after is reached          the connection ends; the rest is lost

A direction belongs to one connection; new connections begin with the link's `LinkConditions`. Bytes keep
their order whatever changes while they are under way. Above `MAX_BUFFERED_BYTES` the sender is not read from.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MAX_BUFFERED_BYTES = 4 * 1024 * 1024  # in one direction of one connection


class LinkState(Enum):
    """What is done with bytes."""

    OPEN = "open"
    HELD = "held"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """Faults of a direction. `rate`: bytes a second, 0: no limit. `break_after`: bytes, None: no break."""

    state: LinkState = LinkState.OPEN
    delay_s: float = 0.0
    rate: float = 0.0
    break_after: int | None = None


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Forward:
    """Write these bytes to the other side."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SenderClosed:
    """The sender has closed in order, and all of its bytes are forwarded."""


@dataclass(frozen=True, slots=True)
class BreakConnection:
    """End the connection on both sides, after what was forwarded."""


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call `timer_due` at this time, seconds on the caller's clock."""

    at: float


Action = Forward | SenderClosed | BreakConnection | WakeAt


@dataclass(slots=True)
class LinkDirection:
    """One direction of one connection."""

    conditions: LinkConditions = LinkConditions()
    bytes_lost: bool = False  # nothing can be forwarded any more
    forwarded_bytes: int = 0
    buffered_bytes: int = 0
    _queue: deque[tuple[float, bytes]] = field(default_factory=deque)  # earliest time to forward, data
    _free_at: float = 0.0  # when the last byte under way is forwarded at the rate
    _bytes_until_break: int | None = None
    _sender_closed: bool = False
    _finished: bool = False

    def __post_init__(self) -> None:
        self._bytes_until_break = self.conditions.break_after

    @property
    def full(self) -> bool:
        """Whether the sender must wait."""
        return self.buffered_bytes > MAX_BUFFERED_BYTES

    def change(self, now: float, conditions: LinkConditions) -> list[Action]:
        """Change the conditions. Bytes under way keep their order and are forwarded no sooner than before."""
        if conditions.break_after != self.conditions.break_after:
            self._bytes_until_break = conditions.break_after
        self.conditions = conditions
        if conditions.state is LinkState.CUT:
            self.bytes_lost |= bool(self._queue)
            self._queue.clear()
            self.buffered_bytes = 0
        return self.timer_due(now)

    def receive(self, now: float, data: bytes) -> list[Action]:
        """Handle bytes from the sender."""
        if self.bytes_lost or self._finished:
            return []
        if self.conditions.state is LinkState.CUT:
            self.bytes_lost = True
            return []
        begin = max(now, self._free_at) if self.conditions.rate else now
        if self.conditions.rate:
            begin += len(data) / self.conditions.rate
            self._free_at = begin
        self._queue.append((begin + self.conditions.delay_s, data))
        self.buffered_bytes += len(data)
        return self.timer_due(now)

    def close(self, now: float) -> list[Action]:
        """The sender has closed in order."""
        if self.conditions.state is LinkState.CUT:
            self.bytes_lost = True  # the receiver is not notified
        self._sender_closed = True
        return self.timer_due(now)

    def timer_due(self, now: float) -> list[Action]:
        """Forward what is due."""
        if self._finished or self.bytes_lost or self.conditions.state is not LinkState.OPEN:
            return []
        actions: list[Action] = []
        while self._queue and self._queue[0][0] <= now:
            data = self._queue.popleft()[1]
            self.buffered_bytes -= len(data)
            if self._bytes_until_break is not None and len(data) >= self._bytes_until_break:
                data = data[: self._bytes_until_break]
                self.forwarded_bytes += len(data)
                self._finished = True
                return [*actions, *([Forward(data)] if data else []), BreakConnection()]
            if self._bytes_until_break is not None:
                self._bytes_until_break -= len(data)
            self.forwarded_bytes += len(data)
            actions.append(Forward(data))
        if self._queue:
            return [*actions, WakeAt(self._queue[0][0])]
        if self._sender_closed:
            self._finished = True
            actions.append(SenderClosed())
        return actions
