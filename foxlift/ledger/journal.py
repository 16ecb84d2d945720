"""The ledger on its log: every record of the book is appended, and a restart takes all of them in again."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from foxlift.ledger.account import Account
from foxlift.ledger.book import Book, Event
from foxlift.ledger.export import Standing
from foxlift.ledger.records import (
    Acknowledged,
    Batched,
    Fenced,
    Linked,
    Record,
    decode,
    encode,
    find_break,
)
from foxlift.ledger.tariff import Tariff
from foxlift.store import FilePort, LogError, SegmentedLog, read_log

NAME = "ledger"


def read_records(files: FilePort, after: int = 0) -> Iterator[tuple[int, Linked]]:
    """Every record with its number, without opening the log for writing. Raises LogError."""
    for entry in read_log(files, NAME, after):
        yield entry.sequence, decode(entry.payload, entry.sequence)


def read_account(files: FilePort, tariff: Tariff | None = None) -> Account:
    """The account as the log shows it; for tools beside a running director. Raises LogError."""
    account = Account(boundaries=tariff)
    for _, linked in read_records(files):
        account.apply(linked.record)
    return account


def verify(files: FilePort) -> int:
    """How many records there are. Raises LogError at the first that does not follow from those before."""
    linked = [found for _, found in read_records(files)]
    broken = find_break(linked)
    if broken is not None:
        raise LogError(f"ledger: record {broken} does not follow from those before it: changed or taken out")
    return len(linked)


class Journal:
    """The book and its log. A record is in force at once and lasts with the next group."""

    def __init__(
        self,
        files: FilePort,
        tariff: Tariff | None = None,
        grace_ms: int = 3_600_000,
        segment_bytes: int = 64 << 20,
        on_failed: Callable[[OSError], None] = lambda error: None,
    ) -> None:
        """Takes the log in and closes what an earlier run left open. Raises OSError and LogError."""
        self.book = Book(tariff, grace_ms)
        self._on_failed, self._told = on_failed, False
        self.standing = Standing()
        self.last_billed = 0  # the last record that is not of an export itself
        self.log = SegmentedLog(files, NAME, segment_bytes)
        for number, linked in read_records(files):
            chain = self.book.replay(linked.record)
            self.standing.apply(linked.record)
            if not isinstance(linked.record, Batched | Acknowledged | Fenced):
                self.last_billed = number
            if chain != linked.chain:
                raise LogError(f"ledger: record {number} does not follow from those before it")
        self._append(self.book.recover())

    def write(self, record: Record, done: Callable[[], None]) -> None:
        """Append a record of the exports; `done` once it lasts, never where it may not."""
        linked = self.book.write(record)
        self.log.append(encode(linked), lambda error: done() if error is None else self._on_failed(error))

    def handle(self, now_ms: int, event: Event) -> int:
        """Write down what an event means; gives back how many records. Raises LedgerError."""
        return self._append(self.book.handle(now_ms, event))

    def _append(self, records: list[Linked]) -> int:
        for linked in records:
            self.last_billed = self.log.append(encode(linked), self._appended)
        return len(records)

    def _appended(self, error: OSError | None) -> None:
        if error is not None and not self._told:
            self._told = True  # once: every later record of this process fails with it
            self._on_failed(error)

    def close(self) -> None:
        """Let go of the log."""
        self.log.close()
