"""The life of each attempt at a box, and of what it may leave behind there.

    state      event                       next       the module is told; what is done
    (none)     Send, paid                  INTENT     write the intent first
    (none)     Send, free                  SENT       put
    (none)     Resumes                     PLAYING
    INTENT     IntentDurable               SENT       put, unless the box drains by now or the time is up
    INTENT     IntentFailed, CallOff       (none)     NEVER_SENT: nothing has left this director
    SENT       Answered 201                PLAYING    Started
    SENT       Answered otherwise          (none)     FULL where the box says so itself, else ERROR
    SENT       Lost, never left            (none)     CONNECT_FAILED or NEVER_SENT
    SENT       Lost, had left              GHOST      RESET, TIMEOUT, ERROR or CANCELLED: it may have run
    SENT       Drains, never left          (none)     NEVER_SENT: drain heard between choice and send
    PLAYING    SessionEnded                  (none)     OK, or CANCELLED where the viewer left
    PLAYING    BoxLost                     (none)     RESET
    PLAYING    CallOff                     GHOST      CANCELLED
    GHOST      Released, box gone          (none)
    GHOST      ReleaseFailed               GHOST      release again after a while

Send with a name takes a set-up up again that its box parked: no intent is written, for nothing new is paid
for, and it leaves no ghost: a lost answer leaves the box with what it may keep, and park again.

A ghost is a set-up that the box may hold for nobody. It is released until the box says so, has another boot
id, or is gone from the list: a box must never run what no viewer watches.
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
    """How a call to a box ended without an answer."""

    CONNECT = "no connection"
    RESET = "connection lost"
    TIMEOUT = "no answer in time"
    UNREADABLE = "answer cannot be read"
    CANCELLED = "called off"


_LEFT_OUTCOMES = {
    CallFailure.CONNECT: fl.Outcome.RESET,
    CallFailure.RESET: fl.Outcome.RESET,
    CallFailure.TIMEOUT: fl.Outcome.TIMEOUT,
    CallFailure.UNREADABLE: fl.Outcome.ERROR,
    CallFailure.CANCELLED: fl.Outcome.CANCELLED,
}


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Send:
    """The module's SetUp. `until` is when the attempt times out, on the module's clock, ms."""

    session: int
    attempt: int
    node: int
    rung: int
    paid: bool
    timeout_at: float
    set_up: str = ""


@dataclass(frozen=True, slots=True)
class IntentDurable:
    """The paid set-up's intent lasts."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class IntentFailed:
    """The paid set-up's intent may not last."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The box answered the set-up. `started`: it runs; else `outcome` says what the answer means."""

    session: int
    attempt: int
    started: bool
    outcome: fl.Outcome
    counter: int = 0
    boot: str = ""
    load: fl.Load | None = None
    box_time_ms: int = 0  # Unix ms by the box's clock, 0 where it did not say


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The set-up's call has no answer. `left`: any byte of it was handed to a connection."""

    session: int
    attempt: int
    failure: CallFailure
    sent: bool


@dataclass(frozen=True, slots=True)
class CancelSession:
    """Nobody wants the session any more: the viewer left, or the module cancelled or moved it."""

    session: int


@dataclass(frozen=True, slots=True)
class RungChanged:
    """The module's SetRung."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class EndedAtBox:
    """The box told that a session is over, and when by its own clock (Unix ms)."""

    session: int
    attempt: int
    outcome: fl.Outcome
    box_time_ms: int = 0
    parked: bool = False
    load: fl.Load | None = None


@dataclass(frozen=True, slots=True)
class Resume:
    """A session that plays at a box as attempt 0, handed over from an earlier run or another director.

    `name`: its set-up, where it is not of this run; `boot` and `counter` of the box when it said so.
    """

    session: int
    node: int
    rung: int
    set_up: str = ""
    boot: str = ""
    counter: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseUnwanted:
    """A box holds this set-up for this director, and it is not wanted."""

    set_up: str
    node: int


@dataclass(frozen=True, slots=True)
class PrefixChanged:
    """This director has begun another run: set-ups from here on bear its prefix, those before keep theirs."""

    prefix: str


@dataclass(frozen=True, slots=True)
class BoxLost:
    """What ran at the box is lost, but for what the process `boot` says that it holds.

    Without a boot id there was no word for too long, and all is lost. With one, what another process ran is
    lost, and of its own what it does not name, judged only by what it had set up when it spoke (`counter`).
    """

    node: int
    boot: str | None = None
    held: frozenset[str] = frozenset()
    counter: int = 0


@dataclass(frozen=True, slots=True)
class BoxDraining:
    """The list says that the box takes nothing new; `gone`: that it is no more."""

    node: int
    gone: bool


@dataclass(frozen=True, slots=True)
class BoxReady:
    """The list says that the box takes set-ups."""

    node: int


@dataclass(frozen=True, slots=True)
class Released:
    """The box confirmed that it does not hold the set-up."""

    set_up: str


@dataclass(frozen=True, slots=True)
class ReleaseFailed:
    """The release had no answer."""

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
    """Make the intent durable, then report IntentDurable."""

    session: int
    attempt: int
    node: int


@dataclass(frozen=True, slots=True)
class StartSetUp:
    """Send the set-up to the box; it times out at `until`."""

    session: int
    attempt: int
    node: int
    rung: int
    timeout_at: float


@dataclass(frozen=True, slots=True)
class AbortSetUp:
    """Stop the set-up's call, or only if nothing of it has left; what is stopped ends in Lost."""

    session: int
    attempt: int
    if_unsent: bool = False


