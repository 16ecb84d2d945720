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

    Raises LogError where a segment is missing, damaged before its end, or cut short with others behind it.
    """
    segments = _segments(files, name)
    for k, (first, file) in enumerate(segments):
        last_segment = k + 1 == len(segments)
        if not last_segment and segments[k + 1][0] <= after + 1:
            continue
        reader = _read(files, file, first)
        if not last_segment and (reader.torn_bytes or reader.last_sequence + 1 != segments[k + 1][0]):
            raise LogError(
                f"{file}: ends at record {reader.last_sequence}; {segments[k + 1][1]} does not follow it"
            )
        for number, payload in enumerate(reader.payloads, first):
            if number > after:
                yield LogEntry(number, payload)


def _read(files: FilePort, file: str, first: int) -> LogReader:
    data = files.read(file)
    if data is None:
        raise LogError(f"{file}: gone while it was read")
    return LogReader(file, data, last_sequence=first - 1)


class SegmentedLog:
    """The writing side."""

    def __init__(self, files: FilePort, name: str, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Opens the log, cuts a torn tail off and gives up what is in it. Raises OSError and LogError."""
        self._files, self._name, self._limit = files, name, segment_bytes
        self.truncated_bytes = 0
        self.failed: OSError | None = None
        self._gathering: list[bytes] = []
        self._waiting: list[AppendCallback] = []
        self._writing = self._closed = False
        segments = _segments(files, name)
        self.last_sequence = self._size = 0
        self._file: SyncFile | None = None
        if segments:
            first, file = segments[-1]
            reader = _read(files, file, first)
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
        """Append a record; gives back its sequence number, and calls `done` once it lasts or cannot.

        Raises LogError for a payload that is too large; nothing is appended then.
        """
        frame = encode_frame(self.last_sequence + 1, payload)
        self.last_sequence += 1
        self._gathering.append(frame)
        if done is not None:
            self._waiting.append(done)
        self._write()
        return self.last_sequence

    def _write(self) -> None:
        if self._writing or not self._gathering:
            return
        data = b"".join(self._gathering)
        waiting, upto, count = self._waiting, self.last_sequence, len(self._gathering)
        self._gathering, self._waiting = [], []
        if self._closed and self.failed is None:
            self.failed = OSError(errno.EBADF, "the log is closed")
        if self.failed is not None:
            for done in waiting:
                done(self.failed)
            return
        self._writing = True
        if self._file is None or self._size >= self._limit:
            if self._file is not None:
                self._file.close()
            # opened by its first write, off the loop; a header that is torn there holds no record yet
            self._file = self._files.open_append(segment_name(self._name, upto - count + 1))
            data, self._size = encode_header() + data, 0
        self._size += len(data)
        self._file.write_sync(data, lambda error: self._written(error, waiting, upto))

    def _written(self, error: OSError | None, waiting: list[AppendCallback], upto: int) -> None:
        self._writing = False
        if error is None:
            self.durable = upto
        else:
            self.failed = self.failed or error
        for done in waiting:
            done(error)
        self._write()

    @property
    def flushed(self) -> bool:
        """Whether all that was appended lasts, or cannot any more."""
        return self.durable == self.last_sequence or self.failed is not None

    def close(self) -> None:
        """Let go of the file; what is under way still ends, what waits for it fails: flush before."""
        self._closed = True
        if self._file is not None:
            self._file.close()
