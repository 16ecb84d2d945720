"""Replicates another control server's log into this server's own. No I/O, no clock.

Entries are appended one at a time. An entry that is not the next one or whose digest differs is rejected, and
the follower switches to another source. A snapshot is used only once it is complete, and only if it is ahead
of the log.
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
    """The response to a watch; None: no readable response."""

    watch_id: int
    response: WatchResponse | None


Event = WatchAnswered | watcher.PollDue | watcher.PollTimeoutDue


@dataclass(frozen=True, slots=True)
class SendWatch:
    """Send the watch to a source; its response comes back as WatchAnswered."""

    watch_id: int
    source: str
    watch: RelayWatch


@dataclass(frozen=True, slots=True)
class LogAdvanced:
    """The log now has entries after `after`; with `restored` it starts at a newer snapshot instead."""

    after: int
    restored: bool = False


@dataclass(frozen=True, slots=True)
class SourceMismatch:
    """Entries or a snapshot of a source are inconsistent with the log."""

    source: str
    detail: str


Action = SendWatch | LogAdvanced | SourceMismatch | watcher.StartTimer


class Follower:
    """Follows one source at a time, of one or several."""

    def __init__(
        self, name: str, boot_epoch: int, sources: tuple[str, ...], seed: int, log: ConfigLog
    ) -> None:
        self._name, self._boot_epoch, self._log = name, boot_epoch, log
        self._watcher = Watcher(name, sources, seed)
        self._snapshot_version, self._next_page = 0, 0
        self._snapshot_content = Content()

    def start(self) -> list[Action]:
        """Poll the first source."""
        return self._convert_actions(self._watcher.start())

    def handle(self, event: Event) -> list[Action]:
        """Process one event."""
        if not isinstance(event, WatchAnswered):
            return self._convert_actions(self._watcher.handle(event))
        if event.response is None:
            return self._convert_actions(self._watcher.handle(watcher.PollFailed(event.watch_id)))
        actions, progress = self._handle_response(event.response)
        return [
            *actions,
            *self._convert_actions(self._watcher.handle(watcher.PollAnswered(event.watch_id, progress))),
        ]

    def _convert_actions(self, actions: list[watcher.Action]) -> list[Action]:
        message = RelayWatch(
            self._name, self._boot_epoch, self._log.head, self._snapshot_version, self._next_page
        )
        return [
            SendWatch(action.watch_id, action.source, message)
            if isinstance(action, watcher.PollSource)
            else action
            for action in actions
        ]

    def _handle_response(self, response: WatchResponse) -> tuple[list[Action], Progress]:
        match response:
            case Entries(head, entries) if not entries:
                return [], Progress.UNUSABLE if head < self._log.head else Progress.UNCHANGED
            case Entries(_, entries):
                return self._handle_entries(response)
            case Page():
                return self._handle_page(response)
            case Steps():
                return [], Progress.UNUSABLE  # a response meant for a director

    def _handle_entries(self, response: Entries) -> tuple[list[Action], Progress]:
        before = self._log.head
        try:
            for entry in response.entries:
                self._log.append(entry)
        except EntryError as error:
            actions: list[Action] = [LogAdvanced(before)] if self._log.head > before else []
            return [*actions, SourceMismatch(self._watcher.source, str(error))], Progress.UNUSABLE
        return [LogAdvanced(before)] if self._log.head > before else [], Progress.ADVANCED

    def _handle_page(self, response: Page) -> tuple[list[Action], Progress]:
        page = response.page
        if page.page == 0:
            self._snapshot_content, self._snapshot_version, self._next_page = Content(), page.version, 0
        elif (page.version, page.page) != (self._snapshot_version, self._next_page):
            self._snapshot_version, self._next_page = 0, 0
            return [], Progress.UNUSABLE
        self._snapshot_content.apply(Change(page.values))
        self._next_page += 1
        if not page.last:
            return [], Progress.ADVANCED
        content, self._snapshot_content = self._snapshot_content, Content()
        self._snapshot_version, self._next_page = 0, 0
        if content.digest != page.digest or page.version <= self._log.head:
            return [
                SourceMismatch(
                    self._watcher.source, f"snapshot of version {page.version}, own head {self._log.head}"
                )
            ], Progress.UNUSABLE
        before = self._log.head
        self._log.restore(page.version, content.values, response.requests)
        return [LogAdvanced(before, restored=True)], Progress.ADVANCED
