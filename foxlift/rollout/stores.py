"""Stores the configuration of control servers and directors on disk.

A file is a log (`foxlift.store.log`) of JSON records. It is rewritten when the process starts, and later
whenever most of its records are outdated. If a change cannot be written, it is applied anyway: the process
continues in memory, and after a restart it gets what it lacks from others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec

from foxlift.rollout.acceptor import OpenVersion
from foxlift.rollout.content import Content
from foxlift.rollout.entry import Change, Entry, EntryError
from foxlift.rollout.log import MAX_ENTRIES, ConfigLog
from foxlift.store import FilePort, LogError, LogReader, encode_frame, encode_header
from foxlift.store.groups import GroupWriter

SERVER_FILE = "rollout.log"
DIRECTOR_FILE = "configuration.log"
MIN_REWRITE_RECORDS = 4096  # in a file before it is rewritten at runtime
CHUNK_CHARS = 200_000  # a `values` record is complete once it holds this many

OnWritten = Callable[[OSError | None], None]


class _Base(msgspec.Struct, tag="base", frozen=True):
    """The log starts after this version, with the content in the `values` records that follow."""

    version: int


class _Values(msgspec.Struct, tag="values", frozen=True):
    values: dict[str, str]


class _Requests(msgspec.Struct, tag="requests", frozen=True):
    requests: dict[str, int]


class _Decided(msgspec.Struct, tag="decided", frozen=True):
    entry: Entry


class _Open(msgspec.Struct, tag="open", frozen=True):
    record: OpenVersion


class _BootEpoch(msgspec.Struct, tag="run", frozen=True):
    """The boot epoch of a group member or of this server, and the one before it."""

    name: str
    boot_epoch: int = msgspec.field(name="run")
    previous: int = msgspec.field(name="before")


class _Applied(msgspec.Struct, tag="in-force", frozen=True):
    """A director has applied a change that leads to this version."""

    version: int
    change: Change
    digest: str


_Record = _Base | _Values | _Requests | _Decided | _Open | _BootEpoch | _Applied
_decode = msgspec.json.Decoder(_Record).decode


class _RecordStore:
    """A file of records that is appended to, and rewritten from `_current_records`."""

    def __init__(self, files: FilePort, name: str) -> None:
        self._files, self._file_name = files, name
        self._count = self._live_count = 0
        self._writer: GroupWriter | None = None

    def _read(self) -> Iterable[_Record]:
        data = self._files.read(self._file_name)
        if data is None:
            return
        for number, payload in enumerate(LogReader(self._file_name, data).payloads, 1):
            try:
                yield _decode(payload)
            except msgspec.MsgspecError as error:
                raise LogError(f"{self._file_name}: record {number}: {error}") from error

    def _current_records(self) -> Iterable[_Record]:
        raise NotImplementedError

    def _encode_current(self) -> bytes:
        self._count = 0
        data = encode_header() + b"".join(self._encode_record(record) for record in self._current_records())
        self._live_count = self._count
        return data

    def _encode_record(self, record: _Record) -> bytes:
        self._count += 1
        return encode_frame(self._count, msgspec.json.encode(record))

    def _start_writing(self) -> None:
        """Rewrite the file and open it for appending. Raises OSError."""
        self._files.replace(self._file_name, self._encode_current())
        self._writer = GroupWriter(self._files, self._file_name)

    def _append(self, record: _Record, on_written: OnWritten = lambda error: None) -> None:
        assert self._writer is not None
        if self._count > max(MIN_REWRITE_RECORDS, 4 * self._live_count):
            self.rewrite()
        self._writer.append(self._encode_record(record), on_written)

    def rewrite(self) -> None:
        """Rewrite the file with the next group of writes."""
        assert self._writer is not None
        self._writer.replace(self._encode_current())

    @property
    def flushed(self) -> bool:
        """Whether no write is pending."""
        return self._writer is None or self._writer.flushed

    def close(self) -> None:
        """Close the file."""
        if self._writer is not None:
            self._writer.close()


def _chunks(items: Mapping[str, str]) -> Iterable[dict[str, str]]:
    chunk: dict[str, str] = {}
    size = 0
    for key, value in items.items():
        chunk[key] = value
        size += len(key) + len(value)
        if size >= CHUNK_CHARS:
            yield chunk
            chunk, size = {}, 0
    if chunk:
        yield chunk


class ServerStore(_RecordStore):
    """A control server's store: its log, open versions and the boot epochs of the group's members."""

    def __init__(self, files: FilePort, name: str, now_ms: int) -> None:
        """Reads the file and starts a new boot epoch. Raises OSError and LogError."""
        super().__init__(files, SERVER_FILE)
        self.log = ConfigLog(MAX_ENTRIES)
        self.open: dict[int, OpenVersion] = {}
        self.boot_epochs: dict[str, tuple[int, int]] = {}
        self._load()
        self._name = name
        self.previous_boot_epoch = self.boot_epochs.get(name, (0, 0))[0]
        self.boot_epoch = max(now_ms, self.previous_boot_epoch + 1)
        self.boot_epochs[name] = self.boot_epoch, self.previous_boot_epoch
        self._start_writing()

    def _load(self) -> None:
        base, values, requests = 0, dict[str, str](), dict[str, int]()
        decided: list[Entry] = []
        for record in self._read():
            match record:
                case _Base(version):
                    base = version
                case _Values(more_values):
                    values |= more_values
                case _Requests(more_requests):
                    requests |= more_requests
                case _Decided(entry):
                    decided.append(entry)
                case _:
                    self._load_member(record)
        self.log.restore(base, values, requests)
        try:
            for entry in decided:
                self.log.append(entry)
        except EntryError as error:
            raise LogError(f"{SERVER_FILE}: {error}") from error
        self._drop_decided()

    def _load_member(self, record: _Record) -> None:
        match record:
            case _Open(open_version):
                self.open[open_version.version] = open_version
            case _BootEpoch(name, boot_epoch, previous):
                self.boot_epochs[name] = boot_epoch, previous
            case _:
                raise LogError(f"{SERVER_FILE}: holds a director's record")

    def _drop_decided(self) -> None:
        self.open = {version: record for version, record in self.open.items() if version > self.log.head}

    def _current_records(self) -> Iterable[_Record]:
        self._drop_decided()
        yield _Base(self.log.base)
        for chunk in _chunks(self.log.base_content.values):
            yield _Values(chunk)
        yield _Requests({r: version for r, version in self.log.requests.items() if version <= self.log.base})
        for name, (boot_epoch, previous) in sorted(self.boot_epochs.items()):
            yield _BootEpoch(name, boot_epoch, previous)
        for record in self.open.values():
            yield _Open(record)
        for entry in self.log.entries:
            yield _Decided(entry)

    def store_open_version(self, record: OpenVersion, on_written: OnWritten) -> None:
        """Write an open version."""
        self.open[record.version] = record
        self._append(_Open(record), on_written)

    def store_entry(self, entry: Entry) -> None:
        """Write an entry that is already in `log`."""
        self._append(_Decided(entry))

    def store_boot_epoch(self, name: str, boot_epoch: int, on_written: Callable[[int | None], None]) -> None:
        """Write a member's boot epoch; reports the previous one, or None if the disk failed."""
        known, previous = self.boot_epochs.get(name, (0, 0))
        if boot_epoch < known:
            on_written(known)  # sent before the member's restart
            return
        if boot_epoch > known:
            previous = known
            self.boot_epochs[name] = boot_epoch, previous
        self._append(
            _BootEpoch(name, boot_epoch, previous),
            lambda error: on_written(previous if error is None else None),
        )


