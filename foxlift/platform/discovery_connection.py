"""The connection to the coordinator: parses received bytes into frames of `discovery_watch`."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Protocol, cast

from foxlift.platform import discovery_watch
from foxlift.platform.log import RateLimitedLog


class DiscoveryConnectionOwner(Protocol):
    """What a connection uses of discovery. `connection`: the current one; others are ignored."""

    connection: DiscoveryConnection | None

    @property
    def count(self) -> Counter[str]:
        """Number of occurrences by kind."""

    @property
    def log(self) -> RateLimitedLog:
        """The log."""

    def handle(self, event: discovery_watch.Event) -> None:
        """Pass an event to the watch."""

    def resynchronize(self) -> None:
        """Reconnect after invalid data."""


class DiscoveryConnection(asyncio.Protocol):
    """One connection to the coordinator."""

    def __init__(self, owner: DiscoveryConnectionOwner, reader: discovery_watch.FrameReader) -> None:
        self._owner, self._reader = owner, reader
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opened connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the coordinator."""
        if self._owner.connection is not self:
            return
        try:
            frames = self._reader.feed(data)
        except discovery_watch.ProtocolError as error:
            self._owner.count["feed unreadable"] += 1
            self._owner.log.write("coordinator cannot be read", str(error))
            self._owner.resynchronize()
            return
        if frames:
            self._owner.handle(discovery_watch.FramesReceived(tuple(frames)))
        else:
            self._owner.handle(discovery_watch.BytesReceived())

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the closed connection."""
        self.transport = None
        if self._owner.connection is self:
            self._owner.connection = None
            self._owner.handle(discovery_watch.ConnectionClosed())
