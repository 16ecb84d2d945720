"""Begins another boot epoch in a running process when a server has fenced the present one off."""

from __future__ import annotations

from collections.abc import Callable

from foxlift.boxes.takeover import FENCE
from foxlift.director.cluster.context import ClusterContext
from foxlift.http import Answer, Failure

MIN_INTERVAL_MS = 1000.0
MAX_FENCE_DIGITS = 16


class EpochRenewal:
    """Begins new epochs, one at a time. `on_renewed` is called once the new one is on the disk."""

    def __init__(self, context: ClusterContext, on_renewed: Callable[[], None]) -> None:
        self._context, self._on_renewed = context, on_renewed
        self._in_progress = False
        self._last_at = -1e18

    def renew(self, refusal: Answer | Failure | None = None, above: int = 0) -> None:
        """Begin an epoch higher than `above` and than the fence that a server's refusal names."""
        above = max(above, _fence_of(refusal))
        now = self._context.now()
        if self._in_progress or self._context.closed or now - self._last_at < MIN_INTERVAL_MS:
            return
        self._in_progress, self._last_at = True, now
        self._context.counters.add("runs renewed")
        self._context.store.renew(max(int(now), above + 1), self._stored)

    def _stored(self, error: OSError | None) -> None:
        self._in_progress = False
        if error is not None or self._context.closed:
            return
        self._context.log.warning(
            "another director has taken work over: a new run begins", run=self._context.boot_epoch
        )
        self._on_renewed()


def _fence_of(refusal: Answer | Failure | None) -> int:
    """The fencing token that a refusal names, 0 for none."""
    fence = refusal.header(FENCE) if isinstance(refusal, Answer) else None
    if fence is None or not fence.isdigit() or len(fence) > MAX_FENCE_DIGITS:
        return 0
    return int(fence)
