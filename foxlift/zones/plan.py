"""The next plan from how zones stand: how much of each zone's own demand goes elsewhere, and where to.

    zone       judged, for so long               next        share of its demand that goes elsewhere
    NEAR       WEAK or FULL, CONFIRM_MS          LEANING     what it cannot carry, if others can
    NEAR       GONE, CONFIRM_MS                  EMPTIED     all that others can carry
    NEAR       CUT, CONFIRM_MS                   ALONE       nothing: it serves its own, and nobody else's
    ALONE      FINE, WEAK or FULL, steady        NEAR
    ALONE      GONE, CONFIRM_MS                  EMPTIED
    LEANING    WEAK or FULL                      LEANING     as it changes, by steps worth telling
    LEANING    GONE, CONFIRM_MS                  EMPTIED
    LEANING    FINE, steady                      RETURNING
    EMPTIED    FINE, WEAK or CUT, steady         RETURNING
    RETURNING  every STEP_MS                     RETURNING   STEP less; as little as its boxes bear
    RETURNING  nothing goes elsewhere any more   NEAR
    RETURNING  GONE or WEAK                      EMPTIED, LEANING
    any        UNKNOWN                           as it was
    any        an operator's order               EMPTIED, RETURNING or as it was

What leaves a zone goes to the nearest that has room below its mark: zones of its region first, then others,
in the order of the settings. No target is given more than its room, so what fits nowhere stays where it is,
or is refused there by least worth: the module does that. A zone is emptied only while another one is good,
and two are never emptied in one plan where the second's demand has no room left.

Steady is STEADY_MS, twice as long after each time that it was left again within FLAP_MS, up to MOST_STEADY
times: a zone that flaps stays away.

A solver for the least crossing (highspy) comes with the wiring; this greedy fill stands in where it is late.
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
FLAP_MS = 60_000.0
MOST_STEADY = 8
STEP_MS = 2000.0
STEP = 0.25
MARK = 0.9  # of what a zone gives: no plan fills it above
WORTH_TELLING = 0.05  # a smaller change of a share makes no plan
ORDER_MS = 86_400_000.0  # an operator's order that nobody took back in a day is over


class ZoneState(Enum):
    """What a plan says of a zone."""

    NEAR = "near"
    LEANING = "leaning"
    EMPTIED = "emptied"
    RETURNING = "returning"
    ALONE = "alone"


class OperatorOrder(Enum):
    """An operator's hand on a zone; it goes before evidence."""

    EMPTY = "empty"
    RETURN = "return"
    HOLD = "hold"


Name = Annotated[str, Meta(min_length=1, max_length=100)]
Share = Annotated[float, Meta(ge=0, le=1)]


class ZonePlan(msgspec.Struct, frozen=True):
    """One zone's part: `away` of its demand goes to `to`, whose shares add up to `away`."""

    state: ZoneState = ZoneState.NEAR
    away: Share = 0.0
    to: dict[Name, Share] = {}


class Plan(msgspec.Struct, frozen=True):
    """What all directors go by. A zone that it does not name is near."""

    number: Annotated[int, Meta(ge=0, lt=2**53)] = 0
    zones: dict[Name, ZonePlan] = {}

    def of(self, zone: str) -> ZonePlan:
        """A zone's part."""
        return self.zones.get(zone, NEAR)


NEAR = ZonePlan()


def write_plan(plan: Plan) -> str:
    """The plan as it is agreed on and travels."""
    return msgspec.json.encode(plan).decode()


def read_plan(text: str) -> Plan | None:
    """None where it cannot be read."""
    try:
        return msgspec.json.decode(text, type=Plan)
    except msgspec.MsgspecError:
        return None


@dataclass(frozen=True, slots=True)
class _ActiveOrder:
    """An operator's order, since when."""

    order: OperatorOrder
    since: float


@dataclass(slots=True)
class _Zone:
    verdict: ZoneHealth = ZoneHealth.UNKNOWN
    since: float = 0.0  # when it was first judged so without a break
    stepped: float = 0.0  # when its share was last lowered
    left: list[float] = field(default_factory=list)  # when it left NEAR or RETURNING, the latest few


