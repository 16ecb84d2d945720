"""Membership messages between directors.

Each names its sender and the sender's boot epoch (`run` on the wire).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_UPDATES = 8  # in one message: it fits in one packet for any size of the fleet
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Number = Annotated[int, Meta(ge=0, lt=2**53)]


class PeerState(IntEnum):
    """Belief about a peer. For the same boot epoch and incarnation the higher one counts."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECTED = 2
    DEAD = 3
    LEFT = 4


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A belief, sent along with other messages. `suspected_by`: who reports a suspicion."""

    name: Name
    state: PeerState
    boot_epoch: Number
    incarnation: Number
    suspected_by: Name = "-"

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two updates the one of higher rank counts, in whichever order they arrive."""
        return self.boot_epoch, self.incarnation, self.state


Updates = Annotated[tuple[Update, ...], Meta(max_length=MAX_UPDATES)]


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Probe of the receiver."""

    sender: Name
    boot_epoch: Number = msgspec.field(name="run")
    updates: Updates = ()


class PingFor(msgspec.Struct, frozen=True, tag="ping-for"):
    """Request to probe `target`, which has not responded to the sender."""

    sender: Name
    boot_epoch: Number = msgspec.field(name="run")
    target: Name
    updates: Updates = ()


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """Response to a probe. To a PingFor, `reached` says whether the target responded."""

    sender: Name
    boot_epoch: Number = msgspec.field(name="run")
    reached: bool = True
    updates: Updates = ()


Request = Ping | PingFor
Response = Ack


def read_request(body: bytes) -> Request:
    """Decode a body. Raises msgspec.MsgspecError."""
    return msgspec.json.decode(body, type=Request)


def read_response(body: bytes) -> Response:
    """Decode a body. Raises msgspec.MsgspecError."""
    return msgspec.json.decode(body, type=Ack)


def encode(message: Request | Response) -> bytes:
    """Encode a message."""
    return msgspec.json.encode(message)
