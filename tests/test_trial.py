"""`foxlift try`: real media, a ladder made from it, and the stand-in player on it."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import av
import pytest
import uvloop
from click.testing import CliRunner
from sockets import ask

from foxlift.cli.main import main
from foxlift.manifest import DashSource
from foxlift.rehearsal.trial import Trial, TrialPlan, ladder_of
from foxlift.standins import player
from foxlift.standins.player import Player
from foxlift.standins.sample import PICTURES, make_sample
from foxlift.standins.viewer import Viewer, ViewerAction, ViewingRecord

SECONDS = 14


@pytest.fixture(scope="module")
def media(tmp_path_factory: Any) -> Path:
    folder: Path = tmp_path_factory.mktemp("media")
    make_sample(folder, SECONDS)
    return folder


@pytest.fixture(autouse=True)
def short_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """So that a short title is not all there before anything happens."""
    monkeypatch.setattr(player, "MAX_BUFFER_S", 3.0)


def plan(media: Path, **more: Any) -> TrialPlan:
    return TrialPlan(media, media / "manifest.mpd", **more)


def try_it(media: Path, folder: Path, test: Any, **more: Any) -> list[str]:
    """Run a test against a trial; gives back what the trial told."""
    told: list[str] = []

    async def work() -> None:
        trial = Trial(plan(media, **more), folder, told.append)
        url = await trial.start()
        try:
            await test(trial, url)
        finally:
            await trial.stop()

    uvloop.run(work())
    return told


async def watch(url: str, length_s: float, *actions: ViewerAction, paid: bool = False) -> ViewingRecord:
    """The stand-in player on the trial's own token."""
    address = urlsplit(url)
    viewer = Viewer("v", "trial", "someone", "title", paid, 2000, 5000, 1.0, 3, length_s, 0.0, actions)
    token = address.query.removeprefix("token=")
    made = Player(viewer, [address.port or 0], 0, lambda v, n: ("trial", token), lambda: 0.5)
    return await made.run()


def test_the_sample_is_whole_and_every_segment_starts_with_a_key_frame(media: Path) -> None:
    source = DashSource((media / "manifest.mpd").read_bytes(), "m")
    video = [c for c in source.renditions.periods[0] if c.kind == "video"]
    assert [r.kbps for r in video[0].renditions] == [float(picture.kbps) for picture in PICTURES]
    for k, picture in enumerate(PICTURES):
        for number in (1, 3):
            whole = media / "joined.mp4"
            parts = (media / f"init-{k}.m4s", media / f"chunk-{k}-{number:05d}.m4s")
            whole.write_bytes(b"".join(part.read_bytes() for part in parts))
            with av.open(str(whole)) as file:
                packets = [packet for packet in file.demux() if packet.size]
                assert packets[0].is_keyframe and len(packets) == 48
                assert file.streams.video[0].width == picture.width
            whole.unlink()


def test_the_ladder_shows_one_rendition_more_at_each_rung(media: Path) -> None:
    renditions = DashSource((media / "manifest.mpd").read_bytes(), "m").renditions
    ladder = ladder_of(renditions)
    assert [renditions.fit(kb, ladder[0]).video_kbps for kb in ladder] == [p.kbps for p in PICTURES]
    assert renditions.misfits(ladder, 0) == []


def test_a_viewer_seeks_pauses_and_loads_the_page_again_without_a_stall(media: Path, tmp_path: Path) -> None:
    async def test(trial: Trial, url: str) -> None:
        actions = (
            ViewerAction(0.5, "seek", 5.0),
            ViewerAction(1.0, "pause", 0.5),
            ViewerAction(1.5, "reload"),
        )
        seen = await watch(url, 4.0, *actions)
        assert seen.performed == ["seek", "pause", "reload"]
        assert (seen.stalls, seen.breaks, seen.gave_up) == (0, 0, "")
        assert seen.highest_buffer_s >= 3.0  # a static title is buffered ahead of play
        assert sum(seen.kbps_s.values()) == pytest.approx(4.0, abs=0.6)
        assert len(trial.daemon.core.sessions) == 1

    told = try_it(media, tmp_path, test)
    assert any("plays at b" in line for line in told)
    assert any("rung" in line and "kbit/s" in line for line in told)


