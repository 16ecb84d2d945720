"""One entry of the configuration log: the keys it sets and removes, and the version that it releases.

The content is a flat map. A key consists of a kind and a name (`titles/t1`); a value is JSON text.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_KEY_CHARS = 200
MAX_VALUE_CHARS = 8_000
MAX_KEYS = 100  # set, and as many removed, by one entry
MAX_ENTRY_CHARS = 16_000  # of an encoded entry, which has to fit into one register

Key = Annotated[str, Meta(max_length=MAX_KEY_CHARS, pattern=r"^[a-z][a-z-]*/[A-Za-z0-9._-]+$")]
Value = Annotated[str, Meta(max_length=MAX_VALUE_CHARS)]
Version = Annotated[int, Meta(ge=0, lt=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
RequestId = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
Digest = Annotated[str, Meta(max_length=32, pattern=r"^[0-9a-f]*$")]
Reason = Annotated[str, Meta(max_length=500)]


class Change(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Keys to set and to remove in one step."""

    puts: Annotated[dict[Key, Value], Meta(max_length=MAX_KEYS)] = {}
    removes: Annotated[tuple[Key, ...], Meta(max_length=MAX_KEYS)] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the change sets and removes nothing."""
        return not (self.puts or self.removes)


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """The entry of one version of the log.

    `request_id`: of the change request that the entry carries out; a repeated request adds no second entry.
    `reverts`: the version that the entry reverts, 0 for none. `released`: the whole fleet may apply all
    versions up to this one, 0 if the entry releases nothing. `digest`: of the content after the entry.
    `created_at_ms`: Unix ms by the author's clock, informational only.
    """

    version: Annotated[int, Meta(ge=1, lt=2**53)]
    author: Name
    request_id: RequestId = msgspec.field(name="request")
    change: Change = Change()
    reverts: Version = 0
    released: Version = 0
    reason: Reason = ""
    created_at_ms: int = msgspec.field(default=0, name="at")
    digest: Digest = ""

    def encode(self) -> str:
        """The JSON text that the register stores."""
        return msgspec.json.encode(self).decode()


class EntryError(ValueError):
    """A change or an entry is invalid."""


def decode_entry(text: str) -> Entry:
    """Decode an entry's JSON text. Raises EntryError if it is malformed."""
    try:
        return msgspec.json.decode(text, type=Entry)
    except msgspec.MsgspecError as error:
        raise EntryError(f"malformed entry: {error}") from error


def check_change(change: Change) -> None:
    """Raises EntryError for a change that no entry may hold. Limits in the types are checked at decoding."""
    if change.is_empty:
        raise EntryError("the change sets nothing and removes nothing")
    conflicting = sorted(change.puts.keys() & set(change.removes))
    if conflicting:
        raise EntryError(f"{conflicting[0]}: set and removed by the same change")
    for key, value in change.puts.items():
        try:
            msgspec.json.decode(value)
        except msgspec.MsgspecError as error:
            raise EntryError(f"{key}: not JSON: {error}") from error
    length = len(msgspec.json.encode(change))
    if length > MAX_ENTRY_CHARS // 2:
        raise EntryError(f"change of {length} bytes; {MAX_ENTRY_CHARS // 2} are allowed")
