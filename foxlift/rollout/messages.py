"""Messages between log followers and their sources, among control servers, and from operators."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.rollout.entry import Change, Entry, Name, Reason, RequestId, Version
from foxlift.rollout.log import SnapshotPage, Step

WATCH_PATH = "/config/watch"  # POST, at a control server

MAX_RESPONSE_BYTES = 2 << 20  # of a response to a watch: a page, entries or steps
MAX_REFUSALS = 16  # in one report
MAX_CANARIES = 64  # of one relay

BootEpoch = Annotated[int, Meta(ge=0, lt=2**53)]
Count = Annotated[int, Meta(ge=0, le=10_000_000)]


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A change that a director refuses: version, key and cause."""

    version: Version
    key: str
    cause: Reason


class DirectorWatch(msgspec.Struct, frozen=True, omit_defaults=True, tag="director"):
    """A director has applied this version and waits for a later one.

    `refused`: the change that it refused; `offered`: the last version of the response that held it. `start`:
    set while the director rebuilds its content, the version from which it needs steps. `snapshot`, `page`:
    the next page that it needs of a snapshot it has begun to read.
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
    """A relay or group member has the log up to `head` and waits for later entries."""

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    head: Version
    snapshot: Version = 0
    page: Count = 0


Watch = DirectorWatch | RelayWatch


class Steps(msgspec.Struct, frozen=True, omit_defaults=True, tag="steps"):
    """Steps to a later version; empty: nothing new during the wait. `head`: of the relay's log."""

    head: Version
    steps: tuple[Step, ...] = ()


class Entries(msgspec.Struct, frozen=True, omit_defaults=True, tag="entries"):
    """The next log entries; empty: nothing new during the wait. `head`: of the source's log."""

    head: Version
    entries: tuple[Entry, ...] = ()


class Page(msgspec.Struct, frozen=True, omit_defaults=True, tag="page"):
    """A page of a snapshot, for followers that are too far behind for steps or entries.

    `requests`: with the last page for a relay, the committed request ids and their versions.
    """

    page: SnapshotPage
    requests: dict[RequestId, Version] = {}


WatchResponse = Steps | Entries | Page


class CanaryState(msgspec.Struct, frozen=True, array_like=True):
    """A director that is offered changes first, and its version."""

    name: Name
    version: Version


class Report(msgspec.Struct, frozen=True, omit_defaults=True):
    """A relay's report on its directors. `oldest_version`: the lowest version that one of them has applied.

    `unconfirmed`: canaries that did not contact the relay within the timeout after being offered a version.
    """

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    zone: Name
    head: Version
    directors: Count = 0
    oldest_version: Version = msgspec.field(default=0, name="least")
    canaries: Annotated[tuple[CanaryState, ...], Meta(max_length=MAX_CANARIES)] = ()
    unconfirmed: Annotated[tuple[CanaryState, ...], Meta(max_length=MAX_CANARIES)] = ()
    refusals: Annotated[tuple[tuple[Name, Refusal], ...], Meta(max_length=MAX_REFUSALS)] = ()


class Heartbeat(msgspec.Struct, frozen=True):
    """A group member is alive and has the log up to `head`."""

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    head: Version


class ChangeRequest(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """An operator's request: a change, or with `withdraw` the version to revert."""

    request_id: RequestId = msgspec.field(name="request")
    change: Change = Change()
    withdraw: Version = 0


class Outcome(Enum):
    """The outcome of a change request."""

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"  # no quorum in time: it may still be committed; safe to send again


class ChangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The outcome; `version`: of the entry that carries the request out."""

    outcome: Outcome
    version: Version = 0
    reason: str = ""