@dataclass(frozen=True, slots=True)
class SendRung:
    """Tell the box the rung of a session that plays."""

    session: int
    attempt: int
    node: int
    rung: int


@dataclass(frozen=True, slots=True)
class Release:
    """Delete the set-up at the box; `again`: an earlier try had no answer, wait before this one."""

    set_up: str
    node: int
    retry: bool = False


@dataclass(frozen=True, slots=True)
class ReportStarted:
    """The module's Started; the box's load report is news of the moment."""

    session: int
    attempt: int
    node: int
    load: fl.Load | None = None
    box_time_ms: int = 0


@dataclass(frozen=True, slots=True)
class ReportEnded:
    """The module's Ended. `playing`: the set-up had been done."""

    session: int
    attempt: int
    node: int
    outcome: fl.Outcome
    had_started: bool
    load: fl.Load | None = None
    box_time_ms: int = 0  # by the box's clock; 0: nobody saw the end
    parked: bool = False  # the box let its place go, and keeps the set-up
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
    named: bool = False
    boot: str = ""
    counter: int = 0


class Attempts:
    """Every attempt of this director that is out, plays, or may have left something at a box."""

    def __init__(self, prefix: str) -> None:
        """`prefix` tells this director's set-ups, and this run of it, from all others."""
        self._prefix = prefix
        self._live: dict[int, _Attempt] = {}  # by session: at most one attempt is out or plays
        self._ghosts: dict[str, int] = {}  # set-up id to box
        self._by_node: dict[int, set[int]] = {}  # sessions with a live attempt at the box
        self._closed: set[int] = set()  # boxes that drain or are gone
        self._names: dict[tuple[int, int], str] = {}  # of set-ups that were taken up again
        self._named: dict[str, tuple[int, int]] = {}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms on the module's clock."""
        match event:
            case Send():
                return self._send(event)
            case BoxReady(node):
                self._closed.discard(node)
                return []
            case BoxDraining():
                return self._drains(event)
            case BoxLost():
                return self._box_lost(event)
            case Resume():
                self._resumes(event)
                return []
            case ReleaseUnwanted(set_up, node):
                self._ghosts[set_up] = node
                return [Release(set_up, node)]
            case PrefixChanged(prefix):
                self._renewed(prefix)
                return []
            case CancelSession(session):
                return self._call_off(session)
            case RungChanged():
                return self._set_rung(event)
            case Released(set_up):
                self._ghosts.pop(set_up, None)
                return []
            case ReleaseFailed(set_up):
                held = self._ghosts.get(set_up)
                return [] if held is None else [Release(set_up, held, True)]
        found = self._live.get(event.session)
        if found is None or found.attempt != event.attempt:
            return self._of_a_ghost(event)
        match event:
            case IntentDurable():
                return self._durable(now, found)
            case IntentFailed():
                # only what still waits for its record has provably not left
                waits = found.state is _State.INTENT
                return self._end(found, fl.Outcome.NEVER_SENT) if waits else []
            case Answered():
                return self._answered(found, event)
            case CallFailed():
                return self._lost(found, event)
            case EndedAtBox():
                if found.state is not _State.PLAYING:
                    return []
                return self._end(
                    found, event.outcome, event.load, box_time_ms=event.box_time_ms, parked=event.parked
                )

    # ---- What is known ------------------------------------------------------------------------------------
    def set_up_id(self, session: int, attempt: int) -> str:
        """The name of an attempt at its box."""
        return self._names.get((session, attempt)) or f"{self._prefix}-{session}-{attempt}"

    def attempt_of(self, set_up: str) -> tuple[int, int] | None:
        """Session and attempt of a set-up of this run; of one that was taken up again, the present ones."""
        known = self._named.get(set_up)
        if known is not None:
            return known
        prefix, _, attempt = set_up.rpartition("-")
        prefix, _, session = prefix.rpartition("-")
        if prefix != self._prefix or not (session.isdigit() and attempt.isdigit()):
            return None
        found = int(session), int(attempt)
        return found if f"{prefix}-{found[0]}-{found[1]}" == set_up else None

    def is_known(self, set_up: str) -> bool:
        """Whether a set-up is out, plays, or is being released."""
        own = self.attempt_of(set_up)
        found = None if own is None else self._live.get(own[0])
        return set_up in self._ghosts or (found is not None and own is not None and found.attempt == own[1])

    def playing_at(self, session: int) -> tuple[int, int] | None:
        """Box and attempt number of a session that plays."""
        found = self._live.get(session)
        return (found.node, found.attempt) if found is not None and found.state is _State.PLAYING else None

    def count_at(self, node: int) -> int:
        """How many attempts are out or play at a box."""
        return len(self._by_node.get(node, ()))

    def has_attempt(self, session: int) -> bool:
        """Whether an attempt of the session is out or plays."""
        return session in self._live

    def timeout_at(self, session: int) -> float:
        """When the attempt that is out times out, ms on the module's clock."""
        return self._live[session].timeout_at

    @property
    def live_count(self) -> int:
        return len(self._live)

    @property
    def orphan_count(self) -> int:
        return len(self._ghosts)

    # ---- Way there ----------------------------------------------------------------------------------------
    def _send(self, event: Send) -> list[Action]:
        if event.session in self._live:
            # rule 2: never two out at once, whatever the caller thinks
            raise RuntimeError(f"session {event.session} has an attempt out already")
        named = bool(event.set_up)
        if named:
            self._names[event.session, event.attempt] = event.set_up
            self._named[event.set_up] = event.session, event.attempt
        state = _State.INTENT if event.paid and not named else _State.SENT
        made = _Attempt(
            event.session, event.attempt, event.node, event.rung, event.paid, event.timeout_at, state
        )
        made.named = named
        self._live[event.session] = made
        self._by_node.setdefault(event.node, set()).add(event.session)
        if state is _State.INTENT:
            return [WriteIntent(event.session, event.attempt, event.node)]
        made.sent_rung = event.rung
        return [StartSetUp(event.session, event.attempt, event.node, event.rung, event.timeout_at)]

    def _resumes(self, event: Resume) -> None:
        if event.session in self._live:
            raise RuntimeError(f"session {event.session} is known already")
        made = _Attempt(event.session, 0, event.node, event.rung, False, 0.0, _State.PLAYING)
        made.boot, made.counter = event.boot, event.counter
        if event.set_up:
            self._names[event.session, 0] = event.set_up
            self._named[event.set_up] = event.session, 0
        self._live[event.session] = made
        self._by_node.setdefault(event.node, set()).add(event.session)

    def _renewed(self, prefix: str) -> None:
        for found in self._live.values():
            key = found.session, found.attempt
            set_up = self.set_up_id(*key)
            self._names[key], self._named[set_up] = set_up, key
        self._prefix = prefix

    def _durable(self, now: float, found: _Attempt) -> list[Action]:
        if found.state is not _State.INTENT:
            return []
        # the list may have changed, and the viewer left, while the disk was slow
        if found.node in self._closed or now >= found.timeout_at or not found.wanted:
            return self._end(found, fl.Outcome.NEVER_SENT)
        found.state, found.sent_rung = _State.SENT, found.rung
        return [StartSetUp(found.session, found.attempt, found.node, found.rung, found.timeout_at)]

    def _answered(self, found: _Attempt, event: Answered) -> list[Action]:
        if found.state is not _State.SENT:
            return []
        if not event.started:
            return self._end(found, event.outcome, event.load)
        if not found.wanted:  # the viewer left while this answer was on its way
            return self._end(found, fl.Outcome.CANCELLED, event.load, ghost=True)
        found.state, found.boot, found.counter = _State.PLAYING, event.boot, event.counter
        started: list[Action] = [
            ReportStarted(found.session, found.attempt, found.node, event.load, event.box_time_ms)
        ]
        if found.rung != found.sent_rung:
            started.append(SendRung(found.session, found.attempt, found.node, found.rung))
        return started

    def _lost(self, found: _Attempt, event: CallFailed) -> list[Action]:
        if found.state is not _State.SENT:
            return []
        if event.sent:
            return self._end(found, _LEFT_OUTCOMES[event.failure], ghost=True)
        refused = event.failure is CallFailure.CONNECT
        return self._end(found, fl.Outcome.CONNECT_FAILED if refused else fl.Outcome.NEVER_SENT)

    def _drains(self, event: BoxDraining) -> list[Action]:
        """Only what has not left is stopped: what has left was sent before the drain was heard."""
        self._closed.add(event.node)
        actions: list[Action] = []
        for session in sorted(self._by_node.get(event.node, ())):
            found = self._live[session]
            if found.state is _State.SENT and not found.draining:
                found.draining = True
                actions.append(AbortSetUp(found.session, found.attempt, if_unsent=True))
        if event.gone:
            self._ghosts = {ghost: node for ghost, node in self._ghosts.items() if node != event.node}
        return actions

    # ---- Way back -----------------------------------------------------------------------------------------
    def _call_off(self, session: int) -> list[Action]:
        found = self._live.get(session)
        if found is None:
            return []
        found.wanted = False
        if found.state is _State.INTENT:
            return []  # the record is being written: it ends as never sent when that is told
        if found.state is _State.SENT:
            return [AbortSetUp(found.session, found.attempt)]
        return self._end(found, fl.Outcome.CANCELLED, ghost=True)

    def _set_rung(self, event: RungChanged) -> list[Action]:
        found = self._live.get(event.session)
        if found is None or found.rung == event.rung:
            return []
        found.rung = event.rung
        if found.state is not _State.PLAYING:
            return []  # the set-up that is still to leave takes it along
        return [SendRung(found.session, found.attempt, found.node, event.rung)]

    def _box_lost(self, event: BoxLost) -> list[Action]:
        actions: list[Action] = []
        for session in sorted(self._by_node.get(event.node, ())):
            found = self._live[session]
            if found.state is _State.PLAYING and not self._held(found, event):
                actions += self._end(found, fl.Outcome.RESET)
        for set_up in sorted(event.held):
            if set_up not in self._ghosts and not self._is_live(set_up, event.node):
                # the box holds something that nobody here knows of: an answer was lost with its director
                self._ghosts[set_up] = event.node
                actions.append(Release(set_up, event.node))
        return actions

    def _held(self, found: _Attempt, event: BoxLost) -> bool:
        if event.boot is None or found.boot != event.boot:
            return False
        named = self.set_up_id(found.session, found.attempt) in event.held
        return named or found.counter > event.counter

    def _is_live(self, set_up: str, node: int) -> bool:
        own = self.attempt_of(set_up)
        found = None if own is None else self._live.get(own[0])
        return found is not None and own is not None and found.attempt == own[1] and found.node == node

    def _of_a_ghost(
        self, event: IntentDurable | IntentFailed | Answered | CallFailed | EndedAtBox
    ) -> list[Action]:
        """A late word on what was given up; a box that says it is over needs no release."""
        if isinstance(event, EndedAtBox):
            self._ghosts.pop(self.set_up_id(event.session, event.attempt), None)
        return []

    def _end(
        self,
        found: _Attempt,
        outcome: fl.Outcome,
        load: fl.Load | None = None,
        ghost: bool = False,
        box_time_ms: int = 0,
        parked: bool = False,
    ) -> list[Action]:
        playing = found.state is _State.PLAYING
        set_up = self.set_up_id(found.session, found.attempt)
        if self._names.pop((found.session, found.attempt), None) is not None:
            self._named.pop(set_up, None)
        del self._live[found.session]
        self._by_node[found.node].discard(found.session)
        if not self._by_node[found.node]:
            del self._by_node[found.node]
        told: list[Action] = [
            ReportEnded(
                found.session, found.attempt, found.node, outcome, playing, load, box_time_ms, parked, set_up
            )
        ]
        if ghost and (playing or not found.named):
            self._ghosts[set_up] = found.node
            # released first: the module may set the session up elsewhere at once
            told.insert(0, Release(set_up, found.node))
        return told
