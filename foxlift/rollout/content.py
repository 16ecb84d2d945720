"""The configuration at one version: a map with an incrementally updated digest.

The digest is the sum, modulo 2^128, of a hash of each key and value (an additive multiset hash, Clarke and
others, 2003). It depends only on the map, not on the order of changes; updating it takes time proportional to
the change. It detects accidental differences and does not protect against an adversary.
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
        """Hexadecimal; equal for equal maps."""
        return format(self._sum, f"0{2 * DIGEST_BYTES}x")

    def digest_after(self, change: Change) -> str:
        """The digest that the map would have after the change."""
        return format(self._sum_after(change), f"0{2 * DIGEST_BYTES}x")

    def apply(self, change: Change) -> Change:
        """Apply a change and return the change that undoes it."""
        undo = self.inverse_of(change)
        self._sum = self._sum_after(change)
        self.values.update(change.puts)
        for key in change.removes:
            self.values.pop(key, None)
        return undo

    def inverse_of(self, change: Change) -> Change:
        """The change that undoes `change` once it is applied."""
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
    """One change with the same effect as applying all of them in order."""
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
