"""Figures of the zone plan: a member's reports and tellings, a maker's work, time until a plan is everywhere.

Nine zones in three regions, five makers, as the fleet to plan for has them. Processor and memory are those of
one director's `Common`, fed with what a fleet of that size sends it; HTTP is not in them, its bytes are.
"""

from __future__ import annotations

import math
import sys
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "tests"))

import zones_world

from bench.scale.figures import Figure, mean_figure
from bench.scale.timing import memory_of, processor_of
from bench.scale.virtual_fleet import request_bytes
from foxlift.consensus import Proposer
from foxlift.director.cluster.zone_planning import REPORT_INTERVAL_MS, PlanMessage, ReportMessage
from foxlift.zones import agreement
from foxlift.zones.evidence import Evidence, Report, ZoneObservation
from foxlift.zones.plan import Plan, Planner, ZonePlan, ZoneState

REGION_OF_ZONE = {f"r{region}-z{zone}": f"r{region}" for region in range(3) for zone in range(3)}
MAKERS = 5
RUN = 1_800_000_000_000
REPEATS = 5
MAX_VIRTUAL_SIZE = 1_000
"""Each director goes through the whole fleet five times a second, so a fleet's work grows with its square."""
SETTLE_MS, KNOWN_WITHIN_MS = 5_000.0, 60_000.0


def names_of(size: int) -> list[str]:
    """The names of a fleet; the first are the makers."""
    return [f"d{k}" for k in range(size)]


def zone_of(number: int) -> str:
    """Directors are spread evenly over the zones."""
    return list(REGION_OF_ZONE)[number % len(REGION_OF_ZONE)]


def sights() -> dict[str, ZoneObservation]:
    """What a director in service reports: every zone, with rates as long as measured ones are."""
    sight = ZoneObservation(12, 0, 0, 1, 0.9871234567891234, 8400000.0, 5123456.789, 10234.5678)
    return dict.fromkeys(REGION_OF_ZONE, sight)


def moved_plan() -> Plan:
    """A plan that empties one zone into two others."""
    zones = list(REGION_OF_ZONE)
    return Plan(17, {zones[0]: ZonePlan(ZoneState.EMPTIED, 1.0, {zones[1]: 0.625, zones[2]: 0.375})})


def made(name: str, size: int) -> agreement.PlanAgreement:
    """A director that goes by a plan and knows that all are there."""
    director = agreement.PlanAgreement(
        name,
        tuple(names_of(size)[:MAKERS]),
        Planner(dict(REGION_OF_ZONE)),
        Evidence(tuple(REGION_OF_ZONE)),
        Proposer(f"{name}.{RUN}.zones", 1),
        1,
        plan=moved_plan(),
    )
    director.start(0.0)
    director.handle(0.0, agreement.MembershipChanged(frozenset(names_of(size))))
    return director


def member(size: int, seed: int) -> list[Figure]:
    """What a director that is no maker sends, and its work each second."""
    del seed
    names = names_of(size)
    director = made(names[-1], size)
    report = msgspec.json.encode(ReportMessage(names[-1], RUN, zone_of(size), 0.25, 1.0, sights()))
    told = msgspec.json.encode(PlanMessage(names[-1], RUN, moved_plan(), 1234.5))
    reports_a_second = MAKERS * 1000.0 / REPORT_INTERVAL_MS
    tells_a_second = agreement.GOSSIP_FANOUT * 1000.0 / agreement.GOSSIP_INTERVAL_MS
    looking = processor_of(lambda: director.handle(1.0, agreement.MembershipChanged(frozenset(names))), 50)
    telling = processor_of(lambda: _tell_new(director), 50)
    work = [
        look * 1000.0 / REPORT_INTERVAL_MS + tell * 1000.0 / agreement.GOSSIP_INTERVAL_MS
        for look, tell in zip(looking, telling, strict=True)
    ]
    return [
        Figure("reports sent to makers", "1/s", reports_a_second, 0.0),
        Figure(
            "reports sent to makers, bytes",
            "B/s",
            reports_a_second * request_bytes("/peers/zones", report),
            0.0,
        ),
        Figure("new plan told on", "1/s", tells_a_second, 0.0),
        Figure("new plan told on, bytes", "B/s", tells_a_second * request_bytes("/peers/plan", told), 0.0),
        mean_figure("processor of looking who is there and telling the plan", "s/s", work),
    ]


