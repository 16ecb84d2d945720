"""The box list's client as a state machine: what is held, what is asked next, what the module is told.

    state      event                    next       what is done
    START      PollDue                  ASKING     tell the cached list, if any; ask for the whole list
    ASKING     ListAnswer newer         ASKING     tell, cache, ask again from the new version
    ASKING     ListAnswer not newer     ASKING     pass over (a late answer must not undo a drain); ask again
    ASKING     ListFailed               WAITING    tell FAILED; ask again after a wait that doubles
    WAITING    PollDue                  ASKING     ask from the version held

A list that cannot be read counts as a failure, and the next question is for the whole list.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from foxlift import interface as fl
from foxlift.membership.boxlist import BoxEntry, BoxList, Changes

RETRY_MAX = 16  # the wait between failed questions grows up to so many times the first


class _State(Enum):
    START = "start"
    ASKING = "asking"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True)
class PollDue:
    """It is time to ask; also the first event of all."""


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """The service answered; None: nothing has changed within the poll's time."""

    news: BoxList | Changes | None


@dataclass(frozen=True, slots=True)
class ListFailed:
    """The service did not answer, or not in a form that can be read."""

    unreadable: bool = False


@dataclass(frozen=True, slots=True)
class Poll:
    """Ask the service: for changes after this version, or for the whole list where it is None."""

    version: int | None


@dataclass(frozen=True, slots=True)
class PollLater:
    """Send PollDue after so many milliseconds."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class TellList:
    """Tell the module; `boxes` are those that the event names, `removed` boxes that it says are gone."""

    kind: fl.ListKind
    boxes: tuple[BoxEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CacheList:
    """Keep this list on disk for a restart."""

    boxes: BoxList


Event = PollDue | ListAnswer | ListFailed
Action = Poll | PollLater | TellList | CacheList


class ListWatch:
    """One director's view of the box list."""

    def __init__(self, cached: BoxList | None, retry_ms: float, seed: int) -> None:
        self._cached, self._retry_ms = cached, retry_ms
        self._random = random.Random(seed)
        self._state = _State.START
        self._failures = 0
        self._whole_next = True
        self.version: int | None = None
        self.boxes: dict[str, BoxEntry] = {}

    def handle(self, event: Event) -> list[Action]:
        """Take one event in; no clock is needed, the caller keeps the waits."""
        if isinstance(event, PollDue):
            return self._due()
        if self._state is not _State.ASKING:
            return []
        if isinstance(event, ListFailed):
            return self._failed(event)
        return self._answered(event.news)

    def _due(self) -> list[Action]:
        told: list[Action] = []
        if self._state is _State.START and self._cached is not None:
            self.boxes = {box.name: box for box in self._cached.boxes}
            told.append(TellList(fl.ListKind.CACHED, self._cached.boxes))
        self._state = _State.ASKING
        return [*told, self._poll()]

    def _poll(self) -> Poll:
        return Poll(None if self._whole_next else self.version)

    def _failed(self, event: ListFailed) -> list[Action]:
        self._state = _State.WAITING
        self._whole_next |= event.unreadable
        wait = self._retry_ms * min(2**self._failures, RETRY_MAX)
        self._failures += 1
        # spread, so that directors that lost the service together do not come back together
        delay = wait * self._random.uniform(0.5, 1.0)
        return [TellList(fl.ListKind.FAILED), PollLater(delay)]

    def _answered(self, news: BoxList | Changes | None) -> list[Action]:
        self._failures = 0
        if news is None:
            return [self._poll()]
        if isinstance(news, Changes):
            if self.version is None or self._whole_next:
                self._whole_next = True  # changes to a list that is not held
            elif news.version > self.version:
                return self._take(news)
        elif self.version is None or self._whole_next or news.version > self.version:
            return self._take(news)
        else:
            # an old answer, or a service that went back with its own restart: the whole list tells which
            self._whole_next = True
        return [self._poll()]

    def _take(self, news: BoxList | Changes) -> list[Action]:
        self._whole_next = False
        self.version = news.version
        if isinstance(news, BoxList):
            self.boxes = {box.name: box for box in news.boxes}
            told = TellList(fl.ListKind.FULL, news.boxes)
        else:
            gone = [_gone(self.boxes[name]) for name in news.removed if name in self.boxes]
            self.boxes.update({box.name: box for box in news.boxes})
            for box in gone:
                del self.boxes[box.name]
            told = TellList(fl.ListKind.DELTA, (*news.boxes, *gone))
        held = BoxList(news.version, tuple(self.boxes.values()))
        return [told, CacheList(held), self._poll()]


def _gone(box: BoxEntry) -> BoxEntry:
    return replace(box, status=fl.Status.GONE)
