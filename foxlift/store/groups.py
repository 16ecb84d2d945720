"""Group commit: records appended while one sync runs are written together by the next one.

After a disk error every later append fails at once: the state that a failed sync leaves on the disk is
unknown.
"""

from __future__ import annotations

import errno

from foxlift.store.files import FilePort, SyncFile, WriteCallback


class GroupWriter:
    """Appends to one file. `done(None)` once the bytes are durable, `done(error)` if they may not be."""

    def __init__(self, files: FilePort, name: str) -> None:
        self._files, self._name = files, name
        self._file: SyncFile = files.open_append(name)
        self.failed: OSError | None = None
        self._batch: list[bytes] = []
        self._callbacks: list[WriteCallback] = []
        self._writing = self._closed = False
        self._replacement: bytes | None = None

    def append(self, data: bytes, done: WriteCallback | None = None) -> None:
        """Append with the next group. Calls `done` at once only if the file has failed or is closed."""
        self._batch.append(data)
        if done is not None:
            self._callbacks.append(done)
        self._write()

    def replace(self, content: bytes) -> None:
        """Replace the file with the next group; `content` must include all that was appended so far."""
        self._replacement = content
        self._batch.clear()
        self._write()

    def _write(self) -> None:
        if self._writing or not (self._batch or self._callbacks or self._replacement is not None):
            return
        callbacks, self._callbacks = self._callbacks, []
        data, self._batch = b"".join(self._batch), []
        content, self._replacement = self._replacement, None
        if self._closed or self.failed is not None:
            error = self.failed or OSError(errno.EBADF, f"{self._name} is closed")
            for done in callbacks:
                done(error)
            return
        self._writing = True
        if content is None:
            self._file.write_sync(data, lambda error: self._written(error, callbacks))
            return

        def replaced(error: OSError | None) -> None:
            if error is None and not self._closed:
                self._file.close()
                self._file = self._files.open_append(self._name)
            self._written(error, callbacks)

        self._files.replace_async(self._name, content + data, replaced)

    def _written(self, error: OSError | None, callbacks: list[WriteCallback]) -> None:
        self._writing = False
        self.failed = self.failed or error
        for done in callbacks:
            done(error)
        self._write()

    @property
    def flushed(self) -> bool:
        """Whether nothing is waiting to be written."""
        return not (self._writing or self._batch or self._replacement is not None)

    def close(self) -> None:
        """Close the file. Appends that are not yet written fail: wait for `flushed` first."""
        self._closed = True
        self._file.close()
