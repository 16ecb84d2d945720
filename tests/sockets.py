"""A small fleet, a director and a player's few requests, all on one loop, for tests on sockets."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import uvloop
from joserfc.jwk import KeySet, OctKey
from samples import SOURCE

from foxlift import interface as fl
from foxlift.config import DirectorConfig, bind, read_forms
from foxlift.director.daemon import Daemon
from foxlift.logic import Director
from foxlift.standins.fleet import BoxPlan, Fleet, FleetPlan
from foxlift.standins.tap import Recorder, Tap
from foxlift.store import FilePort
from foxlift.tokens import Issuer, SessionToken

KEY = {"kty": "oct", "kid": "one", "k": "YS1rZXktZm9yLXRlc3RzLXRoYXQtaXMtMzItYnl0ZXM"}
CONFIG = """
(director (name "{name}") (number 0) (directors 1) (zone east) (state "{state}")
  (fleet (ladder-kb 150 450 1100) (ladder-worth 0.25 0.6 1.0)
    (classes
      (class (name "graded") (repeat once) (wanted-ms 1500) (deadline-ms 3000) (worth 3) (top 2))
      (class (name "briefing") (repeat free) (wanted-ms 1000) (deadline-ms 5000) (worth 1) (top 2)))
    (cells 4) (racks 2) (zones east west) (kinds std) (kind-slots 30) (link-kb-per-weight 7000)
    (uplink-kb 12000) (warm-up-ms 2000) (come-back-max-ms 500) (note-late-ms 100)
    (tenants (tenant (name "t"))))
  (front (port 0) (update-period-s 1)) (tokens (keys "{keys}") (issuer "i") (audience "foxlift"))
  (catalogue (folder "{folder}"))
  (box-list (url "http://127.0.0.1:{list_port}/v3/discovery:endpoints") (poll-ms 5000) (retry-ms 50))
  (boxes (lost-after-ms 400) (notice-retry-ms 50) (release-retry-ms 50)))
"""


@dataclass
class Reply:
    """A response as received."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class World:
    """The running processes of a test, with helpers to use them."""

    folder: Path
    loop: asyncio.AbstractEventLoop
    fleet: Fleet
    director: Daemon
    port: int
    issuer: Issuer
    trace: list[tuple[fl.Event, list[fl.Action]]] = field(default_factory=list)
    extra: list[Daemon] = field(default_factory=list)
    recorder: Recorder | None = None

    def token(self, claim: str, klass: str = "briefing", title: str = "t1", **more: Any) -> str:
        made = SessionToken(claim, "viewer-" + claim, title, klass, "t", 2_000_000_000)
        for key, value in more.items():
            object.__setattr__(made, key, value)
        return self.issuer.issue(made)

    async def manifest(self, token: str, title: str = "t1", port: int | None = None) -> Reply:
        return await ask(port or self.port, f"/dash/{title}/manifest.mpd?token={token}")

    async def until(self, condition: Callable[[], object], seconds: float = 5.0) -> None:
        """Wait until `condition` returns a true value."""
        end = self.loop.time() + seconds
        while not condition():
            assert self.loop.time() < end, f"not true within {seconds} s"
            await asyncio.sleep(0.01)

    def module_events(self, kind: type) -> list[Any]:
        return [event for event, _ in self.trace if isinstance(event, kind)]

    def set_ups(self, claim: str) -> int:
        return sum(box.set_ups_by_claim.get(claim, 0) for box in self.fleet.boxes.values())

    def sessions(self) -> list[str]:
        return [set_up for box in self.fleet.boxes.values() for set_up in box.model.sessions]

    def kill(self) -> None:
        """End the director as kill -9 does: it writes and sends nothing more."""
        self.director.feed = lambda event: None  # type: ignore[method-assign]
        server = self.director.server
        if server._server is not None:
            server._server.close()
        for connection in list(server.connections):
            connection.abort()
        self.director.close()

    def new_director(self, name: str = "d0", files: FilePort | None = None) -> Daemon:
        """A new process of a director, as after a kill: it has only the state folder of the old one."""
        config = settings(self.folder, self.fleet.list_port, name)
        made = Daemon(
            config,
            self.loop,
            files=files,
            trace=lambda _, event, actions: self.trace.append((event, actions)),
        )
        self.extra.append(made)
        return made


