"""Which of a proposer's messages to one peer's replicas go together in a request. No I/O, no clock.

    requests in flight          event              what is done
    fewer than MAX_IN_FLIGHT    MessageAdded       it is sent at once, alone
    MAX_IN_FLIGHT               MessageAdded       it waits
    any                         RequestCompleted   the oldest that wait are sent, up to MAX_BATCH_BYTES
    any                         BatchNotSupported  its messages wait again; from now on one a request
    any                         RequestCompleted,
                                in a new epoch     batches are tried again: the peer may have been upgraded

After the death of a director with hundreds of sessions, each director proposes hundreds of changes at once.
One request each would wait for connections until the proposals time out.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_IN_FLIGHT = 4  # requests to one peer
MAX_BATCH_BYTES = 48 << 10  # of the messages in one request; the peers' listener accepts 64 KiB


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class MessageAdded:
    """A message is to be sent. `message_id` is above all earlier ones; `size_bytes`: once encoded."""

    message_id: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """A request was answered or has failed. `peer_epoch`: of the answer to a single message, else None."""

    request_id: int
    peer_epoch: int | None = None


@dataclass(frozen=True, slots=True)
class BatchNotSupported:
    """The peer does not know requests with several messages; it has handled none of this request."""

    request_id: int


Event = MessageAdded | RequestCompleted | BatchNotSupported


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send these messages in one request."""

    request_id: int
    message_ids: tuple[int, ...]


class RequestBatches:
    """Messages to one peer that wait or are in flight."""

    def __init__(self) -> None:
        self._waiting: deque[MessageAdded] = deque()
        self._in_flight: dict[int, list[MessageAdded]] = {}
        self._last_request_id = 0
        self._peer_epoch = 0
        self._peer_accepts_batches = True

    def handle(self, event: Event) -> list[SendRequest]:
        """Handle one event. An event of a request that is not in flight changes nothing."""
        match event:
            case MessageAdded():
                self._waiting.append(event)
            case RequestCompleted(request_id, peer_epoch):
                if self._in_flight.pop(request_id, None) is not None:
                    self._peer_answered(peer_epoch)
            case BatchNotSupported(request_id):
                if request_id in self._in_flight:
                    self._peer_accepts_batches = False
                    self._wait_again(self._in_flight.pop(request_id))
        return self._send_waiting()

    def _wait_again(self, messages: list[MessageAdded]) -> None:
        by_age = sorted([*messages, *self._waiting], key=lambda message: message.message_id)
        self._waiting = deque(by_age)

    def _peer_answered(self, peer_epoch: int | None) -> None:
        if peer_epoch is not None and peer_epoch != self._peer_epoch:
            self._peer_epoch = peer_epoch
            self._peer_accepts_batches = True

    def _send_waiting(self) -> list[SendRequest]:
        actions: list[SendRequest] = []
        while self._waiting and len(self._in_flight) < MAX_IN_FLIGHT:
            messages = self._next_messages()
            self._last_request_id += 1
            self._in_flight[self._last_request_id] = messages
            message_ids = tuple(message.message_id for message in messages)
            actions.append(SendRequest(self._last_request_id, message_ids))
        return actions

    def _next_messages(self) -> list[MessageAdded]:
        """The oldest waiting messages that fit in one request, at least one."""
        messages = [self._waiting.popleft()]
        total_bytes = messages[0].size_bytes
        while self._peer_accepts_batches and self._waiting:
            total_bytes += self._waiting[0].size_bytes + len(b",")
            if total_bytes > MAX_BATCH_BYTES:
                break
            messages.append(self._waiting.popleft())
        return messages
