"""A media box on sockets: the protocol of docs/box-protocol.md, segments, notices, and its troubles."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import msgspec

from foxlift.boxes.notices import (
    BoxNotice,
    Delivered,
    EndedThere,
    Hello,
    LinkUse,
    RungThere,
    TakenThere,
    encode_notice,
)
from foxlift.boxes.resource import RungOrder, SetUpOrder
from foxlift.boxes.takeover import BOOT, FENCE, MOST_TAKEN, OWNER, GoneThere, HeldThere, TakeAnswer, TakeOrder
from foxlift.http import Cors, Exchange, Headers, Limits, Request, Server, StreamOut
from foxlift.standins.media import Filler, Media
from foxlift.standins.model import BoxModel, BoxSession
from foxlift.standins.owners import Owners

TICK_S = 0.1
MOST_ENDS = 200  # of one director's sessions, kept for its next stream or run
PIECE_S = 0.25  # of its session's rate is sent at a time: what is small leaves whole, as from any shaper
PIECE_BYTES = 32_768


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
        self.scale, self.segment_s = scale, segment_s
        self.report_s, self.told_late_s, self.tell_every_s = report_s, told_late_s, tell_every_s
        self.idle_s, self.orphan_s, self.park_s = idle_s, orphan_s, park_s
        self.media: Media = media or Filler({}, frozenset(), segment_s, scale)
        self._cors = Cors(origins)
        self.on_fallen = on_fallen
        self.on_segment: Callable[[str, str, Request], None] | None = None
        self.owners = Owners()
        self.port = 0
        self.up = False
        self.hanging = False
        self.lose_answers = 0.0  # the share of set-ups that are done and not answered
        self.answer_slowly = False
        self.report_delay_s = 0.0
        self.set_ups = 0
        self.takes_refused = 0  # since their owner was still heard from
        self.set_ups_by_claim: dict[str, int] = {}
        self._server: Server | None = None
        self._ends: dict[str, dict[str, EndedThere]] = {}  # by director: ends of late, perhaps not heard
        self._streams: dict[str, tuple[str, StreamOut]] = {}  # by director: its run and stream
        self._stream_lost: dict[str, float] = {}
        self._report: tuple[float, float] = (-1e9, 0.0)
        self._told_at = 0.0
        self._short: set[str] = set()
        self._delivered_at = 0.0
        self._timers: set[asyncio.TimerHandle] = set()
        self._tick: asyncio.TimerHandle | None = None

    # ---- Life ---------------------------------------------------------------------------------------------
    async def start(self, port: int = 0, cold: bool = False) -> None:
        """Begin to serve as a new process of the same name."""
        self.model.start(self.loop.time(), cold)
        self.owners = Owners()
        self._ends.clear()
        self.hanging, self.lose_answers, self.answer_slowly = False, 0.0, False
        self._server = Server(self.loop, self._asked, Limits(idle_time_ms=30_000.0), self._cors)
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
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        if self._tick is not None:
            self._tick.cancel()
        self._streams.clear()
        self._stream_lost.clear()
        self.model.stop()

    def _later(self, delay: float, callback: Callable[[], None]) -> None:
        def due() -> None:
            self._timers.discard(handle)
            callback()

        handle = self.loop.call_later(delay, due)
        self._timers.add(handle)

    # ---- Requests -----------------------------------------------------------------------------------------
    def _asked(self, exchange: Exchange) -> None:
        if self.hanging:
            return
        parts = exchange.request.path.strip("/").split("/")
        method = exchange.request.method
        if parts[0] == "sessions" and len(parts) == 2 and method == "PUT":
            self._put(exchange, parts[1])
        elif parts[0] == "sessions" and len(parts) == 3 and parts[2] == "rung" and method == "PUT":
            self._rung(exchange, parts[1])
        elif parts[0] == "sessions" and len(parts) == 3 and parts[2] == "resume" and method == "PUT":
            self._resume(exchange, parts[1])
        elif parts[0] == "sessions" and len(parts) == 2 and method == "DELETE":
            self._delete(exchange, parts[1])
        elif parts == ["takeovers"] and method == "POST":
            self._takeover(exchange)
        elif parts == ["notices"] and method == "GET":
            self._notices(exchange)
        elif parts[0] == "s" and len(parts) >= 5 and method in ("GET", "HEAD"):
            self._segment(exchange, parts)
        else:
            exchange.reply_problem(404, "no such resource")

    def _load_header(self) -> Headers:
        """The report is refreshed now and then, and a little late."""
        now = self.loop.time()
        if now - self._report[0] >= self.report_s + self.report_delay_s:
            self._report = (now, self.model.use)
        metrics = {"named_metrics": {"link": round(self._report[1], 4)}}
        return (("endpoint-load-metrics", "JSON " + json.dumps(metrics)),)

    def _put(self, exchange: Exchange, set_up: str) -> None:
        model, now = self.model, self.loop.time()
        try:
            order = msgspec.json.decode(exchange.request.body, type=SetUpOrder)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed set-up", str(error))
            return
        if order.run and self.owners.fenced(order.director, order.run):
            self._refuse_fenced(exchange, order.director)
            return
        if order.boot and order.boot != model.boot:
            # meant for an earlier process, which may have been asked what became of it
            extra = (("foxlift-refusal", "rebooted"), (BOOT, model.boot), *self._load_header())
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
        self._later(model.set_up_time(now), lambda: self._set_up_done(exchange, set_up, order, lost))

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
        if not exchange.gone:
            extra = (("foxlift-refusal", "fenced"), (FENCE, str(self.owners.fences.get(director, 0))))
            exchange.reply_problem(status, "this run is over here", extra=(*extra, *self._load_header()))

    def _refuse(self, exchange: Exchange, why: str, status: int = 503) -> None:
        """The box's own word that nothing was done."""
        if not exchange.gone:
            exchange.reply_problem(status, why, extra=(("foxlift-refusal", why), *self._load_header()))

    def _set_up_done(self, exchange: Exchange, set_up: str, order: SetUpOrder, lost: bool) -> None:
        model, now = self.model, self.loop.time()
        model.setting_up -= 1
        if set_up in model.gone:
            if not exchange.gone:
                exchange.reply_problem(410, "released meanwhile")
            return
        if order.run and self.owners.fenced(order.director, order.run):
            self._refuse_fenced(
                exchange, order.director
            )  # taken over meanwhile: it never ran, and never will
            return
        director, _, _ = set_up.rpartition("-")[0].rpartition("-")
        model.sessions[set_up] = BoxSession(
            set_up, order.director, director, order.title, order.path_token, order.rate_kb, order.rung, now
        )
        session = model.sessions[set_up]
        session.paid, session.max_kbps = order.paid, order.max_kbps
        session.klass, session.tenant, session.claim = order.klass, order.tenant, order.claim
        session.note, session.grace_s = order.note, order.grace_ms / 1000
        session.told_ms = unix_ms()
        if order.run:
            self.owners.begin(set_up, order.director, order.run, session.told_ms)
        model.counter += 1
        self._stream_lost.setdefault(order.director, now)
        if order.director in self._streams:
            self._stream_lost.pop(order.director, None)
        if lost or exchange.gone:
            return  # the work is done, the answer is lost
        if self.answer_slowly:
            self._drip(exchange)
        else:
            self._done(exchange, 201, model.sessions[set_up])

    def _done(self, exchange: Exchange, status: int, session: BoxSession) -> None:
        session.told_ms = session.told_ms or unix_ms()
        body = json.dumps(
            {"boot": self.model.boot, "counter": self.model.counter, "at": session.told_ms}
        ).encode()
        exchange.reply(status, (("content-type", "application/json"), *self._load_header()), body)

    def _drip(self, exchange: Exchange) -> None:
        """A byte a second: the answer comes, but never in time."""
        stream = exchange.start_stream(201, (("content-type", "application/json"),))

        def drop() -> None:
            if not exchange.gone and self.up:
                stream.write(b" ")
                self._later(1.0, drop)

        drop()

    def _rung(self, exchange: Exchange, set_up: str) -> None:
        session = self.model.sessions.get(set_up)
        if session is None:
            exchange.reply_problem(404, "no such session")
            return
        if not self._commands(exchange, set_up):
            return
        try:
            order = msgspec.json.decode(exchange.request.body, type=RungOrder)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed rung", str(error))
            return
        self._take_rung(session, order)
        session.told_ms = unix_ms()
        exchange.reply(204, self._load_header())
        self._tell(session.director, RungThere(set_up, order.rung, session.told_ms))

    def _commands(self, exchange: Exchange, set_up: str) -> bool:
        """Whether the sender owns the session; else it is told that it does not, and nothing is done."""
        name, _, run = exchange.request.headers.get(OWNER, "").rpartition("/")
        if set_up not in self.owners.sessions or (
            run.isdigit() and self.owners.may_command(set_up, name, int(run))
        ):
            return True
        owned = self.owners.sessions[set_up]
        extra = (("foxlift-refusal", "not-owner"), (OWNER, f"{owned.name}/{owned.run}"))
        exchange.reply_problem(409, "another director owns this session", extra=extra)
        return False

    def _take_rung(self, session: BoxSession, order: RungOrder) -> None:
        session.rung, session.rate_kb, session.max_kbps = order.rung, order.rate_kb, order.max_kbps

    def _resume(self, exchange: Exchange, set_up: str) -> None:
        """Take a parked session's place up again: the same set-up, so nothing is set up a second time."""
        model, now = self.model, self.loop.time()
        try:
            order = msgspec.json.decode(exchange.request.body, type=RungOrder)
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
        self.model.gone[set_up] = self.loop.time() + 30.0
        known = self.model.sessions.pop(set_up, None) or self.model.parked.pop(set_up, None)
        self.owners.over(set_up, unix_ms())
        if known is None:
            exchange.reply_problem(404, "no such session")
        else:
            exchange.reply(204)

    # ---- Between directors --------------------------------------------------------------------------------
    def _takeover(self, exchange: Exchange) -> None:
        """Compare and set: what `of` owns in runs up to `upto` is the asker's from now on."""
        owners, model, now_ms = self.owners, self.model, unix_ms()
        try:
            order = msgspec.json.decode(exchange.request.body, type=TakeOrder)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed takeover", str(error))
            return
        if owners.fenced(order.by, order.run) or (order.of == order.by and order.upto >= order.run):
            self._refuse_fenced(exchange, order.by, 409)
            return
        if order.of != order.by and (heard := owners.streams.get(order.of, 0)):
            later = 0 < order.upto < heard
            if later or not order.certain:
                self.takes_refused += 1
                self._refuse(exchange, "alive", 409)
                return
        most = MOST_TAKEN
        taken = owners.take(order.of, order.upto, order.by, order.run, now_ms, order.only, most)
        for set_up in taken.set_ups:
            session = self._held(set_up)
            session.director = order.by
            session.told_ms = max(session.told_ms, now_ms)
        model.counter += len(taken.set_ups)  # an earlier hello does not tell of them
        if order.by not in self._streams:
            self._stream_lost.setdefault(order.by, self.loop.time())
        if taken.set_ups and order.of != order.by:
            self._tell(order.of, TakenThere(taken.set_ups, order.by, now_ms))
        yours = [
            set_up
            for set_up, owned in owners.sessions.items()
            if owned.taken
            and (owned.name, owned.run) == (order.by, order.run)
            and order.only in (None, set_up)
        ]
        only, owner = owners.became(order.only, order.by) if order.only else ("", "")
        own = order.of == order.by
        gone = {**owners.lost.get(order.by, {})} if own else {}
        gone |= {e.session: (e.at, "") for e in self._ends.get(order.by, {}).values()} if own else {}
        answer = TakeAnswer(
            model.boot,
            model.counter,
            now_ms,
            owners.forgot_ms,
            tuple(map(self._held_there, yours)),
            tuple(GoneThere(set_up, at, by) for set_up, (at, by) in gone.items()),
            taken.more,
            only,  # type: ignore[arg-type]
            owner,
        )
        exchange.reply(200, (("content-type", "application/json"),), msgspec.json.encode(answer))

    def _held(self, set_up: str) -> BoxSession:
        found = self.model.sessions.get(set_up)
        return found if found is not None else self.model.parked[set_up][0]

    def _held_there(self, set_up: str) -> HeldThere:
        session, owned = self._held(set_up), self.owners.sessions[set_up]
        _, until = self.model.parked.get(set_up, (None, 0.0))
        return HeldThere(
            set_up,
            session.title,
            session.klass,
            session.tenant,
            session.claim,
            session.paid,
            session.rung,
            session.path_token,
            session.note,
            owned.since_ms,
            max(int((until - self.loop.time()) * 1000), 1) if until else 0,
        )

    # ---- Segments -----------------------------------------------------------------------------------------
    def _segment(self, exchange: Exchange, parts: list[str]) -> None:
        session = self.model.sessions.get(parts[1])
        if session is None:
            # 410: let go while its viewer paused; the way back through the director takes it up again
            parked = parts[1] in self.model.parked
            title = "this session was let go while it paused" if parked else "no such session here"
            exchange.reply_problem(410 if parked else 404, title)
            return
        if session.path_token != parts[2]:
            exchange.reply_problem(403, "no such session here")
            return
        session.last_seen = self.loop.time()
        if self.on_segment is not None:
            self.on_segment(self.model.name, session.set_up, exchange.request)
        if "last=1" in exchange.request.query:
            session.finished = True
        asked_range = exchange.request.headers.get("range", "")
        part = self.media.part("/".join(parts[4:]), asked_range, session.rate_kb)
        if part.status == 404:
            exchange.reply_problem(404, "no such file in this title")
            return
        headers = part.headers
        if session.max_kbps:
            headers += (("cmsd-dynamic", f'"{self.model.name}";mb={session.max_kbps}'),)
        if exchange.request.method == "HEAD" or not part.body:
            exchange.start_stream(part.status, headers, len(part.body)).finish()
            return
        stream = exchange.start_stream(part.status, headers, len(part.body))
        session.streams += 1
        self._next_piece(exchange, stream, session, part.body, 0, session.rate_kb)

    def _next_piece(
        self,
        exchange: Exchange,
        stream: StreamOut,
        session: BoxSession,
        body: bytes,
        at: int,
        begun_kb: float,
    ) -> None:
        """Book the next piece and send it when the session's rate and the link would carry it.

        What was begun goes on at the rate at which it was begun: at that of a rung several lower, the rest of
        a segment took longer than any buffer, though its player would come down with the next one.
        """
        if at >= len(body):
            session.streams -= 1
            stream.finish()
            return
        rate, speed = max(session.rate_kb, begun_kb) * 1000 * self.scale, self.model.speed
        piece = body[at : at + max(min(int(rate * speed * PIECE_S), PIECE_BYTES), 1)]

        def send() -> None:
            if exchange.gone or self.model.sessions.get(session.set_up) is not session:
                session.streams -= 1
                exchange.abort()
                return
            session.last_seen = self.loop.time()
            stream.write(piece)
            self._next_piece(exchange, stream, session, body, at + len(piece), begun_kb)

        wait = session.wait(self.loop.time(), len(piece), rate, speed)
        if wait > 0:
            self._later(wait, send)
        else:
            send()

    # ---- Notices ------------------------------------------------------------------------------------------
    def _notices(self, exchange: Exchange) -> None:
        query = dict(pair.partition("=")[::2] for pair in exchange.request.query.split("&"))
        director, run = query.get("director", ""), query.get("run", "")
        keep = int(query["keep"]) if query.get("keep", "").isdigit() else 0
        if keep and self.owners.fenced(director, keep):
            self._refuse_fenced(exchange, director, 409)
            return
        old = self._streams.pop(director, None)
        if old is not None:
            old[1].finish()
        for set_up, session in list(self.model.sessions.items()):
            kept = set_up in self.owners.sessions  # whoever owns it decides
            if not kept and session.director == director and session.run != f"{director}.{run}":
                del self.model.sessions[set_up]  # of a process of that director that is no more
        stream = exchange.start_stream(200, (("content-type", "text/event-stream"),))
        self._streams[director] = (run, stream)
        self._stream_lost.pop(director, None)
        if keep:
            self.owners.streams[director] = keep
        exchange.on_gone = lambda: self._notices_gone(director, stream)
        held = tuple(
            s.set_up
            for s in self.model.sessions.values()
            if s.director == director
            and (
                not keep
                or s.set_up not in self.owners.sessions
                or self.owners.may_command(s.set_up, director, keep)
            )
        )
        ends = tuple(self._ends.get(director, {}).values()) if keep else ()
        stream.write(encode_notice(Hello(self.model.boot, self.model.counter, held, ends)))

    def _notices_gone(self, director: str, stream: StreamOut) -> None:
        if director in self._streams and self._streams[director][1] is stream:
            del self._streams[director]
            self.owners.streams.pop(director, None)
            self._stream_lost[director] = self.loop.time()

    def _tell(self, director: str, notice: BoxNotice) -> None:
        found = self._streams.get(director)
        if found is not None and not self.hanging:
            found[1].write(encode_notice(notice))

    def _on_tick(self) -> None:
        now, model = self.loop.time(), self.model
        for set_up, session in list(model.sessions.items()):
            alone = now - self._stream_lost.get(session.director, now)
            orphan = alone > (session.grace_s or self.orphan_s)
            if session.streams == 0 and now - session.last_seen > self.idle_s:
                park = session.paid and not session.finished
                self._end(session, "done" if session.finished else "parked" if park else "left")
                if park:
                    model.parked[set_up] = (session, now + self.park_s)
            elif orphan:
                del model.sessions[set_up]  # nobody has come for it in all its grace
                if set_up in self.owners.sessions:
                    self.owners.over(set_up, unix_ms())
                    seen_ms = unix_ms() - int((now - session.last_seen) * 1000)
                    ended = EndedThere(set_up, "left", max(seen_ms, session.told_ms))
                    self._keep_end(session.director, ended)
        if now - self._delivered_at >= 1.0:
            self._delivered_at = now
            self._tell_delivered()
        if now - self._told_at >= self.tell_every_s:
            self._told_at = now
            use = model.use
            for director, set_up in self._one_each().items():
                self._say_late(director, LinkUse(set_up, round(use, 4)))
        for set_up in [s for s, (_, until) in model.parked.items() if until < now]:
            del model.parked[set_up]
            self.owners.over(set_up, unix_ms())
        for set_up in [s for s, until in model.gone.items() if until < now]:
            del model.gone[set_up]
        self._tick = self.loop.call_later(TICK_S, self._on_tick)

    def _end(self, session: BoxSession, how: str) -> None:
        del self.model.sessions[session.set_up]
        # it ended when it was last sent something, not when that was noticed
        idle_ms = int((self.loop.time() - session.last_seen) * 1000)
        ended_ms = max(unix_ms() - idle_ms, session.told_ms)  # two clocks: never before what was told
        owned = session.set_up in self.owners.sessions
        if how != "parked":
            self.owners.over(session.set_up, unix_ms())
        notice = EndedThere(session.set_up, how, ended_ms)
        if owned and how != "parked":
            self._keep_end(session.director, notice)
        self._tell(session.director, notice)

    def _keep_end(self, director: str, notice: EndedThere) -> None:
        kept = self._ends.setdefault(director, {})
        kept[notice.session] = notice
        while len(kept) > MOST_ENDS:
            del kept[next(iter(kept))]

    def _one_each(self) -> dict[str, str]:
        return {session.director: session.set_up for session in self.model.sessions.values()}

    def _tell_delivered(self) -> None:
        share = round(self.model.share, 4)
        for director, set_up in self._one_each().items():
            if share < 0.98:
                self._short.add(director)
            elif director in self._short:
                self._short.discard(director)
            else:
                continue
            self._say_late(director, Delivered(set_up, share))

    def _say_late(self, director: str, notice: BoxNotice) -> None:
        self._later(self.told_late_s + self.report_delay_s, lambda: self._tell(director, notice))

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
                self.report_delay_s = float(value)
            case "drain":
                self.model.draining = bool(value)
            case _:
                raise ValueError(f"unknown command {do!r}")
