"""The configuration rollout with real processes, and faults between them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from control_processes import DIRECTORS, MEMBERS, RELAYS, ControlledFleet, run, titles
from sockets import ask


def version_of(result: tuple[int, str, str]) -> int:
    code, out, errors = result
    assert code == 0, errors
    return int(json.loads(out)["version"])


async def wait_until_applied(world: ControlledFleet, version: int) -> None:
    """Wait until both directors have applied a version, according to the group's status."""

    async def is_applied() -> bool:
        status = await world.status("c1")
        return bool(status["directors"] == 2 and status["in-force"] >= version)

    await world.until(is_applied)


def test_a_change_is_applied_by_every_director_and_survives_the_loss_of_all_control_servers(
    tmp_path: Path,
) -> None:
    async def test(world: ControlledFleet) -> None:
        assert (await world.manifest("d0", "new", "a")).status == 404
        begun = world.loop.time()
        await wait_until_applied(world, version_of(await world.put(titles("new", "other"))))
        assert world.loop.time() - begun < 12.0
        assert await world.offers("new", *DIRECTORS)
        await wait_until_applied(
            world, version_of(await world.put({"titles/t1": None, "removes": ["titles/other"]}))
        )
        for name in DIRECTORS:
            assert (await world.manifest(name, "t1", f"b-{name}")).status == 404
            assert (await world.manifest(name, "other", f"c-{name}")).status == 404
        await world.kill(*MEMBERS, *RELAYS)
        await world.kill("d0")
        await world.start("d0")
        assert await world.offers("new", *DIRECTORS)
        assert (await world.manifest("d0", "t1", "d")).status == 404
        shutil.rmtree(tmp_path / "state-r1")
        await world.start(*MEMBERS, *RELAYS)
        await wait_until_applied(world, version_of(await world.put({"removes": ["titles/t1"]}, "c2")))
        assert await world.offers("t1", *DIRECTORS)

    run(tmp_path, test)


def test_a_refused_change_is_reverted_and_sessions_continue(tmp_path: Path) -> None:
    async def test(world: ControlledFleet) -> None:
        playing = [await world.manifest(name, "t1", "viewer") for name in DIRECTORS]
        bad = version_of(await world.put(titles("bad", manifest="missing.mpd")))

        async def reverted() -> bool:
            return any(revert["version"] == bad for revert in (await world.status("c0"))["reverts"])

        await world.until(reverted)
        (revert,) = (await world.status("c0"))["reverts"]
        assert "titles/bad: " in revert["reason"] and "missing.mpd" in revert["reason"]
        await wait_until_applied(world, revert["by"])
        refused = [name for name in DIRECTORS if world.log_lines(name, "change refused")]
        assert refused  # canaries: one of each relay that has directors
        for name, reply in zip(DIRECTORS, playing, strict=True):
            again = await world.manifest(name, "t1", "viewer")
            assert reply.status == again.status == 200
            assert (await world.manifest(name, "bad", "x")).status == 404
        await wait_until_applied(world, version_of(await world.put(titles("good"))))
        assert await world.offers("good", *DIRECTORS)

    run(tmp_path, test)


def test_a_change_is_carried_out_once_although_its_author_and_a_relay_die(tmp_path: Path) -> None:
    async def test(world: ControlledFleet) -> None:
        world.cut("c0", "c2")  # its author reaches one other member, which is a quorum
        pending_request = asyncio.create_task(world.put(titles("a"), "c0", request="order-a"))
        await world.kill("r0")
        code, _, errors = await pending_request
        assert code in (0, 6), errors
        await world.kill("c0")
        world.restore_links()
        again = version_of(await world.put(titles("a"), "c2", request="order-a"))
        once_more = version_of(await world.put(titles("a"), "c1", request="order-a"))
        assert again == once_more
        await wait_until_applied(world, again)
        assert await world.offers("a", *DIRECTORS)
        await world.start("c0", "r0")

        async def caught_up() -> bool:
            heads = [(await world.status(name))["digest"] for name in (*MEMBERS, *RELAYS)]
            return len(set(heads)) == 1

        await world.until(caught_up)

    run(tmp_path, test)


def test_a_member_with_a_lost_disk_and_a_stalled_one_do_not_fork_the_log(tmp_path: Path) -> None:
    async def test(world: ControlledFleet) -> None:
        version_of(await world.put(titles("a")))
        await world.kill("c2")
        shutil.rmtree(tmp_path / "state-c2")
        await world.start("c2")
        # c2 does not vote on the version that its lost disk may have held: the others decide it
        first = version_of(await world.put(titles("b"), "c1"))
        await wait_until_applied(world, first)
        world.processes["c0"].stop_running(True)
        second = version_of(await world.put(titles("c"), "c2"))
        world.processes["c0"].stop_running(False)
        third = version_of(await world.put(titles("d"), "c0"))
        assert first < second < third
        await wait_until_applied(world, third)
        for title in "abcd":
            assert await world.offers(title, *DIRECTORS)
        assert any(line["lost"] for line in world.log_lines("c2", "disk trusted"))

    run(tmp_path, test)


def test_invalid_requests_and_unknown_senders_are_refused(tmp_path: Path) -> None:
    async def test(world: ControlledFleet) -> None:
        wrong = {"titles/a": {"first-cell": 0, "holders": 0, "manifest": "t1.mpd"}}
        code, _, errors = await world.put(wrong)
        assert code == 3 and "change.json: titles/a:" in errors and "holders" in errors
        code, _, errors = await world.put(titles("a"), "r0")
        assert code == 1 and "not a member of the group: c0, c1, c2" in errors
        code, _, errors = await world.foxlift("configuration", "withdraw", "9", "--at", world.url("c0"))
        assert code == 1 and "version 9 is not kept" in errors
        port = world.ports["c0"]
        body = b'{"request":"x","change":{"puts":{"limits/x":"1"}}}'
        reply = await ask(port, "/config/orders", "POST", body=body)
        assert reply.status == 200 and b"limits/x: no such kind" in reply.body
        watch = b'{"type":"director","sender":"stranger","run":1,"version":0}'
        assert (await ask(port, "/config/watch", "POST", body=watch)).status == 403
        beat = b'{"sender":"r0","run":1,"head":0}'
        assert (await ask(port, "/config/heartbeats", "POST", body=beat)).status == 403
        assert (await ask(port, "/config/watch", "POST", body=b"{")).status == 400
        with contextlib.suppress(ConnectionResetError):  # the server closes with the rest unread
            assert (await ask(port, "/config/watch", "POST", body=b" " * (1 << 19))).status == 413
        assert (await ask(port, "/nothing")).status == 404
        await wait_until_applied(world, version_of(await world.put(titles("fine"))))

    run(tmp_path, test)


@pytest.mark.parametrize("module", ["foxlift.platform.__main__", "foxlift.director.daemon"])
def test_a_director_without_relays_does_not_import_the_rollout(module: str) -> None:
    is_rollout = "m.startswith(('foxlift.rollout', 'foxlift.control'))"
    code = f"import sys, {module}; print([m for m in sys.modules if {is_rollout}])"
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
