"""`foxlift ledger`: statements, corrections, closing, checking and merging."""

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
    TimeCame,
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

BAD_FILES, NO_SYSTEM, NOT_ALLOWED, DIFFERS = 3, 4, 6, 7


def _end(code: int, message: str) -> None:
    click.echo(f"foxlift: {message}", err=True)
    sys.exit(code)


def _settings(path: Path) -> tuple[DirectorConfig, Tariff]:
    config = load_director(path)
    if not config.ledger.tariff:
        raise click.UsageError(f"{path}: states no tariff: (ledger (tariff FILE))")
    return config, load_tariff(Path(config.ledger.tariff))


def _with_files(folder: Path, work: Callable[[DiskFiles], Any]) -> Any:
    """Run with a state folder's files; errors end the command with their code."""

    async def main() -> Any:
        files = DiskFiles(folder, asyncio.get_running_loop())
        try:
            return work(files)
        finally:
            files.close()

    try:
        return asyncio.run(main())
    except (LogError, ConfigError) as error:
        _end(BAD_FILES, str(error))
    except LedgerError as error:
        _end(NOT_ALLOWED, str(error))
    except OSError as error:
        _end(NO_SYSTEM, str(error))


_SETTINGS = click.argument("settings", type=click.Path(path_type=Path))
_JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group()
def ledger() -> None:
    """Use by tenant: statements, corrections, closing a period, checking and merging ledgers.

    Exit codes beside the usual: 6 the ledger does not allow it, 7 ledgers do not fit together.
    """


@ledger.command()
@_SETTINGS
@click.option("--tenant", required=True)
@click.option("--period", required=True, help="A month, as in 2026-12.")
@_JSON
def statement(settings: Path, tenant: str, period: str, as_json: bool) -> None:
    """Print what a tenant owes for a period, from the log alone; also beside a running director.

    \b
    Example:
      foxlift ledger statement director.sexp --tenant north --period 2026-12
    """
    try:
        config, tariff = _settings(settings)
    except ConfigError as error:
        _end(BAD_FILES, str(error))
        return
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
    table = Table("class", "what", "amount", "of it estimated", f"micro-{tariff.currency}")
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
    """Check the chain over every record of the ledger; names the first that was changed or taken out.

    \b
    Example:
      foxlift ledger verify director.sexp
    """
    try:
        config = load_director(settings)
    except ConfigError as error:
        _end(BAD_FILES, str(error))
        return
    count = _with_files(Path(config.state), verify)
    click.echo(f"{count} records, each following from those before it")


def _write(settings: Path, event: Close | Correct | Void) -> None:
    try:
        config, tariff = _settings(settings)
    except ConfigError as error:
        _end(BAD_FILES, str(error))
        return

    async def main() -> OSError | None:
        loop = asyncio.get_running_loop()
        files = DiskFiles(Path(config.state), loop)
        failed: list[OSError] = []
        try:
            files.lock()
            journal = Journal(files, tariff, int(config.ledger.grace_ms), on_failed=failed.append)
            now = int(time.time() * 1000)
            journal.handle(now, TimeCame())
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
        _end(BAD_FILES, str(problem))
    except LedgerError as problem:
        _end(NOT_ALLOWED, str(problem))
    except OSError as problem:
        _end(NO_SYSTEM, str(problem))
    else:
        if failure is not None:
            _end(NO_SYSTEM, f"not written: {failure}")
        click.echo("written")


@ledger.command()
@_SETTINGS
@click.option("--entry", required=True, help="A name of its own for the entry.")
@click.option("--tenant", required=True)
@click.option("--class", "klass", required=True)
@click.option("--period", default="", help="The period that is corrected.")
@click.option("--corrects", default="", help="The entry that is corrected, instead of a period.")
@click.option("--attempts", type=int, default=0)
@click.option("--ms", type=int, default=0)
@click.option("--micros", type=int, required=True, help="Millionths of the currency unit, may be negative.")
@click.option("--by", required=True, help="Who corrects.")
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
    """Write an adjusting entry into the open period; the director must not run meanwhile.

    \b
    Example:
      foxlift ledger correct director.sexp --entry c17 --tenant north --class graded-lesson \\
        --period 2026-11 --attempts -1 --micros -1500000 --by ann --why "billed twice"
    """
    _write(settings, Correct(entry, tenant, klass, attempts, ms, micros, by, why, period, corrects))


@ledger.command()
@_SETTINGS
@click.option("--entry", required=True, help="A name of its own for the entry.")
@click.option("--corrects", required=True, help="The entry that is taken back.")
@click.option("--by", required=True)
@click.option("--why", required=True)
def void(settings: Path, entry: str, corrects: str, by: str, why: str) -> None:
    """Take an adjusting entry back, whole.

    \b
    Example:
      foxlift ledger void director.sexp --entry c18 --corrects c17 --by bob --why "was right"
    """
    _write(settings, Void(entry, corrects, by, why))


