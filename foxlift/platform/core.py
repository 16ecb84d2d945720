"""One director on the platform without its sockets: messages in, messages and timers out.

Nothing of who plays where is decided here: the module (`foxlift/logic.py`) is told each event in the order in
which it came and what it returns is carried out. `foxlift.decide.attempts` keeps the life of each attempt;
its record of intents is off, since no disk of a platform director outlives it.

    session   event                             next      the viewer is told
    (none)    START that makes sense            ASKED     nothing yet
    (none)    START with `at`                   STANDS    nothing
    ASKED     the box's own whole 200           STANDS    STARTED with the box's description
    ASKED     the module refuses or fails it    (none)    FINISH, with a time to come back where allowed
    ASKED     FINISH, or the connection closes  LEFT      FINISHED, where there is someone to tell
    ASKED     the process ends                  LEFT      FINISH
    LEFT      its attempt ends                  (none)    nothing
    STANDS    the box releases it, or is lost   (none)    FINISH; nothing where its viewer ended it
    STANDS    FINISH                            (none)    FINISHED

Ids are 16 hex digits outside and small numbers inside; both are forgotten as soon as nothing is owed on
either side. Boxes are known by the number the list gives them, never by address.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from foxlift import interface as fl
from foxlift.decide import attempts as at
from foxlift.decide.driver import Driver, Trace
from foxlift.logic import Director
from foxlift.platform import events as ev
from foxlift.platform import feed, rtsp, viewers
from foxlift.platform import server_pool as ln
from foxlift.platform.farewells import Farewells, Word
from foxlift.platform.releases import Releases, Write
from foxlift.platform.settings import Address, Config, Told
from foxlift.wiresettings import LOAD_FIELDS

REFUSED, FAILED, NORMAL, CUT, SENSELESS = 34, 41, 16, 41, 96  # causes of FINISH
MOVED = 31  # cause of a release at a box whose viewer is not owed one
# how long a handed-over session waits for the list to name its box: a silent watch is asked anew by then
HANDOVER_MS = feed.SILENT_MS + feed.OPEN_MS + feed.LONGEST_WAIT_MS
MAX_HANDOVERS = 4096  # of those at once

_REFUSALS = {453: fl.Outcome.FULL, 454: fl.Outcome.NEVER_SENT, 504: fl.Outcome.RESET}  # others: ERROR
_RELEASES = {16: fl.Outcome.OK, 31: fl.Outcome.CANCELLED}  # others: RESET
_NOTES = {
    "delivered": fl.NoteKind.DELIVERED,
    "rung": fl.NoteKind.RUNG,
    "link": fl.NoteKind.LINK,
    "uplink": fl.NoteKind.UPLINK,
}


class _State(Enum):
    ASKED = "asked"
    LEFT = "left"
    STANDS = "stands"


@dataclass(slots=True)
class _Session:
    number: int
    tag: str
    conn: int  # of its viewer
    klass: int
    title: str
    description: str  # empty once it stands
    state: _State
    rung: int = 0
    attempts: int = 0  # made so far
    node: int = 0  # of the attempt that is out or plays
    box_conn: int = 0  # that the attempt left on; 0: it has not left
    sent_at: float = 0.0
    stands_since: float = 0.0
    farewell: bytes = b""  # what its box is told where it does not end there by itself


class Core:
    """A director. `make` and `trace` are for tests."""

    def __init__(
        self,
        config: Config,
        make: Callable[[fl.Settings, int], Director] = Director,
        trace: Trace | None = None,
    ) -> None:
        self.settings = config.module
        self.module = make(config.module, config.seed)
        self._driver = Driver(self.module, self._carry_out, self._fault, trace)
        self.attempts = at.Attempts("")
        self.sessions: dict[int, _Session] = {}
        self.counts: Counter[str] = Counter()  # what happened how often; for the last line and for tests
        self.listed = False  # whether a whole list was heard
        self._classes, self._tenants = config.class_names, config.tenant_names
        self._columns = config.columns
        self._by_tag: dict[str, _Session] = {}
        self._by_conn: dict[int, set[int]] = {}  # open set-ups of a viewer's connection
        self.releases = Releases()
        self.farewells = Farewells()
        self._handovers: dict[str, tuple[int, viewers.Start]] = {}  # by id: box is not on the list yet
        self._boxes: dict[int, fl.NodeInfo] = {}
        self._addresses: dict[int, Address] = {}  # of boxes listed, and of others that sessions play on
        self._holders: dict[Address, int] = {}  # the same the other way round
        self._standing: dict[int, set[int]] = {}  # by box: sessions that play there
        self._out_on: dict[tuple[int, int], set[int]] = {}  # by box and connection: set-ups without an end
        self._last = 0
        self._now = 0.0
        self._out: list[ev.Action] = []

    # ---- What is known ------------------------------------------------------------------------------------
    @property
    def unanswered(self) -> int:
        """Set-ups taken and not answered."""
        return sum(len(numbers) for numbers in self._by_conn.values())

    def open_on(self, conn: int) -> int:
        """Set-ups of a viewer's connection that are taken and not answered."""
        return len(self._by_conn.get(conn, ()))

    def connection_of(self, number: int) -> int:
        """The viewer's connection that a set-up came on; 0 where it is over."""
        session = self.sessions.get(number)
        return 0 if session is None else session.conn

    def sizes(self) -> dict[str, int]:
        """Entries in each table."""
        return {
            "sessions": len(self.sessions),
            "ids": len(self._by_tag),
            "connections": len(self._by_conn),
            "releases": len(self.releases),
            "handovers": len(self._handovers),
            "boxes": len(self._boxes),
            "attempts": self.attempts.live_count,
            "ghosts": self.attempts.orphan_count,
            "boxes played on": len(self._standing),
            "connections waited on": len(self._out_on),
            "requests": self._driver.unanswered,
            "module sessions": len(self.module.sessions),
            "module boxes": len(self.module.nodes),
        }

    def believed(self) -> dict[int, tuple[int, int]]:
        """For each box: sessions that play there, set-ups that are out."""
        out = Counter(s.node for s in self.sessions.values() if s.state is not _State.STANDS and s.node)
        return {node: (len(self._standing.get(node, ())), out[node]) for node in {*self._standing, *out}}

    # ---- Events -------------------------------------------------------------------------------------------
    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Take one event in. `now` is Unix time in ms as the module's clock keeps it: it never steps back."""
        self._now, self._out = now, []
        match event:
            case ev.FromBox():
                self._from_box(event)
            case ev.FromViewer():
                self._from_viewer(event)
            case ev.AttemptDue(number, attempt):
                self._attempt_due(number, attempt)
            case fl.Wake():
                self._tell(event)
            case ev.ViewerGone(conn):
                self._viewer_gone(conn)
            case ev.BoxConnectionLost(node, conn, spoilt):
                self._box_connection_lost(node, conn, spoilt)
            case ev.Unreached(number, node):
                if self._waiting(number, node) is not None:
                    self._lost(number, at.CallFailure.CONNECT)
            case ev.BoxLost(node, why):
                self.counts["box lost, " + why] += 1
                lost = [self.sessions[number].tag for number in sorted(self._standing.get(node, ()))]
                self._attempt(at.BoxLost(node))
                if why == ln.SILENT:  # it may have been cut off and play on for nobody
                    for tag in lost:
                        self._farewell(node, 0, tag, rtsp.release(tag, CUT))
            case ev.HandoverDue(tag):
                found = self._handovers.pop(tag, None)
                if found is not None and self.farewells.word(now, tag, 0) is None:
                    self.counts["handover without a box"] += 1
                    self._over(found[0], tag, viewers.finish(tag, CUT))
            case ev.LastAnswers():
                self._last_answers()
            case ev.Listed(told):
                self._list(told)
        return self._out

    def take(self, now: float, number: int, node: int, conn: int) -> bytes | None:
        """A connection is there: the set-up's bytes, or None where it is not to leave any more."""
        self._now = now
        session = self._waiting(number, node)
        if session is None or now >= self.attempts.timeout_at(number):
            return None  # its connection and its time-out came together, both too late
        session.box_conn, session.sent_at = conn, now
        self._out_on.setdefault((node, conn), set()).add(number)
        within = max(self.attempts.timeout_at(number) - now, 1.0)
        klass = self.settings.classes[session.klass].name
        body = session.description.encode()
        return rtsp.set_up(session.tag, session.title, klass, session.rung, int(within), body)

    def waits(self, number: int, node: int) -> bool:
        """Whether an attempt of the request at that very box has still to leave."""
        return self._waiting(number, node) is not None

    def _waiting(self, number: int, node: int) -> _Session | None:
        """The session, where an attempt of it at that very box has still to leave."""
        session = self.sessions.get(number)
        if session is None or session.state is not _State.ASKED or not self.attempts.has_attempt(number):
            return None
        return session if session.node == node and not session.box_conn else None

    # ---- Viewers ------------------------------------------------------------------------------------------
    def _from_viewer(self, event: ev.FromViewer) -> None:
        conn, message = event.conn, event.message
        match message:
            case viewers.Start():
                self._start(conn, message, event.waited_ms)
            case viewers.Finish(tag, cause):
                self._finish(conn, tag, cause)
            case viewers.Heard(tag):
                self.releases.confirmed(conn, tag)
            case viewers.Echo(tag):
                self._out.append(ev.ToViewer(conn, viewers.echoed(tag, self.listed)))
            case viewers.Senseless(tag, _):
                self.counts["senseless"] += 1
                self._turn_down(conn, tag)

    def _turn_down(self, conn: int, tag: str) -> None:
        """An error for what can't be served; its id may be that of another's session, which keeps its own."""
        self._out.append(ev.ProtocolError(conn))
        held = self._by_tag.get(tag)
        if held is None or held.conn != conn:
            self._out.append(ev.ToViewer(conn, viewers.finish(tag, SENSELESS)))
            return
        # the same connection says two things under one id: neither can be trusted, and both get one answer
        if held.state is _State.STANDS:
            self._end_standing(held, SENSELESS)
        else:
            self._withdraw(held)
        self._out.append(ev.ToViewer(conn, viewers.finish(tag, SENSELESS)))

    def _start(self, conn: int, start: viewers.Start, waited_ms: float) -> None:
        klass = self._classes.get(start.klass)
        tenant = self._tenants.get(start.tenant, -1 if self._tenants else 0)
        if klass is None or tenant < 0 or start.holders < 1 or start.first_cell >= self.settings.cells:
            self.counts["senseless"] += 1
            if start.plays_at is None:
                self._turn_down(conn, start.tag)
            return
        held = self._by_tag.get(start.tag)
        if start.plays_at is not None:
            if held is None and start.tag not in self._handovers:
                self._hand_over(conn, start, start.plays_at)
            return
        if held is not None:
            same = held.state is _State.ASKED and held.description == start.description
            self.counts["id in use"] += 1
            if not (same and held.conn == conn):  # sent twice: its first is answered
                self._turn_down(conn, start.tag)
            return
        self.farewells.expire(self._now)
        self._last += 1
        session = _Session(self._last, start.tag, conn, klass, start.title, start.description, _State.ASKED)
        self.sessions[session.number] = self._by_tag[start.tag] = session
        self._by_conn.setdefault(conn, set()).add(session.number)
        self._out.append(ev.ViewerSessions(conn, 1))
        self.counts["asked"] += 1
        self._write(self.releases.asked(self._now, conn))
        self._tell(self._ask(session.number, start, klass, tenant, max(start.left_ms - waited_ms, 0.0)))

    def _ask(self, number: int, start: viewers.Start, klass: int, tenant: int, ttl_ms: float) -> fl.Ask:
        rungs = len(self.settings.ladder_kb)
        return fl.Ask(
            session=number,
            klass=klass,
            title=int(start.title, 16),
            first_cell=start.first_cell,
            holders=start.holders,
            best_rung=min(start.top, rungs - 1),
            ttl_ms=ttl_ms,
            tenant=tenant,
            viewer=start.viewer,
            length_ms=start.hint_ms,
            again=start.again,
        )

    def _hand_over(self, conn: int, start: viewers.Start, node: int) -> None:
        if node not in self._boxes:
            if len(self._handovers) >= MAX_HANDOVERS:
                self._over(conn, start.tag, viewers.finish(start.tag, CUT))
                return
            self._handovers[start.tag] = conn, start
            self._out.append(ev.StartTimer(HANDOVER_MS, ev.HandoverDue(start.tag)))
            self._write(self.releases.asked(self._now, conn))
            return
        word = self.farewells.word(self._now, start.tag, node)
        if word is not None:
            who, cause = word
            self.counts["handed over after its end"] += 1
            if who is Word.BOX:
                self._write(self.releases.asked(self._now, conn))
                self._over(conn, start.tag, viewers.finish(start.tag, cause))
            elif who is Word.VIEWER:
                self._farewell(node, 0, start.tag, rtsp.release(start.tag, cause))
            return
        klass = self._classes[start.klass]
        tenant = self._tenants.get(start.tenant, 0)
        self._last += 1
        session = _Session(self._last, start.tag, conn, klass, start.title, "", _State.STANDS)
        session.node, session.attempts, session.rung = node, 1, self.settings.classes[klass].floor
        session.stands_since = self._now
        self.sessions[session.number] = self._by_tag[start.tag] = session
        self.counts["handed over"] += 1
        self._write(self.releases.served(self._now, conn))
        self._out.append(ev.ViewerSessions(conn, 1))
        self._attempt(at.Resume(session.number, node, session.rung))
        self._stands(session.number, node)
        self._tell(fl.Resumed(self._ask(session.number, start, klass, tenant, 0.0), node))

    def _finish(self, conn: int, tag: str, cause: int) -> None:
        session = self._by_tag.get(tag)
        self._out.append(ev.ToViewer(conn, viewers.finished(tag)))
        if session is None:
            self.counts["release of an unknown id"] += 1
            self.farewells.said(self._now, tag, Word.VIEWER, cause=cause)
        elif session.state is _State.STANDS:
            self.counts["ended by viewer"] += 1
            self._end_standing(session, cause)
        else:
            self.counts["given up"] += 1
            self._withdraw(session)

    def _end_standing(self, session: _Session, cause: int) -> None:
        """Its viewer wants no more: the box is told why, and the viewer is owed nothing."""
        session.farewell = rtsp.release(session.tag, cause)
        self._attempt(at.CancelSession(session.number))

    def _withdraw(self, session: _Session) -> None:
        """The viewer waits no longer."""
        self._answered(session)
        session.state = _State.LEFT
        self._out.append(ev.ViewerSessions(session.conn, -1))
        del self._by_tag[session.tag]
        self._tell(fl.Withdrawn(session.number))
        self._attempt(at.CancelSession(session.number))
        if not self.attempts.has_attempt(session.number):
            self.sessions.pop(session.number, None)

    def _last_answers(self) -> None:
        """What may have run and may not be repeated has failed; the rest is harmless to try elsewhere."""
        for number in sorted(number for numbers in self._by_conn.values() for number in numbers):
            session = self.sessions[number]
            free = self.settings.classes[session.klass].repeat is fl.Repeat.FREE
            ran = session.box_conn != 0 or self._driver.may_have_run(number)
            cause = FAILED if ran and not free else REFUSED
            self.counts["answered as the process ends"] += 1
            self._out.append(ev.ToViewer(session.conn, viewers.finish(session.tag, cause)))
            self._withdraw(session)

    def _viewer_gone(self, conn: int) -> None:
        for number in sorted(self._by_conn.get(conn, ())):
            session = self.sessions.get(number)
            if session is not None:
                self.counts["left with its connection"] += 1
                self._withdraw(session)
        self._write(self.releases.gone(self._now, conn))

    def _answered(self, session: _Session) -> None:
        """Its one answer is given, or not owed any more."""
        numbers = self._by_conn.get(session.conn)
        if numbers is not None:
            numbers.discard(session.number)
            if not numbers:
                del self._by_conn[session.conn]

    def _forget(self, session: _Session) -> None:
        self.sessions.pop(session.number, None)
        if self._by_tag.get(session.tag) is session:
            del self._by_tag[session.tag]
        if session.state is not _State.LEFT:
            self._out.append(ev.ViewerSessions(session.conn, -1))

    # ---- The module ---------------------------------------------------------------------------------------
    def _fault(self, words: str) -> None:
        self.counts["exceptions"] += 1
        self._out.append(ev.Say("exception", words))

    def _tell(self, event: fl.Event) -> None:
        self._driver.deliver(self._now, event)

    def _carry_out(self, action: fl.Action) -> None:
        match action:
            case fl.SetRung(number, rung):
                session = self.sessions.get(number)
                if session is not None:
                    session.rung = rung
                    self._attempt(at.RungChanged(number, rung))
            case fl.SetUp(number, node, within_ms):
                session = self.sessions[number]
                session.node, session.box_conn = node, 0
                attempt, session.attempts = session.attempts, session.attempts + 1
                self.counts["attempts"] += 1
                until = self._now + within_ms
                self._attempt(at.Send(number, attempt, node, session.rung, False, until))
            case fl.Refuse(number, come_back_ms):
                self._final(number, REFUSED, come_back_ms)
            case fl.Fail(number):
                self._final(number, FAILED, 0.0)
            case fl.SetTimer(delay_ms, token):
                self._out.append(ev.StartTimer(delay_ms, fl.Wake(token)))
            case fl.Cancel(number):
                self._attempt(at.CancelSession(number))
            case fl.Move(number):
                session = self.sessions.get(number)
                if session is not None and session.state is _State.STANDS:
                    session.farewell = rtsp.move(session.tag)
                    self._over(session.conn, session.tag, viewers.move(session.tag))
                    self._attempt(at.CancelSession(number))
            case fl.Log(text):
                self._out.append(ev.Say("module", text))
            case fl.WatchList() | fl.FetchList():
                pass  # the feed is always held
            case fl.Probe():
                self.counts["probe not offered"] += 1

    def _final(self, number: int, cause: int, wait_ms: float) -> None:
        session = self.sessions.get(number)
        if session is None or session.state is not _State.ASKED:
            return
        self.counts["refused" if cause == REFUSED else "failed"] += 1
        self._answered(session)
        self._out.append(ev.ToViewer(session.conn, viewers.finish(session.tag, cause, wait_ms)))
        self._forget(session)

    # ---- Attempts -----------------------------------------------------------------------------------------
    def _attempt(self, event: at.Event) -> None:
        for action in self.attempts.handle(self._now, event):
            match action:
                case at.StartSetUp(number, attempt, node, _, until):
                    self._out.append(ev.SendSetUp(number, node))
                    delay = max(until - self._now, 0.0)
                    self._out.append(ev.StartTimer(delay, ev.AttemptDue(number, attempt)))
                case at.AbortSetUp(number, _, if_unsent):
                    self._abort(number, if_unsent)
                case at.SendRung(number, _, node, rung):
                    session = self.sessions[number]
                    data = rtsp.new_rung(session.tag, rung)
                    self._out.append(ev.ToBox(node, session.box_conn, data))
                case at.Release(set_up, node):
                    self._release(set_up, node)
                case at.ReportStarted(number, attempt, node):
                    session = self.sessions[number]
                    elapsed = self._now - session.sent_at
                    self._stands(number, node)
                    self._tell(fl.Started(number, node, attempt, elapsed))
                case at.ReportEnded():
                    self._ended(action)
                case at.WriteIntent():
                    raise AssertionError("a platform director keeps no record of intents")

    def _abort(self, number: int, if_unsent: bool) -> None:
        session = self.sessions[number]
        if session.box_conn and if_unsent:
            return
        self._lost(number, at.CallFailure.CANCELLED)

    def _lost(self, number: int, loss: at.CallFailure) -> None:
        """The attempt that is out has no answer."""
        session = self.sessions.get(number)
        if session is None or not self.attempts.has_attempt(number) or session.state is _State.STANDS:
            return
        if not session.box_conn:
            self._out.append(ev.StopSetUp(number, session.node))
        self._attempt(at.CallFailed(number, session.attempts - 1, loss, sent=session.box_conn != 0))

    def _attempt_due(self, number: int, attempt: int) -> None:
        session = self.sessions.get(number)
        if session is None or session.attempts - 1 != attempt or session.state is _State.STANDS:
            return
        if self.attempts.has_attempt(number):
            self.counts["timed out" if session.box_conn else "not connected in time"] += 1
            # what waited for a connection all the while has provably not left
            self._lost(number, at.CallFailure.TIMEOUT if session.box_conn else at.CallFailure.CONNECT)

    def _release(self, set_up: str, node: int) -> None:
        """Nobody wants what the box may run for this attempt."""
        own = self.attempts.attempt_of(set_up)
        session = None if own is None else self.sessions.get(own[0])
        if session is not None and session.box_conn >= 0:
            if session.state is _State.STANDS:
                data = session.farewell or rtsp.release(session.tag, MOVED)
                self._farewell(node, session.box_conn, session.tag, data)
            else:
                # with its connection the set-up is given up anyhow
                data = rtsp.give_up(session.tag)
                self.farewells.gave_up(self._now, node, session.box_conn, session.tag)
                self._out.append(ev.ToBox(node, session.box_conn, data, only=True))
        self.attempts.handle(self._now, at.Released(set_up))

    def _farewell(self, node: int, conn: int, tag: str, data: bytes) -> None:
        self.farewells.sent(self._now, node, tag, data)
        self._out.append(ev.ToBox(node, conn, data))

    def _ended(self, told: at.ReportEnded) -> None:
        session = self.sessions[told.session]
        if told.had_started:
            self._stands_no_more(told.session, told.node)
            self.counts["ended, " + told.outcome.value] += 1
            self.farewells.said(self._now, session.tag, Word.PAST)
            if told.outcome is not fl.Outcome.CANCELLED:
                cause = NORMAL if told.outcome is fl.Outcome.OK else CUT
                self._over(session.conn, session.tag, viewers.finish(session.tag, cause))
            self._forget(session)
        else:
            self.counts["attempt " + told.outcome.value] += 1
            if session.box_conn > 0:
                self._no_longer_out(session)
                self._out.append(ev.SetUpEnded(told.node, session.box_conn))
            if session.state is _State.LEFT:
                self.sessions.pop(session.number, None)
        final = told.had_started or session.state is _State.LEFT
        elapsed = self._now - session.sent_at
        session.box_conn = 0
        self._tell(fl.Ended(told.session, told.node, told.attempt, told.outcome, final, elapsed, told.load))

    def _over(self, conn: int, tag: str, data: bytes) -> None:
        """A session is over and its viewer is owed this."""
        self._write(self.releases.over(self._now, conn, tag, data))

    def _write(self, writes: list[Write]) -> None:
        self._out += [ev.ToViewer(write.conn, write.data) for write in writes]

    def _stands(self, number: int, node: int) -> None:
        numbers = self._standing.setdefault(node, set())
        numbers.add(number)
        self._out.append(ev.Standing(node, len(numbers)))

    def _stands_no_more(self, number: int, node: int) -> None:
        numbers = self._standing[node]
        numbers.discard(number)
        if not numbers:
            del self._standing[node]
            if node not in self._boxes:
                self._leave(node)
        self._out.append(ev.Standing(node, len(numbers)))

    def _no_longer_out(self, session: _Session) -> None:
        """The set-up that left on the session's connection has its end."""
        key = session.node, session.box_conn
        numbers = self._out_on.get(key)
        if numbers is not None:
            numbers.discard(session.number)
            if not numbers:
                del self._out_on[key]

    # ---- Boxes --------------------------------------------------------------------------------------------
    def _from_box(self, event: ev.FromBox) -> None:
        message, node = event.message, event.node
        session = self._by_tag.get(message.session)
        if isinstance(message, rtsp.Answer):
            if message.cseq == 1 and message.status >= 200:
                self._answer(event, message, session)
            elif message.cseq == 2:
                self.farewells.heard(node, event.conn, message.session)
            return
        mine = session is not None and session.node == node and self.attempts.has_attempt(session.number)
        if message.method == "TEARDOWN":
            self._out.append(ev.ToBox(node, event.conn, rtsp.heard(message), only=True))
            if session is not None and mine:
                self._box_ended(session, message)
            elif session is None:
                outcome = _RELEASES.get(_cause(message), fl.Outcome.RESET)
                if outcome is not fl.Outcome.CANCELLED:  # else its viewer is owed nothing
                    cause = NORMAL if outcome is fl.Outcome.OK else CUT
                    self.farewells.said(self._now, message.session, Word.BOX, node, cause)
        elif message.method == "ANNOUNCE" and session is not None and mine:
            kind, value = _NOTES.get(message.headers.get("fail-word", "")), _value(message)
            if kind is fl.NoteKind.RUNG and value is not None and value >= len(self.settings.ladder_kb):
                return  # no such rung: the note says nothing
            if kind is not None and value is not None and session.state is _State.STANDS:
                self._tell(fl.Note(session.number, node, kind, value))

    def _box_ended(self, session: _Session, message: rtsp.Request) -> None:
        load = self._load(message.headers)
        attempt = session.attempts - 1
        if session.state is _State.STANDS:
            outcome = _RELEASES.get(_cause(message), fl.Outcome.RESET)
            self._attempt(at.EndedAtBox(session.number, attempt, outcome, load=load))
        elif session.box_conn:
            self._attempt(at.Answered(session.number, attempt, False, fl.Outcome.RESET, load=load))

    def _answer(self, event: ev.FromBox, message: rtsp.Answer, session: _Session | None) -> None:
        """Only an answer to the attempt that is out, on the connection it left on, is one."""
        if (
            session is None
            or session.state is not _State.ASKED
            or (session.node, session.box_conn) != (event.node, event.conn)
            or self.farewells.is_old(self._now, event.node, event.conn, session.tag)
        ):
            self.counts["answer that belongs to nothing"] += 1
            return
        number, attempt = session.number, session.attempts - 1
        load = self._load(message.headers)
        if message.status != 200:
            outcome = _REFUSALS.get(message.status, fl.Outcome.ERROR)
            self._attempt(at.Answered(number, attempt, False, outcome, load=load))
            return
        try:
            description = message.body.decode()
        except UnicodeDecodeError:
            description = ""
        if not description:
            self.counts["answer without a description"] += 1
            self._lost(number, at.CallFailure.UNREADABLE)
            return
        session.state, session.description, session.stands_since = _State.STANDS, "", self._now
        self.counts["started"] += 1
        self._no_longer_out(session)
        self._answered(session)
        self._out.append(ev.ToViewer(session.conn, viewers.started(session.tag, description)))
        self._write(self.releases.served(self._now, session.conn))
        self._out.append(ev.SetUpEnded(event.node, event.conn))
        self._attempt(at.Answered(number, attempt, True, fl.Outcome.OK, load=load))

    def _load(self, headers: dict[str, str]) -> fl.Load | None:
        """The columns that the settings name, where their values are finite and not negative."""
        text = headers.get("link-state")
        if not text:
            return None
        named: dict[str, float] = {}
        for part in text.split(";"):
            name, _, value = part.partition(":")
            if name in self._columns:
                try:
                    figure = float(value)
                except ValueError:
                    continue
                if 0 <= figure < float("inf"):
                    named[LOAD_FIELDS[name]] = figure
        return fl.Load(**named) if named else None

    def _box_connection_lost(self, node: int, conn: int, spoilt: bool) -> None:
        loss = at.CallFailure.UNREADABLE if spoilt else at.CallFailure.RESET
        for number in sorted(self._out_on.pop((node, conn), ())):
            session = self.sessions.get(number)
            if session is not None:
                session.box_conn = -1  # it had left, and there is nothing to write to any more
                self._lost(number, loss)
        self._out += [ev.ToBox(node, 0, data) for data in self.farewells.lost(self._now, node)]

    # ---- Box list -----------------------------------------------------------------------------------------
    def _list(self, told: Told) -> None:
        kind = fl.ListKind.FULL if told.whole else fl.ListKind.DELTA
        self.listed |= told.whole
        closed: list[tuple[int, bool]] = []
        restarted: list[int] = []
        taken: list[int] = []
        infos = [box.info for box in told.boxes]
        if told.whole:
            named = {box.info.node for box in told.boxes}
            closed += [(node, True) for node in sorted(self._boxes) if node not in named]
        for box in told.boxes:
            info = box.info
            if info.status is fl.Status.GONE:
                closed.append((info.node, True))
                continue
            before = self._boxes.get(info.node)  # None: it may have been off the list for a moment only
            if info.started_ms > (before.started_ms if before is not None else 0.0):
                restarted.append(info.node)
            other = self._holders.get(box.address, info.node)
            if other != info.node:
                # its address is another's now: what answers there is not what its sessions played on
                taken.append(other)
                if other in self._boxes:
                    infos.append(replace(self._boxes[other], status=fl.Status.GONE))
                    closed.append((other, True))
            self._leave(info.node)
            self._boxes[info.node], self._addresses[info.node] = info, box.address
            self._holders[box.address] = info.node
            self._out.append(ev.BoxListed(info.node, box.address))
            if info.status is fl.Status.DRAINING:
                closed.append((info.node, False))
            else:
                self._attempt(at.BoxReady(info.node))
        for node, gone in closed:
            if gone:
                self._boxes.pop(node, None)
                if node not in self._standing:
                    self._leave(node)
                self.farewells.gone(node)
                self._out.append(ev.BoxGone(node))
        # the module first: what is stopped below may be placed anew at once, and not at a box that drains
        self._tell(fl.NodeList(kind, tuple(infos)))
        for node, gone in closed:
            self._attempt(at.BoxDraining(node, gone))
        for node in restarted:
            self._restarted(node)
        for node in taken:
            self._leave(node)
            self.counts["box lost, address taken"] += 1
            self._attempt(at.BoxLost(node))
        for tag, (conn, start) in list(self._handovers.items()):
            if start.plays_at is not None and start.plays_at in self._boxes:
                del self._handovers[tag]
                self._hand_over(conn, start, start.plays_at)

    def _leave(self, node: int) -> None:
        """The box is not at the address that is known of it any more."""
        address = self._addresses.pop(node, None)
        if address is not None and self._holders.get(address) == node:
            del self._holders[address]

    def _restarted(self, node: int) -> None:
        """What stood there before the box's new start went with the old process."""
        info = self._boxes.get(node)
        if info is None:
            return  # its address is another's by the same event: all that stood there is lost with that
        started_ms = info.started_ms
        for session in [self.sessions[number] for number in sorted(self._standing.get(node, ()))]:
            if session.stands_since < started_ms:
                self.counts["went with an old process"] += 1
                self._attempt(at.EndedAtBox(session.number, session.attempts - 1, fl.Outcome.RESET))


def _cause(message: rtsp.Request) -> int:
    """Of a release; 0 where it names none that makes sense."""
    cause = message.headers.get("reason", "").removeprefix("cause=")
    return int(cause) if cause.isascii() and cause.isdigit() and len(cause) < 4 else 0


def _value(message: rtsp.Request) -> float | None:
    try:
        value = float(message.headers.get("x-reading", ""))
    except ValueError:
        return None
    return value if 0 <= value < float("inf") else None
