"""A new process at the address of a media server that has gone is not taken for it.

Guards against sessions that play on at the new process while their viewers have been told that they are over.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from test_platform_crossings import sent
from test_platform_sockets import Scene, name, run_scenario, scene

from foxlift.standins.platform import StandInBox, Viewer, record, start_line

GONE = 2  # state in the list
SUCCESSOR = 9


async def start(viewer: Viewer, number: int) -> str:
    viewer.send(start_line(name(number), opts={"left": "5000"}))
    answer = await viewer.answer(name(number))
    assert answer is not None
    return str(answer["verb"])


def tell_of_successor(world: Scene, former: StandInBox, in_one_update: bool) -> None:
    """The coordinator tells that server 1 has gone and that another one has its address."""
    gone, successor = record(1, former.address, state=GONE), record(SUCCESSOR, former.address)
    for number, payload in enumerate([gone + successor] if in_one_update else [gone, successor], 2):
        world.coordinator.tell(number, 2, payload)


@pytest.mark.parametrize("in_one_update", [True, False], ids=["one update", "two updates"])
def test_sessions_at_a_new_process_taken_for_the_old_one_are_released_there(
    tmp_path: Path, in_one_update: bool
) -> None:
    async def test() -> None:
        async with scene(tmp_path, servers=1) as world:
            [former] = world.servers
            await world.coordinator.connected.wait()
            viewer = await world.viewer()
            assert await start(viewer, 1) == "STARTED"
            await former.stop()
            successor = await StandInBox().start_in_place_of(former)
            world.servers.append(successor)
            number = 2  # the list is late: set-ups for the former server reach the new process
            while await start(viewer, number) != "STARTED":
                number += 1
            assert sent_to(successor, number) == 1
            tell_of_successor(world, former, in_one_update)
            await successor.until(lambda: "TEARDOWN" in successor.methods(name(number)))
            over = await viewer.answer(name(number))
            assert over is not None and over["verb"] == "FINISH"
            assert await start(viewer, 50) == "STARTED"
            assert sent_to(successor, 50) == 1 and sent(world, number) == 1
            assert not any(s.node == 1 for s in world.director.core.sessions.values())

    run_scenario(test)


def test_nothing_for_a_server_that_has_gone_reaches_the_new_process_at_its_address(tmp_path: Path) -> None:
    """Releases that wait for the former server are dropped with it."""

    async def test() -> None:
        async with scene(tmp_path, servers=1) as world:
            [former] = world.servers
            await world.coordinator.connected.wait()
            viewer = await world.viewer()
            assert await start(viewer, 1) == "STARTED"
            tell_of_successor(world, former, in_one_update=True)
            over = await viewer.answer(name(1))
            assert over is not None and over["verb"] == "FINISH"
            await former.stop()
            successor = await StandInBox().start_in_place_of(former)
            world.servers.append(successor)
            assert await start(viewer, 50) in ("STARTED", "FINISH")
            await asyncio.sleep(1.5)  # longer than the wait between two attempts to connect
            assert [m for m, tag, _ in successor.got if tag == name(1) and m == "SETUP"] == []

    run_scenario(test)


def sent_to(server: StandInBox, number: int) -> int:
    return server.methods(name(number)).count("SETUP")
