"""Consensus registers between directors: this one as a replica, and its messages to the other replicas."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import msgspec

from foxlift.consensus import Reject, Replica
from foxlift.consensus import Request as RegisterAsk
from foxlift.consensus import Response as RegisterAnswer
from foxlift.consensus import replica as acceptor
from foxlift.consensus.register import RequestFailed, ResponseReceived, Send
from foxlift.director.cluster.client import PeerClient
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.messages import (
    JSON_HEADERS,
    RegisterBatchRequest,
    RegisterBatchResponse,
    RegisterRequest,
    RegisterResponse,
)
from foxlift.director.cluster.register_client import REGISTER_BATCH_PATH, REGISTER_PATH, RegisterClient
from foxlift.director.cluster.server import PeerServer
from foxlift.http import Exchange
from foxlift.zones.agreement import REGISTER_END_UNIX_MS as PLAN_END_UNIX_MS
from foxlift.zones.agreement import REGISTER_KEY as PLAN_KEY

Reply = Callable[[RegisterAnswer | None], None]


class RegisterReplica:
    """This director as a replica. Rejects everything until its disk is known to be the last epoch's."""

    def __init__(self, context: ClusterContext) -> None:
        self._context = context
        self._tokens: Replica | None = None
        self._plan: Replica | None = None

    def begin(self, disk_lost: bool) -> None:
        """Respond from now on. `disk_lost`: old records may be missing, so only newer keys are answered."""
        store, peers = self._context.store, self._context.config.peers
        if disk_lost:
            now = int(self._context.now())
            self._context.log.error("the state folder is not the last run's: lost, or an older copy")
            store.mark_disk_lost(now)
            store.valid_since = now
        leeway_ms = peers.clocks_apart_ms
        self._tokens = Replica(peers.longest_token_s * 1000, leeway_ms, store.valid_since, store.records)
        if self._context.name in peers.makers:
            self._plan = Replica(PLAN_END_UNIX_MS, leeway_ms, store.valid_since, store.records)
        self._context.log.info("registers vouched for", lost=disk_lost, held=len(store.records))

    def handle(self, ask: RegisterAsk, reply: Reply) -> None:
        """Handle a proposer's message; `reply(None)` if the disk failed."""
        replica = self._plan if ask.key == PLAN_KEY else self._tokens
        if replica is None:
            reply(Reject(ask.key, ask.ballot))
            return
        number = self._context.next_number()
        self._step(replica, acceptor.RequestReceived(number, ask), reply)

    def _step(self, replica: Replica, event: acceptor.Event, reply: Reply) -> None:
        for action in replica.handle(self._context.now(), event):
            match action:
                case acceptor.Store(number, record):
                    self._store(replica, number, record, reply)
                case acceptor.Reply(_, message):
                    reply(message)

    def _store(self, replica: Replica, number: int, record: acceptor.Record, reply: Reply) -> None:
        def stored(error: OSError | None) -> None:
            event = acceptor.Stored(number) if error is None else acceptor.StoreFailed(number)
            self._step(replica, event, reply)
            if error is not None:
                reply(None)

        self._context.store.append_record(record, stored)


class RegisterEndpoint:
    """Carries proposers' messages: of peers to the local replica, of this director to every replica."""

    def __init__(self, context: ClusterContext, client: PeerClient, server: PeerServer) -> None:
        self._context, self._client, self._server = context, client, server
        self.replica = RegisterReplica(context)
        self._clients: dict[str, RegisterClient] = {}  # by peer
        server.add_handler(REGISTER_PATH, self._receive)
        server.add_handler(REGISTER_BATCH_PATH, self._receive_batch)

    def send(self, send: Send, done: Callable[[ResponseReceived | RequestFailed], None]) -> None:
        """Send to a replica, which may be this director's own. `done` is never called within this call."""

        def respond(answer: RegisterAnswer | None) -> None:
            event = (
                RequestFailed(send.request_id)
                if answer is None
                else ResponseReceived(send.request_id, answer)
            )
            self._context.loop.call_soon(done, event)

        if send.to == self._context.name:
            self.replica.handle(send.message, respond)
            return

        self._client_of(send.to).send(send.message, respond)

    def _client_of(self, peer: str) -> RegisterClient:
        if peer not in self._clients:
            self._clients[peer] = RegisterClient(self._context, self._client, peer)
        return self._clients[peer]

    def _receive(self, exchange: Exchange) -> None:
        request = msgspec.json.decode(exchange.request.body, type=RegisterRequest)
        if not self._server.admits(exchange, request.sender, request.boot_epoch):
            return

        def reply(answer: RegisterAnswer | None) -> None:
            if exchange.disconnected:
                return
            if answer is None:
                self._server.refuse(exchange, 503, "not vouched for")
                return
            response = RegisterResponse(self._context.name, self._context.boot_epoch, answer)
            exchange.reply(200, JSON_HEADERS, msgspec.json.encode(response))

        self.replica.handle(request.ask, reply)

    def _receive_batch(self, exchange: Exchange) -> None:
        request = msgspec.json.decode(exchange.request.body, type=RegisterBatchRequest)
        if not self._server.admits(exchange, request.sender, request.boot_epoch):
            return
        answers: list[RegisterAnswer | None] = [None] * len(request.asks)
        unanswered = set(range(len(request.asks)))

        def reply(number: int, answer: RegisterAnswer | None) -> None:
            if number not in unanswered:
                return
            unanswered.discard(number)
            answers[number] = answer
            if not unanswered and not exchange.disconnected:
                response = RegisterBatchResponse(self._context.name, self._context.boot_epoch, tuple(answers))
                exchange.reply(200, JSON_HEADERS, msgspec.json.encode(response))

        for number, ask in enumerate(request.asks):
            self.replica.handle(ask, partial(reply, number))
