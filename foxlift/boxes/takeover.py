"""The takeover resource of a box, `POST /takeovers`: its messages, headers and the session note."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from foxlift.boxes.resource import Id

OWNER_HEADER = "foxlift-owner"  # of a director's commands: its name and boot epoch, "name/epoch"
FENCE_HEADER = "foxlift-fence"  # of a box's refusal: it rejects the sender's boot epochs up to this one
BOOT_HEADER = "foxlift-boot"  # of a box's refusal: the boot id of its process
MAX_NOTE_CHARS = 1000
MAX_SESSIONS_PER_RESPONSE = 200

DirectorName = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
BootEpoch = Annotated[int, Meta(ge=0, lt=2**53)]


class TakeoverRequest(msgspec.Struct, frozen=True, rename="kebab"):
    """Hand over the sessions that `former_owner` still owns in boot epochs up to `max_epoch`.

    `max_epoch` 0: the latest epoch that the box knows of it. `force`: even if its notice stream to the box is
    open. `only_set_up`: this session alone; the response then says what became of it. See
    docs/box-protocol.md.
    """

    former_owner: DirectorName = msgspec.field(name="of")
    max_epoch: BootEpoch = msgspec.field(name="upto")
    new_owner: DirectorName = msgspec.field(name="by")
    boot_epoch: BootEpoch = msgspec.field(name="run")
    force: bool = msgspec.field(name="certain", default=False)
    only_set_up: Id | None = msgspec.field(name="only", default=None)


class HeldSession(msgspec.Struct, frozen=True, rename="kebab"):
    """A session that a box holds. `at`: since when its present owner owns it, Unix ms by the box's clock."""

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
    parked_ms: int = 0  # above 0: it is parked and kept for this time


class LostSession(msgspec.Struct, frozen=True, rename="kebab"):
    """A session that the sender lost at `at` to `new_owner`; empty: the session ended then."""

    set_up: str
    at: int
    new_owner: str = msgspec.field(name="by")


class TakeoverResponse(msgspec.Struct, frozen=True, rename="kebab"):
    """The sessions at the box that the sender owns by takeover, through this request or an earlier one.

    `at`: time of the response. `forgotten_up_to`: the box may have forgotten sessions that ended up to this
    time (Unix ms); 0: none. `set_up_state`: the state of the requested `only_set_up`, `owner` its owner.
    `lost`: sessions of the sender's own earlier epochs that ended or were taken over by others. `more`: the
    limit of one response was reached; ask again.
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
    """Parses the body of a takeover response; None if it is invalid."""
    try:
        return msgspec.json.decode(body, type=TakeoverResponse)
    except msgspec.MsgspecError:
        return None


def owner_header(name: str, boot_epoch: int) -> tuple[str, str]:
    """The header that names the sender of a command."""
    return OWNER_HEADER, f"{name}/{boot_epoch}"


class SessionNote(msgspec.Struct, frozen=True, array_like=True):
    """Rest of a session's token, stored at the box for the director that takes the session over."""

    viewer: str
    expires: int
    best_rung: int | None = None
    length_s: float | None = None


def write_note(note: SessionNote) -> str:
    """Encodes the note; empty if it is longer than MAX_NOTE_CHARS."""
    text = msgspec.json.encode(note).decode()
    return text if len(text) <= MAX_NOTE_CHARS else ""


def read_note(text: str) -> SessionNote | None:
    """Parses a note; None if it is invalid."""
    try:
        return msgspec.json.decode(text, type=SessionNote)
    except msgspec.MsgspecError:
        return None