@ledger.command("close")
@_SETTINGS
@click.argument("period")
def close_command(settings: Path, period: str) -> None:
    """Close a period that is over, before its grace ends; the director must not run meanwhile.

    \b
    Example:
      foxlift ledger close director.sexp 2026-11
    """
    _write(settings, Close(period))


SHOWN = 20  # overlaps in the table; all named ones stand in the JSON
COLUMNS = ("number", "kind", "at", "when", "session", "token", "tenant", "klass", "rung", "paid", "estimated")


@ledger.command()
@_SETTINGS
@click.option("--to", "folder", type=click.Path(path_type=Path), help="Export batches into this folder.")
@click.option("--csv", "table", type=click.Path(path_type=Path), help="Write every record as a row instead.")
@click.option("--parquet", type=click.Path(path_type=Path), help="As Parquet; needs foxlift[parquet].")
def export(settings: Path, folder: Path | None, table: Path | None, parquet: Path | None) -> None:
    """Export what has not been exported, as batches; or print the whole ledger as CSV.

    Batches go by the ledger's own account of what was accepted: the director must not run meanwhile. CSV and
    Parquet are copies for reading and change nothing.

    \b
    Examples:
      foxlift ledger export director.sexp --to /srv/billing
      foxlift ledger export director.sexp --csv ledger.csv
    """
    if sum(option is not None for option in (folder, table, parquet)) != 1:
        raise click.UsageError("one of --to, --csv, --parquet")
    try:
        config = load_director(settings)
    except ConfigError as error:
        _end(BAD_FILES, str(error))
        return
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
        writer.writerow(COLUMNS)
        for number, linked in read_records(files):
            row = msgspec.to_builtins(linked.record)
            writer.writerow([number, row["type"], *(row.get(name, "") for name in COLUMNS[2:])])
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
            raise LedgerError("stopped: a later exporter has begun, or the folder holds other batches")
        return done

    try:
        click.echo(f"{asyncio.run(main())} records exported")
    except LogError as problem:
        _end(BAD_FILES, str(problem))
    except LedgerError as problem:
        _end(NOT_ALLOWED, str(problem))
    except OSError as problem:
        _end(NO_SYSTEM, str(problem))


@ledger.command()
@click.argument(
    "sources", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, file_okay=False)
)
@click.option("--expect", multiple=True, help="A director that must be there; may be given several times.")
@_JSON
def reconcile(sources: tuple[Path, ...], expect: tuple[str, ...], as_json: bool) -> None:
    """Merge the ledgers of several directors: folders of exported batches, state folders, or copies.

    Names attempts in two ledgers (and which one counts), missing batches and records, directors that are not
    there, records that were changed, one viewer in two sessions at once, and clocks that are apart.

    \b
    Examples:
      foxlift ledger reconcile /srv/billing --expect d0 --expect d1
      foxlift ledger reconcile /var/lib/foxlift/d0 /var/lib/foxlift/d1
    """
    breaks: list[Break] = []
    missing: list[Missing] = []
    with tempfile.TemporaryDirectory(prefix="foxlift-merge-") as folder:
        merger = Reconciler(Path(folder))

        def take(name: str, rows: Iterable[tuple[int, Linked]]) -> None:
            chained = Chained(name)
            merger.add(name, chained.records(rows))
            breaks.extend(chained.breaks)

        def from_state(files: DiskFiles, name: str) -> None:
            take(name, read_records(files))

        def from_batches(files: DiskFiles) -> bool:
            found = batches_of(files.names())
            for name, batches in found.items():
                missing.extend(missing_batches(name, (number for number, _ in batches)))
                take(name, read_batches(batches, lambda file: files.read(file) or b""))
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
    for lost in missing:
        click.echo(f"{lost.instance}: batches {lost.first} to {lost.last} are missing", err=True)
    for found_break in breaks:
        where = f"{found_break.instance}: record {found_break.number}"
        click.echo(f"{where} does not follow from the one before it: changed or taken out", err=True)
    for name in absent:
        click.echo(f"{name}: nothing of this director is there", err=True)
    if result.gaps or missing or breaks or absent:
        sys.exit(DIFFERS)


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
        click.echo(f"  {found.token}: stands in {found.stands}, dropped from {found.dropped}")
    click.echo(f"{result.overlap_count} times one viewer in two sessions at once")
    for overlap in result.overlaps[:SHOWN]:
        sure = ", an end estimated" if overlap.estimated else ""
        click.echo(f"  {overlap.viewer}: {overlap.first} and {overlap.second}, {overlap.ms} ms{sure}")
    for clock in result.clocks:
        word = "ahead of" if clock.ms > 0 else "behind"
        click.echo(f"clock of {clock.of}: {abs(clock.ms)} ms {word} the others")
