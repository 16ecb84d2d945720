"""The directors that poll a relay: their versions, canaries and refusals.

A director is dropped when it has not polled for DIRECTOR_TIMEOUT_MS. The directors with the highest hash of
their names are canaries, CANARY_RATIO of them and at least one; they are offered changes before the others.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from foxlift.consensus.rendezvous import rank
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
DIRECTOR_TIMEOUT_MS = MAX_HOLD_MS + 4000.0  # a director asks again at least each MAX_HOLD_MS
CONFIRM_TIMEOUT_MS = 3000.0  # a canary offered a change has to poll again within this time
MAX_DIRECTORS = 4096  # of one relay


@dataclass(slots=True)
class _Director:
    version: int
    last_contact_at: float
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
        """Whether the director is director or there is room for it."""
        return name in self._directors or len(self._directors) < MAX_DIRECTORS

    def record_watch(self, now: float, watch: DirectorWatch) -> None:
        """Record a director's watch."""
        director = self._directors.get(watch.sender)
        if director is None:
            self._directors[watch.sender] = _Director(watch.version, now, watch.refused)
            self._choose_canaries()
            return
        director.version, director.last_contact_at, director.refused = watch.version, now, watch.refused
        if watch.refused is not None or watch.version >= director.offered:
            director.offered_at = math.inf

    def record_offer(self, now: float, name: str, version: int) -> None:
        """Record that a director was sent steps up to a version."""
        director = self._directors.get(name)
        if director is not None:
            director.offered, director.offered_at = version, now

    def is_canary(self, name: str) -> bool:
        """Whether a director is offered changes first."""
        return name in self._canaries

    def remove_silent(self, now: float) -> None:
        """Drop directors that have not polled for too long."""
        silent = [
            name
            for name, director in self._directors.items()
            if now - director.last_contact_at > DIRECTOR_TIMEOUT_MS
        ]
        for name in silent:
            del self._directors[name]
        if silent:
            self._choose_canaries()

    def _choose_canaries(self) -> None:
        count = min(max(1, math.ceil(len(self._directors) * CANARY_RATIO)), MAX_CANARIES)
        canaries = sorted(self._directors, key=lambda name: rank("canary", name), reverse=True)[:count]
        self._canaries = frozenset(canaries)

    def report(self, now: float, sender: str, boot_epoch: int, zone: str, head: int) -> Report:
        """The report to the group."""
        confirmed: list[CanaryState] = []
        unconfirmed: list[CanaryState] = []
        for name in sorted(self._canaries):
            director = self._directors[name]
            if now - director.offered_at > CONFIRM_TIMEOUT_MS:
                unconfirmed.append(CanaryState(name, director.offered))
            else:
                confirmed.append(CanaryState(name, director.version))
        refusals = [
            (n, director.refused) for n, director in self._directors.items() if director.refused is not None
        ]
        return Report(
            sender,
            boot_epoch,
            zone,
            head,
            directors=len(self._directors),
            oldest_version=min((director.version for director in self._directors.values()), default=0),
            canaries=tuple(confirmed),
            unconfirmed=tuple(unconfirmed),
            refusals=tuple(refusals[:MAX_REFUSALS]),
        )
