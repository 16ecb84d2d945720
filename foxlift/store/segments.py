"""A log in segments: durable appends in groups, recovery that cuts off a torn tail, reading from any sequence
number.

Files are `{name}-{first sequence}.seg`, each a log in the format of `foxlift.store.log`, except that its
frames continue the numbering of the previous segment. A full segment is closed and never written again; only
the last one may have a torn tail. Records are acknowledged by a callback once they are durable, in the order
in which they were appended. After a disk error every later append fails at once.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from foxlift.store.files import FilePort, SyncFile
from foxlift.store.log import LogError, LogReader, encode_frame, encode_header

SEGMENT_BYTES = 64 << 20

AppendCallback = Callable[[OSError | None], None]


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One record of the log."""

    sequence: int
    payload: bytes


def segment_name(name: str, first: int) -> str:
    """File name of the segment whose first record is `first`."""
    return f"{name}-{first:016d}.seg"


def _segments(files: FilePort, name: str) -> list[tuple[int, str]]:
    found = []
    for file in files.names():
        if file.startswith(f"{name}-") and file.endswith(".seg"):
            number = file.removeprefix(f"{name}-").removesuffix(".seg")
            if number.isdigit():
                found.append((int(number), file))
    return sorted(found)


def read_log(files: FilePort, name: str, after: int = 0) -> Iterator[LogEntry]:
    """Every whole record with a sequence number above `after`, oldest first.

    Raises LogError if a segment is missing, damaged before its end, or truncated with others after it.
    """
    segments = _segments(files, name)
    for k, (first, file) in enumerate(segments):
        last_segment = k + 1 == len(segments)
        if not last_segment and segments[k + 1][0] <= after + 1:
            continue
        reader = _read_segment(files, file, first)
        if not last_segment and (reader.torn_bytes or reader.last_sequence + 1 != segments[k + 1][0]):
            raise LogError(
                f"{file}: ends at record {reader.last_sequence}; {segments[k + 1][1]} does not follow it"
            )
        for number, payload in enumerate(reader.payloads, first):
            if number > after:
                yield LogEntry(number, payload)


def _read_segment(files: FilePort, file: str, first: int) -> LogReader:
    data = files.read(file)
    if data is None:
        raise LogError(f"{file}: removed while the log was read")
    return LogReader(file, data, last_sequence=first - 1)


class SegmentedLog:
    """The writer of a segmented log."""

    def __init__(self, files: FilePort, name: str, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Opens the log; cuts off a torn tail, whose records are dropped. Raises OSError and LogError."""
        self._files, self._name, self._segment_bytes = files, name, segment_bytes
        self.truncated_bytes = 0
        self.failed: OSError | None = None
        self._batch: list[bytes] = []
        self._callbacks: list[AppendCallback] = []
        self._writing = self._closed = False
        segments = _segments(files, name)
        self.last_sequence = self._size = 0
        self._file: SyncFile | None = None
        if segments:
            first, file = segments[-1]
            reader = _read_segment(files, file, first)
            self.truncated_bytes = reader.torn_bytes
            if reader.torn_bytes or not reader.valid_bytes:
                files.replace(file, reader.data[: reader.valid_bytes] or encode_header())
            self.last_sequence, self._size = (
                reader.last_sequence,
                max(reader.valid_bytes, len(encode_header())),
            )
            self._file = files.open_append(file)
        self.durable = self.last_sequence

    def append(self, payload: bytes, done: AppendCallback | None = None) -> int:
        """Append a record and return its sequence number; `done` is called once it is durable or has failed.

        Raises LogError for a payload that is too large; nothing is appended then.
        """
        frame = encode_frame(self.last_sequence + 1, payload)
        self.last_sequence += 1
        self._batch.append(frame)
        if done is not None:
            self._callbacks.append(done)
        self._write()
        return self.last_sequence

    def _write(self) -> None:
        if self._writing or not self._batch:
            return
        data = b"".join(self._batch)
        callbacks, last_sequence, count = self._callbacks, self.last_sequence, len(self._batch)
        self._batch, self._callbacks = [], []
        if self._closed and self.failed is None:
            self.failed = OSError(errno.EBADF, "the log is closed")
        if self.failed is not None:
            for done in callbacks:
                done(self.failed)
            return
        self._writing = True
        if self._file is None or self._size >= self._segment_bytes:
            if self._file is not None:
                self._file.close()
            # created by its first write, off the event loop; a header torn by it precedes no record
            self._file = self._files.open_append(segment_name(self._name, last_sequence - count + 1))
            data, self._size = encode_header() + data, 0
        self._size += len(data)
        self._file.write_sync(data, lambda error: self._written(error, callbacks, last_sequence))

    def _written(self, error: OSError | None, callbacks: list[AppendCallback], last_sequence: int) -> None:
        self._writing = False
        if error is None:
            self.durable = last_sequence
        else:
            self.failed = self.failed or error
        for done in callbacks:
            done(error)
        self._write()

    @property
    def flushed(self) -> bool:
        """Whether every appended record is durable or has failed."""
        return self.durable == self.last_sequence or self.failed is not None

    def close(self) -> None:
        """Close the file. A write that is under way completes, later ones fail: wait for `flushed` first."""
        self._closed = True
        if self._file is not None:
            self._file.close()
