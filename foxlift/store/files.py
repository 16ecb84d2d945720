"""The port through which the store meets a disk, and the real disk behind it.

A write that must last is handed over with a callback: the front's loop never waits for a disk. Once a write
or a sync has failed the file is given up for good: after a failed fsync the kernel may have dropped the very
pages that a second fsync would then call safe.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

Done = Callable[[OSError | None], None]


class SyncFile(Protocol):
    """A file that is only ever appended to."""

    def write_sync(self, data: bytes, done: Done) -> None:
        """Append and make durable; `done(None)` once it lasts, `done(error)` where it may not."""

    def close(self) -> None:
        """Let go of it; writes that are under way still end."""


class FilePort(Protocol):
    """The few operations on files that the store needs. All but `write_sync` are for start and stop."""

    def read(self, name: str) -> bytes | None:
        """The whole file, None where there is none. Raises OSError."""

    def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place so that either the old or the new one is there after power loss."""

    def open_append(self, name: str) -> SyncFile:
        """Open for appending. Raises OSError."""


class DiskFiles:
    """Files of one folder on a real disk; syncs run on one thread, in the order in which they were asked."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.loop = folder, loop
        self.executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="foxlift-disk")

    def read(self, name: str) -> bytes | None:
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, name: str, data: bytes) -> None:
        path = self.folder / name
        draft = path.with_name(path.name + ".new")
        with open(draft, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(draft, path)
        self._sync_folder()

    def open_append(self, name: str) -> SyncFile:
        path = self.folder / name
        new = not path.exists()
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        if new:
            self._sync_folder()
        return _DiskFile(descriptor, self)

    def close(self) -> None:
        """Wait for what is under way and end the thread."""
        self.executor.shutdown(wait=True)

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class _DiskFile:
    def __init__(self, descriptor: int, files: DiskFiles) -> None:
        self._descriptor, self._files = descriptor, files
        self._failed: OSError | None = None

    def write_sync(self, data: bytes, done: Done) -> None:
        future = self._files.loop.run_in_executor(self._files.executor, self._write, data)
        future.add_done_callback(lambda f: done(f.result()))

    def _write(self, data: bytes) -> OSError | None:
        if self._failed is None:
            try:
                while data:
                    data = data[os.write(self._descriptor, data) :]
                os.fdatasync(self._descriptor)
            except OSError as error:
                self._failed = error
        return self._failed

    def close(self) -> None:
        self._files.executor.submit(os.close, self._descriptor)
