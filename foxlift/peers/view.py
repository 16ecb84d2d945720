"""A director's view of which peers are alive: SWIM with Lifeguard's local health.

Das, Gupta, Motivala: SWIM, DSN 2002; Dadgar, Phillips, Currey: Lifeguard, DSN 2018. The settings name the
peers: gossip neither finds nor admits any, and dead peers are still probed now and then.

    peer        event                                           next        what is done
    UNKNOWN     it responds, or an update says it is alive      ALIVE       reported
    ALIVE       no response, directly or through helpers        SUSPECTED   sent to others, a timer starts
    SUSPECTED   it refutes with a higher incarnation            ALIVE
    SUSPECTED   others suspect it too                           SUSPECTED   the timer gets shorter
    SUSPECTED   the timer has ended                             DEAD
    ALIVE,
    SUSPECTED   an update says it is dead                       DEAD
    DEAD, LEFT  it refutes, or has a higher boot epoch          ALIVE
    any         it announces that it leaves                     LEFT
    any         the settings no longer name it                  (none)      removed

A probe sends a request to its target. After a fraction of the period without a response, `HELPERS` other
peers are asked to probe the target. Without any response at the end of the period the target is suspected. A
director that is slow itself misses responses that were sent. So each miss, each silent helper and each
suspicion against itself raises its `health` number, which stretches its periods and timers; each success
lowers it.

Beliefs are ordered by (boot epoch, incarnation, state) and only ever rise. So messages may be lost,
duplicated, late or of an old epoch without undoing what is known.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from foxlift.peers.messages import MAX_UPDATES, Ack, PeerState, Ping, PingFor, Request, Response, Update
from foxlift.peers.view_messages import (
    Action,
    DirectProbeTimeout,
    Event,
    Leave,
    NextProbe,
    PeerChanged,
    Reconfigured,
    Renew,
    Reply,
    RequestFailed,
    RequestReceived,
    ResponseReceived,
    Send,
    StartTimer,
    Superseded,
    SuspicionTimeout,
    TimerDue,
)

PERIOD_MS = 500.0  # between two probes of one director
DIRECT_FRACTION = 0.4  # of the period, until helpers are asked
HELPERS = 3
MIN_SUSPICION_PERIODS = 4.0  # times log10 of the fleet, which counts as 1 at least: where many agree
MAX_SUSPICION_FACTOR = 4.0  # times the minimum: where nobody agrees
MAX_CONFIRMATIONS = 3  # other peers that suspect it too, for the shortest timer
MAX_HEALTH = 8  # a slow director stretches its periods to nine times at most
GOSSIP_FACTOR = 3.0  # times log2 of the fleet: how often an update is sent
ABSENT_PROBE_INTERVAL = 4  # each fourth probe goes to an unreachable peer: a healed partition shows
TIMER_TOLERANCE_MS = 0.5  # a timer may end this early
MAX_INDIRECT_REQUESTS = 64  # at once


@dataclass(slots=True)
class _Peer:
    name: str
    state: PeerState = PeerState.UNKNOWN
    boot_epoch: int = 0
    incarnation: int = 0
    since: float = 0.0  # when it was suspected
    timer_due_at: float = 0.0  # of the last timer started for the suspicion
    suspecting_peers: set[str] = field(default_factory=set)

    @property
    def reachable(self) -> bool:
        return self.state in (PeerState.ALIVE, PeerState.SUSPECTED)


@dataclass(slots=True)
class _Probe:
    target: str
    helpers: int = 0
    silent_helpers: int = 0  # that have not responded


class Peers:
    """The view of the director `name` in its boot epoch `boot_epoch`.

    `boot_epoch` must be higher than that of any earlier process with the name, even after a lost disk or a
    clock set back. `seed`: for the order of probes. `period_ms`: the same for all directors.
    """

    def __init__(
        self, name: str, boot_epoch: int, names: Iterable[str], seed: int, period_ms: float = PERIOD_MS
    ) -> None:
        self.name, self.boot_epoch, self.incarnation = name, boot_epoch, 0
        self.version = 0
        self.health = 0
        self.left = False
        self.superseded = False
        self.peers = {other: _Peer(other) for other in sorted(names) if other != name}
        self._period_ms = period_ms
        self._random = random.Random(f"{seed} {name} {boot_epoch}")
        self._order: list[str] = []
        self._probe_count = 0
        self._probe = _Probe("")  # the current one
        self._probe_number = 0
        self._last_request_id = 0
        self._requests: dict[int, str] = {}  # of the current probe, by request id: who was asked
        # probes for other peers, by request id: the peer's request, the target
        self._indirect_requests: dict[int, tuple[int, str]] = {}
        self._gossip: dict[str, tuple[Update, int]] = {}  # by name: what is to be sent, how often it was sent
        self._actions: list[Action] = []
        self._now = 0.0

    # ---- State --------------------------------------------------------------------------------------------
    def state(self, name: str) -> PeerState:
        """The belief about a director; UNKNOWN for names that are not in the settings."""
        if name == self.name:
            return PeerState.LEFT if self.left else PeerState.ALIVE
        peer = self.peers.get(name)
        return PeerState.UNKNOWN if peer is None else peer.state

    def reachable(self) -> list[str]:
        """Names of the alive and suspected peers, this director first."""
        return [self.name, *(name for name, peer in self.peers.items() if peer.reachable)]

    @property
    def majority(self) -> bool:
        """Whether more than half of the directors that the settings name are reachable, itself included."""
        return 2 * len(self.reachable()) > len(self.peers) + 1

    def sizes(self) -> dict[str, int]:
        """Entries in each table."""
        return {
            "peers": len(self.peers),
            "asks": len(self._requests),
            "asks for others": len(self._indirect_requests),
            "news": len(self._gossip),
        }

    # ---- Events -------------------------------------------------------------------------------------------
    def start(self) -> list[Action]:
        """Start the first probe after a random part of the period, so that directors do not probe in step."""
        self._spread(self._own_update())
        return [StartTimer(self._period_ms * self._random.random(), NextProbe())]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; `now` in ms on a clock that never steps back."""
        self._now, self._actions = now, []
        if isinstance(event, Renew) and event.boot_epoch > self.boot_epoch:
            self.superseded = False
        if self.superseded:
            return []
        match event:
            case TimerDue(NextProbe()):
                self._begin_probe()
            case TimerDue(DirectProbeTimeout(probe)):
                self._probe_indirectly(probe)
            case TimerDue(SuspicionTimeout(name, boot_epoch, incarnation)):
                self._suspicion_timeout(name, boot_epoch, incarnation)
            case RequestReceived(request, message):
                self._request(request, message)
            case ResponseReceived(request_id, message):
                self._response(request_id, message)
            case RequestFailed(request_id):
                self._request_failed(request_id)
            case Reconfigured(names):
                self._reconfigured(names)
            case Leave():
                self._leave()
            case Renew(boot_epoch):
                self.boot_epoch, self.incarnation = max(boot_epoch, self.boot_epoch), 0
                self._spread(self._own_update())
        return [action for action in self._actions if isinstance(action, Superseded)] or self._actions

    # ---- Probes -------------------------------------------------------------------------------------------
    def _begin_probe(self) -> None:
        self._end_probe()
        if self.left:
            return
        stretch = 1 + self.health
        self._actions.append(StartTimer(self._period_ms * stretch, NextProbe()))
        target = self._next_target()
        if target is None:
            return
        self._probe_number += 1
        self._probe = _Probe(target)
        ping = Ping(self.name, self.boot_epoch, self._updates(target))
        self._requests[self._send(target, ping, self._period_ms * stretch)] = target
        self._actions.append(
            StartTimer(self._period_ms * DIRECT_FRACTION * stretch, DirectProbeTimeout(self._probe_number))
        )

    def _end_probe(self) -> None:
        """Evaluate the last probe at the end of its period."""
        probe, self._probe = self._probe, _Probe("")
        self._requests = {}
        peer = self.peers.get(probe.target)
        if peer is None or not peer.reachable:
            return
        if peer.state is PeerState.ALIVE:  # a suspected peer that does not respond stays suspected
            # without responses from helpers this director itself may be slow or cut off
            self._adjust_health(1 + probe.silent_helpers)
            self._apply(Update(peer.name, PeerState.SUSPECTED, peer.boot_epoch, peer.incarnation, self.name))

    def _next_target(self) -> str | None:
        """Each reachable peer once a round in random order; every few probes an unreachable one."""
        absent = [name for name, peer in self.peers.items() if not peer.reachable]
        self._probe_count += 1
        if absent and (self._probe_count % ABSENT_PROBE_INTERVAL == 0 or len(absent) == len(self.peers)):
            return self._random.choice(absent)
        while self._order:
            name = self._order.pop()
            if name in self.peers and self.peers[name].reachable:
                return name
        self._order = [name for name, peer in self.peers.items() if peer.reachable]
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _probe_indirectly(self, probe: int) -> None:
        target = self.peers.get(self._probe.target)
        if probe != self._probe_number or target is None or not target.reachable:
            return
        others = [name for name, peer in self.peers.items() if peer.reachable and name != target.name]
        for helper in self._random.sample(others, min(HELPERS, len(others))):
            self._probe.helpers += 1
            self._probe.silent_helpers += 1
            message = PingFor(self.name, self.boot_epoch, target.name, self._updates(helper))
            timeout_ms = self._period_ms * (1 - DIRECT_FRACTION) * (1 + self.health)
            self._requests[self._send(helper, message, timeout_ms)] = helper

    def _send(self, to: str, message: Request, timeout_ms: float) -> int:
        self._last_request_id += 1
        self._actions.append(Send(to, self._last_request_id, message, timeout_ms))
        return self._last_request_id

    def _request(self, request: int, message: Request) -> None:
        if not self._is_current(message):
            return
        self._contacted(message.sender, message.boot_epoch, message.updates)
        if isinstance(message, Ping) or message.target == self.name:
            self._actions.append(Reply(request, self._ack(message.sender, True)))
        elif message.target not in self.peers or len(self._indirect_requests) >= MAX_INDIRECT_REQUESTS:
            self._actions.append(Reply(request, self._ack(message.sender, False)))
        else:
            ping = Ping(self.name, self.boot_epoch, self._updates(message.target))
            timeout_ms = self._period_ms * (1 - DIRECT_FRACTION) / 2
            self._indirect_requests[self._send(message.target, ping, timeout_ms)] = request, message.target

    def _response(self, request_id: int, message: Response) -> None:
        if not self._is_current(message):
            self._request_failed(request_id)
            return
        request, target = self._indirect_requests.pop(request_id, (None, ""))
        if (target or self._requests.pop(request_id, "")) != message.sender:
            self._reply_unreachable(request)  # of an earlier probe, or from another sender
            return
        self._contacted(message.sender, message.boot_epoch, message.updates)
        if request is not None:
            self._actions.append(Reply(request, self._ack("", True)))
        elif self._probe.target:
            if message.sender != self._probe.target:
                self._probe.silent_helpers -= 1
            if message.sender == self._probe.target or message.reached:
                self._probe = _Probe("")
                self._adjust_health(-1)

    def _request_failed(self, request_id: int) -> None:
        self._requests.pop(request_id, None)
        self._reply_unreachable(self._indirect_requests.pop(request_id, (None, ""))[0])

    def _reply_unreachable(self, request: int | None) -> None:
        if request is not None:
            self._actions.append(Reply(request, self._ack("", False)))

    def _ack(self, to: str, reached: bool) -> Ack:
        return Ack(self.name, self.boot_epoch, reached, self._updates(to))

    def _adjust_health(self, change: int) -> None:
        self.health = min(max(self.health + change, 0), MAX_HEALTH)

    # ---- Beliefs ------------------------------------------------------------------------------------------
    def _is_current(self, message: Request | Response) -> bool:
        """Whether the sender is a peer of the settings in its latest known boot epoch.

        If not, it is ignored.
        """
        peer = self.peers.get(message.sender)
        return peer is not None and message.boot_epoch >= peer.boot_epoch

    def _contacted(self, name: str, boot_epoch: int, updates: tuple[Update, ...]) -> None:
        """Apply a message's updates. A new boot epoch is alive.

        A peer believed dead must refute that itself.
        """
        peer = self.peers[name]
        if boot_epoch > peer.boot_epoch or peer.state is PeerState.UNKNOWN:
            self._apply(Update(name, PeerState.ALIVE, boot_epoch, 0))
        for update in updates:
            self._apply(update)

    def _apply(self, update: Update) -> None:
        if update.name == self.name:
            self._apply_own(update)
            return
        peer = self.peers.get(update.name)
        if peer is None or update.state is PeerState.UNKNOWN:
            return
        known = (peer.boot_epoch, peer.incarnation, peer.state)
        if update.state is PeerState.SUSPECTED and known == update.rank:
            self._confirm(peer, update)
            return
        if update.rank <= known:
            return
        before = peer.state
        peer.boot_epoch, peer.incarnation, peer.state = update.rank[0], update.rank[1], update.state
        peer.suspecting_peers = {update.suspected_by} if update.state is PeerState.SUSPECTED else set()
        self._spread(update)
        if update.state is PeerState.SUSPECTED:
            peer.since = self._now
            self._start_suspicion_timer(peer)
        if before is not peer.state or update.rank[0] != known[0]:
            self.version += 1
            self._actions.append(PeerChanged(peer.name, peer.state, peer.boot_epoch, self.version))

    def _apply_own(self, update: Update) -> None:
        if update.boot_epoch > self.boot_epoch:
            self.superseded = True
            self._actions.append(Superseded(update.boot_epoch))
            return
        if (
            update.boot_epoch < self.boot_epoch
            or self.left
            or update.state not in (PeerState.SUSPECTED, PeerState.DEAD)
        ):
            return
        if update.incarnation >= self.incarnation:
            # it was slow or cut off: refute, and trust its own suspicions less
            self.incarnation = update.incarnation + 1
            self._adjust_health(1)
        self._spread(self._own_update())  # also for peers that have missed an earlier refutation

    def _own_update(self) -> Update:
        return Update(
            self.name, PeerState.LEFT if self.left else PeerState.ALIVE, self.boot_epoch, self.incarnation
        )

    # ---- Suspicion ----------------------------------------------------------------------------------------
    def _suspicion_ms(self, peer: _Peer) -> float:
        """How long a suspicion lasts: longer where few agree, and where this director is slow itself."""
        fleet = max(math.log10(len(self.peers) + 1), 1.0)
        min_ms = MIN_SUSPICION_PERIODS * fleet * self._period_ms
        max_ms = MAX_SUSPICION_FACTOR * min_ms
        agree = math.log(len(peer.suspecting_peers)) / math.log(MAX_CONFIRMATIONS + 1)
        return (max_ms - (max_ms - min_ms) * min(agree, 1.0)) * (1 + self.health)

    def _start_suspicion_timer(self, peer: _Peer) -> None:
        left = max(peer.since + self._suspicion_ms(peer) - self._now, 0.0)
        peer.timer_due_at = self._now + left
        self._actions.append(StartTimer(left, SuspicionTimeout(peer.name, peer.boot_epoch, peer.incarnation)))

    def _confirm(self, peer: _Peer, update: Update) -> None:
        if (
            len(peer.suspecting_peers) <= MAX_CONFIRMATIONS
            and update.suspected_by not in peer.suspecting_peers
        ):
            peer.suspecting_peers.add(update.suspected_by)
            self._spread(update)
            self._start_suspicion_timer(peer)

    def _suspicion_timeout(self, name: str, boot_epoch: int, incarnation: int) -> None:
        peer = self.peers.get(name)
        if peer is None or peer.state is not PeerState.SUSPECTED:
            return
        if (peer.boot_epoch, peer.incarnation) != (boot_epoch, incarnation):
            return
        if self._now >= peer.since + self._suspicion_ms(peer) - TIMER_TOLERANCE_MS:
            self._apply(Update(name, PeerState.DEAD, boot_epoch, incarnation))
        elif self._now >= peer.timer_due_at - TIMER_TOLERANCE_MS:
            # this director has become slower meanwhile, and no later timer is left
            self._start_suspicion_timer(peer)

    # ---- Gossip -------------------------------------------------------------------------------------------
    def _spread(self, update: Update) -> None:
        self._gossip[update.name] = update, 0

    def _updates(self, to: str) -> tuple[Update, ...]:
        """The least sent updates; for a suspected or dead receiver first the belief about itself."""
        chosen: list[Update] = []
        peer = self.peers.get(to)
        if peer is not None and peer.state in (PeerState.SUSPECTED, PeerState.DEAD, PeerState.LEFT):
            chosen.append(Update(to, peer.state, peer.boot_epoch, peer.incarnation, self.name))
        if peer is not None and not peer.reachable:
            chosen.append(self._own_update())  # an unreachable peer may not have this update
        max_sent = math.ceil(GOSSIP_FACTOR * math.log2(len(self.peers) + 2))
        for name, (update, sent) in sorted(self._gossip.items(), key=lambda entry: (entry[1][1], entry[0])):
            if len(chosen) >= MAX_UPDATES:
                break
            if update in chosen:
                continue
            chosen.append(update)
            if sent + 1 >= max_sent:
                del self._gossip[name]
            else:
                self._gossip[name] = update, sent + 1
        return tuple(chosen)

    # ---- Settings and leaving -----------------------------------------------------------------------------
    def _reconfigured(self, names: frozenset[str]) -> None:
        for name in sorted(names - self.peers.keys() - {self.name}):
            self.peers[name] = _Peer(name)
        for name in sorted(self.peers.keys() - names):
            if self.peers[name].reachable:
                self.version += 1
                self._actions.append(
                    PeerChanged(name, PeerState.UNKNOWN, self.peers[name].boot_epoch, self.version)
                )
            del self.peers[name]
            self._gossip.pop(name, None)

    def _leave(self) -> None:
        self.left = True
        self._gossip.clear()
        self._spread(self._own_update())
        reachable = [name for name, peer in self.peers.items() if peer.reachable]
        for name in self._random.sample(reachable, min(2 * HELPERS, len(reachable))):
            self._send(name, Ping(self.name, self.boot_epoch, self._updates(name)), self._period_ms)
