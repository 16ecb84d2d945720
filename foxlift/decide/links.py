"""The notice stream from one box: when it is held, and what its breaking says of the sessions there.

    state    event                  next     what is done
    CLOSED   Wanted                 OPENING  open the stream
    OPENING  Greeted                OPEN     the sessions there are held against what the box names
    OPENING  Broken                 BROKEN   try again after a wait
    OPEN     Broken                 BROKEN   try again at once, then after a wait
    BROKEN   RetryDue               OPENING  open the stream
    BROKEN   LossDue                BROKEN   no word for too long: every session there is lost
    any      Unwanted               CLOSED   close the stream

A broken stream alone proves nothing: boxes go on serving viewers while a director cannot hear them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class _State(Enum):
    CLOSED = "closed"
    OPENING = "opening"
    OPEN = "open"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class StreamNeeded:
    """A session is out to the box."""


@dataclass(frozen=True, slots=True)
class StreamUnneeded:
    """Nothing is there any more."""


@dataclass(frozen=True, slots=True)
class HelloReceived:
    """The stream has begun with hello."""


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The stream ended, could not be opened, or could not be read."""


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The wait before another try is over."""

    generation: int


@dataclass(frozen=True, slots=True)
class LossTimeout:
    """The time is up after which silence counts as loss."""

    generation: int


Event = StreamNeeded | StreamUnneeded | HelloReceived | Disconnected | RetryDue | LossTimeout


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Ask the box for its notices."""


@dataclass(frozen=True, slots=True)
class CloseStream:
    """End the stream."""


@dataclass(frozen=True, slots=True)
class StartRetryTimer:
    """Send RetryDue after so many milliseconds."""

    delay_ms: float
    generation: int


@dataclass(frozen=True, slots=True)
class StartLossTimer:
    """Send LossDue after so many milliseconds."""

    delay_ms: float
    generation: int


@dataclass(frozen=True, slots=True)
class AllSessionsLost:
    """Every session at the box is lost."""


@dataclass(frozen=True, slots=True)
class CompareSessions:
    """Sessions that hello does not name, or of another process than its own, are lost."""


Action = OpenStream | CloseStream | StartRetryTimer | StartLossTimer | AllSessionsLost | CompareSessions


class Link:
    """One director's stream from one box."""

    def __init__(self, retry_ms: float, lost_after_ms: float) -> None:
        self._retry_ms, self._lost_after_ms = retry_ms, lost_after_ms
        self._state = _State.CLOSED
        self._generation = 0  # a timer of an earlier break says nothing of this one
        self._silent = False

    @property
    def open(self) -> bool:
        """Whether the stream is open."""
        return self._state is _State.OPEN

    def handle(self, event: Event) -> list[Action]:
        """Take one event in; the caller keeps the waits."""
        match event:
            case StreamNeeded():
                return self._wanted()
            case StreamUnneeded():
                return self._unwanted()
            case HelloReceived():
                return self._greeted()
            case Disconnected():
                return self._broken()
            case RetryDue(generation):
                if self._state is _State.BROKEN and generation == self._generation:
                    self._state = _State.OPENING
                    return [OpenStream()]
                return []
            case LossTimeout(generation):
                if self._silent and generation == self._generation:
                    return [AllSessionsLost(), StartLossTimer(self._lost_after_ms, self._generation)]
                return []

    def _wanted(self) -> list[Action]:
        if self._state is not _State.CLOSED:
            return []
        self._state = _State.OPENING
        return [OpenStream(), *self._fall_silent()]

    def _unwanted(self) -> list[Action]:
        open_now = self._state in (_State.OPEN, _State.OPENING)
        self._state, self._silent = _State.CLOSED, False
        self._generation += 1
        return [CloseStream()] if open_now else []

    def _greeted(self) -> list[Action]:
        if self._state is not _State.OPENING:
            return []
        self._state, self._silent = _State.OPEN, False
        self._generation += 1
        return [CompareSessions()]

    def _broken(self) -> list[Action]:
        if self._state not in (_State.OPEN, _State.OPENING):
            return []
        was_open = self._state is _State.OPEN
        self._state = _State.BROKEN
        wait = self._fall_silent()
        return [*wait, StartRetryTimer(0.0 if was_open else self._retry_ms, self._generation)]

    def _fall_silent(self) -> list[Action]:
        if self._silent:
            return []
        self._silent = True
        self._generation += 1
        return [StartLossTimer(self._lost_after_ms, self._generation)]
