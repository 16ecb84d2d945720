"""Which request with a token opens a session, joins one, reloads its manifest, or is answered at once.

What is paid for is the token, not the request: a paid token gets no second set-up. States of a token at one
director:

    state      event                      next       what is done
    (unknown)  Requested                  ASKED      open a session
    ASKED      Requested                  ASKED      join: the request gets the same answer
    ASKED      ClientDisconnected, others ASKED      nothing
    ASKED      ClientDisconnected, last   LEFT       withdraw the session
    ASKED      SessionStarted             PLAYING    send the manifest to all waiting requests
    ASKED      Refused                    (unknown)  answer all waiting requests; trying again is harmless
    ASKED      Failed                     SPENT      paid; free: (unknown). Answer all waiting requests
    PLAYING    Requested                  PLAYING    send the manifest: a reload is no new session
    PLAYING    SessionEnded               SPENT      paid; free: (unknown)
    PLAYING    Parked                     PARKED     paid: the viewer paused for long, the box freed its slot
    PLAYING    Parked                     (unknown)  free: the next request opens another session
    PARKED     Requested                  ASKED      open a session that resumes the parked set-up
    PARKED     Requested, too late        SPENT      SESSION_OVER: the box keeps the set-up no longer
    ASKED      Refused, Failed, resuming  PARKED     answer all waiting requests; resuming may be tried again
    ASKED      ParkedSetUpGone            SPENT      SESSION_OVER: the box no longer has the set-up
    LEFT       SessionEnded, resuming     PARKED
    LEFT       Requested                  LEFT       free: CANCELLING; paid: MAY_HAVE_RUN
    LEFT       SessionEnded, never ran    (unknown)  only where it is proved that nothing ran
    LEFT       SessionEnded               SPENT      paid; free: (unknown)
    SPENT      Requested                  SPENT      SESSION_OVER if it played, else MAY_HAVE_RUN

Where directors take over each other's sessions (off by default):

    ASKED      OwnedElsewhere             (unknown)  another director owns it: forward each waiting request
    PLAYING    OwnedElsewhere             (unknown)  another director owns it now
    PARKED     ParkedTakenOver            (unknown)  another director owns it now
    any        Adopt                      PLAYING,   own a session that ran elsewhere, withdraw one just asked
                                          PARKED     for; waiting requests get the manifest, or query again
    PLAYING    Adopt of another set-up    PLAYING    DuplicateSetUp: one set-up for a token is enough
    SPENT      Requested, restored or
               never seen playing         SPENT      query the owner: the box may still play it

An expired token opens no session, but its viewer may reload the session that it opened, and resume it after a
pause. A spent token is remembered until it expires; an expired one could open nothing anyway.

Resuming is not a second set-up: the director sends the box the set-up that it parked, under the same id, and
the box gives the same answer each time. A lost answer therefore spends nothing.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import Enum

MAX_WAITING = 8  # requests that may wait on one token; a player has one, or two that cross


class _State(Enum):
    ASKED = "asked"
    PLAYING = "playing"
    LEFT = "left"
    PARKED = "parked"
    SPENT = "spent"


class RejectionReason(Enum):
    """The reason for which a request is rejected without a session."""

    EXPIRED = "the token has expired"
    MAY_HAVE_RUN = "an earlier set-up for this token may have run"
    SESSION_OVER = "the session of this token is over"
    CANCELLING = "the session of this token is being called off"
    TOO_MANY_WAITING = "too many requests wait on this token"
    OWNER_UNREACHABLE = "nobody can tell now who has the session of this token"
    NOT_HERE = "the session of this token is not here"


@dataclass(frozen=True, slots=True)
class ParkedLocation:
    """Where a session is parked: its box, its set-up there, and the token in the path of its segments."""

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
    """The client of the request disconnected before the answer."""

    request: int


@dataclass(frozen=True, slots=True)
class SessionStarted:
    """The session plays."""

    session: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The module refused the session: nothing of it ran, or it may be repeated."""

    session: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The module failed the session, and it may have run."""

    session: int


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """No attempt of the session is out or playing any more. `ran` is False only if that is proved."""

    session: int
    ran: bool = True


@dataclass(frozen=True, slots=True)
class Parked:
    """The box freed the slot of a playing session and keeps its set-up until `until` (Unix seconds)."""

    session: int
    until: float
    location: ParkedLocation


@dataclass(frozen=True, slots=True)
class ParkedSetUpGone:
    """The box does not have the parked set-up that the session was to resume."""

    session: int


@dataclass(frozen=True, slots=True)
class Restored:
    """A spent token, restored at start from the record of paid set-ups."""

    token: str
    expires: float
    played: bool


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another director owns the session: its token is claimed there, or the session was taken over."""

    session: int


