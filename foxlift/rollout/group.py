"""A member of the group of control servers: acceptor, proposer, and whoever leads judges releases. No I/O.

Every member may put entries into the log. The first of the group that is alive, as a member sees it, leads:
it releases and reverts changes. Two members that both take themselves for the leader cost a round, and
nothing else: the log holds each decision once. What an author left half done when it died, any finishes.
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

ALIVE_MS = 2000.0  # a member that was heard so long ago does not lead
ORPHAN_MS = 1000.0  # a value that was taken, and not known to be decided for so long, is finished
INTERNAL = "_"  # how requests of the group's own begin

Action = (
    ProposalFinished | EntryDecided | acceptor.Store | acceptor.Reply | registers.Send | registers.StartTimer
)


class GroupMember:
    """One member. `trusted` says whether its disk is the one that it had before."""

    def __init__(
        self, name: str, boot_epoch: int, members: tuple[str, ...], log: ConfigLog, seed: int
    ) -> None:
        self.name, self._members, self._log = name, members, log
        self.acceptor = Acceptor(log.head)
        self.release_policy = ReleasePolicy()
        self._proposer = Proposer(name, boot_epoch, members, log, seed)
        self._heard: dict[str, float] = {}
        self._heads: dict[str, int] = {}
        self._orphan: tuple[int, float] = (0, 0.0)  # a version with a value taken, and since when

    # ---- Who is there -------------------------------------------------------------------------------------
    def is_leader(self, now: float) -> bool:
        """Whether no member before this one was heard lately."""
        for member in self._members:
            if member == self.name:
                return True
            if now - self._heard.get(member, -math.inf) < ALIVE_MS:
                return False
        return False

    def alive_members(self, now: float) -> list[str]:
        """Members that were heard lately, this one among them."""
        return [m for m in self._members if m == self.name or now - self._heard.get(m, -math.inf) < ALIVE_MS]

    def handle_heartbeat(self, now: float, beat: Heartbeat) -> None:
        """Another member is alive."""
        if beat.sender in self._members and beat.sender != self.name:
            self._heard[beat.sender] = now
            self._heads[beat.sender] = beat.head

    def handle_report(self, now: float, report: Report) -> None:
        """A relay reports."""
        self.release_policy.record_report(now, report)

    # ---- Orders -------------------------------------------------------------------------------------------
    def request_change(self, now: float, correlation_id: int, request: ChangeRequest) -> list[Action]:
        """An operator's order; ProposalFinished tells what became of it."""
        if request.request_id.startswith(INTERNAL):
            return [_refused(correlation_id, f"request: must not begin with {INTERNAL}")]
        if request.withdraw and not request.change.is_empty:
            return [_refused(correlation_id, "an order either changes or withdraws")]
        proposal = Proposal(correlation_id, request.request_id, request.change, withdraw=request.withdraw)
        return list(self._proposer.propose(now, proposal))

    def handle_register_event(self, now: float, event: registers.ChangeProgress) -> list[Action]:
        """Something came of a register that this member changes."""
        return list(self._proposer.handle(now, event))

    def handle_acceptor_event(self, event: acceptor.Event) -> list[Action]:
        """Another proposer's message, or word of the disk."""
        return list(self.acceptor.handle(event))

    def handle_log_advanced(self, now: float) -> list[Action]:
        """The log has grown."""
        self.acceptor.advance_head(self._log.head)
        return list(self._proposer.advance(now))

    # ---- Time ---------------------------------------------------------------------------------------------
    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        actions: list[Action] = [*self._proposer.advance(now), *self._repair(now)]
        if not self.is_leader(now):
            return actions
        match self.release_policy.decide(now, self._log):
            case Release(version):
                proposal = Proposal(0, f"{INTERNAL}release.{version}", release=version)
            case Revert(version, reason):
                proposal = Proposal(0, f"{INTERNAL}revert.{version}", withdraw=version, reason=reason)
            case None:
                return actions
        if self._proposer.is_pending(proposal.request_id):
            return actions
        return [*actions, *self._proposer.propose(now, proposal, first=True)]

    def _repair(self, now: float) -> list[Action]:
        """Finish a version that somebody began and that nobody has ended; members one after the other."""
        wait_ms = ORPHAN_MS * (1 + self._members.index(self.name))
        version = self._log.head + 1
        begun = version in self.acceptor.open and self.acceptor.open[version].taken is not None
        if not begun:
            self._orphan = (0, 0.0)
        elif self._orphan[0] != version:
            self._orphan = (version, now)
        elif now - self._orphan[1] >= wait_ms and self._proposer.is_idle:
            self._orphan = (version, now)
            repair = Proposal(0, f"{INTERNAL}repair.{version}", repair=True)
            return list(self._proposer.propose(now, repair))
        return []


def _refused(correlation_id: int, reason: str) -> ProposalFinished:
    return ProposalFinished(correlation_id, ChangeResponse(Outcome.REFUSED, reason=reason))
