"""Snapshots of the book after a record, so that a start reads only later records. No I/O.

A snapshot is used only if the log has the record that it names, with the same hash chain, and if the tariff's
versions begin at the same times as when it was taken. Otherwise the whole log is read. Statements, `verify`
and merging never use it.
"""

from __future__ import annotations

import msgspec

from foxlift.ledger.account import Account, Line, Open, Use
from foxlift.ledger.book import Book
from foxlift.ledger.export import Standing
from foxlift.ledger.records import Adjusted, Batched
from foxlift.ledger.tariff import Tariff
from foxlift.store import LogError, decode_checked_file, encode_checked_file

KIND, VERSION = b"FOXLLSNP", 1


class _Line(msgspec.Struct, array_like=True):
    period: str
    tenant: str
    klass: str
    rung: int
    version: int
    of: str
    attempts: int
    attempts_estimated: int
    ms: int
    ms_estimated: int


class _Open(msgspec.Struct, array_like=True):
    session: str
    token: str
    tenant: str
    klass: str
    rung: int
    since: int
    known: int
    began: int
    viewer: str


class _Form(msgspec.Struct):
    number: int
    chain: str
    cuts: tuple[int, ...]
    lines: list[_Line]
    counts: list[tuple[str, str, str, str, int]]
    open: list[_Open]
    charged: dict[str, int]
    forgot: int
    states: dict[str, str]
    adjusted: list[Adjusted]
    voided: list[str]
    last_at: int
    alive_at: int
    seen: str
    last_billed: int
    exporter: int
    batch: int
    exported: int
    pending: Batched | None


class Snapshot:
    """A decoded snapshot; `number` and `chain` name the last record that it includes."""

    def __init__(self, form: _Form) -> None:
        self._form = form
        self.number, self.chain, self.last_billed = form.number, form.chain, form.last_billed

    def fits(self, tariff: Tariff | None) -> bool:
        """Whether the tariff's versions begin at the same times as when the snapshot was taken."""
        return self._form.cuts == _cuts(tariff)

    def standing(self) -> Standing:
        """The state of the exports."""
        form = self._form
        return Standing(form.exporter, form.batch, form.exported, form.pending)

    def fill(self, book: Book) -> None:
        """Restore the state into a new book."""
        form, account = self._form, book.account
        for row in form.lines:
            line = Line(row.period, row.tenant, row.klass, row.rung, row.version, row.of)
            account.lines[line] = Use(row.attempts, row.attempts_estimated, row.ms, row.ms_estimated)
        for period, tenant, klass, what, count in form.counts:
            account.counts[period, tenant, klass, what] = count
        for o in form.open:
            account.open[o.session] = Open(
                o.token, o.tenant, o.klass, o.rung, o.since, o.known, o.began, o.viewer
            )
        account.charged, account.forgot = form.charged, form.forgot
        account.states, account.last_at = form.states, form.last_at
        account.adjusted = {entry.entry: entry for entry in form.adjusted}
        account.voided = set(form.voided)
        book.resume(form.chain, form.alive_at, form.seen)


def _cuts(tariff: Tariff | None) -> tuple[int, ...]:
    return () if tariff is None else (1, *tariff.boundaries(-1, 1 << 62))


def encode_snapshot(book: Book, standing: Standing, number: int, last_billed: int) -> bytes:
    """Encode a snapshot file with all records up to `number`."""
    account: Account = book.account
    form = _Form(
        number=number,
        chain=book.chain,
        cuts=_cuts(account.boundaries),
        lines=[
            _Line(
                line.period,
                line.tenant,
                line.klass,
                line.rung,
                line.version,
                line.of,
                use.attempts,
                use.attempts_estimated,
                use.ms,
                use.ms_estimated,
            )
            for line, use in account.lines.items()
        ],
        counts=[(*key, count) for key, count in account.counts.items()],
        open=[
            _Open(session, o.token, o.tenant, o.klass, o.rung, o.since, o.known, o.began, o.viewer)
            for session, o in account.open.items()
        ],
        charged=account.charged,
        forgot=account.forgot,
        states=account.states,
        adjusted=list(account.adjusted.values()),
        voided=sorted(account.voided),
        last_at=account.last_at,
        alive_at=book.alive_at,
        seen=book.seen,
        last_billed=last_billed,
        exporter=standing.exporter,
        batch=standing.batch,
        exported=standing.last,
        pending=standing.pending,
    )
    return encode_checked_file(KIND, VERSION, msgspec.msgpack.encode(form))


def read_snapshot(data: bytes, name: str) -> Snapshot:
    """Decode a snapshot file. Raises LogError."""
    try:
        return Snapshot(msgspec.msgpack.decode(decode_checked_file(KIND, VERSION, data, name), type=_Form))
    except msgspec.MsgspecError as error:
        raise LogError(f"{name}: {error}") from error
