"""Daemons and hollow directors in one fleet on loopback: do they send the same?

Every director's peers' listener stands behind a relay that counts by sender (`bench.scale.relay`). Daemons
are `foxlift serve` with a box list and media servers of the stand-ins; hollow directors share this process
and read the same settings. Plan makers are counted apart from the other members.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import os
import statistics
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path

import structlog
import uvloop

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "tests"))

from many import WIDE
from sockets import CONFIG, KEY

from bench.scale.figures import Figure, mean_figure
from bench.scale.hollow import HollowDirector
from bench.scale.relay import CountingRelay, TrafficCount
from foxlift.config import DirectorConfig, bind, read_forms
from foxlift.peers import PeerState
from foxlift.rehearsal.processes import Child
from foxlift.standins.fleet import BoxPlan, Fleet, FleetPlan
from foxlift.zones.evidence import ZoneObservation

ZONES = ("east", "west")
SERVERS = 4
NO_SIGHTS: dict[str, ZoneObservation] = {}
"""A daemon without viewers has met no media server lately, and reports none."""
REPORT_SIZE = "B"
QUANTITY_OF_UNIT = {"1/s": "messages", "B/s": "bytes", REPORT_SIZE: "bytes of one report"}
AGREEMENT = 0.10
"""Where hollow and real differ by more, the hollow one is wrong."""


@dataclass(frozen=True)
class ComparisonPlan:
    """How many of each kind, how many of each are plan makers, and how long each span is."""

    daemons: int = 6
    hollow: int = 18
    daemon_makers: int = 2
    hollow_makers: int = 3
    settle_s: float = 12.0
    quiet_s: float = 30.0
    change_s: float = 20.0
    period_ms: int = 500
    seed: int = 1


@dataclass(frozen=True)
class Comparison:
    """What the directors of one role sent in one span, by kind, each director's mean a second."""

    role: str
    when: str
    unit: str
    daemons: tuple[float, ...]
    hollow: tuple[float, ...]

    @property
    def difference(self) -> float:
        """Of the hollow ones' mean from the daemons', as a ratio of the daemons'."""
        return statistics.fmean(self.hollow) / statistics.fmean(self.daemons) - 1.0

    @property
    def error(self) -> float:
        """Standard error of the difference."""
        ends = (self.daemons, self.hollow)
        if any(len(values) < 2 for values in ends):
            return 0.0
        parts = [statistics.variance(v) / len(v) / statistics.fmean(v) ** 2 for v in ends]
        return math.sqrt(sum(parts))

    def figures(self) -> list[Figure]:
        """Both means and the difference."""
        quantity = QUANTITY_OF_UNIT[self.unit]
        return [
            mean_figure(f"daemon: control {quantity} sent, {self.when}", self.unit, self.daemons),
            mean_figure(f"hollow: control {quantity} sent, {self.when}", self.unit, self.hollow),
            Figure(
                f"hollow against daemon: control {quantity}, {self.when}",
                "ratio",
                self.difference,
                self.error,
            ),
        ]


