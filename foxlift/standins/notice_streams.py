"""Event streams of a media server to its directors, and the session ends that it keeps for them."""

from __future__ import annotations

import asyncio

from foxlift.boxes.notices import BoxNotice, SessionEnded, encode_notice
from foxlift.http import ResponseStream

MAX_KEPT_ENDS = 200  # of one director's sessions, kept for its next stream or incarnation


class NoticeStreams:
    """At most one stream a director; a newer one takes the place of an older."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._open: dict[str, ResponseStream] = {}
        self._lost_at: dict[str, float] = {}  # loop seconds, of directors that have sessions and no stream
        self._ends: dict[str, dict[str, SessionEnded]] = {}

    def restart(self) -> None:
        """Begin as a new process: no end of an earlier one is known."""
        self._ends.clear()

    def drop_all(self) -> None:
        """The process ends, and its connections with it."""
        self._open.clear()
        self._lost_at.clear()

    def close(self, director: str) -> None:
        """Finish a director's stream, if it has one."""
        stream = self._open.pop(director, None)
        if stream is not None:
            stream.finish()

    def add(self, director: str, stream: ResponseStream) -> None:
        """A director has opened its stream."""
        self._open[director] = stream
        self._lost_at.pop(director, None)

    def remove(self, director: str, stream: ResponseStream) -> bool:
        """A stream is gone; whether it was its director's present one."""
        if self._open.get(director) is not stream:
            return False
        del self._open[director]
        self._lost_at[director] = self._loop.time()
        return True

    @property
    def directors(self) -> frozenset[str]:
        """Directors that have a stream."""
        return frozenset(self._open)

    def expect(self, director: str) -> None:
        """A director has a session here: the time without a stream of it begins now, if it has none."""
        if director not in self._open:
            self._lost_at.setdefault(director, self._loop.time())

    def silence_s(self, director: str, now: float) -> float:
        """How long a director with sessions here has had no stream."""
        return now - self._lost_at.get(director, now)

    def send(self, director: str, notice: BoxNotice) -> None:
        """Write a notice to a director that has a stream."""
        stream = self._open.get(director)
        if stream is not None:
            stream.write(encode_notice(notice))

    def keep_end(self, director: str, notice: SessionEnded) -> None:
        """Keep the end of a session, which its director may not have heard."""
        kept = self._ends.setdefault(director, {})
        kept[notice.session] = notice
        while len(kept) > MAX_KEPT_ENDS:
            del kept[next(iter(kept))]

    def kept_ends(self, director: str) -> tuple[SessionEnded, ...]:
        """The latest ends of a director's sessions."""
        return tuple(self._ends.get(director, {}).values())