@dataclass(slots=True)
class Planner:
    """Makes plans. `regions`: of each zone, in the order of nearness that the settings state."""

    regions: dict[str, str]
    _zones: dict[str, _Zone] = field(default_factory=dict)
    _orders: dict[str, _ActiveOrder] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._zones = {zone: _Zone() for zone in self.regions}

    def order(self, now: float, zone: str, order: OperatorOrder | None) -> None:
        """An operator's hand; None takes it back. KeyError for a zone that the settings do not name."""
        if zone not in self.regions:
            raise KeyError(zone)
        if order is None:
            self._orders.pop(zone, None)
        else:
            self._orders[zone] = _ActiveOrder(order, now)

    def next(self, now: float, judged: dict[str, ZoneAssessment], current: Plan) -> Plan | None:
        """The plan after `current`, or None where nothing is worth telling."""
        for zone, known in self._zones.items():
            verdict = judged.get(zone, ZoneAssessment(ZoneHealth.UNKNOWN)).verdict
            if verdict is not known.verdict:
                known.verdict, known.since = verdict, now
        self._orders = {z: o for z, o in self._orders.items() if now - o.since < ORDER_MS}
        wanted = {zone: self._state(now, zone, judged, current.of(zone)) for zone in self.regions}
        self._spare_the_last(wanted, judged, current)
        made = self._place(wanted, judged)
        if not any(self._differs(made[zone], current.of(zone)) for zone in self.regions):
            return None
        for zone, found in made.items():
            before = current.of(zone)
            if found.away < before.away - 1e-9:
                self._zones[zone].stepped = now
            leaves = found.state in (ZoneState.EMPTIED, ZoneState.LEANING, ZoneState.ALONE)
            if leaves and before.state in (ZoneState.NEAR, ZoneState.RETURNING):
                self._zones[zone].left = [*self._zones[zone].left[-MOST_STEADY:], now]
        return Plan(current.number + 1, made)

    # ---- One zone -----------------------------------------------------------------------------------------
    def _state(
        self, now: float, zone: str, judged: dict[str, ZoneAssessment], before: ZonePlan
    ) -> tuple[ZoneState, float]:
        """Where it goes, and the share that is to leave if there is room."""
        known, found = self._zones[zone], judged.get(zone, ZoneAssessment(ZoneHealth.UNKNOWN))
        hand = self._orders.get(zone)
        if hand is not None and hand.order is OperatorOrder.HOLD:
            return before.state, before.away
        if hand is not None and hand.order is OperatorOrder.EMPTY:
            return ZoneState.EMPTIED, 1.0
        if hand is not None:  # to return, and then to stay: whatever the evidence says
            return (
                (ZoneState.NEAR, 0.0) if before.state is ZoneState.NEAR else self._return(now, zone, before)
            )
        lasts = now - known.since
        match found.verdict:
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
                return ZoneState.LEANING, self._too_much(found)
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
        """A step back towards near: never all at once, for its boxes are cold and its caches empty."""
        if before.state is ZoneState.RETURNING and now - self._zones[zone].stepped < STEP_MS:
            return ZoneState.RETURNING, before.away
        away = max(before.away - STEP, 0.0)
        return (ZoneState.NEAR, 0.0) if away <= 0.0 else (ZoneState.RETURNING, away)

    def _too_much(self, found: ZoneAssessment) -> float:
        """The share of its demand that it cannot carry."""
        if found.demand <= 0:
            return 0.0
        carries = found.gives * MARK * (found.share if found.verdict is ZoneHealth.WEAK else 1.0)
        return min(max(1.0 - carries / found.demand, 0.0), 1.0)

    def _steady_ms(self, now: float, zone: str) -> float:
        lately = sum(now - at < FLAP_MS for at in self._zones[zone].left)
        return STEADY_MS * min(2.0 ** max(lately - 1, 0), MOST_STEADY)

    def _spare_the_last(
        self, wanted: dict[str, tuple[ZoneState, float]], judged: dict[str, ZoneAssessment], current: Plan
    ) -> None:
        """A zone is emptied only while another stays good: stale or common evidence must not empty all."""
        good = {ZoneHealth.FINE, ZoneHealth.WEAK, ZoneHealth.FULL}
        left = [
            zone
            for zone, (state, _) in wanted.items()
            if state is not ZoneState.EMPTIED
            and judged.get(zone, ZoneAssessment(ZoneHealth.UNKNOWN)).verdict in good
        ]
        if left:
            return
        for zone, (state, _) in wanted.items():
            if state is ZoneState.EMPTIED and current.of(zone).state is not ZoneState.EMPTIED:
                before = current.of(zone)
                wanted[zone] = before.state, before.away

    # ---- All zones ----------------------------------------------------------------------------------------
    def _place(
        self, wanted: dict[str, tuple[ZoneState, float]], judged: dict[str, ZoneAssessment]
    ) -> dict[str, ZonePlan]:
        """Give what leaves a place; what has none stays."""
        nothing = ZoneAssessment(ZoneHealth.UNKNOWN)
        room: dict[str, float] = {}
        for zone, (state, away) in wanted.items():
            found = judged.get(zone, nothing)
            takes = found.verdict is ZoneHealth.FINE and state in (ZoneState.NEAR, ZoneState.RETURNING)
            keeps = found.demand * (1.0 - away)
            room[zone] = max(found.gives * MARK - keeps, 0.0) if takes and away == 0.0 else 0.0
        made: dict[str, ZonePlan] = {}
        # whoever has nothing of its own left goes first
        for zone in sorted(
            wanted, key=lambda z: (wanted[z][0] is not ZoneState.EMPTIED, list(self.regions).index(z))
        ):
            state, away = wanted[zone]
            demand = judged.get(zone, nothing).demand
            to: dict[str, float] = {}
            left = demand * away
            for target in self._nearest(zone):
                given = min(left, room[target])
                if given > 0:
                    room[target] -= given
                    left -= given
                    to[target] = round(given / demand, 6)
            if state is ZoneState.EMPTIED and demand <= 0:
                made[zone] = ZonePlan(state, 1.0, {})
                continue
            gone = round(sum(to.values()), 6)
            if state is ZoneState.EMPTIED or gone > 0 or state is ZoneState.RETURNING:
                made[zone] = ZonePlan(state, min(gone if demand > 0 else away, 1.0), to)
            else:
                made[zone] = NEAR if state is ZoneState.NEAR else ZonePlan(state, 0.0, {})
        return made

    def _nearest(self, zone: str) -> list[str]:
        """Zones of its region first, then the others, each in the order of the settings."""
        others = [other for other in self.regions if other != zone]
        return sorted(others, key=lambda other: self.regions[other] != self.regions[zone])

    @staticmethod
    def _differs(one: ZonePlan, other: ZonePlan) -> bool:
        if one.state is not other.state:
            return True
        names = one.to.keys() | other.to.keys()
        apart = max((abs(one.to.get(n, 0.0) - other.to.get(n, 0.0)) for n in names), default=0.0)
        return apart >= WORTH_TELLING or abs(one.away - other.away) >= WORTH_TELLING
