"""The configuration at one version: a map with a digest that is kept up change by change.

The digest is the sum, modulo 2^128, of a keyed hash of each key and value (an additive multiset hash, Clarke
and others, 2003): the same for the same map whatever the way to it, and worked out anew in time proportional
to the change. It tells accidents apart, not adversaries.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from foxlift.rollout.entry import Change

DIGEST_BYTES = 16
_MODULUS = 1 << (8 * DIGEST_BYTES)


def _hash(key: str, value: str) -> int:
    return int.from_bytes(blake2b(f"{key}\0{value}".encode(), digest_size=DIGEST_BYTES).digest(), "big")


class Content:
    """The map at one version."""

    def __init__(self, values: Mapping[str, str] = {}) -> None:
        self.values: dict[str, str] = dict(values)
        self._sum = sum(_hash(key, value) for key, value in self.values.items()) % _MODULUS

    @property
    def digest(self) -> str:
        """Hexadecimal; the same for the same map."""
        return format(self._sum, f"0{2 * DIGEST_BYTES}x")

    def digest_after(self, change: Change) -> str:
        """The digest that this map would have after a change."""
        return format(self._sum_after(change), f"0{2 * DIGEST_BYTES}x")

    def apply(self, change: Change) -> Change:
        """Take a change in; gives back the change that undoes it."""
        undo = self.inverse_of(change)
        self._sum = self._sum_after(change)
        self.values.update(change.puts)
        for key in change.removes:
            self.values.pop(key, None)
        return undo

    def inverse_of(self, change: Change) -> Change:
        """What would bring this map back after a change."""
        keys = _keys_of(change)
        puts = {key: self.values[key] for key in keys if key in self.values}
        return Change(puts, tuple(key for key in keys if key not in self.values))

    def _sum_after(self, change: Change) -> int:
        total = self._sum
        for key in _keys_of(change):
            if key in self.values:
                total -= _hash(key, self.values[key])
            if key in change.puts:
                total += _hash(key, change.puts[key])
        return total % _MODULUS


def _keys_of(change: Change) -> list[str]:
    return [*change.puts, *(key for key in change.removes if key not in change.puts)]


def merge(changes: Iterable[Change]) -> Change:
    """One change with the effect of all of them, one after the other."""
    puts: dict[str, str] = {}
    removes: dict[str, None] = {}
    for change in changes:
        for key in change.removes:
            puts.pop(key, None)
            removes[key] = None
        for key, value in change.puts.items():
            removes.pop(key, None)
            puts[key] = value
    return Change(puts, tuple(removes))
