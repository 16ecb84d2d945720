"""The port through which the store meets a disk, and the real disk behind it.

A write that must last is handed over with a callback: the front's loop never waits for a disk. Once a write
or a sync has failed the file is given up for good: after a failed fsync the kernel may have dropped the very
pages that a second fsync would then call safe.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

WriteCallback = Callable[[OSError | None], None]


class SyncFile(Protocol):
    """A file that is only ever appended to."""

    def write_sync(self, data: bytes, done: WriteCallback) -> None:
        """Append and make durable; `done(None)` once it lasts, `done(error)` where it may not."""

    def close(self) -> None:
        """Let go of it; writes that are under way still end."""


class FilePort(Protocol):
    """The few operations on files that the store needs. All but `write_sync` and `replace_async` wait: for
    start and stop."""

    def read(self, name: str) -> bytes | None:
        """The whole file, None where there is none. Raises OSError."""

    def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place so that either the old or the new one is there after power loss."""

    def replace_async(self, name: str, data: bytes, done: WriteCallback) -> None:
        """The same without waiting; `done` as with `write_sync`."""

    def open_append(self, name: str) -> SyncFile:
        """A file for appending; it may be made by its first write only."""

    def names(self) -> list[str]:
        """Names of all files."""

    def remove(self, name: str) -> None:
        """Take a file away, if it is there."""

    def lock(self) -> None:
        """Keep every other opener out until this one is closed or dies. Raises OSError where one is in."""


class DiskFiles:
    """Files of one folder on a real disk; syncs run on one thread, in the order in which they were asked."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.loop = folder, loop
        self._lock: int | None = None
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

    def replace_async(self, name: str, data: bytes, done: WriteCallback) -> None:
        def work() -> OSError | None:
            try:
                self.replace(name, data)
            except OSError as error:
                return error
            return None

        future = self.loop.run_in_executor(self.executor, work)
        future.add_done_callback(lambda f: done(f.result()))

    def open_append(self, name: str) -> SyncFile:
        return _DiskFile(self.folder / name, self)

    def names(self) -> list[str]:
        return sorted(path.name for path in self.folder.iterdir() if path.is_file())

    def remove(self, name: str) -> None:
        (self.folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def lock(self) -> None:
        descriptor = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise OSError(error.errno, f"{self.folder}: in use by another process") from error
        self._lock = descriptor

    def close(self) -> None:
        """Wait for what is under way, end the thread, let others in."""
        self.executor.shutdown(wait=True)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class _DiskFile:
    def __init__(self, path: Path, files: DiskFiles) -> None:
        self._path, self._files = path, files
        self._descriptor: int | None = None  # opened on the disk's thread, never on the loop
        self._failed: OSError | None = None

    def write_sync(self, data: bytes, done: WriteCallback) -> None:
        future = self._files.loop.run_in_executor(self._files.executor, self._write, data)
        future.add_done_callback(lambda f: done(f.result()))

    def _write(self, data: bytes) -> OSError | None:
        if self._failed is None:
            try:
                descriptor = self._open()
                while data:
                    data = data[os.write(descriptor, data) :]
                os.fdatasync(descriptor)
            except OSError as error:
                self._failed = error
        return self._failed

    def _open(self) -> int:
        if self._descriptor is None:
            new = not self._path.exists()
            self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
            if new:
                self._files._sync_folder()
        return self._descriptor

    def close(self) -> None:
        self._files.executor.submit(self._close)

    def _close(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
        self._failed = self._failed or OSError(errno.EBADF, "closed")
