"""Control servers and directors as real processes, with a proxy on each link that can cut it."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop
from joserfc.jwk import KeySet, OctKey
from samples import SOURCE
from sockets import CONFIG, KEY, Reply, ask

from foxlift.rehearsal.processes import Child
from foxlift.standins.fleet import BoxPlan, Fleet, FleetPlan
from foxlift.standins.link_direction import LinkConditions, LinkState
from foxlift.standins.tap import Recorder, Tap
from foxlift.tokens import Issuer, SessionToken

MEMBERS = ("c0", "c1", "c2")
RELAYS = ("r0", "r1")
DIRECTORS = ("d0", "d1")
CUT = LinkConditions(LinkState.CUT)
NO_TARGET = 0
"""The target of a tap whose process has ended: its port may belong to another process by now."""


@dataclass
class ControlledFleet:
    """The processes of a test. `links`: from a process to a control server."""

    folder: Path
    loop: asyncio.AbstractEventLoop
    fleet: Fleet
    issuer: Issuer
    links: dict[tuple[str, str], Tap]
    recorder: Recorder
    processes: dict[str, Child] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)

    async def start(self, *names: str) -> None:
        """Start processes and wait until they listen."""

        async def one(name: str) -> None:
            ready = await self.processes[name].start()
            self.ports[name] = int(ready["port"])
            for (_, to), tap in self.links.items():
                if to == name:
                    tap.target = self.ports[name]

        await asyncio.gather(*map(one, names))

    async def kill(self, *names: str) -> None:
        """Kill processes with SIGKILL and wait until they have ended."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            process = self.processes[name].process
            assert process is not None
            await process.wait()
            for (_, to), tap in self.links.items():
                if to == name:
                    tap.target = NO_TARGET

    async def until(self, condition: Callable[[], Awaitable[object]], seconds: float = 20.0) -> None:
        """Poll until the condition holds; fails after `seconds`."""
        end = self.loop.time() + seconds
        while not await condition():
            assert self.loop.time() < end, f"condition not met within {seconds} s"
            await asyncio.sleep(0.05)

    def cut(self, a: str, b: str) -> None:
        """Cut the links between two processes."""
        for pair in ((a, b), (b, a)):
            if pair in self.links:
                self.links[pair].change(CUT, CUT)

    def restore_links(self) -> None:
        """Restore all links."""
        for tap in self.links.values():
            tap.mend()

    def log(self, name: str) -> list[dict[str, Any]]:
        """The log lines of a process."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def log_lines(self, name: str, event: str) -> list[dict[str, Any]]:
        """The log lines of a process with one event."""
        return [line for line in self.log(name) if line.get("event") == event]

    async def foxlift(self, *arguments: str) -> tuple[int, str, str]:
        """Run the command line; returns exit code, standard output and standard error."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "foxlift.cli.main",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=self.folder,
        )
        out, errors = await process.communicate()
        assert process.returncode is not None
        return process.returncode, out.decode(), errors.decode()

    async def put(self, change: dict[str, Any], member: str = "c0", **options: str) -> tuple[int, str, str]:
        """Request a change at a member."""
        (self.folder / "change.json").write_text(json.dumps(change))
        arguments = [part for name, value in options.items() for part in (f"--{name}", value)]
        return await self.foxlift("configuration", "put", "change.json", "--at", self.url(member), *arguments)

    def url(self, name: str) -> str:
        """The URL of a process."""
        return f"http://127.0.0.1:{self.ports[name]}"

    async def status(self, name: str) -> dict[str, Any]:
        """A control server's status."""
        reply = await ask(self.ports[name], "/config/status")
        assert reply.status == 200
        return dict(json.loads(reply.body))

    async def manifest(self, name: str, title: str, claim: str) -> Reply:
        """Request a title's manifest from a director."""
        token = self.issuer.issue(
            SessionToken(claim, "viewer", title, "briefing", "t", int(time.time()) + 3600)
        )
        return await ask(self.ports[name], f"/dash/{title}/manifest.mpd?token={token}")

    async def offers(self, title: str, *names: str) -> bool:
        """Whether all these directors offer a title."""
        replies = [await self.manifest(n, title, f"{title}-{n}-{self.loop.time()}") for n in names]
        return all(reply.status == 200 for reply in replies)


def titles(*names: str, manifest: str = "t1.mpd") -> dict[str, Any]:
    """A change file that sets titles."""
    return {f"titles/{name}": {"first-cell": 0, "holders": 2, "manifest": manifest} for name in names}


