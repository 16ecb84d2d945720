"""A tap: a loopback relay that records every byte it forwards, with faults on command.

A record is one line of JSON, then the bytes: {"t": loop seconds, "tap": name, "c": connection, "k": kind,
"n": length}. Kinds: `open`, `up` (from the client), `down` (from the server), `shut` (with `by`: the side
that ended it) and `mark` (with `text`: an action of the rehearsal). Bytes are recorded when they are
forwarded: what a fault holds back or loses never reached the other's socket.

What each direction does with bytes is `foxlift.standins.link_direction`. On a cut link a client can still
connect to this relay, because on loopback the kernel answers for the listener. It receives nothing, as behind
a firewall that drops packets.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any, BinaryIO, cast

from foxlift.standins import link_direction
from foxlift.standins.held_port import HeldPort


class Recorder:
    """Writes the records of all taps into one file, in the order of the events."""

    def __init__(self, path: Path, loop: asyncio.AbstractEventLoop) -> None:
        self._file: BinaryIO = open(path, "wb", buffering=1 << 20)  # noqa: SIM115
        self._loop = loop

    def write(self, tap: str, connection: int, kind: str, data: bytes = b"", **more: Any) -> None:
        """Append one record."""
        line = {"t": self._loop.time(), "tap": tap, "c": connection, "k": kind, "n": len(data), **more}
        self._file.write(json.dumps(line).encode() + b"\n" + data + b"\n")

    def mark(self, text: str, **more: Any) -> None:
        """Record an action of the rehearsal."""
        self.write("", 0, "mark", text=text, **more)

    def close(self) -> None:
        """Close it; a second call does nothing."""
        self._file.close()


_numbers = count(1)
_NO_FAULT = link_direction.LinkConditions()


class Tap:
    """Listens on a port of its own and forwards to `target`.

    `is_affected` tells by a connection's first bytes whether faults apply to it: a server's port is used by
    directors and viewers, and a fault between a director and a server must not affect viewers.
    """

    def __init__(
        self,
        name: str,
        recorder: Recorder,
        loop: asyncio.AbstractEventLoop,
        is_affected: Callable[[bytes], bool] = lambda first: True,
        default_conditions: link_direction.LinkConditions = _NO_FAULT,
    ) -> None:
        self.default_conditions = default_conditions  # while there is no fault
        self.name, self.recorder, self.loop, self.is_affected = name, recorder, loop, is_affected
        self.port = 0
        self._held_port: HeldPort | None = None
        self.target = 0
        self.up = self.down = default_conditions  # of new connections
        self._server: asyncio.Server | None = None
        self._sides: set[_Side] = set()

    async def listen(self) -> int:
        """Listen, on the same port each time; returns the port."""
        if self._held_port is None:
            self._held_port = HeldPort()
            self.port = self._held_port.port
        self._server = await self.loop.create_server(
            lambda: _ClientSide(self), "127.0.0.1", self.port, backlog=1024
        )
        return self.port

    # ---- Faults -------------------------------------------------------------------------------------------
    def change(
        self,
        up: link_direction.LinkConditions | None = None,
        down: link_direction.LinkConditions | None = None,
    ) -> None:
        """Change the conditions of one or both directions, for present and future connections."""
        self.up, self.down = up or self.up, down or self.down
        for side in list(self._sides):
            if side.affected:
                side.change(self.up if side.kind == "up" else self.down)

    def mend(self) -> None:
        """End all faults; connections that have lost bytes are reset."""
        self.change(self.default_conditions, self.default_conditions)
        for side in list(self._sides):
            if side.direction.bytes_lost:
                side.reset()

    def reset(self) -> None:
        """Reset every connection that faults apply to."""
        for side in list(self._sides):
            if side.affected:
                side.abort()

    def refuse(self) -> None:
        """Refuse new connections, as if the process had ended; `listen` accepts them again."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Close it; a second call does nothing."""
        self.refuse()
        if self._held_port is not None:
            self._held_port.release()
            self._held_port = None
        for side in list(self._sides):
            side.abort()


