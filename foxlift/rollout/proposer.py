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
PROPOSAL_TIMEOUT_MS = 5000.0  # then its author gets the outcome "unknown"
ROUND_TIMEOUT_MS = 1500.0  # for one consensus round
MIN_RETRY_MS = 100.0  # after a round without a quorum; doubles each time
MAX_RETRY_MS = 800.0


@dataclass(frozen=True, slots=True)
class Proposal:
    """The entry to propose. `correlation_id`: the caller's, 0 if nobody waits for the outcome."""

    correlation_id: int
    request_id: str
    change: Change = field(default_factory=Change)
    withdraw: int = 0
    release: int = 0
    reason: str = ""
    repair: bool = False  # has no content: it only gets the next version decided


@dataclass(frozen=True, slots=True)
class EntryDecided:
    """The entry is decided."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class ProposalFinished:
    """The outcome of a proposal."""

    correlation_id: int
    response: ChangeResponse


Action = EntryDecided | ProposalFinished | registers.Send | registers.StartTimer


@dataclass(slots=True)
class _QueuedProposal:
    proposal: Proposal
    expires_at: float


class Proposer:
    """The proposer of one member. The caller appends each EntryDecided to the log before anything else."""

    def __init__(
        self, name: str, boot_epoch: int, members: tuple[str, ...], log: ConfigLog, seed: int
    ) -> None:
        self._name, self._members, self._log = name, members, log
        self._registers = registers.Proposer(f"{name}.{boot_epoch}.config", seed)
        self._random = random.Random(f"{seed} proposer {name}")
        self._queue: deque[_QueuedProposal] = deque()
        self._in_flight: _QueuedProposal | None = None
        self._retry_at = -math.inf
        self._retry_delay_ms = MIN_RETRY_MS
        self._last_round = 0

    @property
    def is_idle(self) -> bool:
        """Whether no proposal is in flight or queued."""
        return self._in_flight is None and not self._queue

    def is_pending(self, request: str) -> bool:
        """Whether a proposal with this request id is in flight or queued."""
        queued = any(each.proposal.request_id == request for each in self._queue)
        return queued or (self._in_flight is not None and self._in_flight.proposal.request_id == request)

    def propose(self, now: float, proposal: Proposal, *, first: bool = False) -> list[Action]:
        """Queue a proposal; `first`: at the front of the queue."""
        known = self._log.requests.get(proposal.request_id)
        if known is not None:
            return [ProposalFinished(proposal.correlation_id, ChangeResponse(Outcome.COMMITTED, known))]
        if len(self._queue) >= MAX_QUEUED:
            return [
                ProposalFinished(
                    proposal.correlation_id,
                    ChangeResponse(Outcome.REFUSED, reason=f"too many requests wait: {MAX_QUEUED}"),
                )
            ]
        queued = _QueuedProposal(proposal, now + PROPOSAL_TIMEOUT_MS)
        if first:
            self._queue.appendleft(queued)
        else:
            self._queue.append(queued)
        return self.advance(now)

    def handle(self, now: float, event: registers.ChangeProgress) -> list[Action]:
        """Process progress of a register."""
        return self._handle_register_actions(now, self._registers.handle(now, event))

    def advance(self, now: float) -> list[Action]:
        """Start the next proposal if possible, and give up queued ones that have expired."""
        actions: list[Action] = []
        while self._queue and now >= self._queue[0].expires_at:
            actions.append(
                self._finished(self._queue.popleft().proposal, Outcome.UNKNOWN, "no quorum in time")
            )
        if self._in_flight is not None or not self._queue or now < self._retry_at:
            return actions
        queued = self._queue.popleft()
        known = self._log.requests.get(queued.proposal.request_id)
        if known is not None:
            response = ChangeResponse(Outcome.COMMITTED, known)
            return [*actions, ProposalFinished(queued.proposal.correlation_id, response), *self.advance(now)]
        try:
            entry = self._entry(now, queued.proposal)
        except EntryError as error:
            refused = self._finished(queued.proposal, Outcome.REFUSED, str(error))
            return [*actions, refused, *self.advance(now)]
        self._in_flight = queued
        self._last_round += 1
        key, value = register_key(entry.version), entry.encode()
        change = registers.Change(self._last_round, key, self._members, value, 0, ROUND_TIMEOUT_MS)
        return [*actions, *self._handle_register_actions(now, self._registers.handle(now, change))]

    def _entry(self, now: float, proposal: Proposal) -> Entry:
        log, change = self._log, proposal.change
        if proposal.withdraw:
            if log.is_reverted(proposal.withdraw):
                raise EntryError(f"version {proposal.withdraw} is reverted already")
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
            created_at_ms=int(now),
            digest=log.content.digest_after(change),
        )

    def _handle_register_actions(self, now: float, actions: list[registers.Action]) -> list[Action]:
        result: list[Action] = []
        for action in actions:
            match action:
                case registers.Decided(_, value):
                    result += self._handle_decided(decode_entry(value))
                case registers.NoQuorum():
                    result += self._handle_no_quorum(now)
                case _:
                    result.append(action)
        return result

    def _handle_decided(self, entry: Entry) -> list[Action]:
        queued, self._in_flight = self._in_flight, None
        self._retry_delay_ms, self._retry_at = MIN_RETRY_MS, -math.inf
        decided = EntryDecided(entry)
        if queued is None:
            return [decided]
        if entry.request_id == queued.proposal.request_id:
            return [
                decided,
                ProposalFinished(
                    queued.proposal.correlation_id, ChangeResponse(Outcome.COMMITTED, entry.version)
                ),
            ]
        if not queued.proposal.repair:
            self._queue.appendleft(queued)
        return [decided]

    def _handle_no_quorum(self, now: float) -> list[Action]:
        queued, self._in_flight = self._in_flight, None
        if queued is not None and not queued.proposal.repair:
            self._queue.appendleft(queued)
        self._retry_at = now + self._retry_delay_ms * (0.5 + self._random.random())
        self._retry_delay_ms = min(self._retry_delay_ms * 2, MAX_RETRY_MS)
        return []

    @staticmethod
    def _finished(proposal: Proposal, outcome: Outcome, reason: str) -> ProposalFinished:
        return ProposalFinished(proposal.correlation_id, ChangeResponse(outcome, reason=reason))
