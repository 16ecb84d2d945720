"""A group member's part of the log's registers: an acceptor of single-decree Paxos for each version.

    version    event                                    what is done
    open       Prepare, ballot not under the promise    promise it, on disk, then answer
    open       Accept, ballot not under the promise     take the value, on disk, then answer
    open       a lower ballot                           Reject with the higher one
    decided    anything                                 Reject: its asker lies behind and must catch up
    uncertain  anything                                 Reject: a lost disk may have held it

A version is decided here once its entry is in the member's log. One that lost its disk may have promised or
taken something of the version after any that it knew to be decided; whatever it knew, more than half of the
group has taken. So it says nothing up to one version above the highest that more than half of the others
tell, and the others decide that one without it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from foxlift.consensus.messages import Accepted, Ballot, Prepare, Promise, Reject, Request, Response
from foxlift.consensus.replica import RequestReceived as RequestReceived
from foxlift.consensus.replica import Stored as Stored
from foxlift.consensus.replica import StoreFailed as StoreFailed

MAX_OPEN_VERSIONS = 4096
MAX_WAITING = 4096  # asks that wait for the disk
MAX_DIGITS = 16
_PREFIX = "config/"


def register_key(version: int) -> str:
    """The name of a version's register."""
    return f"{_PREFIX}{version}"


def register_version(key: str) -> int | None:
    """The version of a register's name; None for any other name."""
    number = key.removeprefix(_PREFIX)
    if number == key or not number.isdigit() or len(number) > MAX_DIGITS or number.startswith("0"):
        return None
    return int(number)


class OpenVersion(msgspec.Struct, frozen=True, array_like=True):
    """What the disk must have of an open version before an answer leaves."""

    version: int
    promised: Ballot
    taken: Ballot | None = None
    value: str = ""


Event = RequestReceived | Stored | StoreFailed


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Store:
    """Write the record to the disk, in the order of these actions, then report Stored."""

    correlation_id: int
    record: OpenVersion


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the proposer; None: the disk has failed."""

    correlation_id: int
    message: Response | None


Action = Store | Reply


@dataclass(slots=True)
class Acceptor:
    """`head`: the last decided version here. `abstain_up_to`: what a lost disk may have held."""

    head: int = 0
    abstain_up_to: int = 0
    open: dict[int, OpenVersion] = field(default_factory=dict)
    _waiting: dict[int, Response] = field(default_factory=dict)

    @property
    def highest_version(self) -> int:
        """The highest version that this member has taken a value of, or knows to be decided."""
        taken = (record.version for record in self.open.values() if record.taken is not None)
        return max(self.head, max(taken, default=0))

    def advance_head(self, head: int) -> None:
        """All versions up to this one are decided and known here."""
        self.head = max(self.head, head)
        for version in [version for version in self.open if version <= self.head]:
            del self.open[version]

    def handle(self, event: Event) -> list[Action]:
        """Take one event in."""
        match event:
            case RequestReceived(request, message):
                return self._asked(request, message)
            case Stored(request):
                answer = self._waiting.pop(request, None)
                return [] if answer is None else [Reply(request, answer)]
            case StoreFailed(request):
                self._waiting.pop(request, None)
                return [Reply(request, None)]

    def _asked(self, request: int, message: Request) -> list[Action]:
        version = register_version(message.key)
        if version is None or not self._vouches(version):
            return [Reply(request, Reject(message.key, message.ballot))]
        known = self.open.get(version)
        if known is not None and message.ballot < known.promised:
            return [Reply(request, Reject(message.key, message.ballot, known.promised))]
        answer: Response
        if isinstance(message, Prepare):
            taken, value = (known.taken, known.value) if known is not None else (None, "")
            record = OpenVersion(version, message.ballot, taken, value)
            answer = Promise(message.key, message.ballot, taken, value)
        else:
            record = OpenVersion(version, message.ballot, message.ballot, message.value)
            answer = Accepted(message.key, message.ballot)
        self.open[version] = record
        self._waiting[request] = answer
        return [Store(request, record)]

    def _vouches(self, version: int) -> bool:
        if version <= max(self.head, self.abstain_up_to) or len(self._waiting) >= MAX_WAITING:
            return False
        return version in self.open or len(self.open) < MAX_OPEN_VERSIONS
