"""Events and actions of `foxlift.platform.server_pool`: the connections to one media server."""

from __future__ import annotations

from dataclasses import dataclass

from foxlift.platform.pooled_connection import SetupAnswer

SILENT = "silent"  # reason of the loss of a server whose state is unknown


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SetupQueued:
    """A set-up is ready to be sent."""

    key: int


@dataclass(frozen=True, slots=True)
class SetupCancelled:
    """A set-up that was not sent is cancelled."""

    key: int


@dataclass(frozen=True, slots=True)
class ConnectRequested:
    """A message other than a set-up waits to be sent: keep connecting until a connection is up."""


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection has opened."""

    conn: int


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A connection has closed or could not be opened."""

    conn: int
    refused: bool = False


@dataclass(frozen=True, slots=True)
class DataReceived:
    """A valid message was received."""

    conn: int


@dataclass(frozen=True, slots=True)
class PartialMessage:
    """A message has begun to arrive and is incomplete (`pending`), or nothing incomplete is left."""

    conn: int
    pending: bool


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """A set-up that was assigned to the connection has ended."""

    conn: int
    answer: SetupAnswer = SetupAnswer.RECEIVED


@dataclass(frozen=True, slots=True)
class SessionsChanged:
    """The number of sessions that play at the server has changed."""

    count: int


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """The list no longer names the server."""


@dataclass(frozen=True, slots=True)
class ConnectionYielded:
    """The connection's descriptor is needed for another server; it has no unanswered set-up."""

    conn: int


@dataclass(frozen=True, slots=True)
class NoDescriptor:
    """The connection was not opened: all descriptors for servers are in use."""

    conn: int


@dataclass(frozen=True, slots=True)
class ServerListed:
    """The list names the server, possibly again. `moved`: at another address than before."""

    moved: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    SetupQueued
    | SetupCancelled
    | ConnectRequested
    | ConnectionOpened
    | ConnectionLost
    | DataReceived
    | PartialMessage
    | SlotReleased
    | SessionsChanged
    | ServerRemoved
    | ConnectionYielded
    | NoDescriptor
    | ServerListed
    | Tick
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection; send Tick after `within_ms`."""

    conn: int
    within_ms: float


@dataclass(frozen=True, slots=True)
class UseConnection:
    """Send the set-up on the connection."""

    conn: int
    key: int


@dataclass(frozen=True, slots=True)
class SetupUnreachable:
    """There is no connection for the set-up: nothing of it was sent."""

    key: int


@dataclass(frozen=True, slots=True)
class PingConnection:
    """Send a ping on the connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class RetireConnection:
    """Write nothing more and close after the server: a release may still arrive."""

    conn: int


@dataclass(frozen=True, slots=True)
class SessionsLost:
    """The sessions that played at the server are lost."""

    reason: str


@dataclass(frozen=True, slots=True)
class DiscardUnsent:
    """Drop the messages kept for the server: the process they are for no longer exists."""


Action = (
    OpenConnection
    | UseConnection
    | SetupUnreachable
    | PingConnection
    | CloseConnection
    | RetireConnection
    | SessionsLost
    | DiscardUnsent
)
