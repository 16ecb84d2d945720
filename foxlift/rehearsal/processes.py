"""Processes of a rehearsal: each prints one line when it is ready, may be killed, and started again."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any


class ChildError(RuntimeError):
    """A process did not start, or ended unexpectedly."""


class Child:
    """One process of the program. It prints one line of JSON on standard output when it is ready."""

    def __init__(self, name: str, folder: Path, *arguments: str) -> None:
        self.name, self.folder, self.arguments = name, folder, arguments
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self._is_ready = False

    async def start(self, seconds: float = 20.0) -> dict[str, Any]:
        """Start it and wait until it is ready; returns its line. Raises ChildError."""
        self.starts += 1
        self._is_ready = False
        log = self.folder / f"{self.name}.log"
        with open(log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "foxlift.cli.main",
                *self.arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=out,
                cwd=self.folder,
            )
        line = await self._ready_line(self.process, seconds)
        if not line:
            end = log.read_text(errors="replace")[-2000:]
            raise ChildError(f"{self.name} did not get ready; its log ends:\n{end}")
        return dict(json.loads(line))

    async def _ready_line(self, process: asyncio.subprocess.Process, seconds: float) -> bytes:
        """Wait for the line that it prints when it is ready; empty if it does not come in time."""
        assert process.stdout is not None
        try:
            line = await asyncio.wait_for(process.stdout.readline(), seconds)
        except TimeoutError:
            return b""
        self._is_ready = True
        return line

    def kill(self) -> None:
        """Send SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    def stop_running(self, on: bool) -> None:
        """Suspend it with SIGSTOP, or resume it."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    async def end(self, seconds: float = 10.0) -> int:
        """Send SIGTERM and wait; SIGKILL if it does not end in time. Returns its exit code.

        A process that is still starting gets the signal once it is ready, as it would be killed before.
        """
        if self.process is None:
            return 0
        if not self._is_ready:
            await self._ready_line(self.process, seconds)
        if self.process.returncode is None:
            self.process.terminate()
            try:
                await asyncio.wait_for(self.process.wait(), seconds)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        return self.process.returncode or 0
