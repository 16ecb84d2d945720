"""What stand-in boxes send: filler and files, ranges, and the pace of a session's requests together."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sockets import World, ask, base_of, run

from foxlift.standins.media import Filler, Folder, cut
from foxlift.standins.model import AHEAD, CREDIT_S, BoxSession

BODY = bytes(range(100))


@pytest.mark.parametrize(
    ("asked", "status", "where", "expected"),
    [
        ("", 200, None, BODY),
        ("bytes=0-9", 206, "bytes 0-9/100", BODY[:10]),
        ("bytes=90-", 206, "bytes 90-99/100", BODY[90:]),
        ("bytes=90-500", 206, "bytes 90-99/100", BODY[90:]),
        ("bytes=-7", 206, "bytes 93-99/100", BODY[93:]),
        ("bytes=-500", 206, "bytes 0-99/100", BODY),
        ("bytes=100-", 416, "bytes */100", b""),
        ("bytes=500-600", 416, "bytes */100", b""),
        ("bytes=9-3", 416, "bytes */100", b""),
        ("bytes=0-1,5-6", 200, None, BODY),
        ("items=0-1", 200, None, BODY),
        ("bytes=-", 200, None, BODY),
    ],
)
def test_ranges(asked: str, status: int, where: str | None, expected: bytes) -> None:
    part = cut(BODY, asked, ())
    assert (part.status, part.body) == (status, expected)
    assert dict(part.headers).get("content-range") == where
    assert dict(part.headers)["accept-ranges"] == "bytes"


@given(st.text(max_size=30))
def test_any_range_is_answered(asked: str) -> None:
    assert cut(BODY, asked, ()).status in (200, 206, 416)


def test_a_folder_serves_its_files_and_nothing_else(tmp_path: Path) -> None:
    inside = tmp_path / "title"
    (inside / "v").mkdir(parents=True)
    (inside / "v" / "1.m4s").write_bytes(BODY)
    (tmp_path / "secret").write_text("x")
    (inside / "link").symlink_to(tmp_path / "secret")
    media = Folder(inside)
    found = media.part("v/1.m4s", "bytes=1-2", 1.0)
    assert (found.status, found.body) == (206, BODY[1:3])
    assert dict(found.headers)["content-type"] == "video/iso.segment"
    for path in ("v/2.m4s", "v", "", "../secret", "v/../../secret", "link", "/etc/passwd", "v\0x"):
        assert media.part(path, "", 1.0).status == 404, path


def test_filler_is_as_large_as_the_renditions_rate_makes_it() -> None:
    filler = Filler({"v500": 62.5, "a": 8.0}, frozenset({"a"}), 2.0, 1.0)
    assert len(filler.part("v500/3.m4s", "", 999.0).body) == 125_000
    assert len(filler.part("else/3.m4s", "", 10.0).body) == 20_000
    sound = filler.part("a/3.m4s", "", 999.0)
    assert len(sound.body) == 16_000
    assert dict(sound.headers)["content-type"] == "audio/mp4"
    assert filler.part("v500/init.mp4", "", 999.0).body == b"init"


@given(st.lists(st.tuples(st.floats(0, 2), st.integers(1, 5000)), min_size=1, max_size=60))
def test_all_requests_of_a_session_together_keep_to_its_rate(pieces: list[tuple[float, int]]) -> None:
    session = BoxSession("s", "d", "d.r", "t", "p", 1.0, 0, 0.0)
    now, sent, rate = 100.0, [], 1000.0
    for gap, size in pieces:
        now += gap
        now += session.wait(now, size, rate / 2, 2.0)
        sent.append((now, size))
    for begin in {at for at, _ in sent}:
        for end in {at for at, _ in sent if at >= begin}:
            total = sum(size for at, size in sent if begin <= at <= end)
            largest = max(size for _, size in sent)
            assert total <= rate * (end - begin + CREDIT_S / 2) + largest + 1e-6


def test_two_lines_of_one_session_share_its_rate_and_a_short_link_slows_them(tmp_path: Path) -> None:
    async def test(world: World) -> None:
        port, base = base_of(await world.manifest(world.token("a")))
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        (session,) = box.model.sessions.values()
        assert 1.0 <= box.model.speed <= AHEAD
        start = session.paced_to
        await asyncio.gather(*(ask(port, f"{base}vod/x/{k}.m4s") for k in range(4)))
        both = session.paced_to - max(start, world.loop.time() - CREDIT_S - 2.0)
        assert both > 0
        box.command("weaken", 0.05)
        assert box.model.speed == box.model.share < 0.98

    run(tmp_path, test)


def test_a_box_serves_a_folder_with_ranges_types_and_404(tmp_path: Path) -> None:
    folder = tmp_path / "media"
    (folder / "vod" / "lo").mkdir(parents=True)
    (folder / "vod" / "lo" / "1.m4s").write_bytes(BODY * 10)

    async def test(world: World) -> None:
        port, base = base_of(await world.manifest(world.token("a")))
        whole = await ask(port, f"{base}lo/1.m4s")
        assert (whole.status, whole.body) == (200, BODY * 10)
        part = await ask(port, f"{base}lo/1.m4s", headers="range: bytes=995-\r\n")
        assert (part.status, part.body) == (206, BODY[95:])
        assert part.headers["content-range"] == "bytes 995-999/1000"
        beyond = await ask(port, f"{base}lo/1.m4s", headers="range: bytes=1000-\r\n")
        assert (beyond.status, beyond.headers["content-range"]) == (416, "bytes */1000")
        assert (await ask(port, f"{base}lo/2.m4s")).status == 404
        assert "cmsd-dynamic" in part.headers

    run(tmp_path, test, plan={"folder": str(folder)})


def test_a_segment_that_was_begun_goes_on_at_its_rate_when_the_rung_falls(tmp_path: Path) -> None:
    folder = tmp_path / "media"
    (folder / "vod").mkdir(parents=True)
    (folder / "vod" / "1.m4s").write_bytes(bytes(8000))  # some seconds at the rate that is booked

    async def test(world: World) -> None:
        port, base = base_of(await world.manifest(world.token("a")))
        (box,) = [b for b in world.fleet.boxes.values() if b.model.sessions]
        (session,) = box.model.sessions.values()
        asked = asyncio.ensure_future(ask(port, f"{base}1.m4s"))
        await world.until(lambda: session.streams == 1)
        session.rate_kb = 0.001  # at this rate the rest would take for ever
        async with asyncio.timeout(30):
            assert len((await asked).body) == 8000

    run(tmp_path, test, plan={"folder": str(folder)})
