"""`foxlift`: serve, rehearse, try, token, check-config, zone, ledger, standin.

Exit codes: 0 success (`rehearse`: and all rules kept), 1 a rule was broken or a ledger differs from the
recorded traffic, 2 wrong usage, 3 invalid settings or files, 4 a system error (ports, disk), 5 a process of a
rehearsal failed.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
import time
from pathlib import Path

import click

from foxlift.catalogue import ladder_mismatches, load_catalogue
from foxlift.cli.control import configuration, control
from foxlift.cli.exits import EXIT_BAD_FILES, fail, run_service
from foxlift.cli.ledger import ledger
from foxlift.cli.rehearse import rehearse
from foxlift.cli.standin import standin
from foxlift.cli.stopping import stop_requested
from foxlift.cli.trial import try_command
from foxlift.cli.zone import zone
from foxlift.config import ConfigError, load_director, module_settings
from foxlift.director.daemon import Daemon
from foxlift.ledger import load_tariff
from foxlift.telemetry import configure_logs
from foxlift.tokens import Issuer, SessionToken, load_keys


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Places and shapes video sessions on streaming servers.

    \b
    Examples:
      foxlift rehearse                     a day with faults on stand-ins, checked by six rules
      foxlift check-config director.sexp   check settings, keys and catalogue
      foxlift serve director.sexp          run a director
    """


_log_format = click.option(
    "--log-format", type=click.Choice(["console", "json"]), default="console", help="Format of the log lines."
)
_log_level = click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    help="Lowest level that is logged.",
)


@main.command()
@click.argument("settings", type=click.Path(path_type=Path))
@_log_format
@_log_level
@click.option(
    "--clock-ahead-s",
    type=float,
    default=0.0,
    hidden=True,
    help="For rehearsals: seconds by which the clock is ahead.",
)
def serve(settings: Path, log_format: str, log_level: str, clock_ahead_s: float) -> None:
    """Run a director until SIGTERM or SIGINT.

    Prints one line of JSON with its port on standard output once it listens; logs go to standard error. On
    SIGTERM it accepts no new session, answers open requests and lets sessions play for stop-time-ms.

    \b
    Example:
      foxlift serve --log-format json /etc/foxlift/director.sexp
    """
    configure_logs(log_format, log_level)  # type: ignore[arg-type]
    try:
        config = load_director(settings)
    except ConfigError as error:
        fail(EXIT_BAD_FILES, str(error))

    async def work() -> None:
        loop = asyncio.get_running_loop()
        stop = stop_requested(loop)
        daemon = Daemon(config, loop, unix_s=time.time() + clock_ahead_s)
        daemon.on_superseded = stop.set
        port = await daemon.start()
        ready: dict[str, object] = {"port": port, "url": daemon.url}
        if daemon.cluster is not None:
            ready["peers"] = daemon.cluster.service.port
        click.echo(json.dumps(ready))
        sys.stdout.flush()
        await stop.wait()
        await daemon.stop()

    run_service(work())


@main.command("check-config")
@click.argument("settings", type=click.Path(path_type=Path))
def check_config(settings: Path) -> None:
    """Check a director's settings, keys, catalogue and tariff without starting anything.

    Lists the sources whose renditions do not match a class's ladder; these can be played nevertheless.

    \b
    Example:
      foxlift check-config director.sexp
    """
    try:
        config = load_director(settings)
        module_settings(config)
        load_keys(Path(config.tokens.keys))
        catalogue = load_catalogue(Path(config.catalogue.folder), config.fleet.cells)
        if config.ledger.tariff:
            load_tariff(Path(config.ledger.tariff))
    except (ConfigError, ValueError) as error:
        fail(EXIT_BAD_FILES, str(error))
    for line in ladder_mismatches(config, catalogue):
        click.echo(line)
    click.echo(
        f"{settings}: valid: director {config.name}, {len(config.fleet.classes)} classes,"
        f" {len(catalogue.titles)} titles (catalogue version {catalogue.version})"
    )


@main.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--title", required=True, help="The title that may be played.")
@click.option("--class", "klass", required=True, help="The session's class.")
@click.option("--tenant", required=True, help="The viewer's tenant.")
@click.option("--viewer", default="someone", show_default=True, help="The viewer's name.")
@click.option("--id", "token_id", help="The token's id. Default: a random one.")
@click.option("--for", "seconds", type=int, default=3600, show_default=True, help="Seconds until it expires.")
@click.option("--best", type=int, help="Highest rung that the viewer can use.")
def token(
    settings: Path,
    title: str,
    klass: str,
    tenant: str,
    viewer: str,
    token_id: str | None,
    seconds: int,
    best: int | None,
) -> None:
    """Issue a session token with the key of a director's settings.

    \b
    Example:
      foxlift token director.sexp --title t1 --class briefing-replay --tenant north
    """
    try:
        config = load_director(settings)
        keys = load_keys(Path(config.tokens.keys))
    except (ConfigError, ValueError) as error:
        fail(EXIT_BAD_FILES, str(error))
    session_token = SessionToken(
        id=token_id or secrets.token_urlsafe(12),
        viewer=viewer,
        title=title,
        klass=klass,
        tenant=tenant,
        expires=int(time.time()) + seconds,
        best_rung=best,
    )
    click.echo(Issuer(keys, config.tokens.issuer, config.tokens.audience).issue(session_token))


for command in (rehearse, zone, try_command, standin, ledger, control, configuration):
    main.add_command(command)

if __name__ == "__main__":
    main()
