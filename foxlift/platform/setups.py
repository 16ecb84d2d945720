"""Queue of set-ups that have a connection to their server and wait to be written.

    set-up   event                                        next     action
    (none)   add                                          QUEUED   none
    QUEUED   the loop runs its next callbacks             READING  the loop reads its sockets after these
    READING  all sockets have been read                   (none)   write
    READING  the same, but the client's socket has an     QUEUED   none: the next iterations read it
             unread end of stream or error, or any
             unread bytes after MAX_READING_AGE_MS
    READING  the same, but messages of the client that    HELD     none
             were read are not handled yet
    HELD     all messages of the client are handled       QUEUED   none

No attempt may be made for a client that has left, and its cancel or end of stream may still be unread when
its set-up becomes ready to be written. Each set-up therefore waits for one complete pass over the sockets
that begins after it was queued; one queued during a pass waits for the next. The loop reads bytes and the end
of the same connection in different iterations, so the socket itself is polled for an unread end of stream.

A pass may take long when many sockets are ready or the process was suspended. In that case the client's
socket must have no unread bytes at all, since they may be a cancel. The loop's clock cannot be used to
measure this: it is updated once per iteration, before the sockets are read.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

MAX_READING_AGE_MS = 80.0  # no attempt for a client that left 100 ms ago; 20 ms remain for the write


class ClientSocket(Enum):
    """What of a client is not handled yet."""

    NOTHING = "nothing"
    MESSAGES = "messages that were read and are not handled yet"
    BYTES = "bytes"
    END = "the end of the connection, or an error"


@dataclass(frozen=True, slots=True)
class PendingSetup:
    """A set-up and the connection to its server that is reserved for it."""

    node: int
    connection: int
    request: int


class SetupQueue:
    """Writes each set-up once its client's socket has been read.

    `client_socket` returns what of a set-up's client is not handled yet; `when_handled` calls a function once
    all messages of the client that were read are handled.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        client_socket: Callable[[PendingSetup], ClientSocket],
        when_handled: Callable[[PendingSetup, Callable[[], None]], None],
        write: Callable[[PendingSetup], None],
    ) -> None:
        self._loop, self._client_socket, self._write = loop, client_socket, write
        self._when_handled = when_handled
        self._queued: list[PendingSetup] = []

    def add(self, setup: PendingSetup) -> None:
        """Write the set-up after the next complete pass over the sockets."""
        self._queued.append(setup)
        if len(self._queued) == 1:
            self._loop.call_soon(self._before_reading)

    def _before_reading(self) -> None:
        """Schedule `_after_reading`; the loop reads its sockets before it runs."""
        setups, self._queued = self._queued, []
        self._loop.call_soon(self._after_reading, setups, time.monotonic())

    def _after_reading(self, setups: list[PendingSetup], began_s: float) -> None:
        for setup in setups:
            unread = self._client_socket(setup)
            if unread is ClientSocket.MESSAGES:
                self._when_handled(setup, partial(self.add, setup))
            elif self._may_have_left(unread, began_s):
                self.add(setup)
            else:
                self._write(setup)

    @staticmethod
    def _may_have_left(unread: ClientSocket, began_s: float) -> bool:
        if unread is ClientSocket.BYTES:
            return (time.monotonic() - began_s) * 1000 > MAX_READING_AGE_MS
        return unread is ClientSocket.END
