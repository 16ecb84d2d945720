"""Membership: which directors are alive, as far as one of them can tell. No I/O, no clock.

A view is good for choosing whom to ask first, whom to hand work to, and when to check whether a director's
work has to be taken over. It does not prove that nobody else acts: views differ between directors at any
moment, and in a partition each half believes that the other is dead. Whatever must happen only once is
settled by fencing at the boxes and by majorities.
"""

from foxlift.peers.messages import Ack, PeerState, Ping, PingFor, Request, Response, Update
from foxlift.peers.view import Peers
from foxlift.peers.view_messages import (
    Action,
    Event,
    Leave,
    PeerChanged,
    Reconfigured,
    Reply,
    RequestFailed,
    RequestReceived,
    ResponseReceived,
    Send,
    StartTimer,
    Superseded,
    SuspicionTimeout,
    TimerDue,
)

__all__ = [
    "Ack",
    "Action",
    "Event",
    "Leave",
    "PeerChanged",
    "PeerState",
    "Peers",
    "Ping",
    "PingFor",
    "Reconfigured",
    "Reply",
    "Request",
    "RequestFailed",
    "RequestReceived",
    "Response",
    "ResponseReceived",
    "Send",
    "StartTimer",
    "Superseded",
    "SuspicionTimeout",
    "TimerDue",
    "Update",
]
