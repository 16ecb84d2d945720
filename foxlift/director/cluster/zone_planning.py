"""A director's part in the common plan of zones: carries out what `foxlift.zones` decides.

It reports to the planners each second and, if it is a planner itself, agrees with the others on a plan by a
consensus register. Off where the settings name no planners (`makers`).
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Annotated, Protocol

import msgspec
from msgspec import Meta

from foxlift.consensus import Proposer, register
from foxlift.director import events
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.messages import BootEpoch, PeerName
from foxlift.zones import agreement
from foxlift.zones.evidence import Evidence, Report, ZoneObservation
from foxlift.zones.plan import OperatorOrder, Plan, Planner, ZoneState

REPORT_INTERVAL_MS = 1000.0
MIN_SHARE = 1e-6  # of a zone that is neither a target nor left by the plan
MAX_ZONES = 1000  # in one report

ZoneName = Annotated[str, Meta(min_length=1, max_length=100)]


class ReportMessage(msgspec.Struct, frozen=True):
    """A director's report; the receiver takes the time of arrival."""

    sender: PeerName
    boot_epoch: BootEpoch = msgspec.field(name="run")
    zone: ZoneName
    lag_ms: float
    reachable_share: float = msgspec.field(name="heard")
    observations: Annotated[dict[ZoneName, ZoneObservation], Meta(max_length=MAX_ZONES)] = msgspec.field(
        name="sights"
    )


class PlanMessage(msgspec.Struct, frozen=True):
    """A plan passed on. `planner_age_ms`: ms since a planner was known to be alive."""

    sender: PeerName
    boot_epoch: BootEpoch = msgspec.field(name="run")
    plan: Plan
    planner_age_ms: float = msgspec.field(name="made")


class OrderMessage(msgspec.Struct, frozen=True):
    """An operator's order; `order` None withdraws it. `sender` empty: sent by the operator."""

    zone: ZoneName
    order: OperatorOrder | None = None
    sender: Annotated[str, Meta(max_length=100)] = ""
    boot_epoch: BootEpoch = msgspec.field(default=0, name="run")


class PlanningNetwork(Protocol):
    """What the planning uses of the cluster service."""

    def notify(self, name: str, path: str, body: bytes) -> None:
        """Send a message that is repeated later."""

    def send_to_register(
        self, send: register.Send, done: Callable[[register.ResponseReceived | register.RequestFailed], None]
    ) -> None:
        """Send to a replica of the plan's register."""

    def alive(self) -> list[str]:
        """Names of the alive and suspected directors, this one first."""

    def zone_observations(self) -> dict[str, ZoneObservation]:
        """What this director observes of each zone."""

    def feed(self, event: events.Event) -> None:
        """Have the core handle an event."""