def run(folder: Path, test: Callable[[ControlledFleet], Awaitable[None]]) -> None:
    """Run a test with three members, two relays, two directors and two stand-in servers."""

    async def main() -> None:
        world = await _make(folder)
        try:
            await world.start(*MEMBERS, *RELAYS)
            await world.start(*DIRECTORS)
            await test(world)
        finally:
            await _end(world)
        for name in world.processes:
            assert "Traceback" not in (folder / f"{name}.log").read_text()
            assert not world.log_lines(name, "exception")

    uvloop.run(main())


async def _make(folder: Path) -> ControlledFleet:
    loop = asyncio.get_running_loop()
    (folder / "keys.json").write_text(json.dumps({"keys": [KEY]}))
    (folder / "t1.mpd").write_text(SOURCE)
    (folder / "catalogue.sexp").write_text(
        '(catalogue (version 1) (titles (title (name "t1") (first-cell 0) (holders 2) (manifest "t1.mpd"))))'
    )
    recorder = Recorder(folder / "taps.bin", loop)
    links: dict[tuple[str, str], Tap] = {}
    for name in (*MEMBERS, *RELAYS, *DIRECTORS):
        for to in RELAYS if name in DIRECTORS else MEMBERS:
            if name != to:
                links[name, to] = Tap(f"link:{name}:{to}", recorder, loop)
                await links[name, to].listen()
    plan = FleetPlan(
        boxes=tuple(BoxPlan(f"b{k}", "east", "std", k, f"r{k}", 200, 700000.0) for k in range(2)),
        uplink_kb=1200000.0,
        set_up_ms=5.0,
        told_late_ms=50.0,
        idle_s=60.0,
    )
    fleet = Fleet(plan, loop)
    await fleet.start()
    issuer = Issuer(KeySet([OctKey.import_key(KEY)]), "i", "foxlift")  # type: ignore[arg-type]
    world = ControlledFleet(folder, loop, fleet, issuer, links, recorder)
    for name in (*MEMBERS, *RELAYS):
        _write_control(world, name)
    for number, name in enumerate(DIRECTORS):
        _write_director(world, number, name)
    return world


async def _end(world: ControlledFleet) -> None:
    for child in world.processes.values():
        child.stop_running(False)
        child.kill()
    for child in world.processes.values():
        if child.process is not None:
            await child.process.wait()
    await world.fleet.stop()
    for tap in world.links.values():
        tap.close()
    await asyncio.sleep(0.02)
    world.recorder.close()


def _write_control(world: ControlledFleet, name: str) -> None:
    members = " ".join(
        f'(member (name {member}) (url "http://127.0.0.1:{_port(world, name, member)}"))'
        for member in MEMBERS
    )
    text = (
        f'(control (name {name}) (zone east) (state "state-{name}") (members {members})'
        ' (relays "r?") (directors "d*"))'
    )
    (world.folder / f"{name}.sexp").write_text(text)
    world.processes[name] = Child(name, world.folder, "control", "--log-format", "json", f"{name}.sexp")


def _port(world: ControlledFleet, name: str, to: str) -> int:
    return 1 if name == to else world.links[name, to].port  # a process does not call itself


def _write_director(world: ControlledFleet, number: int, name: str) -> None:
    relays = " ".join(
        f'(relay (name {relay}) (url "http://127.0.0.1:{world.links[name, relay].port}"))' for relay in RELAYS
    )
    text = CONFIG.format(
        name=name,
        state=world.folder / f"state-{name}",
        keys=world.folder / "keys.json",
        folder=world.folder,
        list_port=world.fleet.list_port,
    ).rstrip()
    text = text.replace("(number 0) (directors 1)", f"(number {number}) (directors {len(DIRECTORS)})")
    for old, new in (
        ("(link-kb-per-weight 7000)", "(link-kb-per-weight 700000)"),
        ("(uplink-kb 12000)", "(uplink-kb 1200000)"),
        ("(kind-slots 30)", "(kind-slots 200)"),
        ("(warm-up-ms 2000)", "(warm-up-ms 0)"),
        ("(lost-after-ms 400)", "(lost-after-ms 4000)"),
    ):
        assert old in text
        text = text.replace(old, new)
    text = f"{text[:-1]} (configuration (relays {relays})))\n"
    (world.folder / f"{name}.sexp").write_text(text)
    world.processes[name] = Child(name, world.folder, "serve", "--log-format", "json", f"{name}.sexp")
