"""`run` and `build` of deploy/balancer.toml do only what the operators' pages allow a director's process."""

from __future__ import annotations

import asyncio
import os
import platform
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
import uvloop
from platform_world import config, member
from ports import free_address

from foxlift.standins.platform import StandInBox, StandInCoordinator, Viewer, start_line

ROOT = Path(__file__).parent.parent
CONFINED = str(Path(__file__).parent / "confined.py")
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

pytestmark = pytest.mark.skipif(platform.machine() != "x86_64", reason="the filter names x86-64's calls")


def run_line() -> str:
    """The start command of the operators, with this environment in place of the one that `build` makes."""
    line: str = DEPLOY["run"]
    assert line.startswith("exec .venv/bin/python ")
    return line.replace(".venv/bin/python", sys.executable)


@pytest.mark.parametrize(
    "code",
    [
        "import os; os.fork()",
        "import os; os.posix_spawn('/bin/true', ['true'], {})",
        "import subprocess; subprocess.run(['true'])",
        "import multiprocessing as m; p = m.get_context('fork').Process(); p.start()",
        "import socket; socket.socket(socket.AF_UNIX)",
        "import os; r, w = os.pipe(); os.sendfile(w, 0, 0, 1)",
        "import ctypes; ctypes.CDLL(None).syscall(275, 0, 0, 0, 0, 0, 0)",
        "import ctypes; ctypes.CDLL(None).syscall(426, 0, 0, 0, 0, 0, 0)",
    ],
)
def test_the_filter_kills_a_process_that_uses_a_forbidden_call(code: str) -> None:
    ended = subprocess.run([sys.executable, CONFINED, sys.executable, "-c", code], check=False)
    assert ended.returncode == -signal.SIGSYS


def test_the_filter_allows_threads_and_refuses_io_rings_with_an_error() -> None:
    code = (
        "import ctypes, errno, threading as t\n"
        "x = t.Thread(target=print); x.start(); x.join()\n"
        "c = ctypes.CDLL(None, use_errno=True)\n"
        "assert c.syscall(425, 8, 0) == -1 and ctypes.get_errno() == errno.ENOSYS\n"
    )
    subprocess.run([sys.executable, CONFINED, sys.executable, "-c", code], check=True)


def test_run_is_one_dynamic_process_through_start_service_reload_and_stop(tmp_path: Path) -> None:
    async def test() -> None:
        box, feed, later = (
            await StandInBox().start(),
            await StandInCoordinator().start(),
            await StandInCoordinator().start(),
        )
        address, file = free_address(), tmp_path / "config.json"
        members = [member(1, box.address)]
        file.write_bytes(config(members, feed.address, address))
        director = subprocess.Popen(
            [sys.executable, CONFINED, "/bin/sh", "-c", run_line()],
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(file)},
            stderr=subprocess.PIPE,
        )
        assert director.stderr is not None
        try:
            loop = asyncio.get_running_loop()
            assert b"serving" in await loop.run_in_executor(None, director.stderr.readline)
            await feed.connected.wait()
            viewer = await Viewer.connect(address)
            viewer.send(start_line(f"{1:016x}"))
            answer = await viewer.answer(f"{1:016x}")
            assert answer is not None and answer["verb"] == "STARTED"
            file.write_bytes(config(members, later.address, address))
            director.send_signal(signal.SIGHUP)
            await later.connected.wait()
            of = Path(f"/proc/{director.pid}")
            # the shell was replaced by the director through exec, so there is no other process
            assert of.joinpath("exe").resolve() == Path(sys.executable).resolve()
            assert not of.joinpath(f"task/{director.pid}/children").read_text()
            assert "/libc.so" in of.joinpath("maps").read_text()
            director.send_signal(signal.SIGTERM)
            text = await loop.run_in_executor(None, director.stderr.read)
            assert await loop.run_in_executor(None, director.wait) == 0
            assert b"exception" not in text and b"ended: asked 1" in text
        finally:
            director.kill()
            director.stderr.close()
            feed.stop()
            later.stop()
            await box.stop()

    uvloop.run(asyncio.wait_for(test(), 40))


def test_build_updates_an_older_environment_and_needs_no_other_program() -> None:
    line = DEPLOY["build"]
    made, installed, compiled = (step.strip() for step in line.split("&&"))
    assert made.startswith("(test -d .venv || ") and installed.endswith("install -r requirements.txt")
    assert "compileall" in compiled and DEPLOY["packages"] == []
    pins = (ROOT / "requirements.txt").read_text().split("\n")
    assert all(pin.startswith("#") or "==" in pin for pin in pins if pin)
