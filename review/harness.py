"""What the cases share: the director as the deploy file starts it, and stand-ins for the platform's sides.

Standard library only. All addresses are loopback addresses, all ports are free ones, times are Unix times.
The stand-ins are written from the protocol page alone and share no code with the project.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.time()

    def write(self, text: str) -> None:
        """Add a line with its time."""
        self._file.write(f"{time.time() - self.began:8.3f} {text}\n")
        self._file.flush()

    def raw(self, text: str) -> None:
        """Add a text as it is."""
        self._file.write(text if text.endswith("\n") else text + "\n")
        self._file.flush()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


# ---- The director ------------------------------------------------------------------------------------------
def settings(**more: Any) -> dict[str, Any]:
    """The settings of a small deployment, named as on the wire page; `group__name=value` replaces one."""
    made: dict[str, Any] = {
        "balancers": 2,
        "ordinal": 0,
        "zone": 0,
        "zones": ["east-wing", "west-wing"],
        "models": ["three-core", "two-core"],
        "discovery": "push",
        "domain_type": "streams",
        "clients": {"marks_retry": True},
        "orgs": [
            {"name": "pohjoisvirta", "portion": 0.67, "quota_per_s": 10.0},
            {"name": "jarvikaasu", "portion": 0.33, "quota_per_s": 10.0},
        ],
        "over_share_worth": 0.2,
        "categories": [
            {
                "name": "graded-lesson",
                "idempotency": "fragile",
                "aim_ms": 1500.0,
                "deadline_ms": 3000.0,
                "gain": 3.0,
                "group": "all",
                "stream": True,
                "window_ms": 5000.0,
            },
            {
                "name": "briefing-replay",
                "idempotency": "retryable",
                "aim_ms": 1000.0,
                "deadline_ms": 5000.0,
                "gain": 1.0,
                "group": "all",
                "stream": True,
                "window_ms": 5000.0,
            },
        ],
        "family_info": {
            "cells": 12,
            "racks": 2,
            "class_scale": [1.0, 0.7],
            "is_live": [False, False],
            "licence_cap": [0, 0],
            "lowest_rung": [0, 0],
            "top_by_class": [3, 3],
            "full_from": 0.0,
            "shared_adds": 1.0,
            "kind_slots": [31, 21],
            "ladder_kb": [210.0, 440.0, 922.0, 1933.0],
            "ladder_worth": [0.24, 0.53, 0.77, 1.0],
            "all_links_kb": 85062.0,
            "kb_per_weight": 14178.0,
            "rack_link_kb": 54446.0,
            "told_late_ms": 741.987,
            "reports_every_ms": 2750.0,
            "stall_cost": 7.0,
            "change_costs_s": 0.98,
        },
        "fees": {"cross_zone": 0.02, "late_fail": 0.08, "moves": 0.1},
        "invariants": {
            "answer_slack_ms": 40.0,
            "cold_from": 0.4,
            "fall_multiple": 2.5,
            "overload_for_ms": 1500.0,
            "ramp_time_ms": 12000.0,
            "stop_sending_within_ms": 1000.0,
        },
        "limits": {
            "connect_timeout_ms": 250.0,
            "keepalive_ms": 30000.0,
            "max_open": 1153500,
            "max_retry_after_ms": 500.0,
            "max_streams": 100,
            "may_cancel": True,
            "may_duplicate": False,
            "peer_messages": False,
            "probes": False,
            "retry_after": True,
            "try_limit": 5,
        },
        "telemetry": {"columns": ["x0"], "how": "inline"},
        "tick_ms": 10.0,
        "tiers": ["media-fleet"],
        "weights": "off",
        "worth_by": "work",
    }
    for path, value in more.items():
        group, _, name = path.partition("__")
        if name:
            made[group][name] = value
        else:
            made[group] = value
    return made


class Director:
    """One director, started by the deploy file's `run` from the root."""

    def __init__(self, record: Record, coordinator: str, members: list[dict[str, Any]], **more: Any) -> None:
        self._record = record
        self.address = f"127.0.0.1:{free_port()}"
        self._dir = Path(tempfile.mkdtemp(prefix="foxlift-review-"))
        (self._dir / "tmp").mkdir()
        self._log = (self._dir / "log.txt").open("wb")
        self._settings, self._members = settings(**more), members
        self.configure(coordinator)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env={
                **os.environ,
                "BALANCER_NAME": "n0",
                "BALANCER_LISTEN": self.address,
                "BALANCER_CONFIG": str(self._dir / "config.json"),
                "TMPDIR": str(self._dir / "tmp"),
            },
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        record.write(f"director started at {self.address}, coordinator {coordinator}")

    def configure(self, coordinator: str) -> None:
        """Write the configuration file anew; the old one is replaced in one step."""
        known = {"index": 1, "endpoints": {"revision": 1, "complete": True, "members": self._members}}
        made = {
            "name": "n0",
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": coordinator,
            "known": {"index": 1, "updates": [known]},
            "settings": self._settings,
        }
        new = self._dir / "config.new"
        new.write_text(json.dumps(made))
        new.replace(self._dir / "config.json")

    def send_signal(self, number: int) -> None:
        """Send the director a signal."""
        self._record.write(f"director gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process and add its log to the record."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(6)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        else:
            self._record.write(f"director had ended by itself with {self.process.returncode}")
        self._log.close()
        self._record.raw("---- the director's log")
        self._record.raw((self._dir / "log.txt").read_text(errors="replace") or "(empty)")
        shutil.rmtree(self._dir, ignore_errors=True)


# ---- Media nodes -------------------------------------------------------------------------------------------
def rtsp(first: str, cseq: int, tag: str, more: str = "", body: bytes = b"") -> bytes:
    """Return an RTSP message."""
    head = f"{first}\r\nCSeq: {cseq}\r\nSession: {tag}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Link:
    """A media node's connection. Once `cut`, nothing more of the node gets through, and it stays open."""

    def __init__(self, number: int, writer: asyncio.StreamWriter) -> None:
        self.number, self.writer = number, writer
        self.cut = self.over = False

    def write(self, data: bytes) -> None:
        """Write, unless the link is cut."""
        if not self.cut and not self.over:
            self.writer.write(data)


class Node:
    """A media node: starts every session that it is sent, unless `behave` says that it did otherwise."""

    def __init__(self, record: Record, number: int, cell: int) -> None:
        self._record, self.number, self.cell = record, number, cell
        self.name = f"s-{number:08x}"
        self.setups: list[tuple[float, str, int]] = []  # time, session, connection
        self.standing: dict[str, Link] = {}  # by session: the connection of its set-up
        self.released: dict[str, float] = {}  # by session: time of its release by this node
        self.owed: list[bytes] = []  # releases that also go on the next connection opened
        self.links: list[Link] = []
        self.answer_after_s = 0.02
        self.behave: Callable[[Node, Link, str, bytes], Awaitable[bool]] | None = None
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    def member(self, phase: str = "active", started: float = 0) -> dict[str, Any]:
        """Return its entry in the configuration's list."""
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": "east-wing",
            "flavor": "three-core",
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": started,
        }

    def listed(self, state: int = 0, started: int = 0) -> bytes:
        """A record of the coordinator's list: 0 ready, 1 draining, 2 gone."""
        return (
            self.number.to_bytes(4, "big")
            + bytes((127, 0, 0, 1))
            + self.port.to_bytes(2, "big")
            + bytes((state, 0, 0))
            + self.cell.to_bytes(2, "big")
            + (1000).to_bytes(4, "big")
            + started.to_bytes(8, "big")
        )

    async def start(self) -> Node:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def write(self, text: str) -> None:
        """Add a line on this media node to the record."""
        self._record.write(f"{self.name} {text}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(len(self.links) + 1, writer)
        self.links.append(link)
        self.write(f"connection {link.number} opened")
        for data in self.owed:
            self.write(f"release sent again on connection {link.number}")
            link.write(data)
        self.owed.clear()
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
                body = await reader.readexactly(int(headers["content-length"]))
                self._received(link, first.split(" ")[0], headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        link.over = True
        self.write(f"connection {link.number} closed")
        writer.close()

    def _received(self, link: Link, method: str, headers: dict[str, str], body: bytes) -> None:
        tag = headers["session"]
        if method == "OPTIONS":
            link.write(rtsp("RTSP/1.0 200 OK", 3, tag))
        elif method == "SETUP":
            self.setups.append((time.time(), tag, link.number))
            self.write(f"gets SETUP {tag} on connection {link.number}, {headers['call-kind']}")
            task = asyncio.get_running_loop().create_task(self._answer(link, tag, body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif method == "TEARDOWN":
            self.write(f"gets TEARDOWN {tag} on connection {link.number}, {headers.get('reason', '')}")
            link.write(rtsp("RTSP/1.0 200 OK", 2, tag))
            self.standing.pop(tag, None)

    async def _answer(self, link: Link, tag: str, body: bytes) -> None:
        await asyncio.sleep(self.answer_after_s)
        if link.over:
            return
        answer = rtsp(
            "RTSP/1.0 200 OK", 1, tag, "Link-State: x0:0.3\r\n", self.name.encode() + b"\r\n" + body
        )
        self.standing[tag] = link
        if self.behave is None or not await self.behave(self, link, tag, answer):
            self.write(f"answers 200 to {tag} on connection {link.number}")
            link.write(answer)

    def release(self, tag: str, cause: int = 16) -> None:
        """The session has ended: tell it on the connection of its set-up, and on the next one opened."""
        link = self.standing.pop(tag, None)
        if link is None:
            return
        if link.over:
            link = next((other for other in reversed(self.links) if not other.over), None)
        data = rtsp(f"TEARDOWN rtsp://media/{tag} RTSP/1.0", 2, tag, f"Reason: cause={cause}\r\n")
        self.released[tag] = time.time()
        self.owed.append(data)
        if link is not None:
            self.write(f"releases {tag} on connection {link.number}{', which is cut' if link.cut else ''}")
            link.write(data)

    def close(self) -> None:
        """End as a process does: the listener goes, connections are reset."""
        if self._server is not None:
            self._server.close()
        for link in self.links:
            link.writer.transport.abort()


# ---- Viewers -----------------------------------------------------------------------------------------------
class Viewers:
    """One connection from viewers. It confirms releases."""

    _count = 0

    def __init__(self, record: Record, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._record, self._reader, self._writer = record, reader, writer
        self.sent: dict[str, float] = {}  # by session: time of its START
        self.answers: dict[str, dict[str, Any]] = {}  # by session: the first STARTED or FINISH
        self.answered: dict[str, float] = {}
        self.over: dict[str, float] = {}  # by session that stood: time of its release
        self.twice: list[str] = []  # sessions with two answers
        self.passed = asyncio.Event()
        self.closed = False
        self._changed = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._read())

    @classmethod
    async def connect(cls, record: Record, address: str, seconds: float = 10.0) -> Viewers:
        """Connect, as soon as the director listens."""
        host, port = address.split(":")
        until = time.time() + seconds
        while True:
            try:
                return cls(record, *await asyncio.open_connection(host, int(port)))
            except OSError:
                if time.time() > until:
                    raise NotRunError("the director does not listen") from None
                await asyncio.sleep(0.05)

    @classmethod
    def new_tag(cls) -> str:
        """Return a new id."""
        cls._count += 1
        return f"{os.getpid() & 0xFFFFFFFF:08x}{cls._count:08x}"

    def _send(self, message: dict[str, Any]) -> None:
        self._writer.write(json.dumps(message).encode() + b"\n")

    async def test(self, seconds: float = 10.0) -> None:
        """Wait until the director has passed a test."""
        until = time.time() + seconds
        while not self.passed.is_set():
            if time.time() > until:
                raise NotRunError("the director passes no test")
            self._send({"verb": "ECHO", "tag": self.new_tag(), "opts": {}, "rc": 0})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.passed.wait(), 0.2)
        self._record.write("the director has passed a test")

    def start(
        self, klass: str, left_ms: int, home: int, hint_ms: float, title: int = 0xAA, top: int = 3
    ) -> str:
        """Send a set-up and return its id."""
        tag = self.new_tag()
        extras = f"home:{home};copies:3;top:{top};viewer:{Viewers._count:016x}"
        opts = {
            "class": klass,
            "left": str(left_ms),
            "tenant": "pohjoisvirta",
            "key": f"{title:016x}",
            "hint": str(hint_ms),
            "extras": extras,
        }
        blob = f"{tag}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        self.sent[tag] = time.time()
        self._record.write(f"viewer sends START {tag}, {klass}, left {left_ms}")
        self._send({"verb": "START", "tag": tag, "opts": opts, "blob": blob})
        return tag

    def finish(self, tag: str, cause: int = 16) -> None:
        """Give a set-up up, or end a session."""
        self._record.write(f"viewer sends FINISH {tag}, {cause}")
        self._send({"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause})

    async def _read(self) -> None:
        try:
            while line := await self._reader.readline():
                message = json.loads(line)
                self._received(message["verb"], message["tag"], message)
                self._changed.set()
        except (ConnectionError, asyncio.CancelledError):
            pass
        self.closed = True
        self._changed.set()

    def _received(self, verb: str, tag: str, message: dict[str, Any]) -> None:
        if verb == "ECHOED" and message.get("rc") == 1:
            self.passed.set()
        elif verb == "MOVE":
            self._record.write(f"viewer gets MOVE {tag}")
            self.over.setdefault(tag, time.time())
        elif verb in ("STARTED", "FINISH"):
            rc = message.get("rc")
            self._record.write(f"viewer gets {verb} {tag}{'' if rc is None else f', {rc}'}")
            first = self.answers.get(tag)
            if first is None:
                self.answers[tag], self.answered[tag] = message, time.time()
            elif first["verb"] == "STARTED" and verb == "FINISH":
                self.over.setdefault(tag, time.time())
            else:
                self.twice.append(tag)
            if verb == "FINISH":
                self._send({"verb": "FINISHED", "tag": tag, "opts": {}})

    def stands(self, tag: str) -> bool:
        """Whether the session stands, by what this side was told."""
        return self.answers.get(tag, {}).get("verb") == "STARTED" and tag not in self.over

    async def until(self, test: Callable[[], bool], seconds: float) -> bool:
        """Wait until `test` holds, at most so long; return whether it does."""
        until = time.time() + seconds
        while not test() and time.time() < until:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(0.1, max(until - time.time(), 0.01)))
        return test()

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()


class Way:
    """The network between viewers and a director: passes bytes on, until its connections are reset."""

    def __init__(self, record: Record, director: str) -> None:
        self._record, self._director = record, director
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> Way:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self._director.split(":")
        to_reader, to_writer = await asyncio.open_connection(host, int(port))
        self._writers += [writer, to_writer]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self._pass(reader, to_writer), self._pass(to_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65536):
                writer.write(data)
        writer.close()

    def reset(self) -> None:
        """Reset all connections that came this way, on both sides."""
        self._record.write(f"the network resets {len(self._writers) // 2} connection from viewers")
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self._writers.clear()

    def close(self) -> None:
        """Accept no new connection."""
        if self._server is not None:
            self._server.close()


# ---- The coordinator ---------------------------------------------------------------------------------------
def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """Return a frame of the coordinator."""
    return (9 + len(payload)).to_bytes(4, "big") + number.to_bytes(8, "big") + bytes([kind]) + payload


class Coordinator:
    """Tells every event after the number asked for, and an empty frame at once and then each second.

    `late_s`: the way to the directors takes so long; what it writes arrives in order and complete.
    """

    def __init__(self, record: Record, late_s: float = 0.0) -> None:
        self._record, self.late_s = record, late_s
        self.last = 1
        self._events: list[tuple[int, bytes]] = []
        self._writers: dict[int, asyncio.StreamWriter] = {}
        self._connections = 0
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> Coordinator:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        number, began = self._connections, time.time()
        beats: asyncio.Task[None] | None = None
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            asked = int.from_bytes(await reader.readexactly(8), "big")
            self._record.write(f"coordinator: connection {number} asks for events after {asked}")
            for index, data in self._events:
                if index > asked:
                    self._write(writer, data)
            self._writers[number] = writer
            beats = asyncio.get_running_loop().create_task(self._empty_frames(writer))
            await reader.read()
        if beats is not None:
            beats.cancel()
        self._writers.pop(number, None)
        kept = time.time() - began
        self._record.write(f"coordinator: connection {number} closed by the director after {kept:.3f} s")
        writer.close()

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        def deliver() -> None:
            if not writer.is_closing():
                writer.write(data)

        if self.late_s:
            asyncio.get_running_loop().call_later(self.late_s, deliver)
        else:
            deliver()

    async def _empty_frames(self, writer: asyncio.StreamWriter) -> None:
        while True:
            self._write(writer, frame(self.last, 0))
            await asyncio.sleep(1.0)

    def tell(self, records: bytes, kind: int = 2) -> float:
        """A new event: to all who are connected, and to all who ask later. Returns its time."""
        self.last += 1
        data = frame(self.last, kind, records)
        self._events.append((self.last, data))
        self._record.write(f"coordinator holds event {self.last}")
        for writer in list(self._writers.values()):
            self._write(writer, data)
        return time.time()

    def close(self) -> None:
        """Accept no new connection."""
        if self._server is not None:
            self._server.close()


# ---- Running a case ----------------------------------------------------------------------------------------
def play(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Play the case within 110 s, write the verdict, and exit with it."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the director is ended too
    record.write("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    try:
        verdict = asyncio.run(asyncio.wait_for(case(record), 110))
    except (NotRunError, TimeoutError, OSError, KeyboardInterrupt) as error:
        record.raw(f"NOT RUN: {type(error).__name__} {error}")
        verdict = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "the case could not run"}
    record.raw(f"verdict: {words[verdict]}")
    print(f"case {folder.name}: {words[verdict]}")
    sys.exit(verdict)
