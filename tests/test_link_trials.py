"""Links last reported full, on which no own session is left: tried again, and by the fleet not all at once.

Guards against a director that refuses every request for good, since only sessions bring reports.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import pytest
from cold_fleet_world import SETTINGS
from test_platform_sockets import name, run_scenario, scene

from foxlift import interface as fl
from foxlift.logic import SHORT_DURATION_MS, UNREPORTED_TRIAL_DELAYS, Director
from foxlift.standins.platform import rtsp_request, start_line

WEAK_LINKS = replace(SETTINGS, link_kb_per_weight=14_000.0, report_every_ms=2750.0, note_late_ms=742.0)
FULL_USE = 1.3  # of a link's capacity
REQUEST_INTERVAL_MS = 500.0


def ready(node: int, started_ms: float = 0.0) -> fl.NodeInfo:
    return fl.NodeInfo(node, 0, 0, node, fl.Status.READY, 1.0, started_ms)


class Servers:
    """Media servers as one director sees them: set-ups start at once, sessions end when told to."""

    def __init__(self, settings: fl.Settings, count: int, seed: int = 1) -> None:
        self.module = Director(settings, seed)
        self.now = 0.0
        self.started: list[tuple[float, int]] = []  # time and server
        self.refused = 0
        self.playing: dict[int, int] = {}  # session to server
        self.use: dict[int, float] = {}  # by server: what it reports of its link
        self.timers: list[float] = []
        self._last_session = 0
        self._carry_out(fl.NodeList(fl.ListKind.FULL, tuple(ready(node) for node in range(count))))

    def advance(self, to: float) -> None:
        """Let the module's timers come due up to this time."""
        while self.timers and min(self.timers) <= to:
            self.now = min(self.timers)
            self.timers.remove(self.now)
            self._carry_out(fl.Wake(0))
        self.now = to

    def request(self, holders: int = 3, first_cell: int = 0) -> None:
        self._last_session += 1
        ask = fl.Ask(
            self._last_session,
            1,
            title=9,
            first_cell=first_cell,
            holders=holders,
            best_rung=2,
            ttl_ms=5000,
        )
        self._carry_out(ask)

    def report_all(self) -> None:
        """Each session that plays brings a note on its link."""
        for session, node in list(self.playing.items()):
            self._carry_out(fl.Note(session, node, fl.NoteKind.LINK, self.use.get(node, 0.2)))

    def end_all(self) -> None:
        for session, node in list(self.playing.items()):
            del self.playing[session]
            self.end(session, node)

    def end(self, session: int, node: int) -> None:
        self._carry_out(fl.Ended(session, node, 0, fl.Outcome.OK, True, 0.0, None))

    def restart(self, node: int) -> None:
        for session in [session for session, at in self.playing.items() if at == node]:
            del self.playing[session]
            self._carry_out(fl.Ended(session, node, 0, fl.Outcome.RESET, True, 0.0, None))
        self._carry_out(fl.NodeList(fl.ListKind.DELTA, (ready(node, self.now),)))

    def remove(self, node: int) -> None:
        """Take the server off the list; its sessions play on."""
        gone = replace(ready(node), status=fl.Status.GONE)
        self._carry_out(fl.NodeList(fl.ListKind.DELTA, (gone,)))

    def _carry_out(self, event: fl.Event) -> None:
        for action in self.module.handle(self.now, event):
            match action:
                case fl.SetUp(session, node, _):
                    self.started.append((self.now, node))
                    self.playing[session] = node
                    self._carry_out(fl.Started(session, node, 0, 1.0))
                case fl.Refuse():
                    self.refused += 1
                case fl.SetTimer(delay_ms, _):
                    self.timers.append(self.now + delay_ms)
                case _:
                    pass


def fill_and_empty(servers: Servers, count: int) -> None:
    """Six sessions at servers whose links are in trouble, then all end; the trouble is over, too."""
    for _ in range(6):
        servers.request()
    servers.use = dict.fromkeys(range(count), FULL_USE)
    for _ in range(4):
        servers.advance(servers.now + 2750.0)
        servers.report_all()
    servers.end_all()
    servers.use = {}


