"""A fleet of membership views in virtual time, over a network with random faults."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from foxlift import peers as pr
from foxlift.peers.messages import encode, read_request, read_response


@dataclass
class Member:
    """A process and its view."""

    view: pr.Peers
    up: bool = True
    still_until: float = 0.0
    slow_ms: float = 0.0  # maximum delay of each message that it sends or receives


@dataclass
class Fleet:
    """`count` directors. `make`: a view class, for tests with one rule switched off."""

    count: int
    seed: int = 1
    loss: float = 0.0
    duplicated: float = 0.0
    make: type[pr.Peers] = pr.Peers
    now: float = 1.0
    members: dict[str, Member] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)  # from, to
    changes: list[tuple[float, str, pr.PeerChanged]] = field(default_factory=list)
    superseded: set[str] = field(default_factory=set)
    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    wire: list[tuple[str, str, bytes]] = field(default_factory=list)  # requests, for replays

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.names = [f"d{k}" for k in range(self.count)]
        self._queue: list[tuple[float, int, str, Callable[[], pr.Event | None]]] = []
        self._order = self._requests = 0
        self._answers: dict[tuple[str, int], Callable[[bytes], None]] = {}
        for name in self.names:
            self.start(name, 1)

    def start(self, name: str, run: int) -> None:
        """Start a process with the name, in place of an older one."""
        view = self.make(name, run, self.names, self.seed)
        self.members[name] = Member(view)
        self._do(name, view.start())

    def kill(self, *names: str) -> None:
        for name in names:
            self.members[name].up = False

    def part(self, ones: set[str], others: set[str], both: bool = True) -> None:
        """Drop messages from `ones` to `others`, or in both directions."""
        self.cut |= {(a, b) for a in ones for b in others}
        if both:
            self.cut |= {(b, a) for a in ones for b in others}

    def run(self, ms: float, until: Callable[[], bool] | None = None) -> float:
        """Let time pass; returns when `until` became true, or the end."""
        end = self.now + ms
        while self._queue and self._queue[0][0] <= end:
            self.now, _, name, event = heapq.heappop(self._queue)
            member = self.members[name]
            if member.still_until > self.now:
                self._later(member.still_until, name, event)
                continue
            made = event() if member.up else None
            if made is not None:
                self._do(name, member.view.handle(self.now, made))
                if until is not None and until():
                    return self.now
        self.now = end
        return end

    def all_believe(self, name: str, *states: pr.PeerState) -> bool:
        return all(m.view.state(name) in states for n, m in self.members.items() if m.up and n != name)

    def deaths(self, since: float = 0.0) -> set[str]:
        """Names that any director believed dead."""
        return {c.name for at, _, c in self.changes if c.state is pr.PeerState.DEAD and at >= since}

    # ---- Network ------------------------------------------------------------------------------------------
    def _later(self, at: float, name: str, event: Callable[[], pr.Event | None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, name, event))

    def _pass(self, sender: str, to: str, event: Callable[[], pr.Event | None]) -> None:
        times = 2 if self.random.random() < self.duplicated else 1
        for _ in range(times):
            if to not in self.members or (sender, to) in self.cut or self.random.random() < self.loss:
                continue
            late = self.random.random() < 0.01
            delay = self.random.uniform(3.0, 900.0) if late else self.random.uniform(0.2, 3.0)
            delay += sum(self.random.uniform(0, self.members[end].slow_ms) for end in (sender, to))
            self._later(self.now + delay, to, event)

    def ask(self, sender: str, to: str, body: bytes, answered: Callable[[bytes], None]) -> None:
        """Send a request; it is answered once at most, even if duplicated."""
        self._requests += 1
        request = self._requests

        def arrives() -> pr.Event | None:
            self._answers.setdefault((to, request), answered)
            try:
                return pr.RequestReceived(request, read_request(body))
            except msgspec.MsgspecError:
                return None

        self._pass(sender, to, arrives)

    def _do(self, name: str, actions: list[pr.Action]) -> None:
        run = self.members[name].view
        for action in actions:
            match action:
                case pr.StartTimer(delay, timer):
                    self._later(self.now + delay, name, lambda t=timer: self._own(name, run, pr.TimerDue(t)))  # type: ignore[misc]
                case pr.Send(to, number, message, within):
                    self._send(name, run, to, number, encode(message), within)
                case pr.Reply(request, message):
                    reply = self._answers.pop((name, request), None)
                    if reply is not None:
                        self._count(name, encode(message))
                        reply(encode(message))
                case pr.PeerChanged():
                    self.changes.append((self.now, name, action))
                case pr.Superseded():
                    self.superseded.add(f"{name}.{run.boot_epoch}")

    def _own(self, name: str, view: pr.Peers, event: pr.Event) -> pr.Event | None:
        """Deliver to the process that started the timer, not to a later one with its name."""
        return event if self.members[name].view is view else None

    def _send(self, name: str, view: pr.Peers, to: str, number: int, body: bytes, within: float) -> None:
        self._count(name, body)
        self.wire.append((name, to, body))
        over: list[bool] = []

        def answered(answer: bytes) -> None:
            def comes() -> pr.Event | None:
                if over or self.members[name].view is not view:
                    return None
                over.append(True)
                return pr.ResponseReceived(number, read_response(answer))

            self._pass(to, name, comes)

        def times_out() -> pr.Event | None:
            if over or self.members[name].view is not view:
                return None
            over.append(True)
            return pr.RequestFailed(number)

        self.ask(name, to, body, answered)
        self._later(self.now + within, name, times_out)

    def _count(self, name: str, body: bytes) -> None:
        self.sent[name] += 1
        self.sent_bytes[name] += len(body)
