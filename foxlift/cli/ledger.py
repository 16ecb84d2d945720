"""`foxlift ledger`: statements, corrections, closing, verifying, exporting and merging."""

from __future__ import annotations

import asyncio
import csv
import json
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from foxlift.cli.exits import EXIT_BAD_FILES, EXIT_SYSTEM_ERROR, fail
from foxlift.config import ConfigError, load_director
from foxlift.config.settings import DirectorConfig
from foxlift.director.exports import ExportRunner, FileDrop
from foxlift.director.timeline import Timeline
from foxlift.ledger import (
    Close,
    Correct,
    Journal,
    LedgerError,
    Linked,
    Tariff,
    TimePassed,
    Void,
    load_tariff,
    owed,
    read_account,
    read_records,
    verify,
)
from foxlift.ledger.reconcile import Reconciled, Reconciler
from foxlift.ledger.reconcile import as_json as merged_json
from foxlift.ledger.sources import Break, Chained, Missing, batches_of, missing_batches, read_batches
from foxlift.store import DiskFiles, LogError

EXIT_NOT_ALLOWED, EXIT_DIFFERENT = 6, 7


def _settings(path: Path) -> tuple[DirectorConfig, Tariff]:
    config = load_director(path)
    if not config.ledger.tariff:
        raise click.UsageError(f"{path}: no tariff is given: (ledger (tariff FILE))")
    return config, load_tariff(Path(config.ledger.tariff))


def _with_files(folder: Path, work: Callable[[DiskFiles], Any]) -> Any:
    """Run `work` with the files of a state folder; errors end the command with their exit code."""

    async def main() -> Any:
        files = DiskFiles(folder, asyncio.get_running_loop())
        try:
            return work(files)
        finally:
            files.close()

    try:
        return asyncio.run(main())
    except (LogError, ConfigError) as error:
        fail(EXIT_BAD_FILES, str(error))
    except LedgerError as error:
        fail(EXIT_NOT_ALLOWED, str(error))
    except OSError as error:
        fail(EXIT_SYSTEM_ERROR, str(error))


_SETTINGS = click.argument("settings", type=click.Path(path_type=Path))
_JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group()
def ledger() -> None:
    """Usage by tenant: statements, corrections, closing periods, verifying, exporting and merging ledgers.

    Additional exit codes: 6 the ledger does not allow the operation, 7 ledgers are incomplete or changed.
    """


@ledger.command()
@_SETTINGS
@click.option("--tenant", required=True)
@click.option("--period", required=True, help="A month, as in 2026-12.")
@_JSON
def statement(settings: Path, tenant: str, period: str, as_json: bool) -> None:
    """Print what a tenant owes for a period, from the log file; the director may be running.

    \b
    Example:
      foxlift ledger statement director.sexp --tenant north --period 2026-12
    """
    try:
        config, tariff = _settings(settings)
    except ConfigError as error:
        fail(EXIT_BAD_FILES, str(error))
    account = _with_files(Path(config.state), lambda files: read_account(files, tariff))
    lines = owed(account, tariff, tenant, period)
    total = sum(line.micros for line in lines)
    state = account.state(period)
    if as_json:
        rows = [
            {
                "class": line.klass,
                "what": line.what,
                "amount": line.amount,
                "unit": line.unit,
                "estimated": line.estimated,
                "micros": line.micros,
            }
            for line in lines
        ]
        found = {"tenant": tenant, "period": period, "state": state, "currency": tariff.currency}
        click.echo(json.dumps({**found, "lines": rows, "total_micros": total}, sort_keys=True))
        return
    table = Table("class", "what", "amount", "of which estimated", f"micro-{tariff.currency}")
    for line in lines:
        amount = f"{line.amount} {line.unit}".strip()
        table.add_row(line.klass, line.what, amount, str(line.estimated or ""), str(line.micros))
    console = Console()
    console.print(f"{tenant}, {period} ({state})")
    console.print(table)
    console.print(f"total {total} micro-{tariff.currency}")


