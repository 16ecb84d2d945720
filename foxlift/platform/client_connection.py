"""One connection from clients: bytes in, messages of `clients` out, and how it is closed.

A client that does not read is not read from, and is dropped at `MAX_UNSENT_BYTES` bytes.
"""

from __future__ import annotations

import asyncio
import select
from collections import Counter
from collections.abc import Callable
from typing import Protocol, cast

from foxlift.director.timeline import Timeline
from foxlift.platform import events as ev
from foxlift.platform import viewers
from foxlift.platform.buffers import HIGH_WATER_BYTES, MAX_UNSENT_BYTES
from foxlift.platform.eviction import ClosingConnections
from foxlift.platform.setups import ClientSocket

CLOSE_MS = 1000.0  # for a client to take what is written before its connection is cut


class OpenRequests(Protocol):
    """What a connection asks the core."""

    def open_requests(self, conn: int) -> int:
        """Set-ups that came on the connection and have no answer yet."""


class ClientConnectionOwner(Protocol):
    """What a connection uses of its director."""

    count: Counter[str]
    timeline: Timeline
    write_blocked: set[ClientConnection]
    closing: ClosingConnections

    @property
    def core(self) -> OpenRequests:
        """The director without I/O."""

    def notify_core(self, event: ev.Event) -> None:
        """Have the core handle an event."""

    def after_reading(self, callback: Callable[[], None]) -> None:
        """Call back once the loop has read its sockets."""

    def client_opened(self, client: ClientConnection) -> int:
        """A connection came; its number."""

    def client_read(self) -> float:
        """Bytes are read; how long they may have lain unread, ms."""

    def client_received(self, number: int, proven: bool, partial: bool) -> None:
        """Bytes came on a connection."""

    def client_left(self, number: int) -> None:
        """Nothing more will be heard on a connection, though it may still be written to."""

    def client_closed(self, number: int) -> None:
        """A connection is over."""


class ClientConnection(asyncio.Protocol):
    """One connection from viewers."""

    def __init__(self, director: ClientConnectionOwner) -> None:
        self._director = director
        self._reader = viewers.LineReader()
        self.number = 0
        self.transport: asyncio.Transport | None = None
        self._write_blocked = self._reading_paused = False  # more is unsent than may be; it is not read from

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client connected."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self.number = self._director.client_opened(self)

    def data_received(self, data: bytes) -> None:
        """Bytes from the client."""
        if self.transport is None or self.transport.is_closing():
            return
        waited = self._director.client_read()
        try:
            for line in self._reader.feed(data):
                message = viewers.read_line(line)
                proven = message is not None and not isinstance(message, viewers.InvalidSetup)
                self._director.client_received(self.number, proven, False)
                if message is not None:
                    self._director.notify_core(ev.ViewerMessageReceived(self.number, message, waited))
                if self.transport.is_closing():
                    return
        except viewers.ProtocolError:
            self._director.count["viewer unreadable"] += 1
            self.close()
            return
        if self._reader.pending:
            self._director.client_received(self.number, False, True)

    def eof_received(self) -> None:
        """The client left. The transport closes by itself, but not before all is written, if it ever is."""
        self._director.client_left(self.number)
        self._director.after_reading(self._bound_close)

    def pause_writing(self) -> None:
        """The client does not read: it is not read from either, once nothing of its asking is open."""
        self._write_blocked = True
        self._director.write_blocked.add(self)
        self.update_reading()

    def update_reading(self) -> None:
        """Read no more where too much is unsent, unless it has a set-up open that it may still take back.

        A set-up may follow in the very read that made it too much: then reading goes on again.
        """
        if not self._write_blocked or self.transport is None or self.transport.is_closing():
            return
        pause = not self._director.core.open_requests(self.number)
        if pause and not self._reading_paused:
            self.transport.pause_reading()
        elif self._reading_paused and not pause:
            self.transport.resume_reading()
        self._reading_paused = pause

    def resume_writing(self) -> None:
        """It reads again."""
        self._write_blocked = False
        self._director.write_blocked.discard(self)
        if self._reading_paused and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        self._reading_paused = False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is over."""
        self.transport = None
        self._director.write_blocked.discard(self)
        self._director.closing.discard(self)
        self._director.client_closed(self.number)

    def send(self, data: bytes) -> bool:
        """Write; False where the connection is over."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._director.count["viewer does not read"] += 1
            transport.abort()
            return False
        transport.write(data)
        return True

    def close(self) -> None:
        """Read no more and close after what is written; cut off where the client does not take it."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()
            self._director.after_reading(self._bound_close)
            self._director.client_left(self.number)

    @property
    def is_closing(self) -> bool:
        """Whether nothing more is read from the client."""
        return self.transport is None or self.transport.is_closing()

    def socket_state(self) -> ClientSocket:
        """What the machine holds of the connection that was not read yet."""
        if self.transport is None or self.transport.is_closing():
            return ClientSocket.NOTHING
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        found = sum(events for _, events in poller.poll(0))
        if found & ~select.POLLIN:
            return ClientSocket.END
        return ClientSocket.BYTES if found else ClientSocket.NOTHING

    def _bound_close(self) -> None:
        """Bound the time and the number of the descriptors that unsent bytes keep behind a close."""
        if self.transport is not None:
            self._director.closing.add(self)
            self._director.timeline.later(CLOSE_MS, self.abort)

    def abort(self) -> None:
        """Cut the connection."""
        if self.transport is not None:
            self.transport.abort()
