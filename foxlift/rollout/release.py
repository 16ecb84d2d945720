"""When a change goes to the whole fleet, and when it is taken back: judged from what relays report. No I/O.

    change      what relays report                                        what is done
    unreleased  a canary refuses it                                       Revert, with its name, key and cause
    unreleased  half of the canaries, and two, fell silent when offered   Revert
    unreleased  more than half of the canaries have it for SOAK_MS        Release
    released    more than half of the canaries refuse it                  Revert

Reports that are older than FRESH_MS count no more: a zone that is lost or cut off holds nothing up, and what
it missed it gets when it is back. Without any canary nothing is released: who cannot be seen may be there.
A version is released only where nothing that was taken back later is part of the content: the fleet goes from
before a bad change to after its revert in one step.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import Report

FRESH_MS = 3000.0
SOAK_MS = 1000.0
MIN_SILENT_CANARIES = 2  # one that falls silent may have failed by itself
MAX_REPORTS = 1024


@dataclass(frozen=True, slots=True)
class Release:
    """Every version up to this one is for the whole fleet."""

    version: int


@dataclass(frozen=True, slots=True)
class Revert:
    """This version is to be taken back."""

    version: int
    reason: str


Decision = Release | Revert


@dataclass(frozen=True, slots=True)
class Reach:
    """At this time more than half of the canaries had this version in force."""

    version: int
    at: float


@dataclass(slots=True)
class ReleasePolicy:
    """One group member's judgement. Times are ms on a clock that never steps back."""

    _reports: dict[str, tuple[Report, float]] = field(default_factory=dict)  # by relay
    _reached: deque[Reach] = field(default_factory=deque)

    def record_report(self, now: float, report: Report) -> None:
        """A relay reports."""
        known = self._reports.get(report.sender)
        if known is not None and known[0].boot_epoch > report.boot_epoch:
            return  # of a process that is over
        if known is None and len(self._reports) >= MAX_REPORTS:
            return
        self._reports[report.sender] = report, now

    def recent_reports(self, now: float) -> list[Report]:
        """The latest report of each relay that was heard lately."""
        self._reports = {name: kept for name, kept in self._reports.items() if now - kept[1] <= FRESH_MS}
        return [report for report, _ in self._reports.values()]

    def decide(self, now: float, log: ConfigLog) -> Decision | None:
        """What the next entry should say, if anything."""
        reports = self.recent_reports(now)
        refused = self._refused(reports, log)
        if refused is not None:
            return refused
        if log.last_change(log.head) <= log.released:
            self._reached.clear()
            return None
        return self._silenced(reports, log) or self._released(now, reports, log)

    def _refused(self, reports: list[Report], log: ConfigLog) -> Revert | None:
        """The earliest change that a canary does not take; of those in force, one that most do not take.

        A step may hold several versions, so the one at fault is the one that has the word on the refused key.
        """
        canaries = {state.name for report in reports for state in (*report.canaries, *report.unconfirmed)}
        by: dict[int, list[tuple[str, str, str]]] = {}
        for report in reports:
            for name, refusal in report.refusals:
                if name in canaries:
                    version = log.last_writer(refusal.key, refusal.version)
                    by.setdefault(version, []).append((name, refusal.key, refusal.cause))
        for version, refusals in sorted(by.items()):
            is_enough = version > log.released or 2 * len(refusals) > len(canaries)
            if is_enough and self._may_revert(version, log):
                name, key, cause = min(refusals)
                return Revert(version, f"{name}: {key}: {cause}"[:500])
        return None

    def _silenced(self, reports: list[Report], log: ConfigLog) -> Revert | None:
        """Directors that were offered a change and are gone may be gone because of it."""
        silent = sum(state.version > log.released for report in reports for state in report.unconfirmed)
        canaries = sum(len(report.canaries) + len(report.unconfirmed) for report in reports)
        if silent < MIN_SILENT_CANARIES or 2 * silent < canaries:
            return None
        for entry in log.between(log.released, log.head):
            if self._may_revert(entry.version, log):
                return Revert(entry.version, f"{silent} of {canaries} canaries fell silent")
        return None

    @staticmethod
    def _may_revert(version: int, log: ConfigLog) -> bool:
        entry = log.entry(version)
        if entry is None or log.is_reverted(version):
            return False
        return not (entry.change.is_empty or entry.reverts)

    def _released(self, now: float, reports: list[Report], log: ConfigLog) -> Release | None:
        versions = sorted((s.version for report in reports for s in report.canaries), reverse=True)
        if not versions:
            return None
        self._note_reach(now, min(versions[len(versions) // 2], log.head))
        ready = 0
        while self._reached and now - self._reached[0].at >= SOAK_MS:
            ready = self._reached.popleft().version
        # where it was taken back, canaries are on their way to the version that did so
        if log.last_change(ready) <= log.released or not log.has_no_reverted_change(ready):
            return None
        return Release(ready)

    def _note_reach(self, now: float, version: int) -> None:
        if not self._reached or version > self._reached[-1].version:
            self._reached.append(Reach(version, now))
