"""The kinds of things that a configuration holds, and the form of each kind's values.

A change is held against these forms where it is put in, by the operator's command and again by the group
member that takes the order. What only a director can know (whether a manifest is there, whether a title
fits the fleet's cells) each director checks for itself.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from foxlift.rollout.entry import Change, EntryError

TITLES = "titles"


class TitleValue(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """A title: `holders` cells in a row from `first_cell`; its manifest's file in the catalogue folder."""

    first_cell: Annotated[int, Meta(ge=0, le=1_000_000)]
    holders: Annotated[int, Meta(ge=1, le=1_000_000)]
    manifest: Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._-]+$")]


# None for a title: it is not offered, though the catalogue's file names it
FORMS = {TITLES: msgspec.json.Decoder(TitleValue | None)}


def kind_of(key: str) -> str:
    """The kind of thing that a key names."""
    return key.partition("/")[0]


def name_of(key: str) -> str:
    """The name of the thing that a key names."""
    return key.partition("/")[2]


def read_title(key: str, value: str) -> TitleValue | None:
    """A title's value; None: not offered. Raises EntryError, which names key and field."""
    try:
        return FORMS[TITLES].decode(value)
    except msgspec.MsgspecError as error:
        raise EntryError(f"{key}: {error}") from error


def check_values(change: Change) -> None:
    """Raises EntryError for a key of an unknown kind, or a value that has not its kind's form."""
    for key in (*change.puts, *change.removes):
        if kind_of(key) not in FORMS:
            raise EntryError(f"{key}: no such kind; known: {', '.join(sorted(FORMS))}")
    for key, value in change.puts.items():
        try:
            FORMS[kind_of(key)].decode(value)
        except msgspec.MsgspecError as error:
            raise EntryError(f"{key}: {error}") from error
