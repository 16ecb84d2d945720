"""The next plan from the health of zones: how much of each zone's own demand goes elsewhere, and where to.

    zone       health, for how long                next        share of its demand that goes elsewhere
    NEAR       WEAK or FULL, CONFIRM_MS            LEANING     what it cannot serve, if others can
    NEAR       GONE, CONFIRM_MS                    EMPTIED     all that others can serve
    NEAR       CUT, CONFIRM_MS                     ALONE       nothing: it serves its own viewers only
    ALONE      FINE, WEAK or FULL, steady          NEAR
    ALONE      GONE, CONFIRM_MS                    EMPTIED
    LEANING    WEAK or FULL                        LEANING     adjusted where it changes by MIN_CHANGE
    LEANING    GONE, CONFIRM_MS                    EMPTIED
    LEANING    FINE, steady                        RETURNING
    EMPTIED    FINE, WEAK or CUT, steady           RETURNING
    RETURNING  every RETURN_STEP_MS                RETURNING   RETURN_STEP less
    RETURNING  nothing goes elsewhere any more     NEAR
    RETURNING  GONE or WEAK                        EMPTIED, LEANING
    any        UNKNOWN                             unchanged
    any        an operator's order                 EMPTIED, RETURNING or unchanged

Demand goes to the nearest zones with free capacity below MAX_FILL: zones of the same region first, then
others, in the order of the settings. No target gets more than its free capacity. What fits nowhere stays in
its zone, or is refused there by least worth, which is the module's decision. A zone is emptied only while
another one is in good health, and two are never emptied in one plan if there is no free capacity for the
second's demand.

Steady means STEADY_MS, doubled each time that the zone left again within FLAP_WINDOW_MS, up to
MAX_STEADY_FACTOR times: a flapping zone stays away.

The assignment is greedy, without a solver such as highspy for the least traffic between zones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.zones.evidence import ZoneAssessment, ZoneHealth

CONFIRM_MS = 1000.0
STEADY_MS = 5000.0
FLAP_WINDOW_MS = 60_000.0
MAX_STEADY_FACTOR = 8
RETURN_STEP_MS = 2000.0
RETURN_STEP = 0.25
MAX_FILL = 0.9  # of a zone's capacity: no plan assigns more
MIN_CHANGE = 0.05  # of a share; a smaller change makes no new plan
ORDER_LIFETIME_MS = 86_400_000.0  # an operator's order expires after a day


class ZoneState(Enum):
    """The state of a zone in a plan."""

    NEAR = "near"
    LEANING = "leaning"
    EMPTIED = "emptied"
    RETURNING = "returning"
    ALONE = "alone"


class OperatorOrder(Enum):
    """An operator's order for a zone. It takes precedence over the zone's health."""

    EMPTY = "empty"
    RETURN = "return"
    HOLD = "hold"


Name = Annotated[str, Meta(min_length=1, max_length=100)]
Share = Annotated[float, Meta(ge=0, le=1)]


class ZonePlan(msgspec.Struct, frozen=True):
    """One zone's part: the share `away` of its demand goes to the zones `to`, whose shares add up to it."""

    state: ZoneState = ZoneState.NEAR
    away: Share = 0.0
    to: dict[Name, Share] = {}


class Plan(msgspec.Struct, frozen=True):
    """The plan of all zones. A zone that it does not name is NEAR."""

    number: Annotated[int, Meta(ge=0, lt=2**53)] = 0
    zones: dict[Name, ZonePlan] = {}

    def for_zone(self, zone: str) -> ZonePlan:
        """A zone's part."""
        return self.zones.get(zone, NEAR)


NEAR = ZonePlan()


def write_plan(plan: Plan) -> str:
    """Encode a plan as its register's value."""
    return msgspec.json.encode(plan).decode()


def read_plan(text: str) -> Plan | None:
    """Decode a plan. None if unreadable."""
    try:
        return msgspec.json.decode(text, type=Plan)
    except msgspec.MsgspecError:
        return None


@dataclass(frozen=True, slots=True)
class _ActiveOrder:
    """An operator's order, and when it was given."""

    order: OperatorOrder
    since: float


@dataclass(slots=True)
class _Zone:
    health: ZoneHealth = ZoneHealth.UNKNOWN
    since: float = 0.0  # since when the health is the same
    returned_at: float = 0.0  # when its share last decreased
    left: list[float] = field(default_factory=list)  # the latest times when it left NEAR or RETURNING