@ledger.command("verify")
@_SETTINGS
def verify_command(settings: Path) -> None:
    """Verify the hash chain over all records of the ledger; names the first changed or removed one.

    \b
    Example:
      foxlift ledger verify director.sexp
    """
    try:
        config = load_director(settings)
    except ConfigError as error:
        fail(EXIT_BAD_FILES, str(error))
    count = _with_files(Path(config.state), verify)
    click.echo(f"{count} records, chain intact")


def _write(settings: Path, event: Close | Correct | Void) -> None:
    try:
        config, tariff = _settings(settings)
    except ConfigError as error:
        fail(EXIT_BAD_FILES, str(error))

    async def main() -> OSError | None:
        loop = asyncio.get_running_loop()
        files = DiskFiles(Path(config.state), loop)
        failed: list[OSError] = []
        try:
            files.lock()
            journal = Journal(files, tariff, int(config.ledger.grace_ms), on_failed=failed.append)
            now = int(time.time() * 1000)
            journal.handle(now, TimePassed())
            journal.handle(now, event)
            while journal.log.durable < journal.log.last_sequence and not failed:
                await asyncio.sleep(0.005)
            journal.close()
        finally:
            files.close()
        return failed[0] if failed else None

    try:
        failure = asyncio.run(main())
    except (LogError, ConfigError) as problem:
        fail(EXIT_BAD_FILES, str(problem))
    except LedgerError as problem:
        fail(EXIT_NOT_ALLOWED, str(problem))
    except OSError as problem:
        fail(EXIT_SYSTEM_ERROR, str(problem))
    else:
        if failure is not None:
            fail(EXIT_SYSTEM_ERROR, f"not written: {failure}")
        click.echo("written")


@ledger.command()
@_SETTINGS
@click.option("--entry", required=True, help="A unique name for the entry.")
@click.option("--tenant", required=True)
@click.option("--class", "klass", required=True)
@click.option("--period", default="", help="The corrected period.")
@click.option("--corrects", default="", help="The corrected entry, instead of a period.")
@click.option("--attempts", type=int, default=0)
@click.option("--ms", type=int, default=0)
@click.option("--micros", type=int, required=True, help="Millionths of the currency unit; may be negative.")
@click.option("--by", required=True, help="The author of the correction.")
@click.option("--why", required=True)
def correct(
    settings: Path,
    entry: str,
    tenant: str,
    klass: str,
    period: str,
    corrects: str,
    attempts: int,
    ms: int,
    micros: int,
    by: str,
    why: str,
) -> None:
    """Write an adjusting entry into the open period; the director must not be running.

    \b
    Example:
      foxlift ledger correct director.sexp --entry c17 --tenant north --class graded-lesson \\
        --period 2026-11 --attempts -1 --micros -1500000 --by ann --why "billed twice"
    """
    _write(settings, Correct(entry, tenant, klass, attempts, ms, micros, by, why, period, corrects))


@ledger.command()
@_SETTINGS
@click.option("--entry", required=True, help="A unique name for the entry.")
@click.option("--corrects", required=True, help="The entry to cancel.")
@click.option("--by", required=True)
@click.option("--why", required=True)
def void(settings: Path, entry: str, corrects: str, by: str, why: str) -> None:
    """Cancel an adjusting entry completely.

    \b
    Example:
      foxlift ledger void director.sexp --entry c18 --corrects c17 --by bob --why "was right"
    """
    _write(settings, Void(entry, corrects, by, why))


@ledger.command("close")
@_SETTINGS
@click.argument("period")
def close_command(settings: Path, period: str) -> None:
    """Close a period that has ended, before its grace time is over; the director must not be running.

    \b
    Example:
      foxlift ledger close director.sexp 2026-11
    """
    _write(settings, Close(period))


