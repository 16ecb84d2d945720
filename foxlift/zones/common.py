"""One plan a number: makers agree, directors follow. No I/O, no clock, random from a seed.

    maker     event                                     next      what is done
    IDLE      due, first of the makers there, and a
              plan is worth telling                     ASKS      one register: the plan it knows -> its own
    ASKS      decided                                   IDLE      followed, and told to others
    ASKS      unreached                                 WAITS     a while that doubles, half of it drawn
    WAITS     the while is over                         IDLE

    director  a plan of a higher number comes           follows it, tells others so often
    director  no word of a maker for KEEP_MS            falls back: the module's own sight
    director  word again                                follows what it knows

All plans are successive values of one register, held by the stated makers alone and changed as in CASPaxos:
plan N + 1 is only put where plan N is held, so no two plans ever have one number, whatever is lost, late or
cut, and whoever proposes. Who is first among the makers by this director's view is a hint against duels.
Nothing that serves viewers waits for any of this.

The makers' register lasts for good, so a maker whose disk is lost may not vouch for it again: it is to be
replaced in the settings. One log for claims and plans was weighed: claims need no order among them, and their
holders are drawn from the whole fleet; plans need an order and a small stated group. They share the machine.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from foxlift.consensus import register as rg
from foxlift.zones.evidence import Evidence, Report
from foxlift.zones.plan import Order, Plan, Planner, read_plan, write_plan

KEY = "zones/plan"
EVERY_MS = 500.0
WITHIN_MS = 2000.0
AGAIN_MS, AGAIN_MOST_MS = 500.0, 8000.0
KEEP_MS = 30_000.0
TELL_TIMES = 3.0  # times log2 of the fleet
TELL_MS = 200.0
TELL_TO = 3
LASTS_MS = 4_102_444_800_000  # the register's end, Unix ms: the year 2100


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Due:
    """It is time to look."""


@dataclass(frozen=True, slots=True)
class TellDue:
    """It is time to tell some others."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A report of a director."""

    report: Report


@dataclass(frozen=True, slots=True)
class Told:
    """A peer told its plan; `made`: how many ms ago a maker was heard of, by its account."""

    plan: Plan
    made: float


@dataclass(frozen=True, slots=True)
class There:
    """The directors that are there, this one among them."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Ordered:
    """An operator's hand on a zone; None takes it back."""

    zone: str
    order: Order | None


@dataclass(frozen=True, slots=True)
class OfRegister:
    """Something came of the register."""

    event: rg.ChangeProgress


Event = Due | TellDue | Heard | Told | There | Ordered | OfRegister


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class StartTimer:
    """Tell this event after so long."""

    delay_ms: float
    event: Due | TellDue


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell a peer the plan; `made` as in `Told`."""

    to: str
    plan: Plan
    made: float


@dataclass(frozen=True, slots=True)
class Follow:
    """Go by this plan from now on; an empty one: by the module's own sight."""

    plan: Plan


Action = StartTimer | Tell | Follow | rg.Send | rg.StartTimer


class _State(Enum):
    IDLE = "idle"
    ASKS = "asks"
    WAITS = "waits"


