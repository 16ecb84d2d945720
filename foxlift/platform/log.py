"""The process's log: lines on standard error, bounded in rate."""

from __future__ import annotations

import sys
import time

LOG_BURST, LOG_PER_S = 60.0, 10.0  # lines


class RateLimitedLog:
    """Lines on standard error, bounded in rate; what was left out is counted."""

    def __init__(self) -> None:
        self._tokens, self._refilled_at, self._dropped = LOG_BURST, time.monotonic(), 0

    def write(self, event: str, detail: str = "") -> None:
        """One line; names and counts only, never a description."""
        now = time.monotonic()
        self._tokens = min(self._tokens + (now - self._refilled_at) * LOG_PER_S, LOG_BURST)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        suffix = f" ({self._dropped} lines left out)" if self._dropped else ""
        try:
            print(f"foxlift: {event}{': ' if detail else ''}{detail}{suffix}", file=sys.stderr, flush=True)
        except OSError:  # who reads the log is gone or does not keep up: nobody else is to notice
            self._dropped += 1
            return
        self._dropped = 0
