"""Which request with a token becomes a new session, joins one, reloads one, or is answered at once.

The token's id is what is paid for. Its life, at one director:

    state      event                      next       what is done
    (unknown)  Requested                  ASKED      open a session
    ASKED      Requested                  ASKED      join: it gets the same answer
    ASKED      HungUp, others wait        ASKED      nothing
    ASKED      HungUp, nobody waits       LEFT       withdraw the session
    ASKED      Plays                      PLAYING    show the manifest to all who wait
    ASKED      Refused                    (unknown)  tell all who wait; a further try is harmless
    ASKED      Failed                     SPENT      paid; free: (unknown). Tell all who wait
    PLAYING    Requested                  PLAYING    show the manifest: a reload is no new session
    PLAYING    Over                       SPENT      paid; free: (unknown)
    PLAYING    Parked                     PARKED     its viewer paused for long: the box let its place go
    PARKED     Requested                  ASKED      open a session that takes the same set-up up again
    PARKED     Requested, too late        SPENT      gone: the box keeps it no longer
    ASKED      Refused, Failed, taking up PARKED     tell all who wait; taking up may be tried again
    ASKED      Lapsed                     SPENT      gone: the box has it no more
    LEFT       Over, taking up            PARKED
    LEFT       Requested                  LEFT       free: wait a little; paid: failed, it may be running
    LEFT       Over, provably never ran   (unknown)
    LEFT       Over                       SPENT      paid; free: (unknown)
    SPENT      Requested                  SPENT      failed where it may have run unseen, gone where it played

Where directors take over each other's work (off by default):

    ASKED      Elsewhere                  (unknown)  another has claimed it: each request is passed on
    PLAYING,
    PARKED     Elsewhere, Lost            (unknown)  another owns it now
    any        Adopt                      PLAYING,   a session that ran elsewhere is this director's from
                                          PARKED     now on; whoever waits is shown it
    PLAYING    Adopt of another set-up    PLAYING    superfluous: one of the two is enough
    SPENT      Requested, recalled or
               never seen to play         SPENT      asked about elsewhere: its box may still play it

A token that has expired opens no session, but its holder may reload the one that it opened, and take it up
again after a pause. What is spent is kept until the token's own expiry: after that it could open nothing
anyway.

Taking up is no second set-up: the box is asked for the very set-up that it parked, under its own name, and
answers the same however often it is asked. So nothing is spent by an answer that is lost.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import Enum

MAX_WAITING = 8  # requests that may wait on one token: a player has one, two in a race; more is a flood


class _State(Enum):
    ASKED = "asked"
    PLAYING = "playing"
    LEFT = "left"
    PARKED = "parked"
    SPENT = "spent"


class RejectionReason(Enum):
    """Why a request is answered without a session."""

    EXPIRED = "the token has expired"
    MAY_HAVE_RUN = "an earlier set-up for this token may have run"
    SESSION_OVER = "the session of this token is over"
    CANCELLING = "the session of this token is being called off"
    TOO_MANY_WAITING = "too many requests wait on this token"
    OWNER_UNREACHABLE = "nobody can tell now who has the session of this token"
    NOT_HERE = "the session of this token is not here"


@dataclass(frozen=True, slots=True)
class ParkedLocation:
    """Where a paid session is parked: its box, its set-up there, and the token of its segments' path."""

    node: int
    set_up: str
    path_token: str


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Requested:
    """A request with a verified token."""

    request: int
    token: str
    paid: bool
    expires: float  # Unix seconds
    expired: bool


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The request's client left before its answer."""

    request: int


@dataclass(frozen=True, slots=True)
class SessionStarted:
    """The session's set-up is done."""

    session: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The module refused the session: nothing of it ran, or it may be repeated."""

    session: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The module gave the session up, and it may have run."""

    session: int


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """Nothing of the session is out or playing any more. `ran`: False only where that is proved."""

    session: int
    ran: bool = True


