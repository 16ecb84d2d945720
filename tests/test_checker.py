"""Each rule of the checker is shown to fail on a director broken on purpose, and to hold on an honest one."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from sockets import World, ask, base_of, run
from terms import BRIEFING, TERMS

from foxlift import interface as fl
from foxlift.http import Exchange
from foxlift.logic import Director
from foxlift.standins.checker import Broken, Checker, Terms, read_records
from foxlift.standins.model import BoxModel

Script = Callable[[World], Awaitable[None]]


def judge(folder: Path, script: Script, terms: Terms = TERMS, **more: Any) -> list[Broken]:
    """Run a script behind taps and judge it."""

    run(folder, script, taps=True, **more)
    return Checker(folder / "taps.bin", terms).judge().broken


def void(_: object) -> None:
    """For callbacks that give nothing back."""


def rules(broken: list[Broken]) -> set[int]:
    return {b.rule for b in broken}


async def plain(world: World) -> None:
    tokens = [world.token(f"c{k}", "graded" if k % 3 else "briefing") for k in range(12)]
    replies = await asyncio.gather(*map(world.manifest, tokens))
    assert {reply.status for reply in replies} == {200}
    await asyncio.gather(*map(world.manifest, tokens))


def test_an_honest_director_on_a_plain_day_breaks_nothing(tmp_path: Path) -> None:
    assert judge(tmp_path, plain) == []


def test_rule_1_a_refusal_that_is_never_sent(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.command("drain", name)
        boxes = world.director.core.boxes
        await world.until(lambda: all(b.status is fl.Status.DRAINING for b in boxes.values()))
        world.director.answers.refuse = lambda *_: None  # type: ignore[method-assign]
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        target = f"/dash/t1/manifest.mpd?token={world.token('a')}"
        writer.write(f"GET {target} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        await asyncio.sleep(1.0)
        writer.close()
        assert await reader.read() == b""

    terms = replace(TERMS, classes={"briefing": replace(BRIEFING, deadline_s=0.9)})
    assert rules(judge(tmp_path, script, terms)) == {1}


@pytest.mark.parametrize("kind", ["twice", "late", "dropped"])
def test_rule_1_an_answer_twice_late_or_dropped(tmp_path: Path, kind: str) -> None:
    async def script(world: World) -> None:
        daemon, shown = world.director, world.director.answers.show

        def show(request: int, session: Any) -> str:
            exchange: Exchange = daemon.answers.pending[request].exchange
            connection = exchange._connection
            assert connection is not None
            if kind == "dropped":
                connection.abort()
            elif kind == "late":
                daemon.timeline.later(700.0, lambda: void(shown(request, session)))
            else:
                connection.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                shown(request, session)
            return kind

        daemon.answers.show = show  # type: ignore[method-assign]
        with contextlib.suppress(ConnectionError):
            reply = await world.manifest(world.token("a"))
            assert reply.status == (0 if kind == "dropped" else 200)

    terms = replace(TERMS, classes={"briefing": replace(BRIEFING, deadline_s=0.5)})
    assert 1 in rules(judge(tmp_path, script, terms))


class PaysTwice(Director):
    """Sends a paid set-up again though it may have run."""

    def _may_retry(self, session: Any) -> bool:
        return bool(session.attempts < 3)


class RefusesWhatRan(Director):
    """Says that a further try is harmless when it is not."""

    def _give_up(self, session: Any) -> None:
        self.sessions.pop(session.ask.session, None)
        self.held.pop(session.ask.session, None)
        self.actions.append(fl.Refuse(session.ask.session, 100.0))


@pytest.mark.parametrize("make", [Director, PaysTwice, RefusesWhatRan])
def test_rule_2_a_paid_set_up_again_or_refused_after_it_may_have_run(
    tmp_path: Path, make: type[Director]
) -> None:
    async def script(world: World) -> None:
        for box in world.fleet.boxes.values():
            box._put = lambda exchange, set_up: exchange.reply_problem(500, "x")  # type: ignore[method-assign]
        await world.manifest(world.token("a", "graded"))

    broken = judge(tmp_path, script, make=make)
    assert rules(broken) == (set() if make is Director else {2})
    if make is not Director:
        assert ("set up again" if make is PaysTwice else "refused") in broken[0].what


class IgnoresDrains(Director):
    """Takes every listed box for ready."""

    def _update_node(self, info: fl.NodeInfo, kind: fl.ListKind) -> None:
        super()._update_node(replace(info, status=fl.Status.READY), kind)


@pytest.mark.parametrize("make", [Director, IgnoresDrains])
def test_rule_3_new_work_for_a_box_that_drains(tmp_path: Path, make: type[Director]) -> None:
    async def script(world: World) -> None:
        for name in ("b0", "b1"):
            world.fleet.command("drain", name)
        boxes = world.director.core.boxes.values()
        await world.until(lambda: sum(b.status is fl.Status.DRAINING for b in boxes) == 2)
        await asyncio.sleep(0.3)
        await world.manifest(world.token("a", title="t2"), "t2")

    broken = judge(tmp_path, script, replace(TERMS, drain_grace_s=0.2), make=make)
    assert rules(broken) == (set() if make is Director else {3})


class HeedsNoCold(Director):
    """Sends a cold box all that comes."""

    def _has_cold_turn(self, node: Any, ask: fl.Ask, rivals: Any) -> bool:
        return True


@pytest.mark.parametrize("make", [Director, HeedsNoCold])
def test_rule_4_a_cold_box_flooded(tmp_path: Path, make: type[Director]) -> None:
    async def script(world: World) -> None:
        assert world.recorder is not None
        world.fleet.boxes["b0"].die()
        world.recorder.mark("return", box="b0")
        world.fleet.command("return", "b0")
        started = next(box for box in world.director.core.boxes.values() if box.name == "b0").number
        boxes = world.director.core.boxes
        await world.until(lambda: boxes[started].started_unix_ms > 0)
        world.fleet.command("drain", "b1")
        await asyncio.sleep(0.1)
        tokens = [world.token(f"c{k}", title="t2") for k in range(40)]
        await asyncio.gather(*(world.manifest(token, "t2") for token in tokens))

    edit = "(link-kb-per-weight 7000) => (link-kb-per-weight 70000)\n(uplink-kb 12000) => (uplink-kb 120000)"
    broken = judge(tmp_path, script, make=make, edit=edit)
    assert rules(broken) == (set() if make is Director else {4})


@pytest.mark.parametrize("honest", [True, False])
def test_rule_5_a_floor_and_seats_that_are_not_heeded(tmp_path: Path, honest: bool) -> None:
    async def script(world: World) -> None:
        for box in world.fleet.boxes.values():
            box.command("weaken", 0.15)
        tokens = [world.token(f"c{k}", "briefing", title="t2") for k in range(8)]
        await asyncio.gather(*(world.manifest(token, "t2") for token in tokens))

    stated = "(worth 1) (top 2) => (worth 1) (top 2) (floor 1) (seats 3)"
    terms = replace(TERMS, classes={"briefing": replace(BRIEFING, floor=1, seats=3)})
    broken = judge(tmp_path, script, terms, edit=stated if honest else "")
    whats = " ".join(b.what for b in broken)
    assert rules(broken) == (set() if honest else {5})
    assert honest or ("shown rungs" in whats and "sessions of t2" in whats)


@pytest.mark.parametrize("honest", [True, False])
def test_rule_6_further_attempts_beyond_the_budget(tmp_path: Path, honest: bool) -> None:
    async def script(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.command("lose-answers", name, 1.0)
        tokens = [world.token(f"c{k}") for k in range(4)]
        await asyncio.gather(*map(world.manifest, tokens))

    stated = "(come-back-max-ms 500) => (come-back-max-ms 500) (extra-free 1) (extra-span-ms 5000)"
    terms = replace(TERMS, extra_free=1.0, extra_span_s=5.0)
    broken = judge(tmp_path, script, terms, edit=stated if honest else "")
    assert rules(broken) == (set() if honest else {6})


def test_two_attempts_out_at_once_are_seen(tmp_path: Path) -> None:
    """The product's own guard raises before this can happen: the traffic is written by hand."""
    path = tmp_path / "taps.bin"
    order = {"director": "d0", "title": "t1", "class": "briefing", "claim": "a", "paid": False, "rung": 0}

    def put(t: float, number: int, box: str, attempt: int) -> bytes:
        body = json.dumps(order).encode()
        head = f"PUT /sessions/d0.x-1-{attempt} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        opened = {"t": t, "tap": box, "c": number, "k": "open", "n": 0}
        line = {"t": t, "tap": box, "c": number, "k": "up", "n": len(data)}
        return json.dumps(opened).encode() + b"\n\n" + json.dumps(line).encode() + b"\n" + data + b"\n"

    path.write_bytes(put(1.0, 1, "box:b0", 0) + put(2.0, 2, "box:b1", 1))
    assert [b.what for b in Checker(path, TERMS).judge().broken] == ["d0.x-1: two attempts out at once"]


