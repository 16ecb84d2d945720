"""Which connection from clients a platform director closes for a new one, and which it keeps.

The decisions are tested in virtual time, their effect on clients on loopback sockets with the real director.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from test_platform_crossings import connect_unaccepted, push, read_messages, stall_loop
from test_platform_sockets import Scene, client_connections, name, run_scenario, scene

from foxlift.platform import descriptors
from foxlift.platform.admission import FIRST_BYTE_GRACE_MS, MAX_OVERSHOOT, ConnectionAdmission
from foxlift.standins.platform import Viewer, start_line

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


def test_connections_with_sessions_are_never_evicted() -> None:
    connections = admission(4, proven=4)
    for conn in range(1, 5):
        connections.sessions_changed(conn, 1)
    connections.opened(10_000, 5)
    assert connections.surplus(10_000) == [5]  # nothing else may be evicted
    connections.sessions_changed(2, -1)
    connections.opened(10_001, 6)
    assert connections.surplus(10_001) == [2]


def test_a_proven_client_with_a_partial_message_is_evicted_before_the_newcomer() -> None:
    connections = admission(2, proven=2)
    connections.sessions_changed(1, 1)
    connections.received(10_000, 2, proven=False, partial=True)
    connections.opened(10_001, 3)
    connections.received(10_001, 3, proven=True, partial=False)
    connections.sessions_changed(3, 1)
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
