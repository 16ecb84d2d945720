"""Connections from viewers that end while sessions play, and the releases owed to those viewers.

Guards against releases that are kept back until a new session is requested, though viewers are connected.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest
from platform_world import settings
from test_platform_sockets import Scene, client_connections, name, run_scenario, scene

from foxlift.platform.viewer_releases import RETENTION_MS, ViewerReleases, Write
from foxlift.standins.platform import Viewer, finish_line, rtsp_request, start_line

MAX_AT_ONCE = 25  # set-ups, so that none times out on a busy machine


def test_a_connection_on_which_a_viewer_ended_a_session_carries_releases() -> None:
    releases = ViewerReleases()
    releases.session_started(0, 1)
    releases.connection_closed(1, 1)
    assert releases.add(2, 1, "a", b"A") == [] and releases.add(2, 1, "b", b"B") == []
    assert releases.session_ended_by_viewer(3, 2) == [Write(2, b"A"), Write(2, b"B")]  # in order
    assert releases.session_ended_by_viewer(4, 2) == []  # and once
    assert releases.add(5, 1, "c", b"C") == [Write(2, b"C")]


def test_releases_go_on_the_other_new_connection_if_the_first_closes_as_they_are_written() -> None:
    releases = ViewerReleases()
    releases.session_started(0, 1)
    releases.connection_closed(1, 1)
    releases.add(2, 1, "a", b"A")
    releases.add(2, 1, "b", b"B")
    assert len(releases.session_ended_by_viewer(3, 2)) == 2
    assert releases.session_ended_by_viewer(3, 3) == []
    releases.confirmed(2, "a")
    assert releases.connection_closed(4, 2) == [Write(3, b"B")]


def test_a_release_written_to_a_client_that_was_never_served_goes_to_the_next_viewer_too() -> None:
    """Guards against a bad client that is the only one connected when a session ends, and never confirms."""
    releases = ViewerReleases()
    releases.session_requested(0, 1)
    [written] = releases.add(10, 9, "a", b"release")
    assert written.conn == 1
    releases.session_requested(20, 2)  # nothing is known of this one yet
    assert releases.session_started(30, 2) == [Write(2, b"release")]
    assert releases.session_started(40, 2) == [] and releases.session_started(50, 3) == []
    assert releases.connection_closed(60, 1) == []  # it was written where it would go
    releases.confirmed(2, "a")
    assert len(releases) == 0


@pytest.mark.parametrize("end", ["confirmed", "too late"])
def test_a_release_is_not_written_again_once_confirmed_or_too_late(end: str) -> None:
    releases = ViewerReleases()
    releases.session_requested(0, 1)
    assert len(releases.add(10, 9, "a", b"release")) == 1
    if end == "confirmed":
        releases.confirmed(1, "a")
    now = 20.0 if end == "confirmed" else 10 + RETENTION_MS + 1
    assert releases.session_started(now, 2) == []


def test_a_release_on_a_connection_that_is_served_later_is_not_written_there_again() -> None:
    releases = ViewerReleases()
    releases.session_requested(0, 1)
    assert len(releases.add(10, 9, "a", b"release")) == 1
    assert releases.session_started(20, 1) == [] and releases.session_started(30, 2) == []


def test_five_hundred_releases_owed_at_once_are_written_once_on_each_connection() -> None:
    releases = ViewerReleases()
    releases.session_requested(0, 1)
    tags = [f"{k:016x}" for k in range(500)]
    for tag in tags:
        assert [write.conn for write in releases.add(10, 9, tag, tag.encode())] == [1]
    assert [write.data.decode() for write in releases.session_ended_by_viewer(20, 2)] == tags
    assert releases.session_started(30, 2) == [] and releases.session_started(40, 3) == []


@pytest.mark.parametrize("seed", range(30))
def test_no_release_is_written_twice_on_a_connection_in_any_order_of_events(seed: int) -> None:
    """Property over random orders: each goes to a viewers' connection at once if there is one."""
    chance, releases = random.Random(seed), ViewerReleases()
    now = 0.0
    written: set[tuple[int, bytes]] = set()
    viewers: set[int] = set()
    for number in range(600):
        now += chance.choice([0.0, 5.0, 700.0])
        conn = chance.randrange(1, 12)
        writes: list[Write] = []
        match chance.randrange(6):
            case 0:
                writes = releases.session_requested(now, conn)
            case 1:
                viewers.add(conn)
                writes = releases.session_started(now, conn)
            case 2:
                viewers.add(conn)
                writes = releases.session_ended_by_viewer(now, conn)
            case 3:
                writes = releases.connection_closed(now, conn)
                viewers.discard(conn)
                written = {(other, data) for other, data in written if other != conn}
            case 4:
                releases.confirmed(conn, str(chance.randrange(number + 1)))
            case 5:
                writes = releases.add(now, conn, str(number), str(number).encode())
                assert not viewers or {write.conn for write in writes} <= viewers or conn not in viewers
        for write in writes:
            assert (write.conn, write.data) not in written
            written.add((write.conn, write.data))


