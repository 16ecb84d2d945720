"""The processes of a day: started, heard once when they are ready, killed and started again."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any


class ChildError(RuntimeError):
    """A process of the day did not start or ended by itself."""


class Child:
    """One process of the program. It says one line of JSON on standard output when it is ready."""

    def __init__(self, name: str, folder: Path, *arguments: str) -> None:
        self.name, self.folder, self.arguments = name, folder, arguments
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self, seconds: float = 20.0) -> dict[str, Any]:
        """Start it and wait for its line. Raises ChildError with the end of its log."""
        self.starts += 1
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
        assert self.process.stdout is not None
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), seconds)
        except TimeoutError:
            line = b""
        if not line:
            end = log.read_text(errors="replace")[-2000:]
            raise ChildError(f"{self.name} did not get ready; its log ends:\n{end}")
        return dict(json.loads(line))

    def kill(self) -> None:
        """kill -9."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    def stop_running(self, on: bool) -> None:
        """Let it stand still, or go on."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    async def end(self, seconds: float = 10.0) -> int:
        """Ask it to stop, wait, and kill it where it does not; gives back its exit code."""
        if self.process is None:
            return 0
        if self.process.returncode is None:
            self.process.terminate()
            try:
                await asyncio.wait_for(self.process.wait(), seconds)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        return self.process.returncode or 0
