"""Faults of a rehearsal: read, drawn from a seed, shrunk, and played between real processes."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import msgspec
import pytest
import uvloop
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from foxlift.cli.main import main
from foxlift.rehearsal import built_in, run_day, shrink, with_faults
from foxlift.rehearsal.faults import KINDS, conditions_of, draw_faults
from foxlift.rehearsal.scenario import LINK_FAULTS, Link, Step
from foxlift.standins import link_direction

DAY = built_in("short-day")


def step(do: str, on: str, value: float = 1.0) -> Step:
    return Step(1.0, do, on, value, 1.0)  # type: ignore[arg-type]


def test_a_link_is_one_direction_or_both_of_some_or_all() -> None:
    assert DAY.link(step("cut", "d0-b3")) == Link(("d0",), ("b3",), True, True)
    assert DAY.link(step("cut", "d1>list")) == Link(("d1",), ("list",), True, False)
    every = DAY.link(step("cut", "directors<boxes"))
    assert (len(every.directors), len(every.ends), every.up, every.down) == (3, 6, False, True)


@pytest.mark.parametrize("on", ["d0-b6", "d3-b0", "d0", "b0-d0", "d0=b0", "d0-b0 ", "viewers-b0", ""])
def test_a_step_on_no_link_of_the_day_is_named_with_its_time(on: str) -> None:
    with pytest.raises(ValueError, match=r"step at 1\.0"):
        msgspec.structs.replace(DAY, steps=(step("cut", on),))


def test_a_box_s_port_cannot_refuse_directors_alone() -> None:
    with pytest.raises(ValueError, match="viewers"):
        msgspec.structs.replace(DAY, steps=(step("refuse", "d0-b1"),))


def test_each_kind_has_its_terms() -> None:
    assert conditions_of(step("cut", "d0-b0")).state is link_direction.LinkState.CUT
    assert conditions_of(step("hold", "d0-b0")).state is link_direction.LinkState.HELD
    assert conditions_of(step("delay", "d0-b0", 0.5)).delay_s == 0.5
    assert conditions_of(step("slow", "d0-b0", 100)).rate == 100
    assert conditions_of(step("break", "d0-b0", 7)).break_after == 7
    assert conditions_of(step("reset", "d0-b0")) == link_direction.LinkConditions()


def begins_and_ends(steps: tuple[Step, ...], kinds: tuple[str, ...]) -> list[tuple[float, float, str]]:
    return [(s.at_s, s.at_s + s.for_s, s.on) for s in steps if s.do in kinds]


@given(st.integers(0, 10**6), st.integers(0, 60))
def test_drawn_faults_are_the_seed_s_end_with_the_day_and_leave_a_director(seed: int, count: int) -> None:
    steps = draw_faults(DAY, seed, count)
    assert steps == draw_faults(DAY, seed, count) and len(steps) <= count
    msgspec.structs.replace(DAY, steps=steps)  # every one names what the day has
    assert all(s.at_s > 0 and s.at_s + s.for_s < DAY.seconds for s in steps)
    down = begins_and_ends(steps, ("kill", "stall"))
    for begin, _, name in down:
        others = {other for b, e, other in down if b <= begin < e and other != name}
        assert len(others) + 1 < DAY.directors
    struck = begins_and_ends(steps, ("kill", "stall", "die"))
    assert not any(a is not b and a[2] == b[2] and a[0] <= b[0] < a[1] for a in struck for b in struck)


def test_all_kinds_are_drawn() -> None:
    drawn = {s.do for seed in range(20) for s in draw_faults(DAY, seed, 30)}
    assert drawn == set(KINDS) and set(LINK_FAULTS) < drawn


@given(st.sets(st.integers(0, 30), min_size=1, max_size=4), st.integers(31, 40))
def test_shrinking_leaves_just_what_breaks(culprits: set[int], count: int) -> None:
    played: list[tuple[int, ...]] = []

    async def breaks(part: tuple[int, ...]) -> bool:
        played.append(part)
        return culprits <= set(part)

    least = asyncio.run(shrink(tuple(range(count)), breaks, 1000))
    assert set(least) == culprits
    played.clear()
    some = asyncio.run(shrink(tuple(range(count)), breaks, 3))
    assert len(played) <= 3 and culprits <= set(some)


def test_some_of_the_drawn_faults_are_chosen_by_number() -> None:
    drawn = draw_faults(DAY, 5, 10)
    chosen = with_faults(DAY, 5, 10, (7, 2, 2))
    assert chosen.steps == (drawn[2], drawn[7])
    for numbers in ("0,99", "x"):
        told = CliRunner().invoke(main, ["rehearse", "short-day", "--faults", "3", "--only", numbers])
        assert told.exit_code == 2
    alone = CliRunner().invoke(main, ["rehearse", "short-day", "--only", "0"])
    assert alone.exit_code == 2 and "--faults" in alone.output


def small(tmp_path: Path, steps: str) -> Path:
    """A day of three directors and three boxes in two seconds, each a process or a part of the fleet's."""
    text = (Path(__file__).parent.parent / "foxlift/rehearsal/days/short-day.sexp").read_text()
    text = text[: text.index("  (habits")] + f"  (steps {steps}))"
    for old, new in (
        ('"short-day") (seconds 9) (viewers 60)', '"small") (seconds 3) (viewers 20)'),
        ("(boxes 6)", "(boxes 3)"),
        ("(length-s 2 4)", "(length-s 1 1)"),
        ("(length-s 2 5)", "(length-s 1 1)"),
    ):
        assert old in text, old
        text = text.replace(old, new)
    path = tmp_path / "small.sexp"
    path.write_text(text)
    return path


def test_the_rules_are_kept_between_processes_while_links_fail_each_way(tmp_path: Path) -> None:
    steps = """
      (step (at-s 0.2) (do cut) (on "d0<b0") (for-s 1)) (step (at-s 0.3) (do hold) (on "d1>b1") (for-s 0.5))
      (step (at-s 0.4) (do reset) (on "d2-boxes")) (step (at-s 0.5) (do cut) (on "d1-list") (for-s 1))
      (step (at-s 0.6) (do delay) (on "d2<b2") (value 0.3) (for-s 1))
      (step (at-s 1) (do break) (on "d2<b1") (value 20) (for-s 1))
      (step (at-s 1) (do kill) (on "d0") (for-s 0.4))
    """
    folder = tmp_path / "day"
    day = ["rehearse", str(small(tmp_path, steps)), "--json", "--quiet", "--folder", str(folder)]
    told = CliRunner().invoke(main, day)
    assert told.exit_code == 0, told.output
    report = json.loads(next(line for line in told.output.splitlines() if line.startswith("{")))
    assert report["set_ups"] > 10 and not report["broken"]
    marks = [line for line in (folder / "taps.bin").read_bytes().split(b"\n") if b'"k": "mark"' in line]
    links = [m for m in map(json.loads, marks) if "link" in m]
    assert {m["text"].removesuffix(" over") for m in links} == {"cut", "hold", "reset", "delay", "break"}


def test_the_short_takeover_day_keeps_every_rule_and_ends_no_session(tmp_path: Path) -> None:
    """Five directors that take over each other's work, as `foxlift rehearse short-takeover` plays them."""
    result = uvloop.run(run_day(built_in("short-takeover"), 4, tmp_path, lambda at_s, text: None))
    seen = result.verdict.broken[:5], result.billing.differences[:5], result.exits, result.rolled
    assert result.kept, seen
    assert result.verdict.taken_over > 30
    assert sum(watching.breaks for watching in result.watched) == 0
    for log in tmp_path.glob("*.log"):
        assert "Traceback" not in log.read_text()
