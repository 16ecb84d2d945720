"""Connections from a director to its media servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from enum import Enum

from foxlift.config import DirectorConfig
from foxlift.http import Pool, PoolLimits
from foxlift.membership import BoxEntry

MAX_TAKEOVER_ANSWER_BYTES = 16 << 20  # a server full of sessions


class PoolUse(Enum):
    """What a pool is for: none of the three may wait behind another."""

    COMMANDS = "commands"
    NOTICES = "notices"
    TAKEOVERS = "takeovers"


class ServerPools:
    """One pool for each server's address and use. `listed`: the servers of the list, by number."""

    def __init__(
        self,
        config: DirectorConfig,
        loop: asyncio.AbstractEventLoop,
        listed: Callable[[], Mapping[int, BoxEntry]],
    ) -> None:
        self._config, self._loop, self._listed = config.boxes, loop, listed
        self._addresses: dict[int, tuple[str, int]] = {}  # as the list named them last
        self._pools: dict[tuple[str, int, PoolUse], Pool] = {}

    def address(self, node: int) -> tuple[str, int]:
        """Host and port of a server that is or was listed."""
        entry = self._listed().get(node)
        if entry is not None:
            self._addresses[node] = (entry.host, entry.port)
        return self._addresses[node]

    def pool(self, node: int, use: PoolUse = PoolUse.COMMANDS) -> Pool:
        """The connections to a server for one use."""
        host, port = self.address(node)
        key = (host, port, use)
        if key not in self._pools:
            self._pools[key] = Pool(self._loop, host, port, self._limits(use))
        return self._pools[key]

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def _limits(self, use: PoolUse) -> PoolLimits:
        config = self._config
        largest = MAX_TAKEOVER_ANSWER_BYTES if use is PoolUse.TAKEOVERS else config.max_answer_bytes
        return PoolLimits(
            connect_ms=config.connect_ms,
            max_connections=config.max_connections,
            idle_ms=config.idle_ms,
            max_response_bytes=largest,
        )
