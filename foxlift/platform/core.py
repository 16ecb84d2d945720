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
from foxlift.platform import discovery_watch, rtsp, server_pool, viewers
from foxlift.platform import events as ev
from foxlift.platform.session_endings import EndSource, SessionEndings
from foxlift.platform.settings import Address, Config, ListUpdate
from foxlift.platform.viewer_releases import ViewerReleases, Write
from foxlift.wiresettings import LOAD_FIELDS

REFUSED, FAILED, NORMAL, INTERRUPTED, INVALID = 34, 41, 16, 41, 96  # causes of FINISH
MOVED = 31  # cause of a release at a box whose viewer is not owed one
# how long a handed-over session waits for the list to name its box: a silent watch is asked anew by then
HANDOVER_TIMEOUT_MS = (
    discovery_watch.SILENCE_TIMEOUT_MS + discovery_watch.CONNECT_TIMEOUT_MS + discovery_watch.MAX_BACKOFF_MS
)
MAX_HANDOVERS = 4096  # of those at once

_REFUSAL_OUTCOMES = {453: fl.Outcome.FULL, 454: fl.Outcome.NEVER_SENT, 504: fl.Outcome.RESET}  # others: ERROR
_RELEASE_OUTCOMES = {16: fl.Outcome.OK, 31: fl.Outcome.CANCELLED}  # others: RESET
_NOTE_KINDS = {
    "delivered": fl.NoteKind.DELIVERED,
    "rung": fl.NoteKind.RUNG,
    "link": fl.NoteKind.LINK,
    "uplink": fl.NoteKind.UPLINK,
}


class _State(Enum):
    REQUESTED = "asked"
    WITHDRAWN = "left"
    PLAYING = "stands"


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
    server_conn: int = 0  # that the attempt left on; 0: it has not left
    sent_at: float = 0.0
    playing_since: float = 0.0
    release_message: bytes = b""  # what its box is told where it does not end there by itself


