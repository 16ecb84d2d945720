"""Usage and charges from records: by period, tenant, class, rung and tariff version. No I/O, no clock.

An interval of play is split where a period or a tariff version ends. Usage of a period that is closed by then
is booked in the next open one: a closed period never changes. An attempt is charged once for each token,
whatever the session numbers; its first record counts.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise

from msgspec import UNSET

from foxlift.ledger.records import (
    Adjusted,
    Alive,
    Charged,
    Closed,
    Counted,
    Forgot,
    Opened,
    PeriodTurned,
    Record,
    Turned,
)
from foxlift.ledger.tariff import HOUR_MS, Tariff, next_period, period_of, period_start


@dataclass(frozen=True, slots=True, order=True)
class Line:
    """Key of a total. `of`: the period of the usage, if that was closed and it is booked in a later one."""

    period: str
    tenant: str
    klass: str
    rung: int
    version: int
    of: str = ""


@dataclass(slots=True)
class Use:
    """Totals of a line."""

    attempts: int = 0
    attempts_estimated: int = 0
    ms: int = 0
    ms_estimated: int = 0


@dataclass(slots=True)
class Open:
    """A playing session."""

    token: str
    tenant: str
    klass: str
    rung: int
    since: int
    known: int
    began: int = 0
    viewer: str = ""


@dataclass(frozen=True, slots=True, order=True)
class Play:
    """A whole session, for merging. `viewer`: its pseudonym, "" if unknown."""

    viewer: str
    begin: int
    end: int
    session: str
    tenant: str
    estimated: bool


@dataclass
class Account:
    """State of the ledger after the records so far."""

    lines: dict[Line, Use] = field(default_factory=lambda: defaultdict(Use))
    counts: dict[tuple[str, str, str, str], int] = field(default_factory=lambda: defaultdict(int))
    open: dict[str, Open] = field(default_factory=dict)
    charged: dict[str, int] = field(default_factory=dict)  # by token: when it expires for set-ups
    forgot: int = 0  # tokens that expired by then are no longer in `charged`
    states: dict[str, str] = field(default_factory=dict)
    adjusted: dict[str, Adjusted] = field(default_factory=dict)
    voided: set[str] = field(default_factory=set)
    boundaries: Tariff | None = None
    last_at: int = 0
    # for merges of many instances: gets the attempts, which are then not kept in a table
    on_charge: Callable[[int, str, str, str, bool], None] | None = None
    on_play: Callable[[Play], None] | None = None

    def state(self, period: str) -> str:
        """`open`, `closing` or `closed`."""
        return self.states.get(period, "open")

    def booked(self, period: str) -> str:
        """The period in which usage of `period` is booked: itself, or the first later one not closed."""
        while self.state(period) == "closed":
            period = next_period(period)
        return period

    def apply(self, record: Record) -> None:
        """Apply one record. Inconsistent records are ignored, since a log is never edited."""
        self.last_at = max(self.last_at, record.at)
        match record:
            case Opened(_, at, session, token, tenant, klass, rung, paid, until, viewer):
                if paid:
                    self._charge(at, token, tenant, klass, False, 0 if until is UNSET else until)
                if session not in self.open:
                    who = "" if viewer is UNSET else viewer
                    self.open[session] = Open(token, tenant, klass, rung, at, at, at, who)
            case Turned(_, at, session, rung):
                self._cut(session, at, estimated=False)
                if session in self.open:
                    self.open[session].rung = rung
            case Closed(_, at, session, estimated):
                self._cut(session, at, estimated)
                found = self.open.pop(session, None)
                if found is not None and self.on_play is not None:
                    end = max(at, found.began)
                    self.on_play(Play(found.viewer, found.began, end, session, found.tenant, estimated))
            case Alive(at):
                for playing in self.open.values():
                    playing.known = max(playing.known, at)
            case Charged(_, at, _, token, tenant, klass, estimated, until):
                self._charge(at, token, tenant, klass, estimated, 0 if until is UNSET else until)
            case Forgot(_, upto):
                self.forgot = max(self.forgot, upto)
                # a token of unknown expiry (0) is kept forever
                self.charged = {token: end for token, end in self.charged.items() if not 0 < end <= upto}
            case Counted(at, tenant, klass, what):
                self.counts[self.booked(period_of(at)), tenant, klass, what] += 1
            case PeriodTurned(_, period, state):
                if state == "closed":
                    # sessions that play past its end are booked up to there while the period is open
                    for session in sorted(self.open):
                        self._cut(session, period_start(next_period(period)), estimated=False)
                self.states[period] = state
            case Adjusted():
                self.adjusted[record.entry] = record
                if record.void:
                    self.voided.add(record.corrects_entry)
            case _:
                pass  # exports change no charges

    def _charge(self, at: int, token: str, tenant: str, klass: str, estimated: bool, until: int) -> None:
        if self.on_charge is not None:
            self.on_charge(at, token, tenant, klass, estimated)
            return
        if token in self.charged:
            return
        self.charged[token] = until
        use = self.lines[self._line(at, tenant, klass, -1)]
        use.attempts += 1
        use.attempts_estimated += estimated

    def _line(self, at: int, tenant: str, klass: str, rung: int) -> Line:
        used = period_of(at)
        booked = self.booked(used)
        version = self.boundaries.version(at) if self.boundaries is not None else 0
        return Line(booked, tenant, klass, rung, version, "" if booked == used else used)

    def _cut(self, session: str, at: int, estimated: bool) -> None:
        """Book play up to a time; nothing if the clock has stepped back."""
        found = self.open.get(session)
        if found is None or at <= found.since:
            return
        cuts = [found.since, at]
        period = next_period(period_of(found.since))
        while (start := period_start(period)) < at:
            cuts.append(start)
            period = next_period(period)
        if self.boundaries is not None:
            cuts += self.boundaries.boundaries(found.since, at)
        ordered = sorted(set(cuts))
        for begin, end in pairwise(ordered):
            use = self.lines[self._line(begin, found.tenant, found.klass, found.rung)]
            use.ms += end - begin
            use.ms_estimated += (end - begin) if estimated else 0
        found.since = found.known = at

    def recover(self) -> list[Closed]:
        """Records that close the sessions left open by a dead director, when last known to play."""
        return [
            Closed(self.last_at, found.known, session, True) for session, found in sorted(self.open.items())
        ]


@dataclass(frozen=True, slots=True)
class Owed:
    """One line of a statement."""

    tenant: str
    klass: str
    what: str
    amount: int
    unit: str
    micros: int
    estimated: int = 0


def owed(account: Account, tariff: Tariff, tenant: str, period: str) -> list[Owed]:
    """A statement's lines in a fixed order. Hours are charged on a line's total, rounded down once."""
    found: list[Owed] = []
    for line in sorted(line for line in account.lines if (line.tenant, line.period) == (tenant, period)):
        use = account.lines[line]
        late = f", used in {line.of}" if line.of else ""
        if line.rung < 0:
            micros = use.attempts * tariff.attempt(line.version, line.klass)
            what = f"attempts{late}"
            found.append(
                Owed(tenant, line.klass, what, use.attempts, "attempts", micros, use.attempts_estimated)
            )
        else:
            micros = use.ms * tariff.hour(line.version, line.klass, line.rung) // HOUR_MS
            what = f"play at rung {line.rung}{late}"
            found.append(Owed(tenant, line.klass, what, use.ms, "ms", micros, use.ms_estimated))
    for entry in sorted(account.adjusted.values(), key=lambda a: (a.at, a.entry)):
        if (entry.tenant, entry.period) == (tenant, period):
            target = entry.corrects_entry or entry.corrects_period
            what = f"{'void of' if entry.void else 'correction of'} {target}: {entry.why} ({entry.by})"
            found.append(Owed(tenant, entry.klass, what, entry.attempts or entry.ms, "", entry.micros))
    for (booked, who, klass, what), count in sorted(account.counts.items()):
        if (who, booked) == (tenant, period):
            found.append(Owed(tenant, klass, what, count, "requests", 0))
    return found
