"""What claimants and holders of registers say to each other."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Key = Annotated[str, Meta(min_length=1, max_length=200)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
MAX_VALUE_CHARS = 16_000  # that any register's value may have; a holder's own bound may be smaller
Value = Annotated[str, Meta(max_length=MAX_VALUE_CHARS)]
Number = Annotated[int, Meta(ge=0, lt=2**53)]


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One try of one process. `by` names director and run, so that no two tries have the same."""

    round: Number
    by: Name


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Let no lower ballot pass any more, and tell what has. `expires`: Unix ms, of the key."""

    key: Key
    ballot: Ballot
    expires: Number


class Accept(msgspec.Struct, frozen=True, tag="accept"):
    """Take this value."""

    key: Key
    ballot: Ballot
    expires: Number
    value: Value


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """No lower ballot passes here; what was taken last, if anything was."""

    key: Key
    ballot: Ballot
    taken: Ballot | None = None
    value: Value = ""


class Taken(msgspec.Struct, frozen=True, tag="taken"):
    """The value of this ballot is on the holder's disk."""

    key: Key
    ballot: Ballot


class Reject(msgspec.Struct, frozen=True, tag="reject"):
    """A higher ballot was here; or, without one, this holder does not vouch for the key."""

    key: Key
    ballot: Ballot
    seen: Ballot | None = None


Ask = Prepare | Accept
Answer = Promise | Taken | Reject
