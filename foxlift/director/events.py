"""Events and actions of the director's core, in addition to those of `foxlift.decide`."""

from __future__ import annotations

from dataclasses import dataclass

from foxlift.boxes import BoxNotice
from foxlift.catalogue import Title
from foxlift.decide import attempts, links, token_sessions
from foxlift.http import Headers
from foxlift.ledger import AttemptRecovered, Ended, RungChanged, Started, TurnedAway
from foxlift.membership import BoxList, ListFailed, ListReceived, Poll, PollDue
from foxlift.recovery.claims import Claim
from foxlift.store import IntentOutcome, RecoveredIntent
from foxlift.tokens import SessionToken


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class ManifestRequested:
    """A request for a title's manifest with a verified token. `waited_ms`: since its first byte."""

    request: int
    token: SessionToken
    title: Title
    expired: bool
    waited_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request disconnected before its response."""

    request: int


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """A notice of a box has arrived."""

    node: int
    notice: BoxNotice


@dataclass(frozen=True, slots=True)
class NoticeStreamClosed:
    """The notice stream of a box has ended or could not be opened."""

    node: int


@dataclass(frozen=True, slots=True)
class ParkedSessionMissing:
    """The box no longer has the parked set-up that was to be resumed."""

    session: int


@dataclass(frozen=True, slots=True)
class LinkTimerDue:
    """A timer of a link is due."""

    node: int
    event: links.RetryDue | links.LossTimeout


@dataclass(frozen=True, slots=True)
class ModuleTimerDue:
    """A timer of the module is due."""

    token: int


@dataclass(frozen=True, slots=True)
class IntentRecovered:
    """A paid set-up that was read from the intent log at start."""

    intent: RecoveredIntent


@dataclass(frozen=True, slots=True)
class TokenClaimFailed:
    """A paid set-up may not be sent: another director has its token, or no quorum answered in time.

    `claim`: the other claim, if it is known. `quorum_reached`: whether a quorum answered.
    """

    session: int
    attempt: int
    claim: Claim | None
    quorum_reached: bool = True


@dataclass(frozen=True, slots=True)
class TakenOverSession:
    """A session that this director has taken over. `owned_since_ms`: Unix ms by the box's clock.

    `parked_until_s`: until when it is parked at its box (Unix s); 0: it plays.
    """

    token: SessionToken
    title: Title
    set_up: str
    rung: int
    path_token: str
    owned_since_ms: int
    parked_until_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SessionsTakenOver:
    """A box has handed sessions over. `boot`, `counter`: from its response."""

    node: int
    boot: str
    counter: int
    sessions: tuple[TakenOverSession, ...]


@dataclass(frozen=True, slots=True)
class BootEpochRenewed:
    """This director has a new boot epoch."""

    boot_epoch: str


@dataclass(frozen=True, slots=True)
class ZonePlanChanged:
    """The shared plan for this director's viewers has changed: a share for each zone; empty: no plan."""

    shares: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class OwnershipRefused:
    """A box refused a command because another director has taken the session over."""

    set_up: str


