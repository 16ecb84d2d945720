"""One connection from a client: parses received bytes into messages of `viewers`, writes, and closes.

Messages are handled in portions, between which the loop serves others (`backlogs`). Nothing is read from a
client while messages of it wait, or while it does not read; at `MAX_UNSENT_BYTES` its connection is aborted.
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
from foxlift.platform.backlogs import Backlogs
from foxlift.platform.buffers import HIGH_WATER_BYTES, MAX_UNSENT_BYTES
from foxlift.platform.eviction import ClosingConnections
from foxlift.platform.setups import ClientSocket

READ_BYTES = 32 * 1024  # of one connection at once
PORTION_MESSAGES = 16  # handled at once
_read_buffer = memoryview(bytearray(READ_BYTES))  # for all connections: emptied by each read

CLOSE_TIMEOUT_MS = 1000.0  # time for a client to receive unsent bytes before its connection is aborted


class OpenRequests(Protocol):
    """What a connection uses of the core."""

    def open_requests(self, conn: int) -> int:
        """Return the number of open set-ups of the connection."""


class ClientConnectionOwner(Protocol):
    """What a connection uses of its director."""

    count: Counter[str]
    timeline: Timeline
    backlogs: Backlogs
    closing: ClosingConnections

    @property
    def core(self) -> OpenRequests:
        """The core of the director."""

    def notify_core(self, event: ev.Event) -> None:
        """Pass an event to the core."""

    def after_reading(self, callback: Callable[[], None]) -> None:
        """Call `callback` once the loop has read all sockets."""

    def client_opened(self, client: ClientConnection) -> int:
        """Register an accepted connection and return its number."""

    def client_read(self) -> float:
        """Note a read and return how long its bytes may have been unread, ms."""

    def client_received(self, number: int, proven: bool, partial: bool) -> None:
        """Note received bytes of a connection."""

    def client_left(self, number: int) -> None:
        """Nothing more is read from a connection, but unsent bytes may remain."""

    def client_closed(self, number: int) -> None:
        """A connection has closed."""


class ClientConnection(asyncio.BufferedProtocol):
    """One connection from a client, for any number of viewers."""

    def __init__(self, director: ClientConnectionOwner) -> None:
        self._director = director
        self._reader = viewers.LineReader()
        self.number = 0
        self.transport: asyncio.Transport | None = None
        self._write_blocked = self._reading_paused = False
        self._is_waiting = False  # for its turn to handle messages that were read
        self._read_at = self._unread_ms = 0.0  # the time of the last read, and how long its bytes were unread
        self._when_handled: list[Callable[[], None]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opened connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self.number = self._director.client_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that were read into the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the client."""
        if self.transport is None or self.transport.is_closing():
            return
        self._unread_ms = self._director.client_read()
        self._read_at = self._director.timeline.now()
        self._reader.add(data)
        if not self._is_waiting and self.handle_portion():
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        self._is_waiting = True
        self._director.backlogs.add(self)
        self.update_reading()

    def handle_portion(self) -> bool:
        """Handle some of the messages that were read; return whether more can be handled now."""
        try:
            self._handle_messages()
        except viewers.ProtocolError:
            self._director.count["viewer unreadable"] += 1
            self.close()
        has_more = not self.is_closing and self._reader.has_line
        if not has_more:
            self._turn_ended()
        return has_more

    def _handle_messages(self) -> None:
        """Handle up to PORTION_MESSAGES. Raises ProtocolError."""
        for _ in range(PORTION_MESSAGES):
            line = None if self.is_closing else self._reader.next_line()
            if line is None:
                return
            message = viewers.read_line(line)
            proven = message is not None and not isinstance(message, viewers.InvalidSetup)
            self._director.client_received(self.number, proven, False)
            if message is not None:
                self._handle(message)

    def _handle(self, message: viewers.Event) -> None:
        if self._is_waiting and isinstance(message, viewers.Start) and self._has_left():
            self._director.count["set-up of a client that has left"] += 1
            return
        waited_ms = self._unread_ms + self._director.timeline.now() - self._read_at
        self._director.notify_core(ev.ViewerMessageReceived(self.number, message, waited_ms))

    def _has_left(self) -> bool:
        """Return whether the client has closed the connection, which is not read while messages wait."""
        return self._poll_socket() is ClientSocket.END

    def _turn_ended(self) -> None:
        """All messages that were read are handled, or the connection closes."""
        self._is_waiting = False
        self.update_reading()
        if self._reader.pending and not self.is_closing:
            self._director.client_received(self.number, False, True)
        self._run_when_handled()

    def when_handled(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all messages that were read are handled, or the connection closes."""
        self._when_handled.append(callback)

    def _run_when_handled(self) -> None:
        callbacks, self._when_handled = self._when_handled, []
        for callback in callbacks:
            callback()

    def eof_received(self) -> None:
        """Handle the client's end of stream. The transport closes once everything is written, if ever."""
        self._director.client_left(self.number)
        self._director.after_reading(self._bound_close)

    def pause_writing(self) -> None:
        """The write buffer exceeds its limit: stop reading from the client once it has no open set-up."""
        self._write_blocked = True
        self.update_reading()

    def resume_writing(self) -> None:
        """The client has read enough: resume reading."""
        self._write_blocked = False
        self.update_reading()

    def update_reading(self) -> None:
        """Pause reading while messages wait to be handled, or while too much is unsent.

        A client with an open set-up may still cancel it, so only the former counts for it. A set-up may
        follow in the read that exceeded the limit.
        """
        if self.transport is None or self.transport.is_closing():
            return
        may_cancel = self._director.core.open_requests(self.number) > 0
        pause = self._is_waiting or (self._write_blocked and not may_cancel)
        if pause and not self._reading_paused:
            self.transport.pause_reading()
        elif self._reading_paused and not pause:
            self.transport.resume_reading()
        self._reading_paused = pause

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the closed connection."""
        self.transport = None
        self._director.closing.discard(self)
        self._director.client_closed(self.number)
        self._run_when_handled()

    def send(self, data: bytes) -> bool:
        """Write `data`. Return False if the connection is closed or aborted for unsent bytes."""
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
        """Stop reading, write what is unsent and close; abort after `CLOSE_TIMEOUT_MS`."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()
            self._director.after_reading(self._bound_close)
            self._director.client_left(self.number)

    @property
    def is_closing(self) -> bool:
        """Whether nothing more is read from the client."""
        return self.transport is None or self.transport.is_closing()

    def socket_state(self) -> ClientSocket:
        """Return what of the client is not handled yet: messages that were read, or what its socket holds."""
        if self._is_waiting and not self.is_closing:
            return ClientSocket.MESSAGES
        return self._poll_socket()

    def _poll_socket(self) -> ClientSocket:
        if self.transport is None or self.transport.is_closing():
            return ClientSocket.NOTHING
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        found = sum(events for _, events in poller.poll(0))
        if found & ~select.POLLIN:
            return ClientSocket.END
        return ClientSocket.BYTES if found else ClientSocket.NOTHING

    def _bound_close(self) -> None:
        """Limit the time and the number of descriptors that closed connections with unsent bytes occupy."""
        if self.transport is not None:
            self._director.closing.add(self)
            self._director.timeline.later(CLOSE_TIMEOUT_MS, self.abort)

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()
