"""Notice streams: what media servers tell of sessions as it happens, as server-sent events."""

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
    """One director's streams, one for each server. `run`: the director's present one, as streams name it."""

    def __init__(
        self,
        name: str,
        loop: asyncio.AbstractEventLoop,
        pools: ServerPools,
        ownership: Ownership,
        run: Callable[[], str],
        feed: Callable[[events.Event], None],
    ) -> None:
        self._name, self._loop, self._pools = name, loop, pools
        self._ownership, self._run, self._feed = ownership, run, feed
        self._log = structlog.get_logger().bind(director=name)
        self.open_streams: dict[int, Call] = {}
        self._runs: dict[int, str] = {}  # in which run a server's stream was opened

    def open(self, node: int) -> None:
        """Open a server's stream; the core is told where it breaks."""
        if not self._ownership.may_stream(node):
            # until then hello would not name what earlier runs have there
            self._loop.call_soon(self._feed, events.NoticeStreamClosed(node))
            return
        run = self._runs[node] = self._run()
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
            f"/notices?director={self._name}&run={run}{self._ownership.stream_query()}",
            ended,
            headers=(("accept", "text/event-stream"),),
            on_data=received,
        )
        self.open_streams[node] = call

    def reopen(self, node: int) -> None:
        """Break a stream that was opened in an earlier run: it says nothing of this one."""
        call = self.open_streams.get(node)
        if call is not None and self._runs.get(node) != self._run():
            call.cancel()

    def close(self, node: int) -> None:
        """Close a server's stream."""
        call = self.open_streams.pop(node, None)
        if call is not None:
            call.cancel()

    def _read(self, node: int, reader: NoticeReader, data: bytes) -> bool:
        """Hand the notices of these bytes to the core; False where they cannot be read."""
        try:
            notices = reader.feed(data)
        except NoticeError as error:
            self._log.warning("notices not readable", box=node, detail=str(error))
            return False
        for notice in notices:
            self._feed(events.NoticeReceived(node, notice))
            self._ownership.notice_heard(node, notice)
        return True