@dataclass
class MixedFleet:
    """The running fleet."""

    plan: ComparisonPlan
    folder: Path
    loop: asyncio.AbstractEventLoop
    count: TrafficCount = field(default_factory=TrafficCount)
    relays: dict[str, CountingRelay] = field(default_factory=dict)
    daemons: dict[str, Child] = field(default_factory=dict)
    hollow: dict[str, HollowDirector] = field(default_factory=dict)
    killed: set[str] = field(default_factory=set)

    @property
    def daemon_names(self) -> list[str]:
        """Names of the real daemons."""
        return [f"d{k:03}" for k in range(self.plan.daemons)]

    @property
    def hollow_names(self) -> list[str]:
        """Names of the hollow directors."""
        total = self.plan.daemons + self.plan.hollow
        return [f"d{k:03}" for k in range(self.plan.daemons, total)]

    @property
    def makers(self) -> list[str]:
        """Names of the plan makers, daemons first."""
        return self.daemon_names[: self.plan.daemon_makers] + self.hollow_names[: self.plan.hollow_makers]

    async def start(self) -> None:
        """Start all directors behind their relays."""
        names = self.daemon_names + self.hollow_names
        for name in names:
            self.relays[name] = CountingRelay(name, self.count)
            await self.relays[name].listen()
        self.servers = Fleet(_server_plan(), self.loop)
        await self.servers.start()
        (self.folder / "keys.json").write_text(json.dumps({"keys": [KEY]}))
        (self.folder / "catalogue.sexp").write_text("(catalogue (version 1) (titles))")
        for index, name in enumerate(names):
            settings = self._settings(index, name)
            (self.folder / f"{name}.sexp").write_text(settings)
            if name in self.hollow_names:
                config = bind(read_forms(settings, f"{name}.sexp"), DirectorConfig, "director")
                self.hollow[name] = HollowDirector(config, NO_SIGHTS, self.loop)
            else:
                self.daemons[name] = Child(name, self.folder, "serve", "--log-format", "json", f"{name}.sexp")
        await asyncio.gather(*(self._start_daemon(name) for name in self.daemons))
        for name, director in self.hollow.items():
            await director.start()
            self.relays[name].target = ("127.0.0.1", director.cluster.port)

    async def _start_daemon(self, name: str) -> None:
        ready = await self.daemons[name].start()
        self.relays[name].target = ("127.0.0.1", int(ready["peers"]))

    def _settings(self, index: int, name: str) -> str:
        text = CONFIG.format(
            name=name,
            state=self.folder / f"state-{name}",
            keys=self.folder / "keys.json",
            folder=self.folder,
            list_port=self.servers.list_port,
        ).rstrip()
        for old, new in WIDE:
            text = text.replace(old, new)
        text = text.replace("(zone east)", f"(zone {ZONES[index % len(ZONES)]})")
        others = " ".join(
            f'(peer (name "{other}") (url "http://127.0.0.1:{relay.port}"))'
            for other, relay in self.relays.items()
            if other != name
        )
        makers = f"(makers {' '.join(self.makers)})"
        peers = f"(peers (period-ms {self.plan.period_ms}) (others {others}) {makers})"
        return f"{text[:-1]}\n  {peers} (seed {index}))\n"

    async def until(self, true: Callable[[], bool], seconds: float) -> None:
        """Wait for something to become true. Raises TimeoutError."""
        async with asyncio.timeout(seconds):
            while not true():
                await asyncio.sleep(0.05)

    def all_hollow_believe(self, names: Sequence[str], state: PeerState) -> bool:
        """Whether every living hollow director believes this of all of them."""
        living = [director for name, director in self.hollow.items() if name not in self.killed]
        return all(
            d.cluster.membership.view.state(name) is state for d in living for name in names if name != d.name
        )

    async def measure(self, seconds: float, when: str) -> list[Comparison]:
        """Count over a span."""
        self.count.clear()
        begin = self.loop.time()
        await asyncio.sleep(seconds)
        took = self.loop.time() - begin
        found = []
        for role, is_maker in (("member", False), ("plan maker", True)):
            for unit, counted in (("1/s", self.count.messages), ("B/s", self.count.sent_bytes)):
                daemons = self._rates(self.daemon_names, is_maker, counted, took)
                hollow = self._rates(self.hollow_names, is_maker, counted, took)
                if daemons and hollow:
                    found.append(Comparison(role, when, unit, daemons, hollow))
            daemons = self._report_sizes(self.daemon_names, is_maker)
            hollow = self._report_sizes(self.hollow_names, is_maker)
            if daemons and hollow:
                found.append(Comparison(role, when, REPORT_SIZE, daemons, hollow))
        return found

    def _rates(
        self, names: Sequence[str], is_maker: bool, counted: dict[str, int], seconds: float
    ) -> tuple[float, ...]:
        chosen = [n for n in names if n not in self.killed and (n in self.makers) == is_maker]
        return tuple(counted[name] / seconds for name in chosen)

    def _report_sizes(self, names: Sequence[str], is_maker: bool) -> tuple[float, ...]:
        chosen = [name for name in names if self.count.reports[name] and (name in self.makers) == is_maker]
        return tuple(self.count.report_bytes[name] / self.count.reports[name] for name in chosen)

    async def kill_one_of_each(self) -> list[str]:
        """The last daemon and the last hollow director die."""
        daemon, hollow = self.daemon_names[-1], self.hollow_names[-1]
        self.killed |= {daemon, hollow}
        self.daemons[daemon].kill()
        await self.hollow[hollow].kill()
        return [daemon, hollow]

    async def stop(self) -> None:
        """End what was started."""
        for child in self.daemons.values():
            child.kill()
        for child in self.daemons.values():
            if child.process is not None:
                await child.process.wait()
        for name, director in self.hollow.items():
            if name not in self.killed:
                await director.kill()
        for relay in self.relays.values():
            relay.close()
        await self.servers.stop()


