"""What the cluster service uses of the director that it belongs to."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxlift.boxes.takeover import TakeoverRequest, TakeoverResponse
from foxlift.decide.token_sessions import RejectionReason
from foxlift.director import events
from foxlift.http import Exchange, Failure, Headers, Response
from foxlift.zones.evidence import ZoneObservation


@dataclass(frozen=True, slots=True)
class ForwardableRequest:
    """A viewer's request as another director needs it. `headers`: its credentials."""

    token_id: str
    target: str
    headers: Headers
    waited_ms: float


class Host(Protocol):
    """The director as used by its cluster service. Requests are identified by number."""

    def feed(self, event: events.Event) -> None:
        """Have the core handle an event."""

    def open_here(self, request: int) -> None:
        """Have the core answer the request."""

    def refuse(self, request: int, why: RejectionReason, come_back_ms: float) -> None:
        """Answer the request without a session. `come_back_ms` 0: without a time to come back."""

    def relay(self, request: int, answer: Response) -> None:
        """Answer the request with another director's answer."""

    def receive_forwarded(self, exchange: Exchange) -> None:
        """Take in a request that another director forwarded."""

    def forwardable(self, request: int) -> ForwardableRequest | None:
        """The request in the form that is forwarded; None if its viewer has left."""

    def send_takeover(
        self, box: str, order: TakeoverRequest, done: Callable[[Response | Failure], None]
    ) -> bool:
        """Send an order to a box. False if the box list does not name it."""

    def adopt(self, box: str, answer: TakeoverResponse) -> None:
        """Take over sessions that a box has handed over."""

    def boot_of(self, keep: events.PersistIntent) -> str:
        """The box process that a paid set-up is for."""

    def epoch_renewed(self) -> None:
        """This director continues in a new boot epoch."""

    def superseded(self) -> None:
        """Another process has this director's name: this one must stop acting."""

    def zone_observations(self) -> dict[str, ZoneObservation]:
        """What this director observes of each zone."""
