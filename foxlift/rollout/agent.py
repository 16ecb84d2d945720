"""A director's part: follows a relay, puts changes in force, acknowledges by version. No I/O, no clock.

    what a relay tells             what is done
    steps from this version on     checked as one change; Apply, Persist, and the next watch acknowledges it
    the same, refused as one       as many of them as are well together are put in force; the next watch names
                                   the step after those, the key that is refused and the cause
    steps from another version     not taken: the relay is left for another
    a digest that differs          not taken; the content is built again from nothing and then put in force
    pages of a snapshot            gathered; the difference is put in force as one change
    nothing, or it is silent       the director goes on with what it has

A director's version only ever rises. What it has on its disk is a start, and no more: it is not put in force
unless its digest is that of its content.
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
    """Why a director cannot take a change: the key, and what is wrong with it."""

    key: str
    cause: str


Check = Callable[[Change], Problem | None]


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class WatchAnswered:
    """What the source of this ask has answered; None: nothing that can be read."""

    watch_id: int
    response: WatchResponse | None


Event = WatchAnswered | watcher.PollDue | watcher.PollTimeoutDue


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SendWatch:
    """Send the watch to a source; its answer comes back as WatchAnswered."""

    watch_id: int
    source: str
    watch: DirectorWatch


@dataclass(frozen=True, slots=True)
class Apply:
    """Put a change in force; it was checked. With it the director is at this version."""

    version: int
    change: Change


@dataclass(frozen=True, slots=True)
class Persist:
    """Write to the disk what leads to this version; `whole`: the content is another one, write all of it."""

    version: int
    change: Change
    whole: bool


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the log."""

    what: str
    version: int
    key: str = ""
    cause: str = ""


Action = SendWatch | Apply | Persist | WriteLog | watcher.StartTimer


@dataclass(slots=True)
class _Rebuild:
    """The content built again from nothing: from pages, and then from steps."""

    content: Content
    version: int = 0
    snapshot: int = 0
    page: int = 0


