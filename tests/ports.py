"""Ports that a test has to know before the process that listens there is started.

They come from outside the kernel's ephemeral range, so no outgoing connection and no listener at port 0 takes
one. Each xdist worker has ports of its own, hands out each of them once, and holds it until the test is over;
a port that another process uses or holds, as another run of the tests may, is passed over.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Mapping
from functools import cache
from pathlib import Path

from foxlift.standins.held_port import HeldPort

EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LOWEST_PORT = 10_000  # below it well-known services listen
HIGHEST_PORT = 65_535
HOST = "127.0.0.1"


class NoPortLeftError(RuntimeError):
    """Every port of this worker has been handed out or is in use."""


class PortAllocator:
    """Hands out each of its ports at most once."""

    def __init__(self, ports: range) -> None:
        self._ports = ports
        self._left = iter(ports)
        self._held: list[HeldPort] = []

    def allocate(self) -> int:
        """The next port that is free; it is held until `release_all`."""
        for port in self._left:
            try:
                self._held.append(HeldPort(port, HOST))
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
            else:
                return port
        raise NoPortLeftError(f"no port left of {self._ports}")

    def release_all(self) -> None:
        """Let all ports go that were handed out; none of them is handed out again."""
        for held in self._held:
            held.release()
        self._held.clear()


def ephemeral_ports() -> range:
    """The ports that the kernel picks from for outgoing connections and for listeners at port 0."""
    first, last = map(int, EPHEMERAL_RANGE_FILE.read_text().split())
    return range(first, last + 1)


def fixed_ports(ephemeral: range) -> range:
    """The longer of the two ranges below and above the ephemeral one."""
    below = range(LOWEST_PORT, max(ephemeral.start, LOWEST_PORT))
    above = range(max(ephemeral.stop, LOWEST_PORT), HIGHEST_PORT + 1)
    return max(below, above, key=len)


def worker_ports(ports: range, environment: Mapping[str, str]) -> range:
    """A worker's own part of the ports.

    A worker that xdist starts in the place of a crashed one has the part of another worker; what that other
    holds is passed over.
    """
    workers = int(environment.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    number = int(environment.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    return ports[number % workers :: workers]


@cache
def allocator() -> PortAllocator:
    """The one of this process."""
    return PortAllocator(worker_ports(fixed_ports(ephemeral_ports()), os.environ))


def free_address() -> str:
    """An address where nobody listens, for a listener of the running test."""
    return f"{HOST}:{allocator().allocate()}"
