"""A follower's side of the watch: which source is asked, when again, and what of an answer counts. No I/O.

    state    event                              next     what is done
    IDLE     start, PollDue                      ASKING   Ask a source
    ASKING   PollAnswered, it brought the follower  ASKING   ask the same source at once
             on
    ASKING   PollAnswered, nothing new              IDLE     the same source, after a while
    ASKING   PollAnswered, older than the follower  IDLE     the next source, after a while
    ASKING   PollFailed                         IDLE     the next source, after a while that doubles
    ASKING   PollTimeoutDue                         IDLE     the same: a source that says nothing is no source

A source that lies behind its followers (a relay that has restarted) is left for another; the follower keeps
what it has. Sources are tried in the order of a hash of the follower's name, so that followers of one zone
spread over its relays.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from foxlift.accord.spread import rank

MAX_HOLD_MS = 5000.0  # how long a source may hold a watch that it has no news for
POLL_TIMEOUT_MS = MAX_HOLD_MS + 2000.0  # without an answer for so long a source counts as gone
MIN_RETRY_MS = 100.0  # wait before the next source is asked; doubles with each that fails in a row
MAX_RETRY_MS = 3000.0


class _State(Enum):
    IDLE = "idle"
    ASKING = "asking"


class Progress(Enum):
    """What an answer meant to the follower."""

    ADVANCED = "it was brought on"
    UNCHANGED = "nothing new"
    UNUSABLE = "the source is behind, or its answer does not fit"


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class PollAnswered:
    """The source of this ask has answered."""

    watch_id: int
    progress: Progress


@dataclass(frozen=True, slots=True)
class PollFailed:
    """It has not, or cannot be read."""

    watch_id: int


@dataclass(frozen=True, slots=True)
class PollDue:
    """The wait before the next ask is over."""

    wait_id: int


@dataclass(frozen=True, slots=True)
class PollTimeoutDue:
    """The answer to this ask is overdue."""

    watch_id: int


Event = PollAnswered | PollFailed | PollDue | PollTimeoutDue


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class PollSource:
    """Send the follower's watch to a source."""

    watch_id: int
    source: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Handle this event after so long."""

    delay_ms: float
    event: PollDue | PollTimeoutDue


Action = PollSource | StartTimer


class Watcher:
    """One follower's watch of one of several sources."""

    def __init__(self, name: str, sources: tuple[str, ...], seed: int) -> None:
        self._sources = sorted(sources, key=lambda source: rank(name, source), reverse=True)
        self._random = random.Random(f"{seed} watch {name}")
        self._state = _State.IDLE
        self._place = 0  # of the source that is asked
        self._failures = 0  # in a row
        self._last_watch_id = self._last_wait_id = 0

    @property
    def source(self) -> str:
        """The source that is asked now, or next."""
        return self._sources[self._place % len(self._sources)]

    def start(self) -> list[Action]:
        """Ask the first source."""
        return self._ask() if self._sources else []

    def handle(self, event: Event) -> list[Action]:
        """Take one event in."""
        match event:
            case PollDue(wait_id):
                return self._ask() if self._state is _State.IDLE and wait_id == self._last_wait_id else []
            case PollAnswered(watch_id, progress):
                if not self._is_out(watch_id):
                    return []
                if progress is Progress.UNUSABLE:
                    return self._next_source()
                self._failures = 0
                if progress is Progress.ADVANCED:
                    return self._ask()
                # a source that holds no watch must not be asked without pause
                return self._ask_later(MIN_RETRY_MS)
            case PollFailed(watch_id) | PollTimeoutDue(watch_id):
                return self._next_source() if self._is_out(watch_id) else []

    def _is_out(self, watch_id: int) -> bool:
        return self._state is _State.ASKING and watch_id == self._last_watch_id

    def _ask(self) -> list[Action]:
        self._state = _State.ASKING
        self._last_watch_id += 1
        return [
            PollSource(self._last_watch_id, self.source),
            StartTimer(POLL_TIMEOUT_MS, PollTimeoutDue(self._last_watch_id)),
        ]

    def _next_source(self) -> list[Action]:
        self._place += 1
        # all sources of a zone may be gone: each further round waits longer
        wait = min(MIN_RETRY_MS * 2 ** min(self._failures, 10), MAX_RETRY_MS)
        self._failures += 1
        return self._ask_later(wait)

    def _ask_later(self, wait_ms: float) -> list[Action]:
        self._state = _State.IDLE
        self._last_wait_id += 1
        return [StartTimer(wait_ms * (0.5 + self._random.random()), PollDue(self._last_wait_id))]
