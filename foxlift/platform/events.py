"""What the platform's core is told and what it wants done; `foxlift/platform/core.py` says when."""

from __future__ import annotations

from dataclasses import dataclass

from foxlift import interface as fl
from foxlift.platform import rtsp, viewers
from foxlift.platform.settings import Address, ListUpdate


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class ViewerMessageReceived:
    """A viewer's message. `waited_ms`: how long it may have lain unread while this process stood still."""

    conn: int
    message: viewers.Event
    waited_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ViewerDisconnected:
    """A viewer's connection is over."""

    conn: int


@dataclass(frozen=True, slots=True)
class ServerMessageReceived:
    """A box's message on one of its connections."""

    node: int
    conn: int
    message: rtsp.Message


@dataclass(frozen=True, slots=True)
class ServerConnectionLost:
    """A connection to a box is over, or `spoilt`: what came on it cannot be read."""

    node: int
    conn: int
    corrupt: bool = False


@dataclass(frozen=True, slots=True)
class SetupNotSent:
    """No connection to that box for a set-up: nothing of it has left."""

    session: int
    node: int


@dataclass(frozen=True, slots=True)
class ServerLost:
    """What played at a box is over."""

    node: int
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptTimedOut:
    """The time of an attempt is up."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class HandoverTimedOut:
    """A session was handed over whose box the list still does not name."""

    tag: str


@dataclass(frozen=True, slots=True)
class ShutdownImminent:
    """The process ends soon: every request that is still open gets its answer now."""


@dataclass(frozen=True, slots=True)
class ListUpdated:
    """An event of the coordinator, also out of the configuration: it holds what was told until the start."""

    update: ListUpdate


Event = (
    ViewerMessageReceived
    | ViewerDisconnected
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
    """Write to a viewer's connection; nothing, where that is closed."""

    conn: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ChangeViewerSessions:
    """So many more sessions belong to a viewer's connection."""

    conn: int
    change: int


@dataclass(frozen=True, slots=True)
class RecordProtocolError:
    """What came on a viewer's connection made no sense."""

    conn: int


@dataclass(frozen=True, slots=True)
class QueueSetup:
    """Send a set-up to a box when there is a connection: its bytes are then asked for by `Core.take`."""

    session: int
    node: int


@dataclass(frozen=True, slots=True)
class CancelSetup:
    """A set-up that has not left is not wanted any more."""

    session: int
    node: int


@dataclass(frozen=True, slots=True)
class SendToServer:
    """Write to a box, on this connection if it is up, else on any. `only`: not on any other."""

    node: int
    conn: int
    data: bytes
    this_connection_only: bool = False


@dataclass(frozen=True, slots=True)
class SetupFinished:
    """A set-up that had left on the connection has its end."""

    node: int
    conn: int


@dataclass(frozen=True, slots=True)
class AddServer:
    """A box is on the list, at this address."""

    node: int
    address: Address


@dataclass(frozen=True, slots=True)
class RemoveServer:
    """A box is off the list."""

    node: int


@dataclass(frozen=True, slots=True)
class SetSessionCount:
    """So many sessions play at a box now."""

    node: int
    count: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Send the event after so many milliseconds."""

    delay_ms: float
    event: AttemptTimedOut | HandoverTimedOut | fl.Wake


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the log."""

    log_event: str
    detail: str = ""


Action = (
    SendToViewer
    | ChangeViewerSessions
    | RecordProtocolError
    | QueueSetup
    | CancelSetup
    | SendToServer
    | SetupFinished
    | AddServer
    | RemoveServer
    | SetSessionCount
    | StartTimer
    | WriteLog
)
