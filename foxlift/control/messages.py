"""Messages between control servers that carry a sender, and the paths that they go to."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.consensus import Request as RegisterAsk
from foxlift.consensus import Response as RegisterAnswer
from foxlift.rollout.entry import Name, Version
from foxlift.rollout.messages import BootEpoch

ORDERS = "/config/orders"
REGISTERS = "/config/registers"
HEARTBEATS = "/config/heartbeats"
REPORTS = "/config/reports"
HELLO = "/config/hello"
STATUS = "/config/status"


class RegisterRequest(msgspec.Struct, frozen=True):
    """A proposer's message to a member's acceptor."""

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    message: RegisterAsk = msgspec.field(name="ask")


class RegisterResponse(msgspec.Struct, frozen=True):
    """The acceptor's answer."""

    sender: Name
    message: RegisterAnswer = msgspec.field(name="answer")


class Hello(msgspec.Struct, frozen=True):
    """A member has started in a new run."""

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")


class HelloResponse(msgspec.Struct, frozen=True):
    """The run known before, 0 for none, and the highest version that the answerer has taken a value of."""

    sender: Name
    previous_boot_epoch: BootEpoch = msgspec.field(name="before")
    highest_version: Version = msgspec.field(name="highest")


class MemberStatus(msgspec.Struct, frozen=True, rename="kebab"):
    """A member of the group, as the answerer sees it."""

    name: Name
    alive: bool


class RefusalStatus(msgspec.Struct, frozen=True, rename="kebab"):
    """A change that a director does not take."""

    director: Name
    version: Version
    key: str
    cause: str


class RevertStatus(msgspec.Struct, frozen=True, rename="kebab"):
    """A version that was taken back, by which, and why."""

    version: Version
    by: Version
    reason: str


class Status(msgspec.Struct, frozen=True, rename="kebab"):
    """What a control server knows, for people.

    `head`: the last version; `released`: the last for the whole fleet; `in_force`: the oldest version in
    force at a director that is heard of (a member: of all relays; a relay: of its own), 0 for none.
    """

    name: Name
    role: str
    head: Version
    released: Version
    base: Version
    digest: str
    keys: int
    directors: int
    in_force: Version
    leads: bool = False
    members: Annotated[tuple[MemberStatus, ...], Meta(max_length=64)] = ()
    refusals: Annotated[tuple[RefusalStatus, ...], Meta(max_length=1024)] = ()
    reverts: Annotated[tuple[RevertStatus, ...], Meta(max_length=64)] = ()
