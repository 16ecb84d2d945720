"""The ledger on this machine's disk: grouped appends against one sync each, recovery, and merging.

Run: python -m bench.ledger [records to merge] [records to recover]
"""

from __future__ import annotations

import asyncio
import json
import resource
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from foxlift.ledger import Ended, ForgetDue, Journal, Started, TimePassed
from foxlift.ledger.journal import SNAPSHOT
from foxlift.ledger.reconcile import Reconciler
from foxlift.ledger.records import Charged, Record, encode, link
from foxlift.store import DiskFiles, Intent, IntentLog, SegmentedLog

WHEN = 1_780_000_000_000


async def appends(folder: Path, count: int, grouped: bool) -> tuple[float, list[float]]:
    """Records a second that last, and how long each took, ms."""
    loop = asyncio.get_running_loop()
    files = DiskFiles(folder, loop)
    log = SegmentedLog(files, "l")
    payload = encode(link("0" * 32, Charged(WHEN, WHEN, "d0.run-123-0", "token-123", "north", "graded")))
    took: list[float] = []
    start = loop.time()

    def append() -> asyncio.Future[None]:
        done: asyncio.Future[None] = loop.create_future()
        began = time.perf_counter()

        def told(error: OSError | None) -> None:
            took.append((time.perf_counter() - began) * 1000)
            done.set_result(None)

        log.append(payload, told)
        return done

    if grouped:
        for _ in range(count // 100):
            await asyncio.gather(*(append() for _ in range(100)))
    else:
        for _ in range(count):
            await append()
    rate = count / (loop.time() - start)
    log.close()
    files.close()
    return rate, took


async def intents(folder: Path, count: int) -> float:
    """99th percentile of what a paid set-up waits for its record, ms, one at a time."""
    loop = asyncio.get_running_loop()
    files = DiskFiles(folder, loop)
    book = IntentLog(files, 0.0)
    took = []
    for k in range(count):
        began = time.perf_counter()
        done: asyncio.Future[OSError | None] = loop.create_future()
        book.record_intent(Intent(f"t{k}", 2_000_000_000, "b1", f"d0.run-{k}-0"), done.set_result)
        await done
        took.append((time.perf_counter() - began) * 1000)
    book.close()
    files.close()
    return statistics.quantiles(took, n=100)[98]


async def recovery(folder: Path, count: int) -> dict[str, float]:
    """Write a ledger of so many paid sessions, 33 a second by its clock, then take it in as a start does.

    `whole`: without the snapshot. `snapshot_ms`: what taking one costs the loop, the longest of all.
    """
    loop = asyncio.get_running_loop()
    files = DiskFiles(folder, loop)
    journal = Journal(files)
    taken = []
    for k in range(count):
        name, now = f"d0.run-{k}-0", WHEN + 30 * k
        until, viewer = now + 60_000, f"viewer-{k % 5000}"
        made = Started(now, name, f"t{k}", "north", "graded", 0, True, until, viewer, f"box-{k % 160}")
        before, start = journal.snapshots, time.perf_counter()
        journal.handle(now, made)
        if k >= 500:
            journal.handle(now, Ended(now, f"d0.run-{k - 500}-0"))
        if k % 100 == 0:
            journal.handle(now, TimePassed())
            journal.handle(now, ForgetDue())
        if journal.snapshots != before or k % 25_000 == 0:
            taken.append((time.perf_counter() - start) * 1000)
        if k % 1000 == 0:
            await asyncio.sleep(0)
    while journal.log.durable < journal.log.last_sequence:
        await asyncio.sleep(0.01)
    journal.close()
    await asyncio.sleep(0.2)
    size = sum((folder / name).stat().st_size for name in files.names() if name.endswith(".seg"))
    found: dict[str, float] = {
        "records": journal.log.last_sequence,
        "mb": size / 1e6,
        "snapshot_ms": max(taken),
    }
    found["snapshot_mb"] = (folder / SNAPSHOT).stat().st_size / 1e6
    for name in ("start_s", "whole_s"):
        start = time.perf_counter()
        again = Journal(files)
        found[name] = time.perf_counter() - start
        found[f"{name}_records_read"] = journal.log.last_sequence - again.read_from
        again.close()
        files.remove(SNAPSHOT)
    found["tokens_kept"] = len(again.book.account.charged)
    files.close()
    return found


def merging(folder: Path, count: int) -> dict[str, float]:
    """Merge so many attempts of four instances, a tenth of them in two."""

    def records(instance: int) -> Iterator[tuple[int, Record]]:
        for k in range(count // 4):
            token = f"t{k}" if k % 10 == 0 else f"t{k}.{instance}"
            yield k + 1, Charged(WHEN, WHEN + k % 1000, "s", token, "north", "graded")

    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    merger = Reconciler(folder, 200_000)
    start = time.perf_counter()
    for instance in range(4):
        merger.add(f"d{instance}", records(instance))
    result = merger.finish()
    seconds = time.perf_counter() - start
    more = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    return {
        "records": result.records,
        "attempts": sum(use.attempts for use in result.totals.values()),
        "in_two": result.duplicate_count,
        "records_per_s": result.records / seconds,
        "more_peak_mb": more / 1000,
    }


def main() -> None:
    merge = int(sys.argv[1]) if len(sys.argv) > 1 else 10_000_000
    recover = int(sys.argv[2]) if len(sys.argv) > 2 else 1_000_000
    with tempfile.TemporaryDirectory() as made:
        folder = Path(made)
        rows = []
        for k in range(3):
            group, _ = asyncio.run(appends(folder / f"g{k}", 20_000, True))
            single, took = asyncio.run(appends(folder / f"s{k}", 1000, False))
            rows.append((group, single, group / single, statistics.quantiles(took, n=100)[98]))
        middle = [statistics.median(column) for column in zip(*rows, strict=True)]
        names = ("grouped", "single", "ratio", "single_p99_ms")
        print(json.dumps(dict(zip(names, middle, strict=True))), flush=True)
        print(json.dumps({"paid_set_up_p99_ms": asyncio.run(intents(folder / "i", 2000))}), flush=True)
        print(json.dumps(merging(folder, merge)), flush=True)
        print(json.dumps(asyncio.run(recovery(folder / "r", recover))), flush=True)


if __name__ == "__main__":
    main()
