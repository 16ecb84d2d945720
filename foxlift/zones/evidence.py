"""How each zone stands, judged from what directors report of it. No I/O, no clock.

    reports say                                             judgement
    too few places, or nothing recent                       UNKNOWN
    two thirds of the places outside cannot reach it, and
      nobody inside is heard, or half of them say the same  GONE: dead, or cut off from here; not told apart
      those inside are heard and serve well                 CUT: it serves its own viewers
    half of the places see it deliver less, or answer late,
      and its boxes are not simply full                     WEAK
    it delivers less and all that it gives is asked         FULL: load, no failure
    else                                                    FINE

One place is one voice: the directors of a zone are averaged first, so that fifty of them which share a broken
switch do not outvote five zones. Left out are reports that are old, of an earlier run, of a director that
stood still, hears fewer than half of its peers, or alone sees most zones broken: it is sick, not they.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from statistics import fmean

STALE_MS = 3000.0
LAG_MS = 500.0  # a loop that stood still for longer sees ghosts
MAX_REPORTS = 4096  # observers held
UNREACHED = 2 / 3
HALF = 0.5
SHORT = 0.9  # delivered share under which a zone falls short
FULL_AT = 0.95  # of what it gives is asked: then falling short is load


class ZoneHealth(Enum):
    """How a zone stands."""

    UNKNOWN = "unknown"
    FINE = "fine"
    WEAK = "weak"
    FULL = "full"
    CUT = "cut"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What one director sees of one zone. Rates are kB/s.

    `refused`, `silent`, `slow`: boxes; `delivered`: mean share of rates; `gives`: what its boxes could carry
    below their marks; `asked`: what is asked of them; `demand`: what this director's own viewers of that home
    zone ask.
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
    def unreached(self) -> bool:
        """Whether half of the servers or more refuse or are silent."""
        return self.boxes > 0 and (self.refused + self.silent) / self.boxes >= HALF

    @property
    def weak(self) -> bool:
        """Whether half of the servers are slow, or too little is delivered."""
        return self.boxes > 0 and (self.slow / self.boxes >= HALF or self.delivered < SHORT)

    @property
    def full(self) -> bool:
        """Whether the rates asked for come up to the capacity."""
        return self.gives > 0 and self.asked >= FULL_AT * self.gives


@dataclass(frozen=True, slots=True)
class Report:
    """One director's. `at`: when it was made, on the assess's clock; `heard`: share of its peers it hears."""

    observer: str
    run: int
    zone: str  # where it stands
    at: float
    lag_ms: float
    heard: float
    sights: dict[str, ZoneObservation]

    @property
    def sick(self) -> bool:
        """Whether the trouble is the observer's own, by its own account."""
        return self.lag_ms > LAG_MS or self.heard < HALF


@dataclass(frozen=True, slots=True)
class ZoneAssessment:
    """One zone's. `share`: of its demand that it can serve; rates summed over who reported, kB/s."""

    verdict: ZoneHealth
    share: float = 1.0
    gives: float = 0.0
    asked: float = 0.0
    demand: float = 0.0


@dataclass(slots=True)
class Evidence:
    """The latest report of each observer. `zones`: all of the settings."""

    zones: tuple[str, ...]
    _reports: dict[str, Report] = field(default_factory=dict)

    def add(self, report: Report) -> None:
        """Take a report in; one of an earlier run, or older than what is held, is passed over."""
        known = self._reports.get(report.observer)
        if known is not None and (report.run, report.at) <= (known.run, known.at):
            return
        if known is None and len(self._reports) >= MAX_REPORTS:
            return
        self._reports[report.observer] = report

    def forget(self, now: float) -> None:
        """Drop what is long past: the table is bounded by who reports."""
        old = [name for name, report in self._reports.items() if now - report.at > 20 * STALE_MS]
        for name in old:
            del self._reports[name]

    def __len__(self) -> int:
        return len(self._reports)

    def assess(self, now: float) -> dict[str, ZoneAssessment]:
        """Every zone as it stands now."""
        reports = [r for r in self._reports.values() if now - r.at <= STALE_MS and not r.sick]
        reports = self._without_lonely(reports)
        return {zone: self._zone(zone, reports) for zone in self.zones}

    def _without_lonely(self, reports: list[Report]) -> list[Report]:
        """Without those that see most of the other zones broken while most other places do not."""
        places: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
        for report in reports:
            for zone, sight in report.sights.items():
                places[zone][report.zone].append(sight.unreached)
        broken = {
            zone: fmean(fmean(said) for said in by_place.values()) >= HALF
            for zone, by_place in places.items()
        }

        def lonely(report: Report) -> bool:
            others = [zone for zone in report.sights if zone != report.zone]
            alone = [zone for zone in others if report.sights[zone].unreached and not broken[zone]]
            return len(others) > 1 and len(alone) > HALF * len(others)

        return [report for report in reports if not lonely(report)]

    def _zone(self, zone: str, reports: list[Report]) -> ZoneAssessment:
        inside = [r.sights[zone] for r in reports if r.zone == zone and zone in r.sights]
        outside: dict[str, list[ZoneObservation]] = defaultdict(list)
        for report in reports:
            if report.zone != zone and zone in report.sights:
                outside[report.zone].append(report.sights[zone])
        everyone = [*inside, *(sight for sights in outside.values() for sight in sights)]
        if not everyone:
            return ZoneAssessment(ZoneHealth.UNKNOWN)
        # the zone as a whole, from whoever sees most of it; demand is each director's own, so it adds up
        gives = max(sight.gives for sight in everyone)
        asked = max(sight.asked for sight in everyone)
        demand = sum(sight.demand for sight in everyone)
        unreached = (
            fmean(fmean(s.unreached for s in sights) for sights in outside.values()) if outside else 0.0
        )
        if len(outside) >= 2 and unreached >= UNREACHED:
            well = bool(inside) and fmean(sight.unreached for sight in inside) < HALF
            return ZoneAssessment(
                ZoneHealth.CUT if well else ZoneHealth.GONE, 1.0 if well else 0.0, gives, asked, demand
            )
        places = [*outside.values(), *([inside] if inside else [])]
        weak = fmean(fmean(s.weak for s in sights) for sights in places)
        if weak >= HALF:
            share = min(max(fmean(fmean(s.delivered for s in sights) for sights in places), 0.0), 1.0)
            full = fmean(fmean(s.full for s in sights) for sights in places) >= HALF
            slow = fmean(fmean(s.slow / s.boxes if s.boxes else 0.0 for s in sights) for sights in places)
            if full and slow < HALF:
                return ZoneAssessment(ZoneHealth.FULL, share, gives, asked, demand)
            return ZoneAssessment(ZoneHealth.WEAK, min(share, 1.0 - slow / 2), gives, asked, demand)
        return ZoneAssessment(ZoneHealth.FINE, 1.0, gives, asked, demand)