def test_a_tap_file_cut_short_is_read_up_to_the_cut(tmp_path: Path) -> None:
    judge(tmp_path, plain)
    path = tmp_path / "taps.bin"
    data, whole = path.read_bytes(), len(list(read_records(path)))
    path.write_bytes(data[:-3])
    assert len(list(read_records(path))) in (whole, whole - 1)


@pytest.mark.parametrize("honest", [True, False])
def test_beside_the_rules_a_box_that_sends_more_than_was_booked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, honest: bool
) -> None:
    if not honest:
        monkeypatch.setattr(BoxModel, "speed", 1000.0)

    async def script(world: World) -> None:
        port, base = base_of(await world.manifest(world.token("a")))
        (session,) = [s for b in world.fleet.boxes.values() for s in b.model.sessions.values()]
        # much more than is booked for as long as is looked at
        count = int((4 * 3.0 + 3.0) / 0.2) + 20
        asked = [asyncio.ensure_future(ask(port, f"{base}vod/x/{k}.m4s")) for k in range(count)]
        if honest:
            await asyncio.wait(asked, timeout=1.5)
            for task in asked:
                task.cancel()
            await asyncio.gather(*asked, return_exceptions=True)
        else:
            await asyncio.gather(*asked)
        assert session.rate_kb > 0

    broken = judge(tmp_path, script, replace(TERMS, bytes_scale=0.001))
    assert rules(broken) == (set() if honest else {7}), broken[:1]