class DirectorStore(_RecordStore):
    """A director's store: the applied content. `content` is shared with the agent, which updates it."""

    def __init__(self, files: FilePort) -> None:
        """Reads the file. Raises OSError. If the file is unusable, the content starts empty."""
        super().__init__(files, DIRECTOR_FILE)
        self.version, self.content = 0, Content()
        self.unusable_reason = ""  # why the file was not used; empty if it was
        try:
            self._load()
        except LogError as error:
            self._clear(str(error))
        self._start_writing()

    def _load(self) -> None:
        digest = ""
        for record in self._read():
            match record:
                case _Applied(version, change, digest):
                    self.content.apply(change)
                    self.version = version
                case _Base(version):
                    self.version, self.content = version, Content()
                case _Values(values):
                    self.content.apply(Change(values))
                case _:
                    raise LogError(f"{DIRECTOR_FILE}: holds a record that is not a director's")
        if digest and digest != self.content.digest:
            raise LogError(
                f"{DIRECTOR_FILE}: the content does not match the digest of version {self.version}"
            )

    def _clear(self, reason: str) -> None:
        self.version, self.content, self.unusable_reason = 0, Content(), reason

    def reset(self, reason: str) -> None:
        """The stored content cannot be applied: start with empty content."""
        self._clear(reason)
        self.rewrite()

    def _current_records(self) -> Iterable[_Record]:
        yield _Base(self.version)
        for chunk in _chunks(self.content.values):
            yield _Values(chunk)
        yield _Applied(self.version, Change(), self.content.digest)

    def store_change(self, version: int, change: Change, is_full: bool, on_written: OnWritten) -> None:
        """Write the change that leads to this version; `content` includes it already."""
        self.version = version
        if is_full:
            self.rewrite()
        self._append(_Applied(version, change, self.content.digest), on_written)
