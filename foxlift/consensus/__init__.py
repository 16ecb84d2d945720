"""One value in common where directors must not disagree: a register a key, at three of them. No I/O.

A paid token is claimed here before its set-up leaves. However the network is cut, whoever is slow, dies or
comes back, no two claimants are told that they hold a token, for each needs two of the same three holders.
Where two cannot be reached nobody is told anything but that: a refusal is harmless, a second set-up is not.
"""

from foxlift.consensus.messages import Accept, Answer, Ask, Ballot, Prepare, Promise, Reject, Taken
from foxlift.consensus.register import Change, Decided, Registers, Unreached
from foxlift.consensus.rendezvous import holders_of
from foxlift.consensus.replica import Holder, Record

__all__ = [
    "Accept",
    "Answer",
    "Ask",
    "Ballot",
    "Change",
    "Decided",
    "Holder",
    "Prepare",
    "Promise",
    "Record",
    "Registers",
    "Reject",
    "Taken",
    "Unreached",
    "holders_of",
]
