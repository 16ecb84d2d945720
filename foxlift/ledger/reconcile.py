"""Merges the ledgers of several instances; an attempt that is in two of them is counted once.

The same attempt may be in two ledgers: its token came to two directors, or its director did not see its end.
One record is kept: a certain one before an estimated one, then the earlier one by its box's clock, then the
one of the instance whose name sorts first. The others are reported.

Also reported, and not changed: overlapping sessions of one viewer, and clocks that differ. A director records
its own time beside that of the box, so two directors that use the same boxes can be compared.

Memory is bounded: attempts and plays are sorted on disk in runs of `most` rows and merged; in memory are only
totals and the open sessions of one instance at a time.
"""

from __future__ import annotations

import heapq
import json
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import astuple, dataclass, field
from pathlib import Path
from statistics import median
from typing import Any, Generic, TypeVar

from msgspec import UNSET

from foxlift.ledger.account import Account, Play, Use
from foxlift.ledger.records import Opened, Record
from foxlift.ledger.tariff import period_of

MAX_LISTED_FINDINGS = 1000  # findings of each kind that are listed; all are counted
MIN_REPORTED_DIFFERENCE_MS = 2000


@dataclass(frozen=True, slots=True, order=True)
class _Attempt:
    """Of one token, the record that is kept sorts first."""

    token: str
    estimated: bool
    when: int
    instance: str
    tenant: str
    klass: str


@dataclass(frozen=True, slots=True, order=True)
class _Played:
    """Plays of one viewer sort by their beginning."""

    viewer: str
    begin: int
    end: int
    session: str
    tenant: str
    estimated: bool
    instance: str


@dataclass(frozen=True, slots=True)
class Duplicate:
    """An attempt that two instances recorded; `stands` is the instance whose record is kept."""

    token: str
    stands: str
    dropped: str


@dataclass(frozen=True, slots=True)
class Overlap:
    """Overlapping sessions of one viewer, for `ms`; `estimated`: an end was not seen."""

    viewer: str
    first: str
    second: str
    ms: int
    estimated: bool


@dataclass(frozen=True, slots=True)
class ClockApart:
    """A director or box whose clock differs from the median by `ms` (above 0: ahead)."""

    of: str
    ms: int


@dataclass(frozen=True, slots=True)
class Gap:
    """Records of an instance that are missing, by number."""

    instance: str
    first: int
    last: int


@dataclass
class Reconciled:
    """Totals by period, tenant and class, and findings."""

    totals: dict[tuple[str, str, str], Use] = field(default_factory=lambda: defaultdict(Use))
    counts: dict[tuple[str, str, str, str], int] = field(default_factory=lambda: defaultdict(int))
    duplicates: list[Duplicate] = field(default_factory=list)
    duplicate_count: int = 0
    overlaps: list[Overlap] = field(default_factory=list)
    overlap_count: int = 0
    clocks: list[ClockApart] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    instances: list[str] = field(default_factory=list)
    repeated: int = 0
    still_open: int = 0
    records: int = 0

    @property
    def whole(self) -> bool:
        """Whether no record is missing."""
        return not self.gaps


Row = TypeVar("Row", _Attempt, _Played)


class _Sorter(Generic[Row]):
    """External merge sort: up to `most` rows in memory, the rest on disk in sorted runs."""

    def __init__(self, folder: Path, name: str, most: int, make: Callable[..., Row]) -> None:
        self._folder, self._name, self._most = folder, name, most
        self._make: Callable[..., Row] = make
        self.held: list[Row] = []
        self._runs: list[Path] = []

    def add(self, row: Row) -> None:
        self.held.append(row)
        if len(self.held) >= self._most:
            path = self._folder / f"{self._name}-{len(self._runs):06d}.jsonl"
            with open(path, "w", encoding="utf-8") as file:
                for found in sorted(self.held):
                    file.write(json.dumps(astuple(found)) + "\n")
            self._runs.append(path)
            self.held = []

    def _run(self, path: Path) -> Iterator[Row]:
        with open(path, encoding="utf-8") as file:
            for line in file:
                yield self._make(*json.loads(line))

    def merged(self) -> Iterator[Row]:
        """All rows in order; the runs are deleted after the last one."""
        yield from heapq.merge(sorted(self.held), *(self._run(path) for path in self._runs))
        for path in self._runs:
            path.unlink()


