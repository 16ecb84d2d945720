"""Scans of the ledger and of what a director keeps on disk; the disk itself is in memory."""

from __future__ import annotations

import sys
from itertools import islice
from pathlib import Path

from bench.scale.sampling import Sample, allocated_bytes, processor_ms
from bench.scale.scan import CONTROL, LEDGER_EXPORT, REGISTER_HOLDERS, Scan
from foxlift.consensus import Ballot, Record
from foxlift.ledger.account import Account
from foxlift.ledger.export import MAX_BATCH_RECORDS
from foxlift.ledger.journal import NAME, read_records
from foxlift.ledger.records import EMPTY_CHAIN, Alive, Opened, encode, link
from foxlift.recovery.register_store import RegisterStore
from foxlift.store import SegmentedLog

sys.path.insert(0, str(Path(__file__).parents[2] / "tests"))

from memory import MemoryFiles

NOW_MS = 1_790_000_000_000
SESSION_SIZES = (1_000, 3_000, 10_000, 30_000, 71_400)


def opened(number: int) -> Opened:
    """A session's first record, as long as in service."""
    return Opened(
        NOW_MS,
        NOW_MS,
        f"director-00001.19f05c3a2b1-{number:x}-0",
        f"7f2c5f3e-6a51-4a0e-9a25-{number:012x}",
        "tenant-a",
        "graded",
        1,
        True,
        NOW_MS + 3_600_000,
        f"{number:032x}",
        f"server-{number % 1000:05d}",
    )


def account_with_sessions(sessions: int) -> Account:
    """An account with so many open sessions."""
    account = Account()
    for number in range(sessions):
        account.apply(opened(number))
    return account


def _sign_of_life(sessions: int) -> Sample:
    account = account_with_sessions(sessions)
    alive = Alive(NOW_MS + 2_000)
    return processor_ms(lambda: account.apply(alive))


def _open_sessions(sessions: int) -> Sample:
    return allocated_bytes(lambda: account_with_sessions(sessions))


def log_of_records(records: int) -> MemoryFiles:
    """A ledger's log of one segment."""
    files = MemoryFiles()
    files.hold = True  # all records but the first in one group: what is timed is reading
    log = SegmentedLog(files, NAME, segment_bytes=1 << 30)
    chain = EMPTY_CHAIN
    for number in range(records):
        linked = link(chain, opened(number))
        chain = linked.chain
        log.append(encode(linked))
    files.release()
    files.release()
    return files


def _reading_a_batch(records: int) -> Sample:
    """The last batch of a segment; the exporter reads it twice: for the content's hash and for the bytes."""
    files = log_of_records(records)
    after = records - MAX_BATCH_RECORDS

    def read() -> None:
        if len(list(islice(read_records(files, after), MAX_BATCH_RECORDS))) != MAX_BATCH_RECORDS:
            raise RuntimeError("the log is shorter than it should be")

    return processor_ms(read, rounds=5)


def _rewritten_registers(registers: int) -> Sample:
    book = RegisterStore(MemoryFiles(), "director-00001", NOW_MS)
    for number in range(registers):
        key = f"t/7f2c5f3e-6a51-4a0e-9a25-{number:012x}"
        ballot = Ballot(1, "director-00001.1790000000000")
        set_up = f"director-00001.19f05c3a2b1-{number:x}-0"
        value = f'["director-00001",1790000000000,"server-00001","{set_up}",1790000000000,"b"]'
        book.records[key] = Record(key, NOW_MS + 3_600_000, ballot, ballot, value)
    return processor_ms(book._encode_all, rounds=5)


SCANS = (
    Scan("sign of life in the ledger", CONTROL, "ms", "sessions", SESSION_SIZES, _sign_of_life),
    Scan(
        "memory of open and charged sessions in the ledger",
        CONTROL,
        "bytes",
        "sessions",
        SESSION_SIZES,
        _open_sessions,
    ),
    Scan(
        "reading one batch of 1,000 records",
        LEDGER_EXPORT,
        "ms",
        "records in the segment",
        (2_000, 8_000, 32_000, 64_000),
        _reading_a_batch,
    ),
    Scan(
        "rewriting the registers' file",
        REGISTER_HOLDERS,
        "ms",
        "registers",
        (1_000, 3_000, 10_000, 30_000, 100_000),
        _rewritten_registers,
    ),
)
