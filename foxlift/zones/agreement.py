"""One plan a number: makers agree, directors follow. No I/O, no clock, random from a seed.

    maker     event                                     next      what is done
    IDLE      due, first of the makers there, and a
              plan is worth telling                     ASKS      one register: the plan it knows -> its own
    ASKS      decided                                   IDLE      followed, and told to others
    ASKS      unreached                                 WAITS     a while that doubles, half of it drawn
    WAITS     the while is over                         IDLE

    director  a plan of a higher number comes           follows it, tells others so often
    director  no word of a maker for PLANNER_TIMEOUT_MS            falls back: the module's own sight
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
from foxlift.zones.plan import OperatorOrder, Plan, Planner, read_plan, write_plan

REGISTER_KEY = "zones/plan"
PLANNING_INTERVAL_MS = 500.0
CHANGE_TIMEOUT_MS = 2000.0
RETRY_MIN_MS, RETRY_MAX_MS = 500.0, 8000.0
PLANNER_TIMEOUT_MS = 30_000.0
GOSSIP_FACTOR = 3.0  # times log2 of the fleet
GOSSIP_INTERVAL_MS = 200.0
GOSSIP_FANOUT = 3
REGISTER_END_UNIX_MS = 4_102_444_800_000  # the register's end, Unix ms: the year 2100


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class PlanningDue:
    """It is time to look."""


@dataclass(frozen=True, slots=True)
class GossipDue:
    """It is time to tell some others."""


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report of a director."""

    report: Report


@dataclass(frozen=True, slots=True)
class PlanReceived:
    """A peer told its plan; `made`: how many ms ago a maker was heard of, by its account."""

    plan: Plan
    made: float


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The directors that are there, this one among them."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """An operator's hand on a zone; None takes it back."""

    zone: str
    order: OperatorOrder | None


@dataclass(frozen=True, slots=True)
class RegisterProgress:
    """Something came of the register."""

    event: rg.ChangeProgress


Event = (
    PlanningDue
    | GossipDue
    | ReportReceived
    | PlanReceived
    | MembershipChanged
    | OrderReceived
    | RegisterProgress
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class StartTimer:
    """SendPlan this event after so long."""

    delay_ms: float
    event: PlanningDue | GossipDue


@dataclass(frozen=True, slots=True)
class SendPlan:
    """SendPlan a peer the plan; `made` as in `PlanReceived`."""

    to: str
    plan: Plan
    made: float


@dataclass(frozen=True, slots=True)
class ApplyPlan:
    """Go by this plan from now on; an empty one: by the module's own sight."""

    plan: Plan


Action = StartTimer | SendPlan | ApplyPlan | rg.Send | rg.StartTimer


class _State(Enum):
    IDLE = "idle"
    ASKS = "asks"
    WAITS = "waits"


@dataclass(slots=True)
class PlanAgreement:
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
    _wait_ms: float = RETRY_MIN_MS
    _tells: int = 0
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.seed} zones {self.name}")

    def start(self, now: float) -> list[Action]:
        """Begin to look, at a moment of the seed's choosing."""
        self._word_at = now
        first: list[Action] = [StartTimer(PLANNING_INTERVAL_MS * self._random.random(), PlanningDue())]
        return [*first, StartTimer(GOSSIP_INTERVAL_MS * self._random.random(), GossipDue())]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms on a clock that never steps back."""
        match event:
            case PlanningDue():
                return [StartTimer(PLANNING_INTERVAL_MS, PlanningDue()), *self._due(now)]
            case GossipDue():
                return [
                    StartTimer(GOSSIP_INTERVAL_MS * (0.5 + self._random.random()), GossipDue()),
                    *self._gossip(now),
                ]
            case ReportReceived(report):
                self.evidence.add(report)
                return []
            case MembershipChanged(names):
                self._there = names
                return []
            case OrderReceived(zone, order):
                self.planner.order(now, zone, order)
                return []
            case PlanReceived(plan, made):
                self._word_at = max(self._word_at, now - max(made, 0.0))
                return self._receive(now, plan)
            case RegisterProgress(inner):
                return self._carry_out_register(now, self.registers.handle(now, inner))

    # ---- Makers -------------------------------------------------------------------------------------------
    @property
    def makes(self) -> bool:
        """Whether this director is the one to propose, as far as it can see."""
        there = [maker for maker in self.makers if maker == self.name or maker in self._there]
        return bool(there) and there[0] == self.name

    def _due(self, now: float) -> list[Action]:
        out = self._check_planners(now)
        self.evidence.forget(now)
        if self._state is _State.WAITS and now >= self._again_at:
            self._state = _State.IDLE
        if self.name not in self.makers or self._state is not _State.IDLE:
            return out
        # only the one that proposes goes by its judgement: the others need not make it
        made = self.planner.next(now, self.evidence.assess(now), self.plan) if self.makes else None
        quiet = not self.makes or not self.plan.number or now - self._word_at < PLANNER_TIMEOUT_MS / 4
        if made is None and quiet:
            return out
        # without news the present plan is put once more: that it can be is the word that others wait for
        return [*out, *self._propose(now, made or self.plan)]

    def _propose(self, now: float, plan: Plan) -> list[Action]:
        self._number += 1
        self._state, self._proposed = _State.ASKS, plan
        expected = write_plan(self.plan) if self.plan.number else None
        change = rg.Change(
            self._number,
            REGISTER_KEY,
            self.makers,
            write_plan(plan),
            REGISTER_END_UNIX_MS,
            CHANGE_TIMEOUT_MS,
            expected,
        )
        return self._carry_out_register(now, self.registers.handle(now, change))

    def _carry_out_register(self, now: float, actions: list[rg.Action]) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            match action:
                case rg.Decided(_, value):
                    self._state, self._wait_ms, self._word_at = _State.IDLE, RETRY_MIN_MS, now
                    found = read_plan(value)
                    out += self._receive(now, found) if found is not None else []
                case rg.NoQuorum():
                    self._state = _State.WAITS
                    self._again_at = now + self._wait_ms * (0.5 + 0.5 * self._random.random())
                    self._wait_ms = min(self._wait_ms * 2, RETRY_MAX_MS)
                case _:
                    out.append(action)
        return out

    # ---- Followers ----------------------------------------------------------------------------------------
    def _receive(self, now: float, plan: Plan) -> list[Action]:
        """A plan only ever gives way to one of a higher number."""
        if plan.number > self.plan.number:
            self.plan = plan
            self._tells = 0
            self.fallen_back = False
            return [ApplyPlan(plan)]
        if self.fallen_back and now - self._word_at < PLANNER_TIMEOUT_MS:
            self.fallen_back = False
            return [ApplyPlan(self.plan)]
        return []

    def _check_planners(self, now: float) -> list[Action]:
        if self.fallen_back or not self.plan.number or now - self._word_at < PLANNER_TIMEOUT_MS:
            return []
        self.fallen_back = True
        return [ApplyPlan(Plan(self.plan.number))]

    def _gossip(self, now: float) -> list[Action]:
        """New plans are told often at first; later now and then, for the word that makers live."""
        count = len(self._there) - (self.name in self._there)
        if not count or not self.plan.number:
            return []
        most = GOSSIP_FACTOR * max(count + 1, 2).bit_length()
        self._tells += 1
        if self._tells > most and self._tells % 10:
            return []  # before the names are sorted: of an old plan nine times of ten end here
        others = sorted(self._there - {self.name})
        chosen = self._random.sample(others, min(GOSSIP_FANOUT, len(others)))
        return [SendPlan(name, self.plan, now - self._word_at) for name in chosen]
