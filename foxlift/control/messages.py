"""Messages between control servers that name their sender, the status message, and all HTTP paths."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.consensus import Request as RegisterAsk
from foxlift.consensus import Response as RegisterAnswer
from foxlift.rollout.entry import Name, Version
from foxlift.rollout.messages import BootEpoch

CHANGES_PATH = "/config/orders"
REGISTERS_PATH = "/config/registers"
HEARTBEATS_PATH = "/config/heartbeats"
REPORTS_PATH = "/config/reports"
HELLO_PATH = "/config/hello"
STATUS_PATH = "/config/status"


class RegisterRequest(msgspec.Struct, frozen=True):
    """A proposer's message to a member's acceptor."""

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")
    message: RegisterAsk = msgspec.field(name="ask")


class RegisterResponse(msgspec.Struct, frozen=True):
    """The acceptor's response."""

    sender: Name
    message: RegisterAnswer = msgspec.field(name="answer")


class Hello(msgspec.Struct, frozen=True):
    """A member has started with a new boot epoch."""

    sender: Name
    boot_epoch: BootEpoch = msgspec.field(name="run")


class HelloResponse(msgspec.Struct, frozen=True):
    """The previous boot epoch known of the other, 0 for none, and the highest version accepted here."""

    sender: Name
    previous_boot_epoch: BootEpoch = msgspec.field(name="before")
    highest_version: Version = msgspec.field(name="highest")


class MemberStatus(msgspec.Struct, frozen=True, rename="kebab"):
    """A member of the group, as seen by the responding server."""

    name: Name
    alive: bool


class RefusalStatus(msgspec.Struct, frozen=True, rename="kebab"):
    """A change that a director refuses."""

    director: Name
    version: Version
    key: str
    cause: str


class RevertStatus(msgspec.Struct, frozen=True, rename="kebab"):
    """A reverted version, the version that reverts it, and the reason."""

    version: Version
    by: Version
    reason: str


class Status(msgspec.Struct, frozen=True, rename="kebab"):
    """A control server's status, for operators.

    `head`: the last version; `released`: the last one released to the whole fleet; `in_force`: the lowest
    version that a director has applied, 0 without directors. A member counts those of all relays.
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
