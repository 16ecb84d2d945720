"""Agreement on the zone plan: planners agree on one plan a number, directors follow it. No I/O, no clock.

    planner    event                                     next       what is done
    IDLE       due, this planner is the proposer, and    PROPOSING  register: present plan -> next plan
               the plan has changed or needs a renewal
    PROPOSING  decided                                   IDLE       the plan is applied and sent to others
    PROPOSING  no majority of the replicas               WAITING    a random back-off that doubles
    WAITING    the back-off has ended                    IDLE

    director   event                                     what is done
               a plan of a higher number arrives         applied, and sent to others a number of times
               no planner alive for PLANNER_TIMEOUT_MS   the plan is suspended: the module uses its own view
               a planner is alive again                  the last plan is applied again

All plans are successive values of one register, whose replicas are the planners, changed as in CASPaxos: plan
N + 1 is only written where plan N is found. So no two plans have the same number, whatever messages are lost
or late and whoever proposes. The proposer is the first planner that this director believes alive; that only
avoids competing proposals. No request of a viewer waits for any of this.

The register lasts for good, so a planner whose disk is lost may not answer for it again: it has to be
replaced in the settings. Token claims and plans do not share a log: claims need no order among them and have
replicas all over the fleet, plans need an order and a small fixed group. Both use the same register code.
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
GOSSIP_FACTOR = 3.0  # times log2 of the fleet: rounds in which a new plan is sent
GOSSIP_INTERVAL_MS = 200.0
GOSSIP_FANOUT = 3
REGISTER_END_UNIX_MS = 4_102_444_800_000  # the year 2100


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class PlanningDue:
    """Time to make the next plan."""


@dataclass(frozen=True, slots=True)
class GossipDue:
    """Time to send the plan to some directors."""


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report of a director."""

    report: Report


@dataclass(frozen=True, slots=True)
class PlanReceived:
    """A plan from a peer. `planner_age_ms`: how long ago the sender knew a planner to be alive."""

    plan: Plan
    planner_age_ms: float


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Names of the reachable directors, this one among them."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class OrderReceived:
    """An operator's order for a zone; None withdraws it."""

    zone: str
    order: OperatorOrder | None


@dataclass(frozen=True, slots=True)
class RegisterProgress:
    """A response or timer of the register."""

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
    """Deliver `event` after `delay_ms`."""

    delay_ms: float
    event: PlanningDue | GossipDue


@dataclass(frozen=True, slots=True)
class SendPlan:
    """Send the plan to a peer. `planner_age_ms` as in `PlanReceived`."""

    to: str
    plan: Plan
    planner_age_ms: float


@dataclass(frozen=True, slots=True)
class ApplyPlan:
    """Use this plan from now on. An empty one: the module uses its own view of zones."""

    plan: Plan


Action = StartTimer | SendPlan | ApplyPlan | rg.Send | rg.StartTimer


class _State(Enum):
    IDLE = "idle"
    PROPOSING = "asks"
    WAITING = "waits"


