"""A ledger with its exporter, without sockets: what it writes comes back, what it wants sent is kept."""

from __future__ import annotations

from memory import MemoryFiles

from foxlift.ledger import Journal, read_records
from foxlift.ledger import export as ex
from foxlift.ledger.tariff import period_start

JAN = period_start("2026-01")


class Exporting:
    """One process of a director; `out` is what its exporter wants done."""

    def __init__(self, files: MemoryFiles, journal: Journal, most: int) -> None:
        self.files, self.journal = files, journal
        self.exporter = ex.Exporter(journal.standing, most)
        self.out: list[ex.Action] = []
        self.carry(self.exporter.begin(JAN))

    def lines(self, first: int, last: int) -> bytes:
        return ex.lines_of([(n, r) for n, r in read_records(self.files, first - 1) if n <= last])

    def carry(self, actions: list[ex.Action]) -> None:
        for action in actions:
            if isinstance(action, ex.Write):
                self.journal.write(action.record, lambda: self.tell(ex.Durable()))
            else:
                self.out.append(action)

    def tell(self, event: ex.Event) -> None:
        self.carry(self.exporter.handle(JAN, event))

    def due(self) -> None:
        last = self.journal.last_billed
        span = self.exporter.cut(last)
        if span is not None:
            self.carry(self.exporter.handle(JAN, ex.Due(last), ex.content_of(self.lines(*span))))
