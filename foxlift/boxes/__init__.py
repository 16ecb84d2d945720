"""The media-box control protocol, as the director uses it (docs/box-protocol.md)."""

from foxlift.boxes.notices import (
    BoxNotice,
    Delivered,
    Hello,
    LinkUse,
    NoticeError,
    NoticeReader,
    OwnershipLost,
    RungInForce,
    SessionEnded,
)
from foxlift.boxes.orca import read_load
from foxlift.boxes.resource import SetUpRequest, box_outcome, read_set_up

__all__ = [
    "BoxNotice",
    "Delivered",
    "Hello",
    "LinkUse",
    "NoticeError",
    "NoticeReader",
    "OwnershipLost",
    "RungInForce",
    "SessionEnded",
    "SetUpRequest",
    "box_outcome",
    "read_load",
    "read_set_up",
]
