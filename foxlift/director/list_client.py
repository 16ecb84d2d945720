"""Client of the box list service: long polls by Envoy endpoint discovery in JSON; caches the list on the
disk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import urlsplit

import msgspec
import structlog

from foxlift.config import DirectorConfig
from foxlift.http import Failure, Pool, PoolLimits, Response
from foxlift.membership import BoxList, ListError, ListFailed, ListReceived, read_response
from foxlift.membership.boxlist import encode_full
from foxlift.store import FilePort

CACHE_FILE = "boxes.json"
CONNECT_TIMEOUT_MS = 1000.0
MAX_CONNECTIONS = 2
MAX_RESPONSE_BYTES = 16 << 20
POLL_MARGIN_MS = 2000.0  # beyond the time that the service is asked to wait for a change


class ListClient:
    """One director's polls. `feed` gets the result of each."""

    def __init__(
        self,
        config: DirectorConfig,
        loop: asyncio.AbstractEventLoop,
        files: FilePort,
        feed: Callable[[ListReceived | ListFailed], None],
    ) -> None:
        self._name, self._poll_ms = config.name, config.box_list.poll_ms
        self._files, self._feed = files, feed
        self._log = structlog.get_logger().bind(director=config.name)
        url = urlsplit(config.box_list.url)
        self._path = url.path or "/"
        limits = PoolLimits(
            connect_ms=CONNECT_TIMEOUT_MS,
            max_connections=MAX_CONNECTIONS,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )
        self._pool = Pool(loop, url.hostname or "127.0.0.1", url.port or 80, limits)

    def poll(self, version: int | None) -> None:
        """Request the changes since `version`; None: the whole list."""
        body = {
            "version_info": "" if version is None else str(version),
            "node": {"id": self._name},
            "type_url": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        }
        self._pool.call(
            "POST",
            self._path,
            self._finished,
            headers=(("content-type", "application/json"), ("prefer", f"wait={self._poll_ms / 1000:g}")),
            body=msgspec.json.encode(body),
            timeout_ms=self._poll_ms + POLL_MARGIN_MS,
        )

    def cached(self) -> BoxList | None:
        """The list cached on the disk, if there is a readable one. Raises OSError."""
        data = self._files.read(CACHE_FILE)
        if data is None:
            return None
        try:
            cached = read_response(data)
        except ListError as error:
            # the service has a newer list anyway
            self._log.warning("cached box list invalid", detail=str(error))
            return None
        return cached if isinstance(cached, BoxList) else None

    def save(self, boxes: BoxList) -> None:
        """Cache the list on the disk; an error is only logged."""
        try:
            self._files.replace(CACHE_FILE, encode_full(boxes))
        except OSError as error:
            self._log.error("box list not cached on disk", detail=str(error))

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _finished(self, result: Response | Failure) -> None:
        if isinstance(result, Failure) or result.status not in (200, 304):
            self._feed(ListFailed())
            return
        if result.status == 304:
            self._feed(ListReceived(None))
            return
        try:
            update = read_response(result.body)
        except ListError as error:
            self._log.warning("box list invalid", detail=str(error))
            self._feed(ListFailed(unreadable=True))
            return
        self._feed(ListReceived(update))
