"""Processor time of one more message, and of what a director does at once over all that it holds, in process.

Codecs, core and module, without sockets, timers' heap and loop. The second part is a search for work that
grows with the director: its slope should be nothing.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from functools import partial

from bench.scale.child_process import in_new_process
from bench.scale.director_config import SERVERS_PER_RACK, server_number
from bench.scale.load_core import (
    CoreUnderLoad,
    core_with_sessions,
    delivery_note,
    link_report,
    processor_seconds,
)
from bench.scale.series import Quantity, Run, SizeSeries, measure_series
from foxlift import interface as fl
from foxlift.platform import events as ev
from foxlift.platform.settings import Address, ListedServer, ListUpdate

ROLE = "platform director, core and module"
REPEATS = 3
CALLS = 20  # of one operation over all sessions, for a time that can be measured
STANDING = 10_000
SERVERS = 100
MESSAGE_SIZES = (1000, 2000, 4000, 8000, 16_000)
SESSION_SIZES = (1000, 10_000, 20_000, 40_000, 70_000)
SERVER_SIZES = (100, 200, 300, 400, 500)
RACK_SIZES = (250, 500, 1000, 1500, 2000)
SHORT_RACK_SIZES = (50, 100, 150, 200, 250)
SHORT_MESSAGE_SIZES = (100, 200, 400, 800, 1600)
SHORT_SESSION_SIZES = (250, 500, 1000, 2000, 4000)
SETTLED_MS = 20_000.0  # by then the module takes the room on its links as lasting
REPORTS = 200
NEARLY_FULL = 0.8  # of a link: room for a session at a low rung, none to raise one
OVERLOADED = 1.5
MILLISECONDS = 1000.0

Prepare = Callable[[CoreUnderLoad, int], Callable[[], object]]


# ---- Messages ---------------------------------------------------------------------------------------------
def _set_ups(loaded: CoreUnderLoad, count: int) -> Callable[[], object]:
    return partial(loaded.set_up, loaded.prepare(count))


def _link_reports(loaded: CoreUnderLoad, count: int) -> Callable[[], object]:
    return partial(loaded.report, loaded.prepare_reports(count, link_report))


def _notes(loaded: CoreUnderLoad, count: int) -> Callable[[], object]:
    return partial(loaded.report, loaded.prepare_reports(count, delivery_note))


def _releases(loaded: CoreUnderLoad, count: int) -> Callable[[], object]:
    return partial(loaded.report, loaded.prepare_releases(count))


MESSAGES: tuple[tuple[str, str, Prepare], ...] = (
    ("set-up", "set-ups", _set_ups),
    ("report of a link", "reports", _link_reports),
    ("note of delivery", "notes", _notes),
    ("release by a server", "releases", _releases),
)


def _time_messages(prepare: Prepare, standing: int, count: int) -> list[float]:
    seconds = []
    for _ in range(REPEATS):
        loaded = core_with_sessions(max(standing, count), SERVERS)
        seconds.append(processor_seconds(prepare(loaded, count)))
    return seconds


def measure_messages(run: Run, short: bool) -> list[SizeSeries]:
    """Seconds of a core for each kind of message, while many sessions stand and links have room."""
    *sizes, held_back = SHORT_MESSAGE_SIZES if short else MESSAGE_SIZES
    standing = held_back if short else STANDING
    return [
        measure_series(
            run,
            Quantity(f"processor time of a {name}", ROLE, "s", plural, "in process"),
            sizes,
            held_back,
            partial(_time_messages, prepare, standing),
        )
        for name, plural, prepare in MESSAGES
    ]


# ---- Work over all that is held ---------------------------------------------------------------------------
def _lose_connection(loaded: CoreUnderLoad) -> None:
    loaded.handle(ev.ServerConnectionLost(server_number(0), 2))  # nothing is out on this one


def _lose_idle_server(loaded: CoreUnderLoad) -> None:
    loaded.handle(
        ev.ServerLost(server_number(loaded.servers), "refused")
    )  # not on the list: nothing plays there


def _list_new_server(loaded: CoreUnderLoad) -> None:
    number = server_number(loaded.servers + 1)
    info = fl.NodeInfo(number, 0, 0, 0, fl.Status.READY, started_ms=loaded.now)
    loaded.handle(ev.ListUpdated(ListUpdate(2, False, (ListedServer(info, Address("10.255.0.1", 5060)),))))
    loaded.handle(
        ev.ListUpdated(ListUpdate(3, False, (ListedServer(_gone(info), Address("10.255.0.1", 5060)),)))
    )


def _gone(info: fl.NodeInfo) -> fl.NodeInfo:
    """The list's line that a server is no more."""
    return fl.NodeInfo(info.node, info.zone, info.kind, info.cell, fl.Status.GONE)


