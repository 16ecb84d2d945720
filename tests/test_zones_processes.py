"""Zones in several processes of the program: a zone that does not respond, and operators' orders.

The failure guarded against: directors apply no plan, or different ones, when a zone is lost or ordered empty.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from many import Many, ask, run

ZONES = ("east", "west", "south")
MAKERS = ("d0", "d1", "d2")


def plans(many: Many, name: str) -> list[dict[str, Any]]:
    return many.log_lines(name, "plan")


async def traffic(many: Many, stop: asyncio.Event, klass: str = "briefing") -> int:
    """Send viewers to every director repeatedly; returns how many got a session."""
    shown = number = 0
    while not stop.is_set():
        asked = []
        for name in many.fronts:
            number += 1
            asked.append(many.manifest(name, many.token(f"{klass}{number}", klass)))
        shown += sum(reply.status == 200 for reply in await asyncio.gather(*asked))
        await asyncio.sleep(0.1)
    return shown


async def run_zone_command(port: int, order: str, zone: str) -> int:
    """Run `foxlift zone` as an operator; returns its exit code."""
    arguments = ("-m", "foxlift.cli.main", "zone", order, zone, "--at", f"http://127.0.0.1:{port}")
    process = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL
    )
    return await process.wait()


def boxes_in(many: Many, zone: str) -> list[str]:
    return [name for name, box in many.fleet.boxes.items() if box.model.zone == zone]


def test_a_zone_that_does_not_respond_is_emptied_by_all_and_returns(tmp_path: Path) -> None:
    async def test(many: Many) -> None:
        stop = asyncio.Event()
        coming = asyncio.ensure_future(traffic(many, stop))
        await many.until(lambda: len(many.sessions()) > 30)
        for name in boxes_in(many, "south"):
            many.fleet.command("hang", name, True)
        await many.until(
            lambda: all(
                plans(many, n) and plans(many, n)[-1]["zones"].get("south") == "emptied" for n in MAKERS
            )
        )
        numbers = {
            name: {line["number"]: line["zones"] for line in plans(many, name)} for name in many.fronts
        }
        for a in numbers.values():
            for b in numbers.values():
                assert all(a[k] == b[k] for k in a.keys() & b.keys())  # no two plans of one number
        before = {name: many.fleet.boxes[name].set_ups for name in boxes_in(many, "south")}
        shown = len(many.sessions())
        await many.until(lambda: len(many.sessions()) > shown + 60)
        # what the plan leaves is not asked any more, though each director alone would try it again
        sent = sum(many.fleet.boxes[name].set_ups - count for name, count in before.items())
        assert sent <= 6
        for name in boxes_in(many, "south"):
            many.fleet.command("hang", name, False)
        stop.set()
        assert await coming > 30

    run(tmp_path, test, directors=6, boxes=6, zones=ZONES, makers=MAKERS)


def test_an_operator_empties_a_zone_and_returns_it(tmp_path: Path) -> None:
    async def test(many: Many) -> None:
        stop = asyncio.Event()
        coming = asyncio.ensure_future(traffic(many, stop))
        await many.until(lambda: len(many.sessions()) > 30)
        port = many.links["d0", "d4"].target  # any director takes the order
        assert await run_zone_command(port, "empty", "west") == 0
        assert await run_zone_command(port, "empty", "nowhere") == 3
        assert (await ask(port, "/peers/order", "POST", body=b'{"zone":"x","order":"empty"}')).status == 404
        assert (await ask(port, "/peers/order", "POST", body=b'{"zone":"west","order":"burn"}')).status == 400
        emptied = list(many.fronts)
        await many.until(
            lambda: all(
                plans(many, n) and plans(many, n)[-1]["zones"].get("west") == "emptied" for n in emptied
            )
        )
        assert await run_zone_command(port, "return", "west") == 0
        await many.until(lambda: all(plans(many, n)[-1]["zones"] == {} for n in emptied), 60.0)
        stop.set()
        assert await coming > 30

    run(tmp_path, test, directors=6, boxes=6, zones=ZONES, makers=MAKERS)
