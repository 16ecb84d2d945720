"""`foxlift`: serve, rehearse, try, token, check-config, zone, ledger, standin.

Exit codes: 0 done (for `rehearse`: and every rule kept), 1 a rule was broken or
a ledger differs from the sockets, 2 wrong usage, 3 settings or
files cannot be used, 4 the system does not let it run (ports, disk), 5 a process of a rehearsal failed.
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

BROKEN_RULE, BAD_FILES, NO_SYSTEM, CHILD_FAILED = 1, 3, 4, 5


def _run(work: Coroutine[Any, Any, T]) -> T:
    return uvloop.run(work)


def _end(code: int, message: str) -> None:
    click.echo(f"foxlift: {message}", err=True)
    sys.exit(code)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Places and shapes video sessions on streaming servers.

    \b
    Examples:
      foxlift rehearse                     a bad day on stand-ins, judged by the six rules
      foxlift check-config director.sexp   settings, keys, catalogue: is all in order?
      foxlift serve director.sexp          run a director
    """


_log_format = click.option(
    "--log-format", type=click.Choice(["console", "json"]), default="console", help="Form of the log lines."
)
_log_level = click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    help="Least level.",
)


@main.command()
@click.argument("settings", type=click.Path(path_type=Path))
@_log_format
@_log_level
@click.option("--clock-ahead-s", type=float, default=0.0, hidden=True, help="For rehearsals: a wrong clock.")
def serve(settings: Path, log_format: str, log_level: str, clock_ahead_s: float) -> None:
    """Run a director until SIGTERM or SIGINT.

    Says one line of JSON with its port on standard output when it listens; logs go to standard error. On
    SIGTERM it takes no new session, answers what it holds and lets sessions play for stop-time-ms.

    \b
    Example:
      foxlift serve --log-format json /etc/foxlift/director.sexp
    """
    configure_logs(log_format, log_level)  # type: ignore[arg-type]
    try:
        config = load_director(settings)
    except ConfigError as error:
        _end(BAD_FILES, str(error))
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
        _end(NO_SYSTEM, f"cannot run: {error}")
    except (ConfigError, LogError, ValueError) as error:
        _end(BAD_FILES, str(error))


@main.command("check-config")
@click.argument("settings", type=click.Path(path_type=Path))
def check_config(settings: Path) -> None:
    """Check a director's settings, keys, catalogue and tariff; starts nothing.

    Names the sources whose renditions do not fit a class's ladder; they play all the same.

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
        _end(BAD_FILES, str(error))
        return
    for line in ladder_mismatches(config, catalogue):
        click.echo(line)
    click.echo(
        f"{settings}: in order: director {config.name}, {len(config.fleet.classes)} classes,"
        f" {len(catalogue.titles)} titles (catalogue version {catalogue.version})"
    )


@main.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--title", required=True, help="The title that may be played.")
@click.option("--class", "klass", required=True, help="The session's class.")
@click.option("--tenant", required=True, help="Whose viewer it is.")
@click.option("--viewer", default="someone", show_default=True, help="Who watches.")
@click.option("--id", "token_id", help="The token's id; drawn where it is not given.")
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
        _end(BAD_FILES, str(error))
        return
    made = SessionToken(
        id=token_id or secrets.token_urlsafe(12),
        viewer=viewer,
        title=title,
        klass=klass,
        tenant=tenant,
        expires=int(time.time()) + seconds,
        best_rung=best,
    )
    click.echo(Issuer(keys, config.tokens.issuer, config.tokens.audience).issue(made))


@main.command()
@click.argument("scenario", default="bad-day")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of viewers, boxes and players.")
@click.option("--folder", type=click.Path(path_type=Path), help="Keep settings, logs and taps here.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as one line of JSON.")
@click.option("--quiet", is_flag=True, help="No progress lines.")
@click.option("--faults", type=click.IntRange(0, 1000), help="So many faults from the seed, not the script.")
@click.option("--only", help="Of those faults only these, by number: 0,3,4.")
@click.option("--shrink", "plays", type=click.IntRange(0), default=0, help="Plays to shrink a broken day.")
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
    """Run a scripted day on stand-ins and judge the six rules from the sockets' traffic.

    SCENARIO is the name of a built-in day (bad-day, billing-day, short-day, takeover, short-takeover) or a
    scenario file. With --faults the day has faults drawn from the seed between directors, boxes and list;
    where a rule breaks, --shrink looks for the least of them that break it and prints the command that plays
    those again.

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
        raise click.BadParameter(f"no built-in day is called {scenario}") from None
    except ConfigError as error:
        _end(BAD_FILES, str(error))
        return

    if faults is None and (only or plays):
        raise click.BadParameter("goes with --faults", param_hint="--only, --shrink")
    try:
        chosen = None if only is None else tuple(int(number) for number in only.split(","))
        drawn = day if faults is None else with_faults(day, seed, faults, chosen)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--only") from None

    def progress(at_s: float, text: str) -> None:
        if not quiet:
            click.echo(f"{at_s:6.1f} s  {text}", err=True)

    async def breaks(part: tuple[int, ...]) -> bool:
        progress(0.0, f"again with {len(part)} of the faults")
        with tempfile.TemporaryDirectory(prefix="foxlift-day-") as made:
            again = with_faults(day, seed, faults or 0, part)
            return not (await run_day(again, seed, Path(made), lambda at_s, text: None)).kept

    try:
        if folder is not None:
            result = _run(run_day(drawn, seed, folder, progress))
        else:
            with tempfile.TemporaryDirectory(prefix="foxlift-day-") as made:
                result = _run(run_day(drawn, seed, Path(made), progress))
        if faults is not None and not result.kept:
            part = chosen or tuple(range(len(drawn.steps)))
            part = _run(shrink(part, breaks, plays))
            numbers = ",".join(map(str, part))
            again = f"foxlift rehearse {scenario} --seed {seed} --faults {faults} --only {numbers}"
            click.echo(again, err=True)
    except ChildError as error:
        _end(CHILD_FAILED, str(error))
        return
    except OSError as error:
        _end(NO_SYSTEM, f"cannot run: {error}")
        return
    if as_json:
        click.echo(write_json(result))
    else:
        print_report(result, Console())
    if result.verdict.broken or result.billing.differences:
        sys.exit(BROKEN_RULE)
    if any(result.exits.values()):
        sys.exit(CHILD_FAILED)


