"""Session ends that cross a handover, a closed connection or a silence, in the core and in server pools."""

from __future__ import annotations

from dataclasses import replace

import pytest
from test_platform_core import World, name
from test_platform_lines import make_pool

from foxlift import interface as fl
from foxlift.platform import events as ev
from foxlift.platform import pool_messages
from foxlift.platform.session_endings import (
    END_RETENTION_MS,
    MAX_ENTRIES,
    MAX_SENDS,
    RELEASE_RETENTION_MS,
    EndSource,
    SessionEndings,
)
from foxlift.platform.settings import Address, ListUpdate
from foxlift.standins.platform import finish_line, rtsp_answer, rtsp_request, start_line

SERVER = 11


def handover_line(tag: str, node: int = SERVER) -> bytes:
    extras = f"home:0;copies:4;top:3;viewer:00000000b4d65521;at:s-{node:08x}"
    return start_line(tag, opts={"extras": extras})


def methods_sent(world: World, tag: str) -> list[bytes]:
    return [data.split(b" ")[0] for _, _, data in world.sent_to_servers if tag.encode() in data]


@pytest.mark.parametrize(("cause", "expected_causes"), [(16, [16]), (41, [41]), (31, [])])
def test_an_end_reported_by_the_server_before_the_handover_reaches_the_viewer(
    cause: int, expected_causes: list[int]
) -> None:
    world = World()
    world.receive_from_server(SERVER, 101, rtsp_request("TEARDOWN", name(1), f"Reason: cause={cause}\r\n"))
    world.receive_from_viewer(handover_line(name(1)))
    assert [m["rc"] for _, m in world.sent_to_viewers if m["verb"] == "FINISH"] == expected_causes
    assert world.core.table_sizes()["sessions"] == (0 if expected_causes else 1)


def test_an_end_reported_by_another_server_does_not_end_the_session() -> None:
    world = World()
    world.receive_from_server(SERVER + 1, 101, rtsp_request("TEARDOWN", name(1), "Reason: cause=41\r\n"))
    world.receive_from_viewer(handover_line(name(1)))
    assert world.core.table_sizes()["sessions"] == 1 and not world.verbs(name(1))


def test_a_release_before_the_handover_reaches_the_server() -> None:
    world = World()
    world.receive_from_viewer(finish_line(name(1), 16), conn=2)
    world.receive_from_viewer(handover_line(name(1)))
    assert world.verbs(name(1)) == ["FINISHED"]  # confirmed, and nothing else is sent
    assert methods_sent(world, name(1)) == [b"TEARDOWN"] and not world.core.table_sizes()["sessions"]


def test_a_release_while_the_handover_waits_for_the_list_reaches_the_server_once_listed() -> None:
    world = World(servers={12: 1})
    world.receive_from_viewer(handover_line(name(1)))
    world.receive_from_viewer(finish_line(name(1), 16))
    listed = World(servers={SERVER: 0, 12: 1}).config.known[0]
    world.handle(ev.ListUpdated(listed))
    assert methods_sent(world, name(1)) == [b"TEARDOWN"] and not world.core.table_sizes()["sessions"]
    world.pass_time(4000)
    assert world.verbs(name(1)) == ["FINISHED"]


def test_a_handover_of_an_ended_session_starts_no_session() -> None:
    world = World()
    node, conn = world.start_session(name(1))
    world.receive_from_server(node, conn, rtsp_request("TEARDOWN", name(1), "Reason: cause=16\r\n"))
    world.receive_from_viewer(handover_line(name(1), node))
    world.receive_from_viewer(handover_line(name(1), node))
    assert world.verbs(name(1)) == ["STARTED", "FINISH"] and not world.core.table_sizes()["sessions"]


def test_a_release_on_a_closed_connection_is_sent_again_unless_confirmed() -> None:
    world = World()
    places = {k: world.start_session(name(k)) for k in (1, 2)}
    for k in (1, 2):
        world.receive_from_viewer(finish_line(name(k), 16))
    node, conn = places[1]
    world.receive_from_server(places[2][0], places[2][1], rtsp_answer(200, name(2), cseq=2))
    for broken in {places[1], places[2]}:
        world.handle(ev.ServerConnectionLost(*broken))
    assert methods_sent(world, name(1)) == [b"TEARDOWN"] * 2 and methods_sent(world, name(2)) == [b"TEARDOWN"]
    assert world.sent_to_servers[-1][:2] == (node, 0)  # on any connection
    for _ in range(5):
        world.handle(ev.ServerConnectionLost(node, conn))
    assert len(methods_sent(world, name(1))) == MAX_SENDS
    world.pass_time(RELEASE_RETENTION_MS + 1)
    world.start_session(name(3))
    assert not len(world.core.session_endings)


def test_a_server_lost_by_silence_gets_releases_of_its_sessions() -> None:
    world = World()
    node, _ = world.start_session(name(1))
    world.handle(ev.ServerLost(node, "gone"))
    assert world.verbs(name(1)) == ["STARTED", "FINISH"] and not methods_sent(world, name(1))
    world.handle(ev.ServerLost(*world.start_session(name(2))[:1], pool_messages.SILENT))
    assert world.verbs(name(2)) == ["STARTED", "FINISH"] and methods_sent(world, name(2)) == [b"TEARDOWN"]


