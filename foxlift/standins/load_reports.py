"""What a media server reports of its load, as late and as seldom as its settings say."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from foxlift.boxes.notices import BoxNotice, Delivered, LinkUse
from foxlift.http import Headers
from foxlift.standins.model import BoxModel
from foxlift.standins.timers import Timers

DELIVERED_EVERY_S = 1.0
FULL_SHARE = 0.98  # of its rate: sessions that get less are short
NEVER = -1e9


class LoadReports:
    """The load header of answers, and the notices of link use and of short delivery.

    `report_s`: how long a reading is shown in headers; `late_s`: how long a notice is under way;
    `every_s`: between notices of link use.
    """

    def __init__(
        self,
        model: BoxModel,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        send: Callable[[str, BoxNotice], None],
        *,
        report_s: float,
        late_s: float,
        every_s: float,
    ) -> None:
        self._model, self._loop, self._timers, self._send = model, loop, timers, send
        self._report_s, self._late_s, self._every_s = report_s, late_s, every_s
        self.delay_s = 0.0  # on top of all, while a fault delays reports
        self._read_at, self._reading = NEVER, 0.0
        self._link_use_at = 0.0
        self._delivered_at = 0.0
        self._short: set[str] = set()  # directors that were told of a short delivery

    def header(self) -> Headers:
        """The load header; its reading is refreshed now and then, and a little late."""
        now = self._loop.time()
        if now - self._read_at >= self._report_s + self.delay_s:
            self._read_at, self._reading = now, self._model.use
        metrics = {"named_metrics": {"link": round(self._reading, 4)}}
        return (("endpoint-load-metrics", "JSON " + json.dumps(metrics)),)

    def tick(self, now: float) -> None:
        """Send the notices whose time has come."""
        if now - self._delivered_at >= DELIVERED_EVERY_S:
            self._delivered_at = now
            self._send_delivered()
        if now - self._link_use_at >= self._every_s:
            self._link_use_at = now
            use = round(self._model.use, 4)
            for director, set_up in self._one_session_each().items():
                self._send_late(director, LinkUse(set_up, use))

    def _send_delivered(self) -> None:
        """While sessions get less than their rate, and once when they get all of it again."""
        share = round(self._model.share, 4)
        for director, set_up in self._one_session_each().items():
            if share < FULL_SHARE:
                self._short.add(director)
            elif director in self._short:
                self._short.discard(director)
            else:
                continue
            self._send_late(director, Delivered(set_up, share))

    def _one_session_each(self) -> dict[str, str]:
        """A notice names a session: one of each director's."""
        return {session.director: session.set_up for session in self._model.sessions.values()}

    def _send_late(self, director: str, notice: BoxNotice) -> None:
        self._timers.call_later(self._late_s + self.delay_s, lambda: self._send(director, notice))
