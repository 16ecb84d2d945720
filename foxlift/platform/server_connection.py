"""One connection to a media server: parses received bytes into `rtsp` messages, writes, and closes."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Protocol, cast

from foxlift.platform import events as ev
from foxlift.platform import pool_messages, rtsp
from foxlift.platform.buffers import HIGH_WATER_BYTES, MAX_UNSENT_BYTES
from foxlift.platform.log import RateLimitedLog


class ServerConnectionOwner(Protocol):
    """What a connection uses of the set of all server connections."""

    @property
    def count(self) -> Counter[str]:
        """Number of occurrences by kind."""

    @property
    def log(self) -> RateLimitedLog:
        """The log."""

    def notify_core(self, event: ev.Event) -> None:
        """Pass an event to the core."""

    def handle(self, node: int, event: pool_messages.Event) -> None:
        """Pass an event to the pool of a server."""

    def connection_opened(self, connection: ServerConnection) -> None:
        """A connection has opened, possibly after its opening was cancelled."""

    def connection_dropped(self, connection: ServerConnection, corrupt: bool) -> None:
        """A connection has closed or is `corrupt`: it received invalid data."""


class ServerConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, owner: ServerConnectionOwner, node: int, number: int) -> None:
        self._owner, self.node, self.number = owner, node, number
        self._reader = rtsp.MessageReader()
        self._corrupt = self.retired = False
        self._has_partial_message = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opened connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        # at once: bytes and the close may arrive before the connecting task runs again
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the server."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            messages = self._reader.feed(data)
        except rtsp.ProtocolError as error:
            self._corrupt = True
            self._owner.count["box unreadable"] += 1
            self._owner.log.write("box cannot be read", f"s-{self.node:08x}, {error}")
            self._owner.connection_dropped(self, corrupt=True)
            self.transport.abort()
            return
        for message in messages:
            if not rtsp.is_failed_ping(message):
                self._owner.handle(self.node, pool_messages.DataReceived(self.number))
            self._owner.notify_core(ev.ServerMessageReceived(self.node, self.number, message))
        self._report_partial_message()

    def _report_partial_message(self) -> None:
        """Notify the pool if a message is now incomplete, or no longer."""
        pending = bool(self._reader.pending)
        if pending != self._has_partial_message:
            self._has_partial_message = pending
            self._owner.handle(self.node, pool_messages.PartialMessage(self.number, pending))

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the closed connection."""
        self.transport = None
        if not self._corrupt:
            self._owner.connection_dropped(self, corrupt=False)

    def send(self, data: bytes) -> bool:
        """Write `data`. Return False if the connection is closed, retired, or aborted for unsent bytes."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.retired:
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
            return False
        transport.write(data)
        return True

    def retire(self) -> None:
        """Write nothing more, but read until the server closes."""
        if self.transport is not None and not self.transport.is_closing():
            self.retired = True
            self.transport.write_eof()

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