def test_hundreds_of_releases_written_into_a_reset_are_all_written_again() -> None:
    releases = ViewerReleases()
    releases.session_started(0, 1)
    for number in range(500):
        releases.add(1, 1, str(number), str(number).encode())
    assert releases.connection_closed(2, 1) == []
    again = releases.session_ended_by_viewer(3, 2)
    assert again == [Write(2, str(number).encode()) for number in range(500)]


async def play(world: Scene, viewer: Viewer, count: int) -> None:
    started: set[str] = set()
    for number in range(1, count + 1):
        viewer.send(start_line(name(number), opts={"left": "60000"}))
        while number - len(started) >= MAX_AT_ONCE or len(started) < number == count:
            message = await viewer.read()
            assert message is not None and message["verb"] == "STARTED", message
            started.add(message["tag"])


async def reset(world: Scene, viewer: Viewer) -> None:
    before = len(client_connections(world))
    viewer.writer.transport.abort()
    while len(client_connections(world)) == before:
        await asyncio.sleep(0.01)


def release(world: Scene, numbers: range) -> None:
    for number in numbers:
        writer = world.server_of(name(number)).writers[0]
        writer.write(rtsp_request("TEARDOWN", name(number), "Reason: cause=16\r\n"))


async def released(viewer: Viewer, numbers: range) -> None:
    """Wait for these releases, each of them once; the viewer's own end is confirmed among them."""
    got: list[str] = []
    while len(got) < len(numbers):
        message = await asyncio.wait_for(viewer.read(), 8)
        assert message is not None
        if message["verb"] == "FINISH":
            got.append(message["tag"])
    assert sorted(got) == [name(number) for number in numbers]


@pytest.mark.parametrize("stopping", [False, True], ids=["in service", "in a stop"])
@pytest.mark.parametrize("ended_first", [True, False])
def test_viewers_that_come_back_after_a_reset_hear_of_the_end_of_their_sessions(
    tmp_path: Path, ended_first: bool, stopping: bool
) -> None:
    """One of them ends a session on the new connection, before or after the others' sessions end."""

    async def test() -> None:
        async with scene(tmp_path) as world:
            await play(world, viewer := await world.viewer(), 6)
            if stopping:
                world.director.stop()
            await reset(world, viewer)
            prober, back = await world.viewer(), await world.viewer()
            prober.send(b'{"verb":"ECHO","tag":"%s","opts":{},"rc":0}\n' % name(99).encode())
            prober.send(finish_line(name(98)))  # of no session
            if ended_first:
                back.send(finish_line(name(1)))
                confirmed = await back.read()
                assert confirmed is not None and confirmed["verb"] == "FINISHED"
            release(world, range(2, 7))
            await asyncio.sleep(0.1)
            if not ended_first:
                back.send(finish_line(name(1)))
            await released(back, range(2, 7))
            heard = [await prober.read() for _ in range(2)]
            assert [message and message["verb"] for message in heard] == ["ECHOED", "FINISHED"]

    run_scenario(test)


def test_five_hundred_sessions_that_end_in_a_reset_are_released_on_the_next_connection(
    tmp_path: Path,
) -> None:
    patient = [dict(entry, aim_ms=60_000.0, deadline_ms=60_000.0) for entry in settings()["categories"]]
    wide_links = {"family_info__kb_per_weight": 1e7, "family_info__rack_link_kb": 1e8, "categories": patient}

    async def test() -> None:
        async with scene(tmp_path, servers=4, **wide_links) as world:
            await play(world, viewer := await world.viewer(), 500)
            viewer.reader._transport.pause_reading()  # type: ignore[attr-defined]
            release(world, range(2, 501))
            await asyncio.sleep(0.05)
            await reset(world, viewer)
            back = await world.viewer()
            back.send(finish_line(name(1)))
            await released(back, range(2, 501))

    run_scenario(test)
