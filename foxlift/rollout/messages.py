"""What followers of the log and its sources say to each other, and control servers among themselves."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.rollout.entry import Change, Entry, Name, Reason, RequestId, Version
from foxlift.rollout.log import SnapshotPage, Step

WATCH_PATH = "/config/watch"  # of a control server, for POST

MAX_RESPONSE_BYTES = 2 << 20  # of an answer to a watch: a page, or as many entries or steps as one may hold
MAX_REFUSALS = 16  # that one report tells of
MAX_CANARIES = 64  # of one relay

BootEpoch = Annotated[int, Meta(ge=0, lt=2**53)]
Count = Annotated[int, Meta(ge=0, le=10_000_000)]


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A change that a director does not take: which version, what of it, and why."""

    version: Version
    key: str
    cause: Reason


class DirectorWatch(msgspec.Struct, frozen=True, omit_defaults=True, tag="director"):
    """A director has this version in force, and waits for a later one.

    `refused`, `offered`: what it did not take, and how far that answer would have led it. `start`: where
    the way begins that it wants, if not at that version: it builds its content again. `snapshot`, `page`:
    the next page that it wants of a snapshot it has begun.
    """

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    version: Version
    refused: Refusal | None = None
    offered: Version = 0
    start: Version | None = None
    snapshot: Version = 0
    page: Count = 0


class RelayWatch(msgspec.Struct, frozen=True, omit_defaults=True, tag="relay"):
    """A relay, or another member of the group, has the log up to this version, and waits for more."""

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    head: Version
    snapshot: Version = 0
    page: Count = 0


Watch = DirectorWatch | RelayWatch


class Steps(msgspec.Struct, frozen=True, omit_defaults=True, tag="steps"):
    """What leads a director on; none: nothing new came while it waited. `head`: of the relay's log."""

    head: Version
    steps: tuple[Step, ...] = ()


class Entries(msgspec.Struct, frozen=True, omit_defaults=True, tag="entries"):
    """What follows in the log; none: nothing new came while the follower waited."""

    head: Version
    entries: tuple[Entry, ...] = ()


class Page(msgspec.Struct, frozen=True, omit_defaults=True, tag="page"):
    """A page of a snapshot, for who is too far behind for steps or entries.

    `requests`: with the last page for a relay, the orders that the log has carried out.
    """

    page: SnapshotPage
    requests: dict[RequestId, Version] = {}


WatchResponse = Steps | Entries | Page


class CanaryState(msgspec.Struct, frozen=True, array_like=True):
    """A director that is offered changes first, and the version that it has in force."""

    name: Name
    version: Version


class Report(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a relay knows of its directors, for the group. `least`: the oldest version in force at one.

    `unconfirmed`: canaries that were offered a version and have not been heard of since for too long.
    """

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    zone: Name
    head: Version
    directors: Count = 0
    least: Version = 0
    canaries: Annotated[tuple[CanaryState, ...], Meta(max_length=MAX_CANARIES)] = ()
    unconfirmed: Annotated[tuple[CanaryState, ...], Meta(max_length=MAX_CANARIES)] = ()
    refusals: Annotated[tuple[tuple[Name, Refusal], ...], Meta(max_length=MAX_REFUSALS)] = ()


class Heartbeat(msgspec.Struct, frozen=True):
    """A member of the group is alive and has the log up to this version."""

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    head: Version


class ChangeRequest(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """An operator's order: a change, or with `withdraw` that a version be taken back."""

    request_id: RequestId = msgspec.field(name="request")
    change: Change = Change()
    withdraw: Version = 0


class Outcome(Enum):
    """What became of an order."""

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"  # no quorum in time: it may still come into force; the same request may be sent again


class ChangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """`version`: what carries the order out."""

    outcome: Outcome
    version: Version = 0
    reason: str = ""
