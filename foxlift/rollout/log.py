"""The numbered log of changes, as a control server holds it, and what brings a follower up to date.

The latest `kept` entries are held as they are; before them stands the content alone. Everybody who has the
same version has the same content: an entry that does not follow, or after which the digest differs from its
own, is not taken.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from foxlift.rollout.content import Content, merge
from foxlift.rollout.entry import Change, Digest, Entry, EntryError, Key, Value, Version

MAX_ENTRIES = 16_384  # some hours of changes: a region that was cut off for one comes back by entries
MAX_REQUESTS = 16_384  # orders whose repetition is recognised, the latest
MAX_SINGLE_STEPS = 32  # so many versions are told one by one, so that a refusal names one of them
PAGE_CHARS = 48_000  # of keys and values in one page of a snapshot, or of a merged step


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """What leads from the content of one version to that of a later one."""

    after: Version
    version: Version
    change: Change
    digest: Digest


class SnapshotPage(msgspec.Struct, frozen=True, omit_defaults=True):
    """A part of the content of one version, keys in order. `last`: no page follows."""

    version: Version
    digest: Digest
    page: int
    values: dict[Key, Value]
    last: bool


@dataclass(frozen=True, slots=True)
class Revert:
    """A version that another one has taken back."""

    version: int
    by: int


class ConfigLog:
    """Entries of versions above `base`; contents at `base` (`floor`), `released` (`fleet`) and `head`."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self.base = self.head = self.released = 0
        self.content, self.released_content, self.base_content = Content(), Content(), Content()
        self.entries: deque[Entry] = deque()
        self.requests: dict[str, int] = {}  # orders that were carried out, with their version
        self._undo: dict[int, Change] = {}  # by version, of those kept
        self._reverts: list[Revert] = []  # whose later version is kept
        self._snapshot: tuple[SnapshotPage, ...] = ()

    def append(self, entry: Entry) -> bool:
        """Take the next entry in; False for one that is here already. Raises EntryError for any other."""
        if entry.version <= self.head:
            return False
        if entry.version != self.head + 1:
            raise EntryError(f"version {entry.version} does not follow {self.head}")
        if self.content.digest_after(entry.change) != entry.digest:
            raise EntryError(f"version {entry.version}: the digest differs")
        if entry.released > entry.version:
            raise EntryError(f"version {entry.version}: releases {entry.released}, which is not there yet")
        self._undo[entry.version] = self.content.apply(entry.change)
        self.entries.append(entry)
        self.head = entry.version
        if entry.reverts:
            self._reverts.append(Revert(entry.reverts, entry.version))
        self._record_request(entry.request_id, entry.version)
        self._release(entry.released)
        self._compact()
        return True

    def restore(self, version: int, values: Mapping[str, str], requests: Mapping[str, int]) -> None:
        """Begin at a snapshot: the content of a released version."""
        self.base = self.head = self.released = version
        self.content, self.released_content, self.base_content = (
            Content(values),
            Content(values),
            Content(values),
        )
        self.entries.clear()
        self._undo.clear()
        self._reverts.clear()
        self._snapshot = ()
        self.requests = dict(requests)

    def _record_request(self, request: str, version: int) -> None:
        self.requests[request] = version
        while len(self.requests) > MAX_REQUESTS:
            del self.requests[next(iter(self.requests))]

    def _release(self, released: int) -> None:
        if released <= self.released:
            return
        for entry in self.between(self.released, released):
            self.released_content.apply(entry.change)
        self.released = released

    def _compact(self) -> None:
        while len(self.entries) > self._max_entries and self.base < self.released:
            entry = self.entries.popleft()
            self.base = entry.version
            self.base_content.apply(entry.change)
            self._undo.pop(entry.version, None)
        if self._reverts and self._reverts[0].by <= self.base:
            self._reverts = [revert for revert in self._reverts if revert.by > self.base]

    # ---- What is known ------------------------------------------------------------------------------------
    def entry(self, version: int) -> Entry | None:
        """The entry of a version that is kept."""
        place = version - self.base - 1
        return self.entries[place] if 0 <= place < len(self.entries) else None

    def between(self, after: int, version: int) -> list[Entry]:
        """The kept entries after one version, up to another."""
        first = max(after, self.base) + 1
        found = (self.entry(number) for number in range(first, version + 1))
        return [entry for entry in found if entry is not None]

    def last_change(self, up_to: int) -> int:
        """The latest version up to one that is for directors; `base` where none that is kept is.

        One that takes another back is for them even where it changes nothing: after it that other is over.
        """
        for number in range(min(up_to, self.head), self.base, -1):
            entry = self.entry(number)
            if entry is not None and (entry.reverts or not entry.change.is_empty):
                return number
        return min(self.base, up_to)

    def last_writer(self, key: str, up_to: int) -> int:
        """The version whose word on a key held at another version; 0 where it is none that is kept.

        What was reverted does not count, nor does its revert: that gives back the word of an earlier one.
        """
        reverted = {revert.version for revert in self._reverts if revert.by <= up_to}
        for entry in reversed(self.between(self.base, up_to)):
            if _writes(entry, key) and self._is_own_word(entry) and entry.version not in reverted:
                return entry.version
        return 0

    def _is_own_word(self, entry: Entry) -> bool:
        """Whether an entry says by itself what its keys hold: a revert of a kept version does not."""
        return entry.reverts <= self.base

    def is_reverted(self, version: int) -> bool:
        """Whether a version that is kept has been taken back."""
        return any(revert.version == version for revert in self._reverts)

    def has_no_reverted_change(self, version: int) -> bool:
        """Whether the content at a version holds nothing that a later version has taken back."""
        return not any(revert.version <= version < revert.by for revert in self._reverts)

    def revert_change(self, version: int) -> Change:
        """What takes a version back: keys on which it has the last word go back to what they were before.

        Raises EntryError where the version is not kept, changed nothing, or is a revert itself.
        """
        entry = self.entry(version)
        if entry is None:
            raise EntryError(f"version {version} is not kept: what it replaced is not known")
        if entry.reverts:
            raise EntryError(
                f"version {version} takes {entry.reverts} back: put that change in again instead"
            )
        if entry.change.is_empty:
            raise EntryError(f"version {version} changed nothing")
        puts: dict[str, str] = {}
        removes: list[str] = []
        for key in (*entry.change.puts, *entry.change.removes):
            if self.last_writer(key, self.head) != version:
                continue
            value = self._value_before(version, key)
            if value is None:
                removes.append(key)
            else:
                puts[key] = value
        return Change(puts, tuple(removes))

    def _value_before(self, version: int, key: str) -> str | None:
        """What a key held before a version, as if what was reverted by now had never been."""
        reverted = {revert.version for revert in self._reverts} | {version}
        before: str | None = None
        for entry in reversed(self.between(self.base, version)):
            if not _writes(entry, key):
                continue
            if entry.version not in reverted and self._is_own_word(entry):
                return entry.change.puts.get(key)
            before = self._undo[entry.version].puts.get(key)
        return before

    # ---- Catching up --------------------------------------------------------------------------------------
    def steps(self, after: int, version: int) -> tuple[Step, ...]:
        """What leads from one kept version to a later one; empty where there is nothing to tell.

        The last versions come one by one, so that a refusal names one of them, those before together. What
        was taken back comes in one step with what took it back.
        """
        entries = self.between(after, version)
        if after < self.base:
            return ()
        unwhole = [revert for revert in self._reverts if revert.by <= version]
        steps: list[Step] = []
        group: list[Entry] = []
        size = 0
        for place, entry in enumerate(entries, 1):
            group.append(entry)
            size += _size(entry.change)
            is_last = place == len(entries)
            is_single = len(entries) - place < MAX_SINGLE_STEPS
            between = any(revert.version <= entry.version < revert.by for revert in unwhole)
            if is_last or (not between and (is_single or size >= PAGE_CHARS)):
                steps.append(_merged(after, group))
                after, group, size = entry.version, [], 0
        return tuple(steps)

    def snapshot(self, version: int = 0) -> tuple[SnapshotPage, ...]:
        """The pages of a snapshot: the one of `version` if that is still at hand, else a usable one."""
        at_hand = self._snapshot[0].version if self._snapshot else -1
        if at_hand != version and (at_hand < self.base or at_hand < 0):
            self._snapshot = _pages(self.released, self.released_content)
        return self._snapshot


def _writes(entry: Entry, key: str) -> bool:
    return key in entry.change.puts or key in entry.change.removes


def _merged(after: int, entries: list[Entry]) -> Step:
    return Step(after, entries[-1].version, merge(e.change for e in entries), entries[-1].digest)


def _size(change: Change) -> int:
    return sum(len(k) + len(v) for k, v in change.puts.items()) + sum(len(k) for k in change.removes) + 100


def _pages(version: int, content: Content) -> tuple[SnapshotPage, ...]:
    groups = list(_grouped(sorted(content.values.items()))) or [{}]
    last = len(groups) - 1
    digest = content.digest
    return tuple(
        SnapshotPage(version, digest, number, values, number == last) for number, values in enumerate(groups)
    )


def _grouped(items: Iterable[tuple[str, str]]) -> Iterable[dict[str, str]]:
    group: dict[str, str] = {}
    size = 0
    for key, value in items:
        group[key] = value
        size += len(key) + len(value)
        if size >= PAGE_CHARS:
            yield group
            group, size = {}, 0
    if group:
        yield group