@dataclass(frozen=True, slots=True)
class Parked:
    """The box let a playing paid session's place go and keeps its set-up until then (Unix seconds)."""

    session: int
    until: float
    place: ParkedLocation


@dataclass(frozen=True, slots=True)
class ParkedSetUpGone:
    """The box does not have what was to be taken up again."""

    session: int


@dataclass(frozen=True, slots=True)
class Restored:
    """A spent token as the record of paid set-ups shows it at the start."""

    token: str
    expires: float
    played: bool


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """The session is not to be here: its token is claimed elsewhere, or it was taken over."""

    session: int


@dataclass(frozen=True, slots=True)
class ParkedTakenOver:
    """What is parked under this set-up was taken over by another director."""

    set_up: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """A session that plays, or with `until` (Unix seconds) is parked, is this director's from now on."""

    token: str
    paid: bool
    expires: float
    place: ParkedLocation
    until: float = 0.0


Event = (
    Requested
    | ClientDisconnected
    | SessionStarted
    | Refused
    | Failed
    | SessionEnded
    | Parked
    | ParkedSetUpGone
    | Restored
    | OwnedElsewhere
    | ParkedTakenOver
    | Adopt
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class OpenSession:
    """Ask the module for a session on behalf of this request; `place`: take the set-up parked there up."""

    session: int
    request: int
    place: ParkedLocation | None = None


@dataclass(frozen=True, slots=True)
class SendManifest:
    """Answer with the session's manifest."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Answer that the session is refused."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class SendFailure:
    """Answer that the session failed."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer at once, without a session."""

    request: int
    reason: RejectionReason


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Tell the module that the viewer walked away."""

    session: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Somebody else answers this request, or knows what became of its session."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class QueryOwner:
    """Whether it still plays, and where, is not known here: its register and its box know."""

    request: int


@dataclass(frozen=True, slots=True)
class Adopted:
    """The adopted session plays under this number."""

    session: int


@dataclass(frozen=True, slots=True)
class DuplicateSetUp:
    """The token's session plays here already, as another set-up: the adopted one is not wanted."""


Action = (
    OpenSession
    | SendManifest
    | SendRefusal
    | SendFailure
    | Reject
    | Withdraw
    | Forward
    | QueryOwner
    | Adopted
    | DuplicateSetUp
)


@dataclass(slots=True)
class _Claim:
    token: str
    paid: bool
    expires: float
    session: int
    state: _State = _State.ASKED
    waiting: list[int] = field(default_factory=list)
    played: bool = False
    parked_until: float = 0.0  # above 0: what it asks for is taken up again, not set up
    place: ParkedLocation | None = None  # where; forgotten with the claim
    recalled: bool = False


class TokenSessions:
    """Every token that this director has to remember. `fleet`: whether others take over what it leaves."""

    def __init__(self, fleet: bool = False) -> None:
        self._fleet = fleet
        self._by_token: dict[str, _Claim] = {}
        self._by_session: dict[int, _Claim] = {}
        self._by_request: dict[int, _Claim] = {}
        self._spent: list[tuple[float, str]] = []  # heap by expiry
        self._last_session = 0

    def __len__(self) -> int:
        return len(self._by_token)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in. `now` is Unix seconds, used only to forget what has expired."""
        self._forget_expired(now)
        match event:
            case Requested():
                return self._requested(now, event)
            case ClientDisconnected():
                return self._hung_up(event.request)
            case Restored():
                self._recalled(event)
                return []
            case ParkedTakenOver(set_up):
                self._lost(set_up)
                return []
            case Adopt():
                return self._adopt(event)
        claim = self._by_session.get(event.session)
        if claim is None:
            return []
        match event:
            case SessionStarted():
                return self._plays(claim)
            case Refused():
                return self._refused(claim)
            case Failed():
                return self._failed(claim)
            case Parked(_, until, place):
                claim.place = place
                self._park(claim, until)
            case ParkedSetUpGone():
                return self._lapsed(claim)
            case OwnedElsewhere():
                return self._elsewhere(claim)
            case SessionEnded():
                self._over(claim, event.ran)
        return []

    def is_new(self, token: str) -> bool:
        """Whether a request with this token would open a session."""
        return token not in self._by_token

    def playing_session(self, token: str) -> int | None:
        """The session that plays on a token."""
        claim = self._by_token.get(token)
        return claim.session if claim is not None and claim.state is _State.PLAYING else None

    # ---- Requests -----------------------------------------------------------------------------------------
    def _requested(self, now: float, event: Requested) -> list[Action]:
        claim = self._by_token.get(event.token)
        if claim is None:
            if event.expired:
                return [Reject(event.request, RejectionReason.EXPIRED)]
            return self._open(event)
        match claim.state:
            case _State.ASKED:
                if len(claim.waiting) >= MAX_WAITING:
                    return [Reject(event.request, RejectionReason.TOO_MANY_WAITING)]
                claim.waiting.append(event.request)
                self._by_request[event.request] = claim
                return []
            case _State.PLAYING:
                return [SendManifest(event.request, claim.session)]
            case _State.LEFT:
                return [
                    Reject(
                        event.request,
                        RejectionReason.MAY_HAVE_RUN if claim.paid else RejectionReason.CANCELLING,
                    )
                ]
            case _State.PARKED:
                return self._take_up(now, claim, event.request)
            case _State.SPENT if self._fleet and (claim.recalled or not claim.played):
                return [QueryOwner(event.request)]
            case _State.SPENT:
                return [
                    Reject(
                        event.request,
                        RejectionReason.SESSION_OVER if claim.played else RejectionReason.MAY_HAVE_RUN,
                    )
                ]

    def _take_up(self, now: float, claim: _Claim, request: int) -> list[Action]:
        if now >= claim.parked_until:
            self._spend(claim)
            return [Reject(request, RejectionReason.SESSION_OVER)]
        self._last_session += 1
        claim.session, claim.state, claim.waiting = self._last_session, _State.ASKED, [request]
        self._by_session[claim.session] = claim
        self._by_request[request] = claim
        return [OpenSession(claim.session, request, claim.place)]

    def _open(self, event: Requested) -> list[Action]:
        self._last_session += 1
        claim = _Claim(event.token, event.paid, event.expires, self._last_session, waiting=[event.request])
        self._by_token[event.token] = claim
        self._by_session[claim.session] = claim
        self._by_request[event.request] = claim
        return [OpenSession(claim.session, event.request)]

    def _hung_up(self, request: int) -> list[Action]:
        claim = self._by_request.pop(request, None)
        if claim is None or request not in claim.waiting:
            return []
        claim.waiting.remove(request)
        if claim.waiting or claim.state is not _State.ASKED:
            return []
        claim.state = _State.LEFT
        return [Withdraw(claim.session)]

    def _release(self, claim: _Claim) -> list[int]:
        waiting, claim.waiting = claim.waiting, []
        for request in waiting:
            self._by_request.pop(request, None)
        return waiting

    # ---- Sessions -----------------------------------------------------------------------------------------
    def _plays(self, claim: _Claim) -> list[Action]:
        if claim.state is not _State.ASKED:
            return []  # its viewer left while the answer was on its way
        claim.state, claim.played, claim.parked_until = _State.PLAYING, True, 0.0
        claim.place = None
        return [SendManifest(request, claim.session) for request in self._release(claim)]

    def _refused(self, claim: _Claim) -> list[Action]:
        if claim.state is _State.ASKED:
            answers: list[Action] = [SendRefusal(r, claim.session) for r in self._release(claim)]
            if claim.parked_until:
                self._park(claim, claim.parked_until)
            else:
                self._drop(claim)
            return answers
        return []

    def _failed(self, claim: _Claim) -> list[Action]:
        if claim.state is not _State.ASKED:
            return []
        answers: list[Action] = [SendFailure(r, claim.session) for r in self._release(claim)]
        if claim.parked_until:
            self._park(claim, claim.parked_until)
        else:
            self._spend(claim)
        return answers

    def _park(self, claim: _Claim, until: float) -> None:
        if claim.state is _State.PLAYING and not claim.paid:
            self._drop(claim)  # nothing was paid for: its viewer's next request opens another session
            return
        self._by_session.pop(claim.session, None)
        claim.state, claim.parked_until = _State.PARKED, until
        heapq.heappush(self._spent, (max(until, claim.expires), claim.token))

    def _lapsed(self, claim: _Claim) -> list[Action]:
        answers: list[Action] = [Reject(r, RejectionReason.SESSION_OVER) for r in self._release(claim)]
        self._spend(claim)
        return answers

    def _over(self, claim: _Claim, ran: bool) -> None:
        """An attempt's end while the module still answers (ASKED) decides nothing: the answer does."""
        if claim.state is _State.LEFT and claim.parked_until:
            self._park(claim, claim.parked_until)
        elif claim.state is _State.PLAYING or (claim.state is _State.LEFT and ran):
            self._spend(claim)
        elif claim.state is _State.LEFT:
            self._drop(claim)

    def _spend(self, claim: _Claim) -> None:
        if not claim.paid:
            self._drop(claim)
            return
        claim.state, claim.place = _State.SPENT, None
        self._by_session.pop(claim.session, None)
        heapq.heappush(self._spent, (claim.expires, claim.token))

    def _drop(self, claim: _Claim) -> None:
        self._by_session.pop(claim.session, None)
        if self._by_token.get(claim.token) is claim:  # another may have taken its place
            del self._by_token[claim.token]

    # ---- Between directors --------------------------------------------------------------------------------
    def _elsewhere(self, claim: _Claim) -> list[Action]:
        waiting, session = self._release(claim), claim.session
        self._drop(claim)
        return [Forward(request, session) for request in waiting]

    def _lost(self, set_up: str) -> None:
        for claim in list(self._by_token.values()):
            if claim.state is _State.PARKED and claim.place is not None and claim.place.set_up == set_up:
                self._drop(claim)
                return

    def _adopt(self, event: Adopt) -> list[Action]:
        claim = self._by_token.get(event.token)
        waiting: list[int] = []
        actions: list[Action] = []
        if claim is not None and claim.state is _State.PLAYING:
            return [DuplicateSetUp()]
        if claim is not None and claim.state is _State.ASKED:
            waiting = self._release(claim)
            claim.state = _State.LEFT
            actions.append(Withdraw(claim.session))
        self._last_session += 1
        made = _Claim(event.token, event.paid, event.expires, self._last_session, _State.PLAYING, played=True)
        made.place = event.place
        self._by_token[event.token] = made
        if event.until:
            # whoever waits asks once more, and takes it up from here
            self._park(made, event.until)
            return [*actions, *(QueryOwner(request) for request in waiting)]
        self._by_session[made.session] = made
        shown = [SendManifest(request, made.session) for request in waiting]
        return [*actions, Adopted(made.session), *shown]

    def _recalled(self, event: Restored) -> None:
        claim = _Claim(event.token, True, event.expires, 0, _State.SPENT, played=event.played)
        claim.recalled = True
        self._by_token[event.token] = claim
        heapq.heappush(self._spent, (event.expires, event.token))

    def _forget_expired(self, now: float) -> None:
        while self._spent and self._spent[0][0] <= now:
            _, token = heapq.heappop(self._spent)
            claim = self._by_token.get(token)
            spent = claim is not None and claim.state is _State.SPENT and claim.expires <= now
            if spent or (claim is not None and claim.state is _State.PARKED and claim.parked_until <= now):
                del self._by_token[token]
