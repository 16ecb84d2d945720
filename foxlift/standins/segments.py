"""Sends segments to viewers, paced by their session's rate and the media server's link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from foxlift.http import Exchange, Request, ResponseStream
from foxlift.standins.media import Media
from foxlift.standins.model import BoxModel, BoxSession
from foxlift.standins.timers import Timers

PIECE_S = 0.25  # of its session's rate is sent at a time: what is small leaves whole, as from any shaper
MAX_PIECE_BYTES = 32_768
BYTES_PER_KB = 1000

# Called for each segment that is asked for, with media server, set-up and request.
SegmentObserver = Callable[[str, str, Request], None]


@dataclass
class Transfer:
    """A body on its way to a viewer. `begun_kb`: its session's rate when it began, kB/s."""

    exchange: Exchange
    stream: ResponseStream
    session: BoxSession
    body: bytes
    begun_kb: float
    sent: int = 0


class SegmentSender:
    """Answers `/s/{set-up}/{path token}/{title}/{file}`. `scale`: bytes sent for each byte of the rates."""

    def __init__(
        self,
        model: BoxModel,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        media: Media,
        scale: float,
    ) -> None:
        self._model, self._loop, self._timers = model, loop, timers
        self._media, self._scale = media, scale

    def answer(self, exchange: Exchange, parts: list[str], observer: SegmentObserver | None) -> None:
        """Answer a request for a segment; `parts` is its path between the slashes."""
        _, set_up, path_token, _, *file = parts
        session = self._find_session(exchange, set_up, path_token)
        if session is None:
            return
        request = exchange.request
        session.last_seen = self._loop.time()
        if observer is not None:
            observer(self._model.name, session.set_up, request)
        if "last=1" in request.query:
            session.finished = True
        part = self._media.part("/".join(file), request.headers.get("range", ""), session.rate_kb)
        if part.status == 404:
            exchange.reply_problem(404, "no such file in this title")
            return
        headers = part.headers
        if session.max_kbps:
            headers += (("cmsd-dynamic", f'"{self._model.name}";mb={session.max_kbps}'),)
        stream = exchange.start_stream(part.status, headers, len(part.body))
        if request.method == "HEAD" or not part.body:
            stream.finish()
            return
        session.streams += 1
        self._send_next(Transfer(exchange, stream, session, part.body, session.rate_kb))

    def _find_session(self, exchange: Exchange, set_up: str, path_token: str) -> BoxSession | None:
        """The session that plays here; else the request is refused."""
        session = self._model.sessions.get(set_up)
        if session is None:
            # 410: let go while its viewer paused; the way back through the director takes it up again
            parked = set_up in self._model.parked
            title = "this session was let go while it paused" if parked else "no such session here"
            exchange.reply_problem(410 if parked else 404, title)
            return None
        if session.path_token != path_token:
            exchange.reply_problem(403, "no such session here")
            return None
        return session

    def _send_next(self, transfer: Transfer) -> None:
        """Book the next piece and send it when the session's rate and the link would carry it.

        What was begun goes on at the rate at which it was begun: at that of a rung several lower, the rest of
        a segment took longer than any buffer, though its player would come down with the next one.
        """
        session = transfer.session
        if transfer.sent >= len(transfer.body):
            session.streams -= 1
            transfer.stream.finish()
            return
        rate = max(session.rate_kb, transfer.begun_kb) * BYTES_PER_KB * self._scale
        speed = self._model.speed
        size = max(min(int(rate * speed * PIECE_S), MAX_PIECE_BYTES), 1)
        piece = transfer.body[transfer.sent : transfer.sent + size]
        wait = session.wait(self._loop.time(), len(piece), rate, speed)
        if wait > 0:
            self._timers.call_later(wait, lambda: self._send(transfer, piece))
        else:
            self._send(transfer, piece)

    def _send(self, transfer: Transfer, piece: bytes) -> None:
        session = transfer.session
        if transfer.exchange.disconnected or self._model.sessions.get(session.set_up) is not session:
            session.streams -= 1
            transfer.exchange.abort()
            return
        session.last_seen = self._loop.time()
        transfer.stream.write(piece)
        transfer.sent += len(piece)
        self._send_next(transfer)