class Reconciler:
    """Merges instances, added one after another, each in the order of its records; runs go to `folder`."""

    def __init__(self, folder: Path, most: int = 200_000) -> None:
        self._attempts: _Sorter[_Attempt] = _Sorter(folder, "attempts", most, _Attempt)
        self._plays: _Sorter[_Played] = _Sorter(folder, "plays", most, _Played)
        # by director and box: the least difference of their clocks, ms
        self._offsets: dict[tuple[str, str], int] = {}
        self.result = Reconciled()

    @property
    def held(self) -> int:
        """Rows in memory."""
        return len(self._attempts.held) + len(self._plays.held)

    def add(self, instance: str, records: Iterable[tuple[int, Record]], first: int = 1) -> None:
        """Add an instance's records with their numbers; repeated ones are ignored, gaps are reported.

        Raises ValueError for an instance that was added before: its play would count twice.
        """
        if instance in self.result.instances:
            raise ValueError(f"{instance}: given twice")
        self.result.instances.append(instance)

        def charge(when: int, token: str, tenant: str, klass: str, estimated: bool) -> None:
            self._attempts.add(_Attempt(token, estimated, when, instance, tenant, klass))

        def play(p: Play) -> None:
            if p.viewer and p.end > p.begin:
                row = _Played(p.viewer, p.begin, p.end, p.session, p.tenant, p.estimated, instance)
                self._plays.add(row)

        account = Account(on_charge=charge, on_play=play)
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
            if isinstance(record, Opened) and record.box is not UNSET:
                pair, apart = (instance, record.box), record.at - record.when
                self._offsets[pair] = min(self._offsets.get(pair, apart), apart)
        for line, use in account.lines.items():
            total = self.result.totals[line.of or line.period, line.tenant, line.klass]
            total.ms += use.ms
            total.ms_estimated += use.ms_estimated
        for key, count in account.counts.items():
            self.result.counts[key] += count
        self.result.still_open += len(account.open)

    def finish(self) -> Reconciled:
        """Merge all instances; each token counts once."""
        self._merge_attempts()
        self._find_overlaps()
        self.result.clocks = _differing_clocks(self._offsets)
        return self.result

    def _merge_attempts(self) -> None:
        stands: _Attempt | None = None
        for attempt in self._attempts.merged():
            if stands is not None and attempt.token == stands.token:
                if attempt.instance != stands.instance:
                    self.result.duplicate_count += 1
                    if len(self.result.duplicates) < MAX_LISTED_FINDINGS:
                        found = Duplicate(attempt.token, stands.instance, attempt.instance)
                        self.result.duplicates.append(found)
                continue
            stands = attempt
            total = self.result.totals[period_of(attempt.when), attempt.tenant, attempt.klass]
            total.attempts += 1
            total.attempts_estimated += attempt.estimated

    def _find_overlaps(self) -> None:
        """Compare each play with the one that ends last so far: it may overlap many shorter ones."""
        reach: _Played | None = None
        for play in self._plays.merged():
            if reach is None or reach.viewer != play.viewer:
                reach = play
                continue
            ms = min(reach.end, play.end) - play.begin
            if ms > 0:
                self.result.overlap_count += 1
                if len(self.result.overlaps) < MAX_LISTED_FINDINGS:
                    estimated = reach.estimated or play.estimated
                    overlap = Overlap(play.viewer, reach.session, play.session, ms, estimated)
                    self.result.overlaps.append(overlap)
            if play.end > reach.end:
                reach = play


def _differing_clocks(offsets: dict[tuple[str, str], int]) -> list[ClockApart]:
    """Clocks that differ from the median, of directors first and then of boxes.

    A record is written after the box's answer has arrived, so the least difference is that of the clocks plus
    a network delay. With two directors it is unknown which clock is wrong: both are reported.
    """
    by_box: dict[str, dict[str, int]] = defaultdict(dict)
    for (director, box), ms in offsets.items():
        by_box[box][director] = ms
    against: dict[str, list[float]] = defaultdict(list)
    for seen in by_box.values():
        if len(seen) > 1:
            middle = median(seen.values())
            for director, ms in seen.items():
                against[director].append(ms - middle)
    found: list[ClockApart] = []
    own = {director: round(median(differences)) for director, differences in against.items()}
    found += [
        ClockApart(name, ms) for name, ms in sorted(own.items()) if abs(ms) >= MIN_REPORTED_DIFFERENCE_MS
    ]
    boxes: dict[str, float] = {
        box: median(own.get(director, 0) - ms for director, ms in seen.items())
        for box, seen in by_box.items()
    }
    if len(boxes) > 2:
        middle = median(boxes.values())
        apart = {box: round(ms - middle) for box, ms in boxes.items()}
        found += [
            ClockApart(box, ms) for box, ms in sorted(apart.items()) if abs(ms) >= MIN_REPORTED_DIFFERENCE_MS
        ]
    return found


def as_json(result: Reconciled) -> dict[str, Any]:
    """The result as JSON values, in a fixed order."""
    return {
        "totals": [
            {
                "period": period,
                "tenant": tenant,
                "class": klass,
                "attempts": use.attempts,
                "attempts_estimated": use.attempts_estimated,
                "ms": use.ms,
                "ms_estimated": use.ms_estimated,
            }
            for (period, tenant, klass), use in sorted(result.totals.items())
        ],
        "instances": sorted(result.instances),
        "records": result.records,
        "still_open": result.still_open,
        "duplicates": [[d.token, d.stands, d.dropped] for d in result.duplicates],
        "duplicate_count": result.duplicate_count,
        "overlaps": [[o.viewer, o.first, o.second, o.ms, o.estimated] for o in result.overlaps],
        "overlap_count": result.overlap_count,
        "clocks": [[c.of, c.ms] for c in result.clocks],
        "gaps": [[g.instance, g.first, g.last] for g in result.gaps],
    }