@pytest.mark.parametrize(("back", "lost"), [(4700.0, False), (4803.0, True)])
def test_sessions_are_lost_if_a_silent_server_answers_just_before_the_timeout(
    back: float, lost: bool
) -> None:
    server = make_pool()
    server.handle(0, pool_messages.SessionsChanged(1))
    server.handle(1, pool_messages.ConnectionOpened(1))
    server.handle(2, pool_messages.DataReceived(1))
    for now in range(100, int(back), 100):  # each attempt to connect times out
        for action in server.handle(now, pool_messages.Tick()):
            assert not isinstance(action, pool_messages.SessionsLost)
    opening = [conn for conn, connection in server.connections.items() if not connection.up]
    said = server.handle(back, pool_messages.ConnectionOpened(opening[-1])) if opening else []
    assert opening and (pool_messages.SessionsLost(pool_messages.SILENT) in said) is lost
    assert said[-1] == pool_messages.PingConnection(opening[-1])


def test_recorded_ends_and_releases_are_bounded_in_number_and_time() -> None:
    table = SessionEndings()
    for k in range(2 * MAX_ENTRIES):
        table.record_end(0, name(k), EndSource.VIEWER, cause=16)
        table.release_sent(0, SERVER, name(k), b"x")
    assert len(table._ends) == len(table) == MAX_ENTRIES
    assert (
        table.find_end(1, name(2 * MAX_ENTRIES - 1), SERVER) == (EndSource.VIEWER, 16)
        and table.find_end(1, name(0), SERVER) is None
    )
    assert table.find_end(END_RETENTION_MS + 1, name(2 * MAX_ENTRIES - 1), SERVER) is None
    table.server_removed(SERVER)
    table.expire(END_RETENTION_MS + 1)
    assert not len(table) and not table._ends


@pytest.mark.parametrize("how", ["gone", "left out of a whole list"])
def test_a_server_relisted_as_a_new_process_has_lost_its_sessions(how: str) -> None:
    """Both between two ticks: its silence was not noticed, and its new process answers pings."""
    world = World()
    node, _ = world.start_session(name(1))
    other, _ = world.start_session(name(2))
    before = world.config.known[0]
    [entry] = [server for server in before.servers if server.info.node == node]
    if how == "gone":
        off = ListUpdate(2, False, (replace(entry, info=replace(entry.info, status=fl.Status.GONE)),))
    else:
        off = ListUpdate(
            2,
            True,
            tuple(server for server in before.servers if server.info.node != node),
        )
    world.handle(ev.ListUpdated(off))
    world.now += 500
    world.handle(
        ev.ListUpdated(
            ListUpdate(3, False, (replace(entry, info=replace(entry.info, started_ms=world.now - 10)),))
        )
    )
    assert world.verbs(name(1)) == ["STARTED", "FINISH"]
    assert world.verbs(name(2)) == (["STARTED"] if other != node else ["STARTED", "FINISH"])


def test_a_server_relisted_unchanged_keeps_its_sessions() -> None:
    world = World()
    node, _ = world.start_session(name(1))
    before = world.config.known[0]
    world.handle(
        ev.ListUpdated(
            ListUpdate(
                2,
                True,
                tuple(server for server in before.servers if server.info.node != node),
            )
        )
    )
    for number, started in ((3, 0.0), (4, world.now - 10)):  # from before the session began
        [entry] = [server for server in before.servers if server.info.node == node]
        info = replace(entry.info, started_ms=started)
        world.handle(ev.ListUpdated(ListUpdate(number, False, (replace(entry, info=info),))))
    assert world.verbs(name(1)) == ["STARTED"]


def test_abandoned_set_ups_are_recorded_until_confirmed_or_expired() -> None:
    table = SessionEndings()
    table.setup_abandoned(0, SERVER, 5, name(1))
    assert table.is_abandoned(1, SERVER, 5, name(1))
    assert not table.is_abandoned(1, SERVER, 6, name(1)) and not table.is_abandoned(1, SERVER, 5, name(2))
    table.confirmed(SERVER, 6, name(1))
    assert table.is_abandoned(1, SERVER, 5, name(1))
    table.confirmed(SERVER, 5, name(1))
    assert not table.is_abandoned(1, SERVER, 5, name(1))
    for k in range(2 * MAX_ENTRIES):
        table.setup_abandoned(0, SERVER, 5, name(k))
    assert len(table._abandoned) == MAX_ENTRIES and table.is_abandoned(
        1, SERVER, 5, name(2 * MAX_ENTRIES - 1)
    )
    assert not table.is_abandoned(RELEASE_RETENTION_MS + 1, SERVER, 5, name(2 * MAX_ENTRIES - 1))
    table.expire(RELEASE_RETENTION_MS + 1)
    assert not table._abandoned


def test_a_server_that_restarts_and_loses_its_address_in_one_update_affects_no_others() -> None:
    world = World()
    node, _ = world.start_session(name(1))
    before = world.config.known[0]
    [entry] = [server for server in before.servers if server.info.node == node]
    anew = replace(entry, info=replace(entry.info, started_ms=world.now + 10))
    taker = replace(entry, info=replace(entry.info, node=77, started_ms=world.now + 20))
    last = replace(entry, info=replace(entry.info, node=78), address=Address("10.0.0.78", 5060))
    world.now += 500
    world.handle(ev.ListUpdated(ListUpdate(2, False, (anew, taker, last))))
    assert world.verbs(name(1)) == ["STARTED", "FINISH"]
    assert {77, 78} <= set(world.core.module.nodes) and node not in world.core.module.nodes
