"""Exports: each record reaches a receiver exactly once, in numbered batches, through failures and retries.

    state      event                      next       what is done
    IDLE       Due, records not exported  CUTTING    record the range of the next batch and its hash
    CUTTING    Durable                    SENDING    deliver the batch
    SENDING    Accepted, same hash        IDLE       record the acknowledgement
    SENDING    Accepted, other hash       STOPPED    the receiver has another batch of this number
    SENDING    Lost                       WAITING    deliver the same batch again after a wait that doubles
    WAITING    RetryDue                   SENDING    deliver it again: the same bytes under the same number
    any        FencedOff                  STOPPED    a later exporter has begun

The content of a batch is recorded before it is sent, so that a retry after a crash sends the same bytes
under the same number, and a receiver recognizes a repetition by the number alone. Each exporter begins by
recording a number of its own, higher than any before it; receivers refuse exporters with lower numbers than
they have seen.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

import msgspec

from foxlift.ledger.records import Acknowledged, Batched, Fenced, Linked, Record

MAX_BATCH_RECORDS = 1000  # records in a batch
RETRY_MS = 500.0
MAX_RETRY_FACTOR = 64


class _State(Enum):
    IDLE = "idle"
    CUTTING = "cutting"
    SENDING = "sending"
    WAITING = "waiting"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Due:
    """Export up to `last`, the last durable record that is not an export's."""

    last: int


@dataclass(frozen=True, slots=True)
class Durable:
    """The record of the last `Write` is durable."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The receiver has a batch of this number, with this content."""

    batch: int
    content: str


@dataclass(frozen=True, slots=True)
class Lost:
    """No answer; the batch may have been received."""


@dataclass(frozen=True, slots=True)
class FencedOff:
    """The receiver has seen a later exporter."""


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The wait is over."""


@dataclass(frozen=True, slots=True)
class Write:
    """Append a record to the ledger and report Durable."""

    record: Record


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send these records as this batch."""

    exporter: int
    batch: int
    first: int
    last: int
    content: str


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Report RetryDue after so many milliseconds."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Stop:
    """Nothing more is exported, for this reason."""

    why: str


Event = Due | Durable | Accepted | Lost | FencedOff | RetryDue
Action = Write | Deliver | RetryLater | Stop


def content_of(lines: bytes) -> str:
    """Hash of a batch's bytes."""
    return blake2b(lines, digest_size=16).hexdigest()


def lines_of(records: list[tuple[int, Linked]]) -> bytes:
    """A batch as JSON Lines: number, chain and record on each line."""
    rows = [
        msgspec.json.encode({"n": number, "chain": linked.chain, "record": linked.record})
        for number, linked in records
    ]
    return b"".join(row + b"\n" for row in rows)


class _Row(msgspec.Struct):
    n: int
    chain: str
    record: Record


def read_lines(data: bytes) -> list[tuple[int, Linked]]:
    """Decode a batch. Raises msgspec.MsgspecError for a line that is no record."""
    found = []
    for line in data.splitlines():
        row = msgspec.json.decode(line, type=_Row)
        found.append((row.n, Linked(row.chain, row.record)))
    return found


@dataclass
class Standing:
    """State of the exports by the ledger's records: the pending batch, and what is acknowledged."""

    exporter: int = 0
    batch: int = 0
    last: int = 0
    pending: Batched | None = None

    def apply(self, record: Record) -> None:
        """Apply a record of the ledger."""
        match record:
            case Fenced(_, exporter):
                self.exporter = max(self.exporter, exporter)
            case Batched():
                self.pending = record
            case Acknowledged(_, batch):
                if self.pending is not None and self.pending.batch == batch:
                    self.batch, self.last, self.pending = batch, self.pending.last, None
            case _:
                pass


class Exporter:
    """Decides what is sent next."""

    def __init__(self, standing: Standing, most: int = MAX_BATCH_RECORDS) -> None:
        self._standing, self._most = standing, most
        self._state = _State.IDLE
        self._failures = 0
        self._next: Batched | None = None
        self.exporter = standing.exporter + 1
        self._begun = False

    @property
    def stopped(self) -> bool:
        """Whether the export has stopped for good."""
        return self._state is _State.STOPPED

    def begin(self, now: int) -> list[Action]:
        """Record this exporter's number; then a batch that an earlier exporter left pending is sent again."""
        self._state = _State.CUTTING
        self._next = self._standing.pending
        return [Write(Fenced(now, self.exporter))]

    def cut(self, last: int) -> tuple[int, int] | None:
        """First and last record of the next batch, or None if none can be made now."""
        first = self._standing.last + 1
        if self._state is not _State.IDLE or last < first:
            return None
        return first, min(last, first + self._most - 1)

    def handle(self, now: int, event: Event, content: str = "") -> list[Action]:
        """Handle one event. With Due, `content` is the hash of the records that `cut` returned."""
        match self._state, event:
            case _State.STOPPED, _:
                return []
            case _, FencedOff():
                self._state = _State.STOPPED
                return [Stop("a later exporter has begun")]
            case _State.IDLE, Due(last):
                span = self.cut(last)
                if span is None:
                    return []
                self._state = _State.CUTTING
                self._next = Batched(now, self._standing.batch + 1, *span, content)
                return [Write(self._next)]
            case _State.CUTTING, Durable():
                if self._next is None:
                    self._state = _State.IDLE
                    return []
                return self._deliver(self._next)
            case _State.SENDING, Lost():
                self._state = _State.WAITING
                wait = RETRY_MS * min(2**self._failures, MAX_RETRY_FACTOR)
                self._failures += 1
                return [RetryLater(wait)]
            case _State.WAITING, RetryDue() if self._next is not None:
                return self._deliver(self._next)
            case _State.SENDING, Accepted(batch, found) if self._next is not None:
                if batch != self._next.batch:
                    return []  # an answer to an earlier delivery
                if found != self._next.content:
                    self._state = _State.STOPPED
                    return [Stop(f"the receiver holds another batch {batch}")]
                done = Acknowledged(now, batch)
                self._standing.apply(self._next)
                self._standing.apply(done)
                self._state, self._next, self._failures = _State.CUTTING, None, 0
                return [Write(done)]
            case _:
                return []

    def _deliver(self, batch: Batched) -> list[Action]:
        self._state = _State.SENDING
        return [Deliver(self.exporter, batch.batch, batch.first, batch.last, batch.content)]
