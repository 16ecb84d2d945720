"""Carries out the actions of `discovery_watch.DiscoveryWatch` and passes list updates to the core."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from foxlift.director.timeline import Timeline
from foxlift.platform import discovery_watch
from foxlift.platform import events as ev
from foxlift.platform.discovery_connection import DiscoveryConnection
from foxlift.platform.log import RateLimitedLog
from foxlift.platform.settings import Address, Config


class DiscoveryOwner(Protocol):
    """What discovery uses of its director."""

    count: Counter[str]
    log: RateLimitedLog
    timeline: Timeline

    def notify_core(self, event: ev.Event) -> None:
        """Pass an event to the core."""

    def log_task_error(self, task: asyncio.Task[None]) -> None:
        """Log the exception of a task, if it ended with one."""


class Discovery:
    """Discovery of servers by one director."""

    def __init__(self, director: DiscoveryOwner, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self._director, self._config, self._loop = director, config, loop
        self.watch = discovery_watch.DiscoveryWatch(config.coordinator, config.known_number, config.seed)
        self.connection: DiscoveryConnection | None = None
        self._connecting: asyncio.Task[None] | None = None

    @property
    def count(self) -> Counter[str]:
        """The director's number of occurrences by kind."""
        return self._director.count

    @property
    def log(self) -> RateLimitedLog:
        """The director's log."""
        return self._director.log

    def start(self) -> None:
        """Start to watch the list."""
        self._carry_out(self.watch.start())

    def close(self) -> None:
        """Close the connection, or stop connecting."""
        self._close_connection()

    def handle(self, event: discovery_watch.Event) -> None:
        """Pass an event to the watch and carry out its actions."""
        self._carry_out(self.watch.handle(self._director.timeline.now(), event))

    def resynchronize(self) -> None:
        """Reconnect after invalid data from the coordinator."""
        self._carry_out(self.watch.resynchronize())

    def _carry_out(self, actions: list[discovery_watch.Action]) -> None:
        for action in actions:
            match action:
                case discovery_watch.OpenConnection(address):
                    self._connecting = self._loop.create_task(self._connect(address))
                    self._connecting.add_done_callback(self._director.log_task_error)
                case discovery_watch.RequestUpdates(data):
                    if self.connection is not None and self.connection.transport is not None:
                        self.connection.transport.write(data)
                case discovery_watch.CloseConnection():
                    self._close_connection()
                case discovery_watch.DeliverUpdate(update):
                    self._director.notify_core(ev.ListUpdated(update))
                case discovery_watch.StartTimer(delay_ms, timer_id):
                    self._director.timeline.later(delay_ms, self._timer(timer_id))

    def _timer(self, timer_id: int) -> Callable[[], None]:
        return lambda: self.handle(discovery_watch.TimerExpired(timer_id))

    async def _connect(self, address: Address) -> None:
        module, config = self._config.module, self._config
        reader = discovery_watch.FrameReader(
            max(config.zones, 1), max(len(module.kind_slots), 1), module.cells
        )
        opened = DiscoveryConnection(self, reader)
        try:
            await self._loop.create_connection(lambda: opened, address.host, address.port)
        except OSError as error:
            self._connecting = None
            self._director.count["coordinator not reached"] += 1
            self._director.log.write("coordinator not reached", type(error).__name__)
            self.handle(discovery_watch.ConnectionClosed())
            return
        self._connecting = None
        if opened.transport is not None:
            self.connection = opened
            self.handle(discovery_watch.ConnectionOpened())
        else:
            self.handle(discovery_watch.ConnectionClosed())

    def _close_connection(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        closing, self.connection = self.connection, None
        if closing is not None and closing.transport is not None:
            closing.transport.abort()
