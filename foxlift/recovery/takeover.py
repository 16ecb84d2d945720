"""Which directors' work at which boxes this one takes over, and when. No I/O, no clock, random from a seed.

For each director that is gone, each box of the list has one successor: the first of those there by rendezvous
of both names. So a dead director's work is spread over the survivors by box, and costs one request a box.

    work (of, box)  event                               next      what is done
    (none)          of is gone, this one is first       WAITS     a while drawn from the seed
    WAITS           due, fewer than MOST_OUT are out    ASKED     Take
    ASKED           Took, more is there                 WAITS     the next part, after a while
    ASKED           Took, of this director itself       DONE
    ASKED           Took                                WAITS     to sweep: asks once more, for any run
    ASKED           Took, or the box hears from of,     DONE
                    as the MAX_SWEEPS-th sweep
    ASKED           NotTaken                            WAITS     a while that doubles
    WAITS           another is first by now             (none)
    any             of is back in a later run           (none)
    any             the box left the list               (none)

A view is a hint and never a proof: it says when to ask. The box is asked to compare and set, and refuses
where it still hears from the old owner, unless the asker is `certain`: the old owner has left in order, or
more than half of the fleet has spoken to the asker since it believed the other dead, and some probes have
passed since. So two halves of a cut fleet that both reach the boxes take nothing from each other, and a
director that stands still loses its work only to a majority.

A director may begin a run and die before any other has heard of that run. So one that stays gone is swept:
after a while the box is asked for whatever it has of it, in any run, and refuses where it hears from it. The
waits double, and MAX_SWEEPS of them bound what a death costs.

A director's own earlier run is taken over in the same way, at each box, before anything else of it is done.
One that was never heard of since this director's start counts as gone after UNKNOWN_MS: a fleet that was
killed whole finds the sessions of those who do not come back at the boxes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from foxlift.consensus.rendezvous import is_first, replicas_of
from foxlift.peers.messages import PeerState

MOST_OUT = 4  # takes out at once
SPREAD_MS = 200.0  # the first take of a work is drawn from so long
NEXT_MS = 30.0  # between parts of one box's work, and half of it more by chance
AGAIN_MS = 250.0  # after a take that had no answer or was refused; doubles
AGAIN_MOST_MS = 1500.0
CERTAIN_MS = 3000.0  # after a majority spoke that still counts as there, and at least
CERTAIN_PERIODS = 8  # so many probes: a cut that has healed shows before anybody is sure
UNKNOWN_MS = 20_000.0
MAX_SWEEPS = 4


class Why(Enum):
    """Why a take brought nothing."""

    SILENT = "no answer"
    ALIVE = "the box hears from its owner"
    FENCED = "this director's own run is over at the box"


class _State(Enum):
    WAITS = "waits"
    ASKED = "asked"
    DONE = "done"


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Started:
    """This director begins a run: what earlier runs of it left at boxes is its own. `run` is the new one."""

    run: int


@dataclass(frozen=True, slots=True)
class Seen:
    """What is believed of a peer now; of all that are there, itself first."""

    peer: str
    state: PeerState
    run: int
    there: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Heard:
    """A peer has spoken to this director itself."""

    peer: str


@dataclass(frozen=True, slots=True)
class Listed:
    """The boxes of the list."""

    boxes: frozenset[str]


@dataclass(frozen=True, slots=True)
class Took:
    """The box has answered; `more`: it holds more that is to be taken."""

    work: int
    more: bool = False


@dataclass(frozen=True, slots=True)
class NotTaken:
    """It has not, or refused."""

    work: int
    why: Why


@dataclass(frozen=True, slots=True)
class Due:
    """A wait of a work is over."""

    work: int
    turn: int


@dataclass(frozen=True, slots=True)
class UnknownDue:
    """Whoever was not heard of until now counts as gone."""


Event = Started | Seen | Heard | Listed | Took | NotTaken | Due | UnknownDue


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Take:
    """Ask the box for what `of` owns there in runs up to `upto` (0: in whichever the box has seen last)."""

    work: int
    box: str
    of: str
    upto: int
    certain: bool


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Tell this event after so long."""

    delay_ms: float
    event: Due | UnknownDue


Action = Take | StartTimer


