"""A fleet of membership views in virtual time, with counters: up to thousands of directors in one process.

The network is that of the tests (`tests/peers_world.py`): 0.2 to 3 ms, one message in a hundred up to 0.9 s
late. Bytes are those of whole HTTP messages as the program writes them, without TCP and IP; names have the
length that names of that many directors have.

Most views share a base table (`bench.scale.shared_view`). A few are the program's own, each with a table of
its own, and are timed: the processor time of a view is theirs.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "tests"))

import peers_world

from bench.scale.shared_view import BaseTable, SharedPeers, base_table
from foxlift import peers as pr
from foxlift.director.cluster.messages import JSON_HEADERS
from foxlift.http.messages import encode_head, encode_request
from foxlift.peers import view_messages

TIMED_VIEWS = 8
SETTLE_MS = 3_000.0
"""Until each view has begun to probe and the network is full of messages."""


def request_bytes(path: str, body: bytes, host: str = "10.100.200.30:8080") -> int:
    """Length of a request between directors as the program writes it."""
    return len(encode_request("POST", path, host, JSON_HEADERS, body))


def answer_bytes(body: bytes) -> int:
    """Length of an answer between directors as the program writes it."""
    return len(encode_head(200, JSON_HEADERS, len(body), close=False)) + len(body)


class TimedPeers(pr.Peers):
    """The program's view, which counts the processor time that it uses."""

    cpu_ns = 0

    def handle(self, now: float, event: pr.Event) -> list[pr.Action]:
        """As a member does, with its processor time counted."""
        begin = time.thread_time_ns()
        actions = super().handle(now, event)
        self.cpu_ns += time.thread_time_ns() - begin
        return actions


class BeliefLog(list[tuple[float, str, pr.PeerChanged]]):
    """Takes the place of a list of all changes of belief: keeps when watched ones were first held."""

    def __init__(self) -> None:
        super().__init__()
        self.watched: dict[tuple[str, pr.PeerState, int], dict[str, float]] = {}
        self.by_watched_member: dict[str, dict[str, float]] = {}
        self.wrong_deaths = 0
        self.killed: set[str] = set()

    def watch(self, name: str, state: pr.PeerState, run: int) -> dict[str, float]:
        """From now on: by member, when it first came to believe this."""
        return self.watched.setdefault((name, state, run), {})

    def watch_member(self, member: str) -> dict[str, float]:
        """From now on: by peer, when this member first found it alive."""
        return self.by_watched_member.setdefault(member, {})

    def append(self, change: tuple[float, str, pr.PeerChanged]) -> None:
        """Take in one change of a member's view."""
        at, member, changed = change
        since = self.watched.get((changed.name, changed.state, changed.boot_epoch))
        if since is not None:
            since.setdefault(member, at)
        if changed.state is pr.PeerState.ALIVE and member in self.by_watched_member:
            self.by_watched_member[member].setdefault(changed.name, at)
        if changed.state is pr.PeerState.DEAD and changed.name not in self.killed:
            self.wrong_deaths += 1


class Discarded(list[tuple[str, str, bytes]]):
    """Takes the place of a record of all messages, which would outgrow the memory."""

    def append(self, message: tuple[str, str, bytes]) -> None:
        """Keep nothing."""


@dataclass
class Traffic:
    """What was sent and used over a span; messages and bytes are those that a member sends."""

    messages: list[float]
    bytes: list[float]
    view_cpu: list[float]
    """Seconds of processor per second, of each timed view."""


@dataclass
class VirtualFleet(peers_world.Fleet):
    """`plain`: every view is the program's own, for a proof that shared ones do the same."""

    plain: bool = False
    knows_itself: bool = True
    keep_messages: bool = False
    beliefs: BeliefLog = field(default_factory=BeliefLog)

    def __post_init__(self) -> None:
        self.changes = self.beliefs
        if not self.keep_messages:
            self.wire = Discarded()
        names = [f"d{k}" for k in range(self.count)]
        first_state = pr.PeerState.ALIVE if self.knows_itself else pr.PeerState.UNKNOWN
        self._first: BaseTable = base_table(names, first_state)
        self._unknown: BaseTable = base_table(names, pr.PeerState.UNKNOWN)
        self.timed = frozenset(names[:: max(self.count // TIMED_VIEWS, 1)][:TIMED_VIEWS])
        super().__post_init__()
        if self.knows_itself:
            self._forget_news()

    def _forget_news(self) -> None:
        """In a fleet that has known itself for long nobody passes news on any more."""
        for member in self.members.values():
            member.view._gossip.clear()

    def start(self, name: str, run: int) -> None:
        """A process under the name; a later run than the first knows nobody."""
        base = self._first if run == 1 else self._unknown
        self.members[name] = peers_world.Member(self._view(name, run, base))
        self._do(name, self.members[name].view.start())

    def _view(self, name: str, run: int, base: BaseTable) -> pr.Peers:
        if not self.plain and name not in self.timed:
            return SharedPeers(name, run, base, self.seed)
        view = TimedPeers(name, run, self.names, self.seed)
        for peer_name, peer in view.peers.items():
            known = base.peers[peer_name]
            peer.state, peer.boot_epoch = known.state, known.boot_epoch
        return view

    def kill(self, *names: str) -> None:
        """End these members at once; nobody waits for their beliefs."""
        super().kill(*names)
        self.beliefs.killed |= set(names)

    def leave(self, name: str) -> int:
        """A planned stop: the member says that it leaves, and is gone; gives back the run it had."""
        view = self.members[name].view
        self._do(name, view.handle(self.now, view_messages.Leave()))
        self.kill(name)
        return view.boot_epoch

    def measure(self, span_ms: float) -> Traffic:
        """Let time pass, and tell what members that live at its end have sent and used in it."""
        return self.measured(lambda: self.run(span_ms), span_ms)

    def measured(self, let_time_pass: Callable[[], object], span_ms: float) -> Traffic:
        """The same where more happens in that time."""
        self.sent.clear()
        self.sent_bytes.clear()
        before = dict(self._timed_cpu_ns())
        let_time_pass()
        seconds = span_ms / 1000
        used = [ns - before[name] for name, ns in self._timed_cpu_ns() if name in before]
        living = self.living()
        return Traffic(
            messages=[self.sent[name] / seconds for name in living],
            bytes=[self.sent_bytes[name] / seconds for name in living],
            view_cpu=[ns / 1e9 / seconds for ns in used],
        )

    def _timed_cpu_ns(self) -> Iterator[tuple[str, int]]:
        for name in sorted(self.timed):
            member = self.members[name]
            if member.up and isinstance(member.view, TimedPeers):
                yield name, member.view.cpu_ns

    def living(self) -> list[str]:
        """Names of members that are up."""
        return [name for name, member in self.members.items() if member.up]

    def _count(self, name: str, body: bytes) -> None:
        is_answer = body.startswith(b'{"type":"ack"')
        self.sent[name] += 1
        self.sent_bytes[name] += answer_bytes(body) if is_answer else request_bytes("/peers/view", body)
