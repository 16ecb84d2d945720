"""The ledger's log: each record of the book is appended, and a restart replays them.

Every `snapshot_every` records a snapshot of the book is written as well, once the log is durable up to there,
so that a start replays only later records. A snapshot that does not match the log is ignored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from foxlift.ledger.account import Account
from foxlift.ledger.book import Book, Event, Started
from foxlift.ledger.export import Standing
from foxlift.ledger.records import (
    Acknowledged,
    Batched,
    Closed,
    Fenced,
    Linked,
    Record,
    decode,
    encode,
    find_break,
)
from foxlift.ledger.snapshot import Snapshot, encode_snapshot, read_snapshot
from foxlift.ledger.tariff import Tariff
from foxlift.store import FilePort, LogError, SegmentedLog, read_log

NAME = "ledger"
SNAPSHOT = "ledger.snapshot"
SEGMENT_BYTES = 16 << 20  # a start reads at least the last one
SNAPSHOT_EVERY = 50_000


def read_records(files: FilePort, after: int = 0) -> Iterator[tuple[int, Linked]]:
    """All records with their numbers; the log is opened for reading only. Raises LogError."""
    for entry in read_log(files, NAME, after):
        yield entry.sequence, decode(entry.payload, entry.sequence)


def read_account(files: FilePort, tariff: Tariff | None = None) -> Account:
    """The account replayed from the log, for tools beside a running director. Raises LogError."""
    account = Account(boundaries=tariff)
    for _, linked in read_records(files):
        account.apply(linked.record)
    return account


def verify(files: FilePort) -> int:
    """Check the hash chain; returns the number of records. Raises LogError at the first break."""
    count = 0

    def counted() -> Iterator[Linked]:
        nonlocal count
        for _, linked in read_records(files):
            count += 1
            yield linked

    broken = find_break(counted())
    if broken is not None:
        raise LogError(f"ledger: record {broken} does not follow from those before it: changed or taken out")
    return count


class Journal:
    """The book and its log. A record counts at once and is durable with the next group commit."""

    def __init__(
        self,
        files: FilePort,
        tariff: Tariff | None = None,
        grace_ms: int = 3_600_000,
        segment_bytes: int = SEGMENT_BYTES,
        on_failed: Callable[[OSError], None] = lambda error: None,
        snapshot_every: int = SNAPSHOT_EVERY,
        keep_open: bool = False,
    ) -> None:
        """Replay the log and close sessions that an earlier run left open. Raises OSError and LogError.

        `keep_open`: these may still play; `close_left` closes those that have not been reported until then.
        """
        self.book = Book(tariff, grace_ms)
        self._on_failed, self._failure_reported = on_failed, False
        # by the records of the log; the exporter's own is `standing`
        self._logged = Standing()
        self.last_billed = 0  # number of the last record that is not an export's
        self._files, self._snapshot_every = files, snapshot_every
        self.snapshots = 0
        self._pending_snapshot: tuple[int, bytes] | None = None
        self.log = SegmentedLog(files, NAME, segment_bytes)
        snapshot = self._find_snapshot(tariff)
        self.read_from = 0  # number of the snapshot's last record; 0: the whole log was read
        if snapshot is not None:
            snapshot.fill(self.book)
            self._logged, self.last_billed = snapshot.standing(), snapshot.last_billed
            self.read_from = snapshot.number
        self._snapshot_at = self.read_from
        for number, linked in read_records(files, self.read_from):
            chain = self.book.replay(linked.record)
            self._logged.apply(linked.record)
            if not isinstance(linked.record, Batched | Acknowledged | Fenced):
                self.last_billed = number
            if chain != linked.chain:
                raise LogError(f"ledger: record {number} does not follow from those before it")
        self.standing = replace(self._logged)
        self._left: dict[str, int] = {}  # open at the end of the earlier run: when last known to play
        if keep_open:
            self._left = {session: found.known for session, found in self.book.account.open.items()}
        else:
            self._append(self.book.recover())

    def close_left(self) -> int:
        """Close, as estimated, sessions left open that were not reported since; returns their number."""
        left, self._left = self._left, {}
        account = self.book.account
        closed = [
            self.book.write(Closed(account.last_at, known, session, True))
            for session, known in sorted(left.items())
            if session in account.open
        ]
        return self._append(closed)

    def _find_snapshot(self, tariff: Tariff | None) -> Snapshot | None:
        """The snapshot, if the log has its record: a log restored from a backup may not."""
        data = self._files.read(SNAPSHOT)
        if data is None:
            return None
        try:
            found = read_snapshot(data, SNAPSHOT)
        except LogError:
            return None  # the log is read whole
        if found.number > self.log.last_sequence or not found.fits(tariff):
            return None
        for _, linked in read_records(self._files, found.number - 1):
            return found if linked.chain == found.chain else None
        return None

    def _take_due_snapshot(self) -> None:
        """Take a snapshot if it is due. It is written once the log is durable up to there."""
        if self.log.last_sequence - self._snapshot_at < self._snapshot_every:
            return
        number = self._snapshot_at = self.log.last_sequence
        self._pending_snapshot = (number, encode_snapshot(self.book, self._logged, number, self.last_billed))
        self._write_snapshot()

    def _write_snapshot(self) -> None:
        pending = self._pending_snapshot
        if pending is None or self.log.durable < pending[0]:
            return
        self._pending_snapshot = None
        self.snapshots += 1
        # without it, the next start reads more of the log
        self._files.replace_async(SNAPSHOT, pending[1], lambda error: None)

    def write(self, record: Record, done: Callable[[], None]) -> None:
        """Append a record of the exports. `done` is called once it is durable, never if writing failed."""
        linked = self.book.write(record)
        self._logged.apply(record)
        self.log.append(encode(linked), lambda error: done() if error is None else self._on_failed(error))

    def handle(self, now_ms: int, event: Event) -> int:
        """Append the records of an event; returns their number. Raises LedgerError."""
        if isinstance(event, Started):
            self._left.pop(event.session, None)  # it is still playing
        return self._append(self.book.handle(now_ms, event))

    def _append(self, records: list[Linked]) -> int:
        for linked in records:
            self.last_billed = self.log.append(encode(linked), self._appended)
        if records:
            self._take_due_snapshot()
        return len(records)

    def _appended(self, error: OSError | None) -> None:
        if error is None and self._pending_snapshot is not None:
            self._write_snapshot()
        if error is not None and not self._failure_reported:
            self._failure_reported = True  # reported once: all later records fail, too
            self._on_failed(error)

    def close(self) -> None:
        """Close the log."""
        self.log.close()
