"""The life of each attempt at a box, and of the orphaned set-up that it may leave there.

    state      event                       next       outcome for the module; what is done
    (none)     Send, paid                  INTENT     write the intent first
    (none)     Send, free                  SENT       send the set-up
    (none)     Resume                      PLAYING
    INTENT     IntentDurable               SENT       send it, unless the box now drains or the time is up
    INTENT     IntentFailed                (none)     NEVER_SENT: nothing has left this director
    INTENT     CancelSession               INTENT     NEVER_SENT once the intent is durable or has failed
    SENT       Answered 201                PLAYING    Started
    SENT       Answered 201, cancelled     ORPHAN     CANCELLED
    SENT       Answered otherwise          (none)     FULL where the box itself says so, else ERROR
    SENT       CallFailed, nothing sent    (none)     CONNECT_FAILED or NEVER_SENT
    SENT       CallFailed, bytes sent      ORPHAN     RESET, TIMEOUT, ERROR or CANCELLED: it may have run
    SENT       BoxDraining, nothing sent   (none)     NEVER_SENT: the drain came between choice and sending
    SENT       CancelSession               SENT       the call is stopped and ends in CallFailed
    PLAYING    EndedAtBox                  (none)     OK, or CANCELLED where the viewer left
    PLAYING    BoxLost                     (none)     RESET
    PLAYING    CancelSession               ORPHAN     CANCELLED
    ORPHAN     Released, EndedAtBox        (none)
    ORPHAN     BoxDraining, box gone       (none)
    ORPHAN     ReleaseFailed               ORPHAN     release it again after a delay

Send with the name of a set-up resumes one that its box parked. No intent is written, because nothing new is
paid for, and a lost answer leaves no orphan: the box may keep the set-up, and will park it again.

An orphan is a set-up that the box may hold although no viewer wants it. It is released until the box confirms
that it does not hold it, or the box is gone from the list: a box must never run what no viewer watches.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from foxlift import interface as fl


class _State(Enum):
    INTENT = "intent"
    SENT = "sent"
    PLAYING = "playing"


class CallFailure(Enum):
    """Why a call to a box has no usable answer."""

    CONNECT = "no connection"
    RESET = "connection lost"
    TIMEOUT = "no answer in time"
    UNREADABLE = "answer cannot be read"
    CANCELLED = "called off"


_OUTCOMES_IF_SENT = {
    CallFailure.CONNECT: fl.Outcome.RESET,
    CallFailure.RESET: fl.Outcome.RESET,
    CallFailure.TIMEOUT: fl.Outcome.TIMEOUT,
    CallFailure.UNREADABLE: fl.Outcome.ERROR,
    CallFailure.CANCELLED: fl.Outcome.CANCELLED,
}


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt: the module's SetUp. `set_up`: the parked set-up to resume, if any."""

    session: int
    attempt: int
    node: int
    rung: int
    paid: bool
    timeout_at: float  # ms on the module's clock
    set_up: str = ""


@dataclass(frozen=True, slots=True)
class IntentDurable:
    """The intent of the paid set-up is on stable storage."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class IntentFailed:
    """The intent of the paid set-up may not be on stable storage."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The box answered the set-up. It runs if `started`, else `outcome` is what the answer means."""

    session: int
    attempt: int
    started: bool
    outcome: fl.Outcome
    counter: int = 0
    boot: str = ""
    load: fl.Load | None = None
    box_time_ms: int = 0  # Unix ms by the box's clock, 0 if not reported


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The set-up's call has no usable answer. `sent`: at least one byte was written to a connection."""

    session: int
    attempt: int
    failure: CallFailure
    sent: bool


@dataclass(frozen=True, slots=True)
class CancelSession:
    """The session is not wanted any more: its viewer left, or the module cancelled or moved it."""

    session: int


