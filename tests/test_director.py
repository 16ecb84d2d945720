"""The whole path on sockets, from the player over the director to the media box and back, with its
failures."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from memory import MemoryFiles
from sockets import Reply, World, ask, base_of, parse, run

from foxlift import interface as fl
from foxlift.ledger import TurnedAway
from foxlift.store import IntentOutcome


def cap_of(reply: Reply) -> int:
    """The cap for the player in a response, kbit/s (CTA-5006)."""
    name, _, value = reply.headers["cmsd-dynamic"].partition(";mb=")
    assert name.startswith('"')
    return int(value)


def test_a_session_plays_and_a_reload_starts_no_new_one(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded")
        first = await world.manifest(token)
        assert first.status == 200
        assert first.headers["content-type"] == "application/dash+xml"
        port, base = base_of(first)
        assert (await ask(port, f"{base}vod/lo/1.m4s")).status == 200
        assert (await ask(port, f"{base[:-12]}guess/t1/vod/lo/1.m4s")).status in (403, 404)
        again = await world.manifest(token)
        assert again.body == first.body
        assert world.set_ups("a") == 1
        assert len(world.module_events(fl.Ask)) == 1
        assert len(world.module_events(fl.Started)) == 1

    run(tmp_path, test)


def test_a_token_in_a_header_never_enters_a_url(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a")
        bearer = f"authorization: Bearer {token}\r\n"
        shown = await ask(world.port, "/dash/t1/manifest.mpd", headers=bearer)
        assert shown.status == 200
        assert token.encode() not in shown.body
        by_query = await world.manifest(token)
        assert token.encode() in by_query.body

    run(tmp_path, test)


def test_invalid_requests_get_problem_details(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        good = world.token("a")
        cases = {
            "/": 404,
            "/dash/t1/other": 404,
            "/dash/t1/manifest.mpd": 401,
            "/dash/t1/manifest.mpd?token=a.b.c": 401,
            f"/dash/t1/manifest.mpd?token={good}&token={good}": 400,
            f"/dash/t2/manifest.mpd?token={good}": 403,
            f"/dash/t9/manifest.mpd?token={world.token('b', title='t9')}": 404,
            f"/dash/t1/manifest.mpd?token={world.token('c', klass='other')}": 403,
            f"/dash/t1/manifest.mpd?token={world.token('d', expires=5)}": 403,
            f"/dash/t1/manifest.mpd?token={good[:-4]}AAAA": 401,
        }
        for target, status in cases.items():
            reply = await ask(world.port, target)
            assert reply.status == status, target
            assert reply.headers["content-type"] == "application/problem+json"
            assert good[-20:].encode() not in reply.body
        assert (await ask(world.port, "/dash/t1/manifest.mpd", "POST")).status == 405
        assert world.module_events(fl.Ask) == []

    run(tmp_path, test)


def test_two_requests_with_one_token_get_one_session(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded")
        replies = await asyncio.gather(*(world.manifest(token) for _ in range(5)))
        assert {reply.status for reply in replies} == {200}
        assert len({reply.body for reply in replies}) == 1
        assert world.set_ups("a") == 1

    run(tmp_path, test)


def test_waiting_requests_with_one_token_are_limited(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.command("hang", name, True)
        token = world.token("a", "briefing")
        replies = await asyncio.gather(*(world.manifest(token) for _ in range(12)))
        assert sorted(reply.status for reply in replies).count(429) == 4

    run(tmp_path, test)


def test_a_paid_set_up_whose_response_is_lost_fails_and_is_never_repeated(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.command("lose-answers", name, 1.0)
        token = world.token("a", "graded")
        reply = await world.manifest(token)
        assert reply.status == 504
        assert world.set_ups("a") == 1
        for name in world.fleet.boxes:
            world.fleet.command("lose-answers", name, 0.0)
        assert (await world.manifest(token)).status == 502
        assert world.set_ups("a") == 1
        await world.until(lambda: not world.sessions())  # the box keeps no session of it

    run(tmp_path, test)


def test_a_free_set_up_whose_response_is_lost_is_repeated_at_another_box(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        # two boxes store the title; the first that is tried loses its response
        for name in ("b0", "b1"):
            world.fleet.command("lose-answers", name, 1.0)
        request = asyncio.ensure_future(world.manifest(world.token("a", title="t2"), "t2"))
        await world.until(lambda: world.set_ups("a") == 1)
        for name in ("b0", "b1"):
            world.fleet.command("lose-answers", name, 0.0)
        assert (await request).status == 200
        assert world.set_ups("a") == 2
        await world.until(lambda: len(world.sessions()) == 1)  # the session at the first box is released

    run(tmp_path, test)


@pytest.mark.parametrize("moment", ["between intent and send", "between send and answer", "playing"])
def test_a_killed_director_never_sets_a_paid_session_up_again(tmp_path: Path, moment: str) -> None:
    files = MemoryFiles()

    async def test(world: World) -> None:
        token = world.token("a", "graded")
        files.hold = moment == "between intent and send"
        if moment == "between send and answer":
            for name in world.fleet.boxes:
                world.fleet.command("hang", name, True)
        request = asyncio.ensure_future(world.manifest(token))
        if moment == "between intent and send":
            await world.until(lambda: files.held)
            name, data, _ = files.held.pop()
            files.data[name] += data  # it reached the disk, but the writer got no callback
        elif moment == "between send and answer":
            await world.until(lambda: world.director.commands.set_ups)
            await asyncio.sleep(0.05)
        else:
            await request
        world.kill()
        assert (await request).status in (0, 200)
        for name in world.fleet.boxes:
            world.fleet.command("hang", name, False)
        before = world.set_ups("a")
        files.hold = False
        restarted = world.new_director(files=MemoryFiles(files.data))
        port = await restarted.start()
        await world.until(lambda: restarted.core.boxes)
        expected = 410 if moment == "playing" else 502
        assert (await world.manifest(token, port=port)).status == expected
        assert (await world.manifest(world.token("b", "graded"), port=port)).status == 200
        assert world.set_ups("a") == before <= 1
        # a session that the killed director left at a box is released by the next director or by the box
        await world.until(
            lambda: all(
                ".".join(restarted.core.attempts.set_up_id(0, 0).split("-")[:1]) in s
                for s in world.sessions()
            )
        )

    run(tmp_path, test, files=files)


@pytest.mark.parametrize("disk_error", [errno.EIO, errno.ENOSPC, errno.EROFS])
def test_no_paid_set_up_is_sent_without_its_durable_intent(tmp_path: Path, disk_error: int) -> None:
    """The disk fails, is full or is mounted read-only: free viewers are served, counters show the error."""
    files = MemoryFiles()

    async def test(world: World) -> None:
        files.broken, files.error = True, disk_error
        assert (await world.manifest(world.token("a", "graded"))).status == 503
        assert world.set_ups("a") == 0
        assert (await world.manifest(world.token("b", "briefing"))).status == 200
        assert world.director.counters.total("intents not kept") > 0
        assert world.director.counters.total("ledger records not kept") == 1
        files.broken = False  # repaired while the director runs: it does not use the disk again
        assert (await world.manifest(world.token("c", "graded"))).status == 503
        assert world.set_ups("c") == 0

    run(tmp_path, test, files=files)


def test_a_hanging_disk_refuses_paid_viewers_and_does_not_affect_free_ones(tmp_path: Path) -> None:
    files = MemoryFiles()

    async def test(world: World) -> None:
        files.hold = True
        paid = world.token("a", "graded")
        request = asyncio.ensure_future(world.manifest(paid))
        assert (await world.manifest(world.token("b", "briefing"))).status == 200
        assert (await request).status == 503  # nothing was sent: the same token may be used again
        assert world.set_ups("a") == 0
        assert world.director.counters.total("intents too late") > 0
        files.hold = False
        files.release()
        assert (await world.manifest(paid)).status == 200
        assert world.set_ups("a") == 1
        restarted = world.new_director(files=MemoryFiles(files.data))
        assert restarted.intent_log.recovered["a"].outcome is IntentOutcome.STARTED

    edit = "(front (port 0) => (front (port 0) (intent-ms 150)"
    run(tmp_path, test, files=files, edit=edit)


def test_a_drain_between_choice_and_send_of_a_set_up_is_respected(tmp_path: Path) -> None:
    files = MemoryFiles()

    async def test(world: World) -> None:
        files.hold = True
        request = asyncio.ensure_future(world.manifest(world.token("a", "graded", title="t2"), "t2"))
        await world.until(lambda: files.held)
        (set_up,) = [a for _, actions in world.trace for a in actions if isinstance(a, fl.SetUp)]
        chosen = world.director.core.boxes[set_up.node].name
        world.fleet.command("drain", chosen)
        await world.until(lambda: world.director.core.boxes[set_up.node].status is fl.Status.DRAINING)
        files.hold = False
        files.release()
        assert (await request).status == 200
        assert world.fleet.boxes[chosen].set_ups == 0
        (ended,) = world.module_events(fl.Ended)
        assert ended.outcome is fl.Outcome.NEVER_SENT

    run(tmp_path, test, files=files)


def test_if_all_holders_drain_a_viewer_is_refused_at_once_with_a_retry_time(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.command("drain", name)
        boxes = world.director.core.boxes
        await world.until(lambda: all(box.status is fl.Status.DRAINING for box in boxes.values()))
        reply = await world.manifest(world.token("a"))
        assert reply.status == 503
        assert reply.headers["retry-after"] == "1"
        assert reply.headers["foxlift-come-back-ms"] == "500"

    run(tmp_path, test)


def test_a_box_restarted_under_the_same_name_has_lost_its_sessions(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", title="t2")
        first = await world.manifest(token, "t2")
        (set_up,) = world.sessions()
        (name,) = [n for n, box in world.fleet.boxes.items() if box.model.sessions]
        box = world.fleet.boxes[name]
        box.die()
        await box.start(cold=True)  # at once and on the same port, before the box list changes
        await world.until(lambda: world.module_events(fl.Ended))
        (ended,) = world.module_events(fl.Ended)
        assert ended.outcome is fl.Outcome.RESET
        again = await world.manifest(token, "t2")
        assert again.status == 200
        assert base_of(again) != base_of(first)
        assert set_up not in world.sessions()

    run(tmp_path, test)


def test_the_sessions_of_a_silent_box_end_only_after_a_time_out(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        await world.manifest(world.token("a"))
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        # the stream breaks and the box runs on: the director must not end the session
        next(iter(world.director.streams.open_streams.values())).cancel()
        await world.until(lambda: box.streams.directors and len(world.director.streams.open_streams) == 1)
        await asyncio.sleep(0.1)
        assert world.module_events(fl.Ended) == []
        box.die()
        start = world.loop.time()
        await world.until(lambda: world.module_events(fl.Ended))
        assert world.loop.time() - start >= 0.3

    run(tmp_path, test)


@pytest.mark.parametrize("klass", ["graded", "briefing"])
def test_a_client_that_leaves_during_its_set_up_leaves_no_session_behind(tmp_path: Path, klass: str) -> None:
    async def test(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.boxes[name].model.set_up_s = 0.2
        token = world.token("a", klass)
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(f"GET /dash/t1/manifest.mpd?token={token} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        await world.until(lambda: world.director.commands.set_ups)
        await asyncio.sleep(0.05)
        writer.close()
        await world.until(lambda: world.module_events(fl.Withdrawn))
        await world.until(lambda: any(box.model.gone for box in world.fleet.boxes.values()))
        await asyncio.sleep(0.4)
        assert world.sessions() == []
        assert world.director.core.attempts.orphan_count == 0
        assert world.director.core.sessions == {}
        again = await world.manifest(token)
        assert again.status == (502 if klass == "graded" else 200)
        assert world.set_ups("a") == (1 if klass == "graded" else 2)
        assert await reader.read() == b""

    run(tmp_path, test)


def test_an_expired_token_reloads_its_session_but_starts_none(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        now = int(time.time())
        soon = world.token("a", expires=now + 1)  # the leeway is 2 s
        assert (await world.manifest(soon)).status == 200
        # only the director's clock is advanced: after three real seconds the box would release the place
        world.director.timeline._offset_ms += 3100.0
        assert (await world.manifest(soon)).status == 200
        late = world.token("b", expires=now - 1)
        assert (await world.manifest(late)).status == 403

    run(tmp_path, test)


async def _replace_boxes(world: World, answer: Callable[[Any, Any], Awaitable[None]]) -> None:
    """Replace every box by a peer that may violate HTTP."""
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    for name in list(world.fleet.boxes):
        line = world.fleet.list.lines[name]
        world.fleet.list.change(name, plan=type(line.plan)(**{**_fields(line.plan), "announce": port}))
    await world.until(lambda: {box.port for box in world.director.core.boxes.values()} == {port})


def _fields(plan: Any) -> dict[str, Any]:
    return {name: getattr(plan, name) for name in plan.__struct_fields__}


@pytest.mark.parametrize(
    "kind", ["garbage", "huge header", "half-close", "byte a second", "lying", "refuses"]
)
def test_a_misbehaving_box_affects_only_its_own_session(tmp_path: Path, kind: str) -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            if kind == "garbage":
                writer.write(b"\x00\xffnonsense\r\n\r\n" * 10)
            elif kind == "huge header":
                writer.write(b"HTTP/1.1 201 Created\r\n" + b"x: " + b"y" * 200_000)
            elif kind == "half-close":
                writer.write(b"HTTP/1.1 201 Created\r\ncontent-length: 50\r\n\r\n{")
                writer.write_eof()
            elif kind == "lying":
                writer.write(b"HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}")
            elif kind == "refuses":
                head = b"HTTP/1.1 503 No\r\nfoxlift-refusal: full\r\nconnection: close\r\n"
                writer.write(head + b"content-length: 0\r\n\r\n")
                return
            else:
                for byte in b"HTTP/1.1 201 Created\r\n":
                    writer.write(bytes([byte]))
                    await asyncio.sleep(1.0)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def test(world: World) -> None:
        await _replace_boxes(world, answer)
        token = world.token("a", "graded")
        reply = await world.manifest(token)
        if kind == "refuses":
            assert reply.status == 503  # the box states that nothing ran: another attempt is harmless
            assert reply.headers["retry-after"]
        else:
            assert reply.status == 504
            assert (await world.manifest(token)).status == 502
            assert len([a for _, actions in world.trace for a in actions if isinstance(a, fl.SetUp)]) == 1
        assert world.director.core.attempts.live_count == 0

    run(tmp_path, test)


def test_an_outdated_box_list_does_not_undo_a_drain(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        import json

        old = json.dumps(world.fleet.list.delta(0)).encode()
        world.fleet.command("drain", "b0")
        boxes = world.director.core.boxes
        draining = next(box.number for box in boxes.values() if box.name == "b0")
        await world.until(lambda: boxes[draining].status is fl.Status.DRAINING)
        world.fleet.list.stale = old
        polls = world.fleet.list.polls
        # completes the poll; the next response is the old list
        world.fleet.list.change("b1", health="HEALTHY")
        await world.until(lambda: world.fleet.list.polls > polls + 1)
        await asyncio.sleep(0.05)
        assert world.director.core.boxes[draining].status is fl.Status.DRAINING

    run(tmp_path, test)


def test_a_restart_without_the_list_service_uses_the_cached_list(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        world.fleet.command("list-down", value=True)
        world.kill()
        restarted = world.new_director()
        port = await restarted.start()
        assert fl.ListKind.CACHED in [event.kind for event in world.module_events(fl.NodeList)]
        assert (await world.manifest(world.token("a"), port=port)).status == 200
        await world.until(lambda: world.module_events(fl.NodeList)[-1].kind is fl.ListKind.FAILED)
        world.fleet.command("list-down", value=False)
        await world.until(lambda: world.module_events(fl.NodeList)[-1].kind is fl.ListKind.FULL)

    run(tmp_path, test)


def test_notices_reach_the_module_and_its_rung_reaches_box_and_player(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a")
        first = await world.manifest(token)
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        (session,) = box.model.sessions.values()
        before = session.rung
        # too little for any rung: it stays too slow, and the rung is lowered nevertheless
        box.command("weaken", 0.01)
        await world.until(lambda: session.rung < before)
        wanted = {fl.NoteKind.DELIVERED, fl.NoteKind.LINK, fl.NoteKind.RUNG}
        await world.until(lambda: wanted <= {event.kind for event in world.module_events(fl.Note)})
        again = await world.manifest(token)
        assert cap_of(again) < cap_of(first)
        assert again.body == first.body  # a static title's manifest does not change with the rung
        port, base = base_of(again)
        segment = await ask(port, f"{base}vod/lo/1.m4s")
        assert cap_of(segment) == cap_of(again)

    run(tmp_path, test)


def test_thousands_of_idle_connections_do_not_keep_viewers_from_a_response(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        idle = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(2000)]
        assert (await world.manifest(world.token("a"))).status == 200
        excess = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(200)]
        rejected = parse(await excess[-1][0].read())
        assert (rejected.status, rejected.headers["retry-after"]) == (503, "1")
        assert world.director.server.rejected_connections > 0
        # the idle ones are closed after their time-out, and new connections are accepted again
        await world.until(lambda: len(world.director.server.connections) < 100, 10.0)
        assert (await world.manifest(world.token("b"))).status == 200
        for _, writer in idle + excess:
            writer.close()

    edit = "(front (port 0) => (front (port 0) (max-connections 2100) (idle-time-ms 2500)"
    run(tmp_path, test, edit=edit)


def test_a_cached_reload_follows_the_rung_and_the_end_of_its_session(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        token = world.token("a")

        async def reload() -> Reply:
            writer.write(f"GET /dash/t1/manifest.mpd?token={token} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            return parse(head + await reader.readexactly(int(parse(head).headers["content-length"])))

        daemon = world.director
        first = await reload()
        assert [(await reload()).body for _ in range(3)] == [first.body] * 3
        assert daemon.answers.cached_reloads >= 2
        (session,) = daemon.core.sessions.values()
        session.rung = 0  # as a SetRung of the module does
        lower = await reload()
        assert cap_of(lower) < cap_of(first)
        assert cap_of(await reload()) == cap_of(lower)
        reloads_before = daemon.answers.cached_reloads
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        box.die()
        await world.until(lambda: not daemon.core.sessions)
        assert not daemon.answers._cached
        assert not daemon.answers._cached_keys
        again = await reload()
        assert again.status == 200
        assert base_of(again) != base_of(first)
        assert daemon.answers.cached_reloads == reloads_before
        writer.close()

    run(tmp_path, test)


def test_a_stop_answers_pending_requests_and_lets_sessions_play_for_the_grace_time(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        playing = world.token("a")
        assert (await world.manifest(playing)).status == 200
        for box in world.fleet.boxes.values():
            box.model.set_up_s = 0.2
        pending = asyncio.ensure_future(world.manifest(world.token("b")))
        await world.until(lambda: world.director.commands.set_ups)
        stop = asyncio.ensure_future(world.director.stop(600.0))
        await asyncio.sleep(0.02)
        assert (await world.manifest(world.token("c"))).status == 503
        assert (await world.manifest(playing)).status == 200
        assert (await pending).status == 200
        await stop
        with pytest.raises(OSError):
            await world.manifest(playing)

    run(tmp_path, test)


def test_a_stop_flushes_all_records(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        for k in range(20):
            assert (
                await world.manifest(world.token(f"c{k}", "graded" if k % 2 else "briefing"))
            ).status == 200
        journal = world.director.journal
        for k in range(50):  # more than one group waits for the running sync
            journal.handle(0, TurnedAway("t", "briefing", f"refused {k}"))
        assert not journal.log.flushed
        await world.director.stop(0.0)
        assert journal.log.failed is None
        restarted = world.new_director()
        assert len(restarted.journal.book.account.counts) == 50
        assert len(restarted.journal.book.account.charged) == 10

    run(tmp_path, test)


def test_the_outcome_of_an_intent_is_recorded_when_its_session_starts(tmp_path: Path) -> None:
    files = MemoryFiles()

    async def test(world: World) -> None:
        assert (await world.manifest(world.token("a", "graded"))).status == 200
        restarted = world.new_director(files=MemoryFiles(files.data))
        assert restarted.intent_log.recovered["a"].outcome is IntentOutcome.STARTED

    run(tmp_path, test, files=files)
