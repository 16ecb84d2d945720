"""A director's side: polls a relay, applies changes, acknowledges by version. No I/O, no clock.

    response of a relay            what is done
    steps from this version        checked as one change; Apply, Persist; the next watch acknowledges it
    the same, the check fails      the most first steps that pass together are applied; the next watch reports
                                   the step after them, the refused key and the cause
    steps from another version     ignored; the director switches to another relay
    a digest that differs          not applied; the content is rebuilt from empty and the difference applied
    pages of a snapshot            collected; the difference is applied as one change
    nothing new, or no response    the director keeps its current content

A director's version never decreases. The content on its disk is only a starting point: it is used only if its
stored digest matches.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from foxlift.rollout import watcher
from foxlift.rollout.content import Content, merge
from foxlift.rollout.entry import Change
from foxlift.rollout.log import SnapshotPage, Step
from foxlift.rollout.messages import DirectorWatch, Entries, Page, Refusal, Steps, WatchResponse
from foxlift.rollout.watcher import Progress, Watcher


@dataclass(frozen=True, slots=True)
class Problem:
    """Why a director cannot apply a change: the key and the cause."""

    key: str
    cause: str


Check = Callable[[Change], Problem | None]


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class WatchAnswered:
    """The response to a watch; None: no readable response."""

    watch_id: int
    response: WatchResponse | None


Event = WatchAnswered | watcher.PollDue | watcher.PollTimeoutDue


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SendWatch:
    """Send the watch to a source; its response comes back as WatchAnswered."""

    watch_id: int
    source: str
    watch: DirectorWatch


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a change that passed the check; the director is then at this version."""

    version: int
    change: Change


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the change that leads to this version to disk; `is_full`: write the whole content instead."""

    version: int
    change: Change
    is_full: bool


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line; `message` is also the counter's name."""

    message: str
    version: int
    key: str = ""
    cause: str = ""


Action = SendWatch | Apply | Persist | WriteLog | watcher.StartTimer


@dataclass(slots=True)
class _Rebuild:
    """Content that is rebuilt from empty: from snapshot pages, then from steps."""

    content: Content
    version: int = 0
    snapshot_version: int = 0
    next_page: int = 0


