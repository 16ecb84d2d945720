"""Builds a control server's status for operators."""

from __future__ import annotations

from foxlift.control.messages import MemberStatus, RefusalStatus, RevertStatus, Status
from foxlift.rollout.messages import Report
from foxlift.rollout.server import ControlServer

MAX_REVERTS = 16


def status_of(core: ControlServer, now: float) -> Status:
    """The status; `now` in ms of the core's clock."""
    log, identity, member = core.log, core.identity, core.member
    own = core.hub.roster.report(now, identity.name, identity.boot_epoch, identity.zone, log.head)
    reports = [own] if member is None else member.release_policy.recent_reports(now)
    with_directors = [report for report in reports if report.directors]
    alive = set(member.alive_members(now)) if member is not None else set()
    return Status(
        name=identity.name,
        role="relay" if member is None else "member",
        head=log.head,
        released=log.released,
        base=log.base,
        digest=log.content.digest,
        keys=len(log.content.values),
        directors=sum(report.directors for report in with_directors),
        in_force=min((report.oldest_version for report in with_directors), default=0),
        leads=member is not None and member.is_leader(now),
        members=tuple(MemberStatus(name, name in alive) for name in identity.members) if alive else (),
        refusals=_refusals(with_directors),
        reverts=_reverts(core),
    )


def _refusals(reports: list[Report]) -> tuple[RefusalStatus, ...]:
    return tuple(
        RefusalStatus(director, refusal.version, refusal.key, refusal.cause)
        for report in reports
        for director, refusal in report.refusals
    )


def _reverts(core: ControlServer) -> tuple[RevertStatus, ...]:
    revert_entries = [entry for entry in core.log.entries if entry.reverts][-MAX_REVERTS:]
    return tuple(RevertStatus(entry.reverts, entry.version, entry.reason) for entry in revert_entries)
