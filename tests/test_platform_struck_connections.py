"""Connections to a media server that are of no further use and stay open, and messages lost with one.

Guards against releases that a server has sent on such a connection, and that are never asked for again.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from test_platform_lines import make_pool
from test_platform_sockets import name, run_scenario, scene, send_in_time
from test_platform_turns import write_now

from foxlift.platform import pool_messages, pooled_connection, server_pool
from foxlift.platform.pooled_connection import SetupAnswer
from foxlift.standins.platform import (
    StandInBox,
    Viewer,
    finish_line,
    rtsp_answer,
    rtsp_request,
    start_line,
)

VIEWERS_HEAR_WITHIN_S = 8.0  # of the end of their session


def pool_with_connections(count: int, sessions: int, most: int = 8) -> server_pool.ServerPool:
    """Return a pool with idle connections 1 to `count`, opened and heard at 1 ms."""
    pool = make_pool(most)
    for key in range(1, count + 1):
        pool.handle(0, pool_messages.SetupQueued(key))
    for conn in range(1, count + 1):
        pool.handle(1, pool_messages.ConnectionOpened(conn))
    for conn in range(1, count + 1):
        pool.handle(1, pool_messages.DataReceived(conn))
        pool.handle(1, pool_messages.SlotReleased(conn))
    pool.handle(1, pool_messages.SessionsChanged(sessions))
    return pool


# ---- A message that begins and does not end -------------------------------------------------------------
def test_a_connection_on_which_a_message_does_not_end_is_closed() -> None:
    """The rest may never come, and then nothing that follows on the connection can be read."""
    pool = pool_with_connections(2, sessions=2)
    pool.handle(100, pool_messages.PartialMessage(1, True))
    pool.handle(500, pool_messages.PartialMessage(1, True))  # more of it: its time does not begin again
    until = 100 + pooled_connection.INCOMPLETE_TIMEOUT_MS
    assert pool_messages.CloseConnection(1) not in pool.handle(until - 1, pool_messages.Tick())
    assert pool_messages.CloseConnection(1) in pool.handle(until, pool_messages.Tick())


def test_nothing_is_sent_on_a_connection_while_a_message_on_it_is_incomplete() -> None:
    """An answer to a ping would be read as the missing part of the message."""
    pool = make_pool(1)
    pool.handle(0, pool_messages.SetupQueued(7))
    pool.handle(0, pool_messages.ConnectionOpened(1))
    pool.handle(850, pool_messages.PartialMessage(1, True))
    assert pool.handle(1000, pool_messages.Tick()) == []  # quiet, but not pinged
    assert pool.handle(1001, pool_messages.SetupQueued(8)) == []
    # the rest has come: the set-up that waited is sent
    assert pool.handle(1002, pool_messages.DataReceived(1)) == []
    assert pool.handle(1002, pool_messages.PartialMessage(1, False)) == [pool_messages.UseConnection(1, 8)]


def test_each_message_has_its_own_time_to_end() -> None:
    pool = pool_with_connections(1, sessions=1)
    now = 0.0
    for _ in range(50):  # each read ends one message and begins another
        now += 100
        pool.handle(now, pool_messages.DataReceived(1))
        pool.handle(now, pool_messages.PartialMessage(1, True))
        assert pool.handle(now, pool_messages.Tick()) == []


def test_an_answer_that_stops_short_is_not_completed_by_the_answer_to_a_ping(tmp_path: Path) -> None:
    """The viewer would get a description that no media server made for it."""
    patient = {"name": "paid", "idempotency": "fragile", "aim_ms": 500.0, "deadline_ms": 8000.0, "gain": 3.0}
    missing = len(rtsp_answer(200, name(0), cseq=3))  # as long as the answer to a ping

    def stop_short(tag: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
        writer.write(rtsp_answer(200, tag, body + b"x" * missing)[:-missing])
        return True

    async def test() -> None:
        async with scene(tmp_path, servers=1, categories=[patient]) as world:
            viewer = await world.viewer()
            world.servers[0].behave = stop_short
            viewer.send(start_line(name(1), "paid", opts={"left": "8000"}))
            answer = await viewer.answer(name(1))
            assert answer is not None and (answer["verb"], answer["rc"]) == ("FINISH", 41)

    run_scenario(test)


FOLLOWERS = {
    "a note": rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 0.5\r\n"),
    "a release": rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\n"),
    "two notes": 2 * rtsp_request("ANNOUNCE", name(1), "Fail-Word: link\r\nX-Reading: 0.5\r\n"),
    "an answer": rtsp_answer(500, name(7)),
}


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.3])
@pytest.mark.parametrize("follower", FOLLOWERS.values(), ids=FOLLOWERS)
def test_an_answer_that_stops_short_is_not_completed_by_other_messages(
    tmp_path: Path, follower: bytes, delay_s: float
) -> None:
    """Guards against a viewer that is served with another session's message in its description."""

    def stop_short(tag: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if tag != name(2) or len(struck) > 1:
            return False
        struck.append(writer)
        answer = rtsp_answer(200, tag, body + b"x" * len(follower))[: -len(follower)]
        if delay_s:
            writer.write(answer)
            asyncio.get_running_loop().call_later(delay_s, writer.write, follower)
        else:
            writer.write(answer + follower)
        return True

    struck: list[asyncio.StreamWriter] = []

    async def test() -> None:
        async with scene(tmp_path, servers=1) as world:
            struck.clear()
            [server] = world.servers
            viewer = await world.viewer()
            viewer.send(start_line(name(1)))
            assert await viewer.answer(name(1))
            server.behave = stop_short
            viewer.send(start_line(name(2), "paid", opts={"left": "8000"}))
            answer = await viewer.answer(name(2))
            assert answer is not None and (answer["verb"], answer["rc"]) == ("FINISH", 41)
            assert struck == [server.writers[0]]
            await until_closed(server, 1)  # what follows on this connection can't be trusted either

    run_scenario(test)


def test_a_viewers_own_text_may_hold_a_message(tmp_path: Path) -> None:
    """Guards against viewers whose text closes the connections of other sessions."""

    async def test() -> None:
        async with scene(tmp_path, servers=1) as world:
            viewer = await world.viewer()
            text = "".join(follower.decode() for follower in FOLLOWERS.values())
            viewer.send(start_line(name(1), "paid", blob=text))
            answer = await viewer.answer(name(1))
            assert answer is not None and answer["blob"] == f"box\r\n{text}"
            assert not world.servers[0].ended

    run_scenario(test)


# ---- A set-up whose answer never comes ---------------------------------------------------------------------
def test_a_connection_on_which_an_answer_is_missing_is_pinged_before_its_next_set_up() -> None:
    """Nothing may get through on it any more, and the next set-up would be lost on it too."""
    pool = pool_with_connections(2, sessions=2)
    pool.handle(100, pool_messages.SetupQueued(8))
    pool.handle(600, pool_messages.SlotReleased(2, SetupAnswer.OVERDUE))
    assert pool.handle(601, pool_messages.SetupQueued(9)) == [pool_messages.UseConnection(1, 9)]
    assert pool.latest_up == 1  # messages for which any connection will do go out on the other one
    assert pool_messages.PingConnection(2) in pool.handle(700, pool_messages.Tick())
    assert pool_messages.CloseConnection(2) in pool.handle(
        700 + pooled_connection.PING_TIMEOUT_MS, pool_messages.Tick()
    )


def test_any_message_after_a_missing_answer_makes_the_connection_usable_again() -> None:
    """A server that is slow only confirms the cancellation, or answers late: no ping is needed."""
    pool = make_pool(1)
    pool.handle(0, pool_messages.SetupQueued(1))
    pool.handle(1, pool_messages.ConnectionOpened(1))
    pool.handle(500, pool_messages.SlotReleased(1, SetupAnswer.OVERDUE))
    assert pool.handle(501, pool_messages.SetupQueued(2)) == []
    assert pool.handle(502, pool_messages.DataReceived(1)) == [pool_messages.UseConnection(1, 2)]
    assert pool.handle(600, pool_messages.Tick()) == []


def test_a_connection_on_which_a_set_up_was_cancelled_carries_others_and_is_pinged() -> None:
    """Its answer was not due yet: that is no sign of a struck connection, and no proof of a sound one."""
    pool = make_pool(1)
    pool.handle(0, pool_messages.SetupQueued(1))
    pool.handle(1, pool_messages.ConnectionOpened(1))
    pool.handle(20, pool_messages.SlotReleased(1, SetupAnswer.CANCELLED))
    assert pool.handle(21, pool_messages.SetupQueued(2)) == [pool_messages.UseConnection(1, 2)]
    assert pool.handle(100, pool_messages.Tick()) == [pool_messages.PingConnection(1)]


def strike_at(server: StandInBox, struck_tag: str) -> None:
    """Let nothing of the server get through any more on the connection on which this set-up comes."""

    def behave(tag: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if tag == struck_tag:
            server.struck.add(writer)
        return tag == struck_tag

    server.behave = behave


async def until_closed(server: StandInBox, connections: int) -> None:
    """Wait until the director has closed so many connections to the server."""
    while server.ended < connections:
        await asyncio.sleep(0.01)


def test_a_set_up_is_not_sent_behind_one_whose_answer_is_overdue(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path, servers=1) as world:
            viewer = await world.viewer()
            [server] = world.servers
            strike_at(server, name(1))
            await send_in_time(world, viewer, start_line(name(1), "paid", opts={"left": "300"}), 300)
            answer = await viewer.answer(name(1))
            assert answer is not None and (answer["verb"], answer["rc"]) == ("FINISH", 41)
            viewer.send(start_line(name(2), "paid"))
            answer = await viewer.answer(name(2))
            assert answer is not None and answer["verb"] == "STARTED"
            await until_closed(server, 1)
            assert (1, 1) not in world.director.servers.connections  # the struck one, and no other

    run_scenario(test)


def test_a_struck_connection_is_closed_though_its_viewer_left_before_the_answer_was_due(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with scene(tmp_path, servers=1) as world:
            viewer = await world.viewer()
            [server] = world.servers
            strike_at(server, name(1))
            viewer.send(start_line(name(1), "paid"))
            await server.until(lambda: "SETUP" in server.methods(name(1)))
            viewer.send(finish_line(name(1)))
            await until_closed(server, 1)

    run_scenario(test)


def test_a_ping_answered_while_the_process_was_stopped_keeps_its_connection(tmp_path: Path) -> None:
    """Its time-out expires during the pause as well, and timers run before sockets are read."""

    async def test() -> None:
        async with scene(tmp_path, servers=1) as world:
            viewer = await world.viewer()
            [server] = world.servers
            viewer.send(start_line(name(1)))
            answer = await viewer.answer(name(1))
            assert answer is not None and answer["verb"] == "STARTED"
            [writer] = server.writers
            server.struck.add(writer)  # the test answers the ping in its place
            [pool] = world.director.servers.pools.values()
            while not pool.connections[1].pinged_at:
                await asyncio.sleep(0.01)

            def pause() -> float:  # inside a read, so that timers run before the next one
                world.director.client_read = client_read  # type: ignore[method-assign]
                write_now(writer, rtsp_answer(200, name(0), cseq=3))
                time.sleep((pooled_connection.PING_TIMEOUT_MS + 200) / 1000)
                server.struck.clear()
                return client_read()

            client_read = world.director.client_read
            world.director.client_read = pause  # type: ignore[method-assign]
            viewer.send(start_line(name(2)))
            answer = await viewer.answer(name(2))
            assert answer is not None
            await asyncio.sleep(0.3)
            assert (1, 1) in world.director.servers.connections

    run_scenario(test)


# ---- Releases lost with a connection -----------------------------------------------------------------------
def opened(actions: list[pool_messages.Action]) -> list[int]:
    return [action.conn for action in actions if isinstance(action, pool_messages.OpenConnection)]


def test_a_connection_is_opened_in_place_of_a_lost_one_though_others_are_up() -> None:
    """A release sent on the lost one is sent again on the next that is opened, and on no other."""
    pool = pool_with_connections(3, sessions=3)
    assert pool.handle(100, pool_messages.ConnectionLost(2)) == []
    assert opened(pool.handle(150, pool_messages.Tick())) == [4]
    assert pool.handle(151, pool_messages.ConnectionOpened(4)) == [pool_messages.PingConnection(4)]
    assert opened(pool.handle(700, pool_messages.Tick())) == []


def test_a_connection_whose_opening_began_before_the_loss_replaces_nothing() -> None:
    """The server may have accepted it before it sent the release that was lost."""
    pool = pool_with_connections(2, sessions=2)
    pool.handle(2, pool_messages.SetupQueued(7))
    pool.handle(2, pool_messages.SetupQueued(8))
    pool.handle(3, pool_messages.SetupQueued(9))
    assert not pool.connections[3].up
    pool.handle(10, pool_messages.ConnectionLost(1))
    pool.handle(11, pool_messages.ConnectionOpened(3))
    assert opened(pool.handle(100, pool_messages.Tick())) == [4]


def test_a_connection_opened_for_a_set_up_after_the_loss_replaces_the_lost_one() -> None:
    pool = pool_with_connections(2, sessions=2)
    pool.handle(100, pool_messages.SetupQueued(7))
    pool.handle(100, pool_messages.ConnectionLost(1))
    assert pool.handle(110, pool_messages.SetupQueued(8)) == [pool_messages.OpenConnection(3, 250.0)]
    assert opened(pool.handle(120, pool_messages.Tick())) == []  # it is being opened
    pool.handle(121, pool_messages.ConnectionOpened(3))
    assert opened(pool.handle(220, pool_messages.Tick())) == []


def test_a_server_that_closes_each_new_connection_is_not_flooded_with_more() -> None:
    pool = pool_with_connections(2, sessions=2)
    pool.handle(100, pool_messages.ConnectionLost(2))
    attempts = []
    for now in range(100, 20_000, 100):
        pool.handle(now, pool_messages.DataReceived(1))
        for conn in opened(pool.handle(now, pool_messages.Tick())):
            attempts.append(now)
            pool.handle(now, pool_messages.ConnectionOpened(conn))
            pool.handle(now, pool_messages.ConnectionLost(conn))
    within_release_time = [now for now in attempts if now <= 8000]
    assert len(within_release_time) >= 4  # a connection that does not come up is tried again in time
    assert len(attempts) <= 10


def test_no_connection_is_opened_in_place_of_a_lost_one_without_need() -> None:
    """None for a server without sessions, for one that was removed, or after a retirement."""
    idle = pool_with_connections(3, sessions=0)
    idle.handle(100, pool_messages.ConnectionLost(2))
    ended = pool_with_connections(3, sessions=1)
    ended.handle(100, pool_messages.ConnectionLost(2))
    ended.handle(110, pool_messages.SessionsChanged(0))
    removed = pool_with_connections(3, sessions=1)
    removed.handle(90, pool_messages.ServerRemoved())
    removed.handle(100, pool_messages.ConnectionLost(2))
    for pool in (idle, ended, removed):
        assert opened(pool.handle(150, pool_messages.Tick())) == []


def test_a_lost_connection_is_replaced_where_no_more_may_be_opened() -> None:
    """The maximum falls as more servers are listed; an idle connection makes room."""
    pool = pool_with_connections(3, sessions=3)
    pool.max_connections = 1
    pool.handle(100, pool_messages.ConnectionLost(2))
    actions = pool.handle(150, pool_messages.Tick())
    assert [type(action) for action in actions] == [
        pool_messages.RetireConnection,
        pool_messages.OpenConnection,
    ]


async def three_sessions_on_three_connections(server: StandInBox, viewer: Viewer) -> None:
    """Set up sessions 1 to 3 at the same time, so that each has a connection of its own."""
    waiting: list[tuple[str, bytes, asyncio.StreamWriter]] = []

    def behave(tag: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
        waiting.append((tag, body, writer))
        return True

    server.behave = behave
    for number in (1, 2, 3):
        viewer.send(start_line(name(number)))
    await server.until(lambda: len(waiting) == 3)
    for tag, body, writer in waiting:
        writer.write(rtsp_answer(200, tag, b"box\r\n" + body))
        answer = await viewer.answer(tag)
        assert answer is not None and answer["verb"] == "STARTED"
    assert len(server.writers) == 3
    server.behave = None


@pytest.mark.parametrize(
    "spoiled_by", ["an answer that stops short", "an answer that never comes", "a reset"]
)
def test_a_release_sent_on_a_connection_of_no_use_reaches_its_viewer_in_time(
    tmp_path: Path, spoiled_by: str
) -> None:
    """The server sends it on the connection of the set-up, and again on the next that the director opens."""

    async def test() -> None:
        async with scene(tmp_path, servers=1) as world:
            viewer = await world.viewer()
            [server] = world.servers
            await three_sessions_on_three_connections(server, viewer)

            def spoil(tag: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
                if spoiled_by == "an answer that stops short":
                    writer.write(rtsp_answer(200, tag, body)[:-5])
                server.struck.add(writer)
                return True

            if spoiled_by == "a reset":
                server.writers[0].transport.abort()
            else:
                server.behave = spoil
                await send_in_time(world, viewer, start_line(name(4), "paid", opts={"left": "300"}), 300)
            # the release is lost here; other connections stay up, and traffic goes on there
            await server.until(lambda: len(server.writers) == 4)
            server.writers[3].write(rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\n"))
            over = await asyncio.wait_for(viewer.answer(name(1)), 2)
            assert over is not None and (over["verb"], over["rc"]) == ("FINISH", 16)

    began = time.monotonic()
    run_scenario(test)
    assert time.monotonic() - began < VIEWERS_HEAR_WITHIN_S
