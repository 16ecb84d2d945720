"""New sessions a second through a director and stand-in boxes, against the module alone on the same settings.

Also the director's own added time at half of that load, and its memory over sessions that play and that came
and went. Director, boxes and askers run in processes of their own.

Run: python -m bench.sessions [seconds] [sessions that come and go]
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, cast

import msgspec
import numpy as np
import uvloop

from bench.load import in_process
from bench.world import FleetAndDirector, roomy
from foxlift import interface as fl
from foxlift.config import load_director, module_settings
from foxlift.director import events as ev
from foxlift.http import Exchange
from foxlift.logic import Director
from foxlift.rehearsal import files
from foxlift.standins.fleet import Fleet, ListService, _Line
from foxlift.telemetry import configure_logs

BOX_PROCESSES = 4
LIVE = 200  # sessions that play at once in the module's own run


def boxes(pipe: Connection, first: int, count: int, live_s: float) -> None:
    """A process with some of the boxes; sends their ports. A session there ends after `live_s` by itself."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        plan = files.fleet_plan(roomy(), [{}] * roomy().boxes, 1)
        fleet = Fleet(msgspec.structs.replace(plan, boxes=plan.boxes[first : first + count]), loop)
        await fleet.start()
        for box in fleet.boxes.values():
            box.idle_s = live_s
        pipe.send({name: box.port for name, box in fleet.boxes.items()})
        await loop.run_in_executor(None, pipe.recv)

    uvloop.run(main())


def director(pipe: Connection, folder: str, ports: dict[str, int]) -> None:
    """A process with a director; obeys `stats` and `memory`, and issues tokens."""
    configure_logs(level="error")

    async def main() -> None:
        loop = asyncio.get_running_loop()
        lists = ListService(loop)
        for box in files.fleet_plan(roomy(), [{}] * roomy().boxes, 1).boxes:
            lists.lines[box.name] = _Line(msgspec.structs.replace(box, port=ports[box.name]))
        list_port = await lists.server.listen("127.0.0.1", 0)
        world = FleetAndDirector(Path(folder), loop, list_port=list_port)
        port = await world.start()
        daemon = world.daemon
        added: list[float] = []
        asked_at: dict[int, float] = {}
        spent: dict[int, float] = {}
        answered_at: dict[int, float] = {}
        put, show, asked, feed = daemon._put, daemon.answers.show, daemon.handle_request, daemon.feed

        def on_asked(exchange: Exchange) -> None:
            asked_at[daemon._last_request + 1] = exchange.request.arrived_s
            asked(exchange)

        def on_put(action: ev.SendSetUp) -> None:
            put(action)
            number = action.session.number
            spent[number] = loop.time() - asked_at.get(daemon._last_request, loop.time())

        def on_feed(event: Any) -> None:
            session = getattr(event, "session", 0)
            if type(event).__name__ == "Answered":
                answered_at[session] = loop.time()
            feed(event)

        def on_show(request: int, session: ev.Session) -> str:
            told = show(request, session)
            number = session.number
            if number in spent:
                added.append(spent.pop(number) + loop.time() - answered_at.pop(number, loop.time()))
            return told

        def watch(on: bool) -> None:
            added.clear()
            daemon._put = on_put if on else put  # type: ignore[method-assign,assignment]
            daemon.answers.show = on_show if on else show  # type: ignore[method-assign]
            daemon.server.handler = on_asked if on else asked
            daemon.feed = on_feed if on else feed  # type: ignore[method-assign]

        pipe.send((port, None))
        while True:
            order = await loop.run_in_executor(None, pipe.recv)
            if order[0] == "tokens":
                _, prefix, klass, count = order
                pipe.send([(world.token(f"{prefix}{k}", klass, f"t{k % 12}"), k % 12) for k in range(count)])
            elif order[0] == "watch":
                watch(order[1])
                pipe.send(None)
            elif order[0] == "added":
                pipe.send([float(np.percentile(added, q) * 1000) for q in (50, 99, 99.9)] if added else [])
            elif order[0] == "state":
                core = daemon.core
                state = {
                    "rss_kb": _rss_kb(),
                    "sessions": len(core.sessions),
                    "claims": len(core.token_sessions),
                    "attempts": core.attempts.live_count,
                    "ghosts": core.attempts.orphan_count,
                    "module": len(core.module.sessions),
                    "cpu_s": time.process_time(),
                }
                pipe.send(state)
            else:
                return

    uvloop.run(main())


def _rss_kb() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024


