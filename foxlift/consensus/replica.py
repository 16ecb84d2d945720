"""A director's replica of registers: the acceptor of single-decree Paxos for each key.

    event                                                       response
    Prepare, ballot not below the promised one                  stored on disk, then Promise
    Accept, ballot not below the promised one                   stored on disk, then Accepted
    a ballot below the promised one                             Reject with the promised ballot
    a key past its end and the leeway between clocks            Reject; the key is deleted
    a key that may have been on a lost disk                     Reject: promises for it may be forgotten

A response is sent only for what is on the disk. After the loss of its disk a replica rejects every key that
may be older than the loss. A key lives for `max_lifetime_ms` at most, so a key that ends later than that
after `disk_lost_at` cannot have been on the lost disk. For all others the remaining replicas have to form a
majority.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from foxlift.consensus.messages import Accept, Accepted, Ballot, Prepare, Promise, Reject, Request, Response

MAX_KEYS = 1_000_000  # held at once; further keys are rejected
MAX_WAITING = 4096  # requests that wait for the disk
MAX_VALUE_CHARS = 2000  # of a key's value


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Stored on disk before the response is sent. The last record of a key counts."""

    key: str
    expires: int
    promised: Ballot
    accepted: Ballot | None = None
    value: str = ""


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A proposer's message. `request`: number chosen by the caller, names the response."""

    request: int
    message: Request


@dataclass(frozen=True, slots=True)
class Stored:
    """The record of this request is on the disk."""

    request: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The record may not be on the disk: the request gets no response."""

    request: int


Event = RequestReceived | Stored | StoreFailed


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Store:
    """Write the record to disk, in the order of these actions, then report Stored or StoreFailed."""

    request: int
    record: Record


@dataclass(frozen=True, slots=True)
class Reply:
    """Respond to the proposer."""

    request: int
    message: Response


Action = Store | Reply


@dataclass(slots=True)
class Replica:
    """`records`: the disk's content. `disk_lost_at`: when a lost disk was replaced, Unix ms; 0 for never.

    `max_lifetime_ms`: the longest life of a key; `leeway_ms`: the largest difference between clocks.
    """

    max_lifetime_ms: int
    leeway_ms: int
    disk_lost_at: int = 0
    records: dict[str, Record] = field(default_factory=dict)
    _waiting: dict[int, Response] = field(default_factory=dict)
    _expiry_checked_at: float = 0.0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; `now` in Unix ms."""
        match event:
            case RequestReceived(request, message):
                return self._request(now, request, message)
            case Stored(request):
                answer = self._waiting.pop(request, None)
                return [] if answer is None else [Reply(request, answer)]
            case StoreFailed(request):
                self._waiting.pop(request, None)
                return []

    def _request(self, now: float, request: int, message: Request) -> list[Action]:
        self._delete_expired(now)
        known = self.records.get(message.key)
        if not self._can_answer(now, message, known):
            return [Reply(request, Reject(message.key, message.ballot))]
        if known is not None and message.ballot < known.promised:
            return [Reply(request, Reject(message.key, message.ballot, known.promised))]
        answer: Response
        if isinstance(message, Prepare):
            accepted, value = (known.accepted, known.value) if known is not None else (None, "")
            record = Record(message.key, message.expires, message.ballot, accepted, value)
            answer = Promise(message.key, message.ballot, accepted, value)
        else:
            record = Record(message.key, message.expires, message.ballot, message.ballot, message.value)
            answer = Accepted(message.key, message.ballot)
        self.records[message.key] = record
        self._waiting[request] = answer
        return [Store(request, record)]

    def _can_answer(self, now: float, message: Request, known: Record | None) -> bool:
        """Whether this replica still has every promise that it made for the key, and has room for it."""
        if isinstance(message, Accept) and len(message.value) > MAX_VALUE_CHARS:
            return False
        if known is not None:
            return known.expires == message.expires and len(self._waiting) < MAX_WAITING
        is_newer_than_loss = (
            not self.disk_lost_at
            or message.expires > self.disk_lost_at + self.max_lifetime_ms + self.leeway_ms
        )
        is_alive = now - self.leeway_ms < message.expires <= now + self.max_lifetime_ms + self.leeway_ms
        return (
            is_newer_than_loss
            and is_alive
            and len(self.records) < MAX_KEYS
            and len(self._waiting) < MAX_WAITING
        )

    def _delete_expired(self, now: float) -> None:
        """Delete keys that ended so long ago that no clock within the leeway accepts them again."""
        if now - self._expiry_checked_at < self.leeway_ms + 1000.0:
            return
        self._expiry_checked_at = now
        expired = [key for key, record in self.records.items() if record.expires + 2 * self.leeway_ms < now]
        for key in expired:
            del self.records[key]
