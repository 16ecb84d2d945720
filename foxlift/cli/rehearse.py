"""`foxlift rehearse`: a scripted day on stand-ins, checked against the recorded traffic."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click
import uvloop
from rich.console import Console

from foxlift.cli.exits import EXIT_BAD_FILES, EXIT_CHILD_FAILED, EXIT_SYSTEM_ERROR, fail
from foxlift.config import ConfigError
from foxlift.rehearsal import (
    DayResult,
    Scenario,
    built_in,
    load_scenario,
    print_report,
    run_day,
    shrink,
    with_faults,
)
from foxlift.rehearsal.day import Progress
from foxlift.rehearsal.processes import ChildError
from foxlift.rehearsal.report import write_json

EXIT_RULE_BROKEN = 1


@click.command()
@click.argument("scenario", default="bad-day")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of viewers, boxes and players.")
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    help="Folder in which settings, logs and recorded traffic are kept.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as one line of JSON.")
@click.option("--quiet", is_flag=True, help="No progress lines.")
@click.option(
    "--faults", type=click.IntRange(0, 1000), help="Replace the script by so many faults drawn from the seed."
)
@click.option("--only", help="Only these of the drawn faults, by number: 0,3,4.")
@click.option(
    "--shrink",
    "plays",
    type=click.IntRange(0),
    default=0,
    help="Number of runs to find a smaller set of faults that breaks a rule.",
)
def rehearse(
    scenario: str,
    seed: int,
    folder: Path | None,
    as_json: bool,
    quiet: bool,
    faults: int | None,
    only: str | None,
    plays: int,
) -> None:
    """Run a scripted day on stand-ins and check six rules against the recorded traffic.

    SCENARIO is the name of a built-in day (bad-day, billing-day, short-day, takeover, short-takeover) or a
    scenario file. With --faults, faults between directors, boxes and box list are drawn from the seed. If a
    rule is broken, --shrink looks for a smaller set of them that still breaks one and prints the command
    for that set.

    \b
    Examples:
      foxlift rehearse
      foxlift rehearse --seed 7 --folder /tmp/day7
      foxlift rehearse my-day.sexp --json
      foxlift rehearse short-day --faults 12 --seed 5 --shrink 20
    """
    day = _load_day(scenario)
    if faults is None and (only or plays):
        raise click.BadParameter("only valid with --faults", param_hint="--only, --shrink")
    played_day = _add_faults(day, seed, faults, only)

    def progress(at_s: float, text: str) -> None:
        if not quiet:
            click.echo(f"{at_s:6.1f} s  {text}", err=True)

    try:
        result = uvloop.run(_play(played_day, seed, folder, progress))
        if faults is not None and not result.kept:
            breaking = uvloop.run(_shrink(day, seed, faults, only, plays, progress))
            numbers = ",".join(map(str, breaking))
            rerun_command = f"foxlift rehearse {scenario} --seed {seed} --faults {faults} --only {numbers}"
            click.echo(rerun_command, err=True)
    except ChildError as error:
        fail(EXIT_CHILD_FAILED, str(error))
    except OSError as error:
        fail(EXIT_SYSTEM_ERROR, f"cannot run: {error}")
    if as_json:
        click.echo(write_json(result))
    else:
        print_report(result, Console())
    if result.verdict.broken or result.billing.differences:
        sys.exit(EXIT_RULE_BROKEN)
    if any(result.exits.values()):
        sys.exit(EXIT_CHILD_FAILED)


def _load_day(scenario: str) -> Scenario:
    try:
        return load_scenario(Path(scenario)) if scenario.endswith(".sexp") else built_in(scenario)
    except KeyError:
        raise click.BadParameter(f"no built-in day is named {scenario}") from None
    except ConfigError as error:
        fail(EXIT_BAD_FILES, str(error))


def _add_faults(day: Scenario, seed: int, faults: int | None, only: str | None) -> Scenario:
    """The day with the selected faults in place of its script; as it is without any."""
    if faults is None:
        return day
    try:
        return with_faults(day, seed, faults, _fault_numbers(only))
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--only") from None


def _fault_numbers(only: str | None) -> tuple[int, ...] | None:
    """The numbers that `--only` names, None for all. Raises ValueError."""
    return None if only is None else tuple(int(number) for number in only.split(","))


async def _play(day: Scenario, seed: int, folder: Path | None, progress: Progress) -> DayResult:
    """Play the day in a folder, or in one that is removed afterwards."""
    if folder is not None:
        return await run_day(day, seed, folder, progress)
    with tempfile.TemporaryDirectory(prefix="foxlift-day-") as folder_name:
        return await run_day(day, seed, Path(folder_name), progress)


async def _shrink(
    day: Scenario, seed: int, faults: int, only: str | None, plays: int, progress: Progress
) -> tuple[int, ...]:
    """Look for a smaller set of the faults that still breaks a rule, in at most `plays` runs."""

    async def breaks_rule(fault_numbers: tuple[int, ...]) -> bool:
        progress(0.0, f"running again with {len(fault_numbers)} of the faults")
        reduced_day = with_faults(day, seed, faults, fault_numbers)
        return not (await _play(reduced_day, seed, None, lambda at_s, text: None)).kept

    first = _fault_numbers(only) or tuple(range(len(with_faults(day, seed, faults).steps)))
    return await shrink(first, breaks_rule, plays)