def test_idle_links_last_reported_full_are_used_again() -> None:
    servers = Servers(WEAK_LINKS, 3)
    fill_and_empty(servers, 3)
    emptied_at, started_before = servers.now, len(servers.started)
    for k in range(1, 151):
        servers.advance(emptied_at + k * REQUEST_INTERVAL_MS)
        servers.request()
        servers.report_all()
        if k % 6 == 0:  # sessions of three seconds, so that there is room in truth
            servers.end_all()
    first = servers.started[started_before][0] if len(servers.started) > started_before else math.inf
    assert first - emptied_at <= servers.module.raise_delay_ms + REQUEST_INTERVAL_MS
    assert servers.refused < 20  # of 150


def test_only_one_session_tries_a_link_until_it_is_reported_on() -> None:
    servers = Servers(WEAK_LINKS, 3)
    fill_and_empty(servers, 3)
    started_before = len(servers.started)
    servers.advance(servers.now + servers.module.raise_delay_ms)
    for _ in range(20):
        servers.request()
    tried = [node for _, node in servers.started[started_before:]]
    assert sorted(tried) == [0, 1, 2]


def test_a_link_never_reported_is_not_tried_while_others_report_that_they_are_full() -> None:
    """The mean over links is its estimated use: a mean of reports that arrive is not old."""
    servers = Servers(WEAK_LINKS, 3)
    for _ in range(6):
        servers.request(2)
    assert {node for _, node in servers.started} == {0, 1}
    servers.use = dict.fromkeys(range(2), FULL_USE)
    for _ in range(20):
        servers.advance(servers.now + 2750.0)
        servers.report_all()
        servers.request(1, first_cell=2)
    assert len(servers.started) == 6
    servers.end_all()
    servers.advance(servers.now + servers.module.raise_delay_ms)
    servers.request(1, first_cell=2)
    assert servers.started[-1] == (servers.now, 2)


@pytest.mark.parametrize("racks", [1, 3])
def test_a_link_never_reported_is_tried_in_the_end_while_others_report_that_they_are_full(racks: int) -> None:
    """Guards against a title whose only holder was never reported on: it was refused for good."""
    servers = Servers(replace(WEAK_LINKS, racks=racks, uplink_kb=140_000.0 if racks == 1 else 14_000.0), 3)
    for _ in range(6):
        servers.request(2)
    servers.use = dict.fromkeys(range(2), FULL_USE)
    for _ in range(300):
        servers.advance(servers.now + 2750.0)
        for session in [session for session, node in servers.playing.items() if node == 2]:
            del servers.playing[session]  # it ends before any report
            servers.end(session, 2)
        servers.report_all()
        servers.request(1, first_cell=2)
    tried_at = [at for at, node in servers.started if node == 2]
    delay_ms = UNREPORTED_TRIAL_DELAYS * servers.module.raise_delay_ms
    assert tried_at and tried_at[0] <= delay_ms + 2750.0
    gaps = [later - earlier for earlier, later in pairwise(tried_at)]
    assert all(delay_ms <= gap <= delay_ms + 2 * 2750.0 for gap in gaps), gaps
    assert len(gaps) >= 5


@pytest.mark.parametrize("seed", range(20))
def test_an_idle_server_gets_a_request_within_a_time_that_follows_from_the_settings(seed: int) -> None:
    """After any reports, ends and restarts: once no server is in trouble, one of the next requests starts."""
    chance = random.Random(seed)
    servers = Servers(WEAK_LINKS, 3, seed)
    bound_ms = WEAK_LINKS.warm_up_ms + SHORT_DURATION_MS + servers.module.raise_delay_ms
    for _ in range(6):  # trouble, then quiet
        for _ in range(chance.randrange(5, 60)):
            servers.advance(servers.now + chance.uniform(10.0, 1500.0))
            servers.use[chance.randrange(3)] = chance.choice((0.2, 0.9, FULL_USE, 4.0))
            match chance.randrange(5):
                case 0 | 1:
                    servers.request(chance.randint(1, 3))
                case 2:
                    servers.report_all()
                case 3:
                    servers.end_all()
                case _:
                    servers.restart(chance.randrange(3))
        servers.end_all()
        servers.use = {}
        quiet_since, started_before = servers.now, len(servers.started)
        while servers.now < quiet_since + bound_ms + REQUEST_INTERVAL_MS:
            servers.advance(servers.now + REQUEST_INTERVAL_MS)
            servers.request()
        assert len(servers.started) > started_before


