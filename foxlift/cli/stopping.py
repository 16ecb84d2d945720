"""Stop signals of the commands that serve until they are told to stop."""

from __future__ import annotations

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_requested(loop: asyncio.AbstractEventLoop) -> asyncio.Event:
    """Handle SIGTERM and SIGINT from now on; returns an event that the first of them sets.

    To be called before the service starts: a signal that arrives during the start then stops it in order as
    soon as it has started, where the default handler would kill the process.
    """
    stop = asyncio.Event()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, stop.set)
    return stop
