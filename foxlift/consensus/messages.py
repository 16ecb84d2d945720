"""Messages between proposers and replicas of registers."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Key = Annotated[str, Meta(min_length=1, max_length=200)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
MAX_VALUE_CHARS = 16_000  # of any register's value; a replica may have a smaller limit
Value = Annotated[str, Meta(max_length=MAX_VALUE_CHARS)]
Number = Annotated[int, Meta(ge=0, lt=2**53)]


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Orders the rounds of all proposers.

    `proposer` names director and boot epoch, so no two rounds are equal.
    """

    round: Number
    proposer: Name


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Promise to reject lower ballots, and report the last accepted value.

    `expires`: end of the key, Unix ms.
    """

    key: Key
    ballot: Ballot
    expires: Number


class Accept(msgspec.Struct, frozen=True, tag="accept"):
    """Accept this value."""

    key: Key
    ballot: Ballot
    expires: Number
    value: Value


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """Lower ballots are rejected from now on.

    `accepted`: ballot of the last accepted value, None without one.
    """

    key: Key
    ballot: Ballot
    accepted: Ballot | None = msgspec.field(default=None, name="taken")
    value: Value = ""


class Accepted(msgspec.Struct, frozen=True, tag="taken"):
    """The value of this ballot is on the replica's disk."""

    key: Key
    ballot: Ballot


class Reject(msgspec.Struct, frozen=True, tag="reject"):
    """`promised`: the higher ballot that was promised; None: this replica cannot answer for the key."""

    key: Key
    ballot: Ballot
    promised: Ballot | None = msgspec.field(default=None, name="seen")


Request = Prepare | Accept
Response = Promise | Accepted | Reject