Event = (
    ManifestRequested
    | ClientDisconnected
    | NoticeReceived
    | NoticeStreamClosed
    | ParkedSessionMissing
    | LinkTimerDue
    | ModuleTimerDue
    | IntentRecovered
    | TokenClaimFailed
    | SessionsTakenOver
    | BootEpochRenewed
    | OwnershipRefused
    | ZonePlanChanged
    | PollDue
    | ListReceived
    | ListFailed
    | attempts.IntentDurable
    | attempts.IntentFailed
    | attempts.Answered
    | attempts.CallFailed
    | attempts.Released
    | attempts.ReleaseFailed
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(slots=True)
class Session:
    """A session that is requested or plays."""

    number: int
    token: SessionToken
    title: Title
    klass: int
    paid: bool
    path_token: str
    parked_at: token_sessions.ParkedLocation | None = None  # if the session resumes a parked one
    top: int = 0  # the highest rung that it may get
    rung: int = 0
    node: int = 0
    attempt: int = 0
    attempts: int = 0
    withdrawn: bool = False
    started_ms: float = 0.0  # on the module's clock
    owned_since_ms: int = 0  # since when this director owns it, Unix ms by its box's clock
    # the last manifest served: its rung and the token in its URLs; headers; body
    manifest: tuple[tuple[int, str], Headers, bytes] | None = None
    closed: bool = False
    boot: str = ""  # boot id of the box, as known when the token was claimed
    claim_lost: bool = False  # another director has its token: no outcome is recorded here


@dataclass(frozen=True, slots=True)
class AnswerManifest:
    """Respond 200 with the session's manifest."""

    request: int
    session: Session


@dataclass(frozen=True, slots=True)
class AnswerRefused:
    """Respond 503. `come_back_ms`: when the viewer may come back; 0: not stated."""

    request: int
    session: int
    come_back_ms: float


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    """Respond 504: the session may have been set up."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class AnswerRejected:
    """Respond with a problem, without a session."""

    request: int
    reason: token_sessions.RejectionReason


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Its token is claimed by another director: find it and forward the request there.

    `claim`: the other claim; None: it has to be looked up.
    """

    request: int
    claim: Claim | None


@dataclass(frozen=True, slots=True)
class FindSession:
    """Its token is in the intent log of an earlier process: look for a box that may still play it."""

    request: int
    token: str


@dataclass(frozen=True, slots=True)
class UpdateListedBoxes:
    """The names of all boxes in the box list."""

    boxes: frozenset[str]


@dataclass(frozen=True, slots=True)
class DropOwnership:
    """Another director owns this set-up now."""

    set_up: str


@dataclass(frozen=True, slots=True)
class FetchTakenOver:
    """A box names sessions of this director that are unknown here: ask the box for them."""

    node: int


@dataclass(frozen=True, slots=True)
class PersistIntent:
    """Make the intent of a paid set-up durable; report IntentDurable or IntentFailed."""

    session: int
    attempt: int
    token: SessionToken
    box: str
    set_up: str
    node: int = 0


@dataclass(frozen=True, slots=True)
class RecordIntentOutcome:
    """Record the outcome of the token's intent."""

    token: str
    outcome: IntentOutcome


@dataclass(frozen=True, slots=True)
class Reservation:
    """The rate that a rung of a session reserves at its box, and the cap for its player."""

    rate_kb: float
    max_kbps: int


@dataclass(frozen=True, slots=True)
class SendSetUp:
    """Send a set-up to a box; report Answered or Lost.

    A parked session is resumed at its box. If the box no longer has it, ParkedSessionMissing is reported
    first.
    """

    session: Session
    attempt: int
    set_up: str
    node: int
    rung: int
    reservation: Reservation
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ChangeRung:
    """Send the new rung of a playing session to its box."""

    set_up: str
    node: int
    rung: int
    reservation: Reservation


@dataclass(frozen=True, slots=True)
class OpenNoticeStream:
    """Open the notice stream of a box."""

    node: int


@dataclass(frozen=True, slots=True)
class CloseNoticeStream:
    """Close the notice stream of a box."""

    node: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Handle `event` after `delay_ms`."""

    delay_ms: float
    event: Event


@dataclass(frozen=True, slots=True)
class SaveBoxList:
    """Store the box list for a restart."""

    boxes: BoxList


@dataclass(frozen=True, slots=True)
class WriteLedgerEntry:
    """Write an event to the ledger."""

    event: Started | RungChanged | Ended | TurnedAway | AttemptRecovered


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """The session has ended and is removed."""

    session: Session


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    event: str
    session: int | None = None
    node: str | None = None
    detail: str = ""


Action = (
    AnswerManifest
    | AnswerRefused
    | AnswerFailed
    | AnswerRejected
    | ForwardRequest
    | FindSession
    | FetchTakenOver
    | DropOwnership
    | UpdateListedBoxes
    | PersistIntent
    | RecordIntentOutcome
    | SendSetUp
    | ChangeRung
    | attempts.AbortSetUp
    | attempts.Release
    | OpenNoticeStream
    | CloseNoticeStream
    | StartTimer
    | Poll
    | SaveBoxList
    | WriteLedgerEntry
    | SessionClosed
    | WriteLog
)
