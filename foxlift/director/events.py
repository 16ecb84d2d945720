"""What the director's core takes in and gives out, beside the events and actions of `foxlift.decide`."""

from __future__ import annotations

from dataclasses import dataclass

from foxlift.boxes import BoxNotice
from foxlift.catalogue import Title
from foxlift.decide import attempts, links, token_sessions
from foxlift.http import Headers
from foxlift.ledger import Ended, Ran, Rerung, Started, TurnedAway
from foxlift.membership import BoxList, ListFailed, ListReceived, Poll, PollDue
from foxlift.recovery.claims import Claim
from foxlift.store import IntentOutcome, RecoveredIntent
from foxlift.tokens import SessionToken


# ---- In ---------------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class ManifestRequested:
    """A request for a title's manifest, with a token that verified. `waited_ms`: since its first byte."""

    request: int
    token: SessionToken
    title: Title
    expired: bool
    waited_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The request's client left before its answer."""

    request: int


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """A box told something of its own accord."""

    node: int
    notice: BoxNotice


@dataclass(frozen=True, slots=True)
class NoticeStreamClosed:
    """The notice stream of a box ended or could not be opened."""

    node: int


@dataclass(frozen=True, slots=True)
class ParkedSessionMissing:
    """The box does not have the set-up that was to be taken up again."""

    session: int


@dataclass(frozen=True, slots=True)
class LinkTimerDue:
    """A wait that a link asked for is over."""

    node: int
    event: links.RetryDue | links.LossTimeout


@dataclass(frozen=True, slots=True)
class ModuleTimerDue:
    """A timer of the module is due."""

    token: int


@dataclass(frozen=True, slots=True)
class IntentRecovered:
    """A paid set-up from the record, at the start."""

    intent: RecoveredIntent


@dataclass(frozen=True, slots=True)
class TokenClaimFailed:
    """The token of a paid set-up that was about to leave is another's; or nobody could be asked in time."""

    session: int
    attempt: int
    claim: Claim | None
    quorum_reached: bool = True


@dataclass(frozen=True, slots=True)
class TakenOverSession:
    """A session at a box that this director owns from now on. `at`: since when, Unix ms of the box.

    `until`: 0, or until when it is parked there (Unix seconds).
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
    """A box has handed these over. `counter`, `boot`: of its answer."""

    node: int
    boot: str
    counter: int
    sessions: tuple[TakenOverSession, ...]


@dataclass(frozen=True, slots=True)
class BootEpochRenewed:
    """This director is in another run from now on."""

    boot_epoch: str


@dataclass(frozen=True, slots=True)
class ZonePlanChanged:
    """Where this director's viewers go by the plan in common, a share for each zone; empty: there is none."""

    shares: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class OwnershipRefused:
    """A box refused a command: it was taken over by another director."""

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


# ---- Out --------------------------------------------------------------------------------------------------
@dataclass(slots=True)
class Session:
    """What the director keeps of a session while it is asked for or plays."""

    number: int
    token: SessionToken
    title: Title
    klass: int
    paid: bool
    path_token: str
    parked_at: token_sessions.ParkedLocation | None = (
        None  # where it was parked, if it is to be taken up again
    )
    top: int = 0  # the highest rung that it may ever have
    rung: int = 0
    node: int = 0
    attempt: int = 0
    attempts: int = 0
    withdrawn: bool = False
    started_ms: float = 0.0  # on the module's clock
    owned_since_ms: int = 0  # since when it is this director's, Unix ms of its box
    # as last shown: rung, whose token in its URLs; headers and body
    manifest: tuple[tuple[int, str], Headers, bytes] | None = None
    closed: bool = False
    boot: str = ""  # of the box, as it was known when the token was claimed
    claim_lost: bool = False  # its token is another's: nothing of it is to be written down


@dataclass(frozen=True, slots=True)
class AnswerManifest:
    """Answer 200 with the session's manifest."""

    request: int
    session: Session


@dataclass(frozen=True, slots=True)
class AnswerRefused:
    """Answer 503; come back after so many milliseconds, where that is allowed."""

    request: int
    session: int
    come_back_ms: float


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    """Answer 504 or 502: the session may have been set up."""

    request: int
    session: int


@dataclass(frozen=True, slots=True)
class AnswerRejected:
    """Answer at once, without a session."""

    request: int
    reason: token_sessions.RejectionReason


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Its token is claimed elsewhere: find out where this request goes. None: by the record of this run."""

    request: int
    claim: Claim | None


@dataclass(frozen=True, slots=True)
class FindSession:
    """Its token is in the record of an earlier run: its box may still play it."""

    request: int
    token: str


@dataclass(frozen=True, slots=True)
class UpdateListedBoxes:
    """The boxes that the list names, by name."""

    boxes: frozenset[str]


@dataclass(frozen=True, slots=True)
class DropOwnership:
    """Another director owns this set-up from now on."""

    set_up: str


@dataclass(frozen=True, slots=True)
class FetchTakenOver:
    """A box names sessions of this director that it does not know: ask the box for them."""

    node: int


@dataclass(frozen=True, slots=True)
class PersistIntent:
    """Make the intent of a paid set-up durable, then report IntentDurable or IntentFailed."""

    session: int
    attempt: int
    token: SessionToken
    box: str
    set_up: str
    node: int = 0


@dataclass(frozen=True, slots=True)
class RecordIntentOutcome:
    """Record what became of it."""

    token: str
    outcome: IntentOutcome


@dataclass(frozen=True, slots=True)
class Reservation:
    """What a rung of a session takes of its box (kB/s), and the cap for its player (kbit/s)."""

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
    """Tell a box the rung of a playing session."""

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
    """Close it."""

    node: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Hand the event back after so many milliseconds."""

    delay_ms: float
    event: Event


@dataclass(frozen=True, slots=True)
class SaveBoxList:
    """Keep the box list for a restart."""

    boxes: BoxList


@dataclass(frozen=True, slots=True)
class WriteLedgerEntry:
    """Write down in the ledger."""

    event: Started | Rerung | Ended | TurnedAway | Ran


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """Nothing of the session is left."""

    session: Session


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the operators' log."""

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
