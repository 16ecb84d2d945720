"""One direction of a link between two processes, with faults on command. No I/O, no clock.

    way       event              next      what becomes of bytes
    OPEN      bytes come         OPEN      passed on at once, after `delay_s`, or at `rate`, whatever is later
    OPEN      changed to HELD    HELD      kept
    HELD      changed to OPEN    OPEN      what was kept passes on now, in order
    any       changed to CUT     CUT       lost, and nobody is told; what was under way is lost too
    CUT       changed to OPEN    OPEN      a connection that lost any stays dumb: TCP skips nothing
    any       break_after        after so many more bytes the connection ends; the rest is lost

A way belongs to one connection; `Terms` are what a new connection's ways begin with. Bytes keep their order
whatever happens to the terms while they are under way, and what is kept is bounded: above `MOST_KEPT` the
sender is not read from.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

MOST_KEPT = 4 * 1024 * 1024  # bytes under way or held, in one direction of one connection


class State(Enum):
    """What becomes of bytes."""

    OPEN = "open"
    HELD = "held"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class Terms:
    """How a direction treats bytes. Seconds; bytes a second, 0 for no limit; bytes, None for no end."""

    state: State = State.OPEN
    delay_s: float = 0.0
    rate: float = 0.0
    break_after: int | None = None


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Pass:
    """Write these bytes to the other side."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The side that sent has closed in order, and all of its bytes have passed."""


@dataclass(frozen=True, slots=True)
class Sever:
    """End the connection on both sides, after what has passed."""


@dataclass(frozen=True, slots=True)
class CallAgain:
    """Something is due then, seconds on the caller's clock."""

    at: float


Action = Pass | End | Sever | CallAgain


@dataclass(slots=True)
class Way:
    """One direction of one connection."""

    terms: Terms = Terms()
    dumb: bool = False  # bytes were lost: nothing can ever pass again
    passed: int = 0
    kept: int = 0  # bytes under way or held
    _line: deque[tuple[float, bytes]] = field(default_factory=deque)  # not before, data
    _free_at: float = 0.0  # when the last byte under way will have passed, at the rate
    _left: int | None = None  # bytes until the break
    _ended: bool = False
    _told: bool = False

    def __post_init__(self) -> None:
        self._left = self.terms.break_after

    @property
    def full(self) -> bool:
        """Whether the sender must wait."""
        return self.kept > MOST_KEPT

    def change(self, now: float, terms: Terms) -> list[Action]:
        """New terms; bytes under way keep their order and are passed no sooner than they would have been."""
        if terms.break_after != self.terms.break_after:
            self._left = terms.break_after
        self.terms = terms
        if terms.state is State.CUT:
            self.dumb |= bool(self._line)
            self._line.clear()
            self.kept = 0
        return self.due(now)

    def comes(self, now: float, data: bytes) -> list[Action]:
        """Bytes from the sending side."""
        if self.dumb or self._told:
            return []
        if self.terms.state is State.CUT:
            self.dumb = True
            return []
        begin = max(now, self._free_at) if self.terms.rate else now
        if self.terms.rate:
            begin += len(data) / self.terms.rate
            self._free_at = begin
        self._line.append((begin + self.terms.delay_s, data))
        self.kept += len(data)
        return self.due(now)

    def ends(self, now: float) -> list[Action]:
        """The sending side closed in order."""
        if self.terms.state is State.CUT:
            self.dumb = True  # the other side never hears of it
        self._ended = True
        return self.due(now)

    def due(self, now: float) -> list[Action]:
        """Time has passed."""
        if self._told or self.dumb or self.terms.state is not State.OPEN:
            return []
        actions: list[Action] = []
        while self._line and self._line[0][0] <= now:
            data = self._line.popleft()[1]
            self.kept -= len(data)
            if self._left is not None and len(data) >= self._left:
                data = data[: self._left]
                self.passed += len(data)
                self._told = True
                return [*actions, *([Pass(data)] if data else []), Sever()]
            if self._left is not None:
                self._left -= len(data)
            self.passed += len(data)
            actions.append(Pass(data))
        if self._line:
            return [*actions, CallAgain(self._line[0][0])]
        if self._ended:
            self._told = True
            actions.append(End())
        return actions
