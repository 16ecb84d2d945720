"""One director's belief of who is there: SWIM with Lifeguard's local health, over asks and answers.

Das, Gupta, Motivala: SWIM, DSN 2002; Dadgar, Phillips, Currey: Lifeguard, DSN 2018. Names come from the
settings, so nobody is found or admitted by gossip, and a peer that is gone is still asked now and then.

    peer        event                                    next        what is done
    UNKNOWN     it answers, or an update tells of it     ALIVE       told
    ALIVE       no answer, directly or by others         SUSPECTED   told to others, a wait begins
    SUSPECTED   it refutes: a higher incarnation         ALIVE
    SUSPECTED   others suspect it too                    SUSPECTED   the wait gets shorter
    SUSPECTED   the wait is over                         DEAD
    ALIVE,
    SUSPECTED   an update tells of its death             DEAD
    DEAD, LEFT  it refutes, or comes with a higher run   ALIVE
    any         it leaves in order                       LEFT
    any         the settings name it no more             (none)      forgotten

A probe: ask the target; after a part of the period without an answer have `HELPERS` others ask it; at the
period's end without any word it is suspected. Whoever is slow itself misses answers that came: each miss,
each helper that says nothing and each suspicion against itself raises its own `health` number, which
stretches its periods and waits, and each success lowers it.

Beliefs are ordered by (run, incarnation, state) and only ever rise, so messages may be lost, doubled, late or
of an old run: nothing that is known is unlearned by them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from foxlift.peers.messages import MOST_UPDATES, Ack, Answer, Ask, Ping, PingFor, State, Update

PERIOD_MS = 500.0  # between two probes of one director
DIRECT_PART = 0.4  # of the period: then others are asked to ask
HELPERS = 3
SUSPECT_LEAST = 4.0  # periods times log10 of the fleet, at least 1: the wait where many agree
SUSPECT_MOST = 4.0  # times that: the wait where nobody agrees
CONFIRMS = 3  # others who suspect it too, for the shortest wait
HEALTH_MOST = 8  # a slow director stretches its periods to nine times at most
SPREAD = 3.0  # an update is sent so many times log2 of the fleet
ABSENT_EVERY = 4  # each fourth probe goes to one who is not there: after a cut both halves are
MOST_ASKED = 64  # asks on behalf of others at once


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Asked:
    """A peer's message; `request` is the caller's name for its answer."""

    request: int
    message: Ask


@dataclass(frozen=True, slots=True)
class Answered:
    """An answer to `Send`."""

    ask: int
    message: Answer


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer to `Send`, or none that can be read."""

    ask: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer has come due."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """The settings name these peers now."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Leave:
    """This director stops in order: say so to some, they tell the rest."""


@dataclass(frozen=True, slots=True)
class Renew:
    """This director goes on in a higher run: what others believe of the one before is over."""

    run: int


Event = Asked | Answered | Unanswered | TimerDue | Reconfigured | Leave | Renew


# ---- Timers and actions -----------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Period:
    """The next probe."""


@dataclass(frozen=True, slots=True)
class Direct:
    """The direct ask of this probe has waited long enough."""

    probe: int


@dataclass(frozen=True, slots=True)
class Lasting:
    """A suspicion's wait may be over."""

    name: str
    run: int
    incarnation: int


Timer = Period | Direct | Lasting


@dataclass(frozen=True, slots=True)
class Send:
    """Ask a peer; an answer is of no use after `within_ms`."""

    to: str
    ask: int
    message: Ask
    within_ms: float


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a peer's ask."""

    request: int
    message: Answer


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Ask for TimerDue with this timer."""

    delay_ms: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class Changed:
    """What is believed of a peer has changed; `view` counts such changes of this run."""

    name: str
    state: State
    run: int
    view: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process with a later run has this director's name: this one must stop acting."""

    run: int


Action = Send | Reply | StartTimer | Changed | Superseded


@dataclass(slots=True)
class _Peer:
    name: str
    state: State = State.UNKNOWN
    run: int = 0
    incarnation: int = 0
    since: float = 0.0  # when it was suspected
    suspecters: set[str] = field(default_factory=set)

    @property
    def there(self) -> bool:
        return self.state in (State.ALIVE, State.SUSPECTED)


@dataclass(slots=True)
class _Probe:
    target: str
    helpers: int = 0
    silent: int = 0  # helpers that have said nothing


