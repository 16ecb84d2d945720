"""A platform director's core, module and codecs under load: in process, in virtual time, without sockets."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bench.scale.director_config import configuration
from foxlift.platform import events as ev
from foxlift.platform import rtsp, viewers
from foxlift.platform.core import Core
from foxlift.platform.settings import read
from foxlift.standins.platform import rtsp_answer, rtsp_request, start_line

START_MS = 1_000_000.0
MS_BETWEEN_SET_UPS = 0.5
MS_BETWEEN_REPORTS = 0.05  # 19,000 a second, rounded
VIEWERS_PER_CONNECTION = 1
TITLES = 1000
SERVER_CONNECTION = 1  # number of the one connection that stands for all to a server
NANOSECONDS = 1e9

Report = Callable[[str], bytes]


@dataclass(frozen=True, slots=True)
class PreparedSession:
    """The messages of one session's set-up, written before any time is taken."""

    tag: str
    viewer_connection: int
    start: bytes
    answer: bytes


def link_report(tag: str, use: float = 0.5) -> bytes:
    """A server's report of what is asked of its link, as a part of what the link gives."""
    return rtsp_request("ANNOUNCE", tag, f"Fail-Word: link\r\nX-Reading: {use}\r\n")


def delivery_note(tag: str) -> bytes:
    """A server's note that all of the asked rate was delivered."""
    return rtsp_request("ANNOUNCE", tag, "Fail-Word: delivered\r\nX-Reading: 1.0\r\n")


def release(tag: str) -> bytes:
    """A server's word that a session is over."""
    return rtsp_request("TEARDOWN", tag, "Reason: cause=16\r\n")


class CoreUnderLoad:
    """A core with its timers, told what viewers and servers would send it."""

    def __init__(self, servers: int) -> None:
        addresses = [f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:5060" for index in range(servers)]
        parsed = read(configuration(addresses))
        self.core = Core(parsed)
        self.servers = servers
        self.standing: dict[str, int] = {}  # session to its server
        self.now = START_MS
        self._prepared = 0
        self._waiting: list[tuple[int, int]] = []  # requests to servers: session, server
        self._timers: list[tuple[float, int, ev.Event]] = []
        self._timer_order = 0
        self._viewer_reader = viewers.LineReader()
        self._server_reader = rtsp.MessageReader()
        for told in parsed.known:
            self.handle(ev.ListUpdated(told))

    def handle(self, event: ev.Event) -> None:
        """Give the core an event; keep the timers and set-ups that it asks for."""
        for action in self.core.handle(self.now, event):
            if isinstance(action, ev.QueueSetup):
                self._waiting.append((action.session, action.node))
            elif isinstance(action, ev.StartTimer):
                self._timer_order += 1
                due = self.now + action.delay_ms
                heapq.heappush(self._timers, (due, self._timer_order, action.event))

    def pass_time(self, milliseconds: float) -> None:
        """Let time pass and handle the timers that come due."""
        until = self.now + milliseconds
        while self._timers and self._timers[0][0] <= until:
            due, _, event = heapq.heappop(self._timers)
            self.now = max(self.now, due)
            self.handle(event)
        self.now = until

    def prepare(self, count: int) -> list[PreparedSession]:
        """Messages of so many new sessions."""
        prepared = []
        for _ in range(count):
            self._prepared += 1
            tag = f"{self._prepared:016x}"
            home = self._prepared % self.servers
            start = start_line(
                tag,
                title=f"{self._prepared % TITLES:016x}",
                opts={"extras": f"home:{home};copies:4;top:3;viewer:{self._prepared:016x}"},
            )
            answer = rtsp_answer(200, tag, b"server\r\nm=audio 1 RTP/AVP 0\r\n")
            connection = self._prepared // VIEWERS_PER_CONNECTION + 1
            prepared.append(PreparedSession(tag, connection, start, answer))
        return prepared

    def set_up(self, prepared: Iterable[PreparedSession]) -> None:
        """Set sessions up one after another: request in, request out, answer in, answer out."""
        for session in prepared:
            self.pass_time(MS_BETWEEN_SET_UPS)
            for line in self._viewer_reader.feed(session.start):
                message = viewers.read_line(line)
                if message is not None:
                    self.handle(ev.ViewerMessageReceived(session.viewer_connection, message))
            self._answer(session)

    def _answer(self, session: PreparedSession) -> None:
        """Carry the request to its server and the answer back. Raises RuntimeError where there is none."""
        waiting, self._waiting = self._waiting, []
        if len(waiting) != 1:
            raise RuntimeError(f"{len(waiting)} requests to servers after one of a viewer")
        [(number, server)] = waiting
        if self.core.take_setup(self.now, number, server, SERVER_CONNECTION) is None:
            raise RuntimeError("a request that is not to leave any more")
        self.from_server(server, session.answer)
        self.standing[session.tag] = server

    def report_links(self, use: float) -> None:
        """Have each server where a session stands report its link."""
        a_session = {server: tag for tag, server in self.standing.items()}
        self.report([(server, link_report(tag, use)) for server, tag in a_session.items()])

    def from_server(self, server: int, data: bytes) -> None:
        """Bytes of a server."""
        for message in self._server_reader.feed(data):
            self.handle(ev.ServerMessageReceived(server, SERVER_CONNECTION, message))

    def report(self, prepared: Iterable[tuple[int, bytes]]) -> None:
        """Servers' messages on sessions that stand, at the pace of a full director."""
        for server, data in prepared:
            self.pass_time(MS_BETWEEN_REPORTS)
            self.from_server(server, data)

    def prepare_reports(self, count: int, write: Report) -> list[tuple[int, bytes]]:
        """So many messages of one kind, on the sessions that stand in turn."""
        standing = list(self.standing.items())
        chosen = (standing[index % len(standing)] for index in range(count))
        return [(server, write(tag)) for tag, server in chosen]

    def prepare_releases(self, count: int) -> list[tuple[int, bytes]]:
        """The ends of so many sessions that stand, oldest first; each can be told once."""
        tags = list(self.standing)[:count]
        return [(self.standing.pop(tag), release(tag)) for tag in tags]


def core_with_sessions(sessions: int, servers: int) -> CoreUnderLoad:
    """A core on which so many set-ups were made."""
    loaded = CoreUnderLoad(servers)
    loaded.set_up(loaded.prepare(sessions))
    return loaded


def processor_seconds(action: Callable[[], object]) -> float:
    """Processor time that an action takes in this process, s."""
    before = time.process_time_ns()
    action()
    return (time.process_time_ns() - before) / NANOSECONDS
