"""Whether this director's disk may be believed: asked of its peers once, at the start. No I/O, no clock.

    state     event                                  next      what is done
    ASKS      a peer tells the run it knew before    ASKS      remembered; a run that the disk does not know
                                                               means that the disk is lost or old
    ASKS      more than half of the others told      VOUCHES   Vouch, with what was found
    ASKS      AskAgainDue                            ASKS      those that have not told are asked again
    VOUCHES   anything                               VOUCHES

Each peer writes a new run down before it tells the one before. A run vouches only once more than half of the
others have it, so whichever half a later run asks, one of them knows of the earlier one. A disk that is lost
(no file) or put back from a copy does not know the last run, and so is found out; one that nobody ever met is
new. Where more than half of all disks are lost at once, this cannot be seen: the operators' page says so.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

AGAIN_MS = 300.0  # least wait before those that said nothing are asked again; doubles
AGAIN_MOST_MS = 5000.0


class _State(Enum):
    ASKS = "asks"
    VOUCHES = "vouches"


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Told:
    """A peer has this run on its disk now, and knew `before` until then (0: none)."""

    peer: str
    before: int


@dataclass(frozen=True, slots=True)
class AskAgainDue:
    """The wait is over."""


Event = Told | AskAgainDue


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class AskKnown:
    """Ask a peer which run of this director it knows; an answer comes back as Told, silence as nothing."""

    peer: str


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Tell AskAgainDue after so long."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Vouch:
    """The registers' holder may answer. `lost`: the disk is not the one that the last run had."""

    lost: bool


Action = AskKnown | StartTimer | Vouch


class Standing:
    """`last_run`: of this director, as its disk has it, 0 for none. `trusted`: the operator says it holds."""

    def __init__(self, others: Iterable[str], last_run: int, seed: int, trusted: bool = False) -> None:
        self._silent = set(others)
        self._need = 0 if trusted else len(self._silent) // 2 + 1 if self._silent else 0
        self._last_run, self._lost = last_run, False
        self._random = random.Random(f"{seed} standing")
        self._state, self._wait_ms = _State.ASKS, AGAIN_MS

    @property
    def vouches(self) -> bool:
        """Whether the holder may answer."""
        return self._state is _State.VOUCHES

    def start(self) -> list[Action]:
        """Ask them all."""
        return self._perhaps() or self._ask()

    def handle(self, event: Event) -> list[Action]:
        """Take one event in."""
        if self._state is _State.VOUCHES:
            return []
        match event:
            case Told(peer, before):
                if peer not in self._silent:
                    return []  # told already, or none of the settings' names
                self._silent.discard(peer)
                self._need -= 1
                self._lost |= before > self._last_run
                return self._perhaps()
            case AskAgainDue():
                return self._ask()

    def _ask(self) -> list[Action]:
        wait, self._wait_ms = self._wait_ms, min(self._wait_ms * 2, AGAIN_MOST_MS)
        asks: list[Action] = [AskKnown(peer) for peer in sorted(self._silent)]
        return [*asks, StartTimer(wait * (0.5 + self._random.random()))]

    def _perhaps(self) -> list[Action]:
        if self._need > 0:
            return []
        self._state = _State.VOUCHES
        return [Vouch(self._lost)]
