"""Events, timers and actions of `foxlift.peers.view`: a director's view of which peers are alive."""

from __future__ import annotations

from dataclasses import dataclass

from foxlift.peers.messages import PeerState, Request, Response


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A peer's message. `request`: number chosen by the caller, names the response."""

    request: int
    message: Request


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A response to `Send`."""

    request_id: int
    message: Response


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """No response to `Send`, or an unreadable one."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer has ended."""

    timer: Timer


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """The settings have changed and name these directors."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Leave:
    """This director stops: announce it to some peers, which pass it on."""


@dataclass(frozen=True, slots=True)
class Renew:
    """This director continues in a higher boot epoch; beliefs about the former one no longer count."""

    boot_epoch: int


Event = RequestReceived | ResponseReceived | RequestFailed | TimerDue | Reconfigured | Leave | Renew


# ---- Timers and actions -----------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class NextProbe:
    """The next probe begins."""


@dataclass(frozen=True, slots=True)
class DirectProbeTimeout:
    """The target of this probe has not responded directly."""

    probe: int


@dataclass(frozen=True, slots=True)
class SuspicionTimeout:
    """The suspicion of this peer may have lasted long enough."""

    name: str
    boot_epoch: int
    incarnation: int


Timer = NextProbe | DirectProbeTimeout | SuspicionTimeout


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to a peer; a response counts within `timeout_ms`."""

    to: str
    request_id: int
    message: Request
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Reply:
    """Respond to a peer's request."""

    request: int
    message: Response


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Deliver TimerDue with this timer after `delay_ms`."""

    delay_ms: float
    timer: Timer


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """The belief about a peer has changed; `version` counts such changes in this boot epoch."""

    name: str
    state: PeerState
    boot_epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process with a later boot epoch has this director's name: this one must stop acting."""

    boot_epoch: int


Action = Send | Reply | StartTimer | PeerChanged | Superseded
