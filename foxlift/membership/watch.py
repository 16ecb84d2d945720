"""The box list's client as a state machine: the list it has, the next request, what is published.

    state     event                         next      what is done
    START     PollDue                       POLLING   publish the cached list, if any; request the full list
    POLLING   ListReceived, newer           POLLING   publish and cache it, poll again from the new version
    POLLING   ListReceived, nothing newer   POLLING   ignore it (a late response must not undo a drain); poll
    POLLING   ListFailed                    WAITING   publish FAILED, poll again after a back-off that doubles
    WAITING   PollDue                       POLLING   poll from the current version

An unreadable list counts as a failure, and the next request is for the full list.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from foxlift import interface as fl
from foxlift.membership.boxlist import BoxEntry, BoxList, ListDelta

MAX_RETRY_FACTOR = 16  # times the first back-off after a failed poll: the longest one


class _State(Enum):
    START = "start"
    POLLING = "asking"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True)
class PollDue:
    """The next poll is due; also the very first event."""


@dataclass(frozen=True, slots=True)
class ListReceived:
    """The service responded. None: nothing has changed within the poll's duration."""

    update: BoxList | ListDelta | None


@dataclass(frozen=True, slots=True)
class ListFailed:
    """The service did not respond, or its response is unreadable."""

    unreadable: bool = False


@dataclass(frozen=True, slots=True)
class Poll:
    """Request the changes since this version, or the full list where it is None."""

    version: int | None


@dataclass(frozen=True, slots=True)
class SchedulePoll:
    """Deliver PollDue after `delay_ms`."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class PublishList:
    """Report the list to the module.

    `boxes`: those of the list or the delta, removed ones with status GONE.
    """

    kind: fl.ListKind
    boxes: tuple[BoxEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CacheList:
    """Store this list on disk for a restart."""

    boxes: BoxList


Event = PollDue | ListReceived | ListFailed
Action = Poll | SchedulePoll | PublishList | CacheList


class ListWatch:
    """One director's view of the box list."""

    def __init__(self, cached: BoxList | None, retry_ms: float, seed: int) -> None:
        self._cached, self._retry_ms = cached, retry_ms
        self._random = random.Random(seed)
        self._state = _State.START
        self._failures = 0
        self._full_next = True
        self.version: int | None = None
        self.boxes: dict[str, BoxEntry] = {}

    def handle(self, event: Event) -> list[Action]:
        """Handle one event. No clock is needed: the caller runs the timers."""
        if isinstance(event, PollDue):
            return self._start_poll()
        if self._state is not _State.POLLING:
            return []
        if isinstance(event, ListFailed):
            return self._failed(event)
        return self._received(event.update)

    def _start_poll(self) -> list[Action]:
        actions: list[Action] = []
        if self._state is _State.START and self._cached is not None:
            self.boxes = {box.name: box for box in self._cached.boxes}
            actions.append(PublishList(fl.ListKind.CACHED, self._cached.boxes))
        self._state = _State.POLLING
        return [*actions, self._poll()]

    def _poll(self) -> Poll:
        return Poll(None if self._full_next else self.version)

    def _failed(self, event: ListFailed) -> list[Action]:
        self._state = _State.WAITING
        self._full_next |= event.unreadable
        wait_ms = self._retry_ms * min(2**self._failures, MAX_RETRY_FACTOR)
        self._failures += 1
        # random, so that directors that lost the service together do not all poll at once
        delay_ms = wait_ms * self._random.uniform(0.5, 1.0)
        return [PublishList(fl.ListKind.FAILED), SchedulePoll(delay_ms)]

    def _received(self, update: BoxList | ListDelta | None) -> list[Action]:
        self._failures = 0
        if update is None:
            return [self._poll()]
        if isinstance(update, ListDelta):
            if self.version is None or self._full_next:
                self._full_next = True  # a delta to a list that this client does not have
            elif update.version > self.version:
                return self._apply(update)
        elif self.version is None or self._full_next or update.version > self.version:
            return self._apply(update)
        else:
            # a late response, or a service restarted with an older version: the full list shows which
            self._full_next = True
        return [self._poll()]

    def _apply(self, change: BoxList | ListDelta) -> list[Action]:
        self._full_next = False
        self.version = change.version
        if isinstance(change, BoxList):
            self.boxes = {box.name: box for box in change.boxes}
            publication = PublishList(fl.ListKind.FULL, change.boxes)
        else:
            removed_boxes = [_as_gone(self.boxes[name]) for name in change.removed if name in self.boxes]
            self.boxes.update({box.name: box for box in change.boxes})
            for box in removed_boxes:
                del self.boxes[box.name]
            publication = PublishList(fl.ListKind.DELTA, (*change.boxes, *removed_boxes))
        current = BoxList(change.version, tuple(self.boxes.values()))
        return [publication, CacheList(current), self._poll()]


def _as_gone(box: BoxEntry) -> BoxEntry:
    return replace(box, status=fl.Status.GONE)
