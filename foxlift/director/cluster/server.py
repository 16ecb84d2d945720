"""The listener for peers: dispatches requests by path and refuses senders that are not peers.

POST /peers/view         membership probes: `membership.py`
POST /peers/hello        a boot epoch begins: `disk_trust.py`
POST /peers/registers    a proposer's message to a register's replica: `registers.py`
POST /peers/register-batches    several of them
POST /peers/zones, /peers/plan, /peers/order    `zone_endpoints.py`
GET  /dash/...           a viewer's request, forwarded by the director that received it
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.messages import FORWARDED_BY_HEADER
from foxlift.http import Exchange, Limits, Server

Handler = Callable[[Exchange], None]

IDLE_TIME_MS = 30_000.0


class PeerServer:
    """One director's listener. Handlers may raise MsgspecError for an unreadable body."""

    def __init__(
        self, context: ClusterContext, epoch_of: Callable[[str], int], receive_forwarded: Handler
    ) -> None:
        """`epoch_of`: the latest known boot epoch of a peer, 0 for none."""
        self._context, self._epoch_of, self._receive_forwarded = context, epoch_of, receive_forwarded
        self._handlers: dict[str, Handler] = {}
        max_connections = 16 * len(context.members) + 64
        limits = Limits(max_connections=max_connections, idle_time_ms=IDLE_TIME_MS)
        self._server = Server(context.loop, self._dispatch, limits)

    def add_handler(self, path: str, handler: Handler) -> None:
        """Have `handler` answer each POST to `path`."""
        self._handlers[path] = handler

    async def listen(self) -> int:
        """Accept connections; gives back the port. Raises OSError."""
        peers = self._context.config.peers
        return await self._server.listen(peers.host, peers.port)

    async def stop(self, grace_ms: float) -> None:
        """Accept nothing new; answers that are due have so long to be sent."""
        await self._server.stop(grace_ms)

    def refuse(self, exchange: Exchange, status: int, title: str, detail: str = "") -> None:
        """Answer with a problem, and count it."""
        self._context.counters.add("peers refused", title)
        exchange.reply_problem(status, title, detail)

    def admits(self, exchange: Exchange, sender: str, epoch: int) -> bool:
        """Whether the sender is a peer of the settings in its latest boot epoch; if not, refuses."""
        if sender not in self._context.addresses:
            self.refuse(exchange, 403, "not a peer of the settings")
            return False
        if epoch < self._epoch_of(sender):
            self.refuse(exchange, 409, "a run that is over")
            return False
        return True

    def _dispatch(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.method == "GET" and request.path.startswith("/dash/"):
            self._dispatch_forwarded(exchange)
            return
        handler = self._handlers.get(request.path) if request.method == "POST" else None
        if handler is None:
            self.refuse(exchange, 404, "no such resource")
            return
        try:
            handler(exchange)
        except msgspec.MsgspecError as error:
            self.refuse(exchange, 400, "malformed message", str(error))

    def _dispatch_forwarded(self, exchange: Exchange) -> None:
        sender = exchange.request.headers.get(FORWARDED_BY_HEADER, "").partition("/")[0]
        if sender in self._context.addresses:
            self._receive_forwarded(exchange)
        else:
            self.refuse(exchange, 403, "only peers pass requests on")
