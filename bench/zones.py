"""Plans in common, in virtual time: `python -m bench.zones [SCHEDULES]`.

First so many random schedules of three makers (`tests/zones_world.py`: messages lost, doubled and late, cuts
each way, deaths, restarts, zones lost and back): how many had two plans of one number or emptied every zone.
Then the time from a zone's loss until every living director follows a plan without it, and the messages a
second and director meanwhile, by the size of the fleet.
"""

from __future__ import annotations

import sys
from multiprocessing import Pool
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from zones_world import Fleet, anything, broken

from foxlift.zones.plan import ZoneState


def _one(seed: int) -> tuple[bool, int]:
    fleet = anything(seed)
    return broken(fleet), len(fleet.by_number)


def main(schedules: int) -> None:
    with Pool() as pool:
        found = pool.map(_one, range(schedules), chunksize=50)
    print(f"{schedules} schedules: {sum(bad for bad, _ in found)} broken, {sum(n for _, n in found)} plans")
    print("| directors | seeds | loss to plan everywhere, s: least, most | messages/s of one director |")
    print("| --- | --- | --- | --- |")
    for each, seeds in ((2, 10), (8, 5), (50, 1)):
        took, sent = [], 0.0
        for seed in range(seeds):
            fleet = Fleet(seed, each=each)
            fleet.run(5000.0 + 137.0 * seed)
            fleet.dead_zones, begin, before = {"n1"}, fleet.now, fleet.messages
            took.append(fleet.run(20_000.0, lambda f=fleet: f.all_follow("n1", ZoneState.EMPTIED)) - begin)  # type: ignore[misc]
            sent += (fleet.messages - before) / took[-1] * 1000 / len(fleet.names) / seeds
        print(
            f"| {6 * each} | {seeds} | {min(took) / 1000:.2f}, {max(took) / 1000:.2f} | {sent:.1f} |",
            flush=True,
        )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 20_000)
