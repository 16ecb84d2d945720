"""What knowing each other costs one director, in virtual time: `python -m bench.peers [SIZES]`.

The network is the tests' own (`tests/peers_world.py`): 0.2 to 3 ms, one message in a hundred later. Printed
for the busiest director: messages and bytes a second a minute after all started, and while a tenth of the
fleet dies, and how long until every living director believes the first of these deaths.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from peers_world import Fleet

from foxlift.peers import PeerState


def busiest(fleet: Fleet, ms: float) -> tuple[float, float]:
    """Messages and bytes a second of the busiest director over so long."""
    fleet.sent.clear()
    fleet.sent_bytes.clear()
    fleet.wire.clear()
    fleet.run(ms)
    return max(fleet.sent.values()) * 1000 / ms, max(fleet.sent_bytes.values()) * 1000 / ms


def main(sizes: list[int]) -> None:
    print("| directors | quiet: messages/s, bytes/s | a tenth dies: the same | known to all after, s |")
    print("| --- | --- | --- | --- |")
    for size in sizes:
        fleet = Fleet(size)
        fleet.run(60_000)
        quiet = busiest(fleet, 20_000)
        dead = fleet.names[::10] if size >= 10 else fleet.names[:1]
        fleet.kill(*dead)
        begin = fleet.now
        rough = busiest(fleet, 10_000)
        fleet.run(60_000, lambda f=fleet, d=dead[0]: f.all_believe(d, PeerState.DEAD))  # type: ignore[misc]
        took = (fleet.now - begin) / 1000
        known = f"{took:.1f}" if fleet.all_believe(dead[0], PeerState.DEAD) else f"over {took:.0f}"
        print(f"| {size} | {quiet[0]:.1f}, {quiet[1]:.0f} | {rough[0]:.1f}, {rough[1]:.0f} | {known} |")


if __name__ == "__main__":
    main([int(size) for size in sys.argv[1:]] or [3, 9, 100, 300])
