"""The health of each zone, assessed from the reports of directors. No I/O, no clock.

    reports say                                               health
    too few places report, or no report is recent             UNKNOWN
    two thirds of the other places cannot reach the zone, and
      no report comes from inside, or half of those from
      inside cannot reach its boxes either                    GONE: dead or cut off, indistinguishable
      reports from inside say that it serves well             CUT: it serves its own viewers
    half of the places see it deliver less or respond slowly,
      and its boxes are not just at capacity                  WEAK
    it delivers less, and all its capacity is requested       FULL: overload, not a failure
    else                                                      FINE

Each place counts once: the reports of directors in one zone are averaged first, so that fifty directors
behind one broken switch do not outvote five zones. Ignored are reports that are old or of an earlier boot
epoch, and those of directors that are probably faulty themselves: stalled, reaching fewer than half of their
peers, or alone in seeing most zones broken.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from statistics import fmean

MAX_REPORT_AGE_MS = 3000.0
MAX_LAG_MS = 500.0  # a director whose event loop stalled for longer sees timeouts of its own making
MAX_REPORTS = 4096  # directors with a stored report
UNREACHABLE_FRACTION = 2 / 3
HALF = 0.5
MIN_DELIVERED = 0.9  # delivered share; below it a zone is weak
FULL_FRACTION = 0.95  # of the capacity requested: above it a low delivery is overload


class ZoneHealth(Enum):
    """The health of a zone."""

    UNKNOWN = "unknown"
    FINE = "fine"
    WEAK = "weak"
    FULL = "full"
    CUT = "cut"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What one director observes of one zone. Rates are kB/s.

    `refused`, `silent`, `slow`: boxes that refuse connections, do not respond, or respond slowly.
    `delivered`: mean delivered share of the rates. `gives`: the capacity of its boxes below their marks.
    `asked`: what is requested of them. `demand`: what this director's own viewers of that home zone request.
    """

    boxes: int
    refused: int = 0
    silent: int = 0
    slow: int = 0
    delivered: float = 1.0
    gives: float = 0.0
    asked: float = 0.0
    demand: float = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Whether half of the servers or more refuse or are silent."""
        return self.boxes > 0 and (self.refused + self.silent) / self.boxes >= HALF

    @property
    def is_weak(self) -> bool:
        """Whether half of the servers are slow, or too little is delivered."""
        return self.boxes > 0 and (self.slow / self.boxes >= HALF or self.delivered < MIN_DELIVERED)

    @property
    def is_full(self) -> bool:
        """Whether the rates asked for come up to the capacity."""
        return self.gives > 0 and self.asked >= FULL_FRACTION * self.gives


@dataclass(frozen=True, slots=True)
class Report:
    """One director's report. `zone`: where the director runs. `at`: when it arrived at the assessing planner.

    `reachable_share`: share of its peers that the director reaches.
    """

    observer: str
    boot_epoch: int
    zone: str  # the director's own zone
    at: float
    lag_ms: float
    reachable_share: float
    observations: dict[str, ZoneObservation]

    @property
    def is_faulty(self) -> bool:
        """Whether the director's own state makes its observations unreliable."""
        return self.lag_ms > MAX_LAG_MS or self.reachable_share < HALF


@dataclass(frozen=True, slots=True)
class ZoneAssessment:
    """The result for one zone. `share`: of its demand that it can serve. Rates over all reports, kB/s."""

    health: ZoneHealth
    share: float = 1.0
    gives: float = 0.0
    asked: float = 0.0
    demand: float = 0.0


@dataclass(slots=True)
class Evidence:
    """The latest report of each director. `zones`: all zones of the settings."""

    zones: tuple[str, ...]
    _reports: dict[str, Report] = field(default_factory=dict)

    def add(self, report: Report) -> None:
        """Add a report, unless it is of an earlier boot epoch or older than the stored one."""
        latest = self._reports.get(report.observer)
        if latest is not None and (report.boot_epoch, report.at) <= (latest.boot_epoch, latest.at):
            return
        if latest is None and len(self._reports) >= MAX_REPORTS:
            return
        self._reports[report.observer] = report

    def forget(self, now: float) -> None:
        """Delete long outdated reports."""
        old = [name for name, report in self._reports.items() if now - report.at > 20 * MAX_REPORT_AGE_MS]
        for name in old:
            del self._reports[name]

    def __len__(self) -> int:
        return len(self._reports)

    def assess(self, now: float) -> dict[str, ZoneAssessment]:
        """Assess every zone."""
        reports = [r for r in self._reports.values() if now - r.at <= MAX_REPORT_AGE_MS and not r.is_faulty]
        reports = self._without_outliers(reports)
        return {zone: self._assess_zone(zone, reports) for zone in self.zones}

    def _without_outliers(self, reports: list[Report]) -> list[Report]:
        """Drop reports that see most other zones broken while most other places do not."""
        places: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
        for report in reports:
            for zone, observation in report.observations.items():
                places[zone][report.zone].append(observation.is_unreachable)
        broken = {
            zone: fmean(fmean(votes) for votes in by_place.values()) >= HALF
            for zone, by_place in places.items()
        }

        def is_outlier(report: Report) -> bool:
            others = [zone for zone in report.observations if zone != report.zone]
            alone = [zone for zone in others if report.observations[zone].is_unreachable and not broken[zone]]
            return len(others) > 1 and len(alone) > HALF * len(others)

        return [report for report in reports if not is_outlier(report)]

    def _assess_zone(self, zone: str, reports: list[Report]) -> ZoneAssessment:
        inside = [r.observations[zone] for r in reports if r.zone == zone and zone in r.observations]
        outside: dict[str, list[ZoneObservation]] = defaultdict(list)
        for report in reports:
            if report.zone != zone and zone in report.observations:
                outside[report.zone].append(report.observations[zone])
        everyone = [
            *inside,
            *(observation for observations in outside.values() for observation in observations),
        ]
        if not everyone:
            return ZoneAssessment(ZoneHealth.UNKNOWN)
        # capacity and requests: the largest view of the zone; demand: each director's own, so it is summed
        gives = max(observation.gives for observation in everyone)
        asked = max(observation.asked for observation in everyone)
        demand = sum(observation.demand for observation in everyone)
        unreachable = (
            fmean(fmean(s.is_unreachable for s in observations) for observations in outside.values())
            if outside
            else 0.0
        )
        if len(outside) >= 2 and unreachable >= UNREACHABLE_FRACTION:
            serves_own = bool(inside) and fmean(observation.is_unreachable for observation in inside) < HALF
            return ZoneAssessment(
                ZoneHealth.CUT if serves_own else ZoneHealth.GONE,
                1.0 if serves_own else 0.0,
                gives,
                asked,
                demand,
            )
        places = [*outside.values(), *([inside] if inside else [])]
        weak = fmean(fmean(s.is_weak for s in observations) for observations in places)
        if weak >= HALF:
            share = min(
                max(fmean(fmean(s.delivered for s in observations) for observations in places), 0.0), 1.0
            )
            full = fmean(fmean(s.is_full for s in observations) for observations in places) >= HALF
            slow = fmean(
                fmean(s.slow / s.boxes if s.boxes else 0.0 for s in observations) for observations in places
            )
            if full and slow < HALF:
                return ZoneAssessment(ZoneHealth.FULL, share, gives, asked, demand)
            return ZoneAssessment(ZoneHealth.WEAK, min(share, 1.0 - slow / 2), gives, asked, demand)
        return ZoneAssessment(ZoneHealth.FINE, 1.0, gives, asked, demand)
