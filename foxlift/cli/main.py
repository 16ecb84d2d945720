"""`foxlift`: serve, rehearse, try, token, check-config, zone, ledger, standin.

Exit codes: 0 success (`rehearse`: and all rules kept), 1 a rule was broken or a ledger differs from the
recorded traffic, 2 wrong usage, 3 invalid settings or files, 4 a system error (ports, disk), 5 a process of a
rehearsal failed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import signal
import sys
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlsplit

import click
import msgspec
import uvloop
from rich.console import Console

from foxlift.catalogue import ladder_mismatches, load_catalogue
from foxlift.cli.control import configuration, control
from foxlift.cli.ledger import ledger
from foxlift.config import ConfigError, load_director, module_settings
from foxlift.director.daemon import Daemon
from foxlift.http import Failure, Pool, PoolLimits, Response
from foxlift.ledger import load_tariff
from foxlift.rehearsal import built_in, load_scenario, print_report, run_day, shrink, with_faults
from foxlift.rehearsal.processes import ChildError
from foxlift.rehearsal.report import write_json
from foxlift.rehearsal.trial import Trial, TrialPlan
from foxlift.standins.fleet import Fleet, FleetPlan
from foxlift.store import LogError
from foxlift.telemetry import configure_logs
from foxlift.tokens import Issuer, SessionToken, load_keys

T = TypeVar("T")

EXIT_RULE_BROKEN, EXIT_BAD_FILES, EXIT_SYSTEM_ERROR, EXIT_CHILD_FAILED = 1, 3, 4, 5


def _run(work: Coroutine[Any, Any, T]) -> T:
    return uvloop.run(work)


def _fail(code: int, message: str) -> None:
    click.echo(f"foxlift: {message}", err=True)
    sys.exit(code)


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
        _fail(EXIT_BAD_FILES, str(error))
        return

    async def work() -> None:
        loop = asyncio.get_running_loop()
        daemon = Daemon(config, loop, unix_s=time.time() + clock_ahead_s)
        port = await daemon.start()
        ready: dict[str, object] = {"port": port, "url": daemon.url}
        if daemon.cluster is not None:
            ready["peers"] = daemon.cluster.service.port
        click.echo(json.dumps(ready))
        sys.stdout.flush()
        stop = asyncio.Event()
        daemon.on_superseded = stop.set
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, stop.set)
        await stop.wait()
        await daemon.stop()

    try:
        _run(work())
    except OSError as error:
        _fail(EXIT_SYSTEM_ERROR, f"cannot run: {error}")
    except (ConfigError, LogError, ValueError) as error:
        _fail(EXIT_BAD_FILES, str(error))


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
        _fail(EXIT_BAD_FILES, str(error))
        return
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
        _fail(EXIT_BAD_FILES, str(error))
        return
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


@main.command()
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
    try:
        day = load_scenario(Path(scenario)) if scenario.endswith(".sexp") else built_in(scenario)
    except KeyError:
        raise click.BadParameter(f"no built-in day is named {scenario}") from None
    except ConfigError as error:
        _fail(EXIT_BAD_FILES, str(error))
        return

    if faults is None and (only or plays):
        raise click.BadParameter("only valid with --faults", param_hint="--only, --shrink")
    try:
        selected = None if only is None else tuple(int(number) for number in only.split(","))
        played_day = day if faults is None else with_faults(day, seed, faults, selected)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--only") from None

    def progress(at_s: float, text: str) -> None:
        if not quiet:
            click.echo(f"{at_s:6.1f} s  {text}", err=True)

    async def breaks_rule(fault_numbers: tuple[int, ...]) -> bool:
        progress(0.0, f"running again with {len(fault_numbers)} of the faults")
        with tempfile.TemporaryDirectory(prefix="foxlift-day-") as folder_name:
            reduced_day = with_faults(day, seed, faults or 0, fault_numbers)
            return not (await run_day(reduced_day, seed, Path(folder_name), lambda at_s, text: None)).kept

    try:
        if folder is not None:
            result = _run(run_day(played_day, seed, folder, progress))
        else:
            with tempfile.TemporaryDirectory(prefix="foxlift-day-") as folder_name:
                result = _run(run_day(played_day, seed, Path(folder_name), progress))
        if faults is not None and not result.kept:
            fault_numbers = selected or tuple(range(len(played_day.steps)))
            fault_numbers = _run(shrink(fault_numbers, breaks_rule, plays))
            numbers = ",".join(map(str, fault_numbers))
            rerun_command = f"foxlift rehearse {scenario} --seed {seed} --faults {faults} --only {numbers}"
            click.echo(rerun_command, err=True)
    except ChildError as error:
        _fail(EXIT_CHILD_FAILED, str(error))
        return
    except OSError as error:
        _fail(EXIT_SYSTEM_ERROR, f"cannot run: {error}")
        return
    if as_json:
        click.echo(write_json(result))
    else:
        print_report(result, Console())
    if result.verdict.broken or result.billing.differences:
        sys.exit(EXIT_RULE_BROKEN)
    if any(result.exits.values()):
        sys.exit(EXIT_CHILD_FAILED)


@main.command()
@click.argument("order", type=click.Choice(["empty", "return", "hold", "clear"]))
@click.argument("name")
@click.option("--at", "url", required=True, help="A director's listener for peers, as http://host:port.")
def zone(order: str, name: str, url: str) -> None:
    """Give the directors an order for a zone, which overrides what they observe.

    empty: move its viewers to other zones as far as those have room; return: move them back step by step,
    whatever is reported; hold: keep the present state; clear: follow observations again. An order that nobody
    clears ends after a day. Any director accepts the order and passes it on to the directors that plan.

    \b
    Example:
      foxlift zone empty north-1 --at http://10.0.0.4:7000
    """
    address = urlsplit(url)
    if address.scheme != "http" or not address.hostname or not address.port:
        raise click.BadParameter(f"{url} is not http://host:port", param_hint="--at")
    body = json.dumps({"zone": name, "order": None if order == "clear" else order}).encode()

    async def work() -> Response | Failure:
        loop = asyncio.get_running_loop()
        result: asyncio.Future[Response | Failure] = loop.create_future()
        pool = Pool(loop, address.hostname or "", address.port or 0, PoolLimits(connect_ms=2000.0))
        headers = (("content-type", "application/json"),)
        pool.call("POST", "/peers/order", result.set_result, headers=headers, body=body, timeout_ms=5000.0)
        try:
            return await result
        finally:
            pool.close()

    response = _run(work())
    if isinstance(response, Failure):
        _fail(EXIT_SYSTEM_ERROR, f"{url}: {response.kind.value}")
    elif response.status != 204:
        title = json.loads(response.body or b"{}").get("title", "")
        _fail(EXIT_BAD_FILES, f"{url}: {response.status} {title}")
    else:
        click.echo(f"{name}: {order}; accepted by {url}")


@main.command("try")
@click.option(
    "--media",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Folder with CMAF segments and one .mpd file. Default: the sample title.",
)
@click.option(
    "--boxes", type=click.IntRange(1, 50), default=3, show_default=True, help="Number of stand-in boxes."
)
@click.option("--paid", is_flag=True, help="Paid session: set up only once, and resumed after a pause.")
@click.option("--port", type=int, default=0, help="The director's port. Default: a free one.")
@click.option("--origin", "origins", multiple=True, help="Allowed CORS origins. Default: any.")
@click.option(
    "--pause",
    type=float,
    default=30.0,
    show_default=True,
    help="Seconds until the place of an idle session is released.",
)
@click.option("--seconds", type=float, help="Stop after so many seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print the URLs as one line of JSON.")
def try_command(
    media: Path | None,
    boxes: int,
    paid: bool,
    port: int,
    origins: tuple[str, ...],
    pause: float,
    seconds: float | None,
    as_json: bool,
) -> None:
    """Start a director and boxes with a title of real media, and print a manifest URL for any DASH player.

    Then prints each decision as it is made: rung, box, and the player's buffer if it sends CMCD. Ctrl-C stops
    everything. The sample title needs an extra: pip install 'foxlift[media]'.

    \b
    Examples:
      foxlift try
      foxlift try --media /srv/titles/lesson --paid
    """
    configure_logs("console", "error")
    with tempfile.TemporaryDirectory(prefix="foxlift-try-") as folder_name:
        folder = Path(folder_name)
        if media is None:
            try:
                from foxlift.standins.sample import make_sample
            except ImportError:
                raise click.UsageError(
                    "without --media the sample title is needed, and it needs foxlift[media]"
                ) from None
            click.echo("making the sample title ...", err=True)
            media = folder / "media"
            make_sample(media)
        manifests = sorted(media.glob("*.mpd"))
        if len(manifests) != 1:
            raise click.UsageError(f"{media}: {len(manifests)} .mpd files; exactly one is needed")
        plan = TrialPlan(media, manifests[0], boxes, paid, port, 0, origins or ("*",), pause)

        async def work() -> None:
            trial = Trial(plan, folder, lambda text: click.echo(text, err=True))
            url = await trial.start()
            if as_json:
                click.echo(json.dumps({"url": url, "control": trial.control_url}))
            else:
                click.echo(f"manifest: {url}")
                weaken = json.dumps({"do": "weaken", "box": "b0", "value": 0.2})
                click.echo(f"trouble:  curl -d '{weaken}' {trial.control_url}")
            sys.stdout.flush()
            stop = asyncio.Event()
            for name in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(name, stop.set)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await stop.wait()
            await trial.stop()

        try:
            _run(work())
        except OSError as error:
            _fail(EXIT_SYSTEM_ERROR, f"cannot run: {error}")
        except (ConfigError, LogError, ValueError) as error:
            _fail(EXIT_BAD_FILES, str(error))


@main.group()
def standin() -> None:
    """Stand-ins for boxes and the box list, for rehearsals and manual tests."""


@standin.command("fleet")
@click.argument("plan", type=click.Path(path_type=Path))
def standin_fleet(plan: Path) -> None:
    """Run the media boxes, the box list and the control socket of a fleet plan (JSON).

    Prints one line of JSON with all ports on standard output. Commands go to the control port, for example
    {"do": "die", "box": "b3"}.

    \b
    Example:
      foxlift standin fleet fleet.json
    """
    try:
        fleet_plan = msgspec.json.decode(plan.read_bytes(), type=FleetPlan)
    except (OSError, msgspec.MsgspecError) as error:
        _fail(EXIT_BAD_FILES, f"{plan}: {error}")
        return

    async def work() -> None:
        loop = asyncio.get_running_loop()
        fleet = Fleet(fleet_plan, loop)
        await fleet.start()
        ports = {name: box.port for name, box in fleet.boxes.items()}
        click.echo(json.dumps({"boxes": ports, "list": fleet.list_port, "control": fleet.control_port}))
        sys.stdout.flush()
        stop = asyncio.Event()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, stop.set)
        await stop.wait()
        await fleet.stop()

    try:
        _run(work())
    except OSError as error:
        _fail(EXIT_SYSTEM_ERROR, f"cannot run: {error}")


main.add_command(ledger)
main.add_command(control)
main.add_command(configuration)

if __name__ == "__main__":
    main()
