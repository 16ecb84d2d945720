"""Cold servers under the sum of all set-ups that a whole fleet of directors sends, in virtual time."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from cold_fleet_world import Plan, Verdict, World

from foxlift.logic import Director

SERVERS = {2: 8, 12: 24, 30: 32, 200: 48}  # by directors
SEEDS = {2: (1, 2, 3), 12: (1, 2, 3), 30: (1, 2), 200: (1,)}  # fewer where one run takes seconds
POPULAR_CELLS = (0, 1, 2)  # the cells that hold title 0
PER_SERVER = 2.0  # new viewers a second per server, more than the budget of one that has just started


def sample(world: World, fraction: float) -> list[int]:
    numbers = list(world.servers)
    return world.random.sample(numbers, max(1, int(fraction * len(numbers))))


def popular_holders(world: World) -> list[int]:
    return [number for number, server in world.servers.items() if server.info.cell in POPULAR_CELLS]


def replaced_under_high_demand(world: World) -> None:
    """Six in ten servers are replaced within three seconds, as traffic doubles and shifts."""
    world.run(6000.0)
    world.multiply_traffic(2.0)
    world.shift_traffic()
    numbers = sample(world, 0.6)
    for number in numbers:
        world.run(3000.0 / len(numbers))
        world.replace_server(number)
    world.run(4500.0)


def all_restarted(world: World) -> None:
    """All directors restart with old lists while six in ten servers have just started."""
    world.run(5000.0)
    for number in sample(world, 0.6):
        world.crash(number)
        world.start(number)
    world.restart_directors(range(world.plan.directors), (100.0, 1000.0))
    world.shift_traffic()
    world.run(4500.0)


def popular_restarted(world: World) -> None:
    """The same, but the cold servers are the only holders of a title that one in five viewers requests."""
    world.run(5000.0)
    for number in popular_holders(world):
        world.crash(number)
        world.start(number)
    world.restart_directors(range(world.plan.directors), (100.0, 1000.0))
    world.shift_traffic()
    world.run(4500.0)


def popular_crash_unlisted(world: World) -> None:
    """All holders of that title crash and return within three seconds, while the list reports nothing."""
    world.run(5000.0)
    world.silence_discovery(12_000.0)
    for number in popular_holders(world):
        world.crash(number)
    world.run(3000.0)
    for number in popular_holders(world):
        world.start(number, listed=False)
    world.run(4500.0)


def play(scenario: Callable[[World], None], directors: int, seed: int) -> Verdict:
    popular = 0.2 if scenario in (popular_restarted, popular_crash_unlisted) else 0.0
    world = World(Plan(directors, SERVERS[directors], PER_SERVER, popular, seed))
    scenario(world)
    return world.verdict()


@pytest.mark.parametrize("directors", SERVERS)
@pytest.mark.parametrize("scenario", (replaced_under_high_demand, all_restarted, popular_restarted))
def test_all_directors_together_overload_no_cold_server(
    scenario: Callable[[World], None], directors: int
) -> None:
    for seed in SEEDS[directors]:
        verdict = play(scenario, directors, seed)
        assert verdict.cold_arrivals > 0
        assert verdict.falls == 0 and verdict.fullest <= 0.9, (seed, verdict)


@pytest.mark.parametrize("directors", SERVERS)
def test_directors_that_saw_servers_fail_do_not_overload_them_when_they_return(directors: int) -> None:
    """Other directors cannot know: a server may fall because of their set-ups, which breaks no rule."""
    for seed in SEEDS[directors]:
        verdict = play(popular_crash_unlisted, directors, seed)
        assert verdict.cold_arrivals > 0
        assert verdict.broken == 0, (seed, verdict)


@pytest.mark.parametrize("directors", SERVERS)
def test_cold_servers_fall_if_directors_do_not_pace_their_set_ups(
    directors: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Director, "_has_cold_turn", lambda *_: True)
    assert play(replaced_under_high_demand, directors, 1).broken > 0
    if directors > 2:
        assert play(all_restarted, directors, 1).broken > 0
        assert play(popular_restarted, directors, 1).broken > 0
