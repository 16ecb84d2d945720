"""What all parts of one director's cluster service share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import urlsplit

import structlog

from foxlift.config import DirectorConfig
from foxlift.director.timeline import Timeline
from foxlift.recovery.register_store import RegisterStore
from foxlift.store import FilePort
from foxlift.telemetry import Counters


class ClusterContext:
    """Settings, clock, counters, and the store of registers and boot epochs."""

    def __init__(
        self,
        config: DirectorConfig,
        loop: asyncio.AbstractEventLoop,
        timeline: Timeline,
        files: FilePort,
        counters: Counters,
    ) -> None:
        """Begins a new boot epoch on the disk. Raises OSError and LogError."""
        self.config, self.loop, self.timeline, self.counters = config, loop, timeline, counters
        self.name = config.name
        self.log = structlog.get_logger().bind(director=config.name)
        self.addresses = {peer.name: urlsplit(peer.url) for peer in config.peers.others}
        self.members = frozenset(self.addresses) | {config.name}
        self.store = RegisterStore(files, config.name, int(timeline.now()))
        self.closed = False
        self._last_number = 0

    @property
    def boot_epoch(self) -> int:
        """The present boot epoch: higher than any earlier one, renewed when a box has fenced it off."""
        return self.store.boot_epoch

    def now(self) -> float:
        """Unix time, ms."""
        return self.timeline.now()

    def later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call back after a delay, unless the service has been closed by then."""
        self.timeline.later(delay_ms, lambda: None if self.closed else callback())

    def next_number(self) -> int:
        """A number that is unique in this process."""
        self._last_number += 1
        return self._last_number
