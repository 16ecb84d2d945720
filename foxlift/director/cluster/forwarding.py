"""Forwards requests whose session another director owns, or asks the session's box.

Carries out the rules of `foxlift.recovery.route`.
"""

from __future__ import annotations

import re
from functools import partial

from foxlift.boxes.takeover import TakeoverResponse
from foxlift.consensus import replicas_of
from foxlift.decide.token_sessions import RejectionReason
from foxlift.director.cluster.client import PeerClient
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.membership import Membership
from foxlift.director.cluster.messages import FORWARDED_BY_HEADER, WAITED_HEADER
from foxlift.director.cluster.ports import Host
from foxlift.director.cluster.takeovers import TakeoverOrders, TakeoverSchedule
from foxlift.director.cluster.token_claims import ClaimOutcome, TokenClaims
from foxlift.http import Failure, Response
from foxlift.recovery import route, takeover
from foxlift.recovery.claims import Claim
from foxlift.recovery.route import RouteOutcome

MISDIRECTED = 421  # status of a peer that does not answer a forwarded request
_HINT = re.compile(r"^([A-Za-z0-9._-]{1,100})/(\d{1,16})/([A-Za-z0-9._-]{1,100})/([A-Za-z0-9._~-]{1,200})$")
_REASONS = {
    RouteOutcome.PLAYED: RejectionReason.SESSION_OVER,
    RouteOutcome.FAILED: RejectionReason.MAY_HAVE_RUN,
    RouteOutcome.NOT_HERE: RejectionReason.NOT_HERE,
    RouteOutcome.COME_BACK: RejectionReason.OWNER_UNREACHABLE,
}


class RequestForwarder:
    """One director's requests whose session may belong to another director."""

    def __init__(
        self,
        context: ClusterContext,
        host: Host,
        client: PeerClient,
        membership: Membership,
        schedule: TakeoverSchedule,
        orders: TakeoverOrders,
        token_claims: TokenClaims,
    ) -> None:
        self._context, self._host, self._client = context, host, client
        self._membership, self._schedule, self._orders = membership, schedule, orders
        self._token_claims = token_claims
        self._boxes: frozenset[str] = frozenset()
        self._routes = route.Routes(
            context.name,
            context.config.seed,
            schedule.is_gone,
            membership.is_reachable,
            schedule.successor,
            context.config.peers.clocks_apart_ms,
        )

    def boxes_listed(self, boxes: frozenset[str]) -> None:
        """The box list has changed."""
        self._boxes = boxes

    def come_back_ms(self) -> float:
        """How long a viewer waits where nobody can answer now; random for each."""
        return self._routes.come_back_ms()

    # ---- Requests -----------------------------------------------------------------------------------------
    def resolve(self, request: int, claim: Claim | None, hint: bool = False, forwarded: bool = False) -> None:
        """Find out which director answers this request."""
        self._handle(route.RouteRequested(request, claim, hint, forwarded))

    def resolve_own(self, request: int, token: str, expires: int, forwarded: bool) -> None:
        """A request whose token may have been set up here: ask its register for the present owner."""

        def tell(verdict: RouteOutcome) -> None:
            self._tell(route.Resolved(request, verdict, self.come_back_ms()))

        outcome = ClaimOutcome(
            held=partial(tell, RouteOutcome.FAILED),
            owned_elsewhere=lambda owner: self.resolve(request, owner, forwarded=forwarded),
            no_quorum=partial(tell, RouteOutcome.COME_BACK),
        )
        if not self._token_claims.query(token, expires, outcome):
            self._host.refuse(request, RejectionReason.MAY_HAVE_RUN, 0.0)

    def forward_to_any(self, request: int, token: str) -> bool:
        """Have another director answer a request, as this one is stopping."""
        others = [name for name in self._membership.alive() if name != self._context.name]
        if not others:
            return False
        return self._forward(request, replicas_of(token, others, 1)[0])

    def viewer_left(self, request: int) -> None:
        """The request's viewer has closed the connection."""
        self._handle(route.ViewerLeft(request))

    # ---- Hints --------------------------------------------------------------------------------------------
    def read_hint(self, text: str) -> Claim | None:
        """What a request says of who has its session."""
        found = _HINT.match(text)
        return None if found is None else Claim(found[1], int(found[2]), found[3], found[4])

    def write_hint(self, box: str, set_up: str) -> str:
        """For the manifest of a session that this director has."""
        return f"{self._context.name}/{self._context.boot_epoch}/{box}/{set_up}"

    # ---- Actions of the routes ----------------------------------------------------------------------------
    def _handle(self, event: route.Event) -> None:
        for action in self._routes.handle(event):
            match action:
                case route.Forward(request, to):
                    self._forward(request, to)
                case route.QueryBox(request, claim):
                    self._ask_box(request, claim)
                case route.Resolved():
                    self._tell(action)

    def _ask_box(self, request: int, claim: Claim) -> None:
        certain = claim.owner == self._context.name or self._schedule.is_certain(claim.owner)
        answered = partial(self._box_answered, request, claim.box)
        self._orders.send(claim.box, claim.owner, claim.boot_epoch, certain, answered, claim.set_up)

    def _box_answered(
        self, request: int, box: str, answer: TakeoverResponse | takeover.TakeoverFailure
    ) -> None:
        if isinstance(answer, takeover.TakeoverFailure):
            gone = bool(self._boxes) and box not in self._boxes
            self._handle(route.BoxFailed(request, gone))
        else:
            self._handle(
                route.BoxResponded(
                    request, answer.set_up_state, answer.owner, answer.forgotten_up_to, answer.boot
                )
            )

    def _tell(self, tell: route.Resolved) -> None:
        self._context.counters.add("routed", tell.outcome.value)
        if tell.outcome in _REASONS:
            come_back_ms = tell.come_back_ms if tell.outcome is RouteOutcome.COME_BACK else 0.0
            self._host.refuse(tell.request, _REASONS[tell.outcome], come_back_ms)
            return
        viewer = self._host.forwardable(tell.request)
        if tell.outcome is RouteOutcome.OPEN and tell.replaces is not None and viewer is not None:
            self._token_claims.allow_replacement(viewer.token_id, tell.replaces)
        self._host.open_here(tell.request)

    def _forward(self, request: int, to: str) -> bool:
        viewer = self._host.forwardable(request)
        if viewer is None:
            return False
        sender = (FORWARDED_BY_HEADER, f"{self._context.name}/{self._context.boot_epoch}")
        waited = (WAITED_HEADER, f"{viewer.waited_ms:.0f}")
        self._context.counters.add("passed on")
        answered = partial(self._forwarded, request)
        self._client.forward(to, viewer.target, (*viewer.headers, sender, waited), answered)
        return True

    def _forwarded(self, request: int, result: Response | Failure) -> None:
        if isinstance(result, Response) and result.status != MISDIRECTED:
            self._handle(route.ForwardAnswered(request))
            self._host.relay(request, result)
        elif self._routes.knows(request):
            self._handle(route.ForwardFailed(request))
        else:
            self._host.refuse(request, RejectionReason.OWNER_UNREACHABLE, self.come_back_ms())
