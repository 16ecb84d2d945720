"""The box list: Envoy endpoint discovery (EDS) in its JSON form, and the client's state machine."""

from foxlift.membership.boxlist import BoxEntry, BoxList, Changes, ListError, read_response
from foxlift.membership.watch import (
    CacheList,
    ListAnswer,
    ListFailed,
    ListWatch,
    Poll,
    PollDue,
    PollLater,
    TellList,
)

__all__ = [
    "BoxEntry",
    "BoxList",
    "CacheList",
    "Changes",
    "ListAnswer",
    "ListError",
    "ListFailed",
    "ListWatch",
    "Poll",
    "PollDue",
    "PollLater",
    "TellList",
    "read_response",
]