def test_a_manifest_that_lists_more_than_the_viewer_may_see_breaks_rule_5(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        renditions = world.director.catalogue.titles["t1"].source.renditions
        everything = frozenset(range(99))
        renditions.listed = lambda floor_kb, top_kb: everything  # type: ignore[method-assign]
        await world.manifest(world.token("a", best_rung=0))

    assert rules(judge(tmp_path, script)) == {5}


# ---- Between directors ------------------------------------------------------------------------------------
TAKEOVER = replace(TERMS, takeover=True)


def order(claim: str) -> bytes:
    body = {
        "director": "d7", "title": "t1", "class": "graded", "tenant": "t", "claim": claim, "paid": True,
        "rung": 1, "rate-kb": 450.0, "path-token": "p", "within-ms": 1000.0, "run": 5, "grace-ms": 60000.0,
    }  # fmt: skip
    return json.dumps(body).encode()


async def raw(world: World, method: str, path: str, owner: str = "", body: bytes = b"") -> int:
    """A command to the box of cell 0, through its tap."""
    (port,) = [box.port for box in world.director.core.boxes.values() if box.cell == 0]
    headers = f"foxlift-owner: {owner}\r\n" if owner else ""
    return (await ask(port, path, method, headers, body)).status


RUNG = b'{"rung": 2, "rate-kb": 1100.0}'


@pytest.mark.parametrize("guarded", [True, False])
def test_rule_8_a_box_that_obeys_anybody(tmp_path: Path, guarded: bool) -> None:
    async def script(world: World) -> None:
        box = next(box for box in world.fleet.boxes.values() if box.model.cell == 0)
        if not guarded:
            box._commands = lambda exchange, set_up: True  # type: ignore[method-assign]
        assert await raw(world, "PUT", "/sessions/d7.5-1-0", body=order("a")) == 201
        assert await raw(world, "PUT", "/sessions/d7.5-1-0/rung", "d7/5", RUNG) == 204
        take = json.dumps({"of": "d7", "upto": 5, "by": "d8", "run": 9}).encode()
        assert await raw(world, "POST", "/takeovers", body=take) == 200
        assert await raw(world, "PUT", "/sessions/d7.5-1-0/rung", "d8/9", RUNG) == 204
        await asyncio.sleep(0.15)  # apart enough for two sockets to show their order
        late = await raw(world, "PUT", "/sessions/d7.5-1-0/rung", "d7/5", RUNG)
        assert late == (409 if guarded else 204)

    assert rules(judge(tmp_path, script, TAKEOVER)) == (set() if guarded else {8})


def test_rule_8_a_command_that_was_carried_out_before_a_takeover_and_answered_after_it(
    tmp_path: Path,
) -> None:
    async def script(world: World) -> None:
        box = next(box for box in world.fleet.boxes.values() if box.model.cell == 0)
        carry_out, loop = box._rung, asyncio.get_running_loop()

        def answer_late(exchange: Any, set_up: str) -> None:
            late = SimpleNamespace(request=exchange.request, reply_problem=exchange.reply_problem)
            late.reply = lambda *answer: loop.call_later(0.3, exchange.reply, *answer)
            carry_out(cast(Any, late), set_up)

        assert await raw(world, "PUT", "/sessions/d7.5-1-0", body=order("a")) == 201
        box._rung = answer_late  # type: ignore[method-assign]
        command = asyncio.ensure_future(raw(world, "PUT", "/sessions/d7.5-1-0/rung", "d7/5", RUNG))
        await asyncio.sleep(0.1)
        take = json.dumps({"of": "d7", "upto": 5, "by": "d8", "run": 9}).encode()
        assert await raw(world, "POST", "/takeovers", body=take) == 200
        assert not command.done()
        assert await command == 204

    assert rules(judge(tmp_path, script, TAKEOVER)) == set()


def test_rule_8_a_command_that_was_sent_after_the_takeover_was_answered(tmp_path: Path) -> None:
    """However soon after: the former owner's turn is over."""

    async def script(world: World) -> None:
        box = next(box for box in world.fleet.boxes.values() if box.model.cell == 0)
        box._commands = lambda exchange, set_up: True  # type: ignore[method-assign]
        assert await raw(world, "PUT", "/sessions/d7.5-1-0", body=order("a")) == 201
        await asyncio.sleep(0.15)
        take = json.dumps({"of": "d7", "upto": 5, "by": "d8", "run": 9}).encode()
        assert await raw(world, "POST", "/takeovers", body=take) == 200
        assert await raw(world, "PUT", "/sessions/d7.5-1-0/rung", "d7/5", RUNG) == 204

    assert rules(judge(tmp_path, script, TAKEOVER)) == {8}


def test_rule_9_a_box_that_drops_a_session_without_a_word(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        box = next(box for box in world.fleet.boxes.values() if box.model.cell == 0)
        for name in ("d7.5-1-0", "d7.5-2-0"):
            assert await raw(world, "PUT", f"/sessions/{name}", body=order(name)) == 201
            assert await raw(world, "GET", f"/s/{name}/p/t1/vod/lo/1.m4s") == 200
        assert await raw(world, "DELETE", "/sessions/d7.5-2-0", "d7/5") == 204  # a cause that shows
        box.model.sessions.clear()
        for name in ("d7.5-1-0", "d7.5-2-0"):
            assert await raw(world, "GET", f"/s/{name}/p/t1/vod/lo/2.m4s") == 404

    broken = judge(tmp_path, script, TAKEOVER)
    assert rules(broken) == {9} and len(broken) == 1 and "d7.5-1-0" in broken[0].what


def test_a_set_up_counts_as_never_run_only_by_a_box_s_own_word_to_anybody(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        (port,) = [box.port for box in world.director.core.boxes.values() if box.cell == 0]
        for claim, answered in (("a", True), ("b", False)):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            body = order(claim)
            head = f"PUT /sessions/d7.5-{claim}-0 HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
            box = next(box for box in world.fleet.boxes.values() if box.model.cell == 0)
            box.hanging = True  # the set-up is lost on its way
            writer.write(head.encode() + body)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()
            await reader.read()
            box.hanging = False
            if answered:
                take = {"of": "d7", "upto": 4, "by": "d8", "run": 9, "only": f"d7.5-{claim}-0"}
                assert await raw(world, "POST", "/takeovers", body=json.dumps(take).encode()) == 200
            assert await raw(world, "PUT", f"/sessions/d7.5-{claim}{claim}-0", body=order(claim)) == 201

    broken = judge(tmp_path, script, TAKEOVER)
    assert [b.rule for b in broken] == [2] and broken[0].what.startswith("b:")


def test_a_paid_token_that_is_told_to_be_spent_is_counted_unless_its_box_died(tmp_path: Path) -> None:
    async def script(world: World) -> None:
        for name in world.fleet.boxes:
            world.fleet.command("lose-answers", name, 1.0)
        assert (await world.manifest(world.token("a", "graded"))).status == 504

    run(tmp_path, script, taps=True)
    assert Checker(tmp_path / "taps.bin", TAKEOVER).judge().spent == 1