class Core:
    """A director. `make` and `trace` are for tests."""

    def __init__(
        self,
        config: Config,
        create_module: Callable[[fl.Settings, int], Director] = Director,
        trace: Trace | None = None,
    ) -> None:
        self.settings = config.module
        self.module = create_module(config.module, config.seed)
        self._driver = Driver(self.module, self._carry_out, self._log_fault, trace)
        self.attempts = at.Attempts("")
        self.sessions: dict[int, _Session] = {}
        self.counts: Counter[str] = Counter()  # what happened how often; for the last line and for tests
        self.list_received = False  # whether a whole list was heard
        self._classes, self._tenants = config.class_names, config.tenant_names
        self._columns = config.columns
        self._by_tag: dict[str, _Session] = {}
        self._open_by_conn: dict[int, set[int]] = {}  # open set-ups of a viewer's connection
        self.viewer_releases = ViewerReleases()
        self.session_endings = SessionEndings()
        self._handovers: dict[str, tuple[int, viewers.Start]] = {}  # by id: box is not on the list yet
        self._servers: dict[int, fl.NodeInfo] = {}
        self._addresses: dict[int, Address] = {}  # of boxes listed, and of others that sessions play on
        self._node_at: dict[Address, int] = {}  # the same the other way round
        self._playing: dict[int, set[int]] = {}  # by box: sessions that play there
        self._in_flight_on: dict[
            tuple[int, int], set[int]
        ] = {}  # by box and connection: set-ups without an end
        self._last_number = 0
        self._now = 0.0
        self._actions: list[ev.Action] = []

    # ---- What is known ------------------------------------------------------------------------------------
    @property
    def unanswered(self) -> int:
        """Set-ups taken and not answered."""
        return sum(len(numbers) for numbers in self._open_by_conn.values())

    def open_requests(self, conn: int) -> int:
        """Set-ups of a viewer's connection that are taken and not answered."""
        return len(self._open_by_conn.get(conn, ()))

    def connection_of(self, number: int) -> int:
        """The viewer's connection that a set-up came on; 0 where it is over."""
        session = self.sessions.get(number)
        return 0 if session is None else session.conn

    def table_sizes(self) -> dict[str, int]:
        """Entries in each table."""
        return {
            "sessions": len(self.sessions),
            "ids": len(self._by_tag),
            "connections": len(self._open_by_conn),
            "releases": len(self.viewer_releases),
            "handovers": len(self._handovers),
            "boxes": len(self._servers),
            "attempts": self.attempts.live_count,
            "ghosts": self.attempts.orphan_count,
            "boxes played on": len(self._playing),
            "connections waited on": len(self._in_flight_on),
            "requests": self._driver.unanswered,
            "module sessions": len(self.module.sessions),
            "module boxes": len(self.module.nodes),
        }

    def server_usage(self) -> dict[int, tuple[int, int]]:
        """For each box: sessions that play there, set-ups that are out."""
        out = Counter(s.node for s in self.sessions.values() if s.state is not _State.PLAYING and s.node)
        return {node: (len(self._playing.get(node, ())), out[node]) for node in {*self._playing, *out}}

    # ---- Events -------------------------------------------------------------------------------------------
    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Take one event in. `now` is Unix time in ms as the module's clock keeps it: it never steps back."""
        self._now, self._actions = now, []
        match event:
            case ev.ServerMessageReceived():
                self._server_message(event)
            case ev.ViewerMessageReceived():
                self._viewer_message(event)
            case ev.AttemptTimedOut(number, attempt):
                self._attempt_due(number, attempt)
            case fl.Wake():
                self._notify_module(event)
            case ev.ViewerDisconnected(conn):
                self._viewer_disconnected(conn)
            case ev.ServerConnectionLost(node, conn, corrupt):
                self._server_connection_lost(node, conn, corrupt)
            case ev.SetupNotSent(number, node):
                if self._waiting(number, node) is not None:
                    self._attempt_lost(number, at.CallFailure.CONNECT)
            case ev.ServerLost(node, why):
                self.counts["box lost, " + why] += 1
                lost = [self.sessions[number].tag for number in sorted(self._playing.get(node, ()))]
                self._attempt(at.BoxLost(node))
                if why == server_pool.SILENT:  # it may have been cut off and play on for nobody
                    for tag in lost:
                        self._send_release(node, 0, tag, rtsp.release(tag, INTERRUPTED))
            case ev.HandoverTimedOut(tag):
                found = self._handovers.pop(tag, None)
                if found is not None and self.session_endings.find_end(now, tag, 0) is None:
                    self.counts["handover without a box"] += 1
                    self._release_viewer(found[0], tag, viewers.finish(tag, INTERRUPTED))
            case ev.ShutdownImminent():
                self._answer_open_requests()
            case ev.ListUpdated(update):
                self._list_updated(update)
        return self._actions

    def take_setup(self, now: float, number: int, node: int, conn: int) -> bytes | None:
        """A connection is there: the set-up's bytes, or None where it is not to leave any more."""
        self._now = now
        session = self._waiting(number, node)
        if session is None or now >= self.attempts.timeout_at(number):
            return None  # its connection and its time-out came together, both too late
        session.server_conn, session.sent_at = conn, now
        self._in_flight_on.setdefault((node, conn), set()).add(number)
        within = max(self.attempts.timeout_at(number) - now, 1.0)
        klass = self.settings.classes[session.klass].name
        body = session.description.encode()
        return rtsp.setup(session.tag, session.title, klass, session.rung, int(within), body)

    def is_waiting(self, number: int, node: int) -> bool:
        """Whether an attempt of the request at that very box has still to leave."""
        return self._waiting(number, node) is not None

    def _waiting(self, number: int, node: int) -> _Session | None:
        """The session, where an attempt of it at that very box has still to leave."""
        session = self.sessions.get(number)
        if session is None or session.state is not _State.REQUESTED or not self.attempts.has_attempt(number):
            return None
        return session if session.node == node and not session.server_conn else None

    # ---- Viewers ------------------------------------------------------------------------------------------
    def _viewer_message(self, event: ev.ViewerMessageReceived) -> None:
        conn, message = event.conn, event.message
        match message:
            case viewers.Start():
                self._start(conn, message, event.waited_ms)
            case viewers.Finish(tag, cause):
                self._finish(conn, tag, cause)
            case viewers.ReleaseConfirmed(tag):
                self.viewer_releases.confirmed(conn, tag)
            case viewers.Echo(tag):
                self._actions.append(ev.SendToViewer(conn, viewers.echoed(tag, self.list_received)))
            case viewers.InvalidSetup(tag, _):
                self.counts["senseless"] += 1
                self._reject(conn, tag)

    def _reject(self, conn: int, tag: str) -> None:
        """An error for what can't be served; its id may be that of another's session, which keeps its own."""
        self._actions.append(ev.RecordProtocolError(conn))
        held = self._by_tag.get(tag)
        if held is None or held.conn != conn:
            self._actions.append(ev.SendToViewer(conn, viewers.finish(tag, INVALID)))
            return
        # the same connection says two things under one id: neither can be trusted, and both get one answer
        if held.state is _State.PLAYING:
            self._end_playing(held, INVALID)
        else:
            self._withdraw(held)
        self._actions.append(ev.SendToViewer(conn, viewers.finish(tag, INVALID)))

    def _start(self, conn: int, start: viewers.Start, waited_ms: float) -> None:
        klass = self._classes.get(start.klass)
        tenant = self._tenants.get(start.tenant, -1 if self._tenants else 0)
        if klass is None or tenant < 0 or start.holders < 1 or start.first_cell >= self.settings.cells:
            self.counts["senseless"] += 1
            if start.plays_at is None:
                self._reject(conn, start.tag)
            return
        held = self._by_tag.get(start.tag)
        if start.plays_at is not None:
            if held is None and start.tag not in self._handovers:
                self._hand_over(conn, start, start.plays_at)
            return
        if held is not None:
            same = held.state is _State.REQUESTED and held.description == start.description
            self.counts["id in use"] += 1
            if not (same and held.conn == conn):  # sent twice: its first is answered
                self._reject(conn, start.tag)
            return
        self.session_endings.expire(self._now)
        self._last_number += 1
        session = _Session(
            self._last_number, start.tag, conn, klass, start.title, start.description, _State.REQUESTED
        )
        self.sessions[session.number] = self._by_tag[start.tag] = session
        self._open_by_conn.setdefault(conn, set()).add(session.number)
        self._actions.append(ev.ChangeViewerSessions(conn, 1))
        self.counts["asked"] += 1
        self._write(self.viewer_releases.session_requested(self._now, conn))
        self._notify_module(
            self._ask(session.number, start, klass, tenant, max(start.remaining_ms - waited_ms, 0.0))
        )

    def _ask(self, number: int, start: viewers.Start, klass: int, tenant: int, ttl_ms: float) -> fl.Ask:
        rungs = len(self.settings.ladder_kb)
        return fl.Ask(
            session=number,
            klass=klass,
            title=int(start.title, 16),
            first_cell=start.first_cell,
            holders=start.holders,
            best_rung=min(start.top_rung, rungs - 1),
            ttl_ms=ttl_ms,
            tenant=tenant,
            viewer=start.viewer,
            length_ms=start.length_hint_ms,
            again=start.again,
        )

    def _hand_over(self, conn: int, start: viewers.Start, node: int) -> None:
        if node not in self._servers:
            if len(self._handovers) >= MAX_HANDOVERS:
                self._release_viewer(conn, start.tag, viewers.finish(start.tag, INTERRUPTED))
                return
            self._handovers[start.tag] = conn, start
            self._actions.append(ev.StartTimer(HANDOVER_TIMEOUT_MS, ev.HandoverTimedOut(start.tag)))
            self._write(self.viewer_releases.session_requested(self._now, conn))
            return
        word = self.session_endings.find_end(self._now, start.tag, node)
        if word is not None:
            who, cause = word
            self.counts["handed over after its end"] += 1
            if who is EndSource.SERVER:
                self._write(self.viewer_releases.session_requested(self._now, conn))
                self._release_viewer(conn, start.tag, viewers.finish(start.tag, cause))
            elif who is EndSource.VIEWER:
                self._send_release(node, 0, start.tag, rtsp.release(start.tag, cause))
            return
        klass = self._classes[start.klass]
        tenant = self._tenants.get(start.tenant, 0)
        self._last_number += 1
        session = _Session(self._last_number, start.tag, conn, klass, start.title, "", _State.PLAYING)
        session.node, session.attempts, session.rung = node, 1, self.settings.classes[klass].floor
        session.playing_since = self._now
        self.sessions[session.number] = self._by_tag[start.tag] = session
        self.counts["handed over"] += 1
        self._write(self.viewer_releases.session_started(self._now, conn))
        self._actions.append(ev.ChangeViewerSessions(conn, 1))
        self._attempt(at.Resume(session.number, node, session.rung))
        self._session_started(session.number, node)
        self._notify_module(fl.Resumed(self._ask(session.number, start, klass, tenant, 0.0), node))

    def _finish(self, conn: int, tag: str, cause: int) -> None:
        session = self._by_tag.get(tag)
        self._actions.append(ev.SendToViewer(conn, viewers.finished(tag)))
        if session is None:
            self.counts["release of an unknown id"] += 1
            self.session_endings.record_end(self._now, tag, EndSource.VIEWER, cause=cause)
        elif session.state is _State.PLAYING:
            self.counts["ended by viewer"] += 1
            self._end_playing(session, cause)
        else:
            self.counts["given up"] += 1
            self._withdraw(session)

    def _end_playing(self, session: _Session, cause: int) -> None:
        """Its viewer wants no more: the box is told why, and the viewer is owed nothing."""
        session.release_message = rtsp.release(session.tag, cause)
        self._attempt(at.CancelSession(session.number))

    def _withdraw(self, session: _Session) -> None:
        """The viewer waits no longer."""
        self._request_answered(session)
        session.state = _State.WITHDRAWN
        self._actions.append(ev.ChangeViewerSessions(session.conn, -1))
        del self._by_tag[session.tag]
        self._notify_module(fl.Withdrawn(session.number))
        self._attempt(at.CancelSession(session.number))
        if not self.attempts.has_attempt(session.number):
            self.sessions.pop(session.number, None)

    def _answer_open_requests(self) -> None:
        """What may have run and may not be repeated has failed; the rest is harmless to try elsewhere."""
        for number in sorted(number for numbers in self._open_by_conn.values() for number in numbers):
            session = self.sessions[number]
            free = self.settings.classes[session.klass].repeat is fl.Repeat.FREE
            ran = session.server_conn != 0 or self._driver.may_have_run(number)
            cause = FAILED if ran and not free else REFUSED
            self.counts["answered as the process ends"] += 1
            self._actions.append(ev.SendToViewer(session.conn, viewers.finish(session.tag, cause)))
            self._withdraw(session)

    def _viewer_disconnected(self, conn: int) -> None:
        for number in sorted(self._open_by_conn.get(conn, ())):
            session = self.sessions.get(number)
            if session is not None:
                self.counts["left with its connection"] += 1
                self._withdraw(session)
        self._write(self.viewer_releases.connection_closed(self._now, conn))

    def _request_answered(self, session: _Session) -> None:
        """Its one answer is given, or not owed any more."""
        numbers = self._open_by_conn.get(session.conn)
        if numbers is not None:
            numbers.discard(session.number)
            if not numbers:
                del self._open_by_conn[session.conn]

    def _forget(self, session: _Session) -> None:
        self.sessions.pop(session.number, None)
        if self._by_tag.get(session.tag) is session:
            del self._by_tag[session.tag]
        if session.state is not _State.WITHDRAWN:
            self._actions.append(ev.ChangeViewerSessions(session.conn, -1))

    # ---- The module ---------------------------------------------------------------------------------------
    def _log_fault(self, words: str) -> None:
        self.counts["exceptions"] += 1
        self._actions.append(ev.WriteLog("exception", words))

    def _notify_module(self, event: fl.Event) -> None:
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
                session.node, session.server_conn = node, 0
                attempt, session.attempts = session.attempts, session.attempts + 1
                self.counts["attempts"] += 1
                until = self._now + within_ms
                self._attempt(at.Send(number, attempt, node, session.rung, False, until))
            case fl.Refuse(number, come_back_ms):
                self._reject_final(number, REFUSED, come_back_ms)
            case fl.Fail(number):
                self._reject_final(number, FAILED, 0.0)
            case fl.SetTimer(delay_ms, token):
                self._actions.append(ev.StartTimer(delay_ms, fl.Wake(token)))
            case fl.Cancel(number):
                self._attempt(at.CancelSession(number))
            case fl.Move(number):
                session = self.sessions.get(number)
                if session is not None and session.state is _State.PLAYING:
                    session.release_message = rtsp.move(session.tag)
                    self._release_viewer(session.conn, session.tag, viewers.move(session.tag))
                    self._attempt(at.CancelSession(number))
            case fl.Log(text):
                self._actions.append(ev.WriteLog("module", text))
            case fl.WatchList() | fl.FetchList():
                pass  # the feed is always held
            case fl.Probe():
                self.counts["probe not offered"] += 1

    def _reject_final(self, number: int, cause: int, wait_ms: float) -> None:
        session = self.sessions.get(number)
        if session is None or session.state is not _State.REQUESTED:
            return
        self.counts["refused" if cause == REFUSED else "failed"] += 1
        self._request_answered(session)
        self._actions.append(ev.SendToViewer(session.conn, viewers.finish(session.tag, cause, wait_ms)))
        self._forget(session)

    # ---- Attempts -----------------------------------------------------------------------------------------
    def _attempt(self, event: at.Event) -> None:
        for action in self.attempts.handle(self._now, event):
            match action:
                case at.StartSetUp(number, attempt, node, _, until):
                    self._actions.append(ev.QueueSetup(number, node))
                    delay = max(until - self._now, 0.0)
                    self._actions.append(ev.StartTimer(delay, ev.AttemptTimedOut(number, attempt)))
                case at.AbortSetUp(number, _, if_unsent):
                    self._abort(number, if_unsent)
                case at.SendRung(number, _, node, rung):
                    session = self.sessions[number]
                    data = rtsp.set_rung(session.tag, rung)
                    self._actions.append(ev.SendToServer(node, session.server_conn, data))
                case at.Release(set_up, node):
                    self._release(set_up, node)
                case at.ReportStarted(number, attempt, node):
                    session = self.sessions[number]
                    elapsed = self._now - session.sent_at
                    self._session_started(number, node)
                    self._notify_module(fl.Started(number, node, attempt, elapsed))
                case at.ReportEnded():
                    self._attempt_ended(action)
                case at.WriteIntent():
                    raise AssertionError("a platform director keeps no record of intents")

    def _abort(self, number: int, if_unsent: bool) -> None:
        session = self.sessions[number]
        if session.server_conn and if_unsent:
            return
        self._attempt_lost(number, at.CallFailure.CANCELLED)

    def _attempt_lost(self, number: int, loss: at.CallFailure) -> None:
        """The attempt that is out has no answer."""
        session = self.sessions.get(number)
        if session is None or not self.attempts.has_attempt(number) or session.state is _State.PLAYING:
            return
        if not session.server_conn:
            self._actions.append(ev.CancelSetup(number, session.node))
        self._attempt(at.CallFailed(number, session.attempts - 1, loss, sent=session.server_conn != 0))

    def _attempt_due(self, number: int, attempt: int) -> None:
        session = self.sessions.get(number)
        if session is None or session.attempts - 1 != attempt or session.state is _State.PLAYING:
            return
        if self.attempts.has_attempt(number):
            self.counts["timed out" if session.server_conn else "not connected in time"] += 1
            # what waited for a connection all the while has provably not left
            self._attempt_lost(
                number, at.CallFailure.TIMEOUT if session.server_conn else at.CallFailure.CONNECT
            )

    def _release(self, set_up: str, node: int) -> None:
        """Nobody wants what the box may run for this attempt."""
        own = self.attempts.attempt_of(set_up)
        session = None if own is None else self.sessions.get(own[0])
        if session is not None and session.server_conn >= 0:
            if session.state is _State.PLAYING:
                data = session.release_message or rtsp.release(session.tag, MOVED)
                self._send_release(node, session.server_conn, session.tag, data)
            else:
                # with its connection the set-up is given up anyhow
                data = rtsp.cancel_setup(session.tag)
                self.session_endings.setup_abandoned(self._now, node, session.server_conn, session.tag)
                self._actions.append(
                    ev.SendToServer(node, session.server_conn, data, this_connection_only=True)
                )
        self.attempts.handle(self._now, at.Released(set_up))

    def _send_release(self, node: int, conn: int, tag: str, data: bytes) -> None:
        self.session_endings.release_sent(self._now, node, tag, data)
        self._actions.append(ev.SendToServer(node, conn, data))

    def _attempt_ended(self, ended: at.ReportEnded) -> None:
        session = self.sessions[ended.session]
        if ended.had_started:
            self._session_stopped(ended.session, ended.node)
            self.counts["ended, " + ended.outcome.value] += 1
            self.session_endings.record_end(self._now, session.tag, EndSource.EARLIER)
            if ended.outcome is not fl.Outcome.CANCELLED:
                cause = NORMAL if ended.outcome is fl.Outcome.OK else INTERRUPTED
                self._release_viewer(session.conn, session.tag, viewers.finish(session.tag, cause))
            self._forget(session)
        else:
            self.counts["attempt " + ended.outcome.value] += 1
            if session.server_conn > 0:
                self._setup_finished(session)
                self._actions.append(ev.SetupFinished(ended.node, session.server_conn))
            if session.state is _State.WITHDRAWN:
                self.sessions.pop(session.number, None)
        final = ended.had_started or session.state is _State.WITHDRAWN
        elapsed = self._now - session.sent_at
        session.server_conn = 0
        self._notify_module(
            fl.Ended(ended.session, ended.node, ended.attempt, ended.outcome, final, elapsed, ended.load)
        )

    def _release_viewer(self, conn: int, tag: str, data: bytes) -> None:
        """A session is over and its viewer is owed this."""
        self._write(self.viewer_releases.add(self._now, conn, tag, data))

    def _write(self, writes: list[Write]) -> None:
        self._actions += [ev.SendToViewer(write.conn, write.data) for write in writes]

    def _session_started(self, number: int, node: int) -> None:
        numbers = self._playing.setdefault(node, set())
        numbers.add(number)
        self._actions.append(ev.SetSessionCount(node, len(numbers)))

    def _session_stopped(self, number: int, node: int) -> None:
        numbers = self._playing[node]
        numbers.discard(number)
        if not numbers:
            del self._playing[node]
            if node not in self._servers:
                self._release_address(node)
        self._actions.append(ev.SetSessionCount(node, len(numbers)))

    def _setup_finished(self, session: _Session) -> None:
        """The set-up that left on the session's connection has its end."""
        key = session.node, session.server_conn
        numbers = self._in_flight_on.get(key)
        if numbers is not None:
            numbers.discard(session.number)
            if not numbers:
                del self._in_flight_on[key]

    # ---- Boxes --------------------------------------------------------------------------------------------
    def _server_message(self, event: ev.ServerMessageReceived) -> None:
        message, node = event.message, event.node
        session = self._by_tag.get(message.session)
        if isinstance(message, rtsp.Response):
            if message.cseq == 1 and message.status >= 200:
                self._setup_response(event, message, session)
            elif message.cseq == 2:
                self.session_endings.confirmed(node, event.conn, message.session)
            return
        mine = session is not None and session.node == node and self.attempts.has_attempt(session.number)
        if message.method == "TEARDOWN":
            self._actions.append(
                ev.SendToServer(node, event.conn, rtsp.confirm_release(message), this_connection_only=True)
            )
            if session is not None and mine:
                self._ended_by_server(session, message)
            elif session is None:
                outcome = _RELEASE_OUTCOMES.get(_cause(message), fl.Outcome.RESET)
                if outcome is not fl.Outcome.CANCELLED:  # else its viewer is owed nothing
                    cause = NORMAL if outcome is fl.Outcome.OK else INTERRUPTED
                    self.session_endings.record_end(self._now, message.session, EndSource.SERVER, node, cause)
        elif message.method == "ANNOUNCE" and session is not None and mine:
            kind, value = _NOTE_KINDS.get(message.headers.get("fail-word", "")), _value(message)
            if kind is fl.NoteKind.RUNG and value is not None and value >= len(self.settings.ladder_kb):
                return  # no such rung: the note says nothing
            if kind is not None and value is not None and session.state is _State.PLAYING:
                self._notify_module(fl.Note(session.number, node, kind, value))

    def _ended_by_server(self, session: _Session, message: rtsp.Request) -> None:
        load = self._reported_load(message.headers)
        attempt = session.attempts - 1
        if session.state is _State.PLAYING:
            outcome = _RELEASE_OUTCOMES.get(_cause(message), fl.Outcome.RESET)
            self._attempt(at.EndedAtBox(session.number, attempt, outcome, load=load))
        elif session.server_conn:
            self._attempt(at.Answered(session.number, attempt, False, fl.Outcome.RESET, load=load))

    def _setup_response(
        self, event: ev.ServerMessageReceived, message: rtsp.Response, session: _Session | None
    ) -> None:
        """Only an answer to the attempt that is out, on the connection it left on, is one."""
        if (
            session is None
            or session.state is not _State.REQUESTED
            or (session.node, session.server_conn) != (event.node, event.conn)
            or self.session_endings.is_abandoned(self._now, event.node, event.conn, session.tag)
        ):
            self.counts["answer that belongs to nothing"] += 1
            return
        number, attempt = session.number, session.attempts - 1
        load = self._reported_load(message.headers)
        if message.status != 200:
            outcome = _REFUSAL_OUTCOMES.get(message.status, fl.Outcome.ERROR)
            self._attempt(at.Answered(number, attempt, False, outcome, load=load))
            return
        try:
            description = message.body.decode()
        except UnicodeDecodeError:
            description = ""
        if not description:
            self.counts["answer without a description"] += 1
            self._attempt_lost(number, at.CallFailure.UNREADABLE)
            return
        session.state, session.description, session.playing_since = _State.PLAYING, "", self._now
        self.counts["started"] += 1
        self._setup_finished(session)
        self._request_answered(session)
        self._actions.append(ev.SendToViewer(session.conn, viewers.started(session.tag, description)))
        self._write(self.viewer_releases.session_started(self._now, session.conn))
        self._actions.append(ev.SetupFinished(event.node, event.conn))
        self._attempt(at.Answered(number, attempt, True, fl.Outcome.OK, load=load))

    def _reported_load(self, headers: dict[str, str]) -> fl.Load | None:
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

    def _server_connection_lost(self, node: int, conn: int, corrupt: bool) -> None:
        loss = at.CallFailure.UNREADABLE if corrupt else at.CallFailure.RESET
        for number in sorted(self._in_flight_on.pop((node, conn), ())):
            session = self.sessions.get(number)
            if session is not None:
                session.server_conn = -1  # it had left, and there is nothing to write to any more
                self._attempt_lost(number, loss)
        self._actions += [
            ev.SendToServer(node, 0, data) for data in self.session_endings.connection_lost(self._now, node)
        ]

    # ---- Box list -----------------------------------------------------------------------------------------
    def _list_updated(self, update: ListUpdate) -> None:
        kind = fl.ListKind.FULL if update.full else fl.ListKind.DELTA
        self.list_received |= update.full
        closed: list[tuple[int, bool]] = []
        restarted: list[int] = []
        taken: list[int] = []
        infos = [server.info for server in update.servers]
        if update.full:
            named = {server.info.node for server in update.servers}
            closed += [(node, True) for node in sorted(self._servers) if node not in named]
        for server in update.servers:
            info = server.info
            if info.status is fl.Status.GONE:
                closed.append((info.node, True))
                continue
            before = self._servers.get(info.node)  # None: it may have been off the list for a moment only
            if info.started_ms > (before.started_ms if before is not None else 0.0):
                restarted.append(info.node)
            other = self._node_at.get(server.address, info.node)
            if other != info.node:
                # its address is another's now: what answers there is not what its sessions played on
                taken.append(other)
                if other in self._servers:
                    infos.append(replace(self._servers[other], status=fl.Status.GONE))
                    closed.append((other, True))
            self._release_address(info.node)
            self._servers[info.node], self._addresses[info.node] = info, server.address
            self._node_at[server.address] = info.node
            self._actions.append(ev.AddServer(info.node, server.address))
            if info.status is fl.Status.DRAINING:
                closed.append((info.node, False))
            else:
                self._attempt(at.BoxReady(info.node))
        for node, gone in closed:
            if gone:
                self._servers.pop(node, None)
                if node not in self._playing:
                    self._release_address(node)
                self.session_endings.server_removed(node)
                self._actions.append(ev.RemoveServer(node))
        # the module first: what is stopped below may be placed anew at once, and not at a box that drains
        self._notify_module(fl.NodeList(kind, tuple(infos)))
        for node, gone in closed:
            self._attempt(at.BoxDraining(node, gone))
        for node in restarted:
            self._server_restarted(node)
        for node in taken:
            self._release_address(node)
            self.counts["box lost, address taken"] += 1
            self._attempt(at.BoxLost(node))
        for tag, (conn, start) in list(self._handovers.items()):
            if start.plays_at is not None and start.plays_at in self._servers:
                del self._handovers[tag]
                self._hand_over(conn, start, start.plays_at)

    def _release_address(self, node: int) -> None:
        """The box is not at the address that is known of it any more."""
        address = self._addresses.pop(node, None)
        if address is not None and self._node_at.get(address) == node:
            del self._node_at[address]

    def _server_restarted(self, node: int) -> None:
        """What stood there before the box's new start went with the old process."""
        info = self._servers.get(node)
        if info is None:
            return  # its address is another's by the same event: all that stood there is lost with that
        started_ms = info.started_ms
        for session in [self.sessions[number] for number in sorted(self._playing.get(node, ()))]:
            if session.playing_since < started_ms:
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
