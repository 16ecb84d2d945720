"""Puts entries into the log: one at a time, each at the version after the last known one. No I/O.

    proposal   event                                      next       what is done
    (none)     propose, its request is committed already  (none)     ProposalFinished: committed, its version
    (none)     propose                                    QUEUED     nothing
    QUEUED     no proposal is in flight                   IN_FLIGHT  proposes it for the next version
    QUEUED     no longer a valid entry                    (none)     ProposalFinished: refused, with reason
    IN_FLIGHT  decided: this proposal                     (none)     EntryDecided, ProposalFinished: committed
    IN_FLIGHT  decided: another entry                     QUEUED     EntryDecided, then tries the next version
    IN_FLIGHT  no quorum                                  QUEUED     retries after a random delay
    QUEUED     PROPOSAL_TIMEOUT_MS has passed             (none)     ProposalFinished: unknown

After "unknown" the entry may still be decided. If two members propose entries for the same version, its
register (`foxlift.consensus`) accepts one of them and both proposers learn which.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from foxlift.consensus import register as registers
from foxlift.rollout.acceptor import register_key
from foxlift.rollout.entry import Change, Entry, EntryError, check_change, decode_entry
from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import ChangeResponse, Outcome

MAX_QUEUED = 256
PROPOSAL_MS = 5000.0  # after that its author is told that nothing is known
CHANGE_MS = 1500.0  # for one round at a register
MIN_RETRY_MS = 100.0  # after a round without a quorum; doubles
MAX_RETRY_MS = 800.0


@dataclass(frozen=True, slots=True)
class Proposal:
    """What an entry is to say. `correlation_id`: the caller's, 0 where nobody waits for the outcome."""

    correlation_id: int
    request_id: str
    change: Change = field(default_factory=Change)
    withdraw: int = 0
    release: int = 0
    reason: str = ""
    repair: bool = False  # only so that the version after the last known one is decided


@dataclass(frozen=True, slots=True)
class EntryDecided:
    """This entry is decided."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class ProposalFinished:
    """What became of a proposal."""

    correlation_id: int
    response: ChangeResponse


Action = EntryDecided | ProposalFinished | registers.Send | registers.StartTimer


@dataclass(slots=True)
class _Queued:
    proposal: Proposal
    until: float


class Proposer:
    """One group member's. The caller appends each EntryDecided to the log before it handles anything else."""

    def __init__(
        self, name: str, boot_epoch: int, members: tuple[str, ...], log: ConfigLog, seed: int
    ) -> None:
        self._name, self._members, self._log = name, members, log
        self._registers = registers.Proposer(f"{name}.{boot_epoch}.config", seed)
        self._random = random.Random(f"{seed} proposer {name}")
        self._queue: deque[_Queued] = deque()
        self._out: _Queued | None = None
        self._not_before = -math.inf
        self._wait_ms = MIN_RETRY_MS
        self._last_change = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is proposed or waits to be."""
        return self._out is None and not self._queue

    def is_pending(self, request: str) -> bool:
        """Whether this request waits for its entry."""
        queued = any(each.proposal.request_id == request for each in self._queue)
        return queued or (self._out is not None and self._out.proposal.request_id == request)

    def propose(self, now: float, proposal: Proposal, *, first: bool = False) -> list[Action]:
        """Put an entry into the log; `first`: before all that wait."""
        known = self._log.requests.get(proposal.request_id)
        if known is not None:
            return [ProposalFinished(proposal.correlation_id, ChangeResponse(Outcome.COMMITTED, known))]
        if len(self._queue) >= MAX_QUEUED:
            return [
                ProposalFinished(
                    proposal.correlation_id, ChangeResponse(Outcome.REFUSED, reason="too many orders wait")
                )
            ]
        queued = _Queued(proposal, now + PROPOSAL_MS)
        if first:
            self._queue.appendleft(queued)
        else:
            self._queue.append(queued)
        return self.advance(now)

    def handle(self, now: float, event: registers.ChangeProgress) -> list[Action]:
        """Something came of a register."""
        return self._came(now, self._registers.handle(now, event))

    def advance(self, now: float) -> list[Action]:
        """Send out the next proposal, if it is time, and give up those whose time is up."""
        actions: list[Action] = []
        while self._queue and now >= self._queue[0].until:
            actions.append(self._done(self._queue.popleft().proposal, Outcome.UNKNOWN, "no quorum in time"))
        if self._out is not None or not self._queue or now < self._not_before:
            return actions
        queued = self._queue.popleft()
        known = self._log.requests.get(queued.proposal.request_id)
        if known is not None:
            answer = ChangeResponse(Outcome.COMMITTED, known)
            return [*actions, ProposalFinished(queued.proposal.correlation_id, answer), *self.advance(now)]
        try:
            entry = self._entry(now, queued.proposal)
        except EntryError as error:
            refused = self._done(queued.proposal, Outcome.REFUSED, str(error))
            return [*actions, refused, *self.advance(now)]
        self._out = queued
        self._last_change += 1
        key, value = register_key(entry.version), entry.encode()
        change = registers.Change(self._last_change, key, self._members, value, 0, CHANGE_MS)
        return [*actions, *self._came(now, self._registers.handle(now, change))]

    def _entry(self, now: float, proposal: Proposal) -> Entry:
        log, change = self._log, proposal.change
        if proposal.withdraw:
            if log.is_reverted(proposal.withdraw):
                raise EntryError(f"version {proposal.withdraw} was taken back before")
            change = log.revert_change(proposal.withdraw)
        elif not (proposal.release or proposal.repair):
            check_change(change)
        return Entry(
            log.head + 1,
            self._name,
            proposal.request_id,
            change,
            reverts=proposal.withdraw,
            released=proposal.release,
            reason=proposal.reason,
            at=int(now),
            digest=log.content.digest_after(change),
        )

    def _came(self, now: float, actions: list[registers.Action]) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            match action:
                case registers.Decided(_, value):
                    out += self._decided(decode_entry(value))
                case registers.NoQuorum():
                    out += self._unreached(now)
                case _:
                    out.append(action)
        return out

    def _decided(self, entry: Entry) -> list[Action]:
        queued, self._out = self._out, None
        self._wait_ms, self._not_before = MIN_RETRY_MS, -math.inf
        learned = EntryDecided(entry)
        if queued is None:
            return [learned]
        if entry.request_id == queued.proposal.request_id:
            return [
                learned,
                ProposalFinished(
                    queued.proposal.correlation_id, ChangeResponse(Outcome.COMMITTED, entry.version)
                ),
            ]
        if not queued.proposal.repair:
            self._queue.appendleft(queued)
        return [learned]

    def _unreached(self, now: float) -> list[Action]:
        queued, self._out = self._out, None
        if queued is not None and not queued.proposal.repair:
            self._queue.appendleft(queued)
        self._not_before = now + self._wait_ms * (0.5 + self._random.random())
        self._wait_ms = min(self._wait_ms * 2, MAX_RETRY_MS)
        return []

    @staticmethod
    def _done(proposal: Proposal, outcome: Outcome, reason: str) -> ProposalFinished:
        return ProposalFinished(proposal.correlation_id, ChangeResponse(outcome, reason=reason))
