"""Merges what several instances wrote down: directors do not talk to one another, so this is where they meet.

The same attempt may stand in two ledgers: a token that came to two directors, or one that its director could
not see the end of. One record of it stands, by this rule: a certain one before an estimated one, then the
earlier by its box's clock, then the instance whose name sorts first. The others are named.

Memory is bounded: attempts are sorted on disk in runs of `most` and merged; of play only totals and the
sessions open at once are held, an instance at a time.
"""

from __future__ import annotations

import heapq
import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from foxlift.ledger.account import Account, Use
from foxlift.ledger.records import Record
from foxlift.ledger.tariff import period_of

NAMED = 1000  # duplicates and gaps that are named one by one; all are counted


@dataclass(frozen=True, slots=True, order=True)
class _Attempt:
    """Sorts so that, of one token, the record that stands comes first."""

    token: str
    estimated: bool
    when: int
    instance: str
    tenant: str
    klass: str


@dataclass(frozen=True, slots=True)
class Duplicate:
    """An attempt that two instances wrote down; `stands` is the instance whose record counts."""

    token: str
    stands: str
    dropped: str


@dataclass(frozen=True, slots=True)
class Gap:
    """Records of an instance that are missing, by number."""

    instance: str
    first: int
    last: int


@dataclass
class Reconciled:
    """Totals by period, tenant and class, and what did not fit together."""

    totals: dict[tuple[str, str, str], Use] = field(default_factory=lambda: defaultdict(Use))
    counts: dict[tuple[str, str, str, str], int] = field(default_factory=lambda: defaultdict(int))
    duplicates: list[Duplicate] = field(default_factory=list)
    duplicate_count: int = 0
    gaps: list[Gap] = field(default_factory=list)
    repeated: int = 0
    still_open: int = 0
    records: int = 0

    @property
    def whole(self) -> bool:
        """Whether no record is missing."""
        return not self.gaps


class Reconciler:
    """Takes instances one after another, each in the order of its records; runs go to `folder`."""

    def __init__(self, folder: Path, most: int = 200_000) -> None:
        self._folder, self._most = folder, most
        self._held: list[_Attempt] = []
        self._runs: list[Path] = []
        self.result = Reconciled()

    def add(self, instance: str, records: Iterable[tuple[int, Record]], first: int = 1) -> None:
        """Take in an instance's records with their numbers; repeats are passed over, gaps are named."""

        def charge(when: int, token: str, tenant: str, klass: str, estimated: bool) -> None:
            self._held.append(_Attempt(token, estimated, when, instance, tenant, klass))
            if len(self._held) >= self._most:
                self._spill()

        account = Account(on_charge=charge)
        expected = first
        for number, record in records:
            if number < expected:
                self.result.repeated += 1
                continue
            if number > expected:
                self.result.gaps.append(Gap(instance, expected, number - 1))
            expected = number + 1
            self.result.records += 1
            account.apply(record)
        for line, use in account.lines.items():
            total = self.result.totals[line.of or line.period, line.tenant, line.klass]
            total.ms += use.ms
            total.ms_estimated += use.ms_estimated
        for key, count in account.counts.items():
            self.result.counts[key] += count
        self.result.still_open += len(account.open)

    def _spill(self) -> None:
        path = self._folder / f"run-{len(self._runs):06d}.jsonl"
        with open(path, "w", encoding="utf-8") as file:
            for a in sorted(self._held):
                row = [a.token, a.estimated, a.when, a.instance, a.tenant, a.klass]
                file.write(json.dumps(row) + "\n")
        self._runs.append(path)
        self._held = []

    def _run(self, path: Path) -> Iterator[_Attempt]:
        with open(path, encoding="utf-8") as file:
            for line in file:
                yield _Attempt(*json.loads(line))

    def finish(self) -> Reconciled:
        """Merge the attempts; each token counts once."""
        merged = heapq.merge(sorted(self._held), *(self._run(path) for path in self._runs))
        stands: _Attempt | None = None
        for attempt in merged:
            if stands is not None and attempt.token == stands.token:
                if attempt.instance != stands.instance:
                    self.result.duplicate_count += 1
                    if len(self.result.duplicates) < NAMED:
                        found = Duplicate(attempt.token, stands.instance, attempt.instance)
                        self.result.duplicates.append(found)
                continue
            stands = attempt
            total = self.result.totals[period_of(attempt.when), attempt.tenant, attempt.klass]
            total.attempts += 1
            total.attempts_estimated += attempt.estimated
        for path in self._runs:
            path.unlink()
        return self.result
