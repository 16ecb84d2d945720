"""Connection pools to several servers by name, for requests and responses in JSON."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TypeVar
from urllib.parse import SplitResult, urlsplit

import msgspec

from foxlift.http.client import Failure, Pool, PoolLimits, Response
from foxlift.http.messages import Headers

T = TypeVar("T")

JSON_HEADERS: Headers = (("content-type", "application/json"),)
NOTIFY_TIMEOUT_MS = 1000.0


class NamedPools:
    """One pool for each server. `urls`: the URL of each server by name.

    `on_unreadable` is called for each response whose body cannot be decoded.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        urls: Mapping[str, str],
        limits: PoolLimits,
        on_unreadable: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop, self._limits, self._on_unreadable = loop, limits, on_unreadable
        self._addresses: dict[str, SplitResult] = {name: urlsplit(url) for name, url in urls.items()}
        self._pools: dict[str, Pool] = {}
        self.closed = False

    def request(
        self,
        to: str,
        path: str,
        body: bytes,
        timeout_ms: float,
        decode: Callable[[bytes], T],
        done: Callable[[T | None], None],
    ) -> None:
        """POST to a server. `done(None)`: the status is not 200, or `decode` raised MsgspecError."""

        def finished(result: Response | Failure) -> None:
            answer: T | None = None
            if isinstance(result, Response) and result.status == 200:
                try:
                    answer = decode(result.body)
                except msgspec.MsgspecError:
                    self._on_unreadable()
            if not self.closed:
                done(answer)

        self._pool(to).call("POST", path, finished, headers=JSON_HEADERS, body=body, timeout_ms=timeout_ms)

    def notify(self, to: str, path: str, body: bytes) -> None:
        """POST a message that may be lost, because a later one repeats it."""
        if not self.closed and to in self._addresses:
            self._pool(to).call(
                "POST", path, lambda _: None, headers=JSON_HEADERS, body=body, timeout_ms=NOTIFY_TIMEOUT_MS
            )

    def close(self) -> None:
        """Close all connections."""
        self.closed = True
        for pool in self._pools.values():
            pool.close()

    def _pool(self, to: str) -> Pool:
        if to not in self._pools:
            url = self._addresses[to]
            self._pools[to] = Pool(self._loop, url.hostname or "127.0.0.1", url.port or 80, self._limits)
        return self._pools[to]
