"""Core of a platform director, without sockets: messages in, messages and timers out.

The core makes no placement decisions. It passes each event to the module (`foxlift/logic.py`) in the order of
arrival and carries out the actions that the module returns. `foxlift.decide.attempts` tracks each attempt;
its log of intents is off, because a platform director has no disk that outlives it.

    session    event                                next       sent to the viewer
    (none)     START, valid                         REQUESTED  nothing yet
    (none)     START with `at`                      PLAYING    nothing
    REQUESTED  complete 200 of the server           PLAYING    STARTED with the server's description
    REQUESTED  the module refuses or fails it       (none)     FINISH, with a wait time where allowed
    REQUESTED  FINISH, or the connection closes     WITHDRAWN  FINISHED, if the connection is open
    REQUESTED  the process exits                    WITHDRAWN  FINISH
    WITHDRAWN  its attempt ends                     (none)     nothing
    PLAYING    its server releases it, or is lost   (none)     FINISH; nothing if its viewer ended it
    PLAYING    FINISH                               (none)     FINISHED

On the wire a session has a tag of 16 hexadecimal digits, inside the process a small number. Both are dropped
as soon as neither side expects a message about the session. Servers are identified by their number in the
list, never by address.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import Enum

from foxlift import interface as fl
from foxlift.decide import attempts as at
from foxlift.decide.driver import Driver, Trace
from foxlift.logic import Director
from foxlift.platform import discovery_watch, pool_messages, rtsp, viewers
from foxlift.platform import events as ev
from foxlift.platform.open_setups import OpenSetups
from foxlift.platform.pooled_connection import SetupAnswer
from foxlift.platform.session_endings import EndSource, SessionEndings
from foxlift.platform.settings import Address, Config, ListUpdate
from foxlift.platform.setup_ranges import invalid_figure
from foxlift.platform.used_tags import UsedTags
from foxlift.platform.viewer_releases import ViewerReleases, Write
from foxlift.wiresettings import LOAD_FIELDS

REFUSED, FAILED, NORMAL, INTERRUPTED, INVALID = 34, 41, 16, 41, 96  # causes of FINISH
MOVED = 31  # cause of a release at a server of which the viewer is not notified
# how long a handed-over session waits for the list to name its server: enough for a silent watch to reconnect
HANDOVER_TIMEOUT_MS = (
    discovery_watch.SILENCE_TIMEOUT_MS + discovery_watch.CONNECT_TIMEOUT_MS + discovery_watch.MAX_BACKOFF_MS
)
CLOCK_MARGIN_MS = 1000.0  # between the clocks of this process and of the list's start times
MAX_HANDOVERS = 4096  # waiting at the same time

_REFUSAL_OUTCOMES = {453: fl.Outcome.FULL, 454: fl.Outcome.NEVER_SENT, 504: fl.Outcome.RESET}  # others: ERROR
# of a set-up that was sent; with all other outcomes, its answer was received
_MISSING_ANSWERS = {
    fl.Outcome.TIMEOUT: SetupAnswer.OVERDUE,
    fl.Outcome.CANCELLED: SetupAnswer.CANCELLED,
}
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
    state: _State
    start: viewers.Start | None  # the set-up as requested; None once the session plays
    rung: int = 0
    attempts: int = 0  # made so far
    node: int = 0  # of the current attempt
    server_conn: int = 0  # on which the attempt was sent; 0: not sent yet; -1: closed
    sent_at: float = 0.0
    playing_since: float = 0.0
    release_message: bytes = b""  # sent to the server when the viewer or the module ends the session


class Core:
    """The core of one director. `create_module` and `trace` are for tests."""

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
        self.counts: Counter[str] = Counter()  # number of occurrences by kind; for the log and for tests
        self.list_received = False  # whether a full list was received
        self._classes, self._tenants = config.class_names, config.tenant_names
        self._columns = config.columns
        self._by_tag: dict[str, _Session] = {}
        self._open_setups = OpenSetups()
        self._used_tags = UsedTags()
        self.viewer_releases = ViewerReleases()
        self.session_endings = SessionEndings()
        # by tag: handed-over sessions whose server is not listed yet
        self._handovers: dict[str, tuple[int, viewers.Start]] = {}
        self._servers: dict[int, fl.NodeInfo] = {}
        self._addresses: dict[int, Address] = {}  # of listed servers and of others with playing sessions
        self._node_at: dict[Address, int] = {}  # inverse of `_addresses`
        self._playing: dict[int, set[int]] = {}  # by server: playing sessions
        # by server and connection: unanswered set-ups
        self._in_flight_on: dict[tuple[int, int], set[int]] = {}
        self._last_number = 0
        self._now = 0.0
        self._actions: list[ev.Action] = []

    # ---- State ---------------------------------------------------------------------------------------------
    @property
    def unanswered(self) -> int:
        """Number of open set-ups: accepted and not answered."""
        return self._open_setups.total

    def open_requests(self, conn: int) -> int:
        """Return the number of open set-ups of a viewer's connection."""
        return self._open_setups.count(conn)

    def connection_of(self, number: int) -> int:
        """Return the viewer's connection of a session; 0 if the session has ended."""
        session = self.sessions.get(number)
        return 0 if session is None else session.conn

    def table_sizes(self) -> dict[str, int]:
        """Return the number of entries in each table."""
        return {
            "sessions": len(self.sessions),
            "ids": len(self._by_tag),
            "connections": len(self._open_setups),
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
        """Return for each server the numbers of playing sessions and of unanswered set-ups."""
        in_flight = Counter(
            s.node for s in self.sessions.values() if s.state is not _State.PLAYING and s.node
        )
        return {
            node: (len(self._playing.get(node, ())), in_flight[node]) for node in {*self._playing, *in_flight}
        }

    # ---- Events --------------------------------------------------------------------------------------------
    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Handle one event and return the actions. `now`: Unix time in ms, which never steps back."""
        self._now, self._actions = now, []
        match event:
            case ev.ServerMessageReceived():
                self._handle_server_message(event)
            case ev.ViewerMessageReceived():
                self._handle_viewer_message(event)
            case ev.AttemptTimedOut(number, attempt):
                self._attempt_timed_out(number, attempt)
            case fl.Wake():
                self._notify_module(event)
            case ev.ViewerDisconnected(conn):
                self._viewer_disconnected(conn)
            case ev.ServerConnectionLost(node, conn, corrupt):
                self._server_connection_lost(node, conn, corrupt)
            case ev.SetupNotSent(number, node):
                if self._waiting(number, node) is not None:
                    self._attempt_lost(number, at.CallFailure.CONNECT)
            case ev.ServerLost(node, reason):
                self.counts["box lost, " + reason] += 1
                lost = [self.sessions[number].tag for number in sorted(self._playing.get(node, ()))]
                self._attempt(at.BoxLost(node))
                if reason == pool_messages.SILENT:  # it may only be unreachable and still play
                    for tag in lost:
                        self._send_release(node, 0, tag, rtsp.release(tag, INTERRUPTED))
            case ev.HandoverTimedOut(tag):
                found = self._handovers.pop(tag, None)
                if found is not None:
                    self._notify_module(self._seat_of(found[1], held=False))
                if found is not None and self.session_endings.find_end(now, tag, 0) is None:
                    self.counts["handover without a box"] += 1
                    self._release_viewer(found[0], tag, viewers.finish(tag, INTERRUPTED))
            case ev.ShutdownImminent():
                self._answer_requests(self._open_setups)
            case ev.ViewerEvicted(conn):
                self._answer_requests(self._open_setups.of(conn))
            case ev.ListUpdated(update):
                self._list_updated(update)
        return self._actions

    def take_setup(self, now: float, number: int, node: int, conn: int) -> bytes | None:
        """Record a set-up as sent and return its bytes, or None if it must not be sent any more."""
        self._now = now
        session = self._waiting(number, node)
        if session is None or now >= self.attempts.timeout_at(number):
            return None  # its time limit passed as the connection opened
        session.server_conn, session.sent_at = conn, now
        self._used_tags.add(now, session.tag)
        self._in_flight_on.setdefault((node, conn), set()).add(number)
        remaining_ms = max(self.attempts.timeout_at(number) - now, 1.0)
        klass = self.settings.classes[session.klass].name
        assert session.start is not None  # a session that waits for its set-up does not play
        body = session.start.description.encode()
        return rtsp.setup(session.tag, session.start.title, klass, session.rung, int(remaining_ms), body)

    def is_waiting(self, number: int, node: int) -> bool:
        """Return whether an attempt of the request at this server is not sent yet."""
        return self._waiting(number, node) is not None

    def _waiting(self, number: int, node: int) -> _Session | None:
        """Return the session if its current attempt is at this server and not sent yet."""
        session = self.sessions.get(number)
        if session is None or session.state is not _State.REQUESTED or not self.attempts.has_attempt(number):
            return None
        return session if session.node == node and not session.server_conn else None

    # ---- Viewers -------------------------------------------------------------------------------------------
    def _handle_viewer_message(self, event: ev.ViewerMessageReceived) -> None:
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
        """Answer an invalid set-up with an error; another connection's session with its tag is unaffected."""
        self._actions.append(ev.RecordProtocolError(conn))
        existing = self._by_tag.get(tag)
        if existing is None or existing.conn != conn:
            self._actions.append(ev.SendToViewer(conn, viewers.finish(tag, INVALID)))
            return
        # one connection used the tag twice with different content: end the first too, with the same answer
        if existing.state is _State.PLAYING:
            self._end_playing(existing, INVALID)
        else:
            self._withdraw(existing)
        self._actions.append(ev.SendToViewer(conn, viewers.finish(tag, INVALID)))

    def _start(self, conn: int, start: viewers.Start, waited_ms: float) -> None:
        klass = self._classes.get(start.klass)
        tenant = self._tenants.get(start.tenant, -1 if self._tenants else 0)
        if klass is None or tenant < 0 or invalid_figure(start, self.settings) is not None:
            self.counts["senseless"] += 1
            if start.plays_at is None:
                self._reject(conn, start.tag)
            return
        existing = self._by_tag.get(start.tag)
        if start.plays_at is not None:
            if existing is None and start.tag not in self._handovers:
                self._hand_over(conn, start, start.plays_at)
            return
        if existing is not None:
            self.counts["id in use"] += 1
            is_repetition = existing.conn == conn and existing.start == start
            if not is_repetition:  # of a repetition, the first is answered
                self._reject(conn, start.tag)
            return
        if self._used_tags.contains(self._now, start.tag):
            self.counts["id used before"] += 1
            self._reject(conn, start.tag)
            return
        if not self._open_setups.has_room(conn):
            self.counts["too many open set-ups"] += 1
            self._actions.append(ev.SendToViewer(conn, viewers.finish(start.tag, REFUSED)))
            return
        self.session_endings.expire(self._now)
        self._last_number += 1
        session = _Session(self._last_number, start.tag, conn, klass, _State.REQUESTED, start)
        self.sessions[session.number] = self._by_tag[start.tag] = session
        self._open_setups.add(conn, session.number)
        self._actions += [ev.ChangeViewerSessions(conn, 1), ev.SetupOpened(conn)]
        self.counts["asked"] += 1
        self._send_releases(self.viewer_releases.session_requested(self._now, conn))
        self._notify_module(
            self._module_request(
                session.number, start, klass, tenant, max(start.remaining_ms - waited_ms, 0.0)
            )
        )

    def _module_request(
        self, number: int, start: viewers.Start, klass: int, tenant: int, ttl_ms: float
    ) -> fl.Ask:
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

    def _seat_of(self, start: viewers.Start, held: bool) -> fl.SeatHeld:
        return fl.SeatHeld(int(start.title, 16), self._classes[start.klass], held)

    def _hand_over(self, conn: int, start: viewers.Start, node: int) -> None:
        if node not in self._servers:
            if len(self._handovers) >= MAX_HANDOVERS:
                self._release_viewer(conn, start.tag, viewers.finish(start.tag, INTERRUPTED))
                return
            self._handovers[start.tag] = conn, start
            self._notify_module(self._seat_of(start, held=True))
            self._actions.append(ev.StartTimer(HANDOVER_TIMEOUT_MS, ev.HandoverTimedOut(start.tag)))
            self._send_releases(self.viewer_releases.session_requested(self._now, conn))
            return
        recorded_end = self.session_endings.find_end(self._now, start.tag, node)
        if recorded_end is not None:
            source, cause = recorded_end
            self.counts["handed over after its end"] += 1
            if source is EndSource.SERVER:
                self._send_releases(self.viewer_releases.session_requested(self._now, conn))
                self._release_viewer(conn, start.tag, viewers.finish(start.tag, cause))
            elif source is EndSource.VIEWER:
                self._send_release(node, 0, start.tag, rtsp.release(start.tag, cause))
            return
        klass = self._classes[start.klass]
        tenant = self._tenants.get(start.tenant, 0)
        self._last_number += 1
        session = _Session(self._last_number, start.tag, conn, klass, _State.PLAYING, None)
        session.node, session.attempts, session.rung = node, 1, self.settings.classes[klass].floor
        session.playing_since = self._now
        self.sessions[session.number] = self._by_tag[start.tag] = session
        self.counts["handed over"] += 1
        self._send_releases(self.viewer_releases.session_started(self._now, conn))
        self._actions.append(ev.ChangeViewerSessions(conn, 1))
        self._attempt(at.Resume(session.number, node, session.rung))
        self._session_started(session.number, node)
        self._notify_module(fl.Resumed(self._module_request(session.number, start, klass, tenant, 0.0), node))

    def _finish(self, conn: int, tag: str, cause: int) -> None:
        session = self._by_tag.get(tag)
        self._actions.append(ev.SendToViewer(conn, viewers.finished(tag)))
        if session is None:
            self.counts["release of an unknown id"] += 1
            self.session_endings.record_end(self._now, tag, EndSource.VIEWER, cause=cause)
        elif session.state is _State.PLAYING:
            self.counts["ended by viewer"] += 1
            self._end_playing(session, cause)
            self._send_releases(self.viewer_releases.session_ended_by_viewer(self._now, conn))
        else:
            self.counts["given up"] += 1
            self._withdraw(session)

    def _end_playing(self, session: _Session, cause: int) -> None:
        """The viewer ended the session: release it at its server; the viewer gets no release."""
        session.release_message = rtsp.release(session.tag, cause)
        self._attempt(at.CancelSession(session.number))

    def _withdraw(self, session: _Session) -> None:
        """The viewer no longer waits for an answer."""
        self._request_answered(session)
        session.state = _State.WITHDRAWN
        self._actions.append(ev.ChangeViewerSessions(session.conn, -1))
        del self._by_tag[session.tag]
        self._notify_module(fl.Withdrawn(session.number))
        self._attempt(at.CancelSession(session.number))
        if not self.attempts.has_attempt(session.number):
            self.sessions.pop(session.number, None)

    def _answer_requests(self, numbers: Iterable[int]) -> None:
        """Answer open requests: FAILED if one may have run and must not be repeated, else REFUSED."""
        for number in sorted(numbers):
            session = self.sessions[number]
            free = self.settings.classes[session.klass].repeat is fl.Repeat.FREE
            ran = session.server_conn != 0 or self._driver.may_have_run(number)
            cause = FAILED if ran and not free else REFUSED
            self.counts["answered before its time"] += 1
            self._actions.append(ev.SendToViewer(session.conn, viewers.finish(session.tag, cause)))
            self._withdraw(session)

    def _viewer_disconnected(self, conn: int) -> None:
        for number in sorted(self._open_setups.of(conn)):
            session = self.sessions.get(number)
            if session is not None:
                self.counts["left with its connection"] += 1
                self._withdraw(session)
        self._send_releases(self.viewer_releases.connection_closed(self._now, conn))

    def _request_answered(self, session: _Session) -> None:
        """Remove the set-up from the open ones: it has its one answer or needs none."""
        if self._open_setups.remove(session.conn, session.number):
            has_started = session.state is _State.PLAYING
            self._actions.append(ev.SetupClosed(session.conn, has_started))

    def _forget(self, session: _Session) -> None:
        self.sessions.pop(session.number, None)
        if self._by_tag.get(session.tag) is session:
            del self._by_tag[session.tag]
        if session.state is not _State.WITHDRAWN:
            self._actions.append(ev.ChangeViewerSessions(session.conn, -1))

    # ---- The module ----------------------------------------------------------------------------------------
    def _log_fault(self, text: str) -> None:
        self.counts["exceptions"] += 1
        self._actions.append(ev.WriteLog("exception", text))

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
                self._answer_without_session(number, REFUSED, come_back_ms)
            case fl.Fail(number):
                self._answer_without_session(number, FAILED, 0.0)
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
                pass  # the list is always watched
            case fl.Probe():
                self.counts["probe not offered"] += 1

    def _answer_without_session(self, number: int, cause: int, wait_ms: float) -> None:
        session = self.sessions.get(number)
        if session is None or session.state is not _State.REQUESTED:
            return
        self.counts["refused" if cause == REFUSED else "failed"] += 1
        self._request_answered(session)
        self._actions.append(ev.SendToViewer(session.conn, viewers.finish(session.tag, cause, wait_ms)))
        self._forget(session)

    # ---- Attempts ------------------------------------------------------------------------------------------
    def _attempt(self, event: at.Event) -> None:
        for action in self.attempts.handle(self._now, event):
            match action:
                case at.StartSetUp(number, attempt, node, _, until):
                    self._actions.append(ev.QueueSetup(number, node))
                    delay = max(until - self._now, 0.0)
                    self._actions.append(ev.StartTimer(delay, ev.AttemptTimedOut(number, attempt)))
                case at.AbortSetUp(number, _, if_unsent):
                    self._abort_setup(number, if_unsent)
                case at.SendRung(number, _, node, rung):
                    session = self.sessions[number]
                    data = rtsp.set_rung(session.tag, rung)
                    self._actions.append(ev.SendToServer(node, session.server_conn, data))
                case at.Release(set_up, node):
                    self._release_attempt(set_up, node)
                case at.ReportStarted(number, attempt, node):
                    session = self.sessions[number]
                    elapsed = self._now - session.sent_at
                    self._session_started(number, node)
                    self._notify_module(fl.Started(number, node, attempt, elapsed))
                case at.ReportEnded():
                    self._attempt_ended(action)
                case at.WriteIntent():
                    raise AssertionError("a platform director keeps no log of intents")

    def _abort_setup(self, number: int, if_unsent: bool) -> None:
        session = self.sessions[number]
        if session.server_conn and if_unsent:
            return
        self._attempt_lost(number, at.CallFailure.CANCELLED)

    def _attempt_lost(self, number: int, failure: at.CallFailure) -> None:
        """The current attempt has failed without an answer."""
        session = self.sessions.get(number)
        if session is None or not self.attempts.has_attempt(number) or session.state is _State.PLAYING:
            return
        if not session.server_conn:
            self._actions.append(ev.CancelSetup(number, session.node))
        self._attempt(at.CallFailed(number, session.attempts - 1, failure, sent=session.server_conn != 0))

    def _attempt_timed_out(self, number: int, attempt: int) -> None:
        session = self.sessions.get(number)
        if session is None or session.attempts - 1 != attempt or session.state is _State.PLAYING:
            return
        if self.attempts.has_attempt(number):
            self.counts["timed out" if session.server_conn else "not connected in time"] += 1
            # a set-up that still waits for a connection was certainly not sent
            self._attempt_lost(
                number, at.CallFailure.TIMEOUT if session.server_conn else at.CallFailure.CONNECT
            )

    def _release_attempt(self, set_up: str, node: int) -> None:
        """Release what the server may run for this attempt."""
        own = self.attempts.attempt_of(set_up)
        session = None if own is None else self.sessions.get(own[0])
        if session is not None and session.server_conn >= 0:
            if session.state is _State.PLAYING:
                data = session.release_message or rtsp.release(session.tag, MOVED)
                self._send_release(node, session.server_conn, session.tag, data)
            else:
                # if the connection closes, the server drops the set-up anyway
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
            self._used_tags.add(self._now, session.tag)
            if ended.outcome is not fl.Outcome.CANCELLED:
                cause = NORMAL if ended.outcome is fl.Outcome.OK else INTERRUPTED
                self._release_viewer(session.conn, session.tag, viewers.finish(session.tag, cause))
            self._forget(session)
        else:
            self.counts["attempt " + ended.outcome.value] += 1
            if session.server_conn > 0:
                self._setup_finished(session)
                answer = _MISSING_ANSWERS.get(ended.outcome, SetupAnswer.RECEIVED)
                self._actions.append(ev.SetupFinished(ended.node, session.server_conn, answer))
            if session.state is _State.WITHDRAWN:
                self.sessions.pop(session.number, None)
        final = ended.had_started or session.state is _State.WITHDRAWN
        elapsed = self._now - session.sent_at
        session.server_conn = 0
        self._notify_module(
            fl.Ended(ended.session, ended.node, ended.attempt, ended.outcome, final, elapsed, ended.load)
        )

    def _release_viewer(self, conn: int, tag: str, data: bytes) -> None:
        """Send the viewer the release of an ended session."""
        self._send_releases(self.viewer_releases.add(self._now, conn, tag, data))

    def _send_releases(self, writes: list[Write]) -> None:
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
                self._forget_address(node)
        self._actions.append(ev.SetSessionCount(node, len(numbers)))

    def _setup_finished(self, session: _Session) -> None:
        """Remove the set-up from the unanswered ones of its server connection."""
        key = session.node, session.server_conn
        numbers = self._in_flight_on.get(key)
        if numbers is not None:
            numbers.discard(session.number)
            if not numbers:
                del self._in_flight_on[key]

    # ---- Servers -------------------------------------------------------------------------------------------
    def _handle_server_message(self, event: ev.ServerMessageReceived) -> None:
        message, node = event.message, event.node
        session = self._by_tag.get(message.session)
        if isinstance(message, rtsp.Response):
            if message.cseq == 1 and message.status >= 200:
                self._setup_response(event, message, session)
            elif message.cseq == 2:
                self.session_endings.confirmed(node, event.conn, message.session)
            return
        is_current = (
            session is not None and session.node == node and self.attempts.has_attempt(session.number)
        )
        if message.method == "TEARDOWN":
            self._actions.append(
                ev.SendToServer(node, event.conn, rtsp.confirm_release(message), this_connection_only=True)
            )
            if session is not None and is_current:
                self._ended_by_server(session, message)
            elif session is None:
                outcome = _RELEASE_OUTCOMES.get(_cause(message), fl.Outcome.RESET)
                if outcome is not fl.Outcome.CANCELLED:  # else the viewer gets no release
                    cause = NORMAL if outcome is fl.Outcome.OK else INTERRUPTED
                    self.session_endings.record_end(self._now, message.session, EndSource.SERVER, node, cause)
        elif message.method == "ANNOUNCE" and session is not None and is_current:
            kind, value = _NOTE_KINDS.get(message.headers.get("fail-word", "")), _value(message)
            if kind is fl.NoteKind.RUNG and value is not None and value >= len(self.settings.ladder_kb):
                return  # no such rung: ignore the note
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
        """Handle a response if it is to the current attempt, on the connection of that attempt."""
        if (
            session is None
            or session.state is not _State.REQUESTED
            or (session.node, session.server_conn) != (event.node, event.conn)
            or self.session_endings.is_abandoned(self._now, event.node, event.conn, session.tag)
        ):
            self.counts["answer that belongs to nothing"] += 1
            return
        if self._holds_foreign_message(message, session):
            self.counts["answer with another message in it"] += 1
            self._actions.append(ev.CloseCorruptConnection(event.node, event.conn))
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
        session.state, session.start, session.playing_since = _State.PLAYING, None, self._now
        self.counts["started"] += 1
        self._setup_finished(session)
        self._request_answered(session)
        self._actions.append(ev.SendToViewer(session.conn, viewers.started(session.tag, description)))
        self._send_releases(self.viewer_releases.session_started(self._now, session.conn))
        self._actions.append(ev.SetupFinished(event.node, event.conn))
        self._attempt(at.Answered(number, attempt, True, fl.Outcome.OK, load=load))

    def _holds_foreign_message(self, message: rtsp.Response, session: _Session) -> bool:
        """Return whether a message begins in the body that is not part of the viewer's own text.

        The body stopped short then, and what the server sent next was read as its missing part.
        """
        own_text = "" if session.start is None else session.start.description
        starts = rtsp.count_message_starts(message.body)
        return starts > 0 and starts > rtsp.count_message_starts(own_text.encode())

    def _reported_load(self, headers: dict[str, str]) -> fl.Load | None:
        """Return the columns named in the settings whose values are finite and not negative."""
        text = headers.get("link-state")
        if not text:
            return None
        named: dict[str, float] = {}
        for part in text.split(";"):
            name, _, value = part.partition(":")
            if name in self._columns:
                try:
                    load = float(value)
                except ValueError:
                    continue
                if 0 <= load < float("inf"):
                    named[LOAD_FIELDS[name]] = load
        return fl.Load(**named) if named else None

    def _server_connection_lost(self, node: int, conn: int, corrupt: bool) -> None:
        failure = at.CallFailure.UNREADABLE if corrupt else at.CallFailure.RESET
        for number in sorted(self._in_flight_on.pop((node, conn), ())):
            session = self.sessions.get(number)
            if session is not None:
                session.server_conn = -1  # it was sent, and its connection has closed
                self._attempt_lost(number, failure)
        self._actions += [
            ev.SendToServer(node, 0, data) for data in self.session_endings.connection_lost(self._now, node)
        ]

    # ---- Server list ---------------------------------------------------------------------------------------
    def _list_updated(self, update: ListUpdate) -> None:
        kind = fl.ListKind.FULL if update.full else fl.ListKind.DELTA
        self.list_received |= update.full
        unavailable: list[tuple[int, bool]] = []
        restarted: list[int] = []
        displaced: list[tuple[int, int]] = []  # with the server that has the address now
        infos = [server.info for server in update.servers]
        if update.full:
            named = {server.info.node for server in update.servers}
            unavailable += [(node, True) for node in sorted(self._servers) if node not in named]
        for server in update.servers:
            info = server.info
            if info.status is fl.Status.GONE:
                unavailable.append((info.node, True))
                continue
            previous = self._servers.get(info.node)  # None also if it was unlisted for a moment only
            if info.started_ms > (previous.started_ms if previous is not None else 0.0):
                restarted.append(info.node)
            other = self._node_at.get(server.address, info.node)
            if other != info.node:
                # the address belongs to another server now, so its former server and sessions are lost
                displaced.append((other, info.node))
                if other in self._servers:
                    infos.append(replace(self._servers[other], status=fl.Status.GONE))
                    unavailable.append((other, True))
            self._forget_address(info.node)
            self._servers[info.node], self._addresses[info.node] = info, server.address
            self._node_at[server.address] = info.node
            self._actions.append(ev.AddServer(info.node, server.address))
            if info.status is fl.Status.DRAINING:
                unavailable.append((info.node, False))
            else:
                self._attempt(at.BoxReady(info.node))
        for node, is_gone in unavailable:
            if is_gone:
                self._servers.pop(node, None)
                if node not in self._playing:
                    self._forget_address(node)
                self.session_endings.server_removed(node)
                self._actions.append(ev.RemoveServer(node))
        # the module first: attempts stopped below may be placed again at once, not at a draining server
        self._notify_module(fl.NodeList(kind, tuple(infos)))
        for node, is_gone in unavailable:
            self._attempt(at.BoxDraining(node, is_gone))
        for node in restarted:
            self._server_restarted(node)
        for node, successor in displaced:
            self._forget_address(node)
            self.counts["box lost, address taken"] += 1
            self._release_at_successor(node, successor)
            self._attempt(at.BoxLost(node))
        for tag, (conn, start) in list(self._handovers.items()):
            if start.plays_at is not None and start.plays_at in self._servers:
                del self._handovers[tag]
                self._notify_module(self._seat_of(start, held=False))
                self._hand_over(conn, start, start.plays_at)

    def _forget_address(self, node: int) -> None:
        """Remove the address of a server."""
        address = self._addresses.pop(node, None)
        if address is not None and self._node_at.get(address) == node:
            del self._node_at[address]

    def _release_at_successor(self, node: int, successor: int) -> None:
        """Release the sessions of a lost server at the one that has its address now.

        Set-ups that were sent to the address before the list told of the new process may play there. Their
        viewers are told that they are over.
        """
        info = self._servers.get(successor)
        if info is None:
            return  # its address has been given to yet another server
        since = info.started_ms - CLOCK_MARGIN_MS if info.started_ms else 0.0
        for number in sorted(self._playing.get(node, ())):
            session = self.sessions[number]
            if session.playing_since >= since:
                self._send_release(successor, 0, session.tag, rtsp.release(session.tag, INTERRUPTED))

    def _server_restarted(self, node: int) -> None:
        """End the sessions that played at the server before it restarted."""
        info = self._servers.get(node)
        if info is None:
            return  # the same update gave its address to another server, so all its sessions are lost anyway
        started_ms = info.started_ms
        for session in [self.sessions[number] for number in sorted(self._playing.get(node, ()))]:
            if session.playing_since < started_ms:
                self.counts["went with an old process"] += 1
                self._attempt(at.EndedAtBox(session.number, session.attempts - 1, fl.Outcome.RESET))


def _cause(message: rtsp.Request) -> int:
    """Return the cause of a release; 0 if it has no valid one."""
    cause = message.headers.get("reason", "").removeprefix("cause=")
    return int(cause) if cause.isascii() and cause.isdigit() and len(cause) < 4 else 0


def _value(message: rtsp.Request) -> float | None:
    try:
        value = float(message.headers.get("x-reading", ""))
    except ValueError:
        return None
    return value if 0 <= value < float("inf") else None
