"""Delayed calls of one simulated process, cancelled when it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Timers:
    """Delayed calls that can be cancelled all at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pending: set[asyncio.TimerHandle] = set()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back once, unless all are cancelled before."""

        def run() -> None:
            self._pending.discard(handle)
            callback()

        handle = self._loop.call_later(delay_s, run)
        self._pending.add(handle)

    def cancel_all(self) -> None:
        """Cancel all pending calls."""
        for handle in self._pending:
            handle.cancel()
        self._pending.clear()
