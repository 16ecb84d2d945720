"""Stand-ins of the operators' platform on loopback: media boxes, coordinator, viewers.

They write and read the platform's messages with code of their own, so that a fault in the director's codecs
(`foxlift/platform`) shows in what they get. A box answers every set-up well unless `behave` says otherwise.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

from foxlift.standins.held_port import HeldPort


def start_line(tag: str, klass: str = "free", title: str = "00000000000000aa", **more: Any) -> bytes:
    """A viewer's set-up."""
    opts = {
        "class": klass,
        "left": "1000",
        "tenant": "acme",
        "key": title,
        "hint": "8000.0",
        "extras": "home:0;copies:4;top:3;viewer:00000000b4d65521",
    }
    opts.update(more.pop("opts", {}))
    message = {"verb": "START", "tag": tag, "opts": opts, "blob": f"{tag}\r\nm=audio 1 RTP/AVP 0\r\n"}
    message.update(more)
    return json.dumps(message).encode() + b"\n"


def finish_line(tag: str, cause: int = 16) -> bytes:
    """A viewer's give-up or release."""
    return json.dumps({"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause}).encode() + b"\n"


def rtsp_answer(status: int, tag: str, body: bytes = b"", cseq: int = 1, more: str = "") -> bytes:
    """A box's answer."""
    head = (
        f"RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {tag}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def rtsp_request(method: str, tag: str, more: str = "", cseq: int = 7) -> bytes:
    """A box's release or note."""
    named = f"CSeq: {cseq}\r\nSession: {tag}\r\n{more}Content-Length: 0\r\n\r\n"
    return f"{method} rtsp://media/{tag} RTSP/1.0\r\n{named}".encode()


class StandInBox:
    """A media box on loopback. `behave` may write what it likes in place of the good answer."""

    def __init__(self) -> None:
        self.got: list[tuple[str, str, dict[str, str]]] = []  # method, id, headers
        self.writers: list[asyncio.StreamWriter] = []
        self.ended = 0  # connections that the other side has ended
        self.behave: Callable[[str, bytes, asyncio.StreamWriter], bool] | None = None
        self.struck: set[asyncio.StreamWriter] = set()  # nothing of this box gets through; they stay open
        self.arrived = asyncio.Event()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._held_port: HeldPort | None = None

    async def start(self) -> StandInBox:
        self._held_port = HeldPort()  # nobody else answers at its address after its end
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._held_port.port)
        self.address = f"127.0.0.1:{self._held_port.port}"
        return self

    async def start_in_place_of(self, former: StandInBox) -> StandInBox:
        """Start as a new process at the address of one that has stopped."""
        host, port = former.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), reuse_address=True)
        self.address = former.address
        return self

    async def stop(self) -> None:
        """Die as a process does: the listener goes, connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
                body = await reader.readexactly(int(headers["content-length"]))
                method, tag = first.split(" ")[0], headers["session"]
                self.got.append((method, tag, headers))
                self.arrived.set()
                if writer in self.struck:
                    continue
                if method == "OPTIONS":
                    writer.write(rtsp_answer(200, tag, cseq=3))
                elif method == "SETUP" and (self.behave is None or not self.behave(tag, body, writer)):
                    writer.write(rtsp_answer(200, tag, b"box\r\n" + body))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended += 1

    def methods(self, tag: str) -> list[str]:
        """What came for an id, in order."""
        return [method for method, of, _ in self.got if of == tag]

    async def until(self, test: Callable[[], bool]) -> None:
        """Wait for something to have come."""
        while not test():
            self.arrived.clear()
            await self.arrived.wait()


class StandInCoordinator:
    """Frames over TCP, from the number asked for."""

    def __init__(self) -> None:
        self.frames: list[tuple[int, int, bytes]] = []  # number, kind, payload
        self.asked: list[int] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.ended = 0  # connections that are over
        self.address = ""
        self.connected = asyncio.Event()
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._held_port: HeldPort | None = None

    async def start(self) -> StandInCoordinator:
        self._held_port = HeldPort()  # nobody else answers at its address after its end
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._held_port.port)
        self.address = f"127.0.0.1:{self._held_port.port}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            asked = int.from_bytes(await reader.readexactly(8), "big")
            self.asked.append(asked)
            self.writers.append(writer)
            for number, kind, payload in self.frames:
                if number > asked:
                    writer.write(frame(number, kind, payload))
            self.connected.set()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.ended += 1
        self._changed.set()

    async def until(self, test: Callable[[], bool]) -> None:
        """Wait for connections to have ended."""
        while not test():
            self._changed.clear()
            await self._changed.wait()

    def tell(self, number: int, kind: int, payload: bytes) -> None:
        """A new event, to all who are connected."""
        self.frames.append((number, kind, payload))
        for writer in self.writers:
            writer.write(frame(number, kind, payload))

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self.writers:
            writer.transport.abort()


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """A frame as the protocol's page has it."""
    return (9 + len(payload)).to_bytes(4, "big") + number.to_bytes(8, "big") + bytes([kind]) + payload


def record(number: int, address: str, state: int = 0, cell: int = 0, started: int = 0) -> bytes:
    """A record of 27 bytes."""
    host, port = address.split(":")
    return (
        number.to_bytes(4, "big")
        + bytes(int(part) for part in host.split("."))
        + int(port).to_bytes(2, "big")
        + bytes([state, 0, 0])
        + cell.to_bytes(2, "big")
        + (1000).to_bytes(4, "big")
        + started.to_bytes(8, "big")
    )


class Viewer:
    """A viewer's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: str, receive_buffer: int | None = None) -> Viewer:
        """Connect; `receive_buffer`: bytes, set first: a window that shrinks later loses acknowledgements."""
        host, port = address.split(":")
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return cls(*await asyncio.open_connection(sock=sock))

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read(self) -> dict[str, Any] | None:
        """The next message; None where the connection ended."""
        try:
            line = await self.reader.readline()
        except ConnectionError:
            return None
        return json.loads(line) if line else None

    async def answer(self, tag: str) -> dict[str, Any] | None:
        """The next message on an id, progress and heard releases left out."""
        while (message := await self.read()) is not None:
            if message["tag"] == tag and message["verb"] not in ("PENDING", "FINISHED"):
                return message
        return None

    def close(self) -> None:
        self.writer.close()
