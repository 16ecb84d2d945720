"""What peers say to each other. Each message names its sender and the sender's run."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

MOST_UPDATES = 8  # in one message: it stays within one packet, whatever the fleet's size
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Number = Annotated[int, Meta(ge=0, lt=2**53)]


class State(IntEnum):
    """What is believed of a peer. Of the same run and incarnation the higher one holds."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECTED = 2
    DEAD = 3
    LEFT = 4


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A belief that travels with other messages. `by`: who suspects."""

    name: Name
    state: State
    run: Number
    incarnation: Number
    by: Name = "-"

    @property
    def rank(self) -> tuple[int, int, int]:
        """The higher one holds, wherever and in whatever order they come."""
        return self.run, self.incarnation, self.state


Updates = Annotated[tuple[Update, ...], Meta(max_length=MOST_UPDATES)]


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Are you there?"""

    sender: Name
    run: Number
    updates: Updates = ()


class PingFor(msgspec.Struct, frozen=True, tag="ping-for"):
    """Is `target` there? I have no answer from it."""

    sender: Name
    run: Number
    target: Name
    updates: Updates = ()


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """I am there; to a PingFor, whether its target is."""

    sender: Name
    run: Number
    reached: bool = True
    updates: Updates = ()


Ask = Ping | PingFor
Answer = Ack


def read_ask(body: bytes) -> Ask:
    """Raises msgspec.MsgspecError where it is none."""
    return msgspec.json.decode(body, type=Ask)


def read_answer(body: bytes) -> Answer:
    """Raises msgspec.MsgspecError where it is none."""
    return msgspec.json.decode(body, type=Ack)


def write(message: Ask | Answer) -> bytes:
    """The message as it travels."""
    return msgspec.json.encode(message)
