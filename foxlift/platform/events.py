"""Events and actions of the platform director's core (`foxlift/platform/core.py`)."""

from __future__ import annotations

from dataclasses import dataclass

from foxlift import interface as fl
from foxlift.platform import rtsp, viewers
from foxlift.platform.pooled_connection import SetupAnswer
from foxlift.platform.settings import Address, ListUpdate


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class ViewerMessageReceived:
    """A viewer sent a message. `waited_ms`: how long it may have been unread because the process was busy."""

    conn: int
    message: viewers.Event
    waited_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ViewerDisconnected:
    """A viewer's connection has closed."""

    conn: int


@dataclass(frozen=True, slots=True)
class ViewerEvicted:
    """A viewer's connection is about to be closed in favour of others."""

    conn: int


@dataclass(frozen=True, slots=True)
class ServerMessageReceived:
    """A server sent a message on one of its connections."""

    node: int
    conn: int
    message: rtsp.Message


@dataclass(frozen=True, slots=True)
class ServerConnectionLost:
    """A connection to a server has closed. `corrupt`: because what it received is invalid."""

    node: int
    conn: int
    corrupt: bool = False


@dataclass(frozen=True, slots=True)
class SetupNotSent:
    """There is no connection to the server for a set-up: nothing of it was sent."""

    session: int
    node: int


@dataclass(frozen=True, slots=True)
class ServerLost:
    """A server was lost, and with it the sessions that played there."""

    node: int
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptTimedOut:
    """The time limit of an attempt has passed."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class HandoverTimedOut:
    """The list still does not name the server of a session that was handed over."""

    tag: str


@dataclass(frozen=True, slots=True)
class ShutdownImminent:
    """The process exits soon: every open request must be answered now."""


@dataclass(frozen=True, slots=True)
class ListUpdated:
    """An update of the server list, by the coordinator or, for those before the start, the configuration."""

    update: ListUpdate


Event = (
    ViewerMessageReceived
    | ViewerDisconnected
    | ViewerEvicted
    | ServerMessageReceived
    | ServerConnectionLost
    | SetupNotSent
    | ServerLost
    | AttemptTimedOut
    | HandoverTimedOut
    | ShutdownImminent
    | ListUpdated
    | fl.Wake
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SendToViewer:
    """Write to a viewer's connection; ignored if it is closed."""

    conn: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ChangeViewerSessions:
    """Add `change` to the number of sessions of a viewer's connection."""

    conn: int
    change: int


@dataclass(frozen=True, slots=True)
class SetupOpened:
    """A set-up was requested on a viewer's connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class SetupClosed:
    """A set-up of a viewer's connection was answered, or needs no answer any more."""

    conn: int
    has_started: bool


@dataclass(frozen=True, slots=True)
class RecordProtocolError:
    """Count an invalid message on a viewer's connection."""

    conn: int


@dataclass(frozen=True, slots=True)
class QueueSetup:
    """Send a set-up to a server once there is a connection, with the bytes from `Core.take_setup`."""

    session: int
    node: int


@dataclass(frozen=True, slots=True)
class CancelSetup:
    """Drop a set-up that was not sent."""

    session: int
    node: int


@dataclass(frozen=True, slots=True)
class SendToServer:
    """Write to a server, on this connection if it is up, else on any unless `this_connection_only`."""

    node: int
    conn: int
    data: bytes
    this_connection_only: bool = False


@dataclass(frozen=True, slots=True)
class CloseCorruptConnection:
    """Close a server's connection whose messages are not separated correctly any more."""

    node: int
    conn: int


@dataclass(frozen=True, slots=True)
class SetupFinished:
    """A set-up that was sent on the connection has ended."""

    node: int
    conn: int
    answer: SetupAnswer = SetupAnswer.RECEIVED


@dataclass(frozen=True, slots=True)
class AddServer:
    """The list names a server, at this address."""

    node: int
    address: Address


@dataclass(frozen=True, slots=True)
class RemoveServer:
    """The list no longer names a server."""

    node: int


@dataclass(frozen=True, slots=True)
class SetSessionCount:
    """Set the number of sessions that play at a server."""

    node: int
    count: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Send the event after `delay_ms`."""

    delay_ms: float
    event: AttemptTimedOut | HandoverTimedOut | fl.Wake


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    log_event: str
    detail: str = ""


Action = (
    SendToViewer
    | ChangeViewerSessions
    | SetupOpened
    | SetupClosed
    | RecordProtocolError
    | QueueSetup
    | CancelSetup
    | SendToServer
    | CloseCorruptConnection
    | SetupFinished
    | AddServer
    | RemoveServer
    | SetSessionCount
    | StartTimer
    | WriteLog
)