@dataclass(slots=True)
class Planner:
    """Makes plans. `regions`: of each zone, in the settings' order, which is the order of nearness."""

    regions: dict[str, str]
    _zones: dict[str, _Zone] = field(default_factory=dict)
    _orders: dict[str, _ActiveOrder] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._zones = {zone: _Zone() for zone in self.regions}

    def order(self, now: float, zone: str, order: OperatorOrder | None) -> None:
        """Set an operator's order; None withdraws it. Raises KeyError for a zone not in the settings."""
        if zone not in self.regions:
            raise KeyError(zone)
        if order is None:
            self._orders.pop(zone, None)
        else:
            self._orders[zone] = _ActiveOrder(order, now)

    def next(self, now: float, assessments: dict[str, ZoneAssessment], current: Plan) -> Plan | None:
        """The plan after `current`; None where the change would be too small."""
        for zone, known in self._zones.items():
            health = assessments.get(zone, ZoneAssessment(ZoneHealth.UNKNOWN)).health
            if health is not known.health:
                known.health, known.since = health, now
        self._orders = {z: o for z, o in self._orders.items() if now - o.since < ORDER_LIFETIME_MS}
        wanted = {
            zone: self._next_state(now, zone, assessments, current.for_zone(zone)) for zone in self.regions
        }
        self._keep_one_zone(wanted, assessments, current)
        zones = self._assign_targets(wanted, assessments)
        if not any(self._is_change(zones[zone], current.for_zone(zone)) for zone in self.regions):
            return None
        for zone, planned in zones.items():
            before = current.for_zone(zone)
            if planned.away < before.away - 1e-9:
                self._zones[zone].returned_at = now
            leaves = planned.state in (ZoneState.EMPTIED, ZoneState.LEANING, ZoneState.ALONE)
            if leaves and before.state in (ZoneState.NEAR, ZoneState.RETURNING):
                self._zones[zone].left = [*self._zones[zone].left[-MAX_STEADY_FACTOR:], now]
        return Plan(current.number + 1, zones)

    # ---- One zone -----------------------------------------------------------------------------------------
    def _next_state(
        self, now: float, zone: str, assessments: dict[str, ZoneAssessment], before: ZonePlan
    ) -> tuple[ZoneState, float]:
        """The next state, and the share of demand that is to leave if there is capacity for it."""
        known, assessment = self._zones[zone], assessments.get(zone, ZoneAssessment(ZoneHealth.UNKNOWN))
        active = self._orders.get(zone)
        if active is not None and active.order is OperatorOrder.HOLD:
            return before.state, before.away
        if active is not None and active.order is OperatorOrder.EMPTY:
            return ZoneState.EMPTIED, 1.0
        if active is not None:  # RETURN: step by step, then NEAR for the order's lifetime
            return (
                (ZoneState.NEAR, 0.0) if before.state is ZoneState.NEAR else self._return(now, zone, before)
            )
        lasts = now - known.since
        match assessment.health:
            case ZoneHealth.UNKNOWN:
                return before.state, before.away
            case ZoneHealth.GONE:
                if lasts >= CONFIRM_MS or before.state is ZoneState.EMPTIED:
                    return ZoneState.EMPTIED, 1.0
                return before.state, before.away
            case ZoneHealth.WEAK | ZoneHealth.FULL if before.state not in (
                ZoneState.EMPTIED,
                ZoneState.ALONE,
            ):
                if lasts < CONFIRM_MS and before.state is ZoneState.NEAR:
                    return before.state, before.away
                return ZoneState.LEANING, self._excess_share(assessment)
            case ZoneHealth.CUT if before.state in (ZoneState.NEAR, ZoneState.ALONE):
                alone = before.state is ZoneState.ALONE or lasts >= CONFIRM_MS
                return (ZoneState.ALONE if alone else ZoneState.NEAR), 0.0
            case _:
                if before.state is ZoneState.NEAR:
                    return ZoneState.NEAR, 0.0
                if before.state is ZoneState.ALONE:
                    return (ZoneState.NEAR if lasts >= self._steady_ms(now, zone) else ZoneState.ALONE), 0.0
                if before.state is ZoneState.RETURNING:
                    return self._return(now, zone, before)
                if lasts < self._steady_ms(now, zone):
                    return before.state, before.away
                return self._return(now, zone, before)

    def _return(self, now: float, zone: str, before: ZonePlan) -> tuple[ZoneState, float]:
        """One step back towards NEAR: its boxes have cold caches, so demand returns gradually."""
        if before.state is ZoneState.RETURNING and now - self._zones[zone].returned_at < RETURN_STEP_MS:
            return ZoneState.RETURNING, before.away
        away = max(before.away - RETURN_STEP, 0.0)
        return (ZoneState.NEAR, 0.0) if away <= 0.0 else (ZoneState.RETURNING, away)

    def _excess_share(self, assessment: ZoneAssessment) -> float:
        """The share of its demand that the zone cannot serve."""
        if assessment.demand <= 0:
            return 0.0
        carries = (
            assessment.gives * MAX_FILL * (assessment.share if assessment.health is ZoneHealth.WEAK else 1.0)
        )
        return min(max(1.0 - carries / assessment.demand, 0.0), 1.0)

    def _steady_ms(self, now: float, zone: str) -> float:
        recent = sum(now - at < FLAP_WINDOW_MS for at in self._zones[zone].left)
        return STEADY_MS * min(2.0 ** max(recent - 1, 0), MAX_STEADY_FACTOR)

    def _keep_one_zone(
        self,
        wanted: dict[str, tuple[ZoneState, float]],
        assessments: dict[str, ZoneAssessment],
        current: Plan,
    ) -> None:
        """Empty no further zone where no zone would stay in good health: the evidence may be wrong."""
        good = {ZoneHealth.FINE, ZoneHealth.WEAK, ZoneHealth.FULL}
        left = [
            zone
            for zone, (state, _) in wanted.items()
            if state is not ZoneState.EMPTIED
            and assessments.get(zone, ZoneAssessment(ZoneHealth.UNKNOWN)).health in good
        ]
        if left:
            return
        for zone, (state, _) in wanted.items():
            if state is ZoneState.EMPTIED and current.for_zone(zone).state is not ZoneState.EMPTIED:
                before = current.for_zone(zone)
                wanted[zone] = before.state, before.away

    # ---- All zones ----------------------------------------------------------------------------------------
    def _assign_targets(
        self, wanted: dict[str, tuple[ZoneState, float]], assessments: dict[str, ZoneAssessment]
    ) -> dict[str, ZonePlan]:
        """Assign what leaves to other zones; what fits nowhere stays."""
        nothing = ZoneAssessment(ZoneHealth.UNKNOWN)
        room: dict[str, float] = {}
        for zone, (state, away) in wanted.items():
            assessment = assessments.get(zone, nothing)
            takes = assessment.health is ZoneHealth.FINE and state in (ZoneState.NEAR, ZoneState.RETURNING)
            keeps = assessment.demand * (1.0 - away)
            room[zone] = max(assessment.gives * MAX_FILL - keeps, 0.0) if takes and away == 0.0 else 0.0
        zones: dict[str, ZonePlan] = {}
        # emptied zones have no capacity of their own, so they go first
        for zone in sorted(
            wanted, key=lambda z: (wanted[z][0] is not ZoneState.EMPTIED, list(self.regions).index(z))
        ):
            state, away = wanted[zone]
            demand = assessments.get(zone, nothing).demand
            to: dict[str, float] = {}
            left = demand * away
            for target in self._nearest(zone):
                given = min(left, room[target])
                if given > 0:
                    room[target] -= given
                    left -= given
                    to[target] = round(given / demand, 6)
            if state is ZoneState.EMPTIED and demand <= 0:
                zones[zone] = ZonePlan(state, 1.0, {})
                continue
            gone = round(sum(to.values()), 6)
            if state is ZoneState.EMPTIED or gone > 0 or state is ZoneState.RETURNING:
                zones[zone] = ZonePlan(state, min(gone if demand > 0 else away, 1.0), to)
            else:
                zones[zone] = NEAR if state is ZoneState.NEAR else ZonePlan(state, 0.0, {})
        return zones

    def _nearest(self, zone: str) -> list[str]:
        """Zones of the same region first, then the others, each in the settings' order."""
        others = [other for other in self.regions if other != zone]
        return sorted(others, key=lambda other: self.regions[other] != self.regions[zone])

    @staticmethod
    def _is_change(one: ZonePlan, other: ZonePlan) -> bool:
        if one.state is not other.state:
            return True
        names = one.to.keys() | other.to.keys()
        apart = max((abs(one.to.get(n, 0.0) - other.to.get(n, 0.0)) for n in names), default=0.0)
        return apart >= MIN_CHANGE or abs(one.away - other.away) >= MIN_CHANGE
