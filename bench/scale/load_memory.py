"""Bytes that one more session, server, peer or claim costs, each size in a process of its own.

Counted twice: the resident set, which is what the machine pays, and `tracemalloc`, which is what the
program's own objects take and does not depend on the allocator. Sockets are not in it: those are measured by
`bench.scale.load_loopback`.
"""

from __future__ import annotations

import gc
import os
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from functools import partial

from bench.scale.child_process import in_new_process
from bench.scale.director_config import server_number
from bench.scale.load_core import CoreUnderLoad
from bench.scale.series import Quantity, Run, SizeSeries, measure_series
from foxlift import interface as fl
from foxlift.decide import token_sessions
from foxlift.peers import Peers, RequestReceived
from foxlift.peers.messages import Ping
from foxlift.platform import events as ev
from foxlift.platform import server_pool
from foxlift.platform.settings import Address, ListedServer, ListUpdate

SERVERS = 100
PATH_TOKEN = "p" * 22
EXPIRES = 2e9
FAR = 1.9e9


class Counter(Enum):
    """How memory is counted."""

    RESIDENT = "resident set"
    OBJECTS = "tracemalloc"


@dataclass(frozen=True, slots=True)
class MemoryRole:
    """Something of which a director keeps many; `build` makes so many of it and returns what holds them."""

    what: str
    role: str
    size_unit: str
    build: Callable[[int], object]


def standing_sessions(count: int) -> object:
    """Sessions that stand, in core and module."""
    loaded = CoreUnderLoad(SERVERS)
    for _ in range(0, count, SERVERS):
        loaded.set_up(loaded.prepare(min(SERVERS, count - len(loaded.standing))))
    loaded.standing.clear()
    return loaded


def listed_servers(count: int) -> object:
    """Servers on the list without sessions, in core, module and connection pools."""
    loaded = CoreUnderLoad(1)
    pools: list[server_pool.ServerPool] = []
    for index in range(1, count + 1):
        info = fl.NodeInfo(server_number(index), 0, 0, 0, fl.Status.READY)
        address = Address(f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}", 5060)
        loaded.handle(ev.ListUpdated(ListUpdate(index, False, (ListedServer(info, address),))))
        pools.append(server_pool.ServerPool(server_pool.DEFAULT_CONNECT_TIMEOUT_MS, 30_000.0, 1, 1))
    return loaded, pools


def alive_peers(count: int) -> object:
    """Peers that were heard of, in the membership view."""
    names = [f"director-{index:05d}" for index in range(count + 1)]
    view = Peers(names[0], 1, names, 1)
    for request, name in enumerate(names[1:]):
        view.handle(float(request), RequestReceived(request, Ping(name, 1, ())))
    return view


def _playing_claims(count: int) -> token_sessions.TokenSessions:
    held = token_sessions.TokenSessions()
    for number in range(1, count + 1):
        held.handle(0.0, token_sessions.Requested(number, f"token-{number:016x}", True, EXPIRES, False))
        held.handle(0.0, token_sessions.SessionStarted(number))
    return held


def playing_claims(count: int) -> object:
    """Claims of paid tokens whose sessions play."""
    return _playing_claims(count)


def parked_claims(count: int) -> object:
    """Claims of paid tokens whose sessions are parked: nothing else of a parked session stays in the core."""
    held = _playing_claims(count)
    for number in range(1, count + 1):
        place = token_sessions.ParkedLocation(number % SERVERS, f"d0-{number}-0", f"{PATH_TOKEN}{number}")
        held.handle(0.0, token_sessions.Parked(number, FAR, place))
    return held


DIRECTOR = "platform director, core and module"
ROLES = (
    MemoryRole("memory of a standing session", DIRECTOR, "sessions", standing_sessions),
    MemoryRole("memory of a listed server", DIRECTOR + ", connection pool", "servers", listed_servers),
    MemoryRole("memory of a peer", "peers' view", "peers", alive_peers),
    MemoryRole("memory of a claim", "claims", "claims", playing_claims),
    MemoryRole("memory of a parked session", "claims", "parked sessions", parked_claims),
)
SIZES = {
    Counter.RESIDENT: {"": (5000, 10_000, 20_000, 40_000, 71_400), "peers": (500, 1000, 2000, 3000, 4200)},
    Counter.OBJECTS: {"": (1000, 2000, 4000, 8000, 16_000), "peers": (500, 1000, 2000, 3000, 4200)},
}
SHORT_SIZES = (250, 500, 1000, 2000, 4000)


def _resident_bytes() -> float:
    with open("/proc/self/statm") as file:
        return float(int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE"))


def measure_here(build: Callable[[int], object], count: int, counter: Counter) -> float:
    """Bytes that building so many takes in this process; what was built before is not in it."""
    build(1)  # what is loaded or cached at the first use belongs to no size
    gc.collect()
    if counter is Counter.OBJECTS:
        tracemalloc.start()
    before = _bytes(counter)
    held = build(count)
    gc.collect()
    taken = _bytes(counter) - before
    del held
    if counter is Counter.OBJECTS:
        tracemalloc.stop()
    return taken


def _bytes(counter: Counter) -> float:
    return _resident_bytes() if counter is Counter.RESIDENT else float(tracemalloc.get_traced_memory()[0])


def measure_memory(counter: Counter, run: Run, short: bool) -> Iterator[SizeSeries]:
    """Every role, counted one way."""
    for role in ROLES:
        by_unit = SIZES[counter]
        *sizes, held_back = SHORT_SIZES if short else by_unit.get(role.size_unit, by_unit[""])
        what = f"{role.what}, {counter.value}"
        quantity = Quantity(what, role.role, "bytes", role.size_unit, "in process")
        yield measure_series(run, quantity, sizes, held_back, partial(_measure_in_new_process, role, counter))


def _measure_in_new_process(role: MemoryRole, counter: Counter, size: int) -> list[float]:
    return [in_new_process(measure_here, role.build, size, counter)]
