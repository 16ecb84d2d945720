"""What takeover costs and gains, on loopback within one run: `python -m bench.takeover [SESSIONS ...]`.

Three directors as processes, each with its state folder, and stand-in boxes in this process (the fleet of
`tests/many.py`). On and off in turn, three rounds: time from a viewer's request to its manifest for a paid
and a free session, one at a time, and set-ups a second with 32 asked at once. Then, for each number of
sessions: one director is killed; time until the first reload at another is answered 200 (asked every 50 ms
from the death on), and until the boxes know another owner for all. Disks are the machine's own.

Last, the same number of paid viewers reload at once at the two survivors, right after the kill, and ask again
after the time that each answer names: seconds from the kill until half and until all are shown their session,
and requests made for each of them.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from many import Many, run

ONE_BY_ONE, AT_ONCE, IN_ALL = 150, 32, 480
MAX_WAIT_S = 120.0  # for a viewer's session, at its set-up and after the kill


async def _answers(many: Many, klass: str, mark: str) -> list[float]:
    times = []
    for k in range(ONE_BY_ONE):
        token = many.token(f"{mark}{k}", klass)
        begin = time.perf_counter()
        reply = await many.manifest("d0", token)
        times.append((time.perf_counter() - begin) * 1000)
        assert reply.status == 200, reply
    return sorted(times)


async def _rate(many: Many, klass: str, mark: str) -> float:
    names = list(many.fronts)
    tokens = [many.token(f"{mark}{k}", klass) for k in range(IN_ALL)]
    gate = asyncio.Semaphore(AT_ONCE)

    async def one(k: int, token: str) -> None:
        async with gate:
            reply = await many.manifest(names[k % len(names)], token)
            assert reply.status == 200, reply

    begin = time.perf_counter()
    await asyncio.gather(*(one(k, token) for k, token in enumerate(tokens)))
    return IN_ALL / (time.perf_counter() - begin)


def set_ups(peers: bool) -> dict[str, tuple[float, float, float]]:
    """By class: median and 99th percentile of the answer, ms, and set-ups a second of three directors."""
    found: dict[str, tuple[float, float, float]] = {}

    async def test(many: Many) -> None:
        for klass in ("graded", "briefing"):
            times = await _answers(many, klass, f"one-{klass}-")
            rate = await _rate(many, klass, f"many-{klass}-")
            found[klass] = statistics.median(times), times[int(len(times) * 0.99)], rate

    with tempfile.TemporaryDirectory() as folder:
        run(Path(folder), test, boxes=8, period_ms=500, peers=peers)
    return found


def death(sessions: int) -> tuple[float, float, float]:
    """Seconds from a kill to: it is believed dead, the first reload is answered, all are taken over."""
    found: list[float] = []

    async def test(many: Many) -> None:
        tokens = [many.token(f"t{k}", "graded" if k % 2 else "briefing") for k in range(sessions)]
        gate = asyncio.Semaphore(AT_ONCE)

        async def one(token: str) -> None:
            async with gate:
                assert (await many.request_until_answered("d0", token, 120.0)).status == 200

        await asyncio.gather(*map(one, tokens))
        begin = time.perf_counter()
        await many.kill("d0")
        shown: list[float] = []

        async def reload() -> None:
            while (await many.manifest("d1", tokens[1])).status != 200:
                await asyncio.sleep(0.05)
            shown.append(time.perf_counter() - begin)

        asking = asyncio.ensure_future(reload())
        await many.until(
            lambda: any(
                line["peer"] == "d0" and line["state"] == "dead" for line in many.log_lines("d1", "peer")
            ),
            120.0,
        )
        found.append(time.perf_counter() - begin)
        await many.until(lambda: all(o.name != "d0" for o in many.owned().values()), 120.0)
        found.append(time.perf_counter() - begin)
        await asking
        found.insert(1, shown[0])
        assert len(many.sessions()) == sessions

    with tempfile.TemporaryDirectory() as folder:
        run(Path(folder), test, boxes=8, period_ms=500, places=sessions)
    return found[0], found[1], found[2]


def reloads_at_once(viewers: int) -> tuple[float, float, float]:
    """Seconds from a kill until half and all of the viewers are answered 200; requests for each viewer."""
    shown_s: list[float] = []
    requests = 0

    async def test(many: Many) -> None:
        tokens = [many.token(f"t{k}") for k in range(viewers)]
        gate = asyncio.Semaphore(AT_ONCE)

        async def set_up(token: str) -> None:
            async with gate:
                assert (await many.request_until_answered("d0", token, MAX_WAIT_S)).status == 200

        await asyncio.gather(*map(set_up, tokens))
        await many.kill("d0")
        killed = time.perf_counter()

        async def reload(name: str, token: str) -> None:
            nonlocal requests
            while True:
                requests += 1
                reply = await many.manifest(name, token)
                if reply.status == 200:
                    break
                assert reply.status == 503 and time.perf_counter() - killed < MAX_WAIT_S, reply
                await asyncio.sleep(float(reply.headers["foxlift-come-back-ms"]) / 1000)
            shown_s.append(time.perf_counter() - killed)

        await asyncio.gather(*(reload(f"d{1 + k % 2}", token) for k, token in enumerate(tokens)))
        assert len(many.sessions()) == viewers

    with tempfile.TemporaryDirectory() as folder:
        run(Path(folder), test, boxes=8, period_ms=500, places=viewers)
    return statistics.median(shown_s), max(shown_s), requests / viewers


def main(sizes: list[int]) -> None:
    print("| | class | median ms | p99 ms | set-ups/s |")
    print("| --- | --- | --- | --- | --- |")
    for number in range(3):
        for name, peers in (("on", True), ("off", False)):
            for klass, (median, high, rate) in set_ups(peers).items():
                print(
                    f"| {number + 1}, {name} | {klass} | {median:.2f} | {high:.2f} | {rate:.0f} |", flush=True
                )
    print("\n| sessions | believed dead, s | first reload, s | all taken over, s |")
    print("| --- | --- | --- | --- |")
    for size in sizes:
        believed, first, whole = death(size)
        print(f"| {size} | {believed:.2f} | {first:.2f} | {whole:.2f} |", flush=True)
    print("\n| viewers at once | half shown, s | all shown, s | requests each |")
    print("| --- | --- | --- | --- |")
    for size in sizes:
        half, last, each = reloads_at_once(size)
        print(f"| {size} | {half:.2f} | {last:.2f} | {each:.1f} |", flush=True)


if __name__ == "__main__":
    main([int(size) for size in sys.argv[1:]] or [100, 1000])
