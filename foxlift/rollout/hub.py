"""The source's side of long polling: replies to a watch as soon as there is a later version. No I/O.

    watch    event                               next     what is done
    (none)   WatchReceived, a later version      (none)   Reply with steps, entries or a page
    (none)   WatchReceived, no later version     HELD     nothing
    HELD     LogChanged, a later version         (none)   Reply with steps, entries or a page
    HELD     Tick, held for MAX_HOLD_MS          (none)   Reply without steps or entries
    HELD     Disconnected                        (none)   nothing

A canary gets all changes, any other director only released ones. A director that refused a change is offered
nothing until a later change exists.
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

MAX_HELD_WATCHES = 8192
MAX_RESPONSE_CHARS = 200_000  # in one response, but at least one entry or step
MAX_SNAPSHOT_REQUESTS = 2000  # the latest change requests, sent with a snapshot


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class WatchReceived:
    """A follower's watch; `correlation_id` is the caller's, for the reply."""

    correlation_id: int
    watch: Watch


@dataclass(frozen=True, slots=True)
class Disconnected:
    """The follower disconnected before the reply."""

    correlation_id: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Check for watches that were held long enough."""


@dataclass(frozen=True, slots=True)
class LogChanged:
    """The log has new entries."""


Event = WatchReceived | Disconnected | Tick | LogChanged


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a watch; None: refused, there are too many watches or directors."""

    correlation_id: int
    response: WatchResponse | None


@dataclass(slots=True)
class _HeldWatch:
    watch: Watch
    expires_at: float


class WatchHub:
    """The held watches of one source."""

    def __init__(self, log: ConfigLog) -> None:
        self._log = log
        self.roster = Roster()
        self._held: dict[int, _HeldWatch] = {}  # in the order in which they expire
        self._steps_cache: dict[tuple[int, int], Steps] = {}  # by start and target

    def __len__(self) -> int:
        return len(self._held)

    def handle(self, now: float, event: Event) -> list[Reply]:
        """Process one event; `now` in ms of a monotonic clock."""
        match event:
            case WatchReceived(correlation_id, watch):
                return self._handle_watch(now, correlation_id, watch)
            case Disconnected(correlation_id):
                self._held.pop(correlation_id, None)
                return []
            case LogChanged():
                self._steps_cache.clear()
                return self._respond_to_held(now)
            case Tick():
                self.roster.remove_silent(now)
                return self._expire_held(now)

    def _handle_watch(self, now: float, correlation_id: int, watch: Watch) -> list[Reply]:
        if isinstance(watch, DirectorWatch):
            if not self.roster.has_room_for(watch.sender):
                return [Reply(correlation_id, None)]
            self.roster.record_watch(now, watch)
        response = self._respond_to(now, watch)
        if response is not None:
            return [Reply(correlation_id, response)]
        if len(self._held) >= MAX_HELD_WATCHES:
            return [Reply(correlation_id, None)]
        self._held[correlation_id] = _HeldWatch(watch, now + MAX_HOLD_MS)
        return []

    def _respond_to_held(self, now: float) -> list[Reply]:
        replies: list[Reply] = []
        for correlation_id, held in list(self._held.items()):
            response = self._respond_to(now, held.watch)
            if response is not None:
                del self._held[correlation_id]
                replies.append(Reply(correlation_id, response))
        return replies

    def _expire_held(self, now: float) -> list[Reply]:
        replies: list[Reply] = []
        for correlation_id, held in list(self._held.items()):
            if held.expires_at > now:
                break
            del self._held[correlation_id]
            replies.append(Reply(correlation_id, self._empty_response(held.watch)))
        return replies

    def _empty_response(self, watch: Watch) -> WatchResponse:
        return Entries(self._log.head) if isinstance(watch, RelayWatch) else Steps(self._log.head)

    def _respond_to(self, now: float, watch: Watch) -> WatchResponse | None:
        if isinstance(watch, RelayWatch):
            return self._respond_to_relay(watch)
        return self._respond_to_director(now, watch)

    def _respond_to_relay(self, watch: RelayWatch) -> WatchResponse | None:
        if watch.head >= self._log.head:
            return None
        if watch.head < self._log.base:
            return self._page(watch.snapshot, watch.page, with_requests=True)
        entries: list[Entry] = []
        size = 0
        for entry in self._log.between(watch.head, self._log.head):
            entries.append(entry)
            size += len(entry.encode())
            if size >= MAX_RESPONSE_CHARS:
                break
        return Entries(self._log.head, tuple(entries))

    def _respond_to_director(self, now: float, watch: DirectorWatch) -> WatchResponse | None:
        log, is_canary = self._log, self.roster.is_canary(watch.sender)
        target = log.last_change(log.head if is_canary else log.released)
        start = watch.version if watch.start is None else watch.start
        if start >= target or (watch.refused is not None and target <= watch.offered):
            return None
        if start < log.base:
            return self._page(watch.snapshot, watch.page, with_requests=False)
        response = self._steps_between(start, target)
        if response.steps:
            self.roster.record_offer(now, watch.sender, response.steps[-1].version)
        return response

    def _steps_between(self, after: int, target: int) -> Steps:
        response = self._steps_cache.get((after, target))
        if response is None:
            steps, size = [], 0
            for step in self._log.steps(after, target):
                steps.append(step)
                size += sum(len(key) + len(value) for key, value in step.change.puts.items())
                if size >= MAX_RESPONSE_CHARS:
                    break
            response = self._steps_cache[after, target] = Steps(self._log.head, tuple(steps))
        return response

    def _page(self, version: int, page: int, *, with_requests: bool) -> WatchResponse:
        pages = self._log.snapshot(version)
        if pages[0].version != version or page >= len(pages):
            page = 0  # not the snapshot that the follower began with: restart at its first page
        found = pages[page]
        requests: dict[str, int] = {}
        if found.last and with_requests:
            latest = [item for item in self._log.requests.items() if item[1] <= found.version]
            requests = dict(latest[-MAX_SNAPSHOT_REQUESTS:])
        return Page(found, requests)
