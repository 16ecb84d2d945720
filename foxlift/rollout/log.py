"""The numbered log of changes in a control server, and the steps or snapshots that update a follower.

The log keeps the latest `max_entries` entries; of the older ones it keeps only the resulting content. Equal
versions mean equal content: an entry that is not the next one, or whose digest does not match the resulting
content, is rejected.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from foxlift.rollout.content import Content, merge
from foxlift.rollout.entry import Change, Digest, Entry, EntryError, Key, Value, Version

MAX_ENTRIES = 16_384  # some hours of changes: a region disconnected for an hour catches up by entries
MAX_REQUESTS = 16_384  # latest request ids for which a repetition is recognised
MAX_SINGLE_STEPS = 32  # the latest versions are sent one by one, so that a refusal names one version
PAGE_CHARS = 48_000  # a page of a snapshot or a merged step is complete once it holds this many


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """The change from the content of one version to that of a later one."""

    after: Version
    version: Version
    change: Change
    digest: Digest


class SnapshotPage(msgspec.Struct, frozen=True, omit_defaults=True):
    """A part of the content of one version, sorted by key. `last`: no page follows."""

    version: Version
    digest: Digest
    page: int
    values: dict[Key, Value]
    last: bool


@dataclass(frozen=True, slots=True)
class RevertedVersion:
    """A version and the later version that reverts it."""

    version: int
    reverted_by: int


class ConfigLog:
    """Entries above version `base`, and the contents at `base`, `released` and `head`."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self.base = self.head = self.released = 0
        self.content, self.released_content, self.base_content = Content(), Content(), Content()
        self.entries: deque[Entry] = deque()
        self.requests: dict[str, int] = {}  # committed request ids, with their version
        self._undo: dict[int, Change] = {}  # inverse changes by version, for the kept entries
        self._reverts: list[RevertedVersion] = []  # those whose reverting version is kept
        self._snapshot: tuple[SnapshotPage, ...] = ()

    def append(self, entry: Entry) -> bool:
        """Append the next entry; False if the log has it already. Raises EntryError for any other."""
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
            self._reverts.append(RevertedVersion(entry.reverts, entry.version))
        self._record_request(entry.request_id, entry.version)
        self._release(entry.released)
        self._drop_old_entries()
        return True

    def restore(self, version: int, values: Mapping[str, str], requests: Mapping[str, int]) -> None:
        """Restart the log from a snapshot, which is the content of a released version."""
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

    def _drop_old_entries(self) -> None:
        while len(self.entries) > self._max_entries and self.base < self.released:
            entry = self.entries.popleft()
            self.base = entry.version
            self.base_content.apply(entry.change)
            self._undo.pop(entry.version, None)
        if self._reverts and self._reverts[0].reverted_by <= self.base:
            self._reverts = [revert for revert in self._reverts if revert.reverted_by > self.base]

    # ---- Queries ------------------------------------------------------------------------------------------
    def entry(self, version: int) -> Entry | None:
        """The entry of a version; None if it is not kept."""
        index = version - self.base - 1
        return self.entries[index] if 0 <= index < len(self.entries) else None

    def between(self, after: int, version: int) -> list[Entry]:
        """The kept entries after version `after`, up to and including `version`."""
        first = max(after, self.base) + 1
        found = (self.entry(number) for number in range(first, version + 1))
        return [entry for entry in found if entry is not None]

    def last_change(self, up_to: int) -> int:
        """The latest version up to `up_to` that matters to directors; `base` if no kept one does.

        A revert matters even if it changes no key: it ends the reverted version.
        """
        for number in range(min(up_to, self.head), self.base, -1):
            entry = self.entry(number)
            if entry is not None and (entry.reverts or not entry.change.is_empty):
                return number
        return min(self.base, up_to)

    def last_writer(self, key: str, up_to: int) -> int:
        """The version that last wrote a key, as of version `up_to`; 0 if it is not kept.

        Reverted versions do not count, nor do their reverts, which restore an earlier version's value.
        """
        reverted = {revert.version for revert in self._reverts if revert.reverted_by <= up_to}
        for entry in reversed(self.between(self.base, up_to)):
            if _writes(entry, key) and self._is_original(entry) and entry.version not in reverted:
                return entry.version
        return 0

    def _is_original(self, entry: Entry) -> bool:
        """Whether the entry's values are its own: a revert of a kept version only restores earlier ones."""
        return entry.reverts <= self.base

    def is_reverted(self, version: int) -> bool:
        """Whether a kept version has been reverted."""
        return any(revert.version == version for revert in self._reverts)

    def has_no_reverted_change(self, version: int) -> bool:
        """Whether the content at a version holds no change that a later version reverts."""
        return not any(revert.version <= version < revert.reverted_by for revert in self._reverts)

    def revert_change(self, version: int) -> Change:
        """The change that reverts a version: restores the keys that no later version has written.

        Raises EntryError if the version is not kept, changed nothing, or is a revert itself.
        """
        entry = self.entry(version)
        if entry is None:
            raise EntryError(
                f"version {version} is not kept (kept: {self.base + 1} to {self.head}): cannot revert it"
            )
        if entry.reverts:
            raise EntryError(
                f"version {version} reverts version {entry.reverts}: request that change again instead"
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
        """A key's value before a version, disregarding all versions that are reverted by now."""
        reverted = {revert.version for revert in self._reverts} | {version}
        before: str | None = None
        for entry in reversed(self.between(self.base, version)):
            if not _writes(entry, key):
                continue
            if entry.version not in reverted and self._is_original(entry):
                return entry.change.puts.get(key)
            before = self._undo[entry.version].puts.get(key)
        return before

    # ---- Catching up --------------------------------------------------------------------------------------
    def steps(self, after: int, version: int) -> tuple[Step, ...]:
        """The steps from one version to a later one; empty if there are none or `after` is not kept.

        The last MAX_SINGLE_STEPS versions are separate steps, so that a refusal names one version; earlier
        ones are merged. A reverted version is always merged with the version that reverts it.
        """
        entries = self.between(after, version)
        if after < self.base:
            return ()
        reverts = [revert for revert in self._reverts if revert.reverted_by <= version]
        steps: list[Step] = []
        group: list[Entry] = []
        size = 0
        for index, entry in enumerate(entries, 1):
            group.append(entry)
            size += _size(entry.change)
            is_last = index == len(entries)
            is_single = len(entries) - index < MAX_SINGLE_STEPS
            is_between = any(revert.version <= entry.version < revert.reverted_by for revert in reverts)
            if is_last or (not is_between and (is_single or size >= PAGE_CHARS)):
                steps.append(_merged(after, group))
                after, group, size = entry.version, [], 0
        return tuple(steps)

    def snapshot(self, version: int = 0) -> tuple[SnapshotPage, ...]:
        """The pages of a snapshot: of `version` if it is cached, else of the cached or a new usable one."""
        cached_version = self._snapshot[0].version if self._snapshot else -1
        if cached_version != version and (cached_version < self.base or cached_version < 0):
            self._snapshot = _pages(self.released, self.released_content)
        return self._snapshot


def _writes(entry: Entry, key: str) -> bool:
    return key in entry.change.puts or key in entry.change.removes


def _merged(after: int, entries: list[Entry]) -> Step:
    return Step(after, entries[-1].version, merge(e.change for e in entries), entries[-1].digest)


def _size(change: Change) -> int:
    return sum(len(k) + len(v) for k, v in change.puts.items()) + sum(len(k) for k in change.removes) + 100


def _pages(version: int, content: Content) -> tuple[SnapshotPage, ...]:
    chunks = list(_chunks(sorted(content.values.items()))) or [{}]
    last = len(chunks) - 1
    digest = content.digest
    return tuple(
        SnapshotPage(version, digest, number, values, number == last) for number, values in enumerate(chunks)
    )


def _chunks(items: Iterable[tuple[str, str]]) -> Iterable[dict[str, str]]:
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
