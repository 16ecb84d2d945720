"""Carries the ledger's batches to a folder or an HTTP receiver; the exporter decides what is sent next."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol
from urllib.parse import urlsplit

import msgspec
import structlog

from foxlift.director.timeline import Timeline
from foxlift.http import Failure, Pool, PoolLimits, Response
from foxlift.ledger import Journal, read_records
from foxlift.ledger import export as ex
from foxlift.ledger.records import Linked
from foxlift.store import DiskFiles, FilePort

Done = Callable[[ex.Event], None]


class Target(Protocol):
    """Where batches go."""

    def deliver(self, batch: ex.Deliver, data: bytes, done: Done) -> None:
        """Deliver once; `done` is told Accepted, Lost or FencedOff, once."""

    def close(self) -> None:
        """Let go of it."""


class FileDrop:
    """A folder: each batch a file of its own, there whole or not at all (write, sync, rename)."""

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: Path, ledger: str) -> None:
        self._loop, self._folder, self._ledger = loop, folder, ledger
        self._files: DiskFiles | None = None
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="foxlift-export")

    def deliver(self, batch: ex.Deliver, data: bytes, done: Done) -> None:
        """See `Target.deliver`."""
        future = self._loop.run_in_executor(self._executor, self._write, batch, data)
        future.add_done_callback(lambda f: done(f.result()))

    def _write(self, batch: ex.Deliver, data: bytes) -> ex.Event:
        name, fence = f"{self._ledger}-{batch.batch:09d}.jsonl", f"{self._ledger}.exporter"
        try:
            files = self._files = self._files or DiskFiles(self._folder, self._loop)
            seen = int(files.read(fence) or b"0")
            if seen > batch.exporter:
                return ex.FencedOff()
            if seen < batch.exporter:
                files.replace(fence, str(batch.exporter).encode())
            kept = files.read(name)
            if kept is None:
                files.replace(name, data)
                kept = data
            return ex.Accepted(batch.batch, ex.content_of(kept))
        except (OSError, ValueError):
            return ex.Lost()

    def close(self) -> None:
        """See `Target.close`."""
        self._executor.shutdown(wait=False)


class _Received(msgspec.Struct):
    batch: int
    content: str


class HttpReceiver:
    """`PUT {url}/{ledger}/{batch}`, answered with batch and content hash; 409 for an old exporter."""

    def __init__(self, loop: asyncio.AbstractEventLoop, url: str, ledger: str) -> None:
        address = urlsplit(url)
        self._path, self._ledger = address.path.rstrip("/"), ledger
        self._pool = Pool(
            loop, address.hostname or "127.0.0.1", address.port or 80, PoolLimits(connect_ms=2000.0)
        )

    def deliver(self, batch: ex.Deliver, data: bytes, done: Done) -> None:
        """See `Target.deliver`."""
        self._pool.call(
            "PUT",
            f"{self._path}/{self._ledger}/{batch.batch}",
            lambda found: done(self._event(found)),
            headers=(
                ("content-type", "application/jsonl"),
                ("idempotency-key", f"{self._ledger}-{batch.batch}"),
                ("foxlift-exporter", str(batch.exporter)),
                ("foxlift-content", batch.content),
            ),
            body=data,
            timeout_ms=10_000.0,
        )

    def _event(self, found: Response | Failure) -> ex.Event:
        if isinstance(found, Failure):
            return ex.Lost()
        if found.status == 409:
            return ex.FencedOff()
        try:
            received = msgspec.json.decode(found.body, type=_Received)
        except msgspec.MsgspecError:
            return ex.Lost()
        return ex.Accepted(received.batch, received.content) if found.status in (200, 201) else ex.Lost()

    def close(self) -> None:
        """See `Target.close`."""
        self._pool.close()


class ExportRunner:
    """Joins exporter, journal and target."""

    def __init__(
        self, journal: Journal, files: FilePort, target: Target, timeline: Timeline, every_ms: float
    ) -> None:
        self._journal, self._files, self._target = journal, files, target
        self._timeline, self._every_ms = timeline, every_ms
        self.exporter = ex.Exporter(journal.standing)
        self.closed = False
        self._log = structlog.get_logger()

    def begin(self) -> None:
        """Start; from now on it goes by itself."""
        self._carry_out(self.exporter.begin(self._now()))
        self._tick()

    def _now(self) -> int:
        return int(self._timeline.now())

    def _tick(self) -> None:
        if self.closed or self.exporter.stopped:
            return
        self.look()
        self._timeline.later(self._every_ms, self._tick)

    def look(self) -> None:
        """Cut a batch now, if there is something that lasts and was not exported."""
        last = min(self._journal.last_billed, self._journal.log.durable)
        span = self.exporter.cut(last)
        if span is not None:
            content = ex.content_of(self._lines(*span))
            self._carry_out(self.exporter.handle(self._now(), ex.Due(last), content))

    @property
    def drained(self) -> bool:
        """Whether everything that lasts has been accepted."""
        return self._journal.standing.last >= self._journal.last_billed

    def _lines(self, first: int, last: int) -> bytes:
        found: list[tuple[int, Linked]] = []
        for number, linked in read_records(self._files, first - 1):
            if number > last:
                break
            found.append((number, linked))
        return ex.lines_of(found)

    def _tell(self, event: ex.Event) -> None:
        if not self.closed:
            self._carry_out(self.exporter.handle(self._now(), event))

    def _carry_out(self, actions: list[ex.Action]) -> None:
        for action in actions:
            match action:
                case ex.Write(record):
                    self._journal.write(record, lambda: self._tell(ex.Durable()))
                case ex.Deliver():
                    self._target.deliver(action, self._lines(action.first, action.last), self._tell)
                case ex.RetryLater(delay_ms):
                    self._timeline.later(delay_ms, lambda: self._tell(ex.RetryDue()))
                case ex.Stop(why):
                    self._log.error("exports stopped", detail=why)

    def close(self) -> None:
        """Stop where it is; what was cut is sent again by the next exporter."""
        self.closed = True
        self._target.close()
