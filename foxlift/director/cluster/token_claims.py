"""Claims of paid tokens: a token's register names the one director that may set its session up.

Carries out the rules of `foxlift.recovery.claims` and calls back with each claim's outcome.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from foxlift.consensus import Proposer, replicas_of
from foxlift.consensus.register import ChangeProgress, Send, StartTimer
from foxlift.director import events
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.ports import Host
from foxlift.director.cluster.registers import RegisterEndpoint
from foxlift.recovery import claims
from foxlift.recovery.claims import Claim

MAX_REPLACEABLE = 10_000  # claims that are proved never to have run
MAX_OWN_CLAIMS = 100_000
MAX_BACKGROUND_CLAIMS = 16  # at once, so that a director's death does not flood the registers' replicas
MAX_RECLAIM_RETRIES = 3


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """Callbacks for the end of a claim; one of the three is called, once."""

    held: Callable[[], None]
    owned_elsewhere: Callable[[Claim | None], None]  # the register's value, None if unreadable
    no_quorum: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _Reclaim:
    """A session that was taken over, whose register is to name this director."""

    token: str
    claim: Claim
    expires: int
    expected: Claim | None = None  # what the register is believed to hold
    retries: int = MAX_RECLAIM_RETRIES


def _ignore() -> None:
    """Ignores an outcome."""


class TokenClaims:
    """One director's claims."""

    def __init__(self, context: ClusterContext, host: Host, registers: RegisterEndpoint) -> None:
        self._context, self._host, self._registers = context, host, registers
        proposer = Proposer(f"{context.name}.{context.boot_epoch}", context.config.seed)
        self._claims = claims.PaidClaims(context.name, context.boot_epoch, proposer)
        self._outcomes: dict[int, ClaimOutcome] = {}
        self._background: set[int] = set()  # those of them that no set-up waits for
        self._reclaims: deque[_Reclaim] = deque()
        self._own: dict[str, Claim] = {}  # by token, the oldest first
        self._replaceable: dict[str, Claim] = {}  # by token
        self._long_token_logged = False

    def epoch_renewed(self) -> None:
        """Claim in the present boot epoch from now on."""
        self._claims.boot_epoch = self._context.boot_epoch

    def lose(self, set_up: str) -> None:
        """Another director owns this set-up."""
        self._claims.lose(set_up)

    def allow_replacement(self, token: str, claim: Claim) -> None:
        """This claim is proved never to have run: the token's next claim may replace it."""
        if len(self._replaceable) < MAX_REPLACEABLE:
            self._replaceable[token] = claim

    # ---- Set-ups ------------------------------------------------------------------------------------------
    def claim(self, keep: events.KeepIntent, then: Callable[[], None]) -> None:
        """Claim the token of a paid set-up. Calls `then` if granted; else the core gets the owner."""
        token, context = keep.token, self._context
        boot = self._host.boot_of(keep)
        claim = Claim(context.name, context.boot_epoch, keep.box, keep.set_up, int(context.now()), boot)

        def held() -> None:
            self._remember(token.id, claim)
            then()

        def not_held(owner: Claim | None, quorum: bool) -> None:
            context.counters.add("claimed elsewhere" if quorum else "claims unreached")
            self._host.feed(events.ClaimedElsewhere(keep.session, keep.attempt, owner, quorum))

        context.counters.add("claims")
        self._check_lifetime(token.expires)
        outcome = ClaimOutcome(
            held,
            lambda owner: not_held(owner, quorum=True),
            lambda: not_held(None, quorum=False),
        )
        expected = self._replaceable.pop(token.id, None)
        self._request_claim(context.next_number(), token.id, claim, token.expires, expected, outcome)

    def _check_lifetime(self, expires: int) -> None:
        """Logged once, as every token of that kind is refused."""
        life_s = expires - self._context.timeline.unix_s()
        if life_s > self._context.config.peers.longest_token_s and not self._long_token_logged:
            self._long_token_logged = True
            self._context.log.error("a token lives longer than longest-token-s: no register can hold it")

    def _remember(self, token: str, claim: Claim) -> None:
        self._own.pop(token, None)
        self._own[token] = claim
        while len(self._own) > MAX_OWN_CLAIMS:
            del self._own[next(iter(self._own))]

    # ---- Without a set-up ---------------------------------------------------------------------------------
    def query(self, token: str, expires: int, outcome: ClaimOutcome) -> bool:
        """Ask whether the register still has this director's claim. False if it has made none."""
        own = self._own.get(token)
        if own is None:
            return False
        self._request_in_background(token, own, expires, None, outcome)
        return True

    def reclaim(self, token: str, set_up: str, box: str, boot: str, expires: int) -> None:
        """A session was taken over: change its register to name this director.

        If that fails, the register still names the dead director, whose successor is then asked.
        """
        context = self._context
        claim = Claim(context.name, context.boot_epoch, box, set_up, int(context.now()), boot)
        self._reclaims.append(_Reclaim(token, claim, expires))
        self._start_reclaims()

    def _start_reclaims(self) -> None:
        while self._reclaims and len(self._background) < MAX_BACKGROUND_CLAIMS:
            self._start_reclaim(self._reclaims.popleft())

    def _start_reclaim(self, reclaim: _Reclaim) -> None:
        """Write the claim where the register holds the expected one; else learn what it holds."""

        def owned_elsewhere(owner: Claim | None) -> None:
            if reclaim.retries and owner is not None and owner.set_up == reclaim.claim.set_up:
                self._start_reclaim(replace(reclaim, expected=owner, retries=reclaim.retries - 1))

        outcome = ClaimOutcome(_ignore, owned_elsewhere, _ignore)
        self._request_in_background(reclaim.token, reclaim.claim, reclaim.expires, reclaim.expected, outcome)

    def _request_in_background(
        self, token: str, claim: Claim, expires: int, expected: Claim | None, outcome: ClaimOutcome
    ) -> None:
        number = self._context.next_number()
        self._background.add(number)
        self._request_claim(number, token, claim, expires, expected, outcome)

    # ---- The register -------------------------------------------------------------------------------------
    def _request_claim(
        self,
        number: int,
        token: str,
        claim: Claim,
        expires: int,
        expected: Claim | None,
        outcome: ClaimOutcome,
    ) -> None:
        config, peers = self._context.config, self._context.config.peers
        self._outcomes[number] = outcome
        request = claims.ClaimRequested(
            number,
            f"t/{token}",  # the prefix keeps tokens apart from other kinds of key
            claim,
            (expires + config.tokens.leeway_s) * 1000,
            peers.claim_ms,
            replicas_of(token, self._context.members, peers.holders),
            expected,
            self._former_replicas(token),
        )
        self._handle(request)

    def _former_replicas(self, token: str) -> tuple[str, ...]:
        """Replicas of the register before the directors, or the number of replicas, changed."""
        peers = self._context.config.peers
        if not peers.former and not peers.former_holders:
            return ()
        return replicas_of(
            token, peers.former or self._context.members, peers.former_holders or peers.holders
        )

    def _handle(self, event: claims.Event) -> None:
        for action in self._claims.handle(self._context.now(), event):
            match action:
                case claims.Granted(number):
                    self._finish(number).held()
                    self._start_reclaims()
                case claims.OwnedElsewhere(number, owner):
                    self._finish(number).owned_elsewhere(owner)
                    self._start_reclaims()
                case claims.ClaimUndecided(number):
                    self._finish(number).no_quorum()
                    self._start_reclaims()
                case Send():
                    self._registers.send(action, self._register_event)
                case StartTimer(delay_ms, due):
                    self._context.later(delay_ms, partial(self._register_event, due))

    def _finish(self, number: int) -> ClaimOutcome:
        self._background.discard(number)
        return self._outcomes.pop(number)

    def _register_event(self, event: ChangeProgress) -> None:
        if not self._context.closed:
            self._handle(claims.RegisterProgress(event))