MAX_SHOWN_OVERLAPS = 20  # in the table; the JSON output lists more
CSV_COLUMNS = (
    "number",
    "kind",
    "at",
    "when",
    "session",
    "token",
    "tenant",
    "klass",
    "rung",
    "paid",
    "estimated",
)


@ledger.command()
@_SETTINGS
@click.option("--to", "folder", type=click.Path(path_type=Path), help="Export batches into this folder.")
@click.option(
    "--csv", "table", type=click.Path(path_type=Path), help="Write all records as rows to this file instead."
)
@click.option(
    "--parquet", type=click.Path(path_type=Path), help="Write all records as Parquet; needs foxlift[parquet]."
)
def export(settings: Path, folder: Path | None, table: Path | None, parquet: Path | None) -> None:
    """Export the records that are not exported yet, as batches; or write the whole ledger as CSV or Parquet.

    What has been exported is recorded in the ledger itself: the director must not be running. CSV and
    Parquet are copies for reading and change nothing.

    \b
    Examples:
      foxlift ledger export director.sexp --to /srv/billing
      foxlift ledger export director.sexp --csv ledger.csv
    """
    if sum(option is not None for option in (folder, table, parquet)) != 1:
        raise click.UsageError("exactly one of --to, --csv, --parquet is needed")
    try:
        config = load_director(settings)
    except ConfigError as error:
        fail(EXIT_BAD_FILES, str(error))
    if table is not None:
        count = _with_files(Path(config.state), lambda files: _write_csv(files, table))
        click.echo(f"{count} records")
        return
    if parquet is not None:
        count = _with_files(Path(config.state), lambda files: _write_parquet(files, parquet))
        click.echo(f"{count} records")
        return
    assert folder is not None
    _write_batches(config, folder)


