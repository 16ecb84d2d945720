"""Figures of hollow directors on loopback sockets, several processes of them: the whole control part's costs.

Every director has a loopback address of its own. The operator's word that disks hold (`trust-disk`) is given,
or each start would open a connection to every other director at once. What is sent is counted where daemons
run beside them (`bench.scale.beside_daemons`), here it is processor and memory.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from bench.scale.figures import Figure, mean_figure
from bench.scale.hollow import DirectorAddress, FleetPlan
from bench.scale.hollow_worker import WorkerSpecification
from foxlift.standins.held_port import HeldPort

MAX_SIZE = 300
"""Larger fleets on sockets were not tried: 300 take some 100 s and much of a machine of ten cores."""
DIRECTORS_A_PROCESS = 50
START_S, SETTLE_S, MEASURE_S = 60.0, 15.0, 10.0
MEASURED_SPANS = 2
ROOT = Path(__file__).parent.parent.parent


@dataclass
class LoopbackFleet:
    """The worker processes of a fleet."""

    size: int
    seed: int
    plan: FleetPlan
    folder: Path
    workers: list[asyncio.subprocess.Process] = field(default_factory=list)
    names_by_worker: list[list[str]] = field(default_factory=list)
    held_ports: list[HeldPort] = field(default_factory=list)

    async def start(self) -> None:
        """Start all processes and wait until every director listens."""
        everyone, self.held_ports = _held_addresses(self.size)
        names = [address.name for address in everyone]
        for first in range(0, self.size, DIRECTORS_A_PROCESS):
            own = names[first : first + DIRECTORS_A_PROCESS]
            specification = WorkerSpecification(
                self.plan, tuple(own), tuple(everyone), str(self.folder), self.seed
            )
            path = self.folder / f"worker-{first}.json"
            path.write_bytes(msgspec.json.encode(specification))
            self.names_by_worker.append(own)
            self.workers.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "bench.scale.hollow_worker",
                    str(path),
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    cwd=ROOT,
                )
            )
        async with asyncio.timeout(START_S):
            await asyncio.gather(*(_line(worker) for worker in self.workers))

    async def ask(self, worker: asyncio.subprocess.Process, command: str) -> dict[str, Any]:
        """One command to one process."""
        assert worker.stdin is not None
        worker.stdin.write(command.encode() + b"\n")
        return await _line(worker)

    async def ask_all(self, command: str) -> list[dict[str, Any]]:
        """One command to all processes at once."""
        return await asyncio.gather(*(self.ask(worker, command) for worker in self.workers))

    async def stop(self) -> None:
        """End all processes."""
        for worker in self.workers:
            if worker.returncode is None:
                worker.kill()
        for worker in self.workers:
            await worker.wait()
        for held in self.held_ports:
            held.release()


async def _line(worker: asyncio.subprocess.Process) -> dict[str, Any]:
    assert worker.stdout is not None
    line = await worker.stdout.readline()
    if not line:
        raise RuntimeError(f"a process of hollow directors ended by itself: {await worker.wait()}")
    return dict(json.loads(line))


def _held_addresses(size: int) -> tuple[list[DirectorAddress], list[HeldPort]]:
    """Loopback addresses of their own, each with a held port."""
    hosts = [f"127.77.{k // 250}.{k % 250 + 1}" for k in range(size)]
    held_ports = [HeldPort(host=host) for host in hosts]
    addresses = [
        DirectorAddress(f"d{k}", host, held.port)
        for k, (host, held) in enumerate(zip(hosts, held_ports, strict=True))
    ]
    return addresses, held_ports


def control_part(size: int, seed: int) -> list[Figure]:
    """Processor and memory of a director's control part, and the time until a death is known."""
    with tempfile.TemporaryDirectory(prefix="foxlift-scale-") as folder:
        return uvloop.run(_control_part(size, seed, Path(folder)))


async def _control_part(size: int, seed: int, folder: Path) -> list[Figure]:
    plan = FleetPlan(zones=("r0-z0", "r1-z0", "r2-z0"), makers=("d0", "d1", "d2"), trust_disk=True)
    fleet = LoopbackFleet(size, seed, plan, folder)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        processor, memory = [], []
        for _ in range(MEASURED_SPANS):
            answers = await fleet.ask_all(f"measure {MEASURE_S}")
            processor += [answer["processor"] / answer["directors"] for answer in answers]
            memory += [answer["memory"] / answer["directors"] for answer in answers]
        victim = fleet.names_by_worker[-1][-1]
        begin = time.time()
        await fleet.ask(fleet.workers[-1], f"kill {victim}")
        answers = await fleet.ask_all(f"known DEAD {victim}")
    finally:
        await fleet.stop()
    figures = [
        mean_figure("control part: processor, quiet", "s/s", processor),
        mean_figure("control part: memory with its share of the process", "B", memory),
    ]
    if all(answer["all_at"] for answer in answers):
        figures += [
            Figure("one death known to 99%", "s", max(a["most_at"] for a in answers) - begin, 0.05),
            Figure("one death known to all", "s", max(a["all_at"] for a in answers) - begin, 0.05),
        ]
    return figures
