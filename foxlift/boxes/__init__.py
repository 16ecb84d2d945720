"""The director's side of the media-box control protocol (docs/box-protocol.md)."""

from foxlift.boxes.notices import (
    BadNotice,
    BoxNotice,
    Delivered,
    EndedThere,
    Hello,
    LinkUse,
    NoticeReader,
    RungThere,
    TakenThere,
)
from foxlift.boxes.orca import read_load
from foxlift.boxes.resource import SetUpOrder, box_outcome, read_set_up

__all__ = [
    "BadNotice",
    "BoxNotice",
    "Delivered",
    "EndedThere",
    "Hello",
    "LinkUse",
    "NoticeReader",
    "RungThere",
    "SetUpOrder",
    "TakenThere",
    "box_outcome",
    "read_load",
    "read_set_up",
]
