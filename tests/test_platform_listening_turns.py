"""Media servers with sessions that outnumber the descriptors: they are listened to in turns, in virtual time.

Guards against healthy servers that are taken for lost because the director had no connection to them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from foxlift.platform import pool_messages as messages
from foxlift.platform.eviction import MIN_LISTENING_MS, select_connection_to_close, turn_order
from foxlift.platform.server_pool import REOPEN_INTERVAL_MS, SILENCE_TIMEOUT_MS, ServerPool

TICK_MS = 100.0
CONNECT_MS = 250.0


def pool_with_session(now: float) -> ServerPool:
    pool = ServerPool(CONNECT_MS, 30_000.0, 4, 100)
    pool.last_received_at = now
    pool.sessions = 1
    return pool


@dataclass
class Fleet:
    """Servers with a session each and a director with too few descriptors for them."""

    servers: int
    descriptors: int
    dead: frozenset[int] = frozenset()
    now: float = 1000.0
    pools: dict[int, ServerPool] = field(default_factory=dict)
    lost: dict[int, float] = field(default_factory=dict)  # when
    heard_at: dict[int, float] = field(default_factory=dict)
    longest_wait_ms: float = 0.0
    none_to_yield: bool = False  # in this tick
    opened: int = 0

    def __post_init__(self) -> None:
        for node in range(self.servers):
            self.pools[node] = pool_with_session(self.now)
            self.heard_at[node] = self.now

    def handle(self, node: int, event: messages.Event) -> None:
        for action in self.pools[node].handle(self.now, event):
            match action:
                case messages.OpenConnection(conn):
                    self._open(node, conn)
                case messages.PingConnection(conn) if node not in self.dead:
                    self.handle(node, messages.DataReceived(conn))
                    self._heard(node)
                case messages.SessionsLost():
                    self.lost.setdefault(node, self.now)

    def _open(self, node: int, conn: int) -> None:
        if sum(len(pool.connections) for pool in self.pools.values()) > self.descriptors:
            yielded = (
                None
                if self.none_to_yield
                else select_connection_to_close(self.now, self.pools, MIN_LISTENING_MS)
            )
            if yielded is None:
                self.none_to_yield = True
                self.handle(node, messages.NoDescriptor(conn))
                return
            self.handle(yielded.node, messages.ConnectionYielded(yielded.conn))
        self.opened += 1
        if node not in self.dead:
            self.handle(node, messages.ConnectionOpened(conn))

    def _heard(self, node: int) -> None:
        self.longest_wait_ms = max(self.longest_wait_ms, self.now - self.heard_at[node])
        self.heard_at[node] = self.now

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += TICK_MS
            self.none_to_yield = False
            for node in turn_order(self.pools):
                self.handle(node, messages.Tick())
        for node in set(self.pools) - self.dead:
            self._heard(node)


@pytest.mark.parametrize(("servers", "descriptors"), [(3, 64), (100, 60), (200, 60), (200, 128), (400, 125)])
def test_no_healthy_server_is_lost_and_each_is_listened_to_in_turn(servers: int, descriptors: int) -> None:
    fleet = Fleet(servers, descriptors)
    fleet.run(15_000)
    assert not fleet.lost
    turns = -(-servers // descriptors)
    assert fleet.longest_wait_ms <= turns * (MIN_LISTENING_MS + REOPEN_INTERVAL_MS + 2 * TICK_MS)


@pytest.mark.parametrize("seed", range(10))
def test_with_enough_descriptors_a_dead_server_is_found_in_time_and_no_other_is_lost(seed: int) -> None:
    chance = random.Random(seed)
    servers = chance.choice([3, 20, 60])
    dead = frozenset(chance.sample(range(servers), 2))
    fleet = Fleet(servers, servers + 4, dead)
    began = fleet.now
    fleet.run(10_000)
    assert set(fleet.lost) == dead
    assert max(fleet.lost.values()) - began <= SILENCE_TIMEOUT_MS + 2 * TICK_MS


@pytest.mark.parametrize("servers", [70, 100])
def test_dead_servers_are_found_though_all_wait_for_descriptors(servers: int) -> None:
    """Their silence counts while they are asked."""
    fleet = Fleet(servers, 60, dead=frozenset({0, 50}))
    fleet.run(60_000)
    assert set(fleet.lost) == {0, 50}


def test_silence_counts_from_the_moment_in_which_a_server_is_asked_again() -> None:
    pool = pool_with_session(0.0)
    [opened] = pool.handle(REOPEN_INTERVAL_MS, messages.Tick())
    assert isinstance(opened, messages.OpenConnection)
    pool.handle(REOPEN_INTERVAL_MS, messages.NoDescriptor(opened.conn))
    now = 20_000.0
    [opened] = pool.handle(now, messages.Tick())  # not lost: nothing was asked for 20 s
    assert isinstance(opened, messages.OpenConnection)
    lost_at = 0.0
    while not lost_at:
        now += TICK_MS
        if any(isinstance(a, messages.SessionsLost) for a in pool.handle(now, messages.Tick())):
            lost_at = now
    assert SILENCE_TIMEOUT_MS - REOPEN_INTERVAL_MS <= lost_at - 20_000.0 <= SILENCE_TIMEOUT_MS + TICK_MS
