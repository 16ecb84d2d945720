"""Requests to peers: connection pools, one request and response at a time, in JSON."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.messages import JSON_HEADERS
from foxlift.http import Failure, Headers, Pool, PoolLimits, Response

T = TypeVar("T")

MAX_CONNECTIONS = 8  # to one peer
MAX_FORWARDING_CONNECTIONS = 32  # to one peer, for viewers' requests
MAX_RESPONSE_BYTES = 4 << 20
NOTIFY_TIMEOUT_MS = 1000.0
OK = 200


class PeerClient:
    """Connection pools to the peers of the settings.

    Viewers' requests have connections of their own, so that they and probes do not wait for one another.
    """

    def __init__(self, context: ClusterContext) -> None:
        self._context = context
        self._pools: dict[str, Pool] = {}
        self._forwarding_pools: dict[str, Pool] = {}

    def request(
        self,
        to: str,
        path: str,
        body: bytes,
        timeout_ms: float,
        decode: Callable[[bytes], T],
        done: Callable[[T | None], None],
    ) -> None:
        """Send a request. `done(None)`: no response, or `decode` cannot read it (raises MsgspecError)."""

        def finished(result: Response | Failure) -> None:
            done(self.decode(result, decode))

        self.call(to, path, body, timeout_ms, finished)

    def call(
        self, to: str, path: str, body: bytes, timeout_ms: float, done: Callable[[Response | Failure], None]
    ) -> None:
        """Send a request whose status the caller needs; `done` is not called once the service is closed."""

        def finished(result: Response | Failure) -> None:
            if not self._context.closed:
                done(result)

        self._pool(to).call("POST", path, finished, headers=JSON_HEADERS, body=body, timeout_ms=timeout_ms)

    def decode(self, result: Response | Failure, decode: Callable[[bytes], T]) -> T | None:
        """The decoded body of a result; None if it is no success or cannot be read, which is counted."""
        if not isinstance(result, Response) or result.status != OK:
            return None
        try:
            return decode(result.body)
        except msgspec.MsgspecError:
            self._context.counters.add("peers not readable")
            return None

    def notify(self, to: str, path: str, body: bytes) -> None:
        """Send a message that is repeated later, so that its loss does not matter."""
        if to not in self._context.addresses or self._context.closed:
            return
        self._pool(to).call(
            "POST", path, lambda _: None, headers=JSON_HEADERS, body=body, timeout_ms=NOTIFY_TIMEOUT_MS
        )

    def forward(
        self, to: str, target: str, headers: Headers, done: Callable[[Response | Failure], None]
    ) -> None:
        """Forward a viewer's GET to a peer."""
        timeout_ms = self._context.config.peers.pass_ms
        self._forwarding_pool(to).call("GET", target, done, headers=headers, timeout_ms=timeout_ms)

    def close(self) -> None:
        """Close all connections."""
        for pool in (*self._pools.values(), *self._forwarding_pools.values()):
            pool.close()

    def _pool(self, to: str) -> Pool:
        if to not in self._pools:
            self._pools[to] = self._new_pool(to, MAX_CONNECTIONS)
        return self._pools[to]

    def _forwarding_pool(self, to: str) -> Pool:
        if to not in self._forwarding_pools:
            self._forwarding_pools[to] = self._new_pool(to, MAX_FORWARDING_CONNECTIONS)
        return self._forwarding_pools[to]

    def _new_pool(self, to: str, max_connections: int) -> Pool:
        url = self._context.addresses[to]
        limits = PoolLimits(max_connections=max_connections, max_response_bytes=MAX_RESPONSE_BYTES)
        return Pool(self._context.loop, url.hostname or "127.0.0.1", url.port or 80, limits)