class ZonePlanning:
    """One director's part in the plan."""

    def __init__(self, context: ClusterContext, network: PlanningNetwork) -> None:
        config = context.config
        peers, zones = config.peers, config.fleet.zones
        self._context, self._config, self._network = context, config, network
        self._agreement = agreement.PlanAgreement(
            context.name,
            peers.makers,
            Planner(dict(zip(zones, peers.regions or zones, strict=True))),
            Evidence(zones),
            Proposer(f"{context.name}.{context.boot_epoch}.zones", config.seed),
            config.seed,
        )
        self._report_due_at = 0.0

    def start(self) -> None:
        """Begin to report and to plan."""
        self._carry_out(self._agreement.start(self._context.now()))
        self._report_due_at = self._context.now() + REPORT_INTERVAL_MS
        self._report()

    def _handle(self, event: agreement.Event) -> None:
        if not self._context.closed:
            self._carry_out(self._agreement.handle(self._context.now(), event))

    def _carry_out(self, actions: list[agreement.Action]) -> None:
        for action in actions:
            match action:
                case agreement.StartTimer(delay_ms, due):
                    self._context.later(delay_ms, partial(self._handle, due))
                case agreement.SendPlan(to, plan, planner_age_ms):
                    message = PlanMessage(self._context.name, self._context.boot_epoch, plan, planner_age_ms)
                    self._network.notify(to, "/peers/plan", msgspec.json.encode(message))
                case agreement.ApplyPlan(plan):
                    self._follow(plan)
                case register.Send():
                    self._network.send_to_register(action, self._register_event)
                case register.StartTimer(delay_ms, register_due):
                    self._context.later(delay_ms, partial(self._register_event, register_due))

    def _register_event(self, event: register.ChangeProgress) -> None:
        self._handle(agreement.RegisterProgress(event))

    # ---- Reports ------------------------------------------------------------------------------------------
    def _report(self) -> None:
        now = self._context.now()
        lag_ms = max(now - self._report_due_at, 0.0)
        self._report_due_at = now + REPORT_INTERVAL_MS
        self._context.later(REPORT_INTERVAL_MS, self._report)
        alive = self._network.alive()
        self._handle(agreement.MembershipChanged(frozenset(alive)))
        message = ReportMessage(
            self._context.name,
            self._context.boot_epoch,
            self._config.zone,
            lag_ms,
            len(alive) / len(self._context.members),
            self._network.zone_observations(),
        )
        self._send_report(message)

    def _send_report(self, message: ReportMessage) -> None:
        body = msgspec.json.encode(message)
        for planner in self._config.peers.makers:
            if planner == self._context.name:
                self.receive_report(message)
            else:
                self._network.notify(planner, "/peers/zones", body)

    def receive_report(self, message: ReportMessage) -> None:
        """Handle a report of a director in its present boot epoch."""
        report = Report(
            message.sender,
            message.boot_epoch,
            message.zone,
            self._context.now(),
            message.lag_ms,
            message.reachable_share,
            message.observations,
        )
        self._handle(agreement.ReportReceived(report))

    # ---- Plans and orders ---------------------------------------------------------------------------------
    def receive_plan(self, message: PlanMessage) -> None:
        """Handle a plan that a peer uses."""
        self._handle(agreement.PlanReceived(message.plan, message.planner_age_ms))

    def receive_order(self, message: OrderMessage) -> bool:
        """Handle an operator's order. False if the settings do not name the zone."""
        if message.zone not in self._config.fleet.zones:
            return False
        if not message.sender:
            self._pass_order_on(message)
        self._handle(agreement.OrderReceived(message.zone, message.order))
        return True

    def _pass_order_on(self, message: OrderMessage) -> None:
        """Send an order that the operator gave to this director to every planner."""
        context = self._context
        order = message.order and message.order.value
        context.log.warning("operator's order", zone=message.zone, order=order)
        passed = OrderMessage(message.zone, message.order, context.name, context.boot_epoch)
        for planner in self._config.peers.makers:
            if planner != context.name:
                self._network.notify(planner, "/peers/order", msgspec.json.encode(passed))

    def _follow(self, plan: Plan) -> None:
        states = {
            zone: part.state.value for zone, part in plan.zones.items() if part.state is not ZoneState.NEAR
        }
        self._context.log.info("plan", number=plan.number, zones=states)
        shares = shares_of(plan, self._config.zone, self._config.fleet.zones)
        self._network.feed(events.PlanInForce(shares))


def shares_of(plan: Plan, home: str, zones: tuple[str, ...]) -> tuple[float, ...]:
    """Where the viewers of a zone go, a share for each zone; empty if the plan changes nothing.

    Zones that are neither their own nor a target keep a tiny share, so that a title that is stored nowhere
    else is found there before a zone that the plan empties is tried.
    """
    left = {zone for zone in zones if plan.for_zone(zone).state in (ZoneState.EMPTIED, ZoneState.ALONE)}
    own = plan.for_zone(home)
    if not left and own.away <= 0:
        return ()
    shares = {zone: 0.0 if zone in left else MIN_SHARE for zone in zones}
    shares[home] = max(1.0 - own.away, MIN_SHARE)
    if own.state is ZoneState.EMPTIED and own.away > 0:
        shares[home] = 0.0
    for target, share in own.to.items():
        if target in shares:
            shares[target] = max(share, shares[target])
    return tuple(shares[zone] for zone in zones)
