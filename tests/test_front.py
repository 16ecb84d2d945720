"""The director's HTTP interface for browsers: other origins, HEAD and OPTIONS, back URLs, sessions that are
paused."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from memory import MemoryFiles
from sockets import Reply, World, ask, base_of, run
from test_director import cap_of

from foxlift import interface as fl
from foxlift.config import ConfigError
from foxlift.http import Cors
from foxlift.store import IntentOutcome

PREFLIGHT = (
    "origin: http://page.example\r\naccess-control-request-method: GET\r\n"
    "access-control-request-headers: authorization,cmcd-request\r\n"
)
LIST = '(front (port 0) => (front (port 0) (origins "http://page.example" "https://other.example:8443")'


def back_of(reply: Reply) -> tuple[int, str]:
    """Port and path of the back URL, the second BaseURL."""
    text = reply.body.split(b"<BaseURL")[2].split(b">")[1].split(b"<")[0].decode()
    host, _, path = text.removeprefix("http://").partition("/")
    return int(host.partition(":")[2]), f"/{path}"


async def follow(reply: Reply) -> Reply:
    host, _, path = reply.headers["location"].removeprefix("http://").partition("/")
    return await ask(int(host.partition(":")[2]), f"/{path}")


# ---- Other origins ----------------------------------------------------------------------------------------
def test_any_origin_may_read_manifests_refusals_and_segments(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        origin = "origin: http://page.example\r\n"
        shown = await ask(world.port, f"/dash/t1/manifest.mpd?token={world.token('a')}", headers=origin)
        wrong = await ask(world.port, "/dash/t1/manifest.mpd", headers=origin)
        port, base = base_of(shown)
        segment = await ask(port, f"{base}vod/lo/1.m4s", headers=origin)
        lost = await ask(port, "/s/none/x/t1/1.m4s", headers=origin)
        assert [r.status for r in (shown, wrong, segment, lost)] == [200, 401, 200, 404]
        for reply in (shown, wrong, segment, lost):
            assert reply.headers["access-control-allow-origin"] == "*"
            assert reply.headers["timing-allow-origin"] == "*"
            exposed = reply.headers["access-control-expose-headers"].lower()
            assert all(name in exposed for name in ("cmsd-dynamic", "retry-after", "foxlift-come-back-ms"))
            assert "access-control-allow-credentials" not in reply.headers
        assert shown.headers["referrer-policy"] == "no-referrer"
        assert wrong.headers["referrer-policy"] == "no-referrer"

    run(tmp_path, test)


def test_director_and_box_answer_preflights_without_the_module(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        port, base = base_of(await world.manifest(world.token("a")))
        traced = len(world.trace)
        for request_port, target in ((world.port, "/dash/t1/manifest.mpd"), (port, f"{base}vod/lo/1.m4s")):
            reply = await ask(request_port, target, "OPTIONS", headers=PREFLIGHT)
            assert (reply.status, reply.body) == (204, b"")
            assert reply.headers["access-control-allow-origin"] == "*"
            allowed = reply.headers["access-control-allow-headers"].split(", ")
            assert {"authorization", "range", "cmcd-request", "cmcd-session"} <= set(allowed)
            assert "GET" in reply.headers["access-control-allow-methods"]
            assert int(reply.headers["access-control-max-age"]) > 0
        assert len(world.trace) == traced

    run(tmp_path, test)


def test_with_a_list_of_origins_others_are_rejected_and_responses_vary_by_origin(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        target = f"/dash/t1/manifest.mpd?token={world.token('a')}"
        for origin, allowed_origin in (
            ("http://page.example", True),
            ("http://evil.example", False),
            ("null", False),
        ):
            head = f"origin: {origin}\r\n"
            shown = await ask(world.port, target, headers=head)
            before = await ask(world.port, target, "OPTIONS", headers=head + PREFLIGHT.split("\r\n", 1)[1])
            for reply in (shown, before):
                assert reply.headers.get("access-control-allow-origin") == (
                    origin if allowed_origin else None
                )
                assert reply.headers["vary"] == "Origin"
                assert "access-control-allow-credentials" not in reply.headers
        # a cached reload never serves one origin's response to another
        again = [
            await ask(world.port, target, headers=f"origin: {o}\r\n") for o in ("http://page.example",) * 3
        ]
        assert {r.headers["access-control-allow-origin"] for r in again} == {"http://page.example"}

    run(tmp_path, test, edit=LIST)


def test_a_flood_of_preflights_does_not_keep_viewers_from_a_response(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        one = f"OPTIONS /dash/t1/manifest.mpd HTTP/1.1\r\nhost: x\r\n{PREFLIGHT}\r\n".encode()

        async def flood() -> int:
            for _ in range(500):
                writer.write(one * 4)
                await writer.drain()
                for _ in range(4):
                    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 204")
            return 2000

        flooding = asyncio.ensure_future(flood())
        replies = await asyncio.gather(*(world.manifest(world.token(f"c{k}")) for k in range(20)))
        assert {reply.status for reply in replies} == {200}
        assert await flooding == 2000
        writer.close()

    run(tmp_path, test)


def test_the_cache_of_preflights_is_limited() -> None:
    cors = Cors(("http://a.example",))
    for k in range(1000):
        headers = {"origin": f"http://x{k}.example", "access-control-request-method": "GET"}
        assert b"access-control-allow-origin" not in cors.preflight(headers)
    assert len(cors._preflights) <= 256
    assert b"http://a.example" in cors.preflight(
        {"origin": "http://a.example", "access-control-request-method": "GET"}
    )


@pytest.mark.parametrize("origins", ['"*" "http://a.example"', '"a.example"', '"http://a.example/path"'])
def test_invalid_origins_in_the_settings_are_rejected_with_their_position(
    tmp_path: Path, origins: str
) -> None:
    with pytest.raises(ConfigError, match=r"test\.sexp:\d+"):
        run(
            tmp_path,
            lambda world: asyncio.sleep(0),
            edit=f"(front (port 0) => (front (port 0) (origins {origins})",
        )


# ---- HEAD -------------------------------------------------------------------------------------------------
def test_head_responds_as_get_and_sets_nothing_up(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        target = f"/dash/t1/manifest.mpd?token={world.token('a', 'graded')}"
        before = await ask(world.port, target, "HEAD")
        assert (before.status, before.body) == (200, b"")
        assert before.headers["content-type"] == "application/dash+xml"
        assert world.module_events(fl.Ask) == []
        shown = await ask(world.port, target)
        after = await ask(world.port, target, "HEAD")
        assert after.body == b""
        assert after.headers["content-length"] == str(len(shown.body))
        assert cap_of(after) == cap_of(shown)
        assert (await ask(world.port, "/dash/t1/manifest.mpd", "HEAD")).status == 401
        port, base = base_of(shown)
        segment = await ask(port, f"{base}vod/lo/1.m4s", "HEAD")
        assert (segment.status, segment.body) == (200, b"")
        assert int(segment.headers["content-length"]) > 0
        assert world.set_ups("a") == 1

    run(tmp_path, test)


# ---- Back URLs --------------------------------------------------------------------------------------------
def test_a_player_whose_box_died_is_redirected_by_the_second_base_url(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        shown = await world.manifest(world.token("a", title="t2"), "t2")
        port, base = base_of(shown)
        back_port, back = back_of(shown)
        redirect = await ask(back_port, f"{back}vod/lo/7.m4s")
        assert redirect.status == 307
        assert redirect.headers["location"] == f"http://127.0.0.1:{port}{base}vod/lo/7.m4s"
        assert (await follow(redirect)).status == 200
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        box.die()
        await world.until(lambda: world.module_events(fl.Ended))
        second_redirect = await ask(back_port, f"{back}vod/lo/8.m4s")
        assert second_redirect.status == 307
        assert second_redirect.headers["location"] != redirect.headers["location"]
        assert (await follow(second_redirect)).status == 200
        assert len(world.module_events(fl.Ask)) == 2

    run(tmp_path, test)


def test_the_back_url_of_a_paid_session_whose_box_died_sets_nothing_up_again(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        shown = await world.manifest(world.token("a", "graded"))
        back_port, back = back_of(shown)
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        box.die()
        await world.until(lambda: world.module_events(fl.Ended))
        assert (await ask(back_port, f"{back}vod/lo/8.m4s")).status == 410
        assert world.set_ups("a") == 1

    run(tmp_path, test)


def test_the_back_url_has_no_token_that_came_in_a_header(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a")
        bearer = f"authorization: Bearer {token}\r\n"
        shown = await ask(world.port, "/dash/t1/manifest.mpd", headers=bearer)
        back_port, back = back_of(shown)
        assert back.startswith("/dash/t1/back/-/") and token.encode() not in shown.body
        assert (await ask(back_port, f"{back}vod/lo/1.m4s")).status == 401
        assert (await ask(back_port, f"{back}vod/lo/1.m4s", headers=bearer)).status == 307

    run(tmp_path, test)


def test_the_back_url_rejects_other_paths_titles_and_methods(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a")
        assert (await world.manifest(token)).status == 200
        front = f"/dash/t1/back/{token}/"
        for rest, status in (
            ("../../x", 400),
            ("a/%2e%2e/b", 400),
            ("a\\b", 400),
            ("x" * 3000, 400),
            ("vod/lo/1.m4s?a=b", 307),
        ):
            assert (await ask(world.port, front + rest)).status == status, rest
        assert (await ask(world.port, f"/dash/t2/back/{token}/1.m4s")).status == 403
        assert (await ask(world.port, "/dash/t1/back/a.b.c/1.m4s")).status == 401
        assert (await ask(world.port, f"{front}1.m4s", "POST")).status == 405
        assert (await ask(world.port, f"/dash/t1/back/{token}")).status == 404

    run(tmp_path, test)


# ---- Paused sessions --------------------------------------------------------------------------------------
async def start_and_pause(world: World, token: str) -> Reply:
    """Start, load a segment, then pause until the box ends or parks the session."""
    shown = await world.manifest(token)
    assert shown.status == 200
    port, base = base_of(shown)
    assert (await ask(port, f"{base}vod/lo/1.m4s")).status == 200
    for box in world.fleet.boxes.values():
        box.idle_s = 0.2
    await world.until(lambda: world.module_events(fl.Ended))
    for box in world.fleet.boxes.values():
        box.idle_s = 30.0
    return shown


def test_a_paid_session_parked_in_a_pause_is_resumed_and_never_set_up_twice(tmp_path: Path) -> None:
    disk = MemoryFiles()

    async def test(world: World) -> None:
        token = world.token("a", "graded")
        shown = await start_and_pause(world, token)
        assert world.sessions() == []  # its place and rate are free again
        port, base = base_of(shown)
        assert (await ask(port, f"{base}vod/lo/2.m4s")).status == 410
        back_port, back = back_of(shown)
        redirect = await ask(back_port, f"{back}vod/lo/2.m4s")
        assert redirect.status == 307
        assert redirect.headers["location"] == f"http://127.0.0.1:{port}{base}vod/lo/2.m4s"
        assert (await follow(redirect)).status == 200
        again = await world.manifest(token)
        assert base_of(again) == (port, base)
        assert world.set_ups("a") == 1
        assert len(world.module_events(fl.Ask)) == len(world.module_events(fl.Started)) == 2
        account = world.director.journal.book.account
        assert [use.attempts for line, use in account.lines.items() if line.rung < 0] == [1]
        assert len(account.open) == 1
        assert world.director.intent_log is not None
        intent = world.new_director(files=MemoryFiles(disk.data)).intent_log.recovered["a"]
        assert intent.outcome is IntentOutcome.STARTED

    run(tmp_path, test, files=disk)


def test_a_free_session_ended_in_a_pause_is_set_up_anew(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a")
        shown = await start_and_pause(world, token)
        back_port, back = back_of(shown)
        assert (await ask(back_port, f"{back}vod/lo/2.m4s")).status == 307
        assert world.set_ups("a") == 2

    run(tmp_path, test)


def test_a_session_with_many_pauses_counts_as_one_attempt(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded")
        for k in range(4):
            shown = await world.manifest(token)
            assert shown.status == 200
            for box in world.fleet.boxes.values():
                box.idle_s = 0.1
            await world.until(lambda k=k: len(world.module_events(fl.Ended)) > k)  # type: ignore[misc]
            for box in world.fleet.boxes.values():
                box.idle_s = 30.0
        assert world.set_ups("a") == 1

    run(tmp_path, test)


def test_a_token_that_expires_in_a_pause_still_resumes_its_session(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded", expires=int(time.time()) + 1)
        await start_and_pause(world, token)
        await asyncio.sleep(3.2)
        assert (await world.manifest(token)).status == 200
        assert world.set_ups("a") == 1

    run(tmp_path, test)


@pytest.mark.parametrize("cause", ["the box forgot it", "the box died", "too late"])
def test_a_parked_session_that_cannot_be_resumed_gets_410_and_no_new_set_up(
    tmp_path: Path, cause: str
) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded")
        await start_and_pause(world, token)
        (box,) = [b for b in world.fleet.boxes.values() if b.model.parked]
        if cause == "the box forgot it":
            box.model.parked.clear()
        elif cause == "the box died":
            box.die()
            await box.start(cold=False)
        else:
            await asyncio.sleep(1.1)
        assert (await world.manifest(token)).status == 410
        assert (await world.manifest(token)).status == 410
        assert world.set_ups("a") == 1
        assert world.director.core.sessions == {} and world.director.core.attempts.live_count == 0
        assert all(entry.location is None for entry in world.director.core.token_sessions._by_token.values())

    edit = (
        "(boxes (lost-after-ms 400) => (boxes (lost-after-ms 400) (park-s 1)" if cause == "too late" else ""
    )
    run(tmp_path, test, edit=edit)


def test_after_a_lost_response_to_a_resume_the_session_can_still_be_resumed(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded")
        await start_and_pause(world, token)
        (box,) = [b for b in world.fleet.boxes.values() if b.model.parked]
        box.command("hang", True)
        assert (await world.manifest(token)).status == 504
        box.command("hang", False)
        assert (await world.manifest(token)).status == 200
        assert world.set_ups("a") == 1
        assert len(world.sessions()) == 1

    run(tmp_path, test)


def test_a_full_box_refuses_a_resume_with_a_retry_time(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded")
        await start_and_pause(world, token)
        (box,) = [b for b in world.fleet.boxes.values() if b.model.parked]
        box.model.places = 0
        refused = await world.manifest(token)
        assert refused.status == 503
        assert refused.headers["retry-after"]
        box.model.places = 30
        # the module avoids a box for a while after it reported full
        replies = [await world.manifest(token)]
        while replies[-1].status == 503 and len(replies) < 40:
            await asyncio.sleep(0.2)
            replies.append(await world.manifest(token))
        assert replies[-1].status == 200
        assert world.set_ups("a") == 1

    run(tmp_path, test)


def test_requests_that_end_a_pause_at_once_resume_the_session_once(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        token = world.token("a", "graded")
        await start_and_pause(world, token)
        replies = await asyncio.gather(*(world.manifest(token) for _ in range(5)))
        assert {reply.status for reply in replies} == {200}
        assert world.director.counters.total("taken up again") == 1
        assert world.set_ups("a") == 1

    run(tmp_path, test)


def test_a_page_reload_during_a_set_up_joins_it(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        for box in world.fleet.boxes.values():
            box.model.set_up_s = 0.2
        token = world.token("a", "graded")
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(f"GET /dash/t1/manifest.mpd?token={token} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        await world.until(lambda: world.director.commands.set_ups)
        again = asyncio.ensure_future(world.manifest(token))
        await asyncio.sleep(0.02)
        writer.close()  # the page that requested first has left; the second one still waits
        assert (await again).status == 200
        assert world.set_ups("a") == 1
        assert await reader.read() == b""

    run(tmp_path, test)
