"""Stand-ins and process handling for the cases 6 to 10: viewers, media nodes, coordinator, one director.

Small programs of this review's own, on loopback addresses, written from the protocol page. A media node or a
viewer is sound unless its case tells it otherwise.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
Writer = asyncio.StreamWriter
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be carried out; nothing is said about the rule."""


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, case: Path) -> None:
        self._file = (case / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def settings(**more: Any) -> dict[str, Any]:
    """Settings of a small deployment; `group__name=value` replaces one."""
    made: dict[str, Any] = {
        "balancers": 1,
        "ordinal": 0,
        "zone": 0,
        "zones": ["east", "west"],
        "models": ["big"],
        "orgs": [{"name": "acme", "portion": 1.0, "quota_per_s": 50.0}],
        "categories": [
            {"name": "paid", "idempotency": "fragile", "aim_ms": 1500.0, "deadline_ms": 3000.0, "gain": 3.0},
            {
                "name": "free",
                "idempotency": "retryable",
                "aim_ms": 1000.0,
                "deadline_ms": 5000.0,
                "gain": 1.0,
            },
        ],
        "family_info": {
            "cells": 12,
            "racks": 2,
            "class_scale": [1.0, 0.7],
            "is_live": [False, False],
            "lowest_rung": [0, 0],
            "licence_cap": [0, 0],
            "top_by_class": [3, 3],
            "ladder_kb": [210.0, 440.0, 922.0, 1933.0],
            "ladder_worth": [0.24, 0.53, 0.77, 1.0],
            "kb_per_weight": 700000.0,
            "kind_slots": [400],
            "rack_link_kb": 2700000.0,
            "told_late_ms": 740.0,
            "reports_every_ms": 2750.0,
            "full_from": 0.0,
            "shared_adds": 1.0,
            "change_costs_s": 0.98,
            "stall_cost": 7.0,
        },
        "invariants": {
            "answer_slack_ms": 40.0,
            "ask_every_ms": 10000.0,
            "cold_from": 0.4,
            "ramp_time_ms": 12000.0,
            "fall_multiple": 2.5,
            "overload_for_ms": 1500.0,
            "stop_sending_within_ms": 1000.0,
        },
        "limits": {
            "connect_timeout_ms": 250.0,
            "keepalive_ms": 30000.0,
            "max_retry_after_ms": 500.0,
            "max_streams": 1048576,
            "may_cancel": True,
            "may_duplicate": False,
            "peer_messages": False,
            "probes": False,
            "retry_after": True,
            "try_limit": 5,
        },
        "discovery": "push",
        "telemetry": {"columns": ["x0"], "how": "inline"},
        "tick_ms": 10.0,
    }
    for path, value in more.items():
        group, _, name = path.partition("__")
        if name:
            made[group][name] = value
        else:
            made[group] = value
    return made


def member(number: int, address: str, cell: int = 0) -> dict[str, Any]:
    """A media node's entry in the configured list."""
    return {
        "id": f"s-{number:08x}",
        "host_port": address,
        "locality": "east",
        "flavor": "big",
        "cell": cell,
        "phase": "active",
        "size": 1.0,
        "up_since_ms": 0,
    }


def free_address() -> str:
    """A loopback address of this process alone, so that no outgoing connection takes its port meanwhile."""
    pid = os.getpid()
    host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


class DirectorProcess:
    """One director, started with the deploy file's `run`."""

    def __init__(self, record: Record, members: list[dict[str, Any]], coordinator: str, **more: Any) -> None:
        self.record, self.members = record, members
        self.sockets = more.pop("sockets", 256)
        self.more = more
        self.address = free_address()
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name) / "config.json"
        self._log = (Path(self._folder.name) / "log").open("w+b")
        self.write_config(coordinator)
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, coordinator: str) -> None:
        """Replace the configuration file as a whole."""
        data = {
            "name": "n0",
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "coordinator": coordinator,
            "known": {
                "index": 1,
                "updates": [
                    {"index": 1, "endpoints": {"revision": 1, "complete": True, "members": self.members}}
                ],
            },
            "settings": settings(**self.more),
        }
        beside = self._path.with_suffix(".new")
        beside.write_text(json.dumps(data))
        beside.replace(self._path)

    async def start(self) -> None:
        """Start it and wait until it passes a test."""
        limit = self.sockets

        def bound() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

        self.process = subprocess.Popen(
            ["/bin/sh", "-c", DEPLOY["run"]],
            cwd=ROOT,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(self._path),
                "BALANCER_NAME": "n0",
                "BALANCER_LISTEN": self.address,
            },
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            preexec_fn=bound,
        )
        self.record(f"director started at {self.address} with `run`, {limit} descriptors")
        for _ in range(200):
            if self.process.poll() is not None:
                break
            try:
                probe = await Client.connect(self.address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            probe.send({"verb": "ECHO", "tag": "00000000000000ec", "opts": {}, "rc": 0})
            answer = await probe.read(2)
            probe.close()
            if answer and answer.get("rc") == 1:
                self.record("director passed its test")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"the director did not become ready: {self.log()[-400:]}")

    def descriptors(self) -> int:
        """How many descriptors it holds."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def log(self) -> str:
        """What it has written to its log."""
        self._log.flush()
        return (Path(self._folder.name) / "log").read_text(errors="replace")

    def end(self) -> None:
        """End it, if it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            for line in self.log().splitlines()[-30:]:
                self.record(f"director's log: {line[:600]}")
        self._log.close()
        self._folder.cleanup()


