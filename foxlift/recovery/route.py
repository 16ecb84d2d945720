"""Where a request goes whose token another director, or an earlier run, has claimed. No I/O, no clock.

    request   event                                       next      what is done
    (none)    Wish, its owner is there                    PASSED    to the owner, unless it was passed already
    (none)    Wish, its owner is gone, another succeeds   PASSED    to the successor, likewise
    (none)    Wish, its owner is gone, this one succeeds  ASKS      the box what became of the set-up
    (none)    Wish of an own earlier run                  ASKS      the same
    PASSED    Answered                                    (none)
    PASSED    NotPassed                                   (none)    Verdict: come back; of a hint: open
    ASKS      yours                                       (none)    Verdict: shown, adopted by now
    ASKS      another's                                   PASSED    to that one, unless it was passed already
    ASKS      ended                                       (none)    Verdict: played
    ASKS      never, by the process it was for             (none)    Verdict: open, in place of that claim
    ASKS      never, by another one                        (none)    Verdict: failed, it may have run
    ASKS      no answer, or it hears from the owner       (none)    Verdict: come back
    ASKS      the box is no more                          (none)    Verdict: failed, it may have run

A request makes one hop at most: the second director answers it or says that it cannot. Those who are told to
come back are told times apart, so that what a death sends elsewhere does not come back at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from foxlift.recovery.claims import Claim

MOST = 10_000  # requests that are on their way at once
BACK_LEAST_MS = 150.0
BACK_MOST_MS = 750.0


class Verdict(Enum):
    """What becomes of a request that is not answered elsewhere."""

    SHOW = "shown here"
    OPEN = "opened here"
    PLAYED = "its session is over"
    FAILED = "its set-up may have run"
    COME_BACK = "nobody can tell now"
    NOT_HERE = "passed on already"


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Wish:
    """A request for what `claim` names; None: a register that cannot be read.

    `hint`: the claim is the request's own word, and not a register's. `passed`: by another director.
    """

    request: int
    claim: Claim | None
    hint: bool = False
    passed: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """The other director has answered it."""

    request: int


@dataclass(frozen=True, slots=True)
class NotPassed:
    """It has not, or could not."""

    request: int


@dataclass(frozen=True, slots=True)
class BoxTold:
    """What the box's process `boot` knows: `became` as in its answer.

    What ended up to `since` (Unix ms, 0 for nothing) it may have forgotten.
    """

    request: int
    became: str
    owner: str
    since: int
    boot: str


@dataclass(frozen=True, slots=True)
class BoxSilent:
    """It did not answer, or refused; `gone`: the list does not name it any more."""

    request: int
    gone: bool = False


@dataclass(frozen=True, slots=True)
class Left:
    """The viewer has left."""

    request: int


Event = Wish | Answered | NotPassed | BoxTold | BoxSilent | Left


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class PassOn:
    """Have another director answer it."""

    request: int
    to: str


@dataclass(frozen=True, slots=True)
class AskBox:
    """Take this set-up over at its box, if its owner is heard no more, and learn what became of it."""

    request: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class Tell:
    """Answer it here. `instead_of`: the claim that was proved never to have run."""

    request: int
    verdict: Verdict
    come_back_ms: float = 0.0
    instead_of: Claim | None = None


Action = PassOn | AskBox | Tell


@dataclass(slots=True)
class Routes:
    """Requests that are on their way. `is_gone`, `successor`: as this director sees the others.

    `clocks_apart_ms`: how far the clock of a claim's writer and a box's may differ.
    """

    name: str
    seed: int
    is_gone: Callable[[str], bool]
    is_there: Callable[[str], bool]
    successor: Callable[[str, str], str]
    clocks_apart_ms: int
    _wishes: dict[int, Wish] = field(default_factory=dict)
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.seed} routes {self.name}")

    def __len__(self) -> int:
        return len(self._wishes)

    def knows(self, request: int) -> bool:
        """Whether a request is on its way."""
        return request in self._wishes

    def handle(self, event: Event) -> list[Action]:
        """Take one event in."""
        if isinstance(event, Wish):
            return self._wish(event)
        wish = self._wishes.pop(event.request, None)
        if wish is None:
            return []
        match event:
            case NotPassed():
                return self._back(wish)
            case BoxTold():
                return self._told(wish, event)
            case BoxSilent(_, gone):
                return [self._tell(wish, Verdict.FAILED)] if gone else self._back(wish)
            case _:
                return []

    def _wish(self, wish: Wish) -> list[Action]:
        claim = wish.claim
        if claim is None:
            return [self._tell(wish, Verdict.FAILED)]
        if len(self._wishes) >= MOST:
            return self._back(wish)
        if claim.owner == self.name:
            return self._ask(wish, claim)
        if not self.is_gone(claim.owner):
            if not self.is_there(claim.owner):
                return self._back(wish)  # never heard of yet: whether it lives is not known
            return self._pass(wish, claim.owner)
        successor = self.successor(claim.owner, claim.box)
        return self._ask(wish, claim) if successor == self.name else self._pass(wish, successor)

    def _pass(self, wish: Wish, to: str) -> list[Action]:
        if wish.passed:
            return [self._tell(wish, Verdict.NOT_HERE)]
        self._wishes[wish.request] = wish
        return [PassOn(wish.request, to)]

    def _ask(self, wish: Wish, claim: Claim) -> list[Action]:
        self._wishes[wish.request] = wish
        return [AskBox(wish.request, claim)]

    def _told(self, wish: Wish, told: BoxTold) -> list[Action]:
        assert wish.claim is not None
        match told.became:
            case "yours":
                return [self._tell(wish, Verdict.SHOW)]
            case "other" if told.owner != self.name:
                return self._pass(wish, told.owner)
            case "ended":
                return [self._tell(wish, Verdict.PLAYED)]
            case "never" if told.boot == wish.claim.boot and (
                not told.since or wish.claim.at > told.since + self.clocks_apart_ms
            ):
                return [Tell(wish.request, Verdict.OPEN, instead_of=wish.claim)]
            case _:
                return [self._tell(wish, Verdict.FAILED)]

    def _back(self, wish: Wish) -> list[Action]:
        if wish.hint:
            return [self._tell(wish, Verdict.OPEN)]
        if wish.passed:
            return [self._tell(wish, Verdict.NOT_HERE)]
        return [Tell(wish.request, Verdict.COME_BACK, self.come_back_ms())]

    def come_back_ms(self) -> float:
        """After how long a viewer is to come back: drawn anew for each."""
        return self._random.uniform(BACK_LEAST_MS, BACK_MOST_MS)

    def _tell(self, wish: Wish, verdict: Verdict) -> Tell:
        if wish.hint and verdict in (Verdict.FAILED, Verdict.PLAYED):
            verdict = Verdict.OPEN  # a hint settles nothing: the register does, or the class is free
        return Tell(wish.request, verdict)
