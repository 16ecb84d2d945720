"""The takeover resource of a box, `POST /takeovers`, and what travels with it."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from foxlift.boxes.resource import Id

OWNER_HEADER = "foxlift-owner"  # header of a director's commands: name/run
FENCE_HEADER = "foxlift-fence"  # header of a box's refusal: the run up to which the asker's are over
BOOT_HEADER = "foxlift-boot"  # header of a box's refusal: its process
MAX_NOTE_CHARS = 1000
MAX_SESSIONS_PER_RESPONSE = 200  # sessions handed over by one answer

DirectorName = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
BootEpoch = Annotated[int, Meta(ge=0, lt=2**53)]


class TakeoverRequest(msgspec.Struct, frozen=True, rename="kebab"):
    """Hand over what `of` owns in runs up to `upto`, if that is still so; see docs/box-protocol.md.

    `upto` 0: in the run that the box has seen last. `certain`: also where the box still hears from it.
    `only`: this set-up alone; the answer then says what became of it.
    """

    former_owner: DirectorName = msgspec.field(name="of")
    max_epoch: BootEpoch = msgspec.field(name="upto")
    new_owner: DirectorName = msgspec.field(name="by")
    boot_epoch: BootEpoch = msgspec.field(name="run")
    force: bool = msgspec.field(name="certain", default=False)
    only_set_up: Id | None = msgspec.field(name="only", default=None)


class HeldSession(msgspec.Struct, frozen=True, rename="kebab"):
    """A session as its box knows it. `at`: since when its present owner owns it, Unix ms of the box."""

    set_up: str
    title: str
    klass: str = msgspec.field(name="class")
    tenant: str
    claim: str
    paid: bool
    rung: Annotated[int, Meta(ge=0, le=31)]
    path_token: str
    note: Annotated[str, Meta(max_length=MAX_NOTE_CHARS)]
    at: int
    parked_ms: int = 0  # above 0: it is parked, and kept for so long


class LostSession(msgspec.Struct, frozen=True, rename="kebab"):
    """A session that was taken from the asker, since `at`, by `by`; empty: that ended then."""

    set_up: str
    at: int
    new_owner: str = msgspec.field(name="by")


class TakeoverResponse(msgspec.Struct, frozen=True, rename="kebab"):
    """What the asker owns there now by takeover, whether through this order or an earlier one.

    `since`: what ended up to then (Unix ms) it may have forgotten; 0: nothing. `only`: what it knows of that
    one; `owner`: whose it is. `gone`: what others took of the asker's own earlier runs.
    """

    boot: str
    counter: int
    at: int
    forgotten_up_to: int = msgspec.field(name="since")
    sessions: tuple[HeldSession, ...] = ()
    lost: tuple[LostSession, ...] = msgspec.field(name="gone", default=())
    more: bool = False
    set_up_state: Literal["", "yours", "other", "ended", "never"] = msgspec.field(name="only", default="")
    owner: str = ""


def read_takeover_response(body: bytes) -> TakeoverResponse | None:
    """None where it cannot be read."""
    try:
        return msgspec.json.decode(body, type=TakeoverResponse)
    except msgspec.MsgspecError:
        return None


def owner_header(name: str, boot_epoch: int) -> tuple[str, str]:
    """Names the sender of a command."""
    return OWNER_HEADER, f"{name}/{boot_epoch}"


class SessionNote(msgspec.Struct, frozen=True, array_like=True):
    """What a director gives a box to keep for whoever takes the session over: the rest of its token."""

    viewer: str
    expires: int
    best_rung: int | None = None
    length_s: float | None = None


def write_note(note: SessionNote) -> str:
    """The note as it travels; empty where it is too long to be kept."""
    text = msgspec.json.encode(note).decode()
    return text if len(text) <= MAX_NOTE_CHARS else ""


def read_note(text: str) -> SessionNote | None:
    """None where it cannot be read."""
    try:
        return msgspec.json.decode(text, type=SessionNote)
    except msgspec.MsgspecError:
        return None