@dataclass(slots=True)
class _Gone:
    run: int
    since: float
    left: bool = False
    heard: int = 0  # who has spoken since: a bit for each name, for thousands may be dead at once
    sure_at: float | None = None  # when those and this one were a majority


@dataclass(slots=True)
class _Work:
    number: int
    of: str
    box: str
    state: _State = _State.WAITS
    turn: int = 0
    due: bool = False  # waits for one of the few that are out
    wait_ms: float = AGAIN_MS
    sweeps: int = 0  # begun: what is asked for now is what the box has in any run


@dataclass(slots=True)
class Takeovers:
    """One director's part. `names`: of the settings, its own among them."""

    name: str
    names: frozenset[str]
    seed: int
    period_ms: float = 500.0  # between a director's probes
    _boxes: frozenset[str] = frozenset()
    _there: tuple[str, ...] = ()
    _gone: dict[str, _Gone] = field(default_factory=dict)
    _heard: set[str] = field(default_factory=set)
    _work: dict[tuple[str, str], _Work] = field(default_factory=dict)
    _by_number: dict[int, _Work] = field(default_factory=dict)
    _last: int = 0
    _bit_of: dict[str, int] = field(init=False)
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._bit_of = {name: 1 << place for place, name in enumerate(sorted(self.names))}
        self._random = random.Random(f"{self.seed} takeovers {self.name}")
        self._there = (self.name,)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms on a clock that never steps back."""
        match event:
            case Started(run):
                return self._started(now, run)
            case Seen():
                return self._seen(now, event)
            case Heard(peer):
                self._heard_of(now, peer)
                return []
            case Listed(boxes):
                self._boxes = boxes
                return self._plan()
            case UnknownDue():
                for name in sorted(self.names - self._heard - {self.name}):
                    self._gone.setdefault(name, _Gone(0, now))
                return self._plan()
            case Due(number, turn):
                work = self._by_number.get(number)
                if work is None or work.turn != turn or work.state is not _State.WAITS:
                    return []
                work.due = True
                return self._let_out(now)
            case Took(number, more):
                return self._took(now, number, more)
            case NotTaken(number, why):
                return self._not_taken(now, number, why)

    def _heard_of(self, now: float, peer: str) -> None:
        """A peer that speaks after a death counts towards the majority that makes it certain."""
        bit = self._bit_of.get(peer, 0)
        for name, gone in self._gone.items():
            if peer != name and gone.sure_at is None:
                gone.heard |= bit
                if 2 * (1 + gone.heard.bit_count()) > len(self.names):
                    gone.sure_at = now

    def _succeeds(self, of: str, box: str) -> bool:
        """Whether `successor` is this director, without ranking all others."""
        others = (name for name in self._there if name != of)
        # the second question is asked of the few that pass the first
        return is_first(f"{of}/{box}", self.name, others) and self.successor(of, box) == self.name

    def successor(self, of: str, box: str) -> str:
        """Who takes over what `of` has at a box, as this director sees it."""
        candidates = [name for name in self._there if name != of] or [self.name]
        return replicas_of(f"{of}/{box}", candidates, 1)[0]

    def certain(self, now: float, name: str) -> bool:
        """Whether its end is sure enough to go before a box's hearing from it."""
        gone = self._gone.get(name)
        if gone is None or gone.left:
            return gone is not None
        return gone.run > 0 and gone.sure_at is not None and now - gone.sure_at >= self._certain_ms

    @property
    def _certain_ms(self) -> float:
        """So long after a majority spoke what is believed of a death is certain."""
        return max(CERTAIN_MS, CERTAIN_PERIODS * self.period_ms)

    def own_done(self, box: str) -> bool:
        """Whether what earlier runs of this director left at a box is this run's by now."""
        work = self._work.get((self.name, box))
        return work is not None and work.state is _State.DONE

    def is_gone(self, name: str) -> bool:
        """Whether its work is to be taken over."""
        return name in self._gone

    def sizes(self) -> dict[str, int]:
        """Entries in each table."""
        return {"gone": len(self._gone), "work": len(self._work)}

    # ---- What is to be done -------------------------------------------------------------------------------
    def _started(self, now: float, run: int) -> list[Action]:
        first = self.name not in self._gone
        self._gone[self.name] = _Gone(run - 1, now, left=True)  # nobody is as certain as itself
        self._forget(lambda work: work.of == self.name)
        wait: list[Action] = [StartTimer(UNKNOWN_MS, UnknownDue())] if first else []
        return [*wait, *self._plan()]

    def _seen(self, now: float, seen: Seen) -> list[Action]:
        self._there = seen.there
        if seen.peer == self.name or seen.peer not in self.names:
            if seen.peer != self.name:
                self._gone.pop(seen.peer, None)  # the settings name it no more
            return self._plan()
        known = self._gone.get(seen.peer)
        if seen.state in (PeerState.DEAD, PeerState.LEFT):
            self._heard.add(seen.peer)
            left = seen.state is PeerState.LEFT
            if known is None or known.run < seen.run or (left and not known.left):
                self._gone[seen.peer] = _Gone(seen.run, now, left)
                self._forget(lambda work: work.of == seen.peer)
        elif seen.state in (PeerState.ALIVE, PeerState.SUSPECTED):
            self._heard.add(seen.peer)
            if known is not None:
                # refuted, or back in a later run: then its own next run takes what is left
                del self._gone[seen.peer]
        return self._plan()

    def _plan(self) -> list[Action]:
        """Works that are this director's by now, and none that are not."""
        wanted = {
            (of, box)
            for of in self._gone
            for box in self._boxes
            if of == self.name or self._succeeds(of, box)
        }
        self._forget(lambda work: (work.of, work.box) not in wanted)
        out: list[Action] = []
        for key in sorted(wanted - self._work.keys()):
            self._last += 1
            work = self._work[key] = self._by_number[self._last] = _Work(self._last, *key)
            out.append(self._wait(work, SPREAD_MS * self._random.random()))
        return out

    def _forget(self, which: Callable[[_Work], bool]) -> None:
        for key in [key for key, work in self._work.items() if which(work)]:
            del self._by_number[self._work.pop(key).number]

    def _wait(self, work: _Work, delay_ms: float) -> StartTimer:
        work.state, work.turn, work.due = _State.WAITS, work.turn + 1, False
        return StartTimer(delay_ms, Due(work.number, work.turn))

    def _let_out(self, now: float) -> list[Action]:
        """Works whose wait is over, own ones first, few at a time."""
        out = sum(work.state is _State.ASKED for work in self._work.values())
        due = [work for work in self._work.values() if work.due]
        actions: list[Action] = []
        for work in sorted(due, key=lambda work: (work.of != self.name, work.number))[: MOST_OUT - out]:
            work.state, work.due = _State.ASKED, False
            upto, certain = self._gone[work.of].run, self.certain(now, work.of)
            if work.sweeps:
                upto, certain = 0, False
            actions.append(Take(work.number, work.box, work.of, upto, certain))
        return actions

    def _took(self, now: float, number: int, more: bool) -> list[Action]:
        work = self._by_number.get(number)
        if work is None or work.state is not _State.ASKED:
            return self._let_out(now)
        work.wait_ms = AGAIN_MS
        if more:
            return [self._wait(work, NEXT_MS * (1 + 0.5 * self._random.random())), *self._let_out(now)]
        return [*self._swept(work), *self._let_out(now)]

    def _swept(self, work: _Work) -> list[Action]:
        """Ask once more later on, or leave it at that."""
        if work.of == self.name or work.sweeps >= MAX_SWEEPS:
            work.state = _State.DONE
            return []
        wait = self._certain_ms * 2**work.sweeps
        work.sweeps += 1
        return [self._wait(work, wait * (0.75 + 0.5 * self._random.random()))]

    def _not_taken(self, now: float, number: int, why: Why) -> list[Action]:
        work = self._by_number.get(number)
        if work is None or work.state is not _State.ASKED:
            return self._let_out(now)
        if why is Why.FENCED and work.of == self.name:
            work.state = _State.DONE  # a later run of this director is at work there already
            return self._let_out(now)
        if why is Why.ALIVE and work.sweeps:
            return [*self._swept(work), *self._let_out(now)]
        wait, work.wait_ms = work.wait_ms, min(work.wait_ms * 2, AGAIN_MOST_MS)
        return [self._wait(work, wait * (0.5 + 0.5 * self._random.random())), *self._let_out(now)]
