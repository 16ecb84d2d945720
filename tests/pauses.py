"""For how long a test process, and with it a program under test inside it, did not get on with its work.

That is the time in which the machine ran others, and the time of the garbage collector: a full collection
looks at every object that is alive, nearly all of which earlier tests have left.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable


class PauseClock:
    """Measures pauses while it runs. The loop must not sleep meanwhile: all time beside work is a pause."""

    def __init__(self) -> None:
        self._began_s = self._began_processor_s = self._collector_s = 0.0
        self._collection_began_s: float | None = None

    def __enter__(self) -> PauseClock:
        gc.callbacks.append(self._collector_notified)
        self._began_s, self._began_processor_s = time.monotonic(), time.process_time()
        return self

    def __exit__(self, *_: object) -> None:
        gc.callbacks.remove(self._collector_notified)

    def paused_ms(self) -> float:
        """Return for how long the program did not run since the clock was started, in ms."""
        elapsed_s = time.monotonic() - self._began_s
        running_s = time.process_time() - self._began_processor_s - self._collector_s
        return (elapsed_s - running_s) * 1000

    async def before_request(self) -> None:
        """Let the loop poll twice, so that pauses that end now are measured.

        A director counts the time between its last two polls as time that a request may have been unread.
        """
        for _ in range(2):
            await asyncio.sleep(0)

    async def wait(self, done: Callable[[], bool]) -> None:
        """Wait until `done()` without letting the loop sleep."""
        while not done():
            await asyncio.sleep(0)

    def _collector_notified(self, phase: str, _: dict[str, int]) -> None:
        if phase == "start":
            self._collection_began_s = time.process_time()
        elif self._collection_began_s is not None:
            self._collector_s += time.process_time() - self._collection_began_s
            self._collection_began_s = None


def leave_out_earlier_objects() -> None:
    """Collect now, and keep later collections from looking at the objects that are alive by now."""
    gc.collect()
    gc.freeze()