def settings(folder: Path, list_port: int, name: str = "d0", edit: str = "") -> DirectorConfig:
    text = CONFIG.format(
        name=name,
        state=folder / f"state-{name}",
        keys=folder / "keys.json",
        folder=folder,
        list_port=list_port,
    )
    for pair in filter(None, edit.split("\n")):
        old, _, new = pair.partition(" => ")
        assert old in text, old
        text = text.replace(old, new)
    return bind(read_forms(text, "test.sexp"), DirectorConfig, "director")


async def ask(port: int, target: str, method: str = "GET", headers: str = "", body: bytes = b"") -> Reply:
    """Send one request on a new connection; the response is parsed by test code only."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    length = f"content-length: {len(body)}\r\n" if body else ""
    head = f"{method} {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}{length}\r\n"
    writer.write(head.encode() + body)
    data = await reader.read()
    writer.close()
    return parse(data)


def parse(data: bytes) -> Reply:
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
    return Reply(int(lines[0].split(" ")[1]) if head else 0, headers, body)


def base_of(reply: Reply) -> tuple[int, str]:
    """Port and path of the session's BaseURL."""
    found = re.search(rb"<BaseURL[^>]*>http://127\.0\.0\.1:(\d+)([^<]+)</BaseURL>", reply.body)
    assert found is not None
    return int(found[1]), found[2].decode()


def run(
    folder: Path,
    test: Callable[[World], Awaitable[None]],
    *,
    boxes: int = 4,
    edit: str = "",
    plan: dict[str, Any] | None = None,
    make: Callable[[fl.Settings, int], Director] = Director,
    files: FilePort | None = None,
    titles: tuple[tuple[str, int, int], ...] = (("t1", 0, 4), ("t2", 0, 2)),
    taps: bool = False,
) -> None:
    """Run a test with its own fleet and director."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        (folder / "keys.json").write_text(json.dumps({"keys": [KEY]}))
        (folder / "t1.mpd").write_text(SOURCE)
        entries = " ".join(
            f'(title (name "{n}") (first-cell {c}) (holders {h}) (manifest "t1.mpd"))' for n, c, h in titles
        )
        (folder / "catalogue.sexp").write_text(f"(catalogue (version 1) (titles {entries}))")
        made = FleetPlan(
            boxes=tuple(
                BoxPlan(f"b{k}", "east", "std", k % 4, f"r{k % 2}", 30, 7000.0) for k in range(boxes)
            ),
            uplink_kb=12000.0,
            cold_multiple=2.0,
            cold_window_ms=1000.0,
            warm_up_ms=2000.0,
            set_up_ms=10.0,
            notice_ms=20.0,
            silent_notice_ms=100.0,
            told_late_ms=100.0,
            tell_every_ms=300.0,
            segment_s=0.2,
        )
        recorder = Recorder(folder / "taps.bin", loop)
        box_taps = [Tap(f"box:b{k}", recorder, loop) for k in range(boxes)] if taps else []
        if taps:
            ports = [await tap.listen() for tap in box_taps]
            announced = tuple(
                msgspec.structs.replace(box, announce=port)
                for box, port in zip(made.boxes, ports, strict=True)
            )
            made = msgspec.structs.replace(made, boxes=announced)
        fleet = Fleet(msgspec.structs.replace(made, **(plan or {})), loop)
        await fleet.start()
        list_port = fleet.list_port
        for k, tap in enumerate(box_taps):
            tap.target = fleet.boxes[f"b{k}"].port
        if taps:
            list_tap, front_tap = Tap("list:d0", recorder, loop), Tap("director:d0", recorder, loop)
            list_tap.target, list_port = fleet.list_port, await list_tap.listen()
            box_taps += [list_tap, front_tap]
        trace: list[tuple[fl.Event, list[fl.Action]]] = []
        director = Daemon(
            settings(folder, list_port, edit=edit),
            loop,
            trace=lambda _, event, actions: trace.append((event, actions)),
            make_module=make,
            files=files,
        )
        port = await director.start()
        if taps:
            front_tap.target, port = port, await front_tap.listen()
        issuer = Issuer(KeySet([OctKey.import_key(KEY)]), "i", "foxlift")  # type: ignore[arg-type]
        world = World(folder, loop, fleet, director, port, issuer, trace, recorder=recorder)
        try:
            await world.until(lambda: len(director.core.boxes) == boxes)
            await test(world)
        finally:
            for daemon in (director, *world.extra):
                await daemon.stop(0.0)
            await fleet.stop()
            for tap in box_taps:
                tap.close()
            await asyncio.sleep(0.02)
            recorder.close()

    uvloop.run(main())
