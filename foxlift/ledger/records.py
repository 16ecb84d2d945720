"""What the ledger writes down. Times are whole Unix milliseconds, money whole millionths of a currency unit.

`at` is the ledger's own time, which never steps back; `when` is when a thing happened by the clock of the box
that saw it. What is charged goes by `when`: a session's start, rungs and end are of one box, so of one clock.

Each record is kept as JSON with the chain over all records before it: a record that was changed, taken out or
put in later is found and located, though whoever changed it mended the log's checksums.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

from foxlift.store import LogError

Ms = Annotated[int, Meta(ge=0)]


class Opened(msgspec.Struct, frozen=True, tag="open"):
    """A session plays from now on. `paid`: its set-up is an attempt that is charged, keyed by the token.

    `until`: when the token can start nothing any more (Unix ms). `viewer` is a hash, never the token's own
    word for them. A field that is not set leaves no byte, so that older records keep their chain.
    """

    at: Ms
    when: Ms
    session: str
    token: str
    tenant: str
    klass: str
    rung: int
    paid: bool
    until: int | UnsetType = UNSET
    viewer: str | UnsetType = UNSET
    box: str | UnsetType = UNSET


class Turned(msgspec.Struct, frozen=True, tag="turn"):
    """A session plays at another rung from now on."""

    at: Ms
    when: Ms
    session: str
    rung: int


class Closed(msgspec.Struct, frozen=True, tag="close"):
    """A session is over. `estimated`: nobody saw its end; `when` is the last that it was known to play."""

    at: Ms
    when: Ms
    session: str
    estimated: bool = False


class Alive(msgspec.Struct, frozen=True, tag="alive"):
    """The director lives, and with it every open session: this bounds what is estimated after its death."""

    at: Ms


class Charged(msgspec.Struct, frozen=True, tag="charge"):
    """An attempt whose set-up was done, though its session was never seen to play (rebuilt after a death)."""

    at: Ms
    when: Ms
    session: str
    token: str
    tenant: str
    klass: str
    estimated: bool = False
    until: int | UnsetType = UNSET


class Forgot(msgspec.Struct, frozen=True, tag="forget"):
    """Tokens that could start nothing any more by `upto` (Unix ms) are not kept as charged from here on."""

    at: Ms
    upto: Ms


class Counted(msgspec.Struct, frozen=True, tag="count"):
    """A request that was refused or failed: counted, never charged."""

    at: Ms
    tenant: str
    klass: str
    what: str


class PeriodTurned(msgspec.Struct, frozen=True, tag="period"):
    """A period closes (late records are still taken) or is closed."""

    at: Ms
    period: str
    state: str


class Adjusted(msgspec.Struct, frozen=True, tag="adjust"):
    """An adjusting entry in an open period: what it corrects (a period, perhaps an entry), by whom, why."""

    at: Ms
    entry: str
    period: str
    corrects_period: str
    corrects_entry: str
    tenant: str
    klass: str
    attempts: int
    ms: int
    micros: int
    by: str
    why: str
    void: bool = False


class Batched(msgspec.Struct, frozen=True, tag="batch"):
    """An export batch was cut: these records, with this content. Written before the batch is sent."""

    at: Ms
    batch: int
    first: int
    last: int
    content: str


class Acknowledged(msgspec.Struct, frozen=True, tag="ack"):
    """The receiver has the batch."""

    at: Ms
    batch: int


class Fenced(msgspec.Struct, frozen=True, tag="fence"):
    """An exporter began: batches of an earlier one are refused from now on."""

    at: Ms
    exporter: int


Record = (
    Opened
    | Turned
    | Closed
    | Alive
    | Charged
    | Forgot
    | Counted
    | PeriodTurned
    | Adjusted
    | Batched
    | Acknowledged
    | Fenced
)

EMPTY_CHAIN = "0" * 32


class Linked(msgspec.Struct, frozen=True):
    """A record with its chain."""

    chain: str
    record: Record


def link(before: str, record: Record) -> Linked:
    """Put a record behind the chain so far."""
    body = msgspec.json.encode(record)
    return Linked(blake2b(before.encode() + body, digest_size=16).hexdigest(), record)


def encode(linked: Linked) -> bytes:
    """The payload of a log entry."""
    return msgspec.json.encode(linked)


def decode(payload: bytes, sequence: int) -> Linked:
    """Raises LogError that names the record."""
    try:
        return msgspec.json.decode(payload, type=Linked)
    except msgspec.MsgspecError as error:
        raise LogError(f"ledger: record {sequence}: {error}") from error


def viewer_mark(viewer: str) -> str:
    """What the ledger calls a viewer: enough to see that two sessions are of one, not who it is."""
    return blake2b(viewer.encode(), digest_size=8).hexdigest()


def find_break(linked: Iterable[Linked], chain: str = EMPTY_CHAIN, first: int = 1) -> int | None:
    """Number of the first record that does not follow from those before it; None where all do.

    `chain` is that of the record before, `first` the number of the first one looked at.
    """
    for number, found in enumerate(linked, first):
        chain = link(chain, found.record).chain
        if chain != found.chain:
            return number
    return None
