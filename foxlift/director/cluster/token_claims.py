"""Claims of paid tokens: a token's register names the one director that may set its session up.

The rules are those of `foxlift.recovery.claims`; here is what waits for a claim's outcome.
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

MAX_REPLACEABLE = 10_000  # claims proved never to have run
MAX_OWN_CLAIMS = 100_000
MAX_BACKGROUND_CLAIMS = (
    16  # at once: a director's death must not flood the replicas of its sessions' registers
)
MAX_RECLAIM_RETRIES = 3


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """What is done once a claim has ended; one of the three is called, once."""

    held: Callable[[], None]
    owned_elsewhere: Callable[[Claim | None], None]  # the register's value, None: it cannot be read
    no_quorum: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _Reclaim:
    """A session that was taken over: its register is to name this director."""

    token: str
    claim: Claim
    expires: int
    expected: Claim | None = None  # what the register holds, as far as is known
    retries: int = MAX_RECLAIM_RETRIES


def _nothing() -> None:
    """An outcome that nobody waits for."""


class TokenClaims:
    """One director's claims."""

    def __init__(self, context: ClusterContext, host: Host, registers: RegisterEndpoint) -> None:
        self._context, self._host, self._registers = context, host, registers
        proposer = Proposer(f"{context.name}.{context.boot_epoch}", context.config.seed)
        self._claims = claims.PaidClaims(context.name, context.boot_epoch, proposer)
        self._outcomes: dict[int, ClaimOutcome] = {}
        self._background: set[int] = set()  # of those: the ones that no set-up waits for
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
        """This claim was proved never to have run: the token's next one may take its place."""
        if len(self._replaceable) < MAX_REPLACEABLE:
            self._replaceable[token] = claim

    # ---- Set-ups ------------------------------------------------------------------------------------------
    def claim(self, keep: events.PersistIntent, then: Callable[[], None]) -> None:
        """Claim the token of a paid set-up; `then` once it is held. Else the core is told whose it is."""
        token, context = keep.token, self._context
        boot = self._host.boot_of(keep)
        claim = Claim(context.name, context.boot_epoch, keep.box, keep.set_up, int(context.now()), boot)

        def held() -> None:
            self._remember(token.id, claim)
            then()

        def not_held(owner: Claim | None, quorum: bool) -> None:
            context.counters.add("claimed elsewhere" if quorum else "claims unreached")
            self._host.feed(events.TokenClaimFailed(keep.session, keep.attempt, owner, quorum))

        context.counters.add("claims")
        self._check_life_time(token.expires)
        outcome = ClaimOutcome(
            held,
            lambda owner: not_held(owner, quorum=True),
            lambda: not_held(None, quorum=False),
        )
        expected = self._replaceable.pop(token.id, None)
        self._want(context.next_number(), token.id, claim, token.expires, expected, outcome)

    def _check_life_time(self, expires: int) -> None:
        """Logged once: every token of that kind is refused."""
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
        """Whether the register still has this director's own claim; False: it has made none."""
        own = self._own.get(token)
        if own is None:
            return False
        self._want_in_background(token, own, expires, None, outcome)
        return True

    def reclaim(self, token: str, set_up: str, box: str, boot: str, expires: int) -> None:
        """A session was taken over: its register names this director from now on.

        Where that cannot be done the register goes on naming one that is gone, whose successor is asked then.
        """
        context = self._context
        claim = Claim(context.name, context.boot_epoch, box, set_up, int(context.now()), boot)
        self._reclaims.append(_Reclaim(token, claim, expires))
        self._start_reclaims()

    def _start_reclaims(self) -> None:
        while self._reclaims and len(self._background) < MAX_BACKGROUND_CLAIMS:
            self._start_reclaim(self._reclaims.popleft())

    def _start_reclaim(self, reclaim: _Reclaim) -> None:
        """Put the claim in where the register holds what is expected; learn what else it holds."""

        def owned_elsewhere(owner: Claim | None) -> None:
            if reclaim.retries and owner is not None and owner.set_up == reclaim.claim.set_up:
                self._start_reclaim(replace(reclaim, expected=owner, retries=reclaim.retries - 1))

        outcome = ClaimOutcome(_nothing, owned_elsewhere, _nothing)
        self._want_in_background(reclaim.token, reclaim.claim, reclaim.expires, reclaim.expected, outcome)

    def _want_in_background(
        self, token: str, claim: Claim, expires: int, expected: Claim | None, outcome: ClaimOutcome
    ) -> None:
        number = self._context.next_number()
        self._background.add(number)
        self._want(number, token, claim, expires, expected, outcome)

    # ---- The register -------------------------------------------------------------------------------------
    def _want(
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
        want = claims.ClaimRequested(
            number,
            f"t/{token}",  # no token's own name is another kind of key
            claim,
            (expires + config.tokens.leeway_s) * 1000,
            peers.claim_ms,
            replicas_of(token, self._context.members, peers.holders),
            expected,
            self._former_replicas(token),
        )
        self._handle(want)

    def _former_replicas(self, token: str) -> tuple[str, ...]:
        """Replicas of its register before the fleet, or the number of replicas, changed."""
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
