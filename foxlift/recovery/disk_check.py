"""Whether this director's disk is the one of its last boot epoch: asked of its peers at start. No I/O.

    state     event                                       next      what is done
    ASKING    a peer reports the epoch it knew before     ASKING    recorded; if newer than the disk's,
                                                                    the disk is lost or an old copy
    ASKING    more than half of the peers reported        TRUSTED   Trust, with the result
    ASKING    RetryDue                                    ASKING    the remaining peers are asked again
    TRUSTED   anything                                    TRUSTED

A peer stores a new epoch before it reports the one before. An epoch acts only after more than half of the
peers have stored it. So among any half that a later epoch asks, one peer knows the earlier one. A disk that
was lost (no file) or restored from a copy lacks the last epoch, and is detected; a director that no peer has
met is new. The loss of more than half of all disks at once cannot be detected (the operators' page says so).
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

RETRY_MIN_MS = 300.0  # first back-off before silent peers are asked again; doubles
RETRY_MAX_MS = 5000.0


class _State(Enum):
    ASKING = "asks"
    TRUSTED = "vouches"


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class EpochReported:
    """A peer has stored the present boot epoch, and knew `before` until then (0: none)."""

    peer: str
    before: int


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The back-off has ended."""


Event = EpochReported | RetryDue


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class QueryEpoch:
    """Ask a peer which boot epoch of this director it knows. A response becomes EpochReported."""

    peer: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Deliver RetryDue after `delay_ms`."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Trust:
    """The replica of registers may answer. `disk_lost`: the disk is not the one of the last boot epoch."""

    disk_lost: bool


Action = QueryEpoch | StartTimer | Trust


class DiskCheck:
    """The check at one start.

    `last_boot_epoch`: as stored on the disk, 0 for none. `is_trusted_by_operator`: the settings say that the
    disk is the last one; it is then trusted at once.
    """

    def __init__(
        self, others: Iterable[str], last_boot_epoch: int, seed: int, is_trusted_by_operator: bool = False
    ) -> None:
        self._pending = set(others)
        self._missing = 0 if is_trusted_by_operator else len(self._pending) // 2 + 1 if self._pending else 0
        self._last_boot_epoch, self._disk_lost = last_boot_epoch, False
        self._random = random.Random(f"{seed} standing")
        self._state, self._wait_ms = _State.ASKING, RETRY_MIN_MS

    @property
    def trusted(self) -> bool:
        """Whether the replica of registers may answer."""
        return self._state is _State.TRUSTED

    def start(self) -> list[Action]:
        """Ask all peers."""
        return self._decide() or self._query()

    def handle(self, event: Event) -> list[Action]:
        """Handle one event."""
        if self._state is _State.TRUSTED:
            return []
        match event:
            case EpochReported(peer, before):
                if peer not in self._pending:
                    return []  # counted already, or not a peer of the settings
                self._pending.discard(peer)
                self._missing -= 1
                self._disk_lost |= before > self._last_boot_epoch
                return self._decide()
            case RetryDue():
                return self._query()

    def _query(self) -> list[Action]:
        wait, self._wait_ms = self._wait_ms, min(self._wait_ms * 2, RETRY_MAX_MS)
        asks: list[Action] = [QueryEpoch(peer) for peer in sorted(self._pending)]
        return [*asks, StartTimer(wait * (0.5 + self._random.random()))]

    def _decide(self) -> list[Action]:
        if self._missing > 0:
            return []
        self._state = _State.TRUSTED
        return [Trust(self._disk_lost)]
