"""A disk in memory whose syncs end when the test says so."""

from __future__ import annotations

import errno
import os

from foxlift.store.files import SyncFile, WriteCallback


class MemoryFiles:
    """A file port. `hold`: syncs wait for `release`; `broken`: they fail."""

    def __init__(self, data: dict[str, bytes] | None = None) -> None:
        self.data = dict(data or {})
        self.hold = self.broken = False
        self.error = errno.EIO
        self.held: list[tuple[str, bytes, WriteCallback]] = []

    def read(self, name: str) -> bytes | None:
        return self.data.get(name)

    def replace(self, name: str, data: bytes) -> None:
        self.data[name] = data

    def replace_async(self, name: str, data: bytes, done: WriteCallback) -> None:
        self.replace(name, data)
        done(None)

    def names(self) -> list[str]:
        return sorted(self.data)

    def remove(self, name: str) -> None:
        self.data.pop(name, None)

    def lock(self) -> None:
        pass

    def open_append(self, name: str) -> SyncFile:
        return _MemoryFile(self, name)

    def release(self) -> None:
        held, self.held = self.held, []
        for name, data, done in held:
            self._end(name, data, done)

    def _end(self, name: str, data: bytes, done: WriteCallback) -> None:
        if self.broken:
            done(OSError(self.error, os.strerror(self.error)))
            return
        self.data[name] = self.data.get(name, b"") + data
        done(None)


class _MemoryFile:
    def __init__(self, files: MemoryFiles, name: str) -> None:
        self.files, self.name = files, name

    def write_sync(self, data: bytes, done: WriteCallback) -> None:
        if self.files.hold:
            self.files.held.append((self.name, data, done))
        else:
            self.files._end(self.name, data, done)

    def close(self) -> None:
        pass
