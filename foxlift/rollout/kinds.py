"""The kinds of configuration keys, and the schema of each kind's values.

The operator's command checks a change against these schemas, and so does the group member that receives the
request. What only a director can know (whether a manifest exists, whether a title fits the fleet's cells) is
checked by each director.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.rollout.entry import Change, EntryError

TITLES = "titles"


class TitleValue(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """A title, held by `holders` cells in a row from `first_cell`. `manifest`: in the catalogue folder."""

    first_cell: Annotated[int, Meta(ge=0, le=1_000_000)]
    holders: Annotated[int, Meta(ge=1, le=1_000_000)]
    manifest: Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._-]+$")]


# null withdraws a title even if the catalogue file lists it
DECODERS = {TITLES: msgspec.json.Decoder(TitleValue | None)}


def kind_of(key: str) -> str:
    """The kind part of a key."""
    return key.partition("/")[0]


def name_of(key: str) -> str:
    """The name part of a key."""
    return key.partition("/")[2]


def read_title(key: str, value: str) -> TitleValue | None:
    """Decode a title's value; None: withdrawn. Raises EntryError that names key and field."""
    try:
        return DECODERS[TITLES].decode(value)
    except msgspec.MsgspecError as error:
        raise EntryError(f"{key}: {error}") from error


def check_values(change: Change) -> None:
    """Raises EntryError for a key of an unknown kind or a value that does not match its kind's schema."""
    for key in (*change.puts, *change.removes):
        if kind_of(key) not in DECODERS:
            raise EntryError(f"{key}: no such kind; known: {', '.join(sorted(DECODERS))}")
    for key, value in change.puts.items():
        try:
            DECODERS[kind_of(key)].decode(value)
        except msgspec.MsgspecError as error:
            raise EntryError(f"{key}: {error}") from error
