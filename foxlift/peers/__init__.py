"""Directors that know each other: who is there, as far as one of them can tell. No I/O, no clock.

What a view is good for: whom to ask first, whom to hand work to, when to look whether someone's work is to be
taken over. What it is not good for: deciding that nobody else acts. Views differ between directors at any
moment, and a cut has each half believe that the other is dead; whatever must happen once is settled
elsewhere, by terms at the boxes and by majorities.
"""

from foxlift.peers.messages import Ack, Answer, Ask, Ping, PingFor, State, Update
from foxlift.peers.view import (
    Action,
    Answered,
    Asked,
    Changed,
    Event,
    Lasting,
    Leave,
    Peers,
    Reconfigured,
    Reply,
    Send,
    StartTimer,
    Superseded,
    TimerDue,
    Unanswered,
)

__all__ = [
    "Ack",
    "Action",
    "Answer",
    "Answered",
    "Ask",
    "Asked",
    "Changed",
    "Event",
    "Lasting",
    "Leave",
    "Peers",
    "Ping",
    "PingFor",
    "Reconfigured",
    "Reply",
    "Send",
    "StartTimer",
    "State",
    "Superseded",
    "TimerDue",
    "Unanswered",
    "Update",
]
