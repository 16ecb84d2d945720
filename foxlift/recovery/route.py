"""Which director answers a request whose token another director or epoch has claimed. No I/O, no clock.

    request    event                                             next       what is done
    (none)     RouteRequested, the owner is alive                FORWARDED  to the owner
    (none)     RouteRequested, the owner is gone                 FORWARDED  to its successor
    (none)     RouteRequested, this director succeeds it         QUERYING   the box is asked about the set-up
    (none)     RouteRequested, claim of an own earlier epoch     QUERYING   the same
    FORWARDED  ForwardAnswered                                   (none)
    FORWARDED  ForwardFailed                                     (none)     COME_BACK; for a hint OPEN
    QUERYING   "yours"                                           (none)     SHOW: the session is adopted
    QUERYING   "other": another director owns it                 FORWARDED  to that one
    QUERYING   "ended"                                           (none)     PLAYED
    QUERYING   "never", from the box process it was for          (none)     OPEN, replacing the claim
    QUERYING   "never", from another box process                 (none)     FAILED: it may have run
    QUERYING   no response, or the box hears from the owner      (none)     COME_BACK
    QUERYING   the box list no longer names the box              (none)     FAILED: it may have run

A request is forwarded once at most: a request that was forwarded already gets NOT_HERE instead. Come-back
times are random, so that viewers of a dead director do not all return at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from foxlift.recovery.claims import Claim

MAX_REQUESTS = 10_000  # being routed at once
COME_BACK_MIN_MS = 150.0
COME_BACK_MAX_MS = 750.0


class RouteOutcome(Enum):
    """How a request is answered that is not forwarded."""

    SHOW = "shown here"
    OPEN = "opened here"
    PLAYED = "its session is over"
    FAILED = "its set-up may have run"
    COME_BACK = "nobody can tell now"
    NOT_HERE = "passed on already"


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class RouteRequested:
    """A request for the session of `claim`; None: the register's value is unreadable.

    `hint`: the claim comes from the request itself, not from a register. `forwarded`: by another director.
    """

    request: int
    claim: Claim | None
    hint: bool = False
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """The other director has answered the request."""

    request: int


@dataclass(frozen=True, slots=True)
class ForwardFailed:
    """The other director did not answer, or refused."""

    request: int


@dataclass(frozen=True, slots=True)
class BoxResponded:
    """What the box process `boot` knows of the set-up; `set_up_state` as in its response.

    It may have forgotten what ended up to `forgotten_up_to` (Unix ms, 0 for nothing).
    """

    request: int
    set_up_state: str
    owner: str
    forgotten_up_to: int
    boot: str


@dataclass(frozen=True, slots=True)
class BoxFailed:
    """The box did not respond, or refused. `gone`: the box list no longer names it."""

    request: int
    gone: bool = False


@dataclass(frozen=True, slots=True)
class ViewerLeft:
    """The viewer has closed the connection."""

    request: int


Event = RouteRequested | ForwardAnswered | ForwardFailed | BoxResponded | BoxFailed | ViewerLeft


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Forward:
    """Have another director answer the request."""

    request: int
    to: str


@dataclass(frozen=True, slots=True)
class QueryBox:
    """Take this set-up over at its box, unless the box hears from its owner; learn what became of it."""

    request: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class Resolved:
    """Answer the request here. `replaces`: a claim that is proved never to have run."""

    request: int
    outcome: RouteOutcome
    come_back_ms: float = 0.0
    replaces: Claim | None = None


Action = Forward | QueryBox | Resolved


@dataclass(slots=True)
class Routes:
    """Requests that are being routed. `is_gone`, `is_reachable`, `successor`: this director's view of others.

    `clocks_apart_ms`: the largest difference between the clocks of a claim's writer and of a box.
    """

    name: str
    seed: int
    is_gone: Callable[[str], bool]
    is_reachable: Callable[[str], bool]
    successor: Callable[[str, str], str]
    clocks_apart_ms: int
    _pending: dict[int, RouteRequested] = field(default_factory=dict)
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.seed} routes {self.name}")

    def __len__(self) -> int:
        return len(self._pending)

    def knows(self, request: int) -> bool:
        """Whether a request is being routed."""
        return request in self._pending

    def handle(self, event: Event) -> list[Action]:
        """Handle one event."""
        if isinstance(event, RouteRequested):
            return self._route(event)
        routed = self._pending.pop(event.request, None)
        if routed is None:
            return []
        match event:
            case ForwardFailed():
                return self._come_back(routed)
            case BoxResponded():
                return self._box_responded(routed, event)
            case BoxFailed(_, gone):
                return [self._resolve(routed, RouteOutcome.FAILED)] if gone else self._come_back(routed)
            case _:
                return []

    def _route(self, routed: RouteRequested) -> list[Action]:
        claim = routed.claim
        if claim is None:
            return [self._resolve(routed, RouteOutcome.FAILED)]
        if len(self._pending) >= MAX_REQUESTS:
            return self._come_back(routed)
        if claim.owner == self.name:
            return self._query_box(routed, claim)
        if not self.is_gone(claim.owner):
            if not self.is_reachable(claim.owner):
                return self._come_back(routed)  # no contact with it yet: it may be alive
            return self._forward(routed, claim.owner)
        successor = self.successor(claim.owner, claim.box)
        return self._query_box(routed, claim) if successor == self.name else self._forward(routed, successor)

    def _forward(self, routed: RouteRequested, to: str) -> list[Action]:
        if routed.forwarded:
            return [self._resolve(routed, RouteOutcome.NOT_HERE)]
        self._pending[routed.request] = routed
        return [Forward(routed.request, to)]

    def _query_box(self, routed: RouteRequested, claim: Claim) -> list[Action]:
        self._pending[routed.request] = routed
        return [QueryBox(routed.request, claim)]

    def _box_responded(self, routed: RouteRequested, response: BoxResponded) -> list[Action]:
        assert routed.claim is not None
        match response.set_up_state:
            case "yours":
                return [self._resolve(routed, RouteOutcome.SHOW)]
            case "other" if response.owner != self.name:
                return self._forward(routed, response.owner)
            case "ended":
                return [self._resolve(routed, RouteOutcome.PLAYED)]
            case "never" if response.boot == routed.claim.boot and (
                not response.forgotten_up_to
                or routed.claim.written_at > response.forgotten_up_to + self.clocks_apart_ms
            ):
                return [Resolved(routed.request, RouteOutcome.OPEN, replaces=routed.claim)]
            case _:
                return [self._resolve(routed, RouteOutcome.FAILED)]

    def _come_back(self, routed: RouteRequested) -> list[Action]:
        if routed.hint:
            return [self._resolve(routed, RouteOutcome.OPEN)]
        if routed.forwarded:
            return [self._resolve(routed, RouteOutcome.NOT_HERE)]
        return [Resolved(routed.request, RouteOutcome.COME_BACK, self.come_back_ms())]

    def come_back_ms(self) -> float:
        """How long a viewer is told to wait before it comes back; random for each."""
        return self._random.uniform(COME_BACK_MIN_MS, COME_BACK_MAX_MS)

    def _resolve(self, routed: RouteRequested, outcome: RouteOutcome) -> Resolved:
        if routed.hint and outcome in (RouteOutcome.FAILED, RouteOutcome.PLAYED):
            outcome = (
                RouteOutcome.OPEN
            )  # a hint proves nothing: the register decides, unless the class is free of charge
        return Resolved(routed.request, outcome)
