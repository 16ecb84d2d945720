"""Consensus registers: one value a key, agreed on by a majority of its replicas. No I/O.

A paid token is claimed in its register before its set-up is sent. Whatever messages or processes are lost,
slow or restarted, at most one proposer is told that it holds a token, for each needs a majority of the same
replicas. Where no majority can be reached the proposer is told only that: refusing a set-up is harmless,
sending a second one is not.
"""

from foxlift.consensus.messages import Accept, Accepted, Ballot, Prepare, Promise, Reject, Request, Response
from foxlift.consensus.register import Change, Decided, NoQuorum, Proposer
from foxlift.consensus.rendezvous import replicas_of
from foxlift.consensus.replica import Record, Replica

__all__ = [
    "Accept",
    "Accepted",
    "Ballot",
    "Change",
    "Decided",
    "NoQuorum",
    "Prepare",
    "Promise",
    "Proposer",
    "Record",
    "Reject",
    "Replica",
    "Request",
    "Response",
    "replicas_of",
]
