"""The ledger's decisions: the records of each event, and what is refused. No I/O, no clock.

`handle(now_ms, event)` returns the records to append, in order. A record counts once it is in the log; the
book applies it at once, so that the next decision includes it.

    period     TimePassed, in a later period  closing    late records are accepted for the grace period
    closing    TimePassed, grace over         closed     nothing in it changes any more
    open       Close, by the operator         closing, closed

Time in the ledger never steps back: a clock earlier than the last record counts as the time of that record.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import UNSET

from foxlift.ledger.account import Account
from foxlift.ledger.records import (
    EMPTY_CHAIN,
    Adjusted,
    Alive,
    Charged,
    Closed,
    Counted,
    Forgot,
    Linked,
    Opened,
    PeriodTurned,
    Record,
    Turned,
    link,
    viewer_mark,
)
from foxlift.ledger.tariff import Tariff, next_period, period_of, period_start

ALIVE_EVERY_MS = 2000  # upper bound of the error of estimates after a death
# how long a charged token is kept after its expiry: attempts under way then have ended, and a director that
# was down for less time still reports those of its earlier run
KEEP_TOKENS_MS = 3_600_000
FORGET_EVERY_MS = 600_000


class LedgerError(ValueError):
    """The ledger refuses an operation, for this reason."""


@dataclass(frozen=True, slots=True)
class Started:
    """A session's set-up is done and it plays. `when`, here and below: by its box's clock, Unix ms.

    `until`: when the token expires for set-ups, Unix ms; 0 if unknown.
    """

    when: int
    session: str
    token: str
    tenant: str
    klass: str
    rung: int
    paid: bool
    until: int = 0
    viewer: str = ""
    box: str = ""


@dataclass(frozen=True, slots=True)
class RungChanged:
    """The rung of a playing session has changed."""

    when: int
    session: str
    rung: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A session has ended. `estimated`: its end was not seen."""

    when: int
    session: str
    estimated: bool = False


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A request was refused or has failed."""

    tenant: str
    klass: str
    what: str


@dataclass(frozen=True, slots=True)
class AttemptRecovered:
    """A paid set-up of an earlier run has run, by a box or the log of intents. It is charged once."""

    when: int
    session: str
    token: str
    tenant: str
    klass: str
    estimated: bool
    until: int = 0


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class ForgetDue:
    """Expired tokens may be dropped. To be sent only after all `AttemptRecovered` events of earlier runs."""


@dataclass(frozen=True, slots=True)
class Close:
    """The operator closes a period now."""

    period: str


@dataclass(frozen=True, slots=True)
class Correct:
    """The operator corrects a period, or an entry of its own (a correction of a correction)."""

    entry: str
    tenant: str
    klass: str
    attempts: int
    ms: int
    micros: int
    by: str
    why: str
    period: str = ""
    corrects: str = ""


@dataclass(frozen=True, slots=True)
class Void:
    """The operator voids an adjusting entry."""

    entry: str
    corrects: str
    by: str
    why: str


Event = (
    Started
    | RungChanged
    | Ended
    | TurnedAway
    | AttemptRecovered
    | TimePassed
    | ForgetDue
    | Close
    | Correct
    | Void
)


class Book:
    """One director's ledger."""

    def __init__(self, tariff: Tariff | None = None, grace_ms: int = 3_600_000) -> None:
        self.account = Account(boundaries=tariff)
        self.chain = EMPTY_CHAIN
        self._grace_ms = grace_ms
        self.alive_at = 0
        self.seen: str = ""  # period of the latest record

    def resume(self, chain: str, alive_at: int, seen: str) -> None:
        """Continue after the record with this chain; the account was filled from a snapshot."""
        self.chain, self.alive_at, self.seen = chain, alive_at, seen

    def replay(self, record: Record) -> str:
        """Replay a record of the log; returns the chain that it must have."""
        return self.write(record).chain

    def recover(self) -> list[Linked]:
        """Close, as estimated, the sessions that an earlier run left open."""
        return [self.write(record) for record in self.account.recover()]

    def handle(self, now_ms: int, event: Event) -> list[Linked]:
        """The records of an event. Raises LedgerError for an operation that is refused.

        An operator's event is checked against the present state of the periods: send TimePassed before it.
        """
        now = max(now_ms, self.account.last_at)
        operators = isinstance(event, Close | Correct | Void)
        written = [] if operators else [self.write(record) for record in self._time(now)]
        return written + [self.write(record) for record in self._records(now, event)]

    def write(self, record: Record) -> Linked:
        """Append a record to the chain and apply it."""
        linked = link(self.chain, record)
        self.chain = linked.chain
        self.account.apply(record)
        self.seen = max(self.seen, period_of(record.at))
        return linked

    def _records(self, now: int, event: Event) -> list[Record]:
        account = self.account
        match event:
            case Started(when, session, token, tenant, klass, rung, paid):
                if session in account.open:
                    return []
                made = Opened(
                    now,
                    when,
                    session,
                    token,
                    tenant,
                    klass,
                    rung,
                    paid,
                    event.until or UNSET,
                    viewer_mark(event.viewer) if event.viewer else UNSET,
                    event.box or UNSET,
                )
                return [made]
            case RungChanged(when, session, rung):
                found = account.open.get(session)
                return [] if found is None or found.rung == rung else [Turned(now, when, session, rung)]
            case Ended(when, session, estimated):
                return [Closed(now, when, session, estimated)] if session in account.open else []
            case TurnedAway(tenant, klass, what):
                return [Counted(now, tenant, klass, what)]
            case AttemptRecovered(when, session, token, tenant, klass, estimated, until):
                # a token is dropped only after it was charged or known never to have run
                if token in account.charged or 0 < until <= account.forgot:
                    return []
                return [Charged(now, when, session, token, tenant, klass, estimated, until or UNSET)]
            case TimePassed():
                return []
            case ForgetDue():
                upto = now - KEEP_TOKENS_MS
                due = upto - account.forgot >= FORGET_EVERY_MS
                if due and any(0 < end <= upto for end in account.charged.values()):
                    return [Forgot(now, upto)]
                return []
            case Close(period):
                return self._close(now, period)
            case Correct():
                return [self._correct(now, event)]
            case Void():
                return [self._void(now, event)]

    # ---- Periods ------------------------------------------------------------------------------------------
    def _time(self, now: int) -> list[Record]:
        records: list[Record] = []
        if self.account.open and now - self.alive_at >= ALIVE_EVERY_MS:
            self.alive_at = now
            records.append(Alive(now))
        current = period_of(now)
        period = self.seen
        while period and period < current:
            ended = period_start(next_period(period))
            state = self.account.state(period)
            if state == "open":
                records.append(PeriodTurned(now, period, "closing"))
                state = "closing"
            if state == "closing" and now >= ended + self._grace_ms:
                records.append(PeriodTurned(now, period, "closed"))
            period = next_period(period)
        # periods that were closing when a later one began are older than `seen`
        records += [
            PeriodTurned(now, old, "closed")
            for old, state in sorted(self.account.states.items())
            if state == "closing"
            and old < (self.seen or current)
            and now >= period_start(next_period(old)) + self._grace_ms
        ]
        return records

    def _close(self, now: int, period: str) -> list[Record]:
        try:
            start = period_start(period)
        except ValueError:
            raise LedgerError(f"{period}: a period is a month, as in 2026-12") from None
        if self.account.state(period) == "closed":
            raise LedgerError(f"{period}: closed already")
        if now < start:
            raise LedgerError(f"{period}: has not begun")
        if period == period_of(now):
            raise LedgerError(f"{period}: is not over")
        return [PeriodTurned(now, period, "closing"), PeriodTurned(now, period, "closed")]

    # ---- Corrections --------------------------------------------------------------------------------------
    def _correct(self, now: int, event: Correct) -> Adjusted:
        account = self.account
        if event.entry in account.adjusted:
            raise LedgerError(f"{event.entry}: an entry of this name exists")
        if not event.by.strip() or not event.why.strip():
            raise LedgerError("a correction says by whom and why")
        period = event.period
        if event.corrects:
            if event.corrects not in account.adjusted:
                raise LedgerError(f"{event.corrects}: no such entry")
            if event.corrects in account.voided:
                raise LedgerError(f"{event.corrects}: is void")
            period = account.adjusted[event.corrects].corrects_period
        try:
            period_start(period)
        except ValueError:
            raise LedgerError(f"{period}: a period is a month, as in 2026-12") from None
        return Adjusted(
            at=now,
            entry=event.entry,
            period=account.booked(period_of(now)),
            corrects_period=period,
            corrects_entry=event.corrects,
            tenant=event.tenant,
            klass=event.klass,
            attempts=event.attempts,
            ms=event.ms,
            micros=event.micros,
            by=event.by,
            why=event.why,
        )

    def _void(self, now: int, event: Void) -> Adjusted:
        account = self.account
        found = account.adjusted.get(event.corrects)
        if found is None:
            raise LedgerError(f"{event.corrects}: no such entry")
        if event.corrects in account.voided:
            raise LedgerError(f"{event.corrects}: is void already")
        if found.void:
            raise LedgerError(f"{event.corrects}: is itself a void; make a correction instead")
        if event.entry in account.adjusted:
            raise LedgerError(f"{event.entry}: an entry of this name exists")
        return Adjusted(
            at=now,
            entry=event.entry,
            period=account.booked(period_of(now)),
            corrects_period=found.corrects_period,
            corrects_entry=event.corrects,
            tenant=found.tenant,
            klass=found.klass,
            attempts=-found.attempts,
            ms=-found.ms,
            micros=-found.micros,
            by=event.by,
            why=event.why,
            void=True,
        )
