"""A control server's side of the watch: brings its own log up to that of another. No I/O, no clock.

Entries are appended one by one; one that does not follow, or whose digest differs, is not taken, and the
source is left for another. A snapshot is taken only as a whole, and only where it is ahead of the log.
"""

from __future__ import annotations

from dataclasses import dataclass

from foxlift.rollout import watcher
from foxlift.rollout.content import Content
from foxlift.rollout.entry import Change, EntryError
from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import Entries, Page, RelayWatch, Steps, WatchResponse
from foxlift.rollout.watcher import Progress, Watcher


@dataclass(frozen=True, slots=True)
class WatchAnswered:
    """What the source of this ask has answered; None: nothing that can be read."""

    watch_id: int
    response: WatchResponse | None


Event = WatchAnswered | watcher.PollDue | watcher.PollTimeoutDue


@dataclass(frozen=True, slots=True)
class SendWatch:
    """Send the watch to a source; its answer comes back as WatchAnswered."""

    watch_id: int
    source: str
    watch: RelayWatch


@dataclass(frozen=True, slots=True)
class LogAdvanced:
    """The log has grown: by entries after `after`, or with `restored` it begins at another snapshot."""

    after: int
    restored: bool = False


@dataclass(frozen=True, slots=True)
class SourceMismatch:
    """What a source told does not fit the log."""

    source: str
    detail: str


Action = SendWatch | LogAdvanced | SourceMismatch | watcher.StartTimer


class Follower:
    """One watch of one or several sources."""

    def __init__(self, name: str, run: int, sources: tuple[str, ...], seed: int, log: ConfigLog) -> None:
        self._name, self._run, self._log = name, run, log
        self._watcher = Watcher(name, sources, seed)
        self._snapshot, self._page = 0, 0
        self._gathered = Content()

    def start(self) -> list[Action]:
        """Ask the first source."""
        return self._watch(self._watcher.start())

    def handle(self, event: Event) -> list[Action]:
        """Take one event in."""
        if not isinstance(event, WatchAnswered):
            return self._watch(self._watcher.handle(event))
        if event.response is None:
            return self._watch(self._watcher.handle(watcher.PollFailed(event.watch_id)))
        actions, progress = self._take(event.response)
        return [*actions, *self._watch(self._watcher.handle(watcher.PollAnswered(event.watch_id, progress)))]

    def _watch(self, actions: list[watcher.Action]) -> list[Action]:
        message = RelayWatch(self._name, self._run, self._log.head, self._snapshot, self._page)
        return [
            SendWatch(action.watch_id, action.source, message)
            if isinstance(action, watcher.PollSource)
            else action
            for action in actions
        ]

    def _take(self, answer: WatchResponse) -> tuple[list[Action], Progress]:
        match answer:
            case Entries(head, entries) if not entries:
                return [], Progress.UNUSABLE if head < self._log.head else Progress.UNCHANGED
            case Entries(_, entries):
                return self._take_entries(answer)
            case Page():
                return self._take_page(answer)
            case Steps():
                return [], Progress.UNUSABLE  # an answer for a director

    def _take_entries(self, answer: Entries) -> tuple[list[Action], Progress]:
        before = self._log.head
        try:
            for entry in answer.entries:
                self._log.append(entry)
        except EntryError as error:
            grown: list[Action] = [LogAdvanced(before)] if self._log.head > before else []
            return [*grown, SourceMismatch(self._watcher.source, str(error))], Progress.UNUSABLE
        return [LogAdvanced(before)] if self._log.head > before else [], Progress.ADVANCED

    def _take_page(self, answer: Page) -> tuple[list[Action], Progress]:
        page = answer.page
        if page.page == 0:
            self._gathered, self._snapshot, self._page = Content(), page.version, 0
        elif (page.version, page.page) != (self._snapshot, self._page):
            self._snapshot, self._page = 0, 0
            return [], Progress.UNUSABLE
        self._gathered.apply(Change(page.values))
        self._page += 1
        if not page.last:
            return [], Progress.ADVANCED
        gathered, self._gathered = self._gathered, Content()
        self._snapshot, self._page = 0, 0
        if gathered.digest != page.digest or page.version <= self._log.head:
            return [
                SourceMismatch(self._watcher.source, f"snapshot of version {page.version}")
            ], Progress.UNUSABLE
        before = self._log.head
        self._log.restore(page.version, gathered.values, answer.requests)
        return [LogAdvanced(before, restored=True)], Progress.ADVANCED