def _server_plan() -> FleetPlan:
    servers = tuple(
        BoxPlan(f"b{k}", ZONES[k % len(ZONES)], "std", k % 4, f"r{k % 2}", 200, 700000.0)
        for k in range(SERVERS)
    )
    return FleetPlan(boxes=servers, uplink_kb=1200000.0)


def process_usage(pid: int) -> tuple[float, int]:
    """Processor seconds used by a process so far, and bytes it has in memory."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE")


async def _compare(plan: ComparisonPlan, folder: Path) -> tuple[list[Comparison], list[Figure]]:
    fleet = MixedFleet(plan, folder, asyncio.get_running_loop())
    try:
        await fleet.start()
        everyone = fleet.daemon_names + fleet.hollow_names
        await fleet.until(lambda: fleet.all_hollow_believe(everyone, PeerState.ALIVE), 60.0)
        await asyncio.sleep(plan.settle_s)
        pids = [child.process.pid for child in fleet.daemons.values() if child.process is not None]
        before = [process_usage(pid) for pid in pids]
        comparisons = await fleet.measure(plan.quiet_s, "quiet")
        after = [process_usage(pid) for pid in pids]
        victims = await fleet.kill_one_of_each()
        comparisons += await fleet.measure(plan.change_s, "two die")
        known = fleet.all_hollow_believe(victims, PeerState.DEAD)
    finally:
        await fleet.stop()
    processor = [(b[0] - a[0]) / plan.quiet_s for a, b in zip(before, after, strict=True)]
    figures = [
        mean_figure("daemon: processor without viewers, quiet", "s/s", processor),
        mean_figure("daemon: memory without viewers", "B", [float(memory) for _, memory in after]),
        Figure("both deaths known to all hollow directors in the span", "ratio", float(known), 0.0),
    ]
    return comparisons, figures


def compare(plan: ComparisonPlan) -> tuple[list[Comparison], list[Figure]]:
    """Run daemons and hollow directors beside each other and count what both send."""
    with _quiet_log(), tempfile.TemporaryDirectory(prefix="foxlift-scale-") as folder:
        return uvloop.run(_compare(plan, Path(folder)))


@contextmanager
def _quiet_log() -> Iterator[None]:
    """What hollow directors of this process log would drown the table."""
    before = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        yield
    finally:
        structlog.configure(**before)


FLEET_SIZE = ComparisonPlan().daemons + ComparisonPlan().hollow


@lru_cache(maxsize=4)
def _compared(seed: int) -> tuple[list[Comparison], list[Figure]]:
    return compare(ComparisonPlan(seed=seed))


def members(size: int, seed: int) -> list[Figure]:
    """Figures of directors that are no plan makers; `size` is that of the comparison's fleet."""
    assert size == FLEET_SIZE
    comparisons, figures = _compared(seed)
    return [f for one in comparisons if one.role == "member" for f in one.figures()] + figures


def makers(size: int, seed: int) -> list[Figure]:
    """Figures of plan makers, of the same run."""
    assert size == FLEET_SIZE
    comparisons, _ = _compared(seed)
    return [f for one in comparisons if one.role == "plan maker" for f in one.figures()]
