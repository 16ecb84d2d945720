"""Ports for tests lie outside the ephemeral range, belong to one worker and are reserved during a test.

Guards against tests that fail because another process or worker listens on their port.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Coroutine

import pytest
import uvloop
from ports import (
    HIGHEST_PORT,
    HOST,
    LOWEST_PORT,
    NoPortLeftError,
    PortAllocator,
    allocator,
    ephemeral_ports,
    fixed_ports,
    free_address,
    worker_ports,
)

from foxlift.standins.held_port import HeldPort

WORKERS = 10
HELD_PORTS = 300
DRAWS = 400


def next_ports(count: int) -> range:
    """Return the ports this worker's allocator returns next if none is in use."""
    own = worker_ports(fixed_ports(ephemeral_ports()), os.environ)
    begin = own.index(allocator().allocate()) + 1
    return own[begin : begin + count]


def port_of(address: str) -> int:
    return int(address.rpartition(":")[2])


# ---- Which ports ------------------------------------------------------------------------------------------
def test_allocated_ports_lie_outside_the_ephemeral_range_of_this_machine() -> None:
    assert not set(fixed_ports(ephemeral_ports())) & set(ephemeral_ports())
    assert all(port_of(free_address()) not in ephemeral_ports() for _ in range(20))


@pytest.mark.parametrize(
    ("ephemeral", "expected"),
    [
        (range(32_768, 61_000), range(LOWEST_PORT, 32_768)),
        (range(15_000, 45_000), range(45_000, HIGHEST_PORT + 1)),
        (range(1024, 60_000), range(60_000, HIGHEST_PORT + 1)),
        (range(49_152, 65_536), range(LOWEST_PORT, 49_152)),
        (range(1024, 5000), range(LOWEST_PORT, HIGHEST_PORT + 1)),
    ],
)
def test_the_longer_range_beside_the_ephemeral_one_is_used(ephemeral: range, expected: range) -> None:
    assert fixed_ports(ephemeral) == expected


def test_the_ranges_of_the_workers_are_disjoint_and_cover_the_full_range() -> None:
    ports = fixed_ports(ephemeral_ports())
    parts = [
        worker_ports(ports, {"PYTEST_XDIST_WORKER": f"gw{k}", "PYTEST_XDIST_WORKER_COUNT": str(WORKERS)})
        for k in range(WORKERS)
    ]
    together = [port for part in parts for port in part]
    assert len(together) == len(set(together)) and set(together) == set(ports)


def test_without_xdist_one_process_has_all_ports() -> None:
    assert worker_ports(range(10, 20), {}) == range(10, 20)


def test_a_worker_that_replaces_a_crashed_one_has_a_range_too() -> None:
    replaced = {"PYTEST_XDIST_WORKER": "gw4", "PYTEST_XDIST_WORKER_COUNT": "4"}
    assert worker_ports(range(10, 20), replaced) == range(10, 20, 4)


# ---- Allocated once ---------------------------------------------------------------------------------------
def test_no_port_is_allocated_twice_even_after_its_release() -> None:
    handed_out = []
    for _ in range(20):
        handed_out.append(port_of(free_address()))
        allocator().release_all()
    assert len(set(handed_out)) == len(handed_out)


def test_a_port_with_a_listener_is_skipped() -> None:
    [taken] = next_ports(1)
    with listener_unless_in_use(taken):
        assert allocator().allocate() > taken


def listener_unless_in_use(port: int) -> contextlib.AbstractContextManager[object]:
    try:
        return socket.create_server((HOST, port))
    except OSError:  # used by another test run, which serves the purpose as well
        return contextlib.nullcontext()


def test_two_test_runs_with_the_same_ports_never_hold_one_at_the_same_time() -> None:
    ports = next_ports(40)
    runs = [PortAllocator(ports), PortAllocator(ports)]
    handed_out = [run.allocate() for _ in range(10) for run in runs]
    assert len(set(handed_out)) == len(handed_out)
    for run in runs:
        run.release_all()


def test_an_exhausted_range_raises_an_error() -> None:
    ports = PortAllocator(next_ports(2))
    with pytest.raises(NoPortLeftError, match="no free port left in range"):
        for _ in range(3):
            ports.allocate()
    ports.release_all()


def test_a_port_is_reserved_while_a_test_runs_and_released_after_it() -> None:
    port = allocator().allocate()
    with pytest.raises(OSError, match="in use"):
        HeldPort(port)
    allocator().release_all()
    HeldPort(port).release()


# ---- Reserved ---------------------------------------------------------------------------------------------
def test_a_reserved_port_refuses_connections() -> None:
    held = HeldPort()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((HOST, held.port))
    held.release()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_listener_can_bind_a_reserved_port_close_and_bind_it_again(
    run: Callable[[Coroutine[None, None, None]], None],
) -> None:
    held = HeldPort()

    async def listens_and_is_reached() -> None:
        server = await asyncio.start_server(lambda reader, writer: writer.close(), HOST, held.port)
        reader, writer = await asyncio.open_connection(HOST, held.port)
        assert await reader.read() == b""
        writer.close()
        server.close()
        await server.wait_closed()

    async def test() -> None:
        for _ in range(2):
            await listens_and_is_reached()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(HOST, held.port)

    run(test())
    held.release()


def test_a_reserved_port_cannot_be_bound_without_reuse_until_its_release() -> None:
    held = HeldPort()
    with pytest.raises(OSError, match="in use"):
        HeldPort(held.port)
    held.release()
    held.release()
    HeldPort(held.port).release()


def test_a_port_is_released_with_its_last_reference() -> None:
    held = HeldPort()
    port = held.port
    del held
    HeldPort(port).release()


def test_the_kernel_never_picks_a_reserved_port_for_connections_or_listeners_at_port_0() -> None:
    held_ports = [HeldPort() for _ in range(HELD_PORTS)]
    numbers = {held.port for held in held_ports}
    assert len(numbers) == HELD_PORTS
    with socket.create_server((HOST, 0)) as listener:
        for _ in range(DRAWS):  # each of some 14,000 ports, so several would be reserved ones
            with socket.create_connection(listener.getsockname()) as outgoing, socket.socket() as bound:
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                bound.bind((HOST, 0))
                assert not numbers & {outgoing.getsockname()[1], bound.getsockname()[1]}
            listener.accept()[0].close()
    for held in held_ports:
        held.release()
