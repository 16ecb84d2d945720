"""Records of the ledger. Times are Unix milliseconds, amounts millionths of a currency unit, both integers.

`at` is the ledger's own time, which never steps back; `when` is the time of the event by its box's clock.
Charges use `when`: a session's start, rungs and end come from one box, so from one clock.

Each record is stored as JSON with a hash chain over all records before it. A record that was changed, removed
or inserted later is found even if the log's checksums were adapted.
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
    """A session begins to play. `paid`: its set-up is a charged attempt, identified by the token.

    `until`: when the token expires for set-ups, Unix ms. `viewer` is a hash, never the token's own name. A
    field that is not set is not encoded, so that older records keep their chain.
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
    """A session has ended. `estimated`: its end was not seen; `when` is when it was last known to play."""

    at: Ms
    when: Ms
    session: str
    estimated: bool = False


class Alive(msgspec.Struct, frozen=True, tag="alive"):
    """The director and its open sessions are alive: bounds the estimate after the director's death."""

    at: Ms


class Charged(msgspec.Struct, frozen=True, tag="charge"):
    """An attempt whose set-up was done but whose session was not seen to play; rebuilt after a death."""

    at: Ms
    when: Ms
    session: str
    token: str
    tenant: str
    klass: str
    estimated: bool = False
    until: int | UnsetType = UNSET


class Forgot(msgspec.Struct, frozen=True, tag="forget"):
    """Tokens that expired by `upto`, Unix ms, are no longer kept as charged."""

    at: Ms
    upto: Ms


class Counted(msgspec.Struct, frozen=True, tag="count"):
    """A request that was refused or failed: counted, never charged."""

    at: Ms
    tenant: str
    klass: str
    what: str


class PeriodTurned(msgspec.Struct, frozen=True, tag="period"):
    """A period is closing (late records are still accepted) or closed."""

    at: Ms
    period: str
    state: str


class Adjusted(msgspec.Struct, frozen=True, tag="adjust"):
    """An adjusting entry in an open period: what it corrects, the author and the reason."""

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
    """Range and content hash of an export batch; recorded before the batch is sent."""

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
    """An exporter has begun: batches of earlier ones are refused from now on."""

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
    """Append a record to the chain."""
    body = msgspec.json.encode(record)
    return Linked(blake2b(before.encode() + body, digest_size=16).hexdigest(), record)


def encode(linked: Linked) -> bytes:
    """The payload of a log entry."""
    return msgspec.json.encode(linked)


def decode(payload: bytes, sequence: int) -> Linked:
    """Decode the payload of a log entry. Raises LogError that names the record."""
    try:
        return msgspec.json.decode(payload, type=Linked)
    except msgspec.MsgspecError as error:
        raise LogError(f"ledger: record {sequence}: {error}") from error


def viewer_mark(viewer: str) -> str:
    """Pseudonym of a viewer: the same for all of its sessions, without identifying it."""
    return blake2b(viewer.encode(), digest_size=8).hexdigest()


def find_break(linked: Iterable[Linked], chain: str = EMPTY_CHAIN, first: int = 1) -> int | None:
    """Number of the first record that breaks the chain, or None.

    `chain`: of the record before the first; `first`: number of the first record.
    """
    for number, found in enumerate(linked, first):
        chain = link(chain, found.record).chain
        if chain != found.chain:
            return number
    return None
