"""What control servers and directors keep of the configuration on their disks.

A file is a log (`foxlift.store.log`) of JSON records. It is written anew at a start, and while its process
runs whenever most of it is out of date. A change that the disk does not take is in force all the same: the
process goes on in memory, and after a restart it gets what it lacks from others.
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
MIN_REWRITE_RECORDS = 4096  # in a file before it is written anew while its process runs
CHUNK_CHARS = 200_000  # of a map in one record

Done = Callable[[OSError | None], None]


class _Base(msgspec.Struct, tag="base", frozen=True):
    """The log begins after this version, with the content of the `values` records that follow."""

    version: int


class _Values(msgspec.Struct, tag="values", frozen=True):
    values: dict[str, str]


class _Requests(msgspec.Struct, tag="requests", frozen=True):
    requests: dict[str, int]


class _Decided(msgspec.Struct, tag="decided", frozen=True):
    entry: Entry


class _Open(msgspec.Struct, tag="open", frozen=True):
    record: OpenVersion


class _Run(msgspec.Struct, tag="run", frozen=True):
    """A server's run, its own among them, and the one before it."""

    name: str
    run: int
    before: int


class _InForce(msgspec.Struct, tag="in-force", frozen=True):
    """A director has put a change in force, with which it is at this version."""

    version: int
    change: Change
    digest: str


_Record = _Base | _Values | _Requests | _Decided | _Open | _Run | _InForce
_decode = msgspec.json.Decoder(_Record).decode


class _RecordStore:
    """A file of records that is appended to, and written anew from `_whole`."""

    def __init__(self, files: FilePort, name: str) -> None:
        self._files, self._file_name = files, name
        self._count = self._live = 0
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

    def _whole(self) -> Iterable[_Record]:
        raise NotImplementedError

    def _encode_whole(self) -> bytes:
        self._count = 0
        data = encode_header() + b"".join(self._frame(record) for record in self._whole())
        self._live = self._count
        return data

    def _frame(self, record: _Record) -> bytes:
        self._count += 1
        return encode_frame(self._count, msgspec.json.encode(record))

    def _begin(self) -> None:
        """Write the file anew. Raises OSError."""
        self._files.replace(self._file_name, self._encode_whole())
        self._writer = GroupWriter(self._files, self._file_name)

    def _append(self, record: _Record, done: Done = lambda error: None) -> None:
        assert self._writer is not None
        if self._count > max(MIN_REWRITE_RECORDS, 4 * self._live):
            self.rewrite()
        self._writer.append(self._frame(record), done)

    def rewrite(self) -> None:
        """Write the file anew with the next group."""
        assert self._writer is not None
        self._writer.replace(self._encode_whole())

    @property
    def flushed(self) -> bool:
        """Whether nothing waits to be written."""
        return self._writer is None or self._writer.flushed

    def close(self) -> None:
        """Let go of the file."""
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
    """A control server's: its log, open versions, and the runs of the group's members."""

    def __init__(self, files: FilePort, name: str, now_ms: int) -> None:
        """Reads the file and begins a new run. Raises OSError and LogError."""
        super().__init__(files, SERVER_FILE)
        self.log = ConfigLog(MAX_ENTRIES)
        self.open: dict[int, OpenVersion] = {}
        self.boot_epochs: dict[str, tuple[int, int]] = {}
        self._load()
        self._name = name
        self.previous_boot_epoch = self.boot_epochs.get(name, (0, 0))[0]
        self.boot_epoch = max(now_ms, self.previous_boot_epoch + 1)
        self.boot_epochs[name] = self.boot_epoch, self.previous_boot_epoch
        self._begin()

    def _load(self) -> None:
        base, values, requests = 0, dict[str, str](), dict[str, int]()
        decided: list[Entry] = []
        for record in self._read():
            match record:
                case _Base(version):
                    base = version
                case _Values(more):
                    values |= more
                case _Requests(known):
                    requests |= known
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
            case _Run(name, run, before):
                self.boot_epochs[name] = run, before
            case _:
                raise LogError(f"{SERVER_FILE}: a director's record")

    def _drop_decided(self) -> None:
        self.open = {version: record for version, record in self.open.items() if version > self.log.head}

    def _whole(self) -> Iterable[_Record]:
        self._drop_decided()
        yield _Base(self.log.base)
        for chunk in _chunks(self.log.base_content.values):
            yield _Values(chunk)
        yield _Requests({r: version for r, version in self.log.requests.items() if version <= self.log.base})
        for name, (run, before) in sorted(self.boot_epochs.items()):
            yield _Run(name, run, before)
        for record in self.open.values():
            yield _Open(record)
        for entry in self.log.entries:
            yield _Decided(entry)

    def store_open_version(self, record: OpenVersion, done: Done) -> None:
        """Write an open version down."""
        self.open[record.version] = record
        self._append(_Open(record), done)

    def store_entry(self, entry: Entry) -> None:
        """Write an entry of the log down; it is in `log` already."""
        self._append(_Decided(entry))

    def store_boot_epoch(self, name: str, run: int, done: Callable[[int | None], None]) -> None:
        """Write down that a member is in this run; tells which it was in before, None if the disk failed."""
        known, before = self.boot_epochs.get(name, (0, 0))
        if run < known:
            done(known)  # of a process that is no more
            return
        if run > known:
            before = known
            self.boot_epochs[name] = run, before
        self._append(_Run(name, run, before), lambda error: done(before if error is None else None))


class DirectorStore(_RecordStore):
    """A director's: the content that it has in force. `content` is shared with its agent, who changes it."""

    def __init__(self, files: FilePort) -> None:
        """Reads the file. Raises OSError. What cannot be used is not an error: it begins at nothing."""
        super().__init__(files, DIRECTOR_FILE)
        self.version, self.content = 0, Content()
        self.unusable_reason = ""  # why what was there is not used
        try:
            self._load()
        except LogError as error:
            self._forget(str(error))
        self._begin()

    def _load(self) -> None:
        digest = ""
        for record in self._read():
            match record:
                case _InForce(version, change, digest):
                    self.content.apply(change)
                    self.version = version
                case _Base(version):
                    self.version, self.content = version, Content()
                case _Values(values):
                    self.content.apply(Change(values))
                case _:
                    raise LogError(f"{DIRECTOR_FILE}: not a director's record")
        if digest and digest != self.content.digest:
            raise LogError(f"{DIRECTOR_FILE}: the content is not that of version {self.version}")

    def _forget(self, why: str) -> None:
        self.version, self.content, self.unusable_reason = 0, Content(), why

    def reset(self, why: str) -> None:
        """What is kept cannot be put in force: begin at nothing."""
        self._forget(why)
        self.rewrite()

    def _whole(self) -> Iterable[_Record]:
        yield _Base(self.version)
        for chunk in _chunks(self.content.values):
            yield _Values(chunk)
        yield _InForce(self.version, Change(), self.content.digest)

    def store_change(self, version: int, change: Change, whole: bool, done: Done) -> None:
        """Write down what leads to this version; `content` is that of the version already."""
        self.version = version
        if whole:
            self.rewrite()
        self._append(_InForce(version, change, self.content.digest), done)