@dataclass(frozen=True, slots=True)
class ParkedTakenOver:
    """Another director took over the session parked under this set-up."""

    set_up: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """This director takes over a session that plays or, if `until` (Unix seconds) is set, is parked."""

    token: str
    paid: bool
    expires: float
    location: ParkedLocation
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
    """Ask the module for a session for this request; `location`: where the set-up to resume is parked."""

    session: int
    request: int
    location: ParkedLocation | None = None


@dataclass(frozen=True, slots=True)
class SendManifest:
    """Answer the request with the session's manifest."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Answer the request that the session is refused."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class SendFailure:
    """Answer the request that the session failed."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the request at once, without a session."""

    request: int
    reason: RejectionReason


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Notify the module that no viewer waits for the session any more."""

    session: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Another director owns the session: forward the request to it, or answer that it cannot be reached."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class QueryOwner:
    """Find out from the token's register and from the box who owns the session and whether it still plays."""

    request: int


@dataclass(frozen=True, slots=True)
class Adopted:
    """The session that was adopted plays under this number."""

    session: int


@dataclass(frozen=True, slots=True)
class DuplicateSetUp:
    """The token's session plays here already under another set-up: release the one to be adopted."""


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
class _TokenSession:
    token: str
    paid: bool
    expires: float
    session: int
    state: _State = _State.ASKED
    waiting: list[int] = field(default_factory=list)
    played: bool = False
    parked_until: float = 0.0  # Unix seconds; above 0: the session resumes a parked set-up
    location: ParkedLocation | None = None  # of its set-up, if parked or adopted
    restored: bool = False