class Agent:
    """The agent of one director. `check` returns why a change cannot be applied, and changes nothing."""

    def __init__(
        self,
        name: str,
        boot_epoch: int,
        relays: tuple[str, ...],
        seed: int,
        check: Check,
        version: int = 0,
        content: Content | None = None,
    ) -> None:
        """`version`, `content`: read from disk and applied by the caller; the agent updates them."""
        self._name, self._boot_epoch, self._check = name, boot_epoch, check
        self.version, self.content = version, Content() if content is None else content
        self.refused: Refusal | None = None
        self._offered_version = 0  # last version of the response that was refused
        self._watcher = Watcher(name, relays, seed)
        self._rebuild: _Rebuild | None = None

    def start(self) -> list[Action]:
        """Poll the first relay."""
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
        return [
            SendWatch(action.watch_id, action.source, self._watch_message())
            if isinstance(action, watcher.PollSource)
            else action
            for action in actions
        ]

    def _watch_message(self) -> DirectorWatch:
        rebuild = self._rebuild
        if rebuild is None:
            return DirectorWatch(
                self._name, self._boot_epoch, self.version, self.refused, self._offered_version
            )
        return DirectorWatch(
            self._name,
            self._boot_epoch,
            self.version,
            start=rebuild.version,
            snapshot=rebuild.snapshot_version,
            page=rebuild.next_page,
        )

    # ---- Responses ----------------------------------------------------------------------------------------
    def _handle_response(self, response: WatchResponse) -> tuple[list[Action], Progress]:
        match response:
            case Steps(head, steps):
                return self._handle_steps(head, steps)
            case Page(page):
                return self._handle_page(page)
            case Entries():
                return [], Progress.UNUSABLE  # a response meant for a relay

    def _handle_steps(self, head: int, steps: tuple[Step, ...]) -> tuple[list[Action], Progress]:
        if not steps:
            is_behind = head < self.version
            return [], Progress.UNUSABLE if is_behind else Progress.UNCHANGED
        if not _is_chain(self._rebuild.version if self._rebuild else self.version, steps):
            return [], Progress.UNUSABLE
        if self._rebuild is not None:
            return self._rebuild_from_steps(self._rebuild, steps)
        merged = merge(step.change for step in steps)
        if self.content.digest_after(merged) != steps[-1].digest:
            self._rebuild = _Rebuild(Content())
            return [WriteLog("content differs, built again", self.version)], Progress.ADVANCED
        if self._check(merged) is None:
            return self._apply(steps[-1].version, merged), Progress.ADVANCED
        return self._apply_until_refused(steps), Progress.ADVANCED

    def _apply_until_refused(self, steps: tuple[Step, ...]) -> list[Action]:
        actions: list[Action] = []
        for count in range(len(steps) - 1, 0, -1):
            merged = merge(step.change for step in steps[:count])
            if self._check(merged) is None:
                actions += self._apply(steps[count - 1].version, merged)
                steps = steps[count:]
                break
        first = merge(step.change for step in steps[:1])
        problem = self._check(first) or self._check(merge(step.change for step in steps))
        assert problem is not None
        return [*actions, self._refuse(steps[0].version, steps[-1].version, problem)]

    def _apply(self, version: int, change: Change, is_full: bool = False) -> list[Action]:
        self.content.apply(change)
        self.version, self.refused, self._offered_version = version, None, 0
        return [Apply(version, change), Persist(version, change, is_full)]

    def _refuse(self, version: int, offered: int, problem: Problem) -> WriteLog:
        self.refused = Refusal(version, problem.key, problem.cause[:500])
        self._offered_version = offered
        return WriteLog("change refused", version, problem.key, problem.cause)

    # ---- Rebuilding the content ---------------------------------------------------------------------------
    def _handle_page(self, page: SnapshotPage) -> tuple[list[Action], Progress]:
        rebuild = self._rebuild
        is_next_page = (
            rebuild is not None
            and rebuild.snapshot_version == page.version
            and rebuild.next_page == page.page
        )
        if page.page == 0:
            rebuild = self._rebuild = _Rebuild(Content(), snapshot_version=page.version)
        elif rebuild is None or not is_next_page:
            self._rebuild = _Rebuild(Content())
            return [], Progress.UNUSABLE
        rebuild.content.apply(Change(page.values))
        rebuild.next_page += 1
        if not page.last:
            return [], Progress.ADVANCED
        if rebuild.content.digest != page.digest or page.version < self.version:
            self._rebuild = _Rebuild(Content()) if rebuild.content.digest != page.digest else None
            return [], Progress.UNUSABLE
        return self._finish_rebuild(rebuild.content, page.version), Progress.ADVANCED

    def _rebuild_from_steps(
        self, rebuild: _Rebuild, steps: tuple[Step, ...]
    ) -> tuple[list[Action], Progress]:
        for step in steps:
            rebuild.content.apply(step.change)
            if rebuild.content.digest != step.digest:
                self._rebuild = _Rebuild(Content())
                return [], Progress.UNUSABLE
            rebuild.version = step.version
        if rebuild.version < self.version:
            return [], Progress.ADVANCED
        return self._finish_rebuild(rebuild.content, rebuild.version), Progress.ADVANCED

    def _finish_rebuild(self, content: Content, version: int) -> list[Action]:
        """Apply the difference to the current content as one change."""
        self._rebuild = None
        change = difference(self.content.values, content.values)
        problem = self._check(change)
        if problem is not None:
            return [self._refuse(version, version, problem)]
        return self._apply(version, change, is_full=True)


def _is_chain(version: int, steps: tuple[Step, ...]) -> bool:
    """Whether the steps form a chain that starts at `version`."""
    for step in steps:
        if step.after != version or step.version <= step.after:
            return False
        version = step.version
    return True


def difference(before: Mapping[str, str], after: Mapping[str, str]) -> Change:
    """The change that turns `before` into `after`."""
    puts = {key: value for key, value in after.items() if before.get(key) != value}
    return Change(puts, tuple(key for key in before if key not in after))
