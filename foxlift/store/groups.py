"""Durable appends in groups: while one sync runs, what comes gathers for the next.

Once the disk has failed, every later append fails at once: what a failed sync left behind is not known.
"""

from __future__ import annotations

import errno

from foxlift.store.files import FilePort, SyncFile, WriteCallback


class GroupWriter:
    """Appends to one file. `done(None)` once the bytes last, `done(error)` where they may not."""

    def __init__(self, files: FilePort, name: str) -> None:
        self._files, self._name = files, name
        self._file: SyncFile = files.open_append(name)
        self.failed: OSError | None = None
        self._gathering: list[bytes] = []
        self._waiting: list[WriteCallback] = []
        self._writing = self._closed = False
        self._whole: bytes | None = None

    def append(self, data: bytes, done: WriteCallback | None = None) -> None:
        """Append with the next group. Never calls `done` from inside, but where the file has failed."""
        self._gathering.append(data)
        if done is not None:
            self._waiting.append(done)
        self._write()

    def replace(self, whole: bytes) -> None:
        """Put `whole` in place of the file with the next group; it must hold all that was appended."""
        self._whole = whole
        self._gathering.clear()
        self._write()

    def _write(self) -> None:
        if self._writing or not (self._gathering or self._waiting or self._whole is not None):
            return
        waiting, self._waiting = self._waiting, []
        data, self._gathering = b"".join(self._gathering), []
        whole, self._whole = self._whole, None
        if self._closed or self.failed is not None:
            error = self.failed or OSError(errno.EBADF, f"{self._name} is closed")
            for done in waiting:
                done(error)
            return
        self._writing = True
        if whole is None:
            self._file.write_sync(data, lambda error: self._written(error, waiting))
            return

        def replaced(error: OSError | None) -> None:
            if error is None and not self._closed:
                self._file.close()
                self._file = self._files.open_append(self._name)
            self._written(error, waiting)

        self._files.replace_async(self._name, whole + data, replaced)

    def _written(self, error: OSError | None, waiting: list[WriteCallback]) -> None:
        self._writing = False
        self.failed = self.failed or error
        for done in waiting:
            done(error)
        self._write()

    @property
    def flushed(self) -> bool:
        """Whether nothing waits to be written."""
        return not (self._writing or self._gathering or self._whole is not None)

    def close(self) -> None:
        """Let go of the file; what waits to be written fails: flush before."""
        self._closed = True
        self._file.close()
