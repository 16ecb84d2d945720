"""The proposer's side of a register: CASPaxos (Rystsov, 2018), two rounds at a majority of its replicas.

    change     event                                         next       what is done
    (none)     Change                                        PREPARING  Prepare is sent to all replicas
    PREPARING  a majority promised                           WRITING    Accept, with the found or new value
    WRITING    a majority accepted                           (none)     Decided
    PREPARING,
    WRITING    a replica has promised a higher ballot        WAITING    a random back-off begins
    WAITING    the back-off has ended                        PREPARING  Prepare with a higher ballot
    any        no majority can answer any more, or deadline  (none)     NoQuorum

The new value is written only where the register holds `expected` (None: it is empty). Any other value found
is written again and reported as Decided: a value that only some replicas hold is then decided for certain.

While the number of directors changes, the replicas of the former placement count too (`former_replicas`): a
change needs a majority of both groups. So it has a replica in common with any proposer that knows only one of
the two groups.

After NoQuorum the new value may still become the decided one, when a later proposer finds it at a replica.
Only another change of the register shows which value it holds.
"""

from __future__ import annotations

import random
from collections.abc import Set
from dataclasses import dataclass, field
from enum import Enum

from foxlift.consensus.messages import Accept, Accepted, Ballot, Prepare, Promise, Reject, Request, Response

RETRY_MIN_MS = 20.0  # back-off after a higher ballot; doubles each time, half of it is random
RETRY_MAX_MS = 640.0
MAX_CHANGES = 10_000  # in progress at once


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Change:
    """Set the register to `value` if it holds `expected`.

    `expires`: when the key ends, Unix ms. `within_ms`: the deadline, from now.
    """

    number: int  # chosen by the caller; names the change in the result
    key: str
    replicas: tuple[str, ...]
    value: str
    expires: int
    within_ms: float
    expected: str | None = None
    former_replicas: tuple[str, ...] = ()

    @property
    def all_replicas(self) -> tuple[str, ...]:
        """Replicas of the present and the former placement, without duplicates."""
        return tuple(dict.fromkeys(self.replicas + self.former_replicas))


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A replica's response to `Send`."""

    request_id: int
    message: Response


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """No response to `Send`, or an unreadable one."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The back-off of this change has ended."""

    number: int
    round_id: int


@dataclass(frozen=True, slots=True)
class DeadlineDue:
    """The change's deadline has passed."""

    number: int


ChangeProgress = ResponseReceived | RequestFailed | RetryDue | DeadlineDue
Event = Change | ChangeProgress


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a replica."""

    to: str
    request_id: int
    message: Request


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Deliver `event` after `delay_ms`."""

    delay_ms: float
    event: RetryDue | DeadlineDue


@dataclass(frozen=True, slots=True)
class Decided:
    """The decided value. If it equals the change's value, the change has succeeded."""

    number: int
    value: str


@dataclass(frozen=True, slots=True)
class NoQuorum:
    """No majority answered in time. The new value may still become the decided one."""

    number: int


Action = Send | StartTimer | Decided | NoQuorum


class _State(Enum):
    PREPARING = "prepares"
    WRITING = "writes"
    WAITING = "waits"


@dataclass(slots=True)
class _Change:
    request: Change
    ballot: Ballot
    state: _State = _State.PREPARING
    round_id: int = 0
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)  # replicas that failed in this round
    value: str = ""


