"""Which peers are alive: carries the messages of `foxlift.peers.view` (SWIM) over the peers' listener."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from foxlift.director.cluster.client import PeerClient
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.messages import JSON_HEADERS
from foxlift.director.cluster.server import PeerServer
from foxlift.http import Exchange
from foxlift.peers import messages, view, view_messages
from foxlift.peers.messages import PeerState


class MembershipListener(Protocol):
    """What is notified of peers."""

    def peer_contacted(self, name: str) -> None:
        """A message of this peer has arrived."""

    def peer_changed(self, name: str, state: PeerState, epoch: int) -> None:
        """The belief about a peer has changed."""

    def superseded_by(self, epoch: int) -> None:
        """A peer knows a later boot epoch of this director."""


class Membership:
    """This director's view of its peers."""

    def __init__(
        self,
        context: ClusterContext,
        client: PeerClient,
        server: PeerServer,
        listener: MembershipListener,
    ) -> None:
        config = context.config
        self._context, self._client, self._server, self._listener = context, client, server, listener
        self.view = view.Peers(
            context.name, context.boot_epoch, context.members, config.seed, config.peers.period_ms
        )
        self._probes: dict[int, Exchange] = {}  # peers' probes that wait for a response
        server.add_handler("/peers/view", self._receive)

    def start(self) -> None:
        """Begin to probe."""
        self._carry_out(self.view.start())

    def leave(self) -> None:
        """Announce to the peers that this director stops."""
        self._handle(view_messages.Leave())

    def renew(self) -> None:
        """Continue in the present boot epoch."""
        self._handle(view_messages.Renew(self._context.boot_epoch))

    def alive(self) -> list[str]:
        """Names of the alive and suspected directors, this one first."""
        return self.view.reachable()

    def is_reachable(self, name: str) -> bool:
        """Whether a peer is alive or suspected."""
        return self.view.state(name) in (PeerState.ALIVE, PeerState.SUSPECTED)

    def epoch_of(self, name: str) -> int:
        """The latest known boot epoch of a peer, 0 for none."""
        peer = self.view.peers.get(name)
        return 0 if peer is None else peer.boot_epoch

    def _handle(self, event: view_messages.Event) -> None:
        self._carry_out(self.view.handle(self._context.now(), event))

    def _carry_out(self, actions: list[view_messages.Action]) -> None:
        for action in actions:
            match action:
                case view_messages.Send():
                    self._probe(action)
                case view_messages.Reply(number, message):
                    self._answer(number, message)
                case view_messages.StartTimer(delay_ms, timer):
                    self._context.later(delay_ms, partial(self._handle, view_messages.TimerDue(timer)))
                case view_messages.PeerChanged(name, state, epoch, _):
                    self._context.log.info("peer", peer=name, state=state.name.lower(), run=epoch)
                    self._listener.peer_changed(name, state, epoch)
                case view_messages.Superseded(epoch):
                    self._listener.superseded_by(epoch)

    def _probe(self, send: view_messages.Send) -> None:
        def answered(answer: messages.Response | None) -> None:
            if answer is None:
                self._handle(view_messages.RequestFailed(send.request_id))
                return
            if answer.sender == send.to:
                self._listener.peer_contacted(send.to)
            self._handle(view_messages.ResponseReceived(send.request_id, answer))

        body = messages.encode(send.message)
        self._client.request(send.to, "/peers/view", body, send.timeout_ms, messages.read_response, answered)

    def _receive(self, exchange: Exchange) -> None:
        message = messages.read_request(exchange.request.body)
        if not self._server.admits(exchange, message.sender, message.boot_epoch):
            return
        self._listener.peer_contacted(message.sender)
        number = self._context.next_number()
        self._probes[number] = exchange
        exchange.on_disconnect = partial(self._forget, number)
        self._handle(view_messages.RequestReceived(number, message))

    def _forget(self, number: int) -> None:
        self._probes.pop(number, None)

    def _answer(self, number: int, message: messages.Response) -> None:
        exchange = self._probes.pop(number, None)
        if exchange is not None and not exchange.disconnected:
            exchange.reply(200, JSON_HEADERS, messages.encode(message))
