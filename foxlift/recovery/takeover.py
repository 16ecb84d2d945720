"""Which directors' sessions at which boxes this director takes over, and when. No I/O, no clock.

Each box has one successor for each director that is gone: the first of the reachable directors by rendezvous
hashing of both names. So a dead director's sessions are spread over the survivors box by box, at one request
a box.

    work         event                                       next        what is done
    (none)       the owner is gone, this one is successor    WAITING     a random delay begins
    WAITING      due, fewer than MAX_CONCURRENT requested    REQUESTED   RequestTakeover
    REQUESTED    TakenOver, the box has more sessions        WAITING     the next part, after a delay
    REQUESTED    TakenOver, the owner is this director       DONE
    REQUESTED    TakenOver                                   WAITING     for a sweep: asks for any epoch
    REQUESTED    TakenOver or ALIVE in sweep MAX_SWEEPS      DONE
    REQUESTED    TakeoverFailed                              WAITING     a back-off that doubles
    WAITING      another director has become successor       (none)
    any          the owner is back in a later epoch          (none)
    any          the box list no longer names the box        (none)

The view of the peers only says when to ask a box. The box compares and sets: it refuses while it still hears
from the old owner, unless the request is `certain`. It is certain where the owner has announced that it
leaves, or where more than half of the fleet has contacted this director since it believed the owner dead, and
some probe periods have passed since. So two halves of a partitioned fleet that both reach the boxes take
nothing from each other, and a director that stands still loses its sessions only to a majority.

A director may begin a boot epoch and die before any other learns of that epoch. So the boxes of a director
that stays gone are swept: after a delay each box is asked for its sessions in any epoch, and refuses where it
hears from the owner. The delays double, and there are MAX_SWEEPS of them at most.

A director's own earlier epoch is taken over in the same way, at each box, before anything else is done there.

A director without contact since this one's start counts as gone after UNKNOWN_PEER_TIMEOUT_MS: after all
directors were killed, the sessions of those that do not return are found at the boxes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from foxlift.consensus.rendezvous import replicas_of
from foxlift.peers.messages import PeerState
from foxlift.recovery.succession import Succession

MAX_CONCURRENT = 4  # requests in progress at once
FIRST_DELAY_MAX_MS = 200.0  # upper end of the random delay of a work's first request
NEXT_PART_MS = 30.0  # between parts of one box's sessions, plus up to half of it at random
RETRY_MIN_MS = 250.0  # first back-off after a failed request; doubles
RETRY_MAX_MS = 1500.0
CERTAIN_MS = 3000.0  # minimum time from contact with a majority until a death is certain
CERTAIN_PERIODS = 8  # the same in probe periods: a healed partition shows before a death is certain
UNKNOWN_PEER_TIMEOUT_MS = 20_000.0
MAX_SWEEPS = 4


class TakeoverFailure(Enum):
    """Why a takeover brought no sessions."""

    SILENT = "no answer"
    ALIVE = "the box hears from its owner"
    FENCED = "this director's own run is over at the box"


class _State(Enum):
    WAITING = "waits"
    REQUESTED = "asked"
    DONE = "done"


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class EpochBegun:
    """This director is in a new boot epoch: sessions of its earlier epochs at boxes are to be taken over."""

    boot_epoch: int


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """The belief about a peer has changed. `reachable`: all reachable directors, this one first."""

    peer: str
    state: PeerState
    boot_epoch: int
    reachable: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerContacted:
    """A message of this peer has arrived."""

    peer: str


@dataclass(frozen=True, slots=True)
class BoxesListed:
    """The box list has changed."""

    boxes: frozenset[str]


@dataclass(frozen=True, slots=True)
class TakenOver:
    """The box has handed over what it had; `more`: it has more sessions to hand over."""

    work: int
    more: bool = False


@dataclass(frozen=True, slots=True)
class TakeoverFailed:
    """The box did not respond, or refused."""

    work: int
    failure: TakeoverFailure


@dataclass(frozen=True, slots=True)
class AttemptDue:
    """The delay of a work has ended."""

    work: int
    round_id: int


@dataclass(frozen=True, slots=True)
class UnknownPeersDue:
    """Directors without contact until now count as gone."""


Event = (
    EpochBegun
    | PeerChanged
    | PeerContacted
    | BoxesListed
    | TakenOver
    | TakeoverFailed
    | AttemptDue
    | UnknownPeersDue
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class RequestTakeover:
    """Ask the box for sessions of `owner` up to `up_to_epoch` (0: the latest epoch that the box knows)."""

    work: int
    box: str
    owner: str
    up_to_epoch: int
    certain: bool


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Deliver `event` after `delay_ms`."""

    delay_ms: float
    event: AttemptDue | UnknownPeersDue