class Proposer:
    """All changes in progress in this process.

    `name` identifies director and boot epoch: no other process ever has the same.
    """

    def __init__(self, name: str, seed: int) -> None:
        self._name = name
        self._random = random.Random(f"{seed} {name}")
        self._changes: dict[int, _Change] = {}
        self._pending: dict[int, tuple[int, int, str]] = {}  # by request id: change, round, replica
        self._last_request_id = 0
        self._highest_round = 0

    def __len__(self) -> int:
        return len(self._changes)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; `now` in ms."""
        match event:
            case Change():
                return self._start(event)
            case ResponseReceived(request_id, message):
                return self._response(request_id, message)
            case RequestFailed(request_id):
                return self._request_failed(request_id)
            case RetryDue(number, round_id):
                change = self._changes.get(number)
                if change is None or change.round_id != round_id or change.state is not _State.WAITING:
                    return []
                return self._prepare(number, change)
            case DeadlineDue(number):
                return self._fail(number)

    def _start(self, request: Change) -> list[Action]:
        if len(self._changes) >= MAX_CHANGES or request.number in self._changes:
            return [NoQuorum(request.number)]
        change = self._changes[request.number] = _Change(request, Ballot(0, self._name))
        deadline = StartTimer(request.within_ms, DeadlineDue(request.number))
        return [deadline, *self._prepare(request.number, change)]

    def _prepare(self, number: int, change: _Change) -> list[Action]:
        self._highest_round = max(self._highest_round, change.ballot.round) + 1
        change.ballot = Ballot(self._highest_round, self._name)
        change.state, change.round_id = _State.PREPARING, change.round_id + 1
        change.promises, change.accepted_by, change.failed = {}, set(), set()
        return self._send_to_all(
            number, change, Prepare(change.request.key, change.ballot, change.request.expires)
        )

    def _send_to_all(self, number: int, change: _Change, message: Request) -> list[Action]:
        actions: list[Action] = []
        for replica in change.request.all_replicas:
            self._last_request_id += 1
            self._pending[self._last_request_id] = number, change.round_id, replica
            actions.append(Send(replica, self._last_request_id, message))
        return actions

    def _majority(self, change: _Change, names: Set[str]) -> bool:
        groups = (change.request.replicas, change.request.former_replicas)
        return all(2 * len(names & set(group)) > len(group) for group in groups if group)

    def _pending_change(self, request_id: int) -> tuple[int, str, _Change | None]:
        """Number, replica and change of a request; no change where its response comes too late to matter."""
        number, round_id, replica = self._pending.pop(request_id, (0, 0, ""))
        change = self._changes.get(number)
        if change is None or change.round_id != round_id or change.state is _State.WAITING:
            return number, replica, None
        return number, replica, change

    def _response(self, request_id: int, message: Response) -> list[Action]:
        number, replica, change = self._pending_change(request_id)
        if change is None or message.ballot != change.ballot or message.key != change.request.key:
            return []
        if isinstance(message, Promise) and change.state is _State.PREPARING:
            change.promises[replica] = message
            if self._majority(change, change.promises.keys()):
                return self._write(number, change)
        elif isinstance(message, Accepted) and change.state is _State.WRITING:
            change.accepted_by.add(replica)
            if self._majority(change, change.accepted_by):
                self._finish(number)
                return [Decided(number, change.value)]
        elif isinstance(message, Reject):
            if message.promised is None:
                return self._replica_failed(number, change, replica)
            change.ballot = max(change.ballot, message.promised)
            return self._back_off(number, change)
        return []

    def _write(self, number: int, change: _Change) -> list[Action]:
        request = change.request
        accepted = [(p.accepted, p.value) for p in change.promises.values() if p.accepted is not None]
        found = max(accepted)[1] if accepted else None
        # a value that may be decided already must stay; only the expected value is replaced
        change.value = request.value if found == request.expected or found is None else found
        change.state, change.round_id = _State.WRITING, change.round_id + 1
        change.failed = set()
        return self._send_to_all(
            number, change, Accept(request.key, change.ballot, request.expires, change.value)
        )

    def _back_off(self, number: int, change: _Change) -> list[Action]:
        change.state, change.round_id = _State.WAITING, change.round_id + 1
        max_delay_ms = min(RETRY_MIN_MS * 2 ** min(change.round_id // 2, 10), RETRY_MAX_MS)
        delay_ms = max_delay_ms * (0.5 + 0.5 * self._random.random())
        return [StartTimer(delay_ms, RetryDue(number, change.round_id))]

    def _request_failed(self, request_id: int) -> list[Action]:
        number, replica, change = self._pending_change(request_id)
        return [] if change is None else self._replica_failed(number, change, replica)

    def _replica_failed(self, number: int, change: _Change, replica: str) -> list[Action]:
        """A replica has failed; without a possible majority the change ends before its deadline."""
        change.failed.add(replica)
        remaining = set(change.request.all_replicas) - change.failed
        return [] if self._majority(change, remaining) else self._fail(number)

    def _fail(self, number: int) -> list[Action]:
        if number not in self._changes:
            return []
        self._finish(number)
        return [NoQuorum(number)]

    def _finish(self, number: int) -> None:
        del self._changes[number]
        self._pending = {key: pending for key, pending in self._pending.items() if pending[0] != number}