class _Side(asyncio.Protocol):
    def __init__(self, tap: Tap, kind: str) -> None:
        self.tap, self.kind = tap, kind
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None
        self.number = 0
        self.affected = True  # whether faults apply to this connection
        self.direction = link_direction.LinkDirection(tap.up if kind == "up" else tap.down)
        self.write_paused = False
        self._is_reading = True
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.tap._sides.add(self)

    def data_received(self, data: bytes) -> None:
        self._carry_out(self.direction.receive(self.tap.loop.time(), data))
        self._update_reading()

    def eof_received(self) -> bool:
        """The sender has closed: close the connection once all of its bytes are forwarded."""
        self._carry_out(self.direction.close(self.tap.loop.time()))
        return True

    def change(self, conditions: link_direction.LinkConditions) -> None:
        self._carry_out(self.direction.change(self.tap.loop.time(), conditions))
        self._update_reading()

    def _carry_out(self, actions: list[link_direction.Action]) -> None:
        for action in actions:
            match action:
                case link_direction.Forward(data):
                    self.tap.recorder.write(self.tap.name, self.number, self.kind, data)
                    if self.other is not None and self.other.transport is not None:
                        self.other.transport.write(data)
                case link_direction.SenderClosed():
                    if self.transport is not None:
                        self.transport.close()
                case link_direction.BreakConnection():
                    other = self.other
                    if other is not None and other.transport is not None:
                        other.transport.close()
                    self.abort()
                case link_direction.WakeAt(at):
                    if self._timer is not None:
                        self._timer.cancel()
                    self._timer = self.tap.loop.call_at(at, self._timer_due)

    def _timer_due(self) -> None:
        self._timer = None
        self._carry_out(self.direction.timer_due(self.tap.loop.time()))
        self._update_reading()

    def _update_reading(self) -> None:
        """Read from the sender only while what it sends can be buffered or forwarded."""
        other = self.other
        may_read = not self.direction.full and (other is None or not other.write_paused)
        if may_read != self._is_reading and self.transport is not None and not self.transport.is_closing():
            self._is_reading = may_read
            if may_read:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def pause_writing(self) -> None:
        self.write_paused = True
        if self.other is not None:
            self.other._update_reading()

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.other is not None:
            self.other._update_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.tap._sides.discard(self)
        self.transport = None
        if self._timer is not None:
            self._timer.cancel()
        other, self.other = self.other, None
        if other is None:
            return
        other.other = None
        self.tap.recorder.write(self.tap.name, self.number, "shut", by=self.kind)
        if self.direction.conditions.state is not link_direction.LinkState.OPEN or self.direction.bytes_lost:
            return  # neither its last bytes nor its end are forwarded
        if other.transport is not None:
            if exc is None:
                other.transport.close()
            else:
                other.transport.abort()

    def reset(self) -> None:
        """Reset both sides."""
        other = self.other
        self.abort()
        if other is not None:
            other.abort()

    def abort(self) -> None:
        """Reset the connection and drop unsent bytes."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class _ClientSide(_Side):
    def __init__(self, tap: Tap) -> None:
        super().__init__(tap, "up")
        self._received_early: list[bytes] = []
        self._closed_early = False
        self._first_bytes_seen = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.number = next(_numbers)
        # recorded only once the target has accepted it
        self._task: asyncio.Task[None] | None = None
        if self.direction.conditions.state is not link_direction.LinkState.CUT:
            self._task = self.tap.loop.create_task(self._connect())

    def data_received(self, data: bytes) -> None:
        if not self._first_bytes_seen:
            self._first_bytes_seen = True
            self.affected = self.tap.is_affected(data)
            if not self.affected:
                self.direction = link_direction.LinkDirection()
                if self.other is not None:
                    self.other.affected, self.other.direction = False, link_direction.LinkDirection()
                if self._task is None:
                    self._task = self.tap.loop.create_task(self._connect())
        if self.affected and self._task is None:
            self.direction.bytes_lost = True  # opened while the link was cut
        elif self.other is None:
            self._received_early.append(data)
        else:
            super().data_received(data)

    def eof_received(self) -> bool:
        if self.other is None:
            self._closed_early = True
            return True
        return super().eof_received()

    async def _connect(self) -> None:
        assert self.transport is not None
        try:
            _, made = await self.tap.loop.create_connection(
                lambda: _Side(self.tap, "down"), "127.0.0.1", self.tap.target
            )
        except OSError:
            if not self.affected or self.tap.down.state is link_direction.LinkState.OPEN:
                self.abort()
            return
        made.number = self.number
        if not self.affected:
            made.affected, made.direction = False, link_direction.LinkDirection()
        if self.transport is None or self.transport.is_closing():
            made.abort()
            return
        self.other, made.other = made, self
        self.tap.recorder.write(self.tap.name, self.number, "open")
        early, self._received_early = self._received_early, []
        for data in early:
            super().data_received(data)
        if self._closed_early:
            super().eof_received()