def rtsp(first: str, tag: str, cseq: int, more: str = "", body: bytes = b"") -> bytes:
    """One RTSP message."""
    head = f"{first}\r\nCSeq: {cseq}\r\nSession: {tag}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class MediaNode:
    """A media node: answers set-ups, tests and releases; `on_setup` may do otherwise."""

    def __init__(self, record: Record, number: int) -> None:
        self.record, self.number = record, number
        self.name = f"s-{number:08x}"
        self.setups: list[tuple[float, str]] = []
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.on_setup: Callable[[str, dict[str, str], bytes, asyncio.StreamWriter], bool] | None = None
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self, address: str = "127.0.0.1:0") -> MediaNode:
        """Listen."""
        host, port = address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), backlog=512)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
                body = await reader.readexactly(int(headers["content-length"]))
                self._handle(first, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _handle(self, first: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> None:
        method, tag = first.split(" ")[0], headers["session"]
        if method == "OPTIONS":
            writer.write(rtsp("RTSP/1.0 200 OK", tag, 3))
        elif method == "SETUP":
            self.setups.append((time.time(), tag))
            self.record(f"{self.name} got SETUP {tag} {first.split(' ')[1]}")
            if self.on_setup is None or not self.on_setup(tag, headers, body, writer):
                self.answer(tag, body, writer)
        elif method == "TEARDOWN":
            self.record(f"{self.name} got TEARDOWN {tag} {headers.get('reason', '')}")
            self.standing.pop(tag, None)
            writer.write(rtsp("RTSP/1.0 200 OK", tag, 2))
        else:
            self.record(f"{self.name} got {method} {tag}")

    def answer(self, tag: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        """The good answer: the session stands."""
        self.standing[tag] = writer
        self.record(f"{self.name} answers 200 to {tag}: the session stands")
        writer.write(rtsp("RTSP/1.0 200 OK", tag, 1, "Link-State: x0:0.1\r\n", b"node\r\n" + body))

    def refuse(self, status: int, tag: str, writer: asyncio.StreamWriter) -> None:
        """An answer other than 200."""
        if not writer.is_closing():
            writer.write(rtsp(f"RTSP/1.0 {status} No", tag, 1))


class Coordinator:
    """Has nothing new to tell: an empty frame at once, and then each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> Coordinator:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            asked = int.from_bytes(await reader.readexactly(8), "big")
            self.record(f"coordinator is asked for what follows event {asked}")
            while not reader.at_eof():
                writer.write(frame(asked, 0))
                await writer.drain()
                try:
                    await asyncio.wait_for(reader.read(64), 1.0)
                except TimeoutError:
                    continue
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """One frame of the coordinator."""
    return (9 + len(payload)).to_bytes(4, "big") + number.to_bytes(8, "big") + bytes([kind]) + payload


def start_message(
    tag: str, klass: str = "free", title: str = "00000000000000aa", **more: str
) -> dict[str, Any]:
    """A viewer's set-up."""
    return {
        "verb": "START",
        "tag": tag,
        "opts": {
            "class": klass,
            "left": more.get("left", "3000"),
            "tenant": "acme",
            "key": title,
            "hint": "20000.0",
            "extras": more.get("extras", "home:0;copies:3;top:3;viewer:00000000b4d65521"),
        },
        "blob": f"{tag}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n",
    }


class Client:
    """One connection to the director."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.end = ""  # how the connection ended

    @classmethod
    async def connect(cls, address: str) -> Client:
        """Open one."""
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, message: dict[str, Any]) -> None:
        """Write one line."""
        self.writer.write(json.dumps(message).encode() + b"\n")

    async def read(self, within_s: float) -> dict[str, Any] | None:
        """The next message; None if none came in this time or the connection ended, see `end`."""
        try:
            line = await asyncio.wait_for(self.reader.readline(), within_s)
        except TimeoutError:
            return None
        except ConnectionError as error:
            self.end = self.end or type(error).__name__
            return None
        if not line:
            self.end = self.end or "end of stream"
            return None
        return json.loads(line)

    async def answer(self, tag: str, within_s: float) -> dict[str, Any] | None:
        """The next message on an id that is no progress."""
        until = time.monotonic() + within_s
        while (left := until - time.monotonic()) > 0:
            message = await self.read(left)
            if message is None:
                return None
            if message["tag"] == tag and message["verb"] not in ("PENDING", "FINISHED"):
                return message
        return None

    def close(self) -> None:
        """Close it."""
        self.writer.close()


def run_case(case: Path, body: Callable[[Record], Any], limit_s: float = 110) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    asyncio.run(_run(Record(case), body, limit_s))


async def _run(record: Record, body: Callable[[Record], Any], limit_s: float) -> None:
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    try:
        broken = await asyncio.wait_for(body(record), limit_s)
        verdict, status = (f"rule broken: {broken}", 1) if broken else ("rule held", 0)
    except CannotRunError as error:
        verdict, status = f"could not run: {error}", 2
    except Exception as error:  # a fault of the script, not of the program
        verdict, status = f"could not run: {type(error).__name__}: {error}", 2
    record(verdict)
    print(verdict, flush=True)
    # the body has ended the director; from here on nothing may wait for tasks that are still to be cancelled
    os._exit(status)
