"""Asks the peers at start whether this director's disk is the one of its last boot epoch.

Carries the messages of `foxlift.recovery.disk_check`, in both directions.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import msgspec

from foxlift.director.cluster.client import PeerClient
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.messages import JSON_HEADERS, Hello, HelloResponse
from foxlift.director.cluster.server import PeerServer
from foxlift.http import Exchange
from foxlift.recovery import disk_check

HELLO_TIMEOUT_MS = 1000.0
_decode_answer = msgspec.json.Decoder(HelloResponse).decode


class DiskTrust:
    """Asks the peers at start, and responds to theirs. `on_trusted(disk_lost)` is called once."""

    def __init__(
        self,
        context: ClusterContext,
        client: PeerClient,
        server: PeerServer,
        on_trusted: Callable[[bool], None],
    ) -> None:
        config = context.config
        self._context, self._client, self._server, self._on_trusted = context, client, server, on_trusted
        self._disk_check = disk_check.DiskCheck(
            context.addresses, context.store.last_boot_epoch, config.seed, config.peers.trust_disk
        )
        self.last_reported_epoch = 0  # the latest of this director's earlier epochs that a peer has reported
        server.add_handler("/peers/hello", self._receive)

    @property
    def trusted(self) -> bool:
        """Whether the check has ended."""
        return self._disk_check.trusted

    def start(self) -> None:
        """Ask all peers."""
        self._carry_out(self._disk_check.start())

    def _handle(self, event: disk_check.Event) -> None:
        self._carry_out(self._disk_check.handle(event))

    def _carry_out(self, actions: list[disk_check.Action]) -> None:
        for action in actions:
            match action:
                case disk_check.QueryEpoch(peer):
                    self._say_hello(peer)
                case disk_check.StartTimer(delay_ms):
                    self._context.later(delay_ms, partial(self._handle, disk_check.RetryDue()))
                case disk_check.Trust(lost):
                    self._on_trusted(lost)

    def _say_hello(self, peer: str) -> None:
        def answered(response: HelloResponse | None) -> None:
            if response is not None and response.sender == peer:
                self.last_reported_epoch = max(self.last_reported_epoch, response.before)
                self._handle(disk_check.EpochReported(peer, response.before))

        body = msgspec.json.encode(Hello(self._context.name, self._context.boot_epoch))
        self._client.request(peer, "/peers/hello", body, HELLO_TIMEOUT_MS, _decode_answer, answered)

    def _receive(self, exchange: Exchange) -> None:
        hello = msgspec.json.decode(exchange.request.body, type=Hello)
        if hello.sender not in self._context.addresses:
            self._server.refuse(exchange, 403, "not a peer of the settings")
            return

        def stored(before: int | None) -> None:
            if before is None:
                self._server.refuse(exchange, 503, "the disk has failed")
            elif not exchange.gone:
                response = HelloResponse(self._context.name, self._context.boot_epoch, before)
                exchange.reply(200, JSON_HEADERS, msgspec.json.encode(response))

        self._context.store.record_epoch(hello.sender, hello.boot_epoch, stored)
