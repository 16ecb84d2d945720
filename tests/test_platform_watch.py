"""Events that cross on a platform director's watch of the server list: connections, reloads, gaps, drains.

The tests use loopback sockets, except for the fleet that reconnects at once, which runs in virtual time. All
pairs: `docs/design/crossings.md`.
"""

from __future__ import annotations

import asyncio
import heapq
import json
from pathlib import Path

import pytest
from platform_world import config, member
from ports import free_address
from test_platform_sockets import Scene, name, run_scenario, scene

from foxlift import interface as fl
from foxlift.platform import discovery_watch
from foxlift.platform.discovery import Discovery
from foxlift.platform.discovery_connection import DiscoveryConnection
from foxlift.platform.settings import Address, read
from foxlift.platform.transport import PlatformDirector
from foxlift.standins.platform import StandInBox, StandInCoordinator, frame, record, start_line


async def numbered(director: PlatformDirector, number: int) -> None:
    while director.discovery.watch.number < number:
        await asyncio.sleep(0)


def reload_to(world: Scene, address: str) -> None:
    raw = json.loads(world.path.read_bytes())
    world.path.write_bytes(json.dumps(dict(raw, coordinator=address)).encode())
    world.director.reload()


def test_a_connection_that_opens_as_it_times_out_is_closed_and_another_is_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = DiscoveryConnection.connection_made
    given_up: list[DiscoveryConnection] = []

    def too_late(self: DiscoveryConnection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        if not given_up:  # it times out in the iteration in which it opens, before its task resumes
            given_up.append(self)
            discovery = self._owner
            assert isinstance(discovery, Discovery)
            discovery.handle(discovery_watch.TimerExpired(discovery.watch._timer_id))

    monkeypatch.setattr(DiscoveryConnection, "connection_made", too_late)

    async def test() -> None:
        async with scene(tmp_path) as world:
            await world.coordinator.connected.wait()
            while world.director.discovery.connection is None:
                await asyncio.sleep(0)
            assert given_up and given_up[0] is not world.director.discovery.connection
            await world.coordinator.until(lambda: world.coordinator.ended == 1)
            world.coordinator.tell(2, 2, record(1, world.servers[0].address, state=1))
            await numbered(world.director, 2)
            assert world.coordinator.asked == [1]

    run_scenario(test)


def test_a_reload_during_the_start_leaves_one_working_watch(tmp_path: Path) -> None:
    async def test() -> None:
        feeds = [await StandInCoordinator().start() for _ in range(2)]
        server = await StandInBox().start()
        file = tmp_path / "config.json"
        file.write_bytes(config([member(1, server.address)], feeds[0].address, free_address()))
        loop = asyncio.get_running_loop()
        director = PlatformDirector(read(file.read_bytes()), str(file), loop)
        raw = json.loads(file.read_bytes())
        file.write_bytes(json.dumps(dict(raw, coordinator=feeds[1].address)).encode())
        director.reload()  # the signal arrives between the reading of the file and the first connection
        await director.start()
        await feeds[1].connected.wait()
        while director.discovery.connection is None:
            await asyncio.sleep(0)
        feeds[1].tell(2, 2, record(1, server.address, state=1))
        await numbered(director, 2)
        assert feeds[1].asked == [1] and not feeds[0].asked and director.discovery.watch.reconnects == 1
        await director.close()
        for each in feeds:
            each.stop()
        await server.stop()

    run_scenario(test)


def test_frames_of_the_former_coordinator_after_the_first_of_the_new_one_are_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as world:
            await world.coordinator.connected.wait()
            later = await StandInCoordinator().start()
            world.coordinator.tell(2, 2, record(1, world.servers[0].address, state=1))
            await numbered(world.director, 2)
            later.frames.append((3, 2, record(1, world.servers[0].address, state=0)))
            reload_to(world, later.address)
            # what it writes from here on is sent after the reload
            world.coordinator.tell(3, 2, record(2, world.servers[1].address, state=2))
            world.coordinator.tell(4, 2, record(1, world.servers[0].address, state=2))
            await later.connected.wait()
            assert later.asked == [2]
            await numbered(world.director, 3)
            later.tell(4, 2, record(2, world.servers[1].address, state=1))
            await numbered(world.director, 4)
            servers = world.director.core._servers
            assert [servers[k].status for k in (1, 2)] == [fl.Status.READY, fl.Status.DRAINING]
            assert world.coordinator.asked == [1]
            later.stop()

    run_scenario(test)


def test_a_full_list_after_a_gap_keeps_servers_cold_warm_or_draining(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with scene(tmp_path, servers=4, invariants__ramp_time_ms=600_000.0) as world:
            director, addresses = world.director, [server.address for server in world.servers]
            await world.coordinator.connected.wait()
            cold_since = int(director.timeline.now())
            world.coordinator.tell(2, 2, record(1, addresses[0], started=cold_since))
            world.coordinator.tell(3, 2, record(2, addresses[1], state=1, cell=1))
            await numbered(director, 3)
            # permanent gaps: the full list is requested, and its number is the current one
            whole = [
                record(1, addresses[0], started=cold_since),
                record(2, addresses[1], state=1, cell=1),
                record(3, addresses[2], cell=2),
                record(4, addresses[3], cell=3),
            ]
            nodes = director.core.module.nodes
            before = {k: (nodes[k].cold_since, nodes[k].info.status, nodes[k]) for k in nodes}
            world.coordinator.frames = [(3, 1, b"".join(whole))]
            for asks in range(1, discovery_watch.MAX_MISREADS + 1):
                world.coordinator.writers[-1].write(frame(9, 2, record(3, addresses[2], state=2, cell=2)))
                while len(world.coordinator.asked) <= asks:
                    await asyncio.sleep(0)
            assert world.coordinator.asked[-1] == 0
            while director.discovery.watch._misreads:
                await asyncio.sleep(0)
            assert {k: (nodes[k].cold_since, nodes[k].info.status, nodes[k]) for k in nodes} == before
            assert nodes[1].cold_since == cold_since and nodes[3].cold_since < 0
            viewer = await world.viewer()
            for k in range(1, 9):
                viewer.send(start_line(name(k), title=name(k)))
                assert await viewer.answer(name(k))
            assert not [m for m, _, _ in world.servers[1].got if m == "SETUP"]

    run_scenario(test)


def test_a_drain_read_together_with_a_full_list_without_the_server_stops_a_set_up_to_it(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with scene(tmp_path) as world:
            director, addresses = world.director, [server.address for server in world.servers]
            await world.coordinator.connected.wait()
            take = director.core.take_setup
            told: list[int] = []

            def taken(now: float, number: int, node: int, conn: int) -> bytes | None:
                if not told:  # the server is chosen and connected; the set-up is about to be written
                    told.append(node)
                    other = 3 - node
                    drain = frame(2, 2, record(node, addresses[node - 1], state=1, cell=node - 1))
                    whole = frame(3, 1, record(other, addresses[other - 1], cell=other - 1))
                    assert director.discovery.connection is not None
                    director.discovery.connection.data_received(drain + whole)
                return take(now, number, node, conn)

            director.core.take_setup = taken  # type: ignore[method-assign]
            viewer = await world.viewer()
            viewer.send(start_line(name(1), "paid", opts={"left": "60000"}))
            answer = await viewer.answer(name(1))
            assert answer is not None and answer["verb"] == "STARTED" and told
            gone = world.servers[told[0] - 1]
            assert not gone.methods(name(1)) and told[0] not in director.core.module.nodes

    run_scenario(test)


# ---- A fleet at once, virtual time ------------------------------------------------------------------------
DIRECTORS, DOWN_MS = 200, 8000.0


@pytest.mark.parametrize("how", ["refused", "silent"])
def test_two_hundred_directors_reconnect_soon_and_not_at_the_same_moment(how: str) -> None:
    """The coordinator is down: connections close and are refused, or get no reply at all."""
    feeds = [discovery_watch.DiscoveryWatch(Address("10.0.0.1", 4222), 1, seed) for seed in range(DIRECTORS)]
    queue: list[tuple[float, int, int, discovery_watch.Event]] = []
    order = 0

    def at(due: float, k: int, event: discovery_watch.Event) -> None:
        nonlocal order
        order += 1
        heapq.heappush(queue, (due, order, k, event))

    asked: list[list[float]] = [[] for _ in feeds]
    tried: list[float] = []

    def do(now: float, k: int, actions: list[discovery_watch.Action]) -> None:
        for action in actions:
            match action:
                case discovery_watch.OpenConnection():
                    tried.append(now)
                    if not 0 <= now < DOWN_MS:
                        at(now + 1, k, discovery_watch.ConnectionOpened())
                    elif how == "refused":
                        at(now + 1, k, discovery_watch.ConnectionClosed())
                case discovery_watch.RequestUpdates():
                    asked[k].append(now)
                    at(now + 1, k, discovery_watch.FramesReceived((discovery_watch.Frame(1, None),)))
                case discovery_watch.StartTimer(delay, turn):
                    at(now + delay, k, discovery_watch.TimerExpired(turn))

    for k, each in enumerate(feeds):
        do(-1500.0 + k, k, each.start())  # started one after the other
    for k in range(DIRECTORS):
        if how == "refused":
            at(0.0, k, discovery_watch.ConnectionClosed())
        else:
            at(-1.0, k, discovery_watch.FramesReceived((discovery_watch.Frame(1, None),)))
    while queue and queue[0][0] < DOWN_MS + 2000:
        now, _, k, event = heapq.heappop(queue)
        do(now, k, feeds[k].handle(now, event))
    back = [min(t for t in mine if t >= DOWN_MS) - DOWN_MS for mine in asked]
    assert all(t < 0 or t >= DOWN_MS for mine in asked for t in mine)
    # long before 4 s
    assert max(back) <= discovery_watch.MAX_BACKOFF_MS * 1.25 + discovery_watch.CONNECT_TIMEOUT_MS
    most = max(sum(1 for t in back if start <= t < start + 50) for start in range(0, int(max(back)), 10))
    assert most <= DIRECTORS / 4, sorted(back)  # share of the fleet in any 50 ms
    during = sum(1 for t in tried if 0 <= t < DOWN_MS)
    assert during <= DIRECTORS * (DOWN_MS / (discovery_watch.MAX_BACKOFF_MS * 0.75) + 6)