def test_a_weak_link_brings_the_player_down_and_a_whole_one_up_again(media: Path, tmp_path: Path) -> None:
    async def test(trial: Trial, url: str) -> None:
        low: list[int] = []
        # a fresh director starts at a middling rung: the session rises once links are heard of
        address = urlsplit(url)
        assert (await ask(address.port or 0, f"{address.path}?{address.query}")).status == 200
        (box,) = [b for b in trial.fleet.boxes.values() if b.model.sessions]
        (session,) = box.model.sessions.values()
        end = asyncio.get_running_loop().time() + 8.0
        while session.max_kbps < 1200 and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        first = session.max_kbps
        assert first >= 1200
        playing = asyncio.ensure_future(watch(url, 10.0))
        await asyncio.sleep(0.5)
        box.command("weaken", 0.1)
        end = asyncio.get_running_loop().time() + 8.0
        while session.max_kbps >= first and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        low.append(session.max_kbps)
        box.command("weaken", 1.0)
        while session.max_kbps <= low[0] and asyncio.get_running_loop().time() < end + 8.0:
            await asyncio.sleep(0.05)
        assert low[0] < first
        assert session.max_kbps > low[0]
        seen = await playing
        assert len(seen.kbps_s) >= 2

    try_it(media, tmp_path, test)


def test_a_box_killed_under_a_static_manifest_costs_a_free_viewer_nothing_seen(
    media: Path, tmp_path: Path
) -> None:
    async def test(trial: Trial, url: str) -> None:
        playing = asyncio.ensure_future(watch(url, 9.0))
        await asyncio.sleep(1.0)
        next(b for b in trial.fleet.boxes.values() if b.model.sessions).die()
        seen = await playing
        assert (seen.breaks, seen.gave_up) == (0, "")
        assert seen.fallbacks >= 1
        assert len([b for b in trial.fleet.boxes.values() if b.model.sessions]) == 1

    try_it(media, tmp_path, test)


def test_a_paid_viewer_who_pauses_for_long_goes_on_with_the_same_set_up(media: Path, tmp_path: Path) -> None:
    async def test(trial: Trial, url: str) -> None:
        seen = await watch(url, 8.0, ViewerAction(1.0, "pause", 3.0), paid=True)
        assert (seen.breaks, seen.gave_up) == (0, "")
        assert sum(box.set_ups for box in trial.fleet.boxes.values()) == 1
        assert trial.daemon.counters.total("taken up again") >= 1

    try_it(media, tmp_path, test, paid=True, pause_s=0.8)


def test_buffers_told_by_cmcd_are_printed(media: Path, tmp_path: Path) -> None:
    async def test(trial: Trial, url: str) -> None:
        address = urlsplit(url)
        shown = await ask(address.port or 0, f"{address.path}?{address.query}")
        base = shown.body.split(b"<BaseURL")[1].split(b">")[1].split(b"<")[0].decode()
        where = urlsplit(base)
        for bl in ("CMCD=bl%3D4200%2Cbr%3D150", "CMCD=bl%3D4300"):
            reply = await ask(where.port or 0, f"{where.path}init-0.m4s?{bl}")
            assert (reply.status, reply.headers["content-type"]) == (200, "video/iso.segment")

    told = try_it(media, tmp_path, test)
    assert len([line for line in told if "buffer 4.2 s" in line]) == 1
    assert not any("buffer 4.3 s" in line for line in told)


def test_try_on_the_command_line_comes_up_and_ends(media: Path, tmp_path: Path) -> None:
    started = time.monotonic()
    result = CliRunner().invoke(main, ["try", "--media", str(media), "--seconds", "0.3", "--json"])
    assert result.exit_code == 0, result.output
    assert time.monotonic() - started < 60
    line = next(line for line in result.output.splitlines() if line.startswith("{"))
    assert json.loads(line)["url"].startswith("http://127.0.0.1:")
    assert CliRunner().invoke(main, ["try", "--media", str(tmp_path)]).exit_code == 2