class _Asker(asyncio.Protocol):
    """Asks for a manifest with a new token each time; tells when it has its answer."""

    def __init__(self, done: Callable[[_Asker, int], None]) -> None:
        self.done, self.data = done, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, token: str, title: int) -> None:
        target = f"/dash/t{title}/manifest.mpd?token={token}"
        self.transport.write(f"GET {target} HTTP/1.1\r\nhost: x\r\naccept: */*\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end:
            return
        size = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        if len(body) >= size:
            self.data = b""
            self.done(self, int(head[9:12]))


def asker(pipe: Connection, port: int, tokens: list[tuple[str, int]], connections: int, rate: float) -> None:
    """Ask with each token once: as fast as answered, or at a rate; sends seconds and statuses."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        left = deque(tokens)
        statuses: dict[int, int] = {}
        free: list[_Asker] = []
        finished = loop.create_future()

        def done(one: _Asker, status: int) -> None:
            statuses[status] = statuses.get(status, 0) + 1
            if sum(statuses.values()) == len(tokens):
                finished.set_result(None)
            elif rate:
                free.append(one)
            elif left:
                token, title = left.popleft()
                one.ask(token, title)

        for _ in range(connections):
            _, one = await loop.create_connection(lambda: _Asker(done), "127.0.0.1", port)
            free.append(one)
        pipe.send("ready")
        await loop.run_in_executor(None, pipe.recv)
        start = time.perf_counter()
        if rate:
            while left:
                due = start + (len(tokens) - len(left)) / rate
                await asyncio.sleep(max(due - time.perf_counter(), 0))
                if free:
                    token, title = left.popleft()
                    free.pop().ask(token, title)
                else:
                    await asyncio.sleep(0.0005)
        else:
            for one in free[: len(tokens)]:
                token, title = left.popleft()
                one.ask(token, title)
        await finished
        pipe.send((time.perf_counter() - start, statuses))

    uvloop.run(main())


class Run:
    """The processes of the measurement."""

    def __init__(self, folder: str, live_s: float) -> None:
        each = roomy().boxes // BOX_PROCESSES
        self.boxes = [in_process(boxes, k * each, each, live_s) for k in range(BOX_PROCESSES)]
        ports = {name: port for found, _, _ in self.boxes for name, port in found.items()}
        (self.port, _), self.pipe, self.process = in_process(director, folder, ports)
        self.made = 0

    def tell(self, *order: Any) -> Any:
        self.pipe.send(order)
        return self.pipe.recv()

    def sessions(self, count: int, klass: str, connections: int, rate: float = 0.0) -> float:
        """So many new sessions; gives back how many a second were answered 200."""
        self.made += 1
        tokens = self.tell("tokens", f"s{self.made}.", klass, count)
        parts = [
            in_process(asker, self.port, tokens[k::2], connections // 2, rate / 2 if rate else 0.0)
            for k in range(2)
        ]
        for _, pipe, _ in parts:
            pipe.send("go")
        found = [pipe.recv() for _, pipe, _ in parts]
        played = sum(statuses.get(200, 0) for _, statuses in found)
        if played < count * 0.99:
            print("statuses", [statuses for _, statuses in found], flush=True)
        return float(played / max(seconds for seconds, _ in found))

    def end(self) -> None:
        self.pipe.send(("end",))
        self.process.join(5)
        for _, _, process in (*self.boxes, (None, None, self.process)):
            process.terminate()


def module_alone(folder: str, seconds: float) -> float:
    """Sessions a second of the module on the director's settings: asked, started, noted, ended."""
    settings = module_settings(load_director(Path(folder) / "d0.sexp"))
    module = Director(settings, 1)
    infos = tuple(fl.NodeInfo(k, 0, 0, k, fl.Status.READY) for k in range(settings.cells))
    module.handle(0.0, fl.NodeList(fl.ListKind.FULL, infos))
    playing: deque[tuple[int, int]] = deque()
    count, start = 0, time.perf_counter()
    while (passed := time.perf_counter() - start) < seconds:
        for _ in range(100):
            count += 1
            now = 1e6 + passed * 1000  # long after the start: the module looks for room to raise into
            ask = fl.Ask(count, 1, count % 12, count % 12, 4, 0, 5000.0, length_ms=20000.0)
            node = next(a.node for a in module.handle(now, ask) if isinstance(a, fl.SetUp))
            module.handle(now, fl.Started(count, node, 0, 5.0))
            module.handle(now, fl.Note(count, node, fl.NoteKind.LINK, 0.1))
            playing.append((count, node))
            if len(playing) > LIVE:
                old, at = playing.popleft()
                module.handle(now, fl.Ended(old, at, 0, fl.Outcome.OK, True, 1000.0))
    return count / (time.perf_counter() - start)


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    come_and_go = int(sys.argv[2]) if len(sys.argv) > 2 else 100_000
    result: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        run = Run(folder, live_s=0.2)
        run.sessions(2000, "briefing-replay", 32)  # warm
        rounds = []
        for _ in range(3):
            cpu = run.tell("state")["cpu_s"]
            count = int(1500 * seconds)
            whole = run.sessions(count, "briefing-replay", 32)
            cpu = run.tell("state")["cpu_s"] - cpu
            alone = module_alone(folder, seconds)
            rounds.append((whole, alone, whole / alone, cpu / count * 1e6))
            ratio = rounds[-1][2]
            print(f"through director {whole:7.0f}/s  module {alone:7.0f}/s  ratio {ratio:.2f}", flush=True)
        middle = [float(np.median(column)) for column in zip(*rounds, strict=True)]
        result |= dict(zip(("whole", "module", "ratio", "cpu_us_each"), middle, strict=True))
        result["paid"] = run.sessions(int(500 * seconds), "graded-lesson", 32)
        run.tell("watch", True)
        run.sessions(int(middle[0] / 2 * seconds), "briefing-replay", 64, rate=middle[0] / 2)
        result["added_ms_50_99_999"] = run.tell("added")
        run.tell("watch", False)
        states = []
        for part in range(5):
            run.sessions(come_and_go // 5, "briefing-replay", 32)
            time.sleep(1.5)
            states.append(run.tell("state"))
            print(f"after {(part + 1) * come_and_go // 5}: {states[-1]}", flush=True)
        result["come_and_go"] = states
        run.end()
    with tempfile.TemporaryDirectory() as folder:
        run = Run(folder, live_s=1e9)
        run.sessions(2000, "briefing-replay", 32)
        before = run.tell("state")
        run.sessions(8000, "briefing-replay", 32)
        after = run.tell("state")
        more_kb, more = after["rss_kb"] - before["rss_kb"], after["sessions"] - before["sessions"]
        result["kb_per_playing"], result["playing"] = more_kb / max(more, 1), after["sessions"]
        run.end()
    print(json.dumps(result))


if __name__ == "__main__":
    main()
