"""One director's part of the registers it holds: an acceptor of single-decree Paxos for each key.

    key        event                                 what is done
    any        Prepare, ballot not under the promise promise it, on disk, then answer
    any        Accept, ballot not under the promise  take the value, on disk, then answer
    any        a lower ballot                        Reject with the higher one
    any        past its end and the clocks' leeway   Reject; forgotten
    any        that a lost disk may have held        Reject: what it may have said it does not know

A holder answers only what its disk has. One that lost its disk vouches for no key that may be older than its
loss: a key lives for `longest_ms` at the most, so those that end later than that after its new beginning were
never seen by the lost one. Until then two others must do.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from foxlift.consensus.messages import Accept, Answer, Ask, Ballot, Prepare, Promise, Reject, Taken

MOST_KEYS = 1_000_000  # held at once; more are not vouched for
MOST_WAITING = 4096  # asks that wait for the disk
MAX_VALUE_CHARS = 2000  # of a key's value


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What the disk must have before an answer leaves. The last of a key holds."""

    key: str
    expires: int
    promised: Ballot
    taken: Ballot | None = None
    value: str = ""


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Asked:
    """A claimant's message; `request` is the caller's name for its answer."""

    request: int
    message: Ask


@dataclass(frozen=True, slots=True)
class Stored:
    """The record of this request lasts."""

    request: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """It may not last: nothing of it is said."""

    request: int


Event = Asked | Stored | StoreFailed


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Store:
    """Make the record last, in the order of these actions, then report Stored."""

    request: int
    record: Record


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the claimant."""

    request: int
    message: Answer


Action = Store | Reply


@dataclass(slots=True)
class Holder:
    """`records`: what the disk has. `lost_at`: Unix ms when a lost disk was begun anew, 0 for the first.

    `longest_ms`: how long a key lives at most; `leeway_ms`: how far clocks may differ.
    """

    longest_ms: int
    leeway_ms: int
    lost_at: int = 0
    records: dict[str, Record] = field(default_factory=dict)
    _waiting: dict[int, Answer] = field(default_factory=dict)
    _forgot_at: float = 0.0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in Unix ms."""
        match event:
            case Asked(request, message):
                return self._asked(now, request, message)
            case Stored(request):
                answer = self._waiting.pop(request, None)
                return [] if answer is None else [Reply(request, answer)]
            case StoreFailed(request):
                self._waiting.pop(request, None)
                return []

    def _asked(self, now: float, request: int, message: Ask) -> list[Action]:
        self._forget(now)
        known = self.records.get(message.key)
        if not self._vouches(now, message, known):
            return [Reply(request, Reject(message.key, message.ballot))]
        if known is not None and message.ballot < known.promised:
            return [Reply(request, Reject(message.key, message.ballot, known.promised))]
        answer: Answer
        if isinstance(message, Prepare):
            taken, value = (known.taken, known.value) if known is not None else (None, "")
            record = Record(message.key, message.expires, message.ballot, taken, value)
            answer = Promise(message.key, message.ballot, taken, value)
        else:
            record = Record(message.key, message.expires, message.ballot, message.ballot, message.value)
            answer = Taken(message.key, message.ballot)
        self.records[message.key] = record
        self._waiting[request] = answer
        return [Store(request, record)]

    def _vouches(self, now: float, message: Ask, known: Record | None) -> bool:
        """Whether what this holder knows of the key is all that it ever said of it, and there is room."""
        if isinstance(message, Accept) and len(message.value) > MAX_VALUE_CHARS:
            return False
        if known is not None:
            return known.expires == message.expires and len(self._waiting) < MOST_WAITING
        young = not self.lost_at or message.expires > self.lost_at + self.longest_ms + self.leeway_ms
        alive = now - self.leeway_ms < message.expires <= now + self.longest_ms + self.leeway_ms
        return young and alive and len(self.records) < MOST_KEYS and len(self._waiting) < MOST_WAITING

    def _forget(self, now: float) -> None:
        """What ended so long ago that no clock within the leeway lets it in again."""
        if now - self._forgot_at < self.leeway_ms + 1000.0:
            return
        self._forgot_at = now
        over = [key for key, record in self.records.items() if record.expires + 2 * self.leeway_ms < now]
        for key in over:
            del self.records[key]
