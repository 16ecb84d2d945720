"""The box list: Envoy endpoint discovery (EDS) in its JSON form, and its client's state machine."""

from foxlift.membership.boxlist import BoxEntry, BoxList, ListDelta, ListError, read_response
from foxlift.membership.watch import (
    CacheList,
    ListFailed,
    ListReceived,
    ListWatch,
    Poll,
    PollDue,
    PublishList,
    SchedulePoll,
)

__all__ = [
    "BoxEntry",
    "BoxList",
    "CacheList",
    "ListDelta",
    "ListError",
    "ListFailed",
    "ListReceived",
    "ListWatch",
    "Poll",
    "PollDue",
    "PublishList",
    "SchedulePoll",
    "read_response",
]
