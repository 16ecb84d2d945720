"""Which directors hold a key's register: the first three by rendezvous hashing (Thaler, Ravishankar, 1998).

Not the `hrw` or `uhashring` package: both keep nodes and weights of their own for what is one sort by a keyed
hash, and neither guarantees the same hash in every version, which a register's placement needs.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

REPLICAS = 3


def rank(key: str, name: str) -> bytes:
    """Names are chosen by descending rank. The rank is the same in every process and version."""
    return blake2b(key.encode() + b"\0" + name.encode(), digest_size=16).digest()


def name_before(key: str, name: str, names: Iterable[str]) -> str | None:
    """The first of `names` that ranks before `name` for the key; None if `name` is the first in rank.

    Computes about 1 + ln(names) ranks for a random name, where a full sort computes one for each name.
    """
    own = (rank(key, name), name)
    return next((other for other in names if (rank(key, other), other) > own), None)


def replicas_of(key: str, names: Iterable[str], count: int = REPLICAS) -> tuple[str, ...]:
    """The key's first `count` names. `names`: all directors of the settings, dead or alive."""
    return tuple(sorted(names, key=lambda name: (rank(key, name), name), reverse=True)[:count])