@pytest.mark.parametrize("seed", range(5))
def test_listed_servers_with_own_sessions_are_known_without_a_search(seed: int) -> None:
    """A link or uplink is tried only where no own session brings a report: removed servers do not count."""
    chance = random.Random(seed)
    servers = Servers(replace(WEAK_LINKS, racks=2), 6, seed)
    in_use = 0
    for _ in range(400):
        servers.advance(servers.now + chance.uniform(10.0, 1500.0))
        match chance.randrange(10):
            case 0:
                servers.end_all()
            case 1:
                servers.restart(chance.randrange(6))
            case 2:
                servers.remove(chance.randrange(6))
            case 3:
                servers.report_all()
            case _:
                servers.request(chance.randint(1, 3), chance.randrange(6))
        for pipe in (*servers.module.racks.values(), *(node.link for node in servers.module.nodes.values())):
            assert pipe.nodes_in_use == {id(node) for node in pipe.nodes if node.sessions}
            in_use += len(pipe.nodes_in_use)
    assert in_use > 100


def test_a_fleet_whose_links_stay_full_tries_them_within_the_cold_budget() -> None:
    """200 directors with old reports of one server that is in trouble all the time."""
    settings = replace(WEAK_LINKS, directors=200, cells=1)
    fleet = [Servers(replace(settings, director=k), 1, k) for k in range(settings.directors)]
    chance = random.Random(1)
    for servers in fleet:
        servers.request(1)
        servers.use = {0: FULL_USE}
        servers.advance(chance.uniform(2000.0, 3000.0))
        servers.report_all()
        servers.end_all()
    now, window = 3000.0, settings.cold_window_ms
    allowed = (
        settings.cold_multiple * settings.cold_from * settings.kind_slots[0] / settings.warm_up_ms * window
    )
    most = allowed + 3 * math.sqrt(allowed) + 3  # the rule for a budget under 30
    arrivals: deque[float] = deque()
    fullest = 0
    while now < 60_000.0:
        now += 100.0
        for servers in fleet:
            servers.advance(now)
            before = len(servers.started)
            if chance.random() < 0.05:  # a request every two seconds at each director
                servers.request(1)
            arrivals.extend([now] * (len(servers.started) - before))
            if servers.playing and chance.random() < 0.1:
                servers.report_all()
                servers.end_all()
        while arrivals and arrivals[0] <= now - window:
            arrivals.popleft()
        fullest = max(fullest, len(arrivals))
    assert 0 < fullest <= most


def test_idle_servers_last_reported_full_are_used_again_on_sockets(tmp_path: Path) -> None:
    """Links noted as full until the director's last session there ends, and idle from then on."""
    reports = {"family_info__reports_every_ms": 200.0, "family_info__told_late_ms": 100.0}

    async def test() -> None:
        async with scene(tmp_path, servers=3, **reports) as world:
            viewer = await world.viewer()
            for number in range(1, 7):
                viewer.send(start_line(name(number)))
                answer = await viewer.answer(name(number))
                assert answer is not None and answer["verb"] == "STARTED"
            note = f"Fail-Word: link\r\nX-Reading: {FULL_USE}\r\n"
            for number in range(1, 7):
                server = world.server_of(name(number))
                server.writers[0].write(rtsp_request("ANNOUNCE", name(number), note))
            for number in range(1, 7):
                server = world.server_of(name(number))
                server.writers[0].write(rtsp_request("TEARDOWN", name(number), "Reason: cause=16\r\n"))
                over = await viewer.answer(name(number))
                assert over is not None and over["verb"] == "FINISH"
            viewer.send(start_line(name(7)))
            answer = await viewer.answer(name(7))
            assert answer is not None and answer["verb"] == "FINISH"  # all links were full just now
            await asyncio.sleep(world.director.core.module.raise_delay_ms / 1000)
            viewer.send(start_line(name(8)))
            answer = await viewer.answer(name(8))
            assert answer is not None and answer["verb"] == "STARTED"

    run_scenario(test)
