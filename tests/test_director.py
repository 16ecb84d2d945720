"""The whole path on sockets: player, director, media box and back, and every hard case of it."""

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
    """The cap that an answer tells a player, kbit/s (CTA-5006)."""
    name, _, value = reply.headers["cmsd-dynamic"].partition(";mb=")
    assert name.startswith('"')
    return int(value)


def test_a_session_plays_and_its_reload_is_no_new_session(tmp_path: Path) -> None:
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
        assert len(world.told(fl.Ask)) == 1
        assert len(world.told(fl.Started)) == 1

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


def test_what_is_wrong_with_a_request_is_told_as_problem_details(tmp_path: Path) -> None:
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
        assert world.told(fl.Ask) == []

    run(tmp_path, test)


def test_two_requests_with_one_token_get_one_session(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded")
        replies = await asyncio.gather(*(world.manifest(token) for _ in range(5)))
        assert {reply.status for reply in replies} == {200}
        assert len({reply.body for reply in replies}) == 1
        assert world.set_ups("a") == 1

    run(tmp_path, test)


def test_a_flood_on_one_token_is_bounded(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.command("hang", name, True)
        token = world.token("a", "briefing")
        replies = await asyncio.gather(*(world.manifest(token) for _ in range(12)))
        assert sorted(reply.status for reply in replies).count(429) == 4

    run(tmp_path, test)


def test_a_paid_set_up_whose_answer_is_lost_fails_and_is_never_repeated(tmp_path: Path) -> None:
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
        await world.until(lambda: not world.sessions())  # the box keeps no ghost of it

    run(tmp_path, test)


def test_a_free_set_up_whose_answer_is_lost_is_repeated_elsewhere(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        # the title lies on two boxes; the first that is tried loses its answer
        for name in ("b0", "b1"):
            world.fleet.command("lose-answers", name, 1.0)
        asked = asyncio.ensure_future(world.manifest(world.token("a", title="t2"), "t2"))
        await world.until(lambda: world.set_ups("a") == 1)
        for name in ("b0", "b1"):
            world.fleet.command("lose-answers", name, 0.0)
        assert (await asked).status == 200
        assert world.set_ups("a") == 2
        await world.until(lambda: len(world.sessions()) == 1)  # what the first box did is taken back

    run(tmp_path, test)


@pytest.mark.parametrize("moment", ["between intent and send", "between send and answer", "playing"])
def test_a_director_killed_never_sets_a_paid_session_up_again(tmp_path: Path, moment: str) -> None:
    files = MemoryFiles()

    async def test(world: World) -> None:
        token = world.token("a", "graded")
        files.hold = moment == "between intent and send"
        if moment == "between send and answer":
            for name in world.fleet.boxes:
                world.fleet.command("hang", name, True)
        asked = asyncio.ensure_future(world.manifest(token))
        if moment == "between intent and send":
            await world.until(lambda: files.held)
            name, data, _ = files.held.pop()
            files.data[name] += data  # it reached the disk, and its writer was never told
        elif moment == "between send and answer":
            await world.until(lambda: world.director.commands.set_ups)
            await asyncio.sleep(0.05)
        else:
            await asked
        world.kill()
        assert (await asked).status in (0, 200)
        for name in world.fleet.boxes:
            world.fleet.command("hang", name, False)
        before = world.set_ups("a")
        files.hold = False
        again = world.new_director(files=MemoryFiles(files.data))
        port = await again.start()
        await world.until(lambda: again.core.boxes)
        expected = 410 if moment == "playing" else 502
        assert (await world.manifest(token, port=port)).status == expected
        assert (await world.manifest(world.token("b", "graded"), port=port)).status == 200
        assert world.set_ups("a") == before <= 1
        # what the killed director left at a box is taken back by the next one, or by the box itself
        await world.until(
            lambda: all(
                ".".join(again.core.attempts.set_up_id(0, 0).split("-")[:1]) in s for s in world.sessions()
            )
        )

    run(tmp_path, test, files=files)


@pytest.mark.parametrize("trouble", [errno.EIO, errno.ENOSPC, errno.EROFS])
def test_no_paid_set_up_leaves_without_its_record(tmp_path: Path, trouble: int) -> None:
    """The disk fails, is full, or was mounted read-only: free viewers go on, the operator is told."""
    files = MemoryFiles()

    async def test(world: World) -> None:
        files.broken, files.error = True, trouble
        assert (await world.manifest(world.token("a", "graded"))).status == 503
        assert world.set_ups("a") == 0
        assert (await world.manifest(world.token("b", "briefing"))).status == 200
        assert world.director.counters.total("intents not kept") > 0
        assert world.director.counters.total("ledger records not kept") == 1
        files.broken = False  # mended under the running director: not trusted again
        assert (await world.manifest(world.token("c", "graded"))).status == 503
        assert world.set_ups("c") == 0

    run(tmp_path, test, files=files)


def test_a_disk_that_hangs_costs_paid_viewers_a_refusal_and_free_ones_nothing(tmp_path: Path) -> None:
    files = MemoryFiles()

    async def test(world: World) -> None:
        files.hold = True
        paid = world.token("a", "graded")
        asked = asyncio.ensure_future(world.manifest(paid))
        assert (await world.manifest(world.token("b", "briefing"))).status == 200
        assert (await asked).status == 503  # nothing left: the same token may come again
        assert world.set_ups("a") == 0
        assert world.director.counters.total("intents too late") > 0
        files.hold = False
        files.release()
        assert (await world.manifest(paid)).status == 200
        assert world.set_ups("a") == 1
        again = world.new_director(files=MemoryFiles(files.data))
        assert again.intent_log.recovered["a"].outcome is IntentOutcome.STARTED

    edit = "(front (port 0) => (front (port 0) (intent-ms 150)"
    run(tmp_path, test, files=files, edit=edit)


def test_a_drain_heard_between_choice_and_send_is_kept(tmp_path: Path) -> None:
    files = MemoryFiles()

    async def test(world: World) -> None:
        files.hold = True
        asked = asyncio.ensure_future(world.manifest(world.token("a", "graded", title="t2"), "t2"))
        await world.until(lambda: files.held)
        (set_up,) = [a for _, actions in world.trace for a in actions if isinstance(a, fl.SetUp)]
        chosen = world.director.core.boxes[set_up.node].name
        world.fleet.command("drain", chosen)
        await world.until(lambda: world.director.core.boxes[set_up.node].status is fl.Status.DRAINING)
        files.hold = False
        files.release()
        assert (await asked).status == 200
        assert world.fleet.boxes[chosen].set_ups == 0
        (ended,) = world.told(fl.Ended)
        assert ended.outcome is fl.Outcome.NEVER_SENT

    run(tmp_path, test, files=files)


def test_all_holders_draining_refuses_at_once_with_a_time_to_come_back(tmp_path: Path) -> None:
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


def test_a_box_back_under_the_same_name_has_lost_its_sessions(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", title="t2")
        first = await world.manifest(token, "t2")
        (set_up,) = world.sessions()
        (name,) = [n for n, box in world.fleet.boxes.items() if box.model.sessions]
        box = world.fleet.boxes[name]
        box.die()
        await box.start(cold=True)  # at once, on the same port, before any list can tell
        await world.until(lambda: world.told(fl.Ended))
        (ended,) = world.told(fl.Ended)
        assert ended.outcome is fl.Outcome.RESET
        again = await world.manifest(token, "t2")
        assert again.status == 200
        assert base_of(again) != base_of(first)
        assert set_up not in world.sessions()

    run(tmp_path, test)


def test_a_silent_box_loses_its_sessions_only_after_a_while(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        await world.manifest(world.token("a"))
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        # the stream breaks, and the box goes on: the director must not take that for the session's end
        next(iter(world.director.streams.open_streams.values())).cancel()
        await world.until(lambda: box.streams.directors and len(world.director.streams.open_streams) == 1)
        await asyncio.sleep(0.1)
        assert world.told(fl.Ended) == []
        box.die()
        start = world.loop.time()
        await world.until(lambda: world.told(fl.Ended))
        assert world.loop.time() - start >= 0.3

    run(tmp_path, test)


@pytest.mark.parametrize("klass", ["graded", "briefing"])
def test_a_client_that_leaves_during_its_set_up_leaves_no_ghost(tmp_path: Path, klass: str) -> None:
    async def test(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.boxes[name].model.set_up_s = 0.2
        token = world.token("a", klass)
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(f"GET /dash/t1/manifest.mpd?token={token} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        await world.until(lambda: world.director.commands.set_ups)
        await asyncio.sleep(0.05)
        writer.close()
        await world.until(lambda: world.told(fl.Withdrawn))
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


def test_an_expired_token_reloads_what_it_started_and_starts_nothing(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        now = int(time.time())
        soon = world.token("a", expires=now + 1)  # the leeway is 2 s
        assert (await world.manifest(soon)).status == 200
        # by its clock alone: in three real seconds its box would let the place go, a little sooner or later
        world.director.timeline._offset_ms += 3100.0
        assert (await world.manifest(soon)).status == 200
        late = world.token("b", expires=now - 1)
        assert (await world.manifest(late)).status == 403

    run(tmp_path, test)


async def _raw_box(world: World, answer: Callable[[Any, Any], Awaitable[None]]) -> None:
    """Put a peer that does not keep to HTTP in the place of every box."""
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
def test_a_box_that_misbehaves_costs_its_session_only(tmp_path: Path, kind: str) -> None:
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
        await _raw_box(world, answer)
        token = world.token("a", "graded")
        reply = await world.manifest(token)
        if kind == "refuses":
            assert reply.status == 503  # the box says that nothing ran: a further try is harmless
            assert reply.headers["retry-after"]
        else:
            assert reply.status == 504
            assert (await world.manifest(token)).status == 502
            assert len([a for _, actions in world.trace for a in actions if isinstance(a, fl.SetUp)]) == 1
        assert world.director.core.attempts.live_count == 0

    run(tmp_path, test)


def test_a_list_older_than_the_one_held_undoes_no_drain(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        import json

        old = json.dumps(world.fleet.list.delta(0)).encode()
        world.fleet.command("drain", "b0")
        boxes = world.director.core.boxes
        draining = next(box.number for box in boxes.values() if box.name == "b0")
        await world.until(lambda: boxes[draining].status is fl.Status.DRAINING)
        world.fleet.list.stale = old
        polls = world.fleet.list.polls
        world.fleet.list.change("b1", health="HEALTHY")  # wakes the poll; the next answer is the old one
        await world.until(lambda: world.fleet.list.polls > polls + 1)
        await asyncio.sleep(0.05)
        assert world.director.core.boxes[draining].status is fl.Status.DRAINING

    run(tmp_path, test)


def test_a_restart_without_the_list_service_goes_by_the_last_list(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        world.fleet.command("list-down", value=True)
        world.kill()
        again = world.new_director()
        port = await again.start()
        assert fl.ListKind.CACHED in [event.kind for event in world.told(fl.NodeList)]
        assert (await world.manifest(world.token("a"), port=port)).status == 200
        await world.until(lambda: world.told(fl.NodeList)[-1].kind is fl.ListKind.FAILED)
        world.fleet.command("list-down", value=False)
        await world.until(lambda: world.told(fl.NodeList)[-1].kind is fl.ListKind.FULL)

    run(tmp_path, test)


def test_the_module_hears_notices_and_its_rung_reaches_box_and_player(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a")
        shown = await world.manifest(token)
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        (session,) = box.model.sessions.values()
        before = session.rung
        box.command("weaken", 0.01)  # too little for any rung: it stays short, and is lowered all the same
        await world.until(lambda: session.rung < before)
        wanted = {fl.NoteKind.DELIVERED, fl.NoteKind.LINK, fl.NoteKind.RUNG}
        await world.until(lambda: wanted <= {event.kind for event in world.told(fl.Note)})
        again = await world.manifest(token)
        assert cap_of(again) < cap_of(shown)
        assert again.body == shown.body  # a static title's manifest does not change with the rung
        port, base = base_of(again)
        segment = await ask(port, f"{base}vod/lo/1.m4s")
        assert cap_of(segment) == cap_of(again)

    run(tmp_path, test)


def test_thousands_of_connections_that_send_nothing_cost_no_viewer_an_answer(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        idle = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(2000)]
        assert (await world.manifest(world.token("a"))).status == 200
        over = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(200)]
        turned = parse(await over[-1][0].read())
        assert (turned.status, turned.headers["retry-after"]) == (503, "1")
        assert world.director.server.rejected_connections > 0
        # the idle ones are closed when their time is up, and the door is open again
        await world.until(lambda: len(world.director.server.connections) < 100, 10.0)
        assert (await world.manifest(world.token("b"))).status == 200
        for _, writer in idle + over:
            writer.close()

    edit = "(front (port 0) => (front (port 0) (max-connections 2100) (idle-time-ms 2500)"
    run(tmp_path, test, edit=edit)


def test_a_remembered_reload_follows_rung_and_end_of_its_session(tmp_path: Path) -> None:
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
        ready = daemon.answers.cached_reloads
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        box.die()
        await world.until(lambda: not daemon.core.sessions)
        assert not daemon.answers._cached
        assert not daemon.answers._cached_keys
        again = await reload()
        assert again.status == 200
        assert base_of(again) != base_of(first)
        assert daemon.answers.cached_reloads == ready
        writer.close()

    run(tmp_path, test)


def test_a_stop_answers_what_is_held_and_lets_sessions_run_to_a_stated_end(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        playing = world.token("a")
        assert (await world.manifest(playing)).status == 200
        for box in world.fleet.boxes.values():
            box.model.set_up_s = 0.2
        held = asyncio.ensure_future(world.manifest(world.token("b")))
        await world.until(lambda: world.director.commands.set_ups)
        stop = asyncio.ensure_future(world.director.stop(600.0))
        await asyncio.sleep(0.02)
        assert (await world.manifest(world.token("c"))).status == 503
        assert (await world.manifest(playing)).status == 200
        assert (await held).status == 200
        await stop
        with pytest.raises(OSError):
            await world.manifest(playing)

    run(tmp_path, test)


def test_a_stop_leaves_nothing_unwritten(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        for k in range(20):
            assert (
                await world.manifest(world.token(f"c{k}", "graded" if k % 2 else "briefing"))
            ).status == 200
        journal = world.director.journal
        for k in range(50):  # more than one group behind the sync that is under way
            journal.handle(0, TurnedAway("t", "briefing", f"refused {k}"))
        assert not journal.log.flushed
        await world.director.stop(0.0)
        assert journal.log.failed is None
        again = world.new_director()
        assert len(again.journal.book.account.counts) == 50
        assert len(again.journal.book.account.charged) == 10

    run(tmp_path, test)


def test_intents_are_settled_as_the_attempts_end(tmp_path: Path) -> None:
    files = MemoryFiles()

    async def test(world: World) -> None:
        assert (await world.manifest(world.token("a", "graded"))).status == 200
        again = world.new_director(files=MemoryFiles(files.data))
        assert again.intent_log.recovered["a"].outcome is IntentOutcome.STARTED

    run(tmp_path, test, files=files)
