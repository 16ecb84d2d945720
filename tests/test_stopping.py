"""Commands that serve, told to stop while they start."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from pathlib import Path

import pytest
import uvloop
from test_cli import write_settings

from foxlift.rehearsal.processes import Child

STOPPED_AT_ITS_START = """
import os, signal, sys
from foxlift.cli.main import main
from {module} import {service}
whole_start = {service}.start
async def start(service):
    os.kill(os.getpid(), signal.{signal})
    return await whole_start(service)
{service}.start = start
main(sys.argv[1:])
"""


def start_stopped(
    module: str, service: str, signal_name: str, *arguments: str
) -> subprocess.CompletedProcess[str]:
    program = STOPPED_AT_ITS_START.format(module=module, service=service, signal=signal_name)
    command = [sys.executable, "-c", program, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


@pytest.mark.parametrize("signal_name", ["SIGTERM", "SIGINT"])
def test_a_director_told_to_stop_while_it_starts_ends_in_order(tmp_path: Path, signal_name: str) -> None:
    settings = str(write_settings(tmp_path))
    done = start_stopped("foxlift.director.daemon", "Daemon", signal_name, "serve", settings)
    assert done.returncode == 0, done.stderr[-500:]
    assert "stopping" in done.stderr


def test_servers_of_a_rehearsal_told_to_stop_while_they_start_end_in_order(tmp_path: Path) -> None:
    plan = tmp_path / "fleet.json"
    plan.write_text('{"boxes": [], "uplink_kb": 1000.0}')
    done = start_stopped("foxlift.standins.fleet", "Fleet", "SIGTERM", "standin", "fleet", str(plan))
    assert done.returncode == 0, done.stderr[-500:]


def test_a_director_of_a_rehearsal_that_still_starts_is_stopped_in_order(tmp_path: Path) -> None:
    """The day has ended while a director that was killed starts again."""

    async def test() -> int:
        director = Child("d0", tmp_path, "serve", "--log-format", "json", str(write_settings(tmp_path)))
        start = asyncio.ensure_future(director.start())
        while director.process is None:
            await asyncio.sleep(0)
        start.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await start
        return await director.end()

    assert uvloop.run(test()) == 0
