"""Discovery that is slow or crowded: heard all the same, and not called more often than it can bear.

Guards against a director that closes each call just before its answer comes, and so never hears of a drain.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections import deque
from pathlib import Path

import pytest
from test_platform_sockets import Scene, run_scenario, scene
from test_platform_watch import numbered

from foxlift.platform import discovery_watch
from foxlift.platform.settings import Address
from foxlift.standins.platform import StandInCoordinator, frame, record

TOLD_AFTER_SILENCE_MS = 4000.0  # what a silent coordinator would have told counts as told by then
EMPTY_FRAME_INTERVAL_S = 1.0


class SlowCoordinator(StandInCoordinator):
    """Its every byte arrives `late_s` late, in order; it sends an empty frame at once and then each second.

    `mute` connections, counted from 1, never get a byte.
    """

    def __init__(self, late_s: float, mute: frozenset[int] = frozenset()) -> None:
        super().__init__()
        self.late_s, self.mute = late_s, mute
        self.opened_at: list[float] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened_at.append(time.monotonic())
        number = len(self.opened_at)
        beats = asyncio.get_running_loop().create_task(self._empty_frames(writer, number))
        try:
            asked = int.from_bytes(await reader.readexactly(8), "big")
            self.asked.append(asked)
            for told, kind, payload in self.frames:
                if told > asked:
                    self.write(writer, number, frame(told, kind, payload))
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            beats.cancel()
            writer.close()

    async def _empty_frames(self, writer: asyncio.StreamWriter, number: int) -> None:
        while True:
            self.write(writer, number, frame(1, 0))
            await asyncio.sleep(EMPTY_FRAME_INTERVAL_S)

    def write(self, writer: asyncio.StreamWriter, number: int, data: bytes) -> None:
        if number not in self.mute:
            asyncio.get_running_loop().call_later(
                self.late_s, lambda: None if writer.is_closing() else writer.write(data)
            )


class DrippingCoordinator(StandInCoordinator):
    """Its answer to each call arrives in ten pieces, evenly over `seconds`."""

    def __init__(self, answer: bytes, seconds: float) -> None:
        super().__init__()
        self.answer, self.seconds = answer, seconds

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.asked.append(int.from_bytes(await reader.readexactly(8), "big"))
        size = len(self.answer) // 10 + 1
        for start in range(0, len(self.answer), size):
            await asyncio.sleep(self.seconds / 10)
            writer.write(self.answer[start : start + size])


async def call(world: Scene, coordinator: StandInCoordinator) -> None:
    """Have the director call this coordinator."""
    host, _, port = coordinator.address.rpartition(":")
    world.director.discovery.handle(discovery_watch.AddressChanged(Address(host, int(port))))


async def hears(world: Scene, coordinator: SlowCoordinator) -> float:
    """Have the director call this coordinator; return the seconds until it has heard of update 2."""
    await coordinator.start()
    coordinator.frames.append((2, 2, record(1, world.servers[0].address, state=1)))
    began = time.monotonic()
    await call(world, coordinator)
    await numbered(world.director, 2)
    return time.monotonic() - began


@pytest.mark.parametrize(("late_s", "calls"), [(0.5, 1), (1.9, 2), (2.5, 2), (4.0, 3)])
def test_a_coordinator_whose_every_byte_is_late_is_heard(tmp_path: Path, late_s: float, calls: int) -> None:
    async def test() -> None:
        async with scene(tmp_path) as world:
            coordinator = SlowCoordinator(late_s)
            took = await hears(world, coordinator)
            assert took <= late_s * calls + 2  # a call that waits long enough is not made again
            await asyncio.sleep(2 * EMPTY_FRAME_INTERVAL_S)  # and stays: its empty frames come in time
            assert len(coordinator.opened_at) == calls
            coordinator.stop()

    run_scenario(test)


def test_a_full_list_that_takes_six_seconds_to_arrive_is_read_on_one_call(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as world:
            servers = [record(k + 1, server.address) for k, server in enumerate(world.servers)]
            coordinator = await DrippingCoordinator(frame(2, 1, b"".join(servers)), 6.0).start()
            await call(world, coordinator)
            await numbered(world.director, 2)
            assert coordinator.asked == [1]
            coordinator.stop()

    run_scenario(test)


def test_a_coordinator_that_never_answers_a_call_is_called_again_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as world:
            coordinator = SlowCoordinator(0.0, mute=frozenset([1]))
            assert await hears(world, coordinator) * 1000 <= TOLD_AFTER_SILENCE_MS
            coordinator.stop()

    run_scenario(test)


@pytest.mark.parametrize("late_s", [0.0, 1.9])
def test_a_coordinator_that_falls_silent_is_called_again_in_time(tmp_path: Path, late_s: float) -> None:
    """Also after a call whose first byte took longer than the usual silence."""

    async def test() -> None:
        async with scene(tmp_path) as world:
            coordinator = SlowCoordinator(late_s)
            await hears(world, coordinator)
            coordinator.mute = frozenset([len(coordinator.opened_at)])
            coordinator.late_s = 0.0
            silent_since = time.monotonic()
            coordinator.frames.append((3, 2, record(1, world.servers[0].address, state=0)))
            await numbered(world.director, 3)
            # what was under way still arrives
            assert (time.monotonic() - silent_since) * 1000 <= TOLD_AFTER_SILENCE_MS + late_s * 1000
            coordinator.stop()

    run_scenario(test)


# ---- A fleet at a coordinator of fixed capacity, virtual time ---------------------------------------------
DIRECTORS = 200
SERVE_MS = 20.0  # for one call: 200 at once take 4 s
EMPTY = discovery_watch.FramesReceived((discovery_watch.Frame(1, None),))


class CrowdedCoordinator:
    """Serves the calls of a fleet in turn. Those that were given up take their time, too."""

    def __init__(self) -> None:
        self.watches = [
            discovery_watch.DiscoveryWatch(Address("10.0.0.1", 4222), 1, seed) for seed in range(DIRECTORS)
        ]
        self.calls_made = 0
        self.heard: set[int] = set()
        self._present_call = dict.fromkeys(range(DIRECTORS), 0)
        self._queue: deque[tuple[int, int]] = deque()  # director and its call
        self._events: list[tuple[float, int, int, int | None, discovery_watch.Event]] = []
        self._order = 0

    def run(self, until: float) -> None:
        for director, watch in enumerate(self.watches):
            self._carry_out(0.0, director, watch.start())
        now = 0.0
        while now < until:
            now += SERVE_MS
            self._deliver(now)
            if self._queue:
                self._serve(now, *self._queue.popleft())

    def _deliver(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            now, _, director, call_number, event = heapq.heappop(self._events)
            if call_number is None or call_number == self._present_call[director]:
                self._carry_out(now, director, self.watches[director].handle(now, event))
                if event is EMPTY:
                    self._schedule(now + EMPTY_FRAME_INTERVAL_S * 1000, director, call_number, EMPTY)

    def _serve(self, now: float, director: int, call_number: int) -> None:
        if call_number == self._present_call[director]:
            self.heard.add(director)
            self._schedule(now, director, call_number, EMPTY)

    def _schedule(
        self, due: float, director: int, call_number: int | None, event: discovery_watch.Event
    ) -> None:
        self._order += 1
        heapq.heappush(self._events, (due, self._order, director, call_number, event))

    def _carry_out(self, now: float, director: int, actions: list[discovery_watch.Action]) -> None:
        for action in actions:
            match action:
                case discovery_watch.OpenConnection():
                    self._present_call[director] += 1
                    opened = discovery_watch.ConnectionOpened()
                    self._schedule(now + 1, director, self._present_call[director], opened)
                case discovery_watch.RequestUpdates():
                    self.calls_made += 1
                    self._queue.append((director, self._present_call[director]))
                case discovery_watch.CloseConnection():
                    self._present_call[director] += 1
                case discovery_watch.StartTimer(delay_ms, timer_id):
                    self._schedule(now + delay_ms, director, None, discovery_watch.TimerExpired(timer_id))


def test_a_fleet_at_a_crowded_coordinator_hears_and_its_calls_do_not_add_up() -> None:
    coordinator = CrowdedCoordinator()
    coordinator.run(30_000.0)
    assert len(coordinator.heard) == DIRECTORS, f"{len(coordinator.heard)}, {coordinator.calls_made} calls"
    assert coordinator.calls_made <= 3 * DIRECTORS  # each call waits twice as long as the one before
