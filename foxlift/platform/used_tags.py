"""Tags of set-ups that were sent to a server: none of them may be set up again. No I/O.

By the platform's protocol every set-up has a new tag, also a retry. A tag that comes again after its client
has left, or after its end, would run twice: its first set-up may still be on its way, or be playing. A set-
up that was not sent may come again, on another connection: it crossed the close of the first.
"""

from __future__ import annotations

RETENTION_MS = 30_000.0  # since the set-up was sent or its session ended
MAX_TAGS = 8192  # beyond it the oldest is dropped


class UsedTags:
    """The tags, oldest first. The cost of a call does not depend on their number."""

    def __init__(self) -> None:
        self._used_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._used_at)

    def add(self, now: float, tag: str) -> None:
        """Record that a set-up with the tag was sent, or that its session has ended. `now` in ms."""
        self._used_at.pop(tag, None)
        self._used_at[tag] = now
        oldest = next(iter(self._used_at))
        if len(self._used_at) > MAX_TAGS or now - self._used_at[oldest] > RETENTION_MS:
            del self._used_at[oldest]

    def contains(self, now: float, tag: str) -> bool:
        """Return whether a set-up with the tag may have run."""
        used_at = self._used_at.get(tag)
        return used_at is not None and now - used_at <= RETENTION_MS
