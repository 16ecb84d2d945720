"""What a director's disk stores for the fleet: its replica of registers, and boot epochs of all directors.

Records are JSON, one an entry: `{"k": "b", "r": at}` since when the file is valid (Unix ms, 0 for the first
one), `{"k": "r", "v": record}` a register, `{"k": "m", "n": name, "r": run, "p": run}` a director's boot
epoch and the one before it. The file is rewritten at start, and whenever most of it is out of date.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from foxlift.consensus import Record
from foxlift.store import FilePort, LogError, LogReader, encode_frame, encode_header
from foxlift.store.groups import GroupWriter

FILE_NAME = "registers.log"
MIN_RECORDS = 4096  # in the file before it is rewritten during operation


class _Entry(msgspec.Struct, omit_defaults=True):
    k: str
    n: str = ""
    r: int = 0
    p: int = 0
    v: Record | None = None


class RegisterStore:
    """The file of one director. `records` is shared with the replica, which deletes expired keys."""

    def __init__(self, files: FilePort, name: str, now_ms: int) -> None:
        """Reads the file and begins a new boot epoch. Raises OSError and LogError.

        `boot_epoch` is higher than any in this file, and than the clock. A lost file or a clock set back is
        detected by `foxlift.recovery.disk_check`.
        """
        self._name, self._count = name, 0
        self.records: dict[str, Record] = {}
        self.peer_epochs: dict[str, tuple[int, int]] = {}  # by name: boot epoch, and the one before
        self.valid_since = 0
        self.is_new = self._load(files)
        self.last_boot_epoch = self.peer_epochs.get(name, (0, 0))[0]
        self.boot_epoch = max(now_ms, self.last_boot_epoch + 1)
        self.peer_epochs[name] = self.boot_epoch, self.last_boot_epoch
        files.replace(FILE_NAME, self._encode_all())
        self._writer = GroupWriter(files, FILE_NAME)

    def _load(self, files: FilePort) -> bool:
        data = files.read(FILE_NAME)
        if data is None:
            return True
        reader = LogReader(FILE_NAME, data)
        for number, payload in enumerate(reader.payloads, 1):
            try:
                entry = msgspec.json.decode(payload, type=_Entry)
            except msgspec.MsgspecError as error:
                raise LogError(f"{FILE_NAME}: record {number}: {error}") from error
            if entry.k == "b":
                self.valid_since = entry.r
            elif entry.k == "m":
                self.peer_epochs[entry.n] = max((entry.r, entry.p), self.peer_epochs.get(entry.n, (0, 0)))
            elif entry.v is not None:
                self.records[entry.v.key] = entry.v
        return False

    def _encode_all(self) -> bytes:
        self._count = 0
        entries = [_Entry("b", r=self.valid_since)]
        entries += [_Entry("m", name, *runs) for name, runs in sorted(self.peer_epochs.items())]
        entries += [_Entry("r", v=record) for record in self.records.values()]
        return encode_header() + b"".join(map(self._frame, entries))

    def _frame(self, entry: _Entry) -> bytes:
        self._count += 1
        return encode_frame(self._count, msgspec.json.encode(entry))

    def _append(self, entry: _Entry, done: Callable[[OSError | None], None]) -> None:
        if self._count > max(MIN_RECORDS, 4 * len(self.records)):
            self._writer.replace(self._encode_all())
        self._writer.append(self._frame(entry), done)

    def append_record(self, record: Record, done: Callable[[OSError | None], None]) -> None:
        """Store a register's record; it must be in `records` already."""
        self._append(_Entry("r", v=record), done)

    def renew(self, now_ms: int, done: Callable[[OSError | None], None]) -> None:
        """Begin another boot epoch of this process; `boot_epoch` is the new one at once."""
        before, self.boot_epoch = self.boot_epoch, max(now_ms, self.boot_epoch + 1)
        self.peer_epochs[self._name] = self.boot_epoch, before
        self._append(_Entry("m", self._name, self.boot_epoch, before), done)

    def record_epoch(self, name: str, boot_epoch: int, done: Callable[[int | None], None]) -> None:
        """Store that `name` is in this boot epoch; reports the one before, None if the disk failed.

        A repeated call reports the same again: the first response may have been lost.
        """
        known, before = self.peer_epochs.get(name, (0, 0))
        if boot_epoch < known:
            done(known)  # from a process that a later one has replaced
            return
        if boot_epoch > known:
            before = known
            self.peer_epochs[name] = boot_epoch, before
        self._append(
            _Entry("m", name, boot_epoch, before), lambda error: done(before if error is None else None)
        )

    def mark_disk_lost(self, at_ms: int) -> None:
        """The content may be lost or old: keys that may be older than this moment are rejected."""
        self.valid_since = at_ms
        self._append(_Entry("b", r=at_ms), lambda error: None)

    @property
    def flushed(self) -> bool:
        """Whether nothing waits to be written."""
        return self._writer.flushed

    def close(self) -> None:
        """Close the file."""
        self._writer.close()
