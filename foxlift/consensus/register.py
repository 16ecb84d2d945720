"""Changing a register: CASPaxos (Rystsov, 2018), a read and a write in two rounds at two of three holders.

    change      event                                     next        what is done
    (none)      Change                                    PREPARES    all holders are asked
    PREPARES    two promise                               WRITES      the highest taken value, or the new one
    WRITES      two have taken it                         (none)      Decided
    both        a higher ballot was seen                  WAITS       a while drawn from the seed
    WAITS       the while is over                         PREPARES    with a ballot above it
    any         two holders can't be had, or the deadline (none)      Unreached

`expected` is what the register must hold for the new value to be put in: None for an empty one. Whatever
else it holds is written again and told: then it is decided, and not just perhaps.

While the number of directors changes, `former` holders count too: then more than half of both are needed, so
that whoever knows only the former ones, or only the present ones, has one in common with this claimant.

After Unreached the new value may still become the decided one, by another's hand: whoever gave up must ask
again to know either way.
"""

from __future__ import annotations

import random
from collections.abc import Set
from dataclasses import dataclass, field
from enum import Enum

from foxlift.consensus.messages import Accept, Answer, Ask, Ballot, Prepare, Promise, Reject, Taken

AGAIN_MS = 20.0  # least wait after a higher ballot; doubles, and half of it is drawn
AGAIN_MOST_MS = 640.0
MOST_CHANGES = 10_000  # at once


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Change:
    """Put `value` in where the register holds `expected`. `expires`: Unix ms; `within_ms` from now."""

    number: int  # the caller's, for the answer
    key: str
    holders: tuple[str, ...]
    value: str
    expires: int
    within_ms: float
    expected: str | None = None
    former: tuple[str, ...] = ()

    @property
    def asked(self) -> tuple[str, ...]:
        """Every holder, once."""
        return tuple(dict.fromkeys(self.holders + self.former))


@dataclass(frozen=True, slots=True)
class Answered:
    """A holder's answer to `Send`."""

    ask: int
    message: Answer


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer to `Send`, or none that can be read."""

    ask: int


@dataclass(frozen=True, slots=True)
class AgainDue:
    """The while is over."""

    number: int
    turn: int


@dataclass(frozen=True, slots=True)
class DeadlineDue:
    """The change is of no use any more."""

    number: int


ChangeProgress = Answered | Unanswered | AgainDue | DeadlineDue
Event = Change | ChangeProgress


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Send:
    """Ask a holder."""

    to: str
    ask: int
    message: Ask


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Tell this event after so long."""

    delay_ms: float
    event: AgainDue | DeadlineDue


@dataclass(frozen=True, slots=True)
class Decided:
    """What the register holds, decided. Equal to the change's value: it was put in."""

    number: int
    value: str


@dataclass(frozen=True, slots=True)
class Unreached:
    """Not decided as far as is known; the new value may still become it."""

    number: int


Action = Send | StartTimer | Decided | Unreached


class _State(Enum):
    PREPARES = "prepares"
    WRITES = "writes"
    WAITS = "waits"


@dataclass(slots=True)
class _Change:
    asked: Change
    ballot: Ballot
    state: _State = _State.PREPARES
    turn: int = 0
    promises: dict[str, Promise] = field(default_factory=dict)
    took: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)  # holders that can't be had in this turn
    value: str = ""