class Peers:
    """Who is there, for the director `name` in its run `run`.

    `run` must be higher than that of any earlier process under the name, whatever became of its disk or its
    clock; `seed` draws whom to ask. `period_ms` is for all directors alike.
    """

    def __init__(
        self, name: str, run: int, names: Iterable[str], seed: int, period_ms: float = PERIOD_MS
    ) -> None:
        self.name, self.run, self.incarnation = name, run, 0
        self.view = 0
        self.health = 0
        self.left = False
        self.superseded = False
        self.peers = {other: _Peer(other) for other in sorted(names) if other != name}
        self._period_ms = period_ms
        self._random = random.Random(f"{seed} {name} {run}")
        self._order: list[str] = []
        self._turn = 0
        self._probe = _Probe("")  # the present one
        self._number = 0  # of probes
        self._last_ask = 0
        self._asks: dict[int, str] = {}  # of the present probe: who was asked
        self._for: dict[int, tuple[int, str]] = {}  # ask on behalf of another: its request, and who was asked
        self._news: dict[str, tuple[Update, int]] = {}  # by name: what is to be told, how often it was
        self._out: list[Action] = []
        self._now = 0.0

    # ---- What is known ------------------------------------------------------------------------------------
    def state(self, name: str) -> State:
        """What is believed of a peer; of itself, and of names not in the settings, what is plain."""
        if name == self.name:
            return State.LEFT if self.left else State.ALIVE
        peer = self.peers.get(name)
        return State.UNKNOWN if peer is None else peer.state

    def there(self) -> list[str]:
        """Peers that are alive or merely suspected, this director first."""
        return [self.name, *(name for name, peer in self.peers.items() if peer.there)]

    @property
    def majority(self) -> bool:
        """Whether more than half of all that the settings name are believed to be there, itself included."""
        return 2 * len(self.there()) > len(self.peers) + 1

    def sizes(self) -> dict[str, int]:
        """Entries in each table."""
        return {
            "peers": len(self.peers),
            "asks": len(self._asks),
            "asks for others": len(self._for),
            "news": len(self._news),
        }

    # ---- Events -------------------------------------------------------------------------------------------
    def start(self) -> list[Action]:
        """The first probe, at a moment of the seed's choosing: who starts at once must not ask at once."""
        self._tell(self._self())
        return [StartTimer(self._period_ms * self._random.random(), Period())]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms on a clock that never steps back."""
        self._now, self._out = now, []
        if isinstance(event, Renew) and event.run > self.run:
            self.superseded = False
        if self.superseded:
            return []
        match event:
            case TimerDue(Period()):
                self._period()
            case TimerDue(Direct(probe)):
                self._ask_helpers(probe)
            case TimerDue(Lasting(name, run, incarnation)):
                self._lasting(name, run, incarnation)
            case Asked(request, message):
                self._asked(request, message)
            case Answered(ask, message):
                self._answered(ask, message)
            case Unanswered(ask):
                self._unanswered(ask)
            case Reconfigured(names):
                self._reconfigured(names)
            case Leave():
                self._leave()
            case Renew(run):
                self.run, self.incarnation = max(run, self.run), 0
                self._tell(self._self())
        return [action for action in self._out if isinstance(action, Superseded)] or self._out

    # ---- Probes -------------------------------------------------------------------------------------------
    def _period(self) -> None:
        self._judge()
        if self.left:
            return
        stretch = 1 + self.health
        self._out.append(StartTimer(self._period_ms * stretch, Period()))
        target = self._next()
        if target is None:
            return
        self._number += 1
        self._probe = _Probe(target)
        ping = Ping(self.name, self.run, self._updates(target))
        self._asks[self._send(target, ping, self._period_ms * stretch)] = target
        self._out.append(StartTimer(self._period_ms * DIRECT_PART * stretch, Direct(self._number)))

    def _judge(self) -> None:
        """The last probe's period is over."""
        probe, self._probe = self._probe, _Probe("")
        self._asks = {}
        peer = self.peers.get(probe.target)
        if peer is None or not peer.there:
            return
        if peer.state is State.ALIVE:  # from one that is suspected already no answer is no news
            # whoever had no word from helpers either may be the one that is cut off or slow
            self._feel(1 + probe.silent)
            self._learn(Update(peer.name, State.SUSPECTED, peer.run, peer.incarnation, self.name))

    def _next(self) -> str | None:
        """Each that is there once a round, in an order drawn anew; now and then one that is not."""
        absent = [name for name, peer in self.peers.items() if not peer.there]
        self._turn += 1
        if absent and (self._turn % ABSENT_EVERY == 0 or len(absent) == len(self.peers)):
            return self._random.choice(absent)
        while self._order:
            name = self._order.pop()
            if name in self.peers and self.peers[name].there:
                return name
        self._order = [name for name, peer in self.peers.items() if peer.there]
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _ask_helpers(self, probe: int) -> None:
        target = self.peers.get(self._probe.target)
        if probe != self._number or target is None or not target.there:
            return
        others = [name for name, peer in self.peers.items() if peer.there and name != target.name]
        for helper in self._random.sample(others, min(HELPERS, len(others))):
            self._probe.helpers += 1
            self._probe.silent += 1
            message = PingFor(self.name, self.run, target.name, self._updates(helper))
            within = self._period_ms * (1 - DIRECT_PART) * (1 + self.health)
            self._asks[self._send(helper, message, within)] = helper

    def _send(self, to: str, message: Ask, within_ms: float) -> int:
        self._last_ask += 1
        self._out.append(Send(to, self._last_ask, message, within_ms))
        return self._last_ask

    def _asked(self, request: int, message: Ask) -> None:
        if not self._known(message):
            return
        self._heard(message.sender, message.run, message.updates)
        if isinstance(message, Ping) or message.target == self.name:
            self._out.append(Reply(request, self._ack(message.sender, True)))
        elif message.target not in self.peers or len(self._for) >= MOST_ASKED:
            self._out.append(Reply(request, self._ack(message.sender, False)))
        else:
            ping = Ping(self.name, self.run, self._updates(message.target))
            within = self._period_ms * (1 - DIRECT_PART) / 2
            self._for[self._send(message.target, ping, within)] = request, message.target

    def _answered(self, ask: int, message: Answer) -> None:
        if not self._known(message):
            self._unanswered(ask)
            return
        request, target = self._for.pop(ask, (None, ""))
        if (target or self._asks.pop(ask, "")) != message.sender:
            self._refuse(request)  # of a probe long judged, or somebody else's word
            return
        self._heard(message.sender, message.run, message.updates)
        if request is not None:
            self._out.append(Reply(request, self._ack("", True)))
        elif self._probe.target:
            if message.sender != self._probe.target:
                self._probe.silent -= 1
            if message.sender == self._probe.target or message.reached:
                self._probe = _Probe("")
                self._feel(-1)

    def _unanswered(self, ask: int) -> None:
        self._asks.pop(ask, None)
        self._refuse(self._for.pop(ask, (None, ""))[0])

    def _refuse(self, request: int | None) -> None:
        if request is not None:
            self._out.append(Reply(request, self._ack("", False)))

    def _ack(self, to: str, reached: bool) -> Ack:
        return Ack(self.name, self.run, reached, self._updates(to))

    def _feel(self, worse: int) -> None:
        self.health = min(max(self.health + worse, 0), HEALTH_MOST)

    # ---- Beliefs ------------------------------------------------------------------------------------------
    def _known(self, message: Ask | Answer) -> bool:
        """A peer of the settings, in a run that is not over; what else comes is passed over."""
        peer = self.peers.get(message.sender)
        return peer is not None and message.run >= peer.run

    def _heard(self, name: str, run: int, updates: tuple[Update, ...]) -> None:
        """A peer speaks: a run never heard of is news; one believed dead must refute that itself."""
        peer = self.peers[name]
        if run > peer.run or peer.state is State.UNKNOWN:
            self._learn(Update(name, State.ALIVE, run, 0))
        for update in updates:
            self._learn(update)

    def _learn(self, update: Update) -> None:
        if update.name == self.name:
            self._told_of_itself(update)
            return
        peer = self.peers.get(update.name)
        if peer is None or update.state is State.UNKNOWN:
            return
        known = (peer.run, peer.incarnation, peer.state)
        if update.state is State.SUSPECTED and known == update.rank:
            self._confirmed(peer, update)
            return
        if update.rank <= known:
            return
        before = peer.state
        peer.run, peer.incarnation, peer.state = update.rank[0], update.rank[1], update.state
        peer.suspecters = {update.by} if update.state is State.SUSPECTED else set()
        self._tell(update)
        if update.state is State.SUSPECTED:
            peer.since = self._now
            self._wait(peer)
        if before is not peer.state or update.rank[0] != known[0]:
            self.view += 1
            self._out.append(Changed(peer.name, peer.state, peer.run, self.view))

    def _told_of_itself(self, update: Update) -> None:
        if update.run > self.run:
            self.superseded = True
            self._out.append(Superseded(update.run))
            return
        if update.run < self.run or self.left or update.state not in (State.SUSPECTED, State.DEAD):
            return
        if update.incarnation >= self.incarnation:
            # it was slow, or cut off: it says so aloud, and trusts its own judgement of others less
            self.incarnation = update.incarnation + 1
            self._feel(1)
        self._tell(self._self())  # also to one that has missed an earlier word on it

    def _self(self) -> Update:
        return Update(self.name, State.LEFT if self.left else State.ALIVE, self.run, self.incarnation)

    # ---- Suspicion ----------------------------------------------------------------------------------------
    def _wait_ms(self, peer: _Peer) -> float:
        """How long a suspicion lasts: longer where few agree, and for one that is slow itself."""
        fleet = max(math.log10(len(self.peers) + 1), 1.0)
        least = SUSPECT_LEAST * fleet * self._period_ms
        most = SUSPECT_MOST * least
        agree = math.log(len(peer.suspecters)) / math.log(CONFIRMS + 1)
        return (most - (most - least) * min(agree, 1.0)) * (1 + self.health)

    def _wait(self, peer: _Peer) -> None:
        left = max(peer.since + self._wait_ms(peer) - self._now, 0.0)
        self._out.append(StartTimer(left, Lasting(peer.name, peer.run, peer.incarnation)))

    def _confirmed(self, peer: _Peer, update: Update) -> None:
        if len(peer.suspecters) <= CONFIRMS and update.by not in peer.suspecters:
            peer.suspecters.add(update.by)
            self._tell(update)
            self._wait(peer)

    def _lasting(self, name: str, run: int, incarnation: int) -> None:
        peer = self.peers.get(name)
        if peer is None or peer.state is not State.SUSPECTED:
            return
        if (peer.run, peer.incarnation) != (run, incarnation):
            return
        if self._now >= peer.since + self._wait_ms(peer) - 0.5:
            self._learn(Update(name, State.DEAD, run, incarnation))
        elif len(peer.suspecters) == 1:
            self._wait(peer)  # this director has become slow itself meanwhile

    # ---- News ---------------------------------------------------------------------------------------------
    def _tell(self, update: Update) -> None:
        self._news[update.name] = update, 0

    def _updates(self, to: str) -> tuple[Update, ...]:
        """What was told least often; to one that is suspected or gone, first what is believed of it."""
        chosen: list[Update] = []
        peer = self.peers.get(to)
        if peer is not None and peer.state in (State.SUSPECTED, State.DEAD, State.LEFT):
            chosen.append(Update(to, peer.state, peer.run, peer.incarnation, self.name))
        if peer is not None and not peer.there:
            chosen.append(self._self())  # whoever has not heard of this one must, however old that news is
        most = math.ceil(SPREAD * math.log2(len(self.peers) + 2))
        for name, (update, told) in sorted(self._news.items(), key=lambda news: (news[1][1], news[0])):
            if len(chosen) >= MOST_UPDATES:
                break
            if update in chosen:
                continue
            chosen.append(update)
            if told + 1 >= most:
                del self._news[name]
            else:
                self._news[name] = update, told + 1
        return tuple(chosen)

    # ---- Coming and going ---------------------------------------------------------------------------------
    def _reconfigured(self, names: frozenset[str]) -> None:
        for name in sorted(names - self.peers.keys() - {self.name}):
            self.peers[name] = _Peer(name)
        for name in sorted(self.peers.keys() - names):
            if self.peers[name].there:
                self.view += 1
                self._out.append(Changed(name, State.UNKNOWN, self.peers[name].run, self.view))
            del self.peers[name]
            self._news.pop(name, None)

    def _leave(self) -> None:
        self.left = True
        self._news.clear()
        self._tell(self._self())
        there = [name for name, peer in self.peers.items() if peer.there]
        for name in self._random.sample(there, min(2 * HELPERS, len(there))):
            self._send(name, Ping(self.name, self.run, self._updates(name)), self._period_ms)
