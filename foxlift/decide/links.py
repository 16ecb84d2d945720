"""The stream of notices that a director reads from one box: when it is open, and when the box counts as lost.

    state    event                  next     what is done
    CLOSED   StreamNeeded           OPENING  open the stream
    OPENING  HelloReceived          OPEN     compare the sessions at the box with those that hello names
    OPENING  Disconnected           BROKEN   retry after the retry delay
    OPEN     Disconnected           BROKEN   retry at once; further retries wait for the retry delay
    BROKEN   RetryDue               OPENING  open the stream
    silent   LossTimeout            same     all sessions at the box count as lost; the timer starts again
    any      StreamUnneeded         CLOSED   close the stream

Silent: the stream is needed but not open. The loss timer runs during that time.

A broken stream alone proves nothing: a box goes on serving its viewers while a director cannot reach it.
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
    """An attempt is out or playing at the box."""


@dataclass(frozen=True, slots=True)
class StreamUnneeded:
    """No attempt is out or playing at the box."""


@dataclass(frozen=True, slots=True)
class HelloReceived:
    """The box opened the stream with hello."""


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The stream ended, could not be opened, or could not be read."""


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The retry timer is due."""

    generation: int


@dataclass(frozen=True, slots=True)
class LossTimeout:
    """The loss timer is due."""

    generation: int


Event = StreamNeeded | StreamUnneeded | HelloReceived | Disconnected | RetryDue | LossTimeout


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Open the stream of notices from the box."""


@dataclass(frozen=True, slots=True)
class CloseStream:
    """Close the stream."""


@dataclass(frozen=True, slots=True)
class StartRetryTimer:
    """Deliver RetryDue after the delay."""

    delay_ms: float
    generation: int


@dataclass(frozen=True, slots=True)
class StartLossTimer:
    """Deliver LossTimeout after the delay."""

    delay_ms: float
    generation: int


@dataclass(frozen=True, slots=True)
class AllSessionsLost:
    """The box was silent for too long: every session there counts as lost."""


@dataclass(frozen=True, slots=True)
class CompareSessions:
    """Sessions that hello does not name, or that ran in an earlier process of the box, are lost."""


Action = OpenStream | CloseStream | StartRetryTimer | StartLossTimer | AllSessionsLost | CompareSessions


class Link:
    """The stream of notices from one box to this director."""

    def __init__(self, retry_ms: float, lost_after_ms: float) -> None:
        self._retry_ms, self._lost_after_ms = retry_ms, lost_after_ms
        self._state = _State.CLOSED
        self._generation = 0  # timers carry it; one of an earlier generation is ignored
        self._silent = False

    @property
    def open(self) -> bool:
        """Whether the stream is open."""
        return self._state is _State.OPEN

    def handle(self, event: Event) -> list[Action]:
        """Handle one event; the caller runs the timers."""
        match event:
            case StreamNeeded():
                return self._needed()
            case StreamUnneeded():
                return self._unneeded()
            case HelloReceived():
                return self._hello_received()
            case Disconnected():
                return self._disconnected()
            case RetryDue(generation):
                if self._state is _State.BROKEN and generation == self._generation:
                    self._state = _State.OPENING
                    return [OpenStream()]
                return []
            case LossTimeout(generation):
                if self._silent and generation == self._generation:
                    return [AllSessionsLost(), StartLossTimer(self._lost_after_ms, self._generation)]
                return []

    def _needed(self) -> list[Action]:
        if self._state is not _State.CLOSED:
            return []
        self._state = _State.OPENING
        return [OpenStream(), *self._start_silence()]

    def _unneeded(self) -> list[Action]:
        was_open = self._state in (_State.OPEN, _State.OPENING)
        self._state, self._silent = _State.CLOSED, False
        self._generation += 1
        return [CloseStream()] if was_open else []

    def _hello_received(self) -> list[Action]:
        if self._state is not _State.OPENING:
            return []
        self._state, self._silent = _State.OPEN, False
        self._generation += 1
        return [CompareSessions()]

    def _disconnected(self) -> list[Action]:
        if self._state not in (_State.OPEN, _State.OPENING):
            return []
        was_open = self._state is _State.OPEN
        self._state = _State.BROKEN
        loss_timer = self._start_silence()
        return [*loss_timer, StartRetryTimer(0.0 if was_open else self._retry_ms, self._generation)]

    def _start_silence(self) -> list[Action]:
        if self._silent:
            return []
        self._silent = True
        self._generation += 1
        return [StartLossTimer(self._lost_after_ms, self._generation)]
