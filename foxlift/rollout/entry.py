"""One version of the configuration: what it sets and removes, and up to where the fleet may go.

The content is a flat map. A key names a kind and a thing (`titles/t1`), a value is a JSON text.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_KEY_CHARS = 200
MAX_VALUE_CHARS = 8_000
MAX_KEYS = 100  # that one entry sets or removes
MAX_ENTRY_CHARS = 16_000  # of an entry as it is written: what one register holds

Key = Annotated[str, Meta(max_length=MAX_KEY_CHARS, pattern=r"^[a-z][a-z-]*/[A-Za-z0-9._-]+$")]
Value = Annotated[str, Meta(max_length=MAX_VALUE_CHARS)]
Version = Annotated[int, Meta(ge=0, lt=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
RequestId = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
Digest = Annotated[str, Meta(max_length=32, pattern=r"^[0-9a-f]*$")]
Reason = Annotated[str, Meta(max_length=500)]


class Change(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Keys to set and to remove, all at once."""

    puts: Annotated[dict[Key, Value], Meta(max_length=MAX_KEYS)] = {}
    removes: Annotated[tuple[Key, ...], Meta(max_length=MAX_KEYS)] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the content stays as it is."""
        return not (self.puts or self.removes)


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one version of the log holds.

    `request` names the order that it carries out, so that an order that comes twice is one entry. `reverts`:
    the version that it takes back, 0 for none. `released`: every version up to this one is for the whole
    fleet, 0 where it says nothing of that. `digest`: of the content after it. `at`: Unix ms by the author's
    clock, for people: nothing is decided by it.
    """

    version: Annotated[int, Meta(ge=1, lt=2**53)]
    author: Name
    request_id: RequestId = msgspec.field(name="request")
    change: Change = Change()
    reverts: Version = 0
    released: Version = 0
    reason: Reason = ""
    at: int = 0
    digest: Digest = ""

    def encode(self) -> str:
        """The entry as a register holds it."""
        return msgspec.json.encode(self).decode()


class EntryError(ValueError):
    """A change or an entry that cannot be taken, and why."""


def decode_entry(text: str) -> Entry:
    """Raises EntryError for what cannot be read."""
    try:
        return msgspec.json.decode(text, type=Entry)
    except msgspec.MsgspecError as error:
        raise EntryError(f"an entry that cannot be read: {error}") from error


def check_change(change: Change) -> None:
    """Raises EntryError for a change that no entry may hold. The types' own bounds are taken to hold."""
    if change.is_empty:
        raise EntryError("the change sets nothing and removes nothing")
    twice = sorted(change.puts.keys() & set(change.removes))
    if twice:
        raise EntryError(f"{twice[0]}: set and removed by one change")
    for key, value in change.puts.items():
        try:
            msgspec.json.decode(value)
        except msgspec.MsgspecError as error:
            raise EntryError(f"{key}: not JSON: {error}") from error
    length = len(msgspec.json.encode(change))
    if length > MAX_ENTRY_CHARS // 2:
        raise EntryError(f"a change of {length} bytes; {MAX_ENTRY_CHARS // 2} are allowed")
