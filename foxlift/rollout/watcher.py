"""A follower's side of long polling: which source is polled, and when. No I/O.

    state    event                      next     what is done
    IDLE     start, PollDue             ASKING   PollSource
    ASKING   PollAnswered: ADVANCED     ASKING   polls the same source at once
    ASKING   PollAnswered: UNCHANGED    IDLE     polls the same source after a delay
    ASKING   PollAnswered: UNUSABLE     IDLE     polls the next source after a delay that doubles
    ASKING   PollFailed                 IDLE     the same
    ASKING   PollTimeoutDue             IDLE     the same

If a source is behind the follower (a relay that restarted), the follower switches to another one and keeps
its own state. Sources are tried in an order given by a hash of the follower's and the source's names, so that
the followers of one zone spread over its relays.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from foxlift.consensus.rendezvous import rank

MAX_HOLD_MS = 5000.0  # how long a source may hold a watch while nothing is new
POLL_TIMEOUT_MS = MAX_HOLD_MS + 2000.0  # without a response for so long a source counts as failed
MIN_RETRY_MS = 100.0  # delay before the next source is polled; doubles with each failure in a row
MAX_RETRY_MS = 3000.0


class _State(Enum):
    IDLE = "idle"
    ASKING = "asking"


class Progress(Enum):
    """What a response meant to the follower."""

    ADVANCED = "it was brought on"
    UNCHANGED = "nothing new"
    UNUSABLE = "the source is behind, or its answer does not fit"


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class PollAnswered:
    """The source responded to this watch."""

    watch_id: int
    progress: Progress


@dataclass(frozen=True, slots=True)
class PollFailed:
    """There was no readable response to this watch."""

    watch_id: int


@dataclass(frozen=True, slots=True)
class PollDue:
    """The delay before the next poll is over."""

    wait_id: int


@dataclass(frozen=True, slots=True)
class PollTimeoutDue:
    """The response to this watch did not arrive within POLL_TIMEOUT_MS."""

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
    """Deliver the event after the delay."""

    delay_ms: float
    event: PollDue | PollTimeoutDue


Action = PollSource | StartTimer


class Watcher:
    """Selects and polls one of several sources for one follower."""

    def __init__(self, name: str, sources: tuple[str, ...], seed: int) -> None:
        self._sources = sorted(sources, key=lambda source: rank(name, source), reverse=True)
        self._random = random.Random(f"{seed} watch {name}")
        self._state = _State.IDLE
        self._source_index = 0  # of the current source, not reduced modulo the number of sources
        self._failures = 0  # in a row
        self._last_watch_id = self._last_wait_id = 0

    @property
    def source(self) -> str:
        """The source that is polled now or next."""
        return self._sources[self._source_index % len(self._sources)]

    def start(self) -> list[Action]:
        """Poll the first source."""
        return self._poll() if self._sources else []

    def handle(self, event: Event) -> list[Action]:
        """Process one event."""
        match event:
            case PollDue(wait_id):
                return self._poll() if self._state is _State.IDLE and wait_id == self._last_wait_id else []
            case PollAnswered(watch_id, progress):
                if not self._is_pending(watch_id):
                    return []
                if progress is Progress.UNUSABLE:
                    return self._try_next_source()
                self._failures = 0
                if progress is Progress.ADVANCED:
                    return self._poll()
                # a source that does not hold watches must not be polled without a pause
                return self._poll_later(MIN_RETRY_MS)
            case PollFailed(watch_id) | PollTimeoutDue(watch_id):
                return self._try_next_source() if self._is_pending(watch_id) else []

    def _is_pending(self, watch_id: int) -> bool:
        return self._state is _State.ASKING and watch_id == self._last_watch_id

    def _poll(self) -> list[Action]:
        self._state = _State.ASKING
        self._last_watch_id += 1
        return [
            PollSource(self._last_watch_id, self.source),
            StartTimer(POLL_TIMEOUT_MS, PollTimeoutDue(self._last_watch_id)),
        ]

    def _try_next_source(self) -> list[Action]:
        self._source_index += 1
        # all sources of a zone may be down, so the delay grows
        delay_ms = min(MIN_RETRY_MS * 2 ** min(self._failures, 10), MAX_RETRY_MS)
        self._failures += 1
        return self._poll_later(delay_ms)

    def _poll_later(self, delay_ms: float) -> list[Action]:
        self._state = _State.IDLE
        self._last_wait_id += 1
        return [StartTimer(delay_ms * (0.5 + self._random.random()), PollDue(self._last_wait_id))]