@dataclass(frozen=True, slots=True)
class RungChanged:
    """The module's SetRung: the session is to play at this rung."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class EndedAtBox:
    """The box reported the end of a session. `box_time_ms`: when, Unix ms by the box's clock."""

    session: int
    attempt: int
    outcome: fl.Outcome
    box_time_ms: int = 0
    parked: bool = False
    load: fl.Load | None = None


@dataclass(frozen=True, slots=True)
class Resume:
    """A session that plays at a box as attempt 0, from an earlier run of this director or from another one.

    `set_up`: the id of its set-up if this run did not make it. `boot` and `counter`: as reported by the box.
    """

    session: int
    node: int
    rung: int
    set_up: str = ""
    boot: str = ""
    counter: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseUnwanted:
    """A box holds this set-up for this director, but no session needs it."""

    set_up: str
    node: int


@dataclass(frozen=True, slots=True)
class PrefixChanged:
    """This director has begun another run: new set-ups get its prefix, those made before keep theirs."""

    prefix: str


@dataclass(frozen=True, slots=True)
class BoxLost:
    """What ran at the box is lost, except for what its process `boot` reports to hold.

    Without a boot id, the box was silent for too long, and all is lost. With one, set-ups of another process
    are lost, and set-ups of this process that are not in `held`, unless they were made after the report:
    `counter` is the process's count of set-ups at that time.
    """

    node: int
    boot: str | None = None
    held: frozenset[str] = frozenset()
    counter: int = 0


@dataclass(frozen=True, slots=True)
class BoxDraining:
    """By the list, the box takes no new set-ups; `gone`: the box is no longer listed."""

    node: int
    gone: bool


@dataclass(frozen=True, slots=True)
class BoxReady:
    """By the list, the box takes set-ups."""

    node: int


@dataclass(frozen=True, slots=True)
class Released:
    """The box confirmed that it does not hold the set-up."""

    set_up: str


@dataclass(frozen=True, slots=True)
class ReleaseFailed:
    """The call to release the set-up has no usable answer."""

    set_up: str


