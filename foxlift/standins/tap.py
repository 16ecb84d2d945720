"""A tap: a loopback relay that writes down every byte it passes on, with faults between the two on command.

A record is one line of JSON, then the bytes: {"t": loop seconds, "tap": name, "c": connection, "k": kind,
"n": length}. Kinds: `open`, `up` (from the asking side), `down` (from the answering side), `shut` (with `by`:
the side that ended it) and `mark` (with `text`: what the rehearsal itself did). Bytes are written down when
they are passed on: what a fault keeps or loses was never on the other's socket.

What each direction does to bytes is `foxlift.standins.ways`. A cut link still lets a connection be made as
far as this relay, for on loopback the kernel answers for the listener: the asking side sees a connection that
never says anything, as it would behind a wall that drops what passes.
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

from foxlift.standins import ways
from foxlift.standins.held_port import HeldPort


class Recorder:
    """Writes the records of all taps into one file, in the order in which things passed."""

    def __init__(self, path: Path, loop: asyncio.AbstractEventLoop) -> None:
        self._file: BinaryIO = open(path, "wb", buffering=1 << 20)  # noqa: SIM115
        self._loop = loop

    def write(self, tap: str, connection: int, kind: str, data: bytes = b"", **more: Any) -> None:
        """Append one record: a line of JSON, then the data."""
        line = {"t": self._loop.time(), "tap": tap, "c": connection, "k": kind, "n": len(data), **more}
        self._file.write(json.dumps(line).encode() + b"\n" + data + b"\n")

    def mark(self, text: str, **more: Any) -> None:
        """Write down what the rehearsal did."""
        self.write("", 0, "mark", text=text, **more)

    def close(self) -> None:
        """Close it; a second call does nothing."""
        self._file.close()


_numbers = count(1)
_AT_REST = ways.Terms()


class Tap:
    """Listens in the place of `port` and passes on to it.

    `picks` says by a connection's first bytes whether faults touch it: those between a director and a box are
    none between that box and its viewers, though both come to one port.
    """

    def __init__(
        self,
        name: str,
        recorder: Recorder,
        loop: asyncio.AbstractEventLoop,
        picks: Callable[[bytes], bool] = lambda first: True,
        rest: ways.Terms = _AT_REST,
    ) -> None:
        self.rest = rest  # where there is no fault
        self.name, self.recorder, self.loop, self.picks = name, recorder, loop, picks
        self.port = 0
        self._held_port: HeldPort | None = None
        self.target = 0
        self.up = self.down = rest  # what new connections begin with
        self._server: asyncio.Server | None = None
        self._sides: set[_Side] = set()

    async def listen(self) -> int:
        """Bind; gives back the port, the same one each time."""
        if self._held_port is None:
            self._held_port = HeldPort()
            self.port = self._held_port.port
        self._server = await self.loop.create_server(
            lambda: _Asking(self), "127.0.0.1", self.port, backlog=1024
        )
        return self.port

    # ---- Faults -------------------------------------------------------------------------------------------
    def change(self, up: ways.Terms | None = None, down: ways.Terms | None = None) -> None:
        """New terms for one direction or both, of connections that are there and that come."""
        self.up, self.down = up or self.up, down or self.down
        for side in list(self._sides):
            if side.picked:
                side.change(self.up if side.kind == "up" else self.down)

    def mend(self) -> None:
        """Pass on as if nothing had been; connections that have lost bytes are reset."""
        self.change(self.rest, self.rest)
        for side in list(self._sides):
            if side.way.dumb:
                side.reset()

    def reset(self) -> None:
        """Reset every connection that faults touch."""
        for side in list(self._sides):
            if side.picked:
                side.abort()

    def refuse(self) -> None:
        """Take no new connection, as a process that is not there; `listen` takes them again."""
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
        self.picked = True  # whether faults touch this connection
        self.way = ways.Way(tap.up if kind == "up" else tap.down)
        self.choked = False  # whether this side takes no more bytes for now
        self._reads = True  # whether its sender is read from
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.tap._sides.add(self)

    def data_received(self, data: bytes) -> None:
        self._do(self.way.comes(self.tap.loop.time(), data))
        self._read_on()

    def eof_received(self) -> bool:
        """It has sent all: the connection ends when that has passed."""
        self._do(self.way.ends(self.tap.loop.time()))
        return True

    def change(self, terms: ways.Terms) -> None:
        self._do(self.way.change(self.tap.loop.time(), terms))
        self._read_on()

    def _do(self, actions: list[ways.Action]) -> None:
        for action in actions:
            match action:
                case ways.Pass(data):
                    self.tap.recorder.write(self.tap.name, self.number, self.kind, data)
                    if self.other is not None and self.other.transport is not None:
                        self.other.transport.write(data)
                case ways.End():
                    if self.transport is not None:
                        self.transport.close()
                case ways.Sever():
                    other = self.other
                    if other is not None and other.transport is not None:
                        other.transport.close()
                    self.abort()
                case ways.CallAgain(at):
                    if self._timer is not None:
                        self._timer.cancel()
                    self._timer = self.tap.loop.call_at(at, self._due)

    def _due(self) -> None:
        self._timer = None
        self._do(self.way.due(self.tap.loop.time()))
        self._read_on()

    def _read_on(self) -> None:
        """Read from the sender only while there is room for what it sends."""
        other = self.other
        reads = not self.way.full and (other is None or not other.choked)
        if reads != self._reads and self.transport is not None and not self.transport.is_closing():
            self._reads = reads
            if reads:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def pause_writing(self) -> None:
        self.choked = True
        if self.other is not None:
            self.other._read_on()

    def resume_writing(self) -> None:
        self.choked = False
        if self.other is not None:
            self.other._read_on()

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
        if self.way.terms.state is not ways.State.OPEN or self.way.dumb:
            return  # what it sent in the end, its reset too, does not get through
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
        """Reset: nothing that is still to be sent is, and the peer hears of no orderly end."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class _Asking(_Side):
    def __init__(self, tap: Tap) -> None:
        super().__init__(tap, "up")
        self._early: list[bytes] = []
        self._early_end = False
        self._heard = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.number = next(_numbers)
        # written down only once the target took it: what was refused was never on its sockets
        self._task: asyncio.Task[None] | None = None
        if self.way.terms.state is not ways.State.CUT:
            self._task = self.tap.loop.create_task(self._connect())

    def data_received(self, data: bytes) -> None:
        if not self._heard:
            self._heard = True
            self.picked = self.tap.picks(data)
            if not self.picked:
                self.way = ways.Way()
                if self.other is not None:
                    self.other.picked, self.other.way = False, ways.Way()
                if self._task is None:
                    self._task = self.tap.loop.create_task(self._connect())
        if self.picked and self._task is None:
            self.way.dumb = True  # it began under a cut
        elif self.other is None:
            self._early.append(data)
        else:
            super().data_received(data)

    def eof_received(self) -> bool:
        if self.other is None:
            self._early_end = True
            return True
        return super().eof_received()

    async def _connect(self) -> None:
        assert self.transport is not None
        try:
            _, made = await self.tap.loop.create_connection(
                lambda: _Side(self.tap, "down"), "127.0.0.1", self.tap.target
            )
        except OSError:
            if not self.picked or self.tap.down.state is ways.State.OPEN:
                self.abort()
            return
        made.number = self.number
        if not self.picked:
            made.picked, made.way = False, ways.Way()
        if self.transport is None or self.transport.is_closing():
            made.abort()
            return
        self.other, made.other = made, self
        self.tap.recorder.write(self.tap.name, self.number, "open")
        early, self._early = self._early, []
        for data in early:
            super().data_received(data)
        if self._early_end:
            super().eof_received()
