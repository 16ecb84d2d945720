"""Carries proposers' messages to the replicas at one peer, as `foxlift.consensus.request_batches` decides."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from foxlift.consensus import Request as RegisterAsk
from foxlift.consensus import Response as RegisterAnswer
from foxlift.consensus import request_batches
from foxlift.consensus.request_batches import BatchNotSupported, MessageAdded, RequestCompleted, SendRequest
from foxlift.director.cluster.client import PeerClient
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.messages import (
    RegisterBatchRequest,
    RegisterBatchResponse,
    RegisterRequest,
    RegisterResponse,
)
from foxlift.http import Failure, Response

REGISTER_PATH = "/peers/registers"
REGISTER_BATCH_PATH = "/peers/register-batches"
REGISTER_TIMEOUT_MS = 400.0
NOT_FOUND = 404

_decode_response = msgspec.json.Decoder(RegisterResponse).decode
_decode_batch_response = msgspec.json.Decoder(RegisterBatchResponse).decode

OnAnswer = Callable[[RegisterAnswer | None], None]


@dataclass(frozen=True, slots=True)
class _Message:
    """A message, and what to call with its answer (None: no answer)."""

    ask: RegisterAsk
    on_answer: OnAnswer


class RegisterClient:
    """Sends proposers' messages to one peer."""

    def __init__(self, context: ClusterContext, client: PeerClient, peer: str) -> None:
        self._context, self._client, self._peer = context, client, peer
        self._batches = request_batches.RequestBatches()
        self._messages: dict[int, _Message] = {}  # by message id: waiting or in flight
        self._last_message_id = 0

    def send(self, ask: RegisterAsk, on_answer: OnAnswer) -> None:
        """Send a message, now or with others. `on_answer` is called once, never within this call."""
        self._last_message_id += 1
        self._messages[self._last_message_id] = _Message(ask, on_answer)
        self._handle(MessageAdded(self._last_message_id, len(msgspec.json.encode(ask))))

    def _handle(self, event: request_batches.Event) -> None:
        for send in self._batches.handle(event):
            if len(send.message_ids) == 1:
                self._send_single(send)
            else:
                self._send_batch(send)

    def _send_single(self, send: SendRequest) -> None:
        def received(response: RegisterResponse | None) -> None:
            if response is not None and response.sender == self._peer:
                self._complete(send, [response.answer], response.boot_epoch)
            else:
                self._complete(send, [None])

        ask = self._messages[send.message_ids[0]].ask
        body = msgspec.json.encode(RegisterRequest(self._context.name, self._context.boot_epoch, ask))
        self._client.request(self._peer, REGISTER_PATH, body, REGISTER_TIMEOUT_MS, _decode_response, received)

    def _send_batch(self, send: SendRequest) -> None:
        def received(result: Response | Failure) -> None:
            if isinstance(result, Response) and result.status == NOT_FOUND:
                self._handle(BatchNotSupported(send.request_id))
            else:
                self._complete(send, self._batch_answers(result, len(send.message_ids)))

        asks = tuple(self._messages[message_id].ask for message_id in send.message_ids)
        body = msgspec.json.encode(RegisterBatchRequest(self._context.name, self._context.boot_epoch, asks))
        self._client.call(self._peer, REGISTER_BATCH_PATH, body, REGISTER_TIMEOUT_MS, received)

    def _batch_answers(self, result: Response | Failure, count: int) -> list[RegisterAnswer | None]:
        """The answers to a batch of so many messages: None for each if the response is not the peer's."""
        response = self._client.decode(result, _decode_batch_response)
        if response is None or response.sender != self._peer or len(response.answers) != count:
            return [None] * count
        return list(response.answers)

    def _complete(
        self, send: SendRequest, answers: list[RegisterAnswer | None], peer_epoch: int | None = None
    ) -> None:
        """Hand the answers of a request over, and send what waits."""
        for message_id, answer in zip(send.message_ids, answers, strict=True):
            self._messages.pop(message_id).on_answer(answer)
        self._handle(RequestCompleted(send.request_id, peer_epoch))
