"""What a relay knows of the directors that watch it: versions in force, canaries, refusals.

A director is live while it was heard of lately. The first of them by a hash of their names are canaries: a
stated part, at least one. They are offered changes before the rest of the fleet.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from foxlift.accord.spread import rank
from foxlift.rollout.messages import (
    MAX_CANARIES,
    MAX_REFUSALS,
    CanaryState,
    DirectorWatch,
    Refusal,
    Report,
)
from foxlift.rollout.watcher import MAX_HOLD_MS

CANARY_RATIO = 0.02  # of a relay's directors
LIVE_MS = MAX_HOLD_MS + 4000.0  # a director asks again at least each MAX_HOLD_MS
CONFIRM_MS = 3000.0  # a canary that was offered a change and not heard of for so long has not confirmed it
MAX_DIRECTORS = 4096  # of one relay


@dataclass(slots=True)
class _Director:
    version: int
    heard_at: float
    refused: Refusal | None = None
    offered: int = 0
    offered_at: float = math.inf


class Roster:
    """The directors of one relay."""

    def __init__(self) -> None:
        self._directors: dict[str, _Director] = {}
        self._canaries: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._directors)

    def has_room_for(self, name: str) -> bool:
        """Whether there is room for a director."""
        return name in self._directors or len(self._directors) < MAX_DIRECTORS

    def record_watch(self, now: float, watch: DirectorWatch) -> None:
        """A director has this version in force."""
        known = self._directors.get(watch.sender)
        if known is None:
            self._directors[watch.sender] = _Director(watch.version, now, watch.refused)
            self._choose()
            return
        known.version, known.heard_at, known.refused = watch.version, now, watch.refused
        if watch.refused is not None or watch.version >= known.offered:
            known.offered_at = math.inf

    def record_offer(self, now: float, name: str, version: int) -> None:
        """A director was told of the way to a version."""
        known = self._directors.get(name)
        if known is not None:
            known.offered, known.offered_at = version, now

    def is_canary(self, name: str) -> bool:
        """Whether a director is offered changes first."""
        return name in self._canaries

    def remove_silent(self, now: float) -> None:
        """Drop the directors that were not heard of for too long."""
        silent = [name for name, known in self._directors.items() if now - known.heard_at > LIVE_MS]
        for name in silent:
            del self._directors[name]
        if silent:
            self._choose()

    def _choose(self) -> None:
        count = min(max(1, math.ceil(len(self._directors) * CANARY_RATIO)), MAX_CANARIES)
        chosen = sorted(self._directors, key=lambda name: rank("canary", name), reverse=True)[:count]
        self._canaries = frozenset(chosen)

    def report(self, now: float, sender: str, boot_epoch: int, zone: str, head: int) -> Report:
        """What the group is told."""
        confirmed: list[CanaryState] = []
        unconfirmed: list[CanaryState] = []
        for name in sorted(self._canaries):
            known = self._directors[name]
            if now - known.offered_at > CONFIRM_MS:
                unconfirmed.append(CanaryState(name, known.offered))
            else:
                confirmed.append(CanaryState(name, known.version))
        refusals = [(n, known.refused) for n, known in self._directors.items() if known.refused is not None]
        return Report(
            sender,
            boot_epoch,
            zone,
            head,
            directors=len(self._directors),
            least=min((known.version for known in self._directors.values()), default=0),
            canaries=tuple(confirmed),
            unconfirmed=tuple(unconfirmed),
            refusals=tuple(refusals[:MAX_REFUSALS]),
        )