Action = RequestTakeover | StartTimer


@dataclass(slots=True)
class _GoneDirector:
    boot_epoch: int
    since: float
    left: bool = False
    contacted: int = 0  # who has made contact since: a bit for each name, as thousands may be dead at once
    certain_since: float | None = None  # when those and this director became a majority


@dataclass(slots=True)
class _Work:
    number: int
    owner: str
    box: str
    state: _State = _State.WAITING
    round_id: int = 0
    due: bool = False  # its delay has ended; waits until fewer than MAX_CONCURRENT are in progress
    wait_ms: float = RETRY_MIN_MS
    sweeps: int = 0  # begun; with one or more the box is asked for sessions of any epoch


@dataclass(slots=True)
class Takeovers:
    """One director's part. `names`: all directors of the settings."""

    name: str
    names: frozenset[str]
    seed: int
    period_ms: float = 500.0  # between a director's probes
    _boxes: frozenset[str] = frozenset()
    _reachable: tuple[str, ...] = ()
    _gone: dict[str, _GoneDirector] = field(default_factory=dict)
    _known: set[str] = field(default_factory=set)
    _work: dict[tuple[str, str], _Work] = field(default_factory=dict)
    _by_number: dict[int, _Work] = field(default_factory=dict)
    _last_number: int = 0
    _bit_of: dict[str, int] = field(init=False)
    _succession: Succession = field(init=False)
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._bit_of = {name: 1 << place for place, name in enumerate(sorted(self.names))}
        self._random = random.Random(f"{self.seed} takeovers {self.name}")
        self._reachable = (self.name,)
        self._succession = Succession(self.name)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; `now` in ms on a clock that never steps back."""
        match event:
            case EpochBegun(boot_epoch):
                return self._epoch_begun(now, boot_epoch)
            case PeerChanged():
                return self._peer_changed(now, event)
            case PeerContacted(peer):
                self._contacted(now, peer)
                return []
            case BoxesListed(boxes):
                self._boxes = boxes
                return self._update_works()
            case UnknownPeersDue():
                for name in sorted(self.names - self._known - {self.name}):
                    self._gone.setdefault(name, _GoneDirector(0, now))
                return self._update_works()
            case AttemptDue(number, round_id):
                work = self._by_number.get(number)
                if work is None or work.round_id != round_id or work.state is not _State.WAITING:
                    return []
                work.due = True
                return self._send_due(now)
            case TakenOver(number, more):
                return self._taken_over(now, number, more)
            case TakeoverFailed(number, failure):
                return self._failed(now, number, failure)

    def _contacted(self, now: float, peer: str) -> None:
        """A peer that sends a message after a death counts towards the majority that makes it certain."""
        bit = self._bit_of.get(peer, 0)
        for name, gone in self._gone.items():
            if peer != name and gone.certain_since is None:
                gone.contacted |= bit
                if 2 * (1 + gone.contacted.bit_count()) > len(self.names):
                    gone.certain_since = now

    def successor(self, owner: str, box: str) -> str:
        """Which director takes over the sessions of `owner` at a box, in this director's view."""
        candidates = [name for name in self._reachable if name != owner] or [self.name]
        return replicas_of(f"{owner}/{box}", candidates, 1)[0]

    def certain(self, now: float, name: str) -> bool:
        """Whether a director is dead for certain, so that a box hands over even while it hears from it."""
        gone = self._gone.get(name)
        if gone is None or gone.left:
            return gone is not None
        return (
            gone.boot_epoch > 0
            and gone.certain_since is not None
            and now - gone.certain_since >= self._certain_ms
        )

    @property
    def _certain_ms(self) -> float:
        """How long after contact with a majority a death becomes certain."""
        return max(CERTAIN_MS, CERTAIN_PERIODS * self.period_ms)

    def own_done(self, box: str) -> bool:
        """Whether the sessions of earlier epochs at this box belong to the present one now."""
        work = self._work.get((self.name, box))
        return work is not None and work.state is _State.DONE

    def is_gone(self, name: str) -> bool:
        """Whether a director's sessions are to be taken over."""
        return name in self._gone

    def sizes(self) -> dict[str, int]:
        """Entries in each table."""
        return {"gone": len(self._gone), "work": len(self._work)}

    # ---- What is to be done -------------------------------------------------------------------------------
    def _epoch_begun(self, now: float, boot_epoch: int) -> list[Action]:
        first = self.name not in self._gone
        # certain: no one else knows better whether this director has ended
        self._gone[self.name] = _GoneDirector(boot_epoch - 1, now, left=True)
        self._forget(lambda work: work.owner == self.name)
        wait: list[Action] = [StartTimer(UNKNOWN_PEER_TIMEOUT_MS, UnknownPeersDue())] if first else []
        return [*wait, *self._update_works()]

    def _peer_changed(self, now: float, change: PeerChanged) -> list[Action]:
        self._reachable = change.reachable
        if change.peer == self.name or change.peer not in self.names:
            if change.peer != self.name:
                self._gone.pop(change.peer, None)  # the settings no longer name it
            return self._update_works()
        known = self._gone.get(change.peer)
        if change.state in (PeerState.DEAD, PeerState.LEFT):
            self._known.add(change.peer)
            left = change.state is PeerState.LEFT
            if known is None or known.boot_epoch < change.boot_epoch or (left and not known.left):
                self._gone[change.peer] = _GoneDirector(change.boot_epoch, now, left)
                self._forget(lambda work: work.owner == change.peer)
        elif change.state in (PeerState.ALIVE, PeerState.SUSPECTED):
            self._known.add(change.peer)
            if known is not None:
                # it refuted, or is back in a later epoch, which takes over what is left
                del self._gone[change.peer]
        return self._update_works()

    def _update_works(self) -> list[Action]:
        """Add works that this director is successor for, and remove all others."""
        self._succession.update(self._boxes, self._gone.keys(), self._reachable)
        wanted = self._succession.wanted
        self._forget(lambda work: (work.owner, work.box) not in wanted)
        out: list[Action] = []
        for key in sorted(wanted - self._work.keys()):
            self._last_number += 1
            work = self._work[key] = self._by_number[self._last_number] = _Work(self._last_number, *key)
            out.append(self._schedule(work, FIRST_DELAY_MAX_MS * self._random.random()))
        return out

    def _forget(self, which: Callable[[_Work], bool]) -> None:
        for key in [key for key, work in self._work.items() if which(work)]:
            del self._by_number[self._work.pop(key).number]

    def _schedule(self, work: _Work, delay_ms: float) -> StartTimer:
        work.state, work.round_id, work.due = _State.WAITING, work.round_id + 1, False
        return StartTimer(delay_ms, AttemptDue(work.number, work.round_id))

    def _send_due(self, now: float) -> list[Action]:
        """Send requests whose delay has ended, own sessions first, up to MAX_CONCURRENT."""
        out = sum(work.state is _State.REQUESTED for work in self._work.values())
        due = [work for work in self._work.values() if work.due]
        actions: list[Action] = []
        for work in sorted(due, key=lambda work: (work.owner != self.name, work.number))[
            : MAX_CONCURRENT - out
        ]:
            work.state, work.due = _State.REQUESTED, False
            up_to_epoch, certain = self._gone[work.owner].boot_epoch, self.certain(now, work.owner)
            if work.sweeps:
                up_to_epoch, certain = 0, False
            actions.append(RequestTakeover(work.number, work.box, work.owner, up_to_epoch, certain))
        return actions

    def _taken_over(self, now: float, number: int, more: bool) -> list[Action]:
        work = self._by_number.get(number)
        if work is None or work.state is not _State.REQUESTED:
            return self._send_due(now)
        work.wait_ms = RETRY_MIN_MS
        if more:
            return [
                self._schedule(work, NEXT_PART_MS * (1 + 0.5 * self._random.random())),
                *self._send_due(now),
            ]
        return [*self._schedule_sweep(work), *self._send_due(now)]

    def _schedule_sweep(self, work: _Work) -> list[Action]:
        """Schedule the next sweep, or finish the work."""
        if work.owner == self.name or work.sweeps >= MAX_SWEEPS:
            work.state = _State.DONE
            return []
        wait = self._certain_ms * 2**work.sweeps
        work.sweeps += 1
        return [self._schedule(work, wait * (0.75 + 0.5 * self._random.random()))]

    def _failed(self, now: float, number: int, failure: TakeoverFailure) -> list[Action]:
        work = self._by_number.get(number)
        if work is None or work.state is not _State.REQUESTED:
            return self._send_due(now)
        if failure is TakeoverFailure.FENCED and work.owner == self.name:
            work.state = _State.DONE  # a later epoch of this director is active there already
            return self._send_due(now)
        if failure is TakeoverFailure.ALIVE and work.sweeps:
            return [*self._schedule_sweep(work), *self._send_due(now)]
        wait, work.wait_ms = work.wait_ms, min(work.wait_ms * 2, RETRY_MAX_MS)
        return [self._schedule(work, wait * (0.5 + 0.5 * self._random.random())), *self._send_due(now)]
