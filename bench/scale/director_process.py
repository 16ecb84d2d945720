"""A real `python -m foxlift.platform` process under measurement, seen from outside through /proc."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

START_TIMEOUT_S = 10.0
POLL_S = 0.02
STOP_TIMEOUT_S = 5.0
NANOSECONDS = 1e9


class DirectorStartError(RuntimeError):
    """The process did not begin to serve; the message holds the end of its log."""


class DirectorProcess:
    """One director; its files go into `folder`."""

    def __init__(self, configuration: bytes, folder: Path) -> None:
        config_path = folder / "director.json"
        config_path.write_bytes(configuration)
        self._log_path = folder / "director.log"
        with self._log_path.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "foxlift.platform"],
                env={**os.environ, "BALANCER_CONFIG": str(config_path)},
                stderr=log,
            )
        self._proc = Path(f"/proc/{self._process.pid}")
        try:
            self._wait_until_serving()
        except DirectorStartError:
            self.stop()
            raise

    def _wait_until_serving(self) -> None:
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while "serving" not in self.log():
            if self._process.poll() is not None or time.monotonic() > give_up_at:
                raise DirectorStartError(self.log()[-2000:])
            time.sleep(POLL_S)

    def log(self) -> str:
        """All that it has said so far."""
        return self._log_path.read_text()

    def resident_bytes(self) -> float:
        """Resident set: memory of the process, without what the kernel keeps for its sockets."""
        pages = int(self._proc.joinpath("statm").read_text().split()[1])
        return float(pages * os.sysconf("SC_PAGE_SIZE"))

    def processor_seconds(self) -> float:
        """Time on a core so far, user and system, of all its threads."""
        spent = [path.read_text().split()[0] for path in self._proc.glob("task/*/schedstat")]
        return sum(map(int, spent)) / NANOSECONDS

    def descriptors(self) -> int:
        """Open descriptors."""
        return len(os.listdir(self._proc / "fd"))

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait(STOP_TIMEOUT_S)
