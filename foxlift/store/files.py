"""The file port of the store, and its implementation on a real disk.

Durable writes take a callback, so that the event loop never waits for the disk. After a failed write or sync
a file accepts no more writes: after a failed fsync the kernel may have dropped dirty pages, and a second
fsync would then report them as safe.
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
    """An append-only file."""

    def write_sync(self, data: bytes, done: WriteCallback) -> None:
        """Append and sync; `done(None)` once the data is durable, `done(error)` if it may not be."""

    def close(self) -> None:
        """Close the file; writes that are under way still complete."""


class FilePort(Protocol):
    """The file operations that the store needs. All except `write_sync` and `replace_async` block: they are
    for start and stop."""

    def read(self, name: str) -> bytes | None:
        """The content of a file, None if it does not exist. Raises OSError."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: after a power loss either the old or the new content is there."""

    def replace_async(self, name: str, data: bytes, done: WriteCallback) -> None:
        """The same without blocking; `done` as with `write_sync`."""

    def open_append(self, name: str) -> SyncFile:
        """Open a file for appending; it may be created only by its first write."""

    def names(self) -> list[str]:
        """The names of all files."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def lock(self) -> None:
        """Lock the folder until this port is closed or its process ends. Raises OSError if it is locked."""


class DiskFiles:
    """Files of one folder on a real disk. Asynchronous writes run on one thread, in call order."""

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
        new_path = path.with_name(path.name + ".new")
        with open(new_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, path)
        self._sync_folder()

    def replace_async(self, name: str, data: bytes, done: WriteCallback) -> None:
        def write() -> OSError | None:
            try:
                self.replace(name, data)
            except OSError as error:
                return error
            return None

        future = self.loop.run_in_executor(self.executor, write)
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
        """Wait for writes that are under way, end the thread and release the lock."""
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
        self._descriptor: int | None = None  # opened on the disk thread, never on the event loop
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
            is_new = not self._path.exists()
            self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
            if is_new:
                self._files._sync_folder()
        return self._descriptor

    def close(self) -> None:
        self._files.executor.submit(self._close)

    def _close(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
        self._failed = self._failed or OSError(errno.EBADF, "closed")
