"""Notice streams: server-sent events in which media servers report on sessions as they change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from foxlift.boxes import NoticeError, NoticeReader
from foxlift.director import events
from foxlift.director.ownership import Ownership
from foxlift.director.server_pools import PoolUse, ServerPools
from foxlift.http import Call, Failure, Response


class NoticeStreams:
    """One director's streams, one for each server. `boot_epoch`: returns the director's present one."""

    def __init__(
        self,
        name: str,
        loop: asyncio.AbstractEventLoop,
        pools: ServerPools,
        ownership: Ownership,
        boot_epoch: Callable[[], str],
        feed: Callable[[events.Event], None],
    ) -> None:
        self._name, self._loop, self._pools = name, loop, pools
        self._ownership, self._boot_epoch, self._feed = ownership, boot_epoch, feed
        self._log = structlog.get_logger().bind(director=name)
        self.open_streams: dict[int, Call] = {}
        self._epochs: dict[int, str] = {}  # in which epoch a server's stream was opened

    def open(self, node: int) -> None:
        """Open a server's stream; the core gets NoticeStreamClosed when it ends."""
        if not self._ownership.may_stream(node):
            # hello would not yet name the sessions of this director's earlier epochs
            self._loop.call_soon(self._feed, events.NoticeStreamClosed(node))
            return
        epoch = self._epochs[node] = self._boot_epoch()
        reader = NoticeReader()

        def received(data: bytes) -> None:
            if not self._read(node, reader, data):
                call.cancel()

        def ended(result: Response | Failure) -> None:
            self._ownership.is_refused(result)
            if self.open_streams.get(node) is call:
                del self.open_streams[node]
                self._feed(events.NoticeStreamClosed(node))

        call = self._pools.pool(node, PoolUse.NOTICES).call(
            "GET",
            f"/notices?director={self._name}&run={epoch}{self._ownership.stream_query()}",
            ended,
            headers=(("accept", "text/event-stream"),),
            on_data=received,
        )
        self.open_streams[node] = call

    def reopen(self, node: int) -> None:
        """Close a stream that was opened in an earlier epoch: it has no notices of the present one."""
        call = self.open_streams.get(node)
        if call is not None and self._epochs.get(node) != self._boot_epoch():
            call.cancel()

    def close(self, node: int) -> None:
        """Close a server's stream."""
        call = self.open_streams.pop(node, None)
        if call is not None:
            call.cancel()

    def _read(self, node: int, reader: NoticeReader, data: bytes) -> bool:
        """Pass the notices in `data` to the core; False if they are invalid."""
        try:
            notices = reader.feed(data)
        except NoticeError as error:
            self._log.warning("notice stream invalid, closed", box=node, detail=str(error))
            return False
        for notice in notices:
            self._feed(events.NoticeReceived(node, notice))
            self._ownership.handle_notice(node, notice)
        return True