class TokenSessions:
    """All tokens that this director has to remember. `fleet`: directors take over each other's sessions."""

    def __init__(self, fleet: bool = False) -> None:
        self._fleet = fleet
        self._by_token: dict[str, _TokenSession] = {}
        self._by_session: dict[int, _TokenSession] = {}
        self._by_request: dict[int, _TokenSession] = {}
        self._expiry: list[tuple[float, str]] = []  # heap of (time to forget, token), Unix seconds
        self._last_session = 0

    def __len__(self) -> int:
        return len(self._by_token)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event. `now` is in Unix seconds and serves to drop what has expired."""
        self._drop_expired(now)
        match event:
            case Requested():
                return self._requested(now, event)
            case ClientDisconnected():
                return self._client_disconnected(event.request)
            case Restored():
                self._restore(event)
                return []
            case ParkedTakenOver(set_up):
                self._parked_taken_over(set_up)
                return []
            case Adopt():
                return self._adopt(event)
        entry = self._by_session.get(event.session)
        if entry is None:
            return []
        match event:
            case SessionStarted():
                return self._started(entry)
            case Refused():
                return self._refused(entry)
            case Failed():
                return self._failed(entry)
            case Parked(_, until, location):
                entry.location = location
                self._park(entry, until)
            case ParkedSetUpGone():
                return self._parked_set_up_gone(entry)
            case OwnedElsewhere():
                return self._owned_elsewhere(entry)
            case SessionEnded():
                self._ended(entry, event.ran)
        return []

    def is_new(self, token: str) -> bool:
        """Whether the token is unknown, so that a request with it would open a session."""
        return token not in self._by_token

    def playing_session(self, token: str) -> int | None:
        """The session that plays for the token, if any."""
        entry = self._by_token.get(token)
        return entry.session if entry is not None and entry.state is _State.PLAYING else None

    # ---- Requests -----------------------------------------------------------------------------------------
    def _requested(self, now: float, event: Requested) -> list[Action]:
        entry = self._by_token.get(event.token)
        if entry is None:
            if event.expired:
                return [Reject(event.request, RejectionReason.EXPIRED)]
            return self._open(event)
        match entry.state:
            case _State.ASKED:
                if len(entry.waiting) >= MAX_WAITING:
                    return [Reject(event.request, RejectionReason.TOO_MANY_WAITING)]
                entry.waiting.append(event.request)
                self._by_request[event.request] = entry
                return []
            case _State.PLAYING:
                return [SendManifest(event.request, entry.session)]
            case _State.LEFT:
                return [
                    Reject(
                        event.request,
                        RejectionReason.MAY_HAVE_RUN if entry.paid else RejectionReason.CANCELLING,
                    )
                ]
            case _State.PARKED:
                return self._resume(now, entry, event.request)
            case _State.SPENT if self._fleet and (entry.restored or not entry.played):
                return [QueryOwner(event.request)]
            case _State.SPENT:
                return [
                    Reject(
                        event.request,
                        RejectionReason.SESSION_OVER if entry.played else RejectionReason.MAY_HAVE_RUN,
                    )
                ]

    def _resume(self, now: float, entry: _TokenSession, request: int) -> list[Action]:
        if now >= entry.parked_until:
            self._spend(entry)
            return [Reject(request, RejectionReason.SESSION_OVER)]
        self._last_session += 1
        entry.session, entry.state, entry.waiting = self._last_session, _State.ASKED, [request]
        self._by_session[entry.session] = entry
        self._by_request[request] = entry
        return [OpenSession(entry.session, request, entry.location)]

    def _open(self, event: Requested) -> list[Action]:
        self._last_session += 1
        entry = _TokenSession(
            event.token, event.paid, event.expires, self._last_session, waiting=[event.request]
        )
        self._by_token[event.token] = entry
        self._by_session[entry.session] = entry
        self._by_request[event.request] = entry
        return [OpenSession(entry.session, event.request)]

    def _client_disconnected(self, request: int) -> list[Action]:
        entry = self._by_request.pop(request, None)
        if entry is None or request not in entry.waiting:
            return []
        entry.waiting.remove(request)
        if entry.waiting or entry.state is not _State.ASKED:
            return []
        entry.state = _State.LEFT
        return [Withdraw(entry.session)]

    def _take_waiting(self, entry: _TokenSession) -> list[int]:
        waiting, entry.waiting = entry.waiting, []
        for request in waiting:
            self._by_request.pop(request, None)
        return waiting

    # ---- Sessions -----------------------------------------------------------------------------------------
    def _started(self, entry: _TokenSession) -> list[Action]:
        if entry.state is not _State.ASKED:
            return []  # its viewer left while the answer was on its way
        entry.state, entry.played, entry.parked_until = _State.PLAYING, True, 0.0
        entry.location = None
        return [SendManifest(request, entry.session) for request in self._take_waiting(entry)]

    def _refused(self, entry: _TokenSession) -> list[Action]:
        if entry.state is _State.ASKED:
            answers: list[Action] = [SendRefusal(r, entry.session) for r in self._take_waiting(entry)]
            if entry.parked_until:
                self._park(entry, entry.parked_until)
            else:
                self._drop(entry)
            return answers
        return []

    def _failed(self, entry: _TokenSession) -> list[Action]:
        if entry.state is not _State.ASKED:
            return []
        answers: list[Action] = [SendFailure(r, entry.session) for r in self._take_waiting(entry)]
        if entry.parked_until:
            self._park(entry, entry.parked_until)
        else:
            self._spend(entry)
        return answers

    def _park(self, entry: _TokenSession, until: float) -> None:
        if entry.state is _State.PLAYING and not entry.paid:
            self._drop(entry)  # nothing was paid for: the viewer's next request opens another session
            return
        self._by_session.pop(entry.session, None)
        entry.state, entry.parked_until = _State.PARKED, until
        heapq.heappush(self._expiry, (max(until, entry.expires), entry.token))

    def _parked_set_up_gone(self, entry: _TokenSession) -> list[Action]:
        answers: list[Action] = [Reject(r, RejectionReason.SESSION_OVER) for r in self._take_waiting(entry)]
        self._spend(entry)
        return answers

    def _ended(self, entry: _TokenSession, ran: bool) -> None:
        """In ASKED the end of an attempt changes nothing: the module's answer decides."""
        if entry.state is _State.LEFT and entry.parked_until:
            self._park(entry, entry.parked_until)
        elif entry.state is _State.PLAYING or (entry.state is _State.LEFT and ran):
            self._spend(entry)
        elif entry.state is _State.LEFT:
            self._drop(entry)

    def _spend(self, entry: _TokenSession) -> None:
        if not entry.paid:
            self._drop(entry)
            return
        entry.state, entry.location = _State.SPENT, None
        self._by_session.pop(entry.session, None)
        heapq.heappush(self._expiry, (entry.expires, entry.token))

    def _drop(self, entry: _TokenSession) -> None:
        self._by_session.pop(entry.session, None)
        if self._by_token.get(entry.token) is entry:  # the token may have a newer entry
            del self._by_token[entry.token]

    # ---- Between directors --------------------------------------------------------------------------------
    def _owned_elsewhere(self, entry: _TokenSession) -> list[Action]:
        waiting, session = self._take_waiting(entry), entry.session
        self._drop(entry)
        return [Forward(request, session) for request in waiting]

    def _parked_taken_over(self, set_up: str) -> None:
        for entry in list(self._by_token.values()):
            if (
                entry.state is _State.PARKED
                and entry.location is not None
                and entry.location.set_up == set_up
            ):
                self._drop(entry)
                return

    def _adopt(self, event: Adopt) -> list[Action]:
        entry = self._by_token.get(event.token)
        waiting: list[int] = []
        actions: list[Action] = []
        if entry is not None and entry.state is _State.PLAYING:
            return [DuplicateSetUp()]
        if entry is not None and entry.state is _State.ASKED:
            waiting = self._take_waiting(entry)
            entry.state = _State.LEFT
            actions.append(Withdraw(entry.session))
        self._last_session += 1
        adopted = _TokenSession(
            event.token, event.paid, event.expires, self._last_session, _State.PLAYING, played=True
        )
        adopted.location = event.location
        self._by_token[event.token] = adopted
        if event.until:
            # the query brings each waiting request back here, where it resumes the parked session
            self._park(adopted, event.until)
            return [*actions, *(QueryOwner(request) for request in waiting)]
        self._by_session[adopted.session] = adopted
        answers = [SendManifest(request, adopted.session) for request in waiting]
        return [*actions, Adopted(adopted.session), *answers]

    def _restore(self, event: Restored) -> None:
        entry = _TokenSession(event.token, True, event.expires, 0, _State.SPENT, played=event.played)
        entry.restored = True
        self._by_token[event.token] = entry
        heapq.heappush(self._expiry, (event.expires, event.token))

    def _drop_expired(self, now: float) -> None:
        while self._expiry and self._expiry[0][0] <= now:
            _, token = heapq.heappop(self._expiry)
            entry = self._by_token.get(token)
            spent = entry is not None and entry.state is _State.SPENT and entry.expires <= now
            if spent or (entry is not None and entry.state is _State.PARKED and entry.parked_until <= now):
                del self._by_token[token]