Event = (
    Send
    | IntentDurable
    | IntentFailed
    | Answered
    | CallFailed
    | CancelSession
    | RungChanged
    | EndedAtBox
    | Resume
    | ReleaseUnwanted
    | PrefixChanged
    | BoxLost
    | BoxDraining
    | BoxReady
    | Released
    | ReleaseFailed
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class WriteIntent:
    """Write the intent to stable storage, then deliver IntentDurable or IntentFailed."""

    session: int
    attempt: int
    node: int


@dataclass(frozen=True, slots=True)
class StartSetUp:
    """Send the set-up to the box; the attempt ends at `timeout_at` if there is no answer."""

    session: int
    attempt: int
    node: int
    rung: int
    timeout_at: float


@dataclass(frozen=True, slots=True)
class AbortSetUp:
    """Stop the set-up's call; if `if_unsent`, only if no byte was sent. A stopped call ends in CallFailed."""

    session: int
    attempt: int
    if_unsent: bool = False


@dataclass(frozen=True, slots=True)
class SendRung:
    """Send the box the new rung of a playing session."""

    session: int
    attempt: int
    node: int
    rung: int


@dataclass(frozen=True, slots=True)
class Release:
    """Delete the set-up at the box; `retry`: an earlier call failed, wait before this one."""

    set_up: str
    node: int
    retry: bool = False


@dataclass(frozen=True, slots=True)
class ReportStarted:
    """Deliver Started to the module; `load` is the box's load report in its answer."""

    session: int
    attempt: int
    node: int
    load: fl.Load | None = None
    box_time_ms: int = 0


@dataclass(frozen=True, slots=True)
class ReportEnded:
    """Deliver Ended to the module. `had_started`: the attempt was playing."""

    session: int
    attempt: int
    node: int
    outcome: fl.Outcome
    had_started: bool
    load: fl.Load | None = None
    box_time_ms: int = 0  # when it ended by the box's clock; 0 if not reported
    parked: bool = False  # the box freed the session's slot but keeps the set-up
    set_up: str = ""


Action = WriteIntent | StartSetUp | AbortSetUp | SendRung | Release | ReportStarted | ReportEnded


@dataclass(slots=True)
class _Attempt:
    session: int
    attempt: int
    node: int
    rung: int
    paid: bool
    timeout_at: float
    state: _State
    sent_rung: int = -1
    wanted: bool = True
    draining: bool = False
    resumes_parked: bool = False
    boot: str = ""
    counter: int = 0


class Attempts:
    """All attempts of this director that are out or playing, and the orphans that it has to release."""

    def __init__(self, prefix: str) -> None:
        """`prefix` distinguishes the set-ups of this director and this run from all others."""
        self._prefix = prefix
        self._live: dict[int, _Attempt] = {}  # by session, which has at most one attempt out or playing
        self._orphans: dict[str, int] = {}  # box by set-up id
        self._by_node: dict[int, set[int]] = {}  # sessions with a live attempt, by box
        self._closed: set[int] = set()  # boxes that drain or are gone
        self._set_up_ids: dict[tuple[int, int], str] = {}  # of set-ups not named after session and attempt
        self._attempt_ids: dict[str, tuple[int, int]] = {}  # the same, by set-up id

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; `now` is in ms on the module's clock."""
        match event:
            case Send():
                return self._send(event)
            case BoxReady(node):
                self._closed.discard(node)
                return []
            case BoxDraining():
                return self._box_draining(event)
            case BoxLost():
                return self._box_lost(event)
            case Resume():
                self._resume(event)
                return []
            case ReleaseUnwanted(set_up, node):
                self._orphans[set_up] = node
                return [Release(set_up, node)]
            case PrefixChanged(prefix):
                self._change_prefix(prefix)
                return []
            case CancelSession(session):
                return self._cancel(session)
            case RungChanged():
                return self._set_rung(event)
            case Released(set_up):
                self._orphans.pop(set_up, None)
                return []
            case ReleaseFailed(set_up):
                held = self._orphans.get(set_up)
                return [] if held is None else [Release(set_up, held, True)]
        current = self._live.get(event.session)
        if current is None or current.attempt != event.attempt:
            return self._after_end(event)
        match event:
            case IntentDurable():
                return self._intent_durable(now, current)
            case IntentFailed():
                # only while it waits for the intent is it certain that nothing was sent
                unsent = current.state is _State.INTENT
                return self._end(current, fl.Outcome.NEVER_SENT) if unsent else []
            case Answered():
                return self._answered(current, event)
            case CallFailed():
                return self._call_failed(current, event)
            case EndedAtBox():
                if current.state is not _State.PLAYING:
                    return []
                return self._end(
                    current, event.outcome, event.load, box_time_ms=event.box_time_ms, parked=event.parked
                )

    # ---- Queries ------------------------------------------------------------------------------------------
    def set_up_id(self, session: int, attempt: int) -> str:
        """The id of the attempt's set-up at its box."""
        return self._set_up_ids.get((session, attempt)) or f"{self._prefix}-{session}-{attempt}"

    def attempt_of(self, set_up: str) -> tuple[int, int] | None:
        """Session and attempt of a set-up of this run; of a resumed set-up, those that use it now."""
        resumed = self._attempt_ids.get(set_up)
        if resumed is not None:
            return resumed
        prefix, _, attempt = set_up.rpartition("-")
        prefix, _, session = prefix.rpartition("-")
        if prefix != self._prefix or not (session.isdigit() and attempt.isdigit()):
            return None
        numbers = int(session), int(attempt)
        return numbers if f"{prefix}-{numbers[0]}-{numbers[1]}" == set_up else None

    def is_known(self, set_up: str) -> bool:
        """Whether the set-up is out, playing or being released."""
        own = self.attempt_of(set_up)
        current = None if own is None else self._live.get(own[0])
        return set_up in self._orphans or (
            current is not None and own is not None and current.attempt == own[1]
        )

    def playing_at(self, session: int) -> tuple[int, int] | None:
        """Box and attempt number of a playing session, else None."""
        current = self._live.get(session)
        return (
            (current.node, current.attempt)
            if current is not None and current.state is _State.PLAYING
            else None
        )

    def count_at(self, node: int) -> int:
        """Number of attempts out or playing at the box."""
        return len(self._by_node.get(node, ()))

    def has_attempt(self, session: int) -> bool:
        """Whether an attempt of the session is out or playing."""
        return session in self._live

    def timeout_at(self, session: int) -> float:
        """When the session's attempt times out, ms on the module's clock."""
        return self._live[session].timeout_at

    @property
    def live_count(self) -> int:
        return len(self._live)

    @property
    def orphan_count(self) -> int:
        return len(self._orphans)

    # ---- Set-up, resumption -------------------------------------------------------------------------------
    def _send(self, event: Send) -> list[Action]:
        if event.session in self._live:
            # rule 2: a session never has two attempts out at once
            raise RuntimeError(f"session {event.session} has an attempt out already")
        resumes_parked = bool(event.set_up)
        if resumes_parked:
            self._set_up_ids[event.session, event.attempt] = event.set_up
            self._attempt_ids[event.set_up] = event.session, event.attempt
        state = _State.INTENT if event.paid and not resumes_parked else _State.SENT
        created = _Attempt(
            event.session, event.attempt, event.node, event.rung, event.paid, event.timeout_at, state
        )
        created.resumes_parked = resumes_parked
        self._live[event.session] = created
        self._by_node.setdefault(event.node, set()).add(event.session)
        if state is _State.INTENT:
            return [WriteIntent(event.session, event.attempt, event.node)]
        created.sent_rung = event.rung
        return [StartSetUp(event.session, event.attempt, event.node, event.rung, event.timeout_at)]

    def _resume(self, event: Resume) -> None:
        if event.session in self._live:
            raise RuntimeError(f"session {event.session} has an attempt already")
        created = _Attempt(event.session, 0, event.node, event.rung, False, 0.0, _State.PLAYING)
        created.boot, created.counter = event.boot, event.counter
        if event.set_up:
            self._set_up_ids[event.session, 0] = event.set_up
            self._attempt_ids[event.set_up] = event.session, 0
        self._live[event.session] = created
        self._by_node.setdefault(event.node, set()).add(event.session)

    def _change_prefix(self, prefix: str) -> None:
        for current in self._live.values():
            key = current.session, current.attempt
            set_up = self.set_up_id(*key)
            self._set_up_ids[key], self._attempt_ids[set_up] = set_up, key
        self._prefix = prefix

    def _intent_durable(self, now: float, current: _Attempt) -> list[Action]:
        if current.state is not _State.INTENT:
            return []
        # meanwhile the list may have changed or the viewer left: writing the intent takes time
        if current.node in self._closed or now >= current.timeout_at or not current.wanted:
            return self._end(current, fl.Outcome.NEVER_SENT)
        current.state, current.sent_rung = _State.SENT, current.rung
        return [StartSetUp(current.session, current.attempt, current.node, current.rung, current.timeout_at)]

    def _answered(self, current: _Attempt, event: Answered) -> list[Action]:
        if current.state is not _State.SENT:
            return []
        if not event.started:
            return self._end(current, event.outcome, event.load)
        if not current.wanted:  # the viewer left while the answer was on its way
            return self._end(current, fl.Outcome.CANCELLED, event.load, orphan=True)
        current.state, current.boot, current.counter = _State.PLAYING, event.boot, event.counter
        started: list[Action] = [
            ReportStarted(current.session, current.attempt, current.node, event.load, event.box_time_ms)
        ]
        if current.rung != current.sent_rung:
            started.append(SendRung(current.session, current.attempt, current.node, current.rung))
        return started

    def _call_failed(self, current: _Attempt, event: CallFailed) -> list[Action]:
        if current.state is not _State.SENT:
            return []
        if event.sent:
            return self._end(current, _OUTCOMES_IF_SENT[event.failure], orphan=True)
        refused = event.failure is CallFailure.CONNECT
        return self._end(current, fl.Outcome.CONNECT_FAILED if refused else fl.Outcome.NEVER_SENT)

    def _box_draining(self, event: BoxDraining) -> list[Action]:
        """Stop only set-ups of which nothing was sent: the others were sent before the drain was received."""
        self._closed.add(event.node)
        actions: list[Action] = []
        for session in sorted(self._by_node.get(event.node, ())):
            current = self._live[session]
            if current.state is _State.SENT and not current.draining:
                current.draining = True
                actions.append(AbortSetUp(current.session, current.attempt, if_unsent=True))
        if event.gone:
            self._orphans = {orphan: node for orphan, node in self._orphans.items() if node != event.node}
        return actions

    # ---- End and rung -------------------------------------------------------------------------------------
    def _cancel(self, session: int) -> list[Action]:
        current = self._live.get(session)
        if current is None:
            return []
        current.wanted = False
        if current.state is _State.INTENT:
            return []  # ends as NEVER_SENT at IntentDurable or IntentFailed
        if current.state is _State.SENT:
            return [AbortSetUp(current.session, current.attempt)]
        return self._end(current, fl.Outcome.CANCELLED, orphan=True)

    def _set_rung(self, event: RungChanged) -> list[Action]:
        current = self._live.get(event.session)
        if current is None or current.rung == event.rung:
            return []
        current.rung = event.rung
        if current.state is not _State.PLAYING:
            return []  # the set-up carries it, or SendRung follows its answer
        return [SendRung(current.session, current.attempt, current.node, event.rung)]

    def _box_lost(self, event: BoxLost) -> list[Action]:
        actions: list[Action] = []
        for session in sorted(self._by_node.get(event.node, ())):
            current = self._live[session]
            if current.state is _State.PLAYING and not self._is_held(current, event):
                actions += self._end(current, fl.Outcome.RESET)
        for set_up in sorted(event.held):
            if set_up not in self._orphans and not self._is_live(set_up, event.node):
                # unknown here: its answer was lost with an earlier process of this director
                self._orphans[set_up] = event.node
                actions.append(Release(set_up, event.node))
        return actions

    def _is_held(self, current: _Attempt, event: BoxLost) -> bool:
        if event.boot is None or current.boot != event.boot:
            return False
        listed = self.set_up_id(current.session, current.attempt) in event.held
        return listed or current.counter > event.counter

    def _is_live(self, set_up: str, node: int) -> bool:
        own = self.attempt_of(set_up)
        current = None if own is None else self._live.get(own[0])
        return current is not None and own is not None and current.attempt == own[1] and current.node == node

    def _after_end(
        self, event: IntentDurable | IntentFailed | Answered | CallFailed | EndedAtBox
    ) -> list[Action]:
        """A late event of an attempt that has ended. An orphan that has ended at its box needs no release."""
        if isinstance(event, EndedAtBox):
            self._orphans.pop(self.set_up_id(event.session, event.attempt), None)
        return []

    def _end(
        self,
        current: _Attempt,
        outcome: fl.Outcome,
        load: fl.Load | None = None,
        orphan: bool = False,
        box_time_ms: int = 0,
        parked: bool = False,
    ) -> list[Action]:
        playing = current.state is _State.PLAYING
        set_up = self.set_up_id(current.session, current.attempt)
        if self._set_up_ids.pop((current.session, current.attempt), None) is not None:
            self._attempt_ids.pop(set_up, None)
        del self._live[current.session]
        self._by_node[current.node].discard(current.session)
        if not self._by_node[current.node]:
            del self._by_node[current.node]
        actions: list[Action] = [
            ReportEnded(
                current.session,
                current.attempt,
                current.node,
                outcome,
                playing,
                load,
                box_time_ms,
                parked,
                set_up,
            )
        ]
        if orphan and (playing or not current.resumes_parked):
            self._orphans[set_up] = current.node
            # released first: the module may set up the session elsewhere at once
            actions.insert(0, Release(set_up, current.node))
        return actions
