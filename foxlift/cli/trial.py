"""`foxlift try`: a director and stand-in boxes with real media, for any DASH player."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import tempfile
from pathlib import Path

import click

from foxlift.cli.exits import run_service
from foxlift.cli.stopping import stop_requested
from foxlift.rehearsal.trial import Trial, TrialPlan
from foxlift.telemetry import configure_logs


@click.command("try")
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
            stop = stop_requested(asyncio.get_running_loop())
            trial = Trial(plan, folder, lambda text: click.echo(text, err=True))
            url = await trial.start()
            if as_json:
                click.echo(json.dumps({"url": url, "control": trial.control_url}))
            else:
                click.echo(f"manifest: {url}")
                weaken = json.dumps({"do": "weaken", "box": "b0", "value": 0.2})
                click.echo(f"trouble:  curl -d '{weaken}' {trial.control_url}")
            sys.stdout.flush()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await stop.wait()
            await trial.stop()

        run_service(work())
