"""A group member's Paxos acceptor: one single-decree register for each version of the log. No I/O.

    version    event                                       what is done
    open       Prepare, ballot not below the promised one  store the promise on disk, then reply
    open       Accept, ballot not below the promised one   store the accepted value on disk, then reply
    open       a lower ballot                              Reject, with the promised ballot
    decided    any request                                 Reject: the proposer is behind and must catch up
    uncertain  any request                                 Reject: the member's lost disk may have voted on it

A version is decided here once its entry is in the member's log. A member that lost its disk may have promised
or accepted a value for the version after the last decided one that it knew. More than half of the group have
accepted every decided version. The member therefore does not vote on any version up to one above the highest
that more than half of the other members report; the others decide that version without it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from foxlift.consensus.messages import Accepted, Ballot, Prepare, Promise, Reject, Request, Response
from foxlift.consensus.replica import RequestReceived as RequestReceived
from foxlift.consensus.replica import Stored as Stored
from foxlift.consensus.replica import StoreFailed as StoreFailed

MAX_OPEN_VERSIONS = 4096
MAX_PENDING_REQUESTS = 4096  # requests that wait for a disk write
MAX_VERSION_DIGITS = 16
_KEY_PREFIX = "config/"


def register_key(version: int) -> str:
    """The register key of a version."""
    return f"{_KEY_PREFIX}{version}"


def register_version(key: str) -> int | None:
    """The version of a register key; None for any other key."""
    digits = key.removeprefix(_KEY_PREFIX)
    if digits == key or not digits.isdigit() or len(digits) > MAX_VERSION_DIGITS or digits.startswith("0"):
        return None
    return int(digits)


class OpenVersion(msgspec.Struct, frozen=True, array_like=True):
    """State of an undecided version, stored on disk before the reply is sent."""

    version: int
    promised: Ballot
    accepted: Ballot | None = None
    value: str = ""


Event = RequestReceived | Stored | StoreFailed


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Store:
    """Write the record to disk, in the order of these actions, then report Stored or StoreFailed."""

    correlation_id: int
    record: OpenVersion


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to the proposer; None: the disk has failed."""

    correlation_id: int
    message: Response | None


Action = Store | Reply


@dataclass(slots=True)
class Acceptor:
    """`head`: the last decided version. `abstain_up_to`: no vote on versions up to this one."""

    head: int = 0
    abstain_up_to: int = 0
    open: dict[int, OpenVersion] = field(default_factory=dict)
    _pending_responses: dict[int, Response] = field(default_factory=dict)

    @property
    def highest_version(self) -> int:
        """The highest version for which this member has accepted a value or that it knows to be decided."""
        accepted = (record.version for record in self.open.values() if record.accepted is not None)
        return max(self.head, max(accepted, default=0))

    def advance_head(self, head: int) -> None:
        """All versions up to `head` are decided and in this member's log."""
        self.head = max(self.head, head)
        for version in [version for version in self.open if version <= self.head]:
            del self.open[version]

    def handle(self, event: Event) -> list[Action]:
        """Process one event."""
        match event:
            case RequestReceived(correlation_id, message):
                return self._handle_request(correlation_id, message)
            case Stored(correlation_id):
                answer = self._pending_responses.pop(correlation_id, None)
                return [] if answer is None else [Reply(correlation_id, answer)]
            case StoreFailed(correlation_id):
                self._pending_responses.pop(correlation_id, None)
                return [Reply(correlation_id, None)]

    def _handle_request(self, correlation_id: int, message: Request) -> list[Action]:
        version = register_version(message.key)
        if version is None or not self._may_vote(version):
            return [Reply(correlation_id, Reject(message.key, message.ballot))]
        existing = self.open.get(version)
        if existing is not None and message.ballot < existing.promised:
            return [Reply(correlation_id, Reject(message.key, message.ballot, existing.promised))]
        answer: Response
        if isinstance(message, Prepare):
            accepted, value = (existing.accepted, existing.value) if existing is not None else (None, "")
            record = OpenVersion(version, message.ballot, accepted, value)
            answer = Promise(message.key, message.ballot, accepted, value)
        else:
            record = OpenVersion(version, message.ballot, message.ballot, message.value)
            answer = Accepted(message.key, message.ballot)
        self.open[version] = record
        self._pending_responses[correlation_id] = answer
        return [Store(correlation_id, record)]

    def _may_vote(self, version: int) -> bool:
        if (
            version <= max(self.head, self.abstain_up_to)
            or len(self._pending_responses) >= MAX_PENDING_REQUESTS
        ):
            return False
        return version in self.open or len(self.open) < MAX_OPEN_VERSIONS
