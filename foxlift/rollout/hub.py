"""The source's side of the watch: answers followers as soon as there is something for them. No I/O.

    watch    event                                       next     what is done
    (none)   WatchReceived, there is a later version for it    (none)   Reply with the way there
    (none)   WatchReceived, there is none                      HELD     nothing
    HELD     log_changed, there is one now               (none)   Reply with the way there
    HELD     Tick, held for MAX_HOLD_MS                      (none)   Reply that there is nothing new
    HELD     Gone                                        (none)   nothing

A canary is led to the latest change, any other director to the latest that is released. A director that has
refused what it was offered is offered nothing until there is more.
"""

from __future__ import annotations

from dataclasses import dataclass

from foxlift.rollout.entry import Entry
from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import (
    DirectorWatch,
    Entries,
    Page,
    RelayWatch,
    Steps,
    Watch,
    WatchResponse,
)
from foxlift.rollout.roster import Roster
from foxlift.rollout.watcher import MAX_HOLD_MS

MAX_HELD = 8192
MAX_ENTRIES_CHARS = 200_000  # in one answer, but at least one entry or step
MAX_SNAPSHOT_REQUESTS = 2000  # the latest orders, told with a snapshot


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class WatchReceived:
    """A follower's watch; `correlation_id` is the caller's, for the answer."""

    correlation_id: int
    watch: Watch


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The follower has left before its answer."""

    correlation_id: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class LogChanged:
    """The log has grown."""


Event = WatchReceived | Disconnected | Tick | LogChanged


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a watch; None: too many are held."""

    correlation_id: int
    response: WatchResponse | None


@dataclass(slots=True)
class _Held:
    watch: Watch
    until: float


class WatchHub:
    """The watches of one source."""

    def __init__(self, log: ConfigLog) -> None:
        self._log = log
        self.roster = Roster()
        self._held: dict[int, _Held] = {}  # in the order in which their hold ends
        self._ways: dict[tuple[int, int], Steps] = {}  # of the log as it is now, for many at one version

    def __len__(self) -> int:
        return len(self._held)

    def handle(self, now: float, event: Event) -> list[Reply]:
        """Take one event in; `now` in ms on a clock that never steps back."""
        match event:
            case WatchReceived(correlation_id, watch):
                return self._watched(now, correlation_id, watch)
            case Disconnected(correlation_id):
                self._held.pop(correlation_id, None)
                return []
            case LogChanged():
                self._ways.clear()
                return self._answer_held(now)
            case Tick():
                self.roster.remove_silent(now)
                return self._end_holds(now)

    def _watched(self, now: float, correlation_id: int, watch: Watch) -> list[Reply]:
        if isinstance(watch, DirectorWatch):
            if not self.roster.has_room_for(watch.sender):
                return [Reply(correlation_id, None)]
            self.roster.record_watch(now, watch)
        answer = self._answer(now, watch)
        if answer is not None:
            return [Reply(correlation_id, answer)]
        if len(self._held) >= MAX_HELD:
            return [Reply(correlation_id, None)]
        self._held[correlation_id] = _Held(watch, now + MAX_HOLD_MS)
        return []

    def _answer_held(self, now: float) -> list[Reply]:
        replies: list[Reply] = []
        for correlation_id, held in list(self._held.items()):
            answer = self._answer(now, held.watch)
            if answer is not None:
                del self._held[correlation_id]
                replies.append(Reply(correlation_id, answer))
        return replies

    def _end_holds(self, now: float) -> list[Reply]:
        replies: list[Reply] = []
        for correlation_id, held in list(self._held.items()):
            if held.until > now:
                break
            del self._held[correlation_id]
            replies.append(Reply(correlation_id, self._nothing_new(held.watch)))
        return replies

    def _nothing_new(self, watch: Watch) -> WatchResponse:
        return Entries(self._log.head) if isinstance(watch, RelayWatch) else Steps(self._log.head)

    def _answer(self, now: float, watch: Watch) -> WatchResponse | None:
        if isinstance(watch, RelayWatch):
            return self._answer_relay(watch)
        return self._answer_director(now, watch)

    def _answer_relay(self, watch: RelayWatch) -> WatchResponse | None:
        if watch.head >= self._log.head:
            return None
        if watch.head < self._log.base:
            return self._page(watch.snapshot, watch.page, with_requests=True)
        entries: list[Entry] = []
        size = 0
        for entry in self._log.between(watch.head, self._log.head):
            entries.append(entry)
            size += len(entry.encode())
            if size >= MAX_ENTRIES_CHARS:
                break
        return Entries(self._log.head, tuple(entries))

    def _answer_director(self, now: float, watch: DirectorWatch) -> WatchResponse | None:
        log, is_canary = self._log, self.roster.is_canary(watch.sender)
        target = log.last_change(log.head if is_canary else log.released)
        start = watch.version if watch.start is None else watch.start
        if start >= target or (watch.refused is not None and target <= watch.offered):
            return None
        if start < log.base:
            return self._page(watch.snapshot, watch.page, with_requests=False)
        way = self._way(start, target)
        if way.steps:
            self.roster.record_offer(now, watch.sender, way.steps[-1].version)
        return way

    def _way(self, after: int, target: int) -> Steps:
        way = self._ways.get((after, target))
        if way is None:
            steps, size = [], 0
            for step in self._log.steps(after, target):
                steps.append(step)
                size += sum(len(key) + len(value) for key, value in step.change.puts.items())
                if size >= MAX_ENTRIES_CHARS:
                    break
            way = self._ways[after, target] = Steps(self._log.head, tuple(steps))
        return way

    def _page(self, version: int, page: int, *, with_requests: bool) -> WatchResponse:
        pages = self._log.snapshot(version)
        if pages[0].version != version or page >= len(pages):
            page = 0  # another snapshot than the one that was begun: from its beginning
        found = pages[page]
        requests: dict[str, int] = {}
        if found.last and with_requests:
            latest = [item for item in self._log.requests.items() if item[1] <= found.version]
            requests = dict(latest[-MAX_SNAPSHOT_REQUESTS:])
        return Page(found, requests)