class Registers:
    """Every change that this process is making. `by` names director and run: no other process ever has it."""

    def __init__(self, by: str, seed: int) -> None:
        self._by = by
        self._random = random.Random(f"{seed} {by}")
        self._changes: dict[int, _Change] = {}
        self._asks: dict[int, tuple[int, int, str]] = {}  # ask to change, its turn and the holder
        self._last = 0
        self._round = 0

    def __len__(self) -> int:
        return len(self._changes)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms."""
        match event:
            case Change():
                return self._begin(event)
            case Answered(ask, message):
                return self._answered(ask, message)
            case Unanswered(ask):
                return self._failed(ask)
            case AgainDue(number, turn):
                change = self._changes.get(number)
                if change is None or change.turn != turn or change.state is not _State.WAITS:
                    return []
                return self._prepare(number, change)
            case DeadlineDue(number):
                return self._give_up(number)

    def _begin(self, asked: Change) -> list[Action]:
        if len(self._changes) >= MOST_CHANGES or asked.number in self._changes:
            return [Unreached(asked.number)]
        change = self._changes[asked.number] = _Change(asked, Ballot(0, self._by))
        deadline = StartTimer(asked.within_ms, DeadlineDue(asked.number))
        return [deadline, *self._prepare(asked.number, change)]

    def _prepare(self, number: int, change: _Change) -> list[Action]:
        self._round = max(self._round, change.ballot.round) + 1
        change.ballot = Ballot(self._round, self._by)
        change.state, change.turn = _State.PREPARES, change.turn + 1
        change.promises, change.took, change.failed = {}, set(), set()
        return self._ask_all(number, change, Prepare(change.asked.key, change.ballot, change.asked.expires))

    def _ask_all(self, number: int, change: _Change, message: Ask) -> list[Action]:
        actions: list[Action] = []
        for holder in change.asked.asked:
            self._last += 1
            self._asks[self._last] = number, change.turn, holder
            actions.append(Send(holder, self._last, message))
        return actions

    def _majority(self, change: _Change, names: Set[str]) -> bool:
        groups = (change.asked.holders, change.asked.former)
        return all(2 * len(names & set(group)) > len(group) for group in groups if group)

    def _of(self, ask: int) -> tuple[int, str, _Change | None]:
        """The change that still waits for this answer."""
        number, turn, holder = self._asks.pop(ask, (0, 0, ""))
        change = self._changes.get(number)
        if change is None or change.turn != turn or change.state is _State.WAITS:
            return number, holder, None
        return number, holder, change

    def _answered(self, ask: int, message: Answer) -> list[Action]:
        number, holder, change = self._of(ask)
        if change is None or message.ballot != change.ballot or message.key != change.asked.key:
            return []
        if isinstance(message, Promise) and change.state is _State.PREPARES:
            change.promises[holder] = message
            if self._majority(change, change.promises.keys()):
                return self._write(number, change)
        elif isinstance(message, Taken) and change.state is _State.WRITES:
            change.took.add(holder)
            if self._majority(change, change.took):
                self._end(number)
                return [Decided(number, change.value)]
        elif isinstance(message, Reject):
            if message.seen is None:
                return self._without(number, change, holder)
            change.ballot = max(change.ballot, message.seen)
            return self._wait(number, change)
        return []

    def _write(self, number: int, change: _Change) -> list[Action]:
        asked = change.asked
        taken = [(p.taken, p.value) for p in change.promises.values() if p.taken is not None]
        held = max(taken)[1] if taken else None
        # what may be decided already must stay so; only what is known to be there is replaced
        change.value = asked.value if held == asked.expected or held is None else held
        change.state, change.turn = _State.WRITES, change.turn + 1
        change.failed = set()
        return self._ask_all(number, change, Accept(asked.key, change.ballot, asked.expires, change.value))

    def _wait(self, number: int, change: _Change) -> list[Action]:
        change.state, change.turn = _State.WAITS, change.turn + 1
        most = min(AGAIN_MS * 2 ** min(change.turn // 2, 10), AGAIN_MOST_MS)
        delay = most * (0.5 + 0.5 * self._random.random())
        return [StartTimer(delay, AgainDue(number, change.turn))]

    def _failed(self, ask: int) -> list[Action]:
        number, holder, change = self._of(ask)
        return [] if change is None else self._without(number, change, holder)

    def _without(self, number: int, change: _Change, holder: str) -> list[Action]:
        """A holder can't be had; with too many of them there is no use in waiting for the deadline."""
        change.failed.add(holder)
        left = set(change.asked.asked) - change.failed
        return [] if self._majority(change, left) else self._give_up(number)

    def _give_up(self, number: int) -> list[Action]:
        if number not in self._changes:
            return []
        self._end(number)
        return [Unreached(number)]

    def _end(self, number: int) -> None:
        del self._changes[number]
        self._asks = {ask: of for ask, of in self._asks.items() if of[0] != number}