@dataclass(slots=True)
class Common:
    """One director's part. `makers`: of the settings, spread over regions; most directors are none."""

    name: str
    makers: tuple[str, ...]
    planner: Planner
    evidence: Evidence
    registers: rg.Proposer
    seed: int
    plan: Plan = field(default_factory=Plan)
    fallen_back: bool = False
    _state: _State = _State.IDLE
    _there: frozenset[str] = frozenset()
    _word_at: float = -1e18  # when a maker was last heard of, directly or through others
    _number: int = 0
    _proposed: Plan | None = None
    _again_at: float = 0.0
    _wait_ms: float = AGAIN_MS
    _tells: int = 0
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.seed} zones {self.name}")

    def start(self, now: float) -> list[Action]:
        """Begin to look, at a moment of the seed's choosing."""
        self._word_at = now
        first: list[Action] = [StartTimer(EVERY_MS * self._random.random(), Due())]
        return [*first, StartTimer(TELL_MS * self._random.random(), TellDue())]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms on a clock that never steps back."""
        match event:
            case Due():
                return [StartTimer(EVERY_MS, Due()), *self._due(now)]
            case TellDue():
                return [StartTimer(TELL_MS * (0.5 + self._random.random()), TellDue()), *self._tell(now)]
            case Heard(report):
                self.evidence.hear(report)
                return []
            case There(names):
                self._there = names
                return []
            case Ordered(zone, order):
                self.planner.order(now, zone, order)
                return []
            case Told(plan, made):
                self._word_at = max(self._word_at, now - max(made, 0.0))
                return self._learn(now, plan)
            case OfRegister(inner):
                return self._came(now, self.registers.handle(now, inner))

    # ---- Makers -------------------------------------------------------------------------------------------
    @property
    def makes(self) -> bool:
        """Whether this director is the one to propose, as far as it can see."""
        there = [maker for maker in self.makers if maker == self.name or maker in self._there]
        return bool(there) and there[0] == self.name

    def _due(self, now: float) -> list[Action]:
        out = self._perhaps_fall_back(now)
        self.evidence.forget(now)
        if self._state is _State.WAITS and now >= self._again_at:
            self._state = _State.IDLE
        if self.name not in self.makers or self._state is not _State.IDLE:
            return out
        # only the one that proposes goes by its judgement: the others need not make it
        made = self.planner.next(now, self.evidence.judge(now), self.plan) if self.makes else None
        quiet = not self.makes or not self.plan.number or now - self._word_at < KEEP_MS / 4
        if made is None and quiet:
            return out
        # without news the present plan is put once more: that it can be is the word that others wait for
        return [*out, *self._propose(now, made or self.plan)]

    def _propose(self, now: float, plan: Plan) -> list[Action]:
        self._number += 1
        self._state, self._proposed = _State.ASKS, plan
        expected = write_plan(self.plan) if self.plan.number else None
        change = rg.Change(self._number, KEY, self.makers, write_plan(plan), LASTS_MS, WITHIN_MS, expected)
        return self._came(now, self.registers.handle(now, change))

    def _came(self, now: float, actions: list[rg.Action]) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            match action:
                case rg.Decided(_, value):
                    self._state, self._wait_ms, self._word_at = _State.IDLE, AGAIN_MS, now
                    found = read_plan(value)
                    out += self._learn(now, found) if found is not None else []
                case rg.NoQuorum():
                    self._state = _State.WAITS
                    self._again_at = now + self._wait_ms * (0.5 + 0.5 * self._random.random())
                    self._wait_ms = min(self._wait_ms * 2, AGAIN_MOST_MS)
                case _:
                    out.append(action)
        return out

    # ---- Followers ----------------------------------------------------------------------------------------
    def _learn(self, now: float, plan: Plan) -> list[Action]:
        """A plan only ever gives way to one of a higher number."""
        if plan.number > self.plan.number:
            self.plan = plan
            self._tells = 0
            self.fallen_back = False
            return [Follow(plan)]
        if self.fallen_back and now - self._word_at < KEEP_MS:
            self.fallen_back = False
            return [Follow(self.plan)]
        return []

    def _perhaps_fall_back(self, now: float) -> list[Action]:
        if self.fallen_back or not self.plan.number or now - self._word_at < KEEP_MS:
            return []
        self.fallen_back = True
        return [Follow(Plan(self.plan.number))]

    def _tell(self, now: float) -> list[Action]:
        """New plans are told often at first; later now and then, for the word that makers live."""
        count = len(self._there) - (self.name in self._there)
        if not count or not self.plan.number:
            return []
        most = TELL_TIMES * max(count + 1, 2).bit_length()
        self._tells += 1
        if self._tells > most and self._tells % 10:
            return []  # before the names are sorted: of an old plan nine times of ten end here
        others = sorted(self._there - {self.name})
        chosen = self._random.sample(others, min(TELL_TO, len(others)))
        return [Tell(name, self.plan, now - self._word_at) for name in chosen]
