"""Runs a rehearsal day: each director and the fleet in a process of its own, taps and players in this one."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from foxlift.rehearsal import files
from foxlift.rehearsal.billing import Billing, check_exports, compare_ledgers
from foxlift.rehearsal.crowd import draw_viewers
from foxlift.rehearsal.faults import conditions_of
from foxlift.rehearsal.plans import Plans, read_plans
from foxlift.rehearsal.processes import Child, ChildError
from foxlift.rehearsal.scenario import LINK_FAULTS, Scenario, Step
from foxlift.standins.checker import Checker, Verdict
from foxlift.standins.link_direction import LinkConditions, LinkState
from foxlift.standins.player import Player
from foxlift.standins.tap import Recorder, Tap
from foxlift.standins.viewer import Viewer, ViewingRecord
from foxlift.tokens import Issuer, SessionToken

LOST = LinkConditions(LinkState.CUT)
WAIT_TIMEOUT_S = 12.0  # for membership before the day, and for sessions still playing after it

Progress = Callable[[float, str], None]


@dataclass
class DayResult:
    """The result of a day."""

    scenario: Scenario
    seed: int
    verdict: Verdict
    watched: list[ViewingRecord] = field(default_factory=list)
    billing: Billing = field(default_factory=Billing)
    fallen: list[str] = field(default_factory=list)
    exits: dict[str, int] = field(default_factory=dict)
    plans: Plans | None = None
    rolled: dict[str, int] = field(default_factory=dict)  # exit codes in a rolling restart
    seconds: float = 0.0

    @property
    def kept(self) -> bool:
        """Whether every rule was kept, the ledgers agree with the taps and every process exited with 0."""
        agree = not self.billing.differences
        ended = not any(self.exits.values()) and not any(self.rolled.values())
        return not self.verdict.broken and agree and ended and not (self.plans and self.plans.differing)

    @property
    def stalled_s(self) -> float:
        """Sum of all players' stalls, s."""
        return sum(watching.stalled_s for watching in self.watched)


