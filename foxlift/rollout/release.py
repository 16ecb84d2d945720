"""Decides from relays' reports when a change is released to the whole fleet or reverted. No I/O.

    change      relays report                                             what is done
    unreleased  a canary refuses it                                       Revert, with its name, key and cause
    unreleased  half of the canaries, at least two, silent after offer    Revert
    unreleased  more than half of the canaries had it for SOAK_MS         Release
    released    more than half of the canaries refuse it                  Revert

Reports older than MAX_REPORT_AGE_MS are ignored: a lost or disconnected zone delays no change, and gets what
it missed once it is back. Without any canary nothing is released: directors may be running although no report
of them arrives. A version is not released if its content holds a change that a later version reverts: the
fleet goes from before a bad change to after its revert in one step.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import Report

MAX_REPORT_AGE_MS = 3000.0
SOAK_MS = 1000.0
MIN_SILENT_CANARIES = 2  # a single one may have failed for another reason
MAX_REPORTS = 1024


@dataclass(frozen=True, slots=True)
class Release:
    """Release every version up to this one to the whole fleet."""

    version: int


@dataclass(frozen=True, slots=True)
class Revert:
    """Revert this version."""

    version: int
    reason: str


Decision = Release | Revert


@dataclass(frozen=True, slots=True)
class MajorityReached:
    """From this time on, more than half of the canaries had applied this version."""

    version: int
    at: float


@dataclass(slots=True)
class ReleasePolicy:
    """The release policy of one group member. Times are in ms of a monotonic clock."""

    _reports: dict[str, tuple[Report, float]] = field(default_factory=dict)  # by relay
    _majorities: deque[MajorityReached] = field(default_factory=deque)

    def record_report(self, now: float, report: Report) -> None:
        """Record a relay's report."""
        previous = self._reports.get(report.sender)
        if previous is not None and previous[0].boot_epoch > report.boot_epoch:
            return  # sent before the relay's restart
        if previous is None and len(self._reports) >= MAX_REPORTS:
            return
        self._reports[report.sender] = report, now

    def recent_reports(self, now: float) -> list[Report]:
        """The latest report of each relay, without outdated ones."""
        self._reports = {
            name: entry for name, entry in self._reports.items() if now - entry[1] <= MAX_REPORT_AGE_MS
        }
        return [report for report, _ in self._reports.values()]

    def decide(self, now: float, log: ConfigLog) -> Decision | None:
        """The release or revert that is due, if any."""
        reports = self.recent_reports(now)
        refused = self._revert_refused(reports, log)
        if refused is not None:
            return refused
        if log.last_change(log.head) <= log.released:
            self._majorities.clear()
            return None
        return self._revert_silencing(reports, log) or self._next_release(now, reports, log)

    def _revert_refused(self, reports: list[Report], log: ConfigLog) -> Revert | None:
        """The earliest unreleased change that a canary refuses, or released change that most canaries refuse.

        A step may cover several versions; the refused one is the last that wrote the refused key.
        """
        canaries = {state.name for report in reports for state in (*report.canaries, *report.unconfirmed)}
        refusals_of: dict[int, list[tuple[str, str, str]]] = {}
        for report in reports:
            for name, refusal in report.refusals:
                if name in canaries:
                    version = log.last_writer(refusal.key, refusal.version)
                    refusals_of.setdefault(version, []).append((name, refusal.key, refusal.cause))
        for version, refusals in sorted(refusals_of.items()):
            is_enough = version > log.released or 2 * len(refusals) > len(canaries)
            if is_enough and self._may_revert(version, log):
                name, key, cause = min(refusals)
                return Revert(version, f"{name}: {key}: {cause}"[:500])
        return None

    def _revert_silencing(self, reports: list[Report], log: ConfigLog) -> Revert | None:
        """Revert the first unreleased change if many canaries are silent: it may have crashed them."""
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

    def _next_release(self, now: float, reports: list[Report], log: ConfigLog) -> Release | None:
        versions = sorted((s.version for report in reports for s in report.canaries), reverse=True)
        if not versions:
            return None
        self._record_majority(now, min(versions[len(versions) // 2], log.head))
        ready = 0
        while self._majorities and now - self._majorities[0].at >= SOAK_MS:
            ready = self._majorities.popleft().version
        # if it is reverted, canaries are about to apply the reverting version
        if log.last_change(ready) <= log.released or not log.has_no_reverted_change(ready):
            return None
        return Release(ready)

    def _record_majority(self, now: float, version: int) -> None:
        if not self._majorities or version > self._majorities[-1].version:
            self._majorities.append(MajorityReached(version, now))