def _write_csv(files: DiskFiles, path: Path) -> int:
    count = 0
    with open(path, "w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(CSV_COLUMNS)
        for number, linked in read_records(files):
            row = msgspec.to_builtins(linked.record)
            writer.writerow([number, row["type"], *(row.get(name, "") for name in CSV_COLUMNS[2:])])
            count += 1
    return count


def _write_parquet(files: DiskFiles, path: Path) -> int:
    try:
        from foxlift.ledger.parquet import write_parquet
    except ImportError:
        raise click.UsageError("Parquet needs the extra: pip install 'foxlift[parquet]'") from None
    return write_parquet(read_records(files), path)


def _write_batches(config: DirectorConfig, folder: Path) -> None:
    async def main() -> int:
        loop = asyncio.get_running_loop()
        files = DiskFiles(Path(config.state), loop)
        failed: list[OSError] = []
        try:
            files.lock()
            journal = Journal(files, on_failed=failed.append)
            first = journal.standing.last
            timeline = Timeline(loop, time.time(), 1000.0, lambda late_ms: None)
            runner = ExportRunner(journal, files, FileDrop(loop, folder, config.name), timeline, 20.0)
            runner.begin()
            while not runner.drained and not runner.exporter.stopped and not failed:
                await asyncio.sleep(0.01)
            done = journal.standing.last - first
            drained = runner.drained
            timeline.close()
            runner.close()
            journal.close()
        finally:
            files.close()
        if failed:
            raise failed[0]
        if not drained:
            raise LedgerError("stopped: a later exporter has started, or the folder holds other batches")
        return done

    try:
        click.echo(f"{asyncio.run(main())} records exported")
    except LogError as problem:
        fail(EXIT_BAD_FILES, str(problem))
    except LedgerError as problem:
        fail(EXIT_NOT_ALLOWED, str(problem))
    except OSError as problem:
        fail(EXIT_SYSTEM_ERROR, str(problem))


@ledger.command()
@click.argument(
    "sources", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, file_okay=False)
)
@click.option(
    "--expect", multiple=True, help="A director whose ledger must be among them; may be given several times."
)
@_JSON
def reconcile(sources: tuple[Path, ...], expect: tuple[str, ...], as_json: bool) -> None:
    """Merge the ledgers of several directors: folders of exported batches, state folders, or copies.

    Lists attempts that are in two ledgers (and which one counts), missing batches, records and directors,
    changed records, viewers with two sessions at the same time, and differing clocks.

    \b
    Examples:
      foxlift ledger reconcile /srv/billing --expect d0 --expect d1
      foxlift ledger reconcile /var/lib/foxlift/d0 /var/lib/foxlift/d1
    """
    breaks: list[Break] = []
    missing: list[Missing] = []
    with tempfile.TemporaryDirectory(prefix="foxlift-merge-") as folder:
        merger = Reconciler(Path(folder))

        def add_records(name: str, rows: Iterable[tuple[int, Linked]]) -> None:
            chained = Chained(name)
            merger.add(name, chained.records(rows))
            breaks.extend(chained.breaks)

        def from_state(files: DiskFiles, name: str) -> None:
            add_records(name, read_records(files))

        def from_batches(files: DiskFiles) -> bool:
            found = batches_of(files.names())
            for name, batches in found.items():
                missing.extend(missing_batches(name, (number for number, _ in batches)))
                add_records(name, read_batches(batches, lambda file: files.read(file) or b""))
            return bool(found)

        for source in sources:
            try:
                if not _with_files(source, from_batches):
                    _with_files(source, partial(from_state, name=source.name))
            except ValueError as error:
                raise click.UsageError(str(error)) from None
        result = merger.finish()
    absent = sorted(set(expect) - set(result.instances))
    if as_json:
        found = merged_json(result)
        found["missing_batches"] = [[m.instance, m.first, m.last] for m in missing]
        found["changed"] = [[b.instance, b.number] for b in breaks]
        found["absent"] = absent
        click.echo(json.dumps(found))
    else:
        _print_merged(result)
    for gap in result.gaps:
        click.echo(f"{gap.instance}: records {gap.first} to {gap.last} are missing", err=True)
    for missing_range in missing:
        click.echo(
            f"{missing_range.instance}: batches {missing_range.first} to {missing_range.last} are missing",
            err=True,
        )
    for chain_break in breaks:
        where = f"{chain_break.instance}: record {chain_break.number}"
        click.echo(f"{where} does not follow from the record before it: changed or removed", err=True)
    for name in absent:
        click.echo(f"{name}: no records of this director", err=True)
    if result.gaps or missing or breaks or absent:
        sys.exit(EXIT_DIFFERENT)


def _print_merged(result: Reconciled) -> None:
    table = Table("period", "tenant", "class", "attempts", "estimated", "play ms", "estimated")
    for (period, tenant, klass), use in sorted(result.totals.items()):
        amounts = (use.attempts, use.attempts_estimated, use.ms, use.ms_estimated)
        table.add_row(period, tenant, klass, *map(str, amounts))
    Console().print(table)
    ledgers, open_ = len(result.instances), result.still_open
    click.echo(f"{ledgers} ledgers, {result.records} records, {open_} sessions open")
    click.echo(f"{result.duplicate_count} attempts in two ledgers")
    for found in result.duplicates:
        click.echo(f"  {found.token}: counted in {found.stands}, dropped from {found.dropped}")
    click.echo(f"{result.overlap_count} times a viewer had two sessions at the same time")
    for overlap in result.overlaps[:MAX_SHOWN_OVERLAPS]:
        suffix = ", one end estimated" if overlap.estimated else ""
        click.echo(f"  {overlap.viewer}: {overlap.first} and {overlap.second}, {overlap.ms} ms{suffix}")
    for clock in result.clocks:
        direction = "ahead of" if clock.ms > 0 else "behind"
        click.echo(f"clock of {clock.of}: {abs(clock.ms)} ms {direction} the others")
