"""`foxlift standin`: stand-ins as processes of their own."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import click
import msgspec

from foxlift.cli.exits import EXIT_BAD_FILES, fail, run_service
from foxlift.cli.stopping import stop_requested
from foxlift.standins.fleet import Fleet, FleetPlan


@click.group()
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
        fail(EXIT_BAD_FILES, f"{plan}: {error}")

    async def work() -> None:
        loop = asyncio.get_running_loop()
        stop = stop_requested(loop)
        fleet = Fleet(fleet_plan, loop)
        await fleet.start()
        ports = {name: box.port for name, box in fleet.boxes.items()}
        click.echo(json.dumps({"boxes": ports, "list": fleet.list_port, "control": fleet.control_port}))
        sys.stdout.flush()
        await stop.wait()
        await fleet.stop()

    run_service(work())