class Agent:
    """One director's. `check` tells whether it can take a change; it changes nothing."""

    def __init__(
        self,
        name: str,
        run: int,
        relays: tuple[str, ...],
        seed: int,
        check: Check,
        version: int = 0,
        content: Content | None = None,
    ) -> None:
        """`version`, `content`: what the disk has, and the caller has put in force; changed from here on."""
        self._name, self._run, self._check = name, run, check
        self.version, self.content = version, Content() if content is None else content
        self.refused: Refusal | None = None
        self._offered = 0  # how far the answer led that was refused
        self._watcher = Watcher(name, relays, seed)
        self._rebuild: _Rebuild | None = None

    def start(self) -> list[Action]:
        """Ask the first relay."""
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
        return [
            SendWatch(action.watch_id, action.source, self._message())
            if isinstance(action, watcher.PollSource)
            else action
            for action in actions
        ]

    def _message(self) -> DirectorWatch:
        rebuild = self._rebuild
        if rebuild is None:
            return DirectorWatch(self._name, self._run, self.version, self.refused, self._offered)
        return DirectorWatch(
            self._name,
            self._run,
            self.version,
            start=rebuild.version,
            snapshot=rebuild.snapshot,
            page=rebuild.page,
        )

    # ---- Answers ------------------------------------------------------------------------------------------
    def _take(self, answer: WatchResponse) -> tuple[list[Action], Progress]:
        match answer:
            case Steps(head, steps):
                return self._take_steps(head, steps)
            case Page(page):
                return self._take_page(page)
            case Entries():
                return [], Progress.UNUSABLE  # an answer for a relay

    def _take_steps(self, head: int, steps: tuple[Step, ...]) -> tuple[list[Action], Progress]:
        if not steps:
            is_behind = head < self.version
            return [], Progress.UNUSABLE if is_behind else Progress.UNCHANGED
        if not _follow(self._rebuild.version if self._rebuild else self.version, steps):
            return [], Progress.UNUSABLE
        if self._rebuild is not None:
            return self._rebuild_by_steps(self._rebuild, steps)
        whole = merge(step.change for step in steps)
        if self.content.digest_after(whole) != steps[-1].digest:
            self._rebuild = _Rebuild(Content())
            return [WriteLog("content differs, built again", self.version)], Progress.ADVANCED
        if self._check(whole) is None:
            return self._put_in_force(steps[-1].version, whole), Progress.ADVANCED
        return self._take_until_refused(steps), Progress.ADVANCED

    def _take_until_refused(self, steps: tuple[Step, ...]) -> list[Action]:
        actions: list[Action] = []
        for count in range(len(steps) - 1, 0, -1):
            together = merge(step.change for step in steps[:count])
            if self._check(together) is None:
                actions += self._put_in_force(steps[count - 1].version, together)
                steps = steps[count:]
                break
        first = merge(step.change for step in steps[:1])
        problem = self._check(first) or self._check(merge(step.change for step in steps))
        assert problem is not None
        return [*actions, self._refuse(steps[0].version, steps[-1].version, problem)]

    def _put_in_force(self, version: int, change: Change, whole: bool = False) -> list[Action]:
        self.content.apply(change)
        self.version, self.refused, self._offered = version, None, 0
        return [Apply(version, change), Persist(version, change, whole)]

    def _refuse(self, version: int, offered: int, problem: Problem) -> WriteLog:
        self.refused = Refusal(version, problem.key, problem.cause[:500])
        self._offered = offered
        return WriteLog("change refused", version, problem.key, problem.cause)

    # ---- Building the content again -----------------------------------------------------------------------
    def _take_page(self, page: SnapshotPage) -> tuple[list[Action], Progress]:
        rebuild = self._rebuild
        begun = rebuild is not None and rebuild.snapshot == page.version and rebuild.page == page.page
        if page.page == 0:
            rebuild = self._rebuild = _Rebuild(Content(), snapshot=page.version)
        elif rebuild is None or not begun:
            self._rebuild = _Rebuild(Content())
            return [], Progress.UNUSABLE
        rebuild.content.apply(Change(page.values))
        rebuild.page += 1
        if not page.last:
            return [], Progress.ADVANCED
        if rebuild.content.digest != page.digest or page.version < self.version:
            self._rebuild = _Rebuild(Content()) if rebuild.content.digest != page.digest else None
            return [], Progress.UNUSABLE
        return self._rebuilt(rebuild.content, page.version), Progress.ADVANCED

    def _rebuild_by_steps(self, rebuild: _Rebuild, steps: tuple[Step, ...]) -> tuple[list[Action], Progress]:
        for step in steps:
            rebuild.content.apply(step.change)
            if rebuild.content.digest != step.digest:
                self._rebuild = _Rebuild(Content())
                return [], Progress.UNUSABLE
            rebuild.version = step.version
        if rebuild.version < self.version:
            return [], Progress.ADVANCED
        return self._rebuilt(rebuild.content, rebuild.version), Progress.ADVANCED

    def _rebuilt(self, content: Content, version: int) -> list[Action]:
        """Put the difference in force, as one change."""
        self._rebuild = None
        change = difference(self.content.values, content.values)
        problem = self._check(change)
        if problem is not None:
            return [self._refuse(version, version, problem)]
        return self._put_in_force(version, change, whole=True)


def _follow(version: int, steps: tuple[Step, ...]) -> bool:
    """Whether the steps lead on from a version, each from the one before."""
    for step in steps:
        if step.after != version or step.version <= step.after:
            return False
        version = step.version
    return True


def difference(before: Mapping[str, str], after: Mapping[str, str]) -> Change:
    """The change that makes one content of another."""
    puts = {key: value for key, value in after.items() if before.get(key) != value}
    return Change(puts, tuple(key for key in before if key not in after))
