"""Allocates ports that a test has to know before the process that listens there starts.

They lie outside the kernel's ephemeral range, so no outgoing connection and no listener at port 0 gets one.
Each xdist worker has its own ports, allocates each of them once, and reserves it until the test ends. Ports
that another process uses or reserves, such as another test run, are skipped.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Mapping
from functools import cache
from pathlib import Path

from foxlift.standins.held_port import HeldPort

EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LOWEST_PORT = 10_000  # well-known services listen below it
HIGHEST_PORT = 65_535
HOST = "127.0.0.1"


class NoPortLeftError(RuntimeError):
    """Every port of this worker has been allocated or is in use."""


class PortAllocator:
    """Allocates each of its ports at most once."""

    def __init__(self, ports: range) -> None:
        self._ports = ports
        self._left = iter(ports)
        self._held: list[HeldPort] = []

    def allocate(self) -> int:
        """Return the next free port; it is reserved until `release_all`."""
        for port in self._left:
            try:
                self._held.append(HeldPort(port, HOST))
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
            else:
                return port
        raise NoPortLeftError(f"no free port left in {self._ports}")

    def release_all(self) -> None:
        """Release all reserved ports; none of them is allocated again."""
        for held in self._held:
            held.release()
        self._held.clear()


def ephemeral_ports() -> range:
    """Return the ports the kernel uses for outgoing connections and for listeners at port 0."""
    first, last = map(int, EPHEMERAL_RANGE_FILE.read_text().split())
    return range(first, last + 1)


def fixed_ports(ephemeral: range) -> range:
    """Return the longer of the two ranges below and above the ephemeral one."""
    below = range(LOWEST_PORT, max(ephemeral.start, LOWEST_PORT))
    above = range(max(ephemeral.stop, LOWEST_PORT), HIGHEST_PORT + 1)
    return max(below, above, key=len)


def worker_ports(ports: range, environment: Mapping[str, str]) -> range:
    """Return a worker's own part of the ports.

    A worker that xdist starts to replace a crashed one shares the part of another worker; ports reserved by
    that worker are skipped.
    """
    workers = int(environment.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    number = int(environment.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    return ports[number % workers :: workers]


@cache
def allocator() -> PortAllocator:
    """Return the allocator of this process."""
    return PortAllocator(worker_ports(fixed_ports(ephemeral_ports()), os.environ))


def free_address() -> str:
    """Return an address without a listener, for the running test to listen on."""
    return f"{HOST}:{allocator().allocate()}"
