"""Which connection from clients a platform director closes for a new one, and which it keeps.

The decisions are tested in virtual time, their effect on clients on loopback sockets with the real director.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest
from test_platform_crossings import connect_unaccepted, push, read_messages, stall_loop
from test_platform_sockets import Scene, client_connections, name, run_scenario, scene

from foxlift.platform import descriptors
from foxlift.platform.admission import FIRST_BYTE_GRACE_MS, MAX_OVERSHOOT, ConnectionAdmission
from foxlift.standins.platform import StandInBox, Viewer, rtsp_answer, start_line

MIN_SOCKETS = 64  # the smallest descriptor limit that the settings allow
REQUEST = start_line(name(1))


def admission(most: int, proven: int = 0) -> ConnectionAdmission:
    """An admission whose connections 1 to `proven` sent a message at time 0 and are idle since."""
    made = ConnectionAdmission(most)
    for conn in range(1, proven + 1):
        made.opened(0, conn)
        made.received(0, conn, proven=True, partial=False)
    return made


# ---- Virtual time -----------------------------------------------------------------------------------------
def test_a_new_connection_is_not_evicted_for_the_next_while_there_is_an_idle_one() -> None:
    connections = admission(8, proven=8)
    connections.opened(10_000, 9)
    connections.opened(10_000.1, 10)
    assert connections.surplus(10_000.2) == [1, 2]
    assert {9, 10} <= set(connections.connections)


def test_a_partial_message_keeps_its_connection_while_there_is_an_idle_one() -> None:
    connections = admission(8, proven=8)
    connections.received(9_000, 1, proven=False, partial=True)  # one that is proven
    connections.opened(9_000, 9)
    connections.received(9_000, 9, proven=False, partial=True)
    connections.opened(9_600, 10)  # the newcomer is past its grace time and has sent a partial message
    assert connections.surplus(9_600) == [2, 3]


def test_connections_without_bytes_are_evicted_before_idle_clients() -> None:
    connections = admission(4, proven=3)
    connections.opened(10_000, 4)
    connections.opened(10_000 + FIRST_BYTE_GRACE_MS, 5)
    assert connections.surplus(10_000 + FIRST_BYTE_GRACE_MS) == [4]


def test_hundreds_of_connections_without_bytes_evict_each_other() -> None:
    """However many send nothing, three quarters of the connections stay with proven clients."""
    connections = admission(100, proven=100)
    closed: list[int] = []
    for k in range(500):
        connections.opened(10_000 + k / 10, 1000 + k)
        closed += connections.surplus(10_000 + k / 10)
    assert sum(1 for conn in closed if conn < 1000) == 25
    assert len(connections.connections) == 100


def test_hundreds_of_partial_messages_evict_each_other() -> None:
    connections = admission(100, proven=100)
    closed: list[int] = []
    for k in range(500):
        connections.opened(10_000 + k / 10, 1000 + k)
        connections.received(10_000 + k / 10, 1000 + k, proven=False, partial=True)
        closed += connections.surplus(10_000 + k / 10)
    assert sum(1 for conn in closed if conn < 1000) == 25


def test_the_connection_without_a_message_for_longest_is_evicted_if_all_have_sessions() -> None:
    """Guards against closing the newcomer, whose request was read: sessions that play need no connection."""
    connections = admission(4, proven=4)
    for conn in range(1, 5):
        connections.sessions_changed(conn, 1)
    connections.received(1, 1, proven=True, partial=False)
    connections.opened(10_000, 5)
    connections.received(10_000, 5, proven=True, partial=False)
    connections.sessions_changed(5, 1)
    connections.setup_opened(5)
    assert connections.surplus(10_000) == [2]
    connections.sessions_changed(3, -1)  # idle: evicted before those with sessions
    connections.opened(10_001, 6)
    assert connections.surplus(10_001) == [3]


def test_a_connection_with_an_open_set_up_is_evicted_last_and_the_busiest_first() -> None:
    connections = admission(3, proven=3)
    for conn, count in ((1, 1), (2, 3), (3, 1)):
        for _ in range(count):
            connections.setup_opened(conn)
    connections.setup_opened(1)
    connections.setup_closed(1, has_started=False)
    connections.opened(10_000, 4)
    assert connections.surplus(10_000) == [2]
    connections.setup_opened(4)
    connections.received(10_000, 4, proven=True, partial=False)
    connections.opened(10_001, 5)
    assert connections.surplus(10_001) == [1]  # of those with one, the one that had one fail


def test_a_fallen_bound_closes_no_connection_with_an_open_set_up() -> None:
    """Guards against closing connections without an answer when more servers are listed."""
    connections = admission(6, proven=6)
    for conn in range(1, 6):
        connections.setup_opened(conn)
    connections.change_bound(2)
    assert connections.surplus(10_000) == [6]
    assert connections.is_over_bound and not connections.surplus(10_100)
    connections.opened(10_200, 7)  # for another, one is answered and closed: the one that has waited least
    connections.received(10_200, 7, proven=True, partial=False)
    connections.setup_opened(7)
    assert connections.surplus(10_200) == [7]
    for conn in list(connections.connections):
        connections.setup_closed(conn, has_started=True)
    assert len(connections.surplus(10_300)) == 3 and not connections.is_over_bound


@pytest.mark.parametrize("seed", range(50))
def test_the_bound_holds_and_open_set_ups_keep_their_connection_while_others_are_without(seed: int) -> None:
    """Property over random clients: while any connection is without an open set-up, one such is closed."""
    chance = random.Random(seed)
    connections = ConnectionAdmission(12)
    open_setups: dict[int, int] = {}
    now = 0.0
    for conn in range(1, 400):
        now += chance.choice([0.0, 1.0, 40.0, 700.0])
        without = {c for c, count in open_setups.items() if not count}
        closed = connections.opened(now, conn)
        open_setups[conn] = 0
        for each in [closed] if closed is not None else []:
            assert not open_setups.pop(each) or not without
        for chosen in chance.sample(sorted(open_setups), min(3, len(open_setups))):
            step = chance.randrange(4)
            if step == 0:
                connections.received(now, chosen, proven=False, partial=True)
            else:
                connections.received(now, chosen, proven=True, partial=False)
            if step == 1:
                connections.setup_opened(chosen)
                connections.sessions_changed(chosen, 1)
                open_setups[chosen] += 1
            elif step == 2 and open_setups[chosen]:
                connections.setup_closed(chosen, has_started=chance.random() < 0.5)
                open_setups[chosen] -= 1
        for each in connections.surplus(now):
            had_setup = open_setups.pop(each) > 0
            assert not had_setup or not any(not count for c, count in open_setups.items() if c != conn)
        assert len(connections.connections) <= 12
        assert set(open_setups) == set(connections.connections)


def test_a_proven_client_with_a_partial_message_is_evicted_before_the_newcomer() -> None:
    connections = admission(2, proven=2)
    connections.sessions_changed(1, 1)
    connections.received(10_000, 2, proven=False, partial=True)
    connections.opened(10_001, 3)
    connections.received(10_001, 3, proven=True, partial=False)
    connections.sessions_changed(3, 1)
    connections.setup_opened(3)
    assert connections.surplus(10_002) == [2]


def test_few_connections_exceed_the_bound_until_all_sockets_are_read() -> None:
    connections = admission(8, proven=8)
    evicted = [connections.opened(10_000, 100 + k) for k in range(200)]
    assert all(closed is None for closed in evicted[:MAX_OVERSHOOT])
    assert all(closed is not None for closed in evicted[MAX_OVERSHOOT:])
    assert len(connections.connections) == 8 + MAX_OVERSHOOT
    connections.surplus(10_000)
    assert len(connections.connections) == 8


def test_the_work_per_connection_does_not_depend_on_their_number() -> None:
    """A tick, and a new connection at the bound, examine overdue connections only."""
    connections = admission(50_000, proven=50_000)
    for conn in range(50_001, 50_101):
        connections.opened(10_000, conn)
    before = connections.examined
    connections.overdue(10_001)
    connections.surplus(10_001)
    assert connections.examined - before <= 300


# ---- Loopback sockets -------------------------------------------------------------------------------------
async def full(world: Scene) -> list[Viewer]:
    """Connect clients up to the bound; each had a test answered and stays connected and idle."""
    clients = []
    for k in range(descriptors.max_client_connections(MIN_SOCKETS)):
        clients.append(await world.viewer())
        clients[-1].send(b'{"verb":"ECHO","tag":"%s","opts":{},"rc":0}\n' % name(100 + k).encode())
        assert await clients[-1].read()
    return clients


@pytest.mark.parametrize("first_bytes", [0, 1, len(REQUEST) // 2, len(REQUEST) - 1])
def test_a_request_in_pieces_is_served_though_others_connect_meanwhile(
    tmp_path: Path, first_bytes: int
) -> None:
    """At the bound, a client sends its request late or in two pieces while others connect."""

    async def test() -> None:
        async with scene(tmp_path, sockets=MIN_SOCKETS) as world:
            clients = await full(world)
            slow = await world.viewer()
            slow.send(REQUEST[:first_bytes])
            for k in range(3):
                other = await world.viewer()
                other.send(start_line(name(50 + k)))
                answer = await other.answer(name(50 + k))
                assert answer is not None and answer["verb"] == "STARTED"
                clients.append(other)
            slow.send(REQUEST[first_bytes:])
            answer = await slow.answer(name(1))
            assert answer is not None, "closed without an answer"
            assert answer["verb"] == "STARTED"
            assert len(client_connections(world)) <= descriptors.max_client_connections(MIN_SOCKETS)

    run_scenario(test)


@pytest.mark.parametrize("silent", [b"", REQUEST[:20]], ids=["silent", "half a message"])
def test_normal_clients_are_served_while_hundreds_connect_without_a_request(
    tmp_path: Path, silent: bytes
) -> None:
    async def test() -> None:
        async with scene(tmp_path, sockets=MIN_SOCKETS) as world:
            await full(world)
            for k in range(40):
                for _ in range(10):
                    noise = await world.viewer()
                    noise.send(silent)
                usual = await world.viewer()
                usual.send(start_line(name(500 + k)))
                answer = await usual.answer(name(500 + k))
                assert answer is not None, f"client {k} was closed without an answer"
                assert answer["verb"] == "STARTED"
                usual.close()

    run_scenario(test)


def test_an_unread_request_keeps_its_connection_when_others_connect(tmp_path: Path) -> None:
    """At the bound, the longest idle client sends a request while the loop is busy accepting others."""

    async def test() -> None:
        async with scene(tmp_path, sockets=MIN_SOCKETS) as world:
            idle, trigger, *_ = await full(world)
            busy = stall_loop(world, lambda: push(idle, start_line(name(2))))
            newcomers = [connect_unaccepted(world, start_line(name(3 + k))) for k in range(4)]
            push(trigger, start_line(name(1)))
            await busy.wait()
            assert await trigger.answer(name(1))
            answer = await idle.answer(name(2))
            assert answer is not None, "closed without an answer"
            assert answer["verb"] == "STARTED"
            for sock in newcomers:
                (answer,) = await read_messages(sock, lambda message: message["verb"] != "PENDING")
                assert answer["verb"] == "STARTED"
                sock.close()

    run_scenario(test)


UNKNOWN = "00000000000000ff"  # a title that no server knows


def refuse_unknown(server: StandInBox) -> Callable[[str, bytes, asyncio.StreamWriter], bool]:
    """Let a server answer set-ups for the unknown title with an error."""

    def behave(tag: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
        is_unknown = int(tag, 16) >= 10_000
        if is_unknown:
            writer.write(rtsp_answer(500, tag))
        return is_unknown

    return behave


async def repeat_refused(world: Scene, viewer: Viewer, numbers: range) -> None:
    """Request sessions of an unknown title, three at a time, and again as soon as one is refused."""
    numbers_left = iter(numbers)
    for _ in range(3):
        viewer.send(start_line(name(next(numbers_left)), title=UNKNOWN))
    with suppress(StopIteration):
        while (message := await viewer.read()) is not None:
            if message["verb"] == "FINISH":
                viewer.send(start_line(name(next(numbers_left)), title=UNKNOWN))


def test_requests_beside_bad_clients_at_the_bound_are_answered(tmp_path: Path) -> None:
    """Guards against closing a connection whose request was read while others only have playing sessions."""

    async def test() -> None:
        async with scene(tmp_path, sockets=MIN_SOCKETS) as world:
            for server in world.servers:
                server.behave = refuse_unknown(server)
            clients = await full(world)
            for k, client in enumerate(clients):
                client.send(start_line(name(300 + k)))
                answer = await client.answer(name(300 + k))
                assert answer is not None and answer["verb"] == "STARTED"
            bad = [
                asyncio.create_task(
                    repeat_refused(world, await world.viewer(), range(10_000 * k, 10_000 * k + 2000))
                )
                for k in range(1, 9)
            ]
            verbs = []
            for k in range(10):
                usual = await world.viewer()
                usual.send(start_line(name(500 + k)))
                answer = await usual.answer(name(500 + k))
                assert answer is not None, f"request {k} was closed without an answer"
                verbs.append(answer["verb"])
            assert "STARTED" in verbs
            for task in bad:
                task.cancel()

    run_scenario(test)


def test_open_set_ups_are_answered_before_their_connection_is_closed_for_others(tmp_path: Path) -> None:
    """Guards against a close without an answer where every connection has an open set-up."""

    async def test() -> None:
        async with scene(tmp_path, sockets=MIN_SOCKETS) as world:
            for server in world.servers:
                server.behave = lambda tag, body, writer: True  # never answers
            clients = await full(world)
            for k, client in enumerate(clients):
                for n in range(2 if k == 3 else 1):
                    client.send(start_line(name(300 + 10 * k + n), "paid", opts={"left": "60000"}))
            while world.director.core.unanswered <= len(clients):
                await asyncio.sleep(0)
            newcomer = await world.viewer()
            newcomer.send(start_line(name(900), "paid", opts={"left": "60000"}))
            for tag in (name(330), name(331)):
                answer = await clients[3].read()
                assert answer is not None and answer["tag"] == tag
                assert (answer["verb"], answer["rc"]) in (("FINISH", 34), ("FINISH", 41))
            assert await clients[3].read() is None
            assert len(client_connections(world)) == len(clients)

    run_scenario(test)