@main.command()
@click.argument("order", type=click.Choice(["empty", "return", "hold", "clear"]))
@click.argument("name")
@click.option("--at", "url", required=True, help="A director's peers' listener, as http://host:port.")
def zone(order: str, name: str, url: str) -> None:
    """Give an order on a zone to the directors, before all evidence.

    empty: its viewers are sent elsewhere, as far as others have room; return: step by step back to near,
    whatever is reported; hold: as it is; clear: by evidence again. An order that nobody clears is over after
    a day. Any director takes it and tells the makers of plans.

    \b
    Example:
      foxlift zone empty north-1 --at http://10.0.0.4:7000
    """
    address = urlsplit(url)
    if address.scheme != "http" or not address.hostname or not address.port:
        raise click.BadParameter("is not http://host:port", param_hint="--at")
    body = json.dumps({"zone": name, "order": None if order == "clear" else order}).encode()

    async def work() -> Response | Failure:
        loop = asyncio.get_running_loop()
        told: asyncio.Future[Response | Failure] = loop.create_future()
        pool = Pool(loop, address.hostname or "", address.port or 0, PoolLimits(connect_ms=2000.0))
        headers = (("content-type", "application/json"),)
        pool.call("POST", "/peers/order", told.set_result, headers=headers, body=body, timeout_ms=5000.0)
        try:
            return await told
        finally:
            pool.close()

    found = _run(work())
    if isinstance(found, Failure):
        _end(NO_SYSTEM, f"{url}: {found.kind.value}")
    elif found.status != 204:
        title = json.loads(found.body or b"{}").get("title", "")
        _end(BAD_FILES, f"{url}: {found.status} {title}")
    else:
        click.echo(f"{name}: {order}; told to {url}")


@main.command("try")
@click.option(
    "--media",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Folder with CMAF segments and one .mpd; the sample title where it is not given.",
)
@click.option("--boxes", type=click.IntRange(1, 50), default=3, show_default=True, help="Stand-in boxes.")
@click.option("--paid", is_flag=True, help="The session is paid: set up once, and taken up after a pause.")
@click.option("--port", type=int, default=0, help="The director's port; a free one where it is not given.")
@click.option("--origin", "origins", multiple=True, help="Origins of pages to let in; any by default.")
@click.option("--pause", type=float, default=30.0, show_default=True, help="Seconds until a place is let go.")
@click.option("--seconds", type=float, help="End by itself after so long.")
@click.option("--json", "as_json", is_flag=True, help="Print URLs as one line of JSON.")
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

    Then tells what is decided as it happens: rung, box, and the player's buffer where it sends CMCD. Ctrl-C
    ends all. The sample title needs the extra: pip install 'foxlift[media]'.

    \b
    Examples:
      foxlift try
      foxlift try --media /srv/titles/lesson --paid
    """
    configure_logs("console", "error")
    with tempfile.TemporaryDirectory(prefix="foxlift-try-") as made:
        folder = Path(made)
        if media is None:
            try:
                from foxlift.standins.sample import make_sample
            except ImportError:
                raise click.UsageError("no --media, and the sample needs foxlift[media]") from None
            click.echo("making the sample title ...", err=True)
            media = folder / "media"
            make_sample(media)
        manifests = sorted(media.glob("*.mpd"))
        if len(manifests) != 1:
            raise click.UsageError(f"{media}: holds {len(manifests)} .mpd files, one is needed")
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
            _end(NO_SYSTEM, f"cannot run: {error}")
        except (ConfigError, LogError, ValueError) as error:
            _end(BAD_FILES, str(error))


@main.group()
def standin() -> None:
    """Stand-ins for the outside, for rehearsals and by hand."""


@standin.command("fleet")
@click.argument("plan", type=click.Path(path_type=Path))
def standin_fleet(plan: Path) -> None:
    """Run the media boxes, the box list and the control socket of a fleet plan (JSON).

    Says one line of JSON with all ports on standard output. Commands go to the control port, for example
    {"do": "die", "box": "b3"}.

    \b
    Example:
      foxlift standin fleet fleet.json
    """
    try:
        made = msgspec.json.decode(plan.read_bytes(), type=FleetPlan)
    except (OSError, msgspec.MsgspecError) as error:
        _end(BAD_FILES, f"{plan}: {error}")
        return

    async def work() -> None:
        loop = asyncio.get_running_loop()
        fleet = Fleet(made, loop)
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
        _end(NO_SYSTEM, f"cannot run: {error}")


main.add_command(ledger)
main.add_command(control)
main.add_command(configuration)

if __name__ == "__main__":
    main()
