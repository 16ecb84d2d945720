"""A member of the group of control servers: acceptor, proposer and, on the leader, release policy. No I/O.

Every member may propose log entries. The leader is the first member of the configured list that is alive, as
far as this member knows; it releases and reverts changes. Two members that both consider themselves leader
only cost an extra consensus round: each decision has a fixed request id and enters the log once. A proposal
that its author left unfinished is completed by any other member.
"""

from __future__ import annotations

import math

from foxlift.consensus import register as registers
from foxlift.rollout import acceptor
from foxlift.rollout.acceptor import Acceptor
from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import ChangeRequest, ChangeResponse, Heartbeat, Outcome, Report
from foxlift.rollout.proposer import EntryDecided, Proposal, ProposalFinished, Proposer
from foxlift.rollout.release import Release, ReleasePolicy, Revert

MEMBER_TIMEOUT_MS = 2000.0  # without a heartbeat for so long a member counts as down
ORPHAN_TIMEOUT_MS = 1000.0  # an accepted value is proposed again if it is not decided within this time
INTERNAL_PREFIX = "_"  # prefix of request ids that the group itself creates

Action = (
    ProposalFinished | EntryDecided | acceptor.Store | acceptor.Reply | registers.Send | registers.StartTimer
)


class GroupMember:
    """One member of the group."""

    def __init__(
        self, name: str, boot_epoch: int, members: tuple[str, ...], log: ConfigLog, seed: int
    ) -> None:
        self.name, self._members, self._log = name, members, log
        self.acceptor = Acceptor(log.head)
        self.release_policy = ReleasePolicy()
        self._proposer = Proposer(name, boot_epoch, members, log, seed)
        self._last_contact_at: dict[str, float] = {}
        self._heads: dict[str, int] = {}
        self._orphan_since: tuple[int, float] = (0, 0.0)  # version with an accepted value, and since when

    # ---- Members ------------------------------------------------------------------------------------------
    def is_leader(self, now: float) -> bool:
        """Whether all members before this one in the list are down."""
        for member in self._members:
            if member == self.name:
                return True
            if now - self._last_contact_at.get(member, -math.inf) < MEMBER_TIMEOUT_MS:
                return False
        return False

    def alive_members(self, now: float) -> list[str]:
        """Members with a recent heartbeat, and this one."""
        return [
            m
            for m in self._members
            if m == self.name or now - self._last_contact_at.get(m, -math.inf) < MEMBER_TIMEOUT_MS
        ]

    def handle_heartbeat(self, now: float, beat: Heartbeat) -> None:
        """Record another member's heartbeat."""
        if beat.sender in self._members and beat.sender != self.name:
            self._last_contact_at[beat.sender] = now
            self._heads[beat.sender] = beat.head

    def handle_report(self, now: float, report: Report) -> None:
        """Record a relay's report."""
        self.release_policy.record_report(now, report)

    # ---- Change requests ----------------------------------------------------------------------------------
    def request_change(self, now: float, correlation_id: int, request: ChangeRequest) -> list[Action]:
        """An operator's order; ProposalFinished tells what became of it."""
        if request.request_id.startswith(INTERNAL_PREFIX):
            return [_refused(correlation_id, f"request: must not begin with {INTERNAL_PREFIX}")]
        if request.withdraw and not request.change.is_empty:
            return [
                _refused(correlation_id, "a request either changes keys or withdraws a version, not both")
            ]
        proposal = Proposal(correlation_id, request.request_id, request.change, withdraw=request.withdraw)
        return list(self._proposer.propose(now, proposal))

    def handle_register_event(self, now: float, event: registers.ChangeProgress) -> list[Action]:
        """Process progress of a register that this member is changing."""
        return list(self._proposer.handle(now, event))

    def handle_acceptor_event(self, event: acceptor.Event) -> list[Action]:
        """Process another proposer's message or the result of a disk write."""
        return list(self.acceptor.handle(event))

    def handle_log_advanced(self, now: float) -> list[Action]:
        """The log has new entries."""
        self.acceptor.advance_head(self._log.head)
        return list(self._proposer.advance(now))

    # ---- Time ---------------------------------------------------------------------------------------------
    def tick(self, now: float) -> list[Action]:
        """Process a timer tick."""
        actions: list[Action] = [*self._proposer.advance(now), *self._finish_orphan(now)]
        if not self.is_leader(now):
            return actions
        match self.release_policy.decide(now, self._log):
            case Release(version):
                proposal = Proposal(0, f"{INTERNAL_PREFIX}release.{version}", release=version)
            case Revert(version, reason):
                proposal = Proposal(0, f"{INTERNAL_PREFIX}revert.{version}", withdraw=version, reason=reason)
            case None:
                return actions
        if self._proposer.is_pending(proposal.request_id):
            return actions
        return [*actions, *self._proposer.propose(now, proposal, first=True)]

    def _finish_orphan(self, now: float) -> list[Action]:
        """Complete a version that its author left unfinished; later members wait longer."""
        wait_ms = ORPHAN_TIMEOUT_MS * (1 + self._members.index(self.name))
        version = self._log.head + 1
        is_accepted = version in self.acceptor.open and self.acceptor.open[version].accepted is not None
        if not is_accepted:
            self._orphan_since = (0, 0.0)
        elif self._orphan_since[0] != version:
            self._orphan_since = (version, now)
        elif now - self._orphan_since[1] >= wait_ms and self._proposer.is_idle:
            self._orphan_since = (version, now)
            proposal = Proposal(0, f"{INTERNAL_PREFIX}repair.{version}", repair=True)
            return list(self._proposer.propose(now, proposal))
        return []


def _refused(correlation_id: int, reason: str) -> ProposalFinished:
    return ProposalFinished(correlation_id, ChangeResponse(Outcome.REFUSED, reason=reason))
