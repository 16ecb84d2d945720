"""The takeover resource of a box, `POST /takeovers`, and what travels with it."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from foxlift.boxes.resource import Id

OWNER = "foxlift-owner"  # header of a director's commands: name/run
FENCE = "foxlift-fence"  # header of a box's refusal: the run up to which the asker's are over
BOOT = "foxlift-boot"  # header of a box's refusal: its process
MOST_NOTE = 1000
MOST_TAKEN = 200  # sessions handed over by one answer

Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
Run = Annotated[int, Meta(ge=0, lt=2**53)]


class TakeOrder(msgspec.Struct, frozen=True, rename="kebab"):
    """Hand over what `of` owns in runs up to `upto`, if that is still so; see docs/box-protocol.md.

    `upto` 0: in the run that the box has seen last. `certain`: also where the box still hears from it.
    `only`: this set-up alone; the answer then says what became of it.
    """

    of: Name
    upto: Run
    by: Name
    run: Run
    certain: bool = False
    only: Id | None = None


class HeldThere(msgspec.Struct, frozen=True, rename="kebab"):
    """A session as its box knows it. `at`: since when its present owner owns it, Unix ms of the box."""

    set_up: str
    title: str
    klass: str = msgspec.field(name="class")
    tenant: str
    claim: str
    paid: bool
    rung: Annotated[int, Meta(ge=0, le=31)]
    path_token: str
    note: Annotated[str, Meta(max_length=MOST_NOTE)]
    at: int
    parked_ms: int = 0  # above 0: it is parked, and kept for so long


class GoneThere(msgspec.Struct, frozen=True, rename="kebab"):
    """A session that was taken from the asker, since `at`, by `by`; empty: that ended then."""

    set_up: str
    at: int
    by: str


class TakeAnswer(msgspec.Struct, frozen=True, rename="kebab"):
    """What the asker owns there now by takeover, whether through this order or an earlier one.

    `since`: what ended up to then (Unix ms) it may have forgotten; 0: nothing. `only`: what it knows of that
    one; `owner`: whose it is. `gone`: what others took of the asker's own earlier runs.
    """

    boot: str
    counter: int
    at: int
    since: int
    sessions: tuple[HeldThere, ...] = ()
    gone: tuple[GoneThere, ...] = ()
    more: bool = False
    only: Literal["", "yours", "other", "ended", "never"] = ""
    owner: str = ""


def read_take_answer(body: bytes) -> TakeAnswer | None:
    """None where it cannot be read."""
    try:
        return msgspec.json.decode(body, type=TakeAnswer)
    except msgspec.MsgspecError:
        return None


def owner_header(name: str, run: int) -> tuple[str, str]:
    """Names the sender of a command."""
    return OWNER, f"{name}/{run}"


class Note(msgspec.Struct, frozen=True, array_like=True):
    """What a director gives a box to keep for whoever takes the session over: the rest of its token."""

    viewer: str
    expires: int
    best_rung: int | None = None
    length_s: float | None = None


def write_note(note: Note) -> str:
    """The note as it travels; empty where it is too long to be kept."""
    text = msgspec.json.encode(note).decode()
    return text if len(text) <= MOST_NOTE else ""


def read_note(text: str) -> Note | None:
    """None where it cannot be read."""
    try:
        return msgspec.json.decode(text, type=Note)
    except msgspec.MsgspecError:
        return None
