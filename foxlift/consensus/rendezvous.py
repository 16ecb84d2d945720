"""Which directors hold a key's register: the first three by rendezvous (Thaler, Ravishankar, 1998).

The `hrw` and `uhashring` packages were weighed: both keep nodes and weights of their own for what is one sort
by a keyed hash, and neither states its hash as stable between versions, as a register's place must be.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

HOLDERS = 3


def rank(key: str, name: str) -> bytes:
    """The higher, the sooner the name is chosen for the key; the same in every process and version."""
    return blake2b(key.encode() + b"\0" + name.encode(), digest_size=16).digest()


def is_first(key: str, name: str, names: Iterable[str]) -> bool:
    """Whether the key's first holder among `name` and `names` is `name`: what `holders_of` gives for one.

    One name that ranks higher settles it. For a name drawn at random that takes about 1 + ln(names) ranks,
    where the whole order takes a rank for each name.
    """
    own = (rank(key, name), name)
    return not any((rank(key, other), other) > own for other in names)


def holders_of(key: str, names: Iterable[str], count: int = HOLDERS) -> tuple[str, ...]:
    """The key's first `count` of the names that the settings list, dead or alive."""
    return tuple(sorted(names, key=lambda name: (rank(key, name), name), reverse=True)[:count])