def _tell_new(director: agreement.PlanAgreement) -> None:
    director._gossip_rounds = 0
    director.handle(1.0, agreement.GossipDue())


def maker(size: int, seed: int) -> list[Figure]:
    """What a maker receives each second, and what it does with it."""
    del seed
    names = names_of(size)
    bodies = [
        msgspec.json.encode(ReportMessage(name, RUN, zone_of(k), 0.25, 1.0, sights()))
        for k, name in enumerate(names)
    ]
    director = made(names[0], size)
    at = 0.0

    def hear_all() -> None:
        nonlocal at
        at += REPORT_INTERVAL_MS
        for body in bodies:
            message = msgspec.json.decode(body, type=ReportMessage)
            director.handle(at, agreement.ReportReceived(_report(message, at)))

    _, memory = memory_of(hear_all)
    hearing = processor_of(hear_all, REPEATS)
    judging = processor_of(
        lambda: director.planner.next(at, director.evidence.assess(at), director.plan), REPEATS
    )
    received = sum(request_bytes("/peers/zones", body) for body in bodies) * 1000.0 / REPORT_INTERVAL_MS
    return [
        Figure("reports received", "1/s", size * 1000.0 / REPORT_INTERVAL_MS, 0.0),
        Figure("reports received, bytes", "B/s", received, 0.0),
        mean_figure(
            "processor of reading reports", "s/s", [t * 1000.0 / REPORT_INTERVAL_MS for t in hearing]
        ),
        mean_figure(
            "processor of judging zones",
            "s/s",
            [t * 1000.0 / agreement.PLANNING_INTERVAL_MS for t in judging],
        ),
        Figure("memory of reports", "B", float(memory), 0.0),
        Figure("reports that a maker has no place for", "1", float(size - len(director.evidence)), 0.0),
    ]


def _report(message: ReportMessage, at: float) -> Report:
    return Report(
        message.sender,
        message.boot_epoch,
        message.zone,
        at,
        message.lag_ms,
        message.reachable_share,
        message.observations,
    )


def known(size: int, seed: int) -> list[Figure]:
    """From the loss of a zone until every living director goes by a plan without it."""
    each = max(round(size / len(REGION_OF_ZONE)), 1)
    zones = list(REGION_OF_ZONE)
    fleet = zones_world.Fleet(
        seed,
        each=each,
        zones=dict(REGION_OF_ZONE),
        planners_in=(zones[0], zones[1], zones[3], zones[4], zones[6]),
    )
    fleet.run(SETTLE_MS)
    lost = zones[-1]
    begin, sent = fleet.now, fleet.messages
    fleet.dead_zones = {lost}
    first_99: list[float] = []

    def everywhere() -> bool:
        following = sum(fleet.followed[name].for_zone(lost).state is ZoneState.EMPTIED for name in fleet.up)
        if not first_99 and following >= math.ceil(0.99 * len(fleet.up)):
            first_99.append(fleet.now)
        return following == len(fleet.up)

    while not everywhere() and fleet.now < begin + KNOWN_WITHIN_MS:
        fleet.run(50.0)
    took = (fleet.now - begin) / 1000
    if not everywhere():
        return [Figure("a plan followed by all in time", "ratio", 0.0, 0.0)]
    return [
        Figure("a plan followed by all in time", "ratio", 1.0, 0.0),
        Figure("from a zone's loss to the plan followed by 99%", "s", (first_99[0] - begin) / 1000, 0.025),
        Figure("from a zone's loss to the plan followed by all", "s", took, 0.025),
        Figure("plan messages meanwhile", "1/s", (fleet.messages - sent) / took / len(fleet.up), 0.0),
    ]
