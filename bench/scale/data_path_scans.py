"""Scans of one director's own work: what goes over all sessions, all connections or all servers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import cast

from bench.scale.control_scans import ZONES
from bench.scale.sampling import Sample, processor_ms
from bench.scale.scan import CONTROL, DATA_PATH, Scan
from foxlift import interface as fl
from foxlift.config import DirectorConfig, bind, read_forms
from foxlift.director import core as http_core
from foxlift.director import events as http_events
from foxlift.logic import Director
from foxlift.membership import BoxEntry
from foxlift.platform import events, settings, viewers
from foxlift.platform.admission import ConnectionAdmission
from foxlift.platform.client_connection import ClientConnection
from foxlift.platform.core import Core
from foxlift.platform.transport import PlatformDirector

sys.path.insert(0, str(Path(__file__).parents[2] / "tests"))

import platform_world

SESSION_SIZES = (1_000, 3_000, 10_000, 30_000, 71_400)
SERVERS = 200
EMPTY_SERVER = 0
"""On the list, without a session: what an event about it costs is the scan alone."""
FREE_CONNECTION = 10**9
NOW_MS = 1_000_000.0


def platform_config(servers: int) -> settings.Config:
    """A platform director's configuration with so many servers."""
    members = [
        platform_world.member(number, f"10.0.{number >> 8}.{number & 255}:5060", cell=number % 4)
        for number in range(servers)
    ]
    return settings.read(platform_world.config(members, sockets=1_000_000))


def core_with_sessions(sessions: int) -> Core:
    """A core to which so many sessions were handed over, each by a connection of its own."""
    config = platform_config(SERVERS)
    core = Core(config)
    for told in config.known:
        core.handle(NOW_MS, events.ListUpdated(told))
    for number in range(1, sessions + 1):
        server = 1 + number % (SERVERS - 1)
        start = viewers.Start(
            tag=f"{number:016x}",
            klass="free",
            tenant="acme",
            title=f"{number % 1000:016x}",
            remaining_ms=0.0,
            length_hint_ms=60_000.0,
            first_cell=server % 4,
            holders=1,
            top_rung=3,
            viewer=number,
            again=False,
            plays_at=server,
            description="v=0",
        )
        core.handle(NOW_MS, events.ViewerMessageReceived(number, start))
    if len(core.sessions) != sessions:
        raise RuntimeError(f"{len(core.sessions)} sessions stand, {sessions} wanted")
    return core


def _lost_connection(sessions: int) -> Sample:
    core = core_with_sessions(sessions)
    lost = events.ServerConnectionLost(EMPTY_SERVER, 1)
    return processor_ms(lambda: core.handle(NOW_MS, lost))


def _lost_server(sessions: int) -> Sample:
    core = core_with_sessions(sessions)
    lost = events.ServerLost(EMPTY_SERVER, "refused")
    return processor_ms(lambda: core.handle(NOW_MS, lost))


def _restarted_server(sessions: int) -> Sample:
    core = core_with_sessions(sessions)
    known = platform_config(1).known[0].servers[EMPTY_SERVER]
    starts = iter(range(1, 10**6))

    def restart() -> None:
        info = fl.NodeInfo(
            known.info.node,
            known.info.zone,
            known.info.kind,
            known.info.cell,
            known.info.status,
            1.0,
            next(starts),
        )
        core.handle(
            NOW_MS,
            events.ListUpdated(settings.ListUpdate(2, False, (settings.ListedServer(info, known.address),))),
        )

    return processor_ms(restart)


# ---- Connections ------------------------------------------------------------------------------------------
def _open_connections(connections: int) -> ConnectionAdmission:
    admission = ConnectionAdmission(connections)
    for number in range(connections):
        admission.opened(NOW_MS, number)
        admission.received(NOW_MS, number, proven=True, partial=False)
        admission.sessions_changed(number, 1)
    return admission


def _overdue_connections(connections: int) -> Sample:
    admission = _open_connections(connections)
    return processor_ms(lambda: admission.overdue(NOW_MS + 1.0))


def _one_too_many(connections: int) -> Sample:
    """All places are taken by proven viewers with sessions: the newcomer is the one to go."""
    admission = _open_connections(connections)
    newcomers = iter(range(FREE_CONNECTION, 2 * FREE_CONNECTION))

    def connect() -> None:
        admission.opened(NOW_MS, next(newcomers))
        admission.surplus(NOW_MS)

    return processor_ms(connect)


class _Written:
    """Stands for a transport with nothing unsent."""

    def get_write_buffer_size(self) -> int:
        return 0