@dataclass(slots=True)
class PlanAgreement:
    """One director's part. `planners`: of the settings, spread over regions; most directors are none."""

    name: str
    planners: tuple[str, ...]
    planner: Planner
    evidence: Evidence
    registers: rg.Proposer
    seed: int
    plan: Plan = field(default_factory=Plan)
    fallen_back: bool = False
    _state: _State = _State.IDLE
    _reachable: frozenset[str] = frozenset()
    _planner_contact_at: float = (
        -1e18
    )  # when a planner was last known to be alive, directly or through others
    _last_change: int = 0
    _proposed: Plan | None = None
    _retry_at: float = 0.0
    _wait_ms: float = RETRY_MIN_MS
    _gossip_rounds: int = 0
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.seed} zones {self.name}")

    def start(self, now: float) -> list[Action]:
        """Start the timers, at random moments."""
        self._planner_contact_at = now
        first: list[Action] = [StartTimer(PLANNING_INTERVAL_MS * self._random.random(), PlanningDue())]
        return [*first, StartTimer(GOSSIP_INTERVAL_MS * self._random.random(), GossipDue())]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; `now` in ms on a clock that never steps back."""
        match event:
            case PlanningDue():
                return [StartTimer(PLANNING_INTERVAL_MS, PlanningDue()), *self._plan_next(now)]
            case GossipDue():
                return [
                    StartTimer(GOSSIP_INTERVAL_MS * (0.5 + self._random.random()), GossipDue()),
                    *self._gossip(now),
                ]
            case ReportReceived(report):
                self.evidence.add(report)
                return []
            case MembershipChanged(names):
                self._reachable = names
                return []
            case OrderReceived(zone, order):
                self.planner.order(now, zone, order)
                return []
            case PlanReceived(plan, planner_age_ms):
                self._planner_contact_at = max(self._planner_contact_at, now - max(planner_age_ms, 0.0))
                return self._receive(now, plan)
            case RegisterProgress(inner):
                return self._carry_out_register(now, self.registers.handle(now, inner))

    # ---- Makers -------------------------------------------------------------------------------------------
    @property
    def is_proposer(self) -> bool:
        """Whether this director is the planner that proposes, in its own view."""
        alive = [planner for planner in self.planners if planner == self.name or planner in self._reachable]
        return bool(alive) and alive[0] == self.name

    def _plan_next(self, now: float) -> list[Action]:
        actions = self._check_planners(now)
        self.evidence.forget(now)
        if self._state is _State.WAITING and now >= self._retry_at:
            self._state = _State.IDLE
        if self.name not in self.planners or self._state is not _State.IDLE:
            return actions
        # only the proposer uses the assessment, so the others do not compute it
        next_plan = self.planner.next(now, self.evidence.assess(now), self.plan) if self.is_proposer else None
        quiet = (
            not self.is_proposer
            or not self.plan.number
            or now - self._planner_contact_at < PLANNER_TIMEOUT_MS / 4
        )
        if next_plan is None and quiet:
            return actions
        # an unchanged plan is written again: success shows that a majority of planners is alive
        return [*actions, *self._propose(now, next_plan or self.plan)]

    def _propose(self, now: float, plan: Plan) -> list[Action]:
        self._last_change += 1
        self._state, self._proposed = _State.PROPOSING, plan
        expected = write_plan(self.plan) if self.plan.number else None
        change = rg.Change(
            self._last_change,
            REGISTER_KEY,
            self.planners,
            write_plan(plan),
            REGISTER_END_UNIX_MS,
            CHANGE_TIMEOUT_MS,
            expected,
        )
        return self._carry_out_register(now, self.registers.handle(now, change))

    def _carry_out_register(self, now: float, actions: list[rg.Action]) -> list[Action]:
        results: list[Action] = []
        for action in actions:
            match action:
                case rg.Decided(_, value):
                    self._state, self._wait_ms, self._planner_contact_at = _State.IDLE, RETRY_MIN_MS, now
                    found = read_plan(value)
                    results += self._receive(now, found) if found is not None else []
                case rg.NoQuorum():
                    self._state = _State.WAITING
                    self._retry_at = now + self._wait_ms * (0.5 + 0.5 * self._random.random())
                    self._wait_ms = min(self._wait_ms * 2, RETRY_MAX_MS)
                case _:
                    results.append(action)
        return results

    # ---- Followers ----------------------------------------------------------------------------------------
    def _receive(self, now: float, plan: Plan) -> list[Action]:
        """Apply a plan if its number is higher than the present one's."""
        if plan.number > self.plan.number:
            self.plan = plan
            self._gossip_rounds = 0
            self.fallen_back = False
            return [ApplyPlan(plan)]
        if self.fallen_back and now - self._planner_contact_at < PLANNER_TIMEOUT_MS:
            self.fallen_back = False
            return [ApplyPlan(self.plan)]
        return []

    def _check_planners(self, now: float) -> list[Action]:
        if self.fallen_back or not self.plan.number or now - self._planner_contact_at < PLANNER_TIMEOUT_MS:
            return []
        self.fallen_back = True
        return [ApplyPlan(Plan(self.plan.number))]

    def _gossip(self, now: float) -> list[Action]:
        """Send a new plan often, later one in ten rounds to show that a planner is alive."""
        others_count = len(self._reachable) - (self.name in self._reachable)
        if not others_count or not self.plan.number:
            return []
        max_rounds = GOSSIP_FACTOR * max(others_count + 1, 2).bit_length()
        self._gossip_rounds += 1
        if self._gossip_rounds > max_rounds and self._gossip_rounds % 10:
            return []  # before the names are sorted, as nine of ten rounds of an old plan end here
        others = sorted(self._reachable - {self.name})
        chosen = self._random.sample(others, min(GOSSIP_FANOUT, len(others)))
        return [SendPlan(name, self.plan, now - self._planner_contact_at) for name in chosen]
