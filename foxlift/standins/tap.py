"""A tap: a loopback relay that writes down every byte it passes on, and when.

A record is one line of JSON, then the bytes: {"t": loop seconds, "tap": name, "c": connection, "k": kind,
"n": length}. Kinds: `open`, `up` (from the asking side), `down` (from the answering side), `shut` (with `by`:
the side that ended it) and `mark` (with `text`: what the rehearsal itself did).
"""

from __future__ import annotations

import asyncio
import json
from itertools import count
from pathlib import Path
from typing import Any, BinaryIO, cast


class Recorder:
    """Writes the records of all taps into one file, in the order in which things passed."""

    def __init__(self, path: Path, loop: asyncio.AbstractEventLoop) -> None:
        self._file: BinaryIO = open(path, "wb", buffering=1 << 20)  # noqa: SIM115
        self._loop = loop

    def write(self, tap: str, connection: int, kind: str, data: bytes = b"", **more: Any) -> None:
        line = {"t": self._loop.time(), "tap": tap, "c": connection, "k": kind, "n": len(data), **more}
        self._file.write(json.dumps(line).encode() + b"\n" + data + b"\n")

    def mark(self, text: str, **more: Any) -> None:
        """Write down what the rehearsal did."""
        self.write("", 0, "mark", text=text, **more)

    def close(self) -> None:
        self._file.close()


_numbers = count(1)


class Tap:
    """Listens in the place of `port` and passes on to it."""

    def __init__(self, name: str, recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.name, self.recorder, self.loop = name, recorder, loop
        self.port = 0
        self.target = 0
        self._server: asyncio.Server | None = None
        self._sides: set[_Side] = set()

    async def listen(self) -> int:
        """Bind; gives back the port."""
        self._server = await self.loop.create_server(lambda: _Asking(self), "127.0.0.1", 0, backlog=1024)
        self.port = cast(int, self._server.sockets[0].getsockname()[1])
        return self.port

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for side in list(self._sides):
            side.abort()


class _Side(asyncio.Protocol):
    def __init__(self, tap: Tap) -> None:
        self.tap = tap
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None
        self.number = 0
        self.kind = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.tap._sides.add(self)

    def data_received(self, data: bytes) -> None:
        self.tap.recorder.write(self.tap.name, self.number, self.kind, data)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.tap._sides.discard(self)
        other, self.other = self.other, None
        if other is not None:
            other.other = None
            self.tap.recorder.write(self.tap.name, self.number, "shut", by=self.kind)
            if other.transport is not None:
                if exc is None:
                    other.transport.close()
                else:
                    other.transport.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _Answering(_Side):
    def __init__(self, tap: Tap) -> None:
        super().__init__(tap)
        self.kind = "down"


class _Asking(_Side):
    def __init__(self, tap: Tap) -> None:
        super().__init__(tap)
        self.kind = "up"
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.number = next(_numbers)
        # written down only once the target took it: what was refused was never on its sockets
        self._task = self.tap.loop.create_task(self._connect())

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early.append(data)
        else:
            super().data_received(data)

    async def _connect(self) -> None:
        assert self.transport is not None
        try:
            _, other = await self.tap.loop.create_connection(
                lambda: _Answering(self.tap), "127.0.0.1", self.tap.target
            )
        except OSError:
            self.transport.abort()
            return
        other.number = self.number
        if self.transport.is_closing():
            other.abort()
            return
        self.other, other.other = other, self
        self.tap.recorder.write(self.tap.name, self.number, "open")
        early, self.early = self.early, []
        for data in early:
            self.data_received(data)
