"""The log of the process: lines on standard error, limited in rate."""

from __future__ import annotations

import sys
import time

LOG_BURST_LINES, LOG_LINES_PER_S = 60.0, 10.0


class RateLimitedLog:
    """Writes lines to standard error at a limited rate and counts the dropped ones."""

    def __init__(self) -> None:
        self._tokens, self._refilled_at, self._dropped = LOG_BURST_LINES, time.monotonic(), 0

    def write(self, event: str, detail: str = "") -> None:
        """Write one line. Pass names and counts only, never a session's description."""
        now = time.monotonic()
        self._tokens = min(self._tokens + (now - self._refilled_at) * LOG_LINES_PER_S, LOG_BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        suffix = f" ({self._dropped} lines dropped)" if self._dropped else ""
        try:
            print(f"foxlift: {event}{': ' if detail else ''}{detail}{suffix}", file=sys.stderr, flush=True)
        except OSError:  # the reader of the log is gone or too slow, which must not disturb service
            self._dropped += 1
            return
        self._dropped = 0
