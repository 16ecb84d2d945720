"""A media server on sockets: the protocol of docs/box-protocol.md, and the faults that it can be given.

`segments` sends to viewers, `notice_streams` and `load_reports` tell directors, `takeovers` answers them, and
`owners` is the arbiter between them; `model` has the server's places and link, without sockets.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import msgspec

from foxlift.boxes.notices import BoxNotice, Hello, RungInForce, SessionEnded, encode_notice
from foxlift.boxes.resource import RungRequest, SetUpRequest
from foxlift.boxes.takeover import (
    BOOT_HEADER,
    FENCE_HEADER,
    OWNER_HEADER,
    TakeoverRequest,
)
from foxlift.http import Cors, Exchange, Limits, ResponseStream, Server
from foxlift.standins.held_port import HeldPort
from foxlift.standins.load_reports import LoadReports
from foxlift.standins.media import Filler, Media
from foxlift.standins.model import BoxModel, BoxSession
from foxlift.standins.notice_streams import NoticeStreams
from foxlift.standins.owners import Owners
from foxlift.standins.segments import SegmentObserver, SegmentSender
from foxlift.standins.takeovers import is_alive, take_over
from foxlift.standins.timers import Timers

TICK_S = 0.1
RELEASE_MEMORY_S = 30.0  # a set-up that was sent before its release may come so much after it


def unix_ms() -> int:
    """The box's own clock."""
    return int(time.time() * 1000)