class _Day:
    def __init__(self, scenario: Scenario, seed: int, folder: Path, progress: Progress) -> None:
        self.scenario, self.seed, self.folder, self.progress = scenario, seed, folder, progress
        self.loop = asyncio.get_running_loop()
        self.recorder = Recorder(folder / "taps.bin", self.loop)
        self.chance = random.Random(f"players {seed}")
        self.directors: list[Child] = []
        self.taps: list[Tap] = []
        self.front_taps: list[Tap] = []
        self.links: dict[tuple[str, str], Tap] = {}  # by director and server, list or other director
        self.tasks: set[asyncio.Task[None]] = set()
        self.watched: list[ViewingRecord] = []
        self.control = 0
        self.result = DayResult(scenario, seed, Verdict())

    def _tap(self, name: str, link: tuple[str, str] | None = None) -> Tap:
        conditions = LinkConditions()
        if link and self.scenario.far_s and files.ends_apart(self.scenario, *link):
            conditions = LinkConditions(delay_s=self.scenario.far_s)
        is_affected = _is_control if link and not link[1].startswith("d") else _is_any
        tap = Tap(name, self.recorder, self.loop, is_affected, conditions)
        self.taps.append(tap)
        if link:
            self.links[link] = tap
        return tap

    async def prepare(self) -> None:
        scenario = self.scenario
        keys = files.make_keys(self.folder)
        self.issuer = Issuer(keys, files.ISSUER, files.AUDIENCE)
        files.make_catalogue(self.folder / "catalogue", scenario)
        announce: list[dict[str, int]] = []
        for k in range(scenario.boxes):  # a tap for each director and box
            taps = {f"d{d}": self._tap(f"box:b{k}", (f"d{d}", f"b{k}")) for d in range(scenario.directors)}
            announce.append({name: await tap.listen() for name, tap in taps.items()})
        plan = files.fleet_plan(scenario, announce, self.seed)
        (self.folder / "fleet.json").write_bytes(msgspec.json.encode(plan))
        self.fleet = Child("fleet", self.folder, "standin", "fleet", "fleet.json")
        ready = await self.fleet.start()
        self.control = int(ready["control"])
        for (_, box), tap in self.links.items():
            tap.target = int(ready["boxes"][box])
        peers = {f"d{k}": await self._peer_ports(f"d{k}") for k in range(scenario.directors)}
        for k in range(scenario.directors):
            list_tap, front_tap = self._tap(f"list:d{k}", (f"d{k}", "list")), self._tap(f"director:d{k}")
            list_tap.target = int(ready["list"])
            list_port, front_port = await list_tap.listen(), await front_tap.listen()
            url = f"http://127.0.0.1:{front_port}"
            text = files.director_settings(scenario, k, list_port, url, self.seed, peers[f"d{k}"])
            (self.folder / f"d{k}.sexp").write_text(text)
            self.front_taps.append(front_tap)
            ahead = files.clock_ahead_s(scenario, k, self.seed)
            clock = ("--clock-ahead-s", str(ahead)) if ahead else ()
            arguments = ("serve", "--log-format", "json", *clock, f"d{k}.sexp")
            self.directors.append(Child(f"d{k}", self.folder, *arguments))
        await asyncio.gather(*(self._start_director(k) for k in range(scenario.directors)))
        if scenario.takeover:
            await asyncio.gather(*map(self._knows_all, self.directors))

    async def _peer_ports(self, name: str) -> dict[str, int]:
        """Listen on a tap for each other director; returns the ports by name."""
        others = [f"d{k}" for k in range(self.scenario.directors) if f"d{k}" != name]
        if not self.scenario.takeover:
            return {}
        return {other: await self._tap(f"peer:{other}", (name, other)).listen() for other in others}

    async def _start_director(self, k: int) -> None:
        ready = await self.directors[k].start()
        self.front_taps[k].target = int(ready["port"])
        for (_, end), tap in self.links.items():
            if end == f"d{k}":
                tap.target = int(ready["peers"])

    async def _knows_all(self, child: Child) -> None:
        """Wait until the director counts all others as alive."""
        wanted = {f"d{k}" for k in range(self.scenario.directors)} - {child.name}
        end = self.loop.time() + WAIT_TIMEOUT_S
        while self.loop.time() < end:
            lines = (self.folder / f"{child.name}.log").read_text().splitlines()
            found = [json.loads(line) for line in lines if '"event": "peer"' in line]
            if {line["peer"] for line in found if line["state"] == "alive"} >= wanted:
                return
            await asyncio.sleep(0.05)
        raise ChildError(f"{child.name} has not heard from all others")

    # ---- The script ---------------------------------------------------------------------------------------
    async def _step(self, step: Step) -> None:
        self.progress(step.at_s, f"{step.do} {step.on}".strip())
        await self._do(step, step.value)
        if step.for_s and step.do not in ("crowd", "kill-random"):
            await asyncio.sleep(step.for_s)
            self.progress(step.at_s + step.for_s, f"{step.do} {step.on} over")
            await self._undo(step)

    async def _do(self, step: Step, value: float) -> None:
        number = int(step.on[1:]) if step.on[1:].isdigit() else 0
        match step.do:
            case "crowd":
                return
            case "kill-random":
                await self._kill_at_random(step)
            case "kill":
                self.recorder.mark("kill", director=step.on)
                self.directors[number].kill()
            case "restart":
                self.recorder.mark("restart", director=step.on)
                await self._start_director(number)
            case "roll":
                await self._roll()
            case "cut-zone":
                self.recorder.mark(step.do, zone=step.on)
                for tap in self._across(step.on):
                    tap.change(LOST, LOST)
            case "lose-zone":
                await self._lose_zone(step.on, True)
            case "order-zone":
                await self._order_zone(step.on, "empty")
            case "stall":
                self.recorder.mark("stall", director=step.on, on=bool(value))
                self.directors[number].stop_running(bool(value))
            case "cut" | "hold" | "delay" | "slow" | "break" | "reset" | "refuse":
                await self._on_links(step)
            case "hang" | "answer-slowly" | "drain" | "list-down":
                await self._command(step, bool(value))
            case _:
                await self._command(step, value)

    async def _kill_at_random(self, step: Step) -> None:
        """Kill directors at times drawn from the seed; each is started again after 0.5 to 1.5 s."""
        chance = random.Random(f"kills {self.seed}")
        moments = sorted(chance.uniform(0, step.for_s) for _ in range(int(step.value)))
        begin = self.loop.time()
        for moment in moments:
            await asyncio.sleep(max(begin + moment - self.loop.time(), 0))
            number = chance.randrange(self.scenario.directors)
            self.progress(step.at_s + moment, f"kill d{number}")
            self.recorder.mark("kill", director=f"d{number}")
            self.directors[number].kill()
            await asyncio.sleep(chance.uniform(0.5, 1.5))
            self.recorder.mark("restart", director=f"d{number}")
            await self._start_director(number)

    async def _roll(self) -> None:
        """Rolling restart: stop each running director with SIGTERM and start it again, one after another."""
        for k, child in enumerate(self.directors):
            if child.process is None or child.process.returncode is not None:
                continue
            self.recorder.mark("stop", director=child.name)
            self.result.rolled[child.name] = await child.end()
            self.recorder.mark("restart", director=child.name)
            await self._start_director(k)

    def _across(self, zone: str) -> list[Tap]:
        """The taps between a zone and the rest; the list is in every zone."""
        inside = {
            name: files.zone_of_end(self.scenario, name) == zone
            for pair in self.links
            for name in pair
            if name != "list"
        }
        return [tap for (one, end), tap in self.links.items() if end != "list" and inside[one] != inside[end]]

    async def _lose_zone(self, zone: str, lost: bool) -> None:
        """End all boxes and directors of a zone at once, or start them again; the boxes are then cold."""
        for k in range(self.scenario.boxes):
            if files.zone_of_end(self.scenario, f"b{k}") == zone:
                await self._do(Step(0.0, "die" if lost else "return", f"b{k}"), 1.0)
        there = [k for k in range(self.scenario.directors) if files.zone_of(self.scenario, k) == zone]
        steps = [Step(0.0, "kill" if lost else "restart", f"d{k}") for k in there]
        await asyncio.gather(*(self._do(step, 1.0) for step in steps))

    async def _order_zone(self, zone: str, order: str) -> None:
        """Send an operator's order to the first director that has a peers' listener."""
        self.recorder.mark("order-zone", zone=zone, order=order)
        port = next(tap.target for (_, end), tap in self.links.items() if end.startswith("d") and tap.target)
        await self._post(json.dumps({"zone": zone, "order": order}).encode(), port, "/peers/order")

    def _taps_of(self, step: Step) -> list[Tap]:
        link = self.scenario.link(step)
        pairs = [(director, end) for director in link.directors for end in link.ends if director != end]
        return [self.links[pair] for pair in pairs]

    async def _on_links(self, step: Step) -> None:
        """Apply a fault to a link; it replaces an earlier one there."""
        self.recorder.mark(step.do, link=step.on, value=step.value)
        link, conditions = self.scenario.link(step), conditions_of(step)
        for tap in self._taps_of(step):
            if step.do == "reset":
                tap.reset()
            elif step.do == "refuse":
                tap.refuse()
            else:
                tap.change(conditions if link.up else None, conditions if link.down else None)

    async def _undo(self, step: Step) -> None:
        if step.do in LINK_FAULTS:
            self.recorder.mark(f"{step.do} over", link=step.on)
            for tap in self._taps_of(step):
                if step.do == "refuse":
                    await tap.listen()
                tap.mend()
            return
        if step.do == "cut-zone":
            self.recorder.mark("cut-zone over", zone=step.on)
            for tap in self._across(step.on):
                tap.mend()
            return
        if step.do == "lose-zone":
            await self._lose_zone(step.on, False)
            return
        if step.do == "order-zone":
            await self._order_zone(step.on, "return")
            return
        back = {"kill": "restart", "die": "return"}.get(step.do)
        if back is not None:
            await self._do(msgspec.structs.replace(step, do=back), step.value)
            return
        rest = {"weaken": 1.0, "weaken-rack": 1.0}.get(step.do, 0.0)
        await self._do(step, rest)

    async def _command(self, step: Step, value: float | bool) -> None:
        names = [f"b{k}" for k in range(self.scenario.boxes)] if step.on == "boxes" else [step.on]
        for name in names:
            self.recorder.mark(step.do, box=name, value=value)
            body = json.dumps({"do": step.do, "box": name, "value": value}).encode()
            await self._post(body)

    async def _post(self, body: bytes, port: int = 0, path: str = "/") -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.control)
        head = f"POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        answer = await reader.read()
        writer.close()
        if not answer.startswith(b"HTTP/1.1 204"):
            raise RuntimeError(f"{body!r} was not taken: {answer[:200]!r}")

    async def _state(self) -> dict[str, object]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return dict(json.loads(answer.partition(b"\r\n\r\n")[2]))

    # ---- Players ------------------------------------------------------------------------------------------
    def _new_token(self, viewer: Viewer, bought: int) -> tuple[str, str]:
        claim = f"{viewer.name}.{bought}"
        token = SessionToken(
            id=claim,
            viewer=viewer.name,
            title=viewer.title,
            klass=viewer.klass,
            tenant=viewer.tenant,
            expires=int(time.time()) + 3600,
            best_rung=viewer.best,
            length_s=viewer.length_s,
        )
        return claim, self.issuer.issue(token)

    async def _watch(self, viewer: Viewer, first: int) -> None:
        await asyncio.sleep(viewer.at_s)
        ports = [tap.port for tap in self.front_taps]
        player = Player(
            viewer, ports, first, self._new_token, self.chance.random, keeps_token=self.scenario.faithful
        )
        self.watched.append(player.record)
        await player.run()

    async def run(self) -> None:
        viewers = draw_viewers(self.scenario, self.seed)
        self.progress(0.0, f"{len(viewers)} viewers, {self.scenario.directors} directors")
        players = [self.loop.create_task(self._watch(viewer, first)) for viewer, first in viewers]
        steps = [self.loop.create_task(self._timed(step)) for step in self.scenario.steps]
        await asyncio.sleep(self.scenario.seconds)
        self.progress(self.scenario.seconds, "the last sessions play out")
        await asyncio.wait(players, timeout=WAIT_TIMEOUT_S)
        for task in (*players, *steps):
            task.cancel()
        for outcome in await asyncio.gather(*players, *steps, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    async def _timed(self, step: Step) -> None:
        await asyncio.sleep(step.at_s)
        await self._step(step)

    async def finish(self) -> None:
        fallen = (await self._state())["fallen"]
        assert isinstance(fallen, list)
        for name in fallen:
            self.recorder.mark("fallen", box=name)
        self.result.fallen = fallen
        for child in self.directors:
            self.result.exits[child.name] = await child.end()
        self.result.exits["fleet"] = await self.fleet.end()

    def close(self) -> None:
        for child in (*self.directors, *([self.fleet] if hasattr(self, "fleet") else [])):
            child.stop_running(False)
            child.kill()
        for tap in self.taps:
            tap.close()
        self.recorder.close()


def _is_control(first: bytes) -> bool:
    """Whether a connection's first bytes are sent by a director rather than a viewer."""
    target = first.split(b" ", 2)[1:2]
    return not target or target[0].startswith((b"/sessions", b"/notices", b"/v3/"))


def _is_any(first: bytes) -> bool:
    return True


async def run_day(scenario: Scenario, seed: int, folder: Path, progress: Progress) -> DayResult:
    """Run a day in `folder`, which then holds settings, logs and `taps.bin`.

    Raises ChildError where a process does not start, and RuntimeError where a stand-in does not obey.
    """
    folder.mkdir(parents=True, exist_ok=True)
    start = time.monotonic()
    day = _Day(scenario, seed, folder, progress)
    try:
        await day.prepare()
        await day.run()
        await day.finish()
    finally:
        day.close()
    progress(scenario.seconds, "judging what the taps wrote down")
    if scenario.makers:
        day.result.plans = read_plans([folder / f"d{k}.log" for k in range(scenario.directors)])
    states = [folder / f"state-d{k}" for k in range(scenario.directors)]

    def judge() -> tuple[Verdict, Billing]:
        checker = Checker(folder / "taps.bin", files.terms_of(scenario))
        billing = compare_ledgers(checker, states)
        if scenario.exports:
            check_exports(billing, [(state, folder / f"export-{state.name[6:]}") for state in states])
        return checker.judge(), billing

    day.result.verdict, day.result.billing = await asyncio.to_thread(judge)
    day.result.watched = day.watched
    day.result.seconds = time.monotonic() - start
    return day.result