def _collect_garbage(loaded: CoreUnderLoad) -> None:
    gc.collect()


OPERATIONS: dict[str, Callable[[CoreUnderLoad], None]] = {
    "loss of a connection with nothing out on it": _lose_connection,
    "loss of a server where nothing plays": _lose_idle_server,
    "listing of a server and of its end": _list_new_server,
    "full garbage collection": _collect_garbage,
}


def _time_operations(sessions: int) -> dict[str, list[float]]:
    """Milliseconds of each operation; the process holds nothing else that a collection would look at."""
    gc.collect()
    gc.freeze()  # as the director's process does when it begins to serve
    loaded = core_with_sessions(sessions, SERVERS)
    return {name: _time_operation(partial(operation, loaded)) for name, operation in OPERATIONS.items()}


def _time_operation(operation: Callable[[], object]) -> list[float]:
    def calls() -> None:
        for _ in range(CALLS):
            operation()

    return [processor_seconds(calls) / CALLS * MILLISECONDS for _ in range(REPEATS)]


def measure_growth(run: Run, short: bool) -> list[SizeSeries]:
    """Milliseconds of one operation that concerns few sessions, while so many stand."""
    *sizes, held_back = SHORT_SESSION_SIZES if short else SESSION_SIZES
    by_size: dict[int, dict[str, list[float]]] = {}

    def milliseconds(name: str, size: int) -> list[float]:
        if size not in by_size:
            by_size[size] = in_new_process(_time_operations, size)
        return by_size[size][name]

    return [
        measure_series(
            run,
            Quantity(f"processor time of a {name}", ROLE, "ms", "sessions", "in process"),
            sizes,
            held_back,
            partial(milliseconds, name),
        )
        for name in OPERATIONS
    ]


# ---- Sessions that may rise or must fall ------------------------------------------------------------------
def _core_below_best_rung(sessions: int, servers: int) -> CoreUnderLoad:
    """Sessions that were set up while links were nearly full, and so play below their best rung."""
    first = servers * 4
    loaded = core_with_sessions(first, servers)
    loaded.report_links(NEARLY_FULL)
    loaded.set_up(loaded.prepare(sessions - first))
    loaded.pass_time(SETTLED_MS)
    return loaded


def _time_report_in_rack(sessions: int) -> list[float]:
    loaded = _core_below_best_rung(sessions, SERVERS_PER_RACK)
    seconds = []
    for _ in range(REPEATS):
        reports = loaded.prepare_reports(REPORTS, partial(link_report, use=NEARLY_FULL))
        seconds.append(processor_seconds(partial(loaded.report, reports)) / len(reports) * MILLISECONDS)
    return seconds


def _time_overload_report(sessions: int) -> list[float]:
    milliseconds = []
    for _ in range(REPEATS):
        loaded = core_with_sessions(sessions, 1)
        loaded.pass_time(SETTLED_MS)
        reports = loaded.prepare_reports(1, partial(link_report, use=OVERLOADED))
        milliseconds.append(processor_seconds(partial(loaded.report, reports)) * MILLISECONDS)
    return milliseconds


def measure_rungs(run: Run, short: bool) -> list[SizeSeries]:
    """Milliseconds of a report where sessions may rise, and where they must fall."""
    *sizes, held_back = SHORT_RACK_SIZES if short else RACK_SIZES
    series = [
        measure_series(
            run,
            Quantity(
                "processor time of a report of a nearly full link",
                ROLE,
                "ms",
                "sessions below their best rung in the rack",
                "in process",
            ),
            sizes,
            held_back,
            _time_report_in_rack,
        )
    ]
    *sizes, held_back = SHORT_RACK_SIZES if short else SERVER_SIZES
    quantity = Quantity(
        "processor time of a report of an overloaded link", ROLE, "ms", "sessions of a server", "in process"
    )
    series.append(measure_series(run, quantity, sizes, held_back, _time_overload_report))
    return series
