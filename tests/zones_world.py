"""Directors in zones, a group of planners, and their messages, in virtual time with faults."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from foxlift.consensus import Proposer, Record, Replica
from foxlift.consensus import register as rg
from foxlift.consensus import replica as rp
from foxlift.zones import agreement as ag
from foxlift.zones.evidence import Evidence, Report, ZoneObservation
from foxlift.zones.plan import Plan, Planner, ZoneState, read_plan, write_plan

ZONES = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west", "w2": "west"}
GIVES, DEMAND = 1000.0, 500.0  # of a zone, kB/s


@dataclass
class Fleet:
    """`each` directors a zone; the planners are the first director of some zones."""

    seed: int
    each: int = 2
    zones: dict[str, str] = field(default_factory=lambda: dict(ZONES))
    planners_in: tuple[str, ...] = ("n1", "n2", "s1", "s2", "w1")
    loss: float = 0.02
    make_proposer: type[Proposer] = Proposer
    make_agreement: type[ag.PlanAgreement] = ag.PlanAgreement
    now: float = 0.0
    dead_zones: set[str] = field(default_factory=set)
    weak: dict[str, float] = field(default_factory=dict)  # zones and what they deliver
    cut: set[tuple[str, str]] = field(default_factory=set)  # zones, from and to
    load: float = 1.0
    up: set[str] = field(default_factory=set)
    followed: dict[str, Plan] = field(default_factory=dict)
    by_number: dict[int, set[str]] = field(default_factory=dict)
    changes: list[tuple[float, str, Plan]] = field(default_factory=list)
    messages: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.zone_of = {f"{zone}-{k}": zone for zone in self.zones for k in range(self.each)}
        self.names = list(self.zone_of)
        self.planners = tuple(f"{zone}-0" for zone in self.planners_in)
        self.disks: dict[str, dict[str, Record]] = {planner_name: {} for planner_name in self.planners}
        self.replicas: dict[str, Replica] = {}
        self.runs = dict.fromkeys(self.names, 0)
        self.members: dict[str, ag.PlanAgreement] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.runs[name] += 1
        self.up.add(name)
        registers = self.make_proposer(f"{name}.{self.runs[name]}", self.seed)
        planner, evidence = Planner(dict(self.zones)), Evidence(tuple(self.zones))
        made = self.make_agreement(name, self.planners, planner, evidence, registers, self.seed)
        self.members[name] = made
        if name in self.planners:
            self.replicas[name] = Replica(ag.REGISTER_END_UNIX_MS, 1000, 0, dict(self.disks[name]))
        self.followed[name] = Plan()
        self.do(name, made, made.start(self.now))
        self.report(name, made)

    def kill(self, name: str) -> None:
        self.up.discard(name)

    # ---- Time and messages --------------------------------------------------------------------------------
    def later(self, delay: float, then: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, then))

    def run(self, ms: float, until: Callable[[], bool] | None = None) -> float:
        end = self.now + ms
        while self._queue and self._queue[0][0] <= end:
            self.now, _, then = heapq.heappop(self._queue)
            then()
            if until is not None and until():
                return self.now
        self.now = end
        return end

    def reaches(self, a: str, b: str) -> bool:
        za, zb = self.zone_of[a], self.zone_of[b]
        return (za, zb) not in self.cut and self.random.random() >= self.loss

    def send(self, a: str, b: str, then: Callable[[], None]) -> None:
        self.messages += 1
        if a == b:
            self.later(0.1, then)
        elif self.reaches(a, b):
            self.later(self.random.choice((1.0, 3.0, 3.0, 20.0)), lambda: then() if b in self.up else None)
            if self.random.random() < 0.02:
                self.later(900.0, lambda: then() if b in self.up else None)  # once more, late

    def tell(self, name: str, member: ag.PlanAgreement, event: ag.Event) -> None:
        if self.members[name] is member and name in self.up:
            self.do(name, member, member.handle(self.now, event))

    def do(self, name: str, member: ag.PlanAgreement, actions: list[ag.Action]) -> None:
        for action in actions:
            match action:
                case ag.StartTimer(delay, event):
                    self.later(delay, lambda e=event: self.tell(name, member, e))  # type: ignore[misc]
                case ag.SendPlan(to, plan, made):
                    told = ag.PlanReceived(plan, made)
                    self.send(name, to, lambda t=to, e=told: self.tell(t, self.members[t], e))  # type: ignore[misc]
                case ag.ApplyPlan(plan):
                    self.followed[name] = plan
                    self.changes.append((self.now, name, plan))
                    if not member.fallen_back:
                        self.by_number.setdefault(plan.number, set()).add(write_plan(plan))
                case rg.Send():
                    self.send(name, action.to, lambda s=action: self.asked(name, member, s))  # type: ignore[misc]
                case rg.StartTimer(delay, event):
                    inner = ag.RegisterProgress(event)
                    self.later(delay, lambda e=inner: self.tell(name, member, e))  # type: ignore[misc]

    def asked(self, name: str, member: ag.PlanAgreement, send: rg.Send) -> None:
        replica = self.replicas[send.to]
        self._order += 1
        for action in replica.handle(self.now, rp.RequestReceived(self._order, send.message)):
            self.replica_does(name, member, send, replica, action)

    def replica_does(
        self, name: str, member: ag.PlanAgreement, send: rg.Send, replica: Replica, action: rp.Action
    ) -> None:
        match action:
            case rp.Store(request, record):

                def lasts() -> None:
                    if self.replicas[send.to] is not replica or send.to not in self.up:
                        return
                    self.disks[send.to][record.key] = record
                    for more in replica.handle(self.now, rp.Stored(request)):
                        self.replica_does(name, member, send, replica, more)

                self.later(2.0, lasts)
            case rp.Reply(_, message):
                event = ag.RegisterProgress(rg.ResponseReceived(send.request_id, message))
                self.send(send.to, name, lambda: self.tell(name, member, event))

    # ---- Observations -------------------------------------------------------------------------------------
    def observation(self, name: str, zone: str) -> ZoneObservation:
        home = self.zone_of[name]
        unreached = (home, zone) in self.cut or zone in self.dead_zones
        delivered = self.weak.get(zone, 1.0)
        demand = DEMAND * self.load / self.each if home == zone else 0.0
        silent = 4 if unreached else 0
        return ZoneObservation(4, 0, silent, 0, delivered, GIVES, DEMAND * self.load, demand)

    def report(self, name: str, member: ag.PlanAgreement) -> None:
        """Report every second to all reachable planners, as the cluster service does."""
        if self.members[name] is not member or name not in self.up:
            return
        there = frozenset(
            other
            for other in self.up
            if other == name or (self.zone_of[name], self.zone_of[other]) not in self.cut
        )
        self.tell(name, member, ag.MembershipChanged(there))
        heard = len(there) / len(self.names)
        sights = {zone: self.observation(name, zone) for zone in self.zones}
        for to in self.planners:
            made = Report(name, self.runs[name], self.zone_of[name], self.now, 0.0, heard, sights)
            heard_event = ag.ReportReceived(made)
            self.send(name, to, lambda m=to, e=heard_event: self.tell(m, self.members[m], e))  # type: ignore[misc]
        self.later(1000.0, lambda: self.report(name, member))

    def all_follow(self, zone: str, state: object, without: set[str] | None = None) -> bool:
        left = [n for n in self.up if self.zone_of[n] not in (without or set())]
        return all(self.followed[name].for_zone(zone).state is state for name in left)


def anything(seed: int, **more: type) -> Fleet:
    """Three zones of one director each, all planners, under random faults."""
    chance = random.Random(f"zones {seed}")
    zones = {"a": "x", "b": "y", "c": "z"}
    fleet = Fleet(seed, each=1, zones=zones, planners_in=("a", "b", "c"), loss=0.1, **more)  # type: ignore[arg-type]
    for _ in range(8):
        what = chance.randrange(5)
        zone, other = chance.choice("abc"), chance.choice("abc")
        name = chance.choice(fleet.names)
        if what == 0:
            fleet.dead_zones ^= {zone}
        elif what == 1 and zone != other:
            fleet.cut ^= {(zone, other)}
        elif what == 2 and name in fleet.up:
            fleet.kill(name)
        elif what == 2:
            fleet.start(name)
        elif what == 3:
            fleet.cut = set()
        fleet.run(chance.choice((300.0, 900.0, 1700.0)))
    return fleet


def broken(fleet: Fleet) -> bool:
    """Whether two plans had one number, or a plan emptied every zone."""
    for texts in fleet.by_number.values():
        plan = read_plan(next(iter(texts)))
        if (
            len(texts) > 1
            or plan is None
            or all(plan.for_zone(z).state is ZoneState.EMPTIED for z in fleet.zones)
        ):
            return True
    return False
