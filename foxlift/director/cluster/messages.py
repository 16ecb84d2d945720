"""Messages between directors' cluster services: JSON bodies and header names.

Every body names its sender and the sender's boot epoch (`run` on the wire).
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.consensus import Request as RegisterAsk
from foxlift.consensus import Response as RegisterAnswer
from foxlift.http import Headers

JSON_HEADERS: Headers = (("content-type", "application/json"),)
FORWARDED_BY_HEADER = "foxlift-passed"  # of a forwarded request: the forwarding director's name/epoch
WAITED_HEADER = "foxlift-waited-ms"  # of a forwarded request: how long its viewer had waited before

PeerName = Annotated[str, Meta(min_length=1, max_length=100)]
BootEpoch = Annotated[int, Meta(ge=0, lt=2**53)]


class Hello(msgspec.Struct, frozen=True):
    """A director has started in a new boot epoch."""

    sender: PeerName
    boot_epoch: BootEpoch = msgspec.field(name="run")


class HelloResponse(msgspec.Struct, frozen=True):
    """`before`: the epoch known before, 0 for none. The responder has stored the new one."""

    sender: PeerName
    boot_epoch: BootEpoch = msgspec.field(name="run")
    before: BootEpoch


class RegisterRequest(msgspec.Struct, frozen=True):
    """A proposer's message to a replica of a register."""

    sender: PeerName
    boot_epoch: BootEpoch = msgspec.field(name="run")
    ask: RegisterAsk


class RegisterResponse(msgspec.Struct, frozen=True):
    """The replica's answer."""

    sender: PeerName
    boot_epoch: BootEpoch = msgspec.field(name="run")
    answer: RegisterAnswer


class RegisterBatchRequest(msgspec.Struct, frozen=True):
    """Several messages of a proposer to replicas of registers, in order."""

    sender: PeerName
    boot_epoch: BootEpoch = msgspec.field(name="run")
    asks: Annotated[tuple[RegisterAsk, ...], Meta(min_length=1)]


class RegisterBatchResponse(msgspec.Struct, frozen=True):
    """The replicas' answers in the order of the messages; None where the disk failed."""

    sender: PeerName
    boot_epoch: BootEpoch = msgspec.field(name="run")
    answers: tuple[RegisterAnswer | None, ...]