class BoxServer:
    """One box. `scale`: bytes really sent for each byte of the stated rates."""

    def __init__(
        self,
        model: BoxModel,
        loop: asyncio.AbstractEventLoop,
        *,
        scale: float,
        segment_s: float,
        report_s: float,
        told_late_s: float,
        tell_every_s: float,
        idle_s: float = 3.0,
        orphan_s: float = 3.0,
        park_s: float = 600.0,
        media: Media | None = None,
        origins: tuple[str, ...] = ("*",),
        on_fallen: Callable[[BoxServer], None] | None = None,
    ) -> None:
        self.model, self.loop = model, loop
        self.idle_s, self.orphan_s, self.park_s = idle_s, orphan_s, park_s
        self._timers = Timers(loop)
        self.streams = NoticeStreams(loop)
        self.reports = LoadReports(
            model, loop, self._timers, self._tell, report_s=report_s, late_s=told_late_s, every_s=tell_every_s
        )
        self._segments = SegmentSender(
            model, loop, self._timers, media or Filler({}, frozenset(), segment_s, scale), scale
        )
        self._cors = Cors(origins)
        self.on_fallen = on_fallen
        self.on_segment: SegmentObserver | None = None
        self.owners = Owners()
        self.port = 0
        self._held_port: HeldPort | None = None
        self.up = False
        self.hanging = False
        self.lose_answers = 0.0  # the share of set-ups that are done and not answered
        self.answer_slowly = False
        self.set_ups = 0
        self.takes_refused = 0  # since their owner was still heard from
        self.set_ups_by_claim: dict[str, int] = {}
        self._server: Server | None = None
        self._tick: asyncio.TimerHandle | None = None

    # ---- Life ---------------------------------------------------------------------------------------------
    async def start(self, port: int = 0, cold: bool = False) -> None:
        """Begin to serve as a new process of the same name."""
        self.model.start(self.loop.time(), cold)
        self.owners = Owners()
        self.streams.restart()
        self.hanging, self.lose_answers, self.answer_slowly = False, 0.0, False
        self._server = Server(self.loop, self._asked, Limits(idle_time_ms=30_000.0), self._cors)
        if not (port or self.port):
            self._held_port = HeldPort()  # it returns on the same port
            self.port = self._held_port.port
        self.port = await self._server.listen("127.0.0.1", port or self.port)
        self.up = True
        self._tick = self.loop.call_later(TICK_S, self._on_tick)

    def die(self) -> None:
        """End as a killed process does: every connection is reset, nothing is told."""
        if not self.up or self._server is None:
            return
        self.up = False
        server, self._server = self._server, None
        if server._server is not None:
            server._server.close()
        for connection in list(server.connections):
            connection.abort()
        self._timers.cancel_all()
        if self._tick is not None:
            self._tick.cancel()
        self.streams.drop_all()
        self.model.stop()

    # ---- Requests -----------------------------------------------------------------------------------------
    def _asked(self, exchange: Exchange) -> None:
        if self.hanging:
            return
        parts = exchange.request.path.strip("/").split("/")
        match exchange.request.method, parts:
            case "PUT", ["sessions", set_up]:
                self._put(exchange, set_up)
            case "PUT", ["sessions", set_up, "rung"]:
                self._rung(exchange, set_up)
            case "PUT", ["sessions", set_up, "resume"]:
                self._resume(exchange, set_up)
            case "DELETE", ["sessions", set_up]:
                self._delete(exchange, set_up)
            case "POST", ["takeovers"]:
                self._takeover(exchange)
            case "GET", ["notices"]:
                self._notices(exchange)
            case "GET" | "HEAD", ["s", _, _, _, _, *_]:
                self._segments.answer(exchange, parts, self.on_segment)
            case _:
                exchange.reply_problem(404, "no such resource")

    def _put(self, exchange: Exchange, set_up: str) -> None:
        model, now = self.model, self.loop.time()
        try:
            order = msgspec.json.decode(exchange.request.body, type=SetUpRequest)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed set-up", str(error))
            return
        if order.boot_epoch and self.owners.fenced(order.director, order.boot_epoch, unix_ms()):
            self._refuse_fenced(exchange, order.director)
            return
        if order.boot and order.boot != model.boot:
            # meant for an earlier process, which may have been asked what became of it
            extra = (("foxlift-refusal", "rebooted"), (BOOT_HEADER, model.boot), *self.reports.header())
            exchange.reply_problem(503, "not this process of the box", extra=extra)
            return
        if set_up in model.sessions:
            self._done(exchange, 200, model.sessions[set_up])  # idempotent: it runs already
            return
        if model.gone.get(set_up, 0.0) > now:
            exchange.reply_problem(410, "released before it came")
            return
        if not self._has_room(exchange, now):
            return
        model.setting_up += 1
        self.set_ups += 1
        self.set_ups_by_claim[order.claim] = self.set_ups_by_claim.get(order.claim, 0) + 1
        lost = model.random.random() < self.lose_answers
        self._timers.call_later(
            model.set_up_time(now), lambda: self._set_up_done(exchange, set_up, order, lost)
        )

    def _has_room(self, exchange: Exchange, now: float) -> bool:
        """Whether one more session is taken; else it is refused here, or the box falls over."""
        why = self.model.takes(now)
        if self.model.fallen:
            self.die()
            if self.on_fallen is not None:
                self.on_fallen(self)
            return False
        if why is not None:
            self._refuse(exchange, why)
        return why is None

    def _refuse_fenced(self, exchange: Exchange, director: str, status: int = 503) -> None:
        """This run of the director is over here: which one is over is told, so that its next one is above."""
        if not exchange.disconnected:
            extra = (("foxlift-refusal", "fenced"), (FENCE_HEADER, str(self.owners.fences.get(director, 0))))
            exchange.reply_problem(status, "this run is over here", extra=(*extra, *self.reports.header()))

    def _refuse(self, exchange: Exchange, why: str, status: int = 503) -> None:
        """The box's own word that nothing was done."""
        if not exchange.disconnected:
            exchange.reply_problem(status, why, extra=(("foxlift-refusal", why), *self.reports.header()))

    def _set_up_done(self, exchange: Exchange, set_up: str, order: SetUpRequest, lost: bool) -> None:
        model, now = self.model, self.loop.time()
        model.setting_up -= 1
        if set_up in model.gone:
            if not exchange.disconnected:
                exchange.reply_problem(410, "released meanwhile")
            return
        if order.boot_epoch and self.owners.fenced(order.director, order.boot_epoch, unix_ms()):
            # taken over meanwhile: it never ran, and never will
            self._refuse_fenced(exchange, order.director)
            return
        session = BoxSession.from_order(set_up, order, now, unix_ms())
        model.sessions[set_up] = session
        if order.boot_epoch:
            self.owners.begin(set_up, order.director, order.boot_epoch, session.told_ms)
        model.counter += 1
        self.streams.expect(order.director)
        if lost or exchange.disconnected:
            return  # the work is done, the answer is lost
        if self.answer_slowly:
            self._drip(exchange)
        else:
            self._done(exchange, 201, session)

    def _done(self, exchange: Exchange, status: int, session: BoxSession) -> None:
        session.told_ms = session.told_ms or unix_ms()
        body = json.dumps(
            {"boot": self.model.boot, "counter": self.model.counter, "at": session.told_ms}
        ).encode()
        exchange.reply(status, (("content-type", "application/json"), *self.reports.header()), body)

    def _drip(self, exchange: Exchange) -> None:
        """A byte a second: the answer comes, but never in time."""
        stream = exchange.start_stream(201, (("content-type", "application/json"),))

        def drop() -> None:
            if not exchange.disconnected and self.up:
                stream.write(b" ")
                self._timers.call_later(1.0, drop)

        drop()

    def _rung(self, exchange: Exchange, set_up: str) -> None:
        session = self.model.sessions.get(set_up)
        if session is None:
            exchange.reply_problem(404, "no such session")
            return
        if not self._commands(exchange, set_up):
            return
        try:
            order = msgspec.json.decode(exchange.request.body, type=RungRequest)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed rung", str(error))
            return
        self._take_rung(session, order)
        session.told_ms = unix_ms()
        exchange.reply(204, self.reports.header())
        self._tell(session.director, RungInForce(set_up, order.rung, session.told_ms))

    def _commands(self, exchange: Exchange, set_up: str) -> bool:
        """Whether the sender owns the session; else it is told that it does not, and nothing is done."""
        name, _, run = exchange.request.headers.get(OWNER_HEADER, "").rpartition("/")
        if set_up not in self.owners.sessions or (
            run.isdigit() and self.owners.may_command(set_up, name, int(run))
        ):
            return True
        owned = self.owners.sessions[set_up]
        extra = (("foxlift-refusal", "not-owner"), (OWNER_HEADER, f"{owned.name}/{owned.run}"))
        exchange.reply_problem(409, "another director owns this session", extra=extra)
        return False

    def _take_rung(self, session: BoxSession, order: RungRequest) -> None:
        session.rung, session.rate_kb, session.max_kbps = order.rung, order.rate_kb, order.max_kbps

    def _resume(self, exchange: Exchange, set_up: str) -> None:
        """Take a parked session's place up again: the same set-up, so nothing is set up a second time."""
        model, now = self.model, self.loop.time()
        try:
            order = msgspec.json.decode(exchange.request.body, type=RungRequest)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed resume", str(error))
            return
        if set_up in model.sessions:
            self._done(exchange, 200, model.sessions[set_up])  # it plays: the answer was lost
            return
        if set_up not in model.parked:
            exchange.reply_problem(404, "no such session is parked here")
            return
        if not self._commands(exchange, set_up):
            return
        if not self._has_room(exchange, now):
            return
        session, _ = model.parked.pop(set_up)
        session.last_seen, session.told_ms, session.finished = now, 0, False
        self._take_rung(session, order)
        model.sessions[set_up] = session
        model.counter += 1
        self._done(exchange, 200, session)

    def _delete(self, exchange: Exchange, set_up: str) -> None:
        if not self._commands(exchange, set_up):
            return
        # kept for a while: a set-up that was sent before may come after
        self.model.gone[set_up] = self.loop.time() + RELEASE_MEMORY_S
        known = self.model.sessions.pop(set_up, None) or self.model.parked.pop(set_up, None)
        self.owners.over(set_up, unix_ms())
        if known is None:
            exchange.reply_problem(404, "no such session")
        else:
            exchange.reply(204)

    # ---- Between directors --------------------------------------------------------------------------------
    def _takeover(self, exchange: Exchange) -> None:
        """Compare and set: what `of` owns in runs up to `upto` is the asker's from now on."""
        owners, now_ms = self.owners, unix_ms()
        try:
            order = msgspec.json.decode(exchange.request.body, type=TakeoverRequest)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed takeover", str(error))
            return
        if owners.fenced(order.new_owner, order.boot_epoch, now_ms) or (
            order.former_owner == order.new_owner and order.max_epoch >= order.boot_epoch
        ):
            self._refuse_fenced(exchange, order.new_owner, 409)
            return
        if order.former_owner != order.new_owner and is_alive(order, owners, now_ms):
            self.takes_refused += 1
            self._refuse(exchange, "alive", 409)
            return
        answer, lost = take_over(order, self.model, owners, self.streams, self.loop.time(), now_ms)
        if lost is not None:
            self._tell(order.former_owner, lost)
        exchange.reply(200, (("content-type", "application/json"),), msgspec.json.encode(answer))

    # ---- Notices ------------------------------------------------------------------------------------------
    def _notices(self, exchange: Exchange) -> None:
        query = dict(pair.partition("=")[::2] for pair in exchange.request.query.split("&"))
        director, run = query.get("director", ""), query.get("run", "")
        keep = int(query["keep"]) if query.get("keep", "").isdigit() else 0
        if keep and self.owners.fenced(director, keep, unix_ms()):
            self._refuse_fenced(exchange, director, 409)
            return
        self.streams.close(director)
        for set_up, session in list(self.model.sessions.items()):
            kept = set_up in self.owners.sessions  # whoever owns it decides
            if not kept and session.director == director and session.run != f"{director}.{run}":
                del self.model.sessions[set_up]  # of a process of that director that is no more
        stream = exchange.start_stream(200, (("content-type", "text/event-stream"),))
        self.streams.add(director, stream)
        if keep:
            self.owners.streams[director] = keep
        exchange.on_disconnect = lambda: self._notices_gone(director, stream)
        ends = self.streams.kept_ends(director) if keep else ()
        hello = Hello(self.model.boot, self.model.counter, self._held_by(director, keep), ends)
        stream.write(encode_notice(hello))

    def _held_by(self, director: str, keep: int) -> tuple[str, ...]:
        """Set-ups of a director; with `keep`, its incarnation, without those that another one owns."""
        return tuple(
            session.set_up
            for session in self.model.sessions.values()
            if session.director == director
            and (not keep or self.owners.may_command(session.set_up, director, keep))
        )

    def _notices_gone(self, director: str, stream: ResponseStream) -> None:
        if self.streams.remove(director, stream):
            self.owners.streams.pop(director, None)

    def _tell(self, director: str, notice: BoxNotice) -> None:
        if not self.hanging:
            self.streams.send(director, notice)

    # ---- Ends ---------------------------------------------------------------------------------------------
    def _on_tick(self) -> None:
        now = self.loop.time()
        for session in list(self.model.sessions.values()):
            if session.streams == 0 and now - session.last_seen > self.idle_s:
                self._end_idle(session, now)
            elif self.streams.silence_s(session.director, now) > (session.grace_s or self.orphan_s):
                self._end_orphan(session, now)
        self.reports.tick(now)
        self._forget_expired(now)
        self._tick = self.loop.call_later(TICK_S, self._on_tick)

    def _forget_expired(self, now: float) -> None:
        """End what was parked for long enough, and forget releases whose set-up can no longer come."""
        model = self.model
        for set_up in [name for name, (_, until) in model.parked.items() if until < now]:
            del model.parked[set_up]
            self.owners.over(set_up, unix_ms())
        for set_up in [name for name, until in model.gone.items() if until < now]:
            del model.gone[set_up]

    def _end_idle(self, session: BoxSession, now: float) -> None:
        """Nothing was asked for: what is paid and has not played to its end may be taken up again."""
        if session.finished:
            self._end(session, "done")
        elif session.paid:
            self._end(session, "parked")
            self.model.parked[session.set_up] = (session, now + self.park_s)
        else:
            self._end(session, "left")

    def _end_orphan(self, session: BoxSession, now: float) -> None:
        """No director has come for it in all its grace."""
        del self.model.sessions[session.set_up]
        if session.set_up in self.owners.sessions:
            self.owners.over(session.set_up, unix_ms())
            ended = SessionEnded(session.set_up, "left", self._ended_ms(session, now))
            self.streams.keep_end(session.director, ended)

    def _end(self, session: BoxSession, how: str) -> None:
        del self.model.sessions[session.set_up]
        ended_ms = self._ended_ms(session, self.loop.time())
        owned = session.set_up in self.owners.sessions
        if how != "parked":
            self.owners.over(session.set_up, unix_ms())
        notice = SessionEnded(session.set_up, how, ended_ms)
        if owned and how != "parked":
            self.streams.keep_end(session.director, notice)
        self._tell(session.director, notice)

    @staticmethod
    def _ended_ms(session: BoxSession, now: float) -> int:
        """It ended when it was last sent something, not when that was noticed."""
        idle_ms = int((now - session.last_seen) * 1000)
        return max(unix_ms() - idle_ms, session.told_ms)  # two clocks: never before what was told

    # ---- Control ------------------------------------------------------------------------------------------
    def command(self, do: str, value: Any) -> None:
        """Carry out one trouble on command; starting and listing are the fleet's."""
        match do:
            case "hang":
                self.hanging = bool(value)
            case "lose-answers":
                self.lose_answers = float(value)
            case "answer-slowly":
                self.answer_slowly = bool(value)
            case "weaken":
                self.model.factor = float(value)
            case "delay-reports":
                self.reports.delay_s = float(value)
            case "drain":
                self.model.draining = bool(value)
            case _:
                raise ValueError(f"unknown command {do!r}")