def _look_at_what_is_owed(connections: int) -> Sample:
    loop = asyncio.new_event_loop()
    try:
        director = PlatformDirector(platform_config(1), "", loop)
        for number in range(connections):
            connection = SimpleNamespace(transport=_Written())
            director._clients[number] = cast(ClientConnection, connection)
        return processor_ms(director._check_stop)
    finally:
        loop.close()


# ---- The module -------------------------------------------------------------------------------------------
def _module_with_sessions(sessions: int) -> Director:
    """All on one server, each two rungs above its floor."""
    module = Director(platform_config(1).module, 1)
    info = fl.NodeInfo(0, 0, 0, 0, fl.Status.READY, sessions / 100)
    module.handle(NOW_MS, fl.NodeList(fl.ListKind.FULL, (info,)))
    for number in range(sessions):
        ask = fl.Ask(
            session=number,
            klass=1,
            title=number,
            first_cell=0,
            holders=1,
            best_rung=3,
            ttl_ms=0.0,
            tenant=0,
            viewer=number,
            length_ms=60_000.0,
        )
        module.handle(NOW_MS, fl.Resumed(ask, 0))
        module.handle(NOW_MS, fl.Note(number, 0, fl.NoteKind.RUNG, 2.0))
    return module


def _report_of_a_full_link(sessions: int) -> Sample:
    """The one report that says the link is asked for 1.3 of what it gives; a fresh module for each."""
    prepared = iter([_module_with_sessions(sessions) for _ in range(5)])
    full = fl.Note(0, 0, fl.NoteKind.LINK, 1.3)
    return processor_ms(lambda: next(prepared).handle(NOW_MS + 60_000.0, full), rounds=5)


# ---- What is reported of zones ----------------------------------------------------------------------------
_HTTP_DIRECTOR = f"""
(director (name "d") (number 0) (directors 4200) (zone zone-0) (state "state")
  (fleet (ladder-kb 150 450 1100) (ladder-worth 0.25 0.6 1.0)
    (classes (class (name "briefing") (repeat free) (wanted-ms 1000) (deadline-ms 5000) (worth 1) (top 2)))
    (cells 4) (racks 2) (zones {" ".join(ZONES)}) (kinds std) (kind-slots 30) (link-kb-per-weight 7000))
  (front (port 0)) (tokens (keys "keys") (issuer "i") (audience "foxlift")) (catalogue (folder "folder"))
  (box-list (url "http://127.0.0.1:1/")))
"""


def _http_core(sessions: int, servers: int) -> http_core.Core:
    config = bind(read_forms(_HTTP_DIRECTOR, "scan.sexp"), DirectorConfig, "director")
    core = http_core.Core(config, None, "1", lambda: "secret")
    for number in range(sessions):
        core.sessions[number] = cast(http_events.Session, SimpleNamespace(klass=0, rung=1))
    for number in range(servers):
        core.boxes[number] = BoxEntry(
            f"server-{number:05d}",
            number,
            "10.0.0.1",
            80,
            ZONES[number % 9],
            "std",
            0,
            fl.Status.READY,
            1.0,
            0.0,
        )
    return core


def _sights_by_sessions(sessions: int) -> Sample:
    core = _http_core(sessions, 0)
    return processor_ms(lambda: core.zone_evidence(NOW_MS))


def _sights_by_servers(servers: int) -> Sample:
    core = _http_core(0, servers)
    return processor_ms(lambda: core.zone_evidence(NOW_MS))


SCANS = (
    Scan("loss of one connection to a server", DATA_PATH, "ms", "sessions", SESSION_SIZES, _lost_connection),
    Scan("loss of one server without sessions", DATA_PATH, "ms", "sessions", SESSION_SIZES, _lost_server),
    Scan(
        "restart of one server without sessions",
        DATA_PATH,
        "ms",
        "sessions",
        SESSION_SIZES,
        _restarted_server,
    ),
    Scan(
        "search for overdue connections", DATA_PATH, "ms", "connections", SESSION_SIZES, _overdue_connections
    ),
    Scan("one connection too many", DATA_PATH, "ms", "connections", SESSION_SIZES, _one_too_many),
    Scan("look at what is unsent", DATA_PATH, "ms", "connections", SESSION_SIZES, _look_at_what_is_owed),
    Scan(
        "report of a full link",
        DATA_PATH,
        "ms",
        "sessions on the link",
        (50, 100, 200, 400, 800),
        _report_of_a_full_link,
    ),
    Scan("sights of zones, over sessions", CONTROL, "ms", "sessions", SESSION_SIZES, _sights_by_sessions),
    Scan(
        "sights of zones, over servers",
        CONTROL,
        "ms",
        "servers",
        (300, 1_000, 3_000, 10_000),
        _sights_by_servers,
    ),
)
