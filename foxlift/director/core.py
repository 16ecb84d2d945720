"""The core of a director, without I/O: takes protocol events and returns actions.

The core does not decide where a session plays: it passes each event to the module (`foxlift/logic.py`), in
order of arrival, and carries out the actions that the module returns. It also runs the state machines of
`foxlift.decide` and `foxlift.membership`. The output of one is fed to the next within the same call, so that
all of them know, for example, of a drain before the next event is handled.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from hashlib import blake2b
from math import ceil

from foxlift import interface as fl
from foxlift import ledger as lg
from foxlift.boxes import Delivered, Hello, LinkUse, OwnershipLost, RungInForce, SessionEnded
from foxlift.config import DirectorConfig, module_settings
from foxlift.decide import attempts as at
from foxlift.decide import links as ln
from foxlift.decide import token_sessions as ts
from foxlift.decide.driver import Driver, Trace
from foxlift.director import events as ev
from foxlift.logic import Director
from foxlift.membership import (
    BoxEntry,
    BoxList,
    CacheList,
    ListFailed,
    ListReceived,
    ListWatch,
    Poll,
    PollDue,
    PublishList,
    SchedulePoll,
)
from foxlift.store import IntentOutcome
from foxlift.tokens import SessionToken
from foxlift.zones.evidence import ZoneObservation

CONTACT_TTL_MS = 5000.0  # how long the last contact with a box counts as evidence of its zone


class Contact(Enum):
    """How the last attempt to reach a box ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


CONTACT_OF_LOSS = {
    at.CallFailure.CONNECT: Contact.REFUSED,
    at.CallFailure.RESET: Contact.REFUSED,
    at.CallFailure.TIMEOUT: Contact.SILENT,
}


OUTCOME_OF_END = {
    "done": fl.Outcome.OK,
    "left": fl.Outcome.CANCELLED,
    "parked": fl.Outcome.OK,  # for the module the session has ended: its place is free
    "moved": fl.Outcome.CANCELLED,
    "lost": fl.Outcome.RESET,
}


class Core:
    """A director. `boot_epoch` differs from those of its earlier processes; `secret` creates path tokens."""

    def __init__(
        self,
        config: DirectorConfig,
        cached: BoxList | None,
        boot_epoch: str,
        secret: Callable[[], str],
        trace: Trace | None = None,
        make_module: Callable[[fl.Settings, int], Director] = Director,
    ) -> None:
        self.config, self.boot_epoch = config, boot_epoch
        self.settings = module_settings(config)
        self.module = make_module(self.settings, config.seed)
        self._driver = Driver(self.module, self._carry_out, self._fault, trace)
        self.token_sessions = ts.TokenSessions(config.peers.on)
        self.attempts = at.Attempts(f"{config.name}.{boot_epoch}")
        self.watch = ListWatch(cached, config.box_list.retry_ms, config.seed)
        self.links: dict[int, ln.Link] = {}
        self._contacts: dict[int, tuple[Contact, float]] = {}  # the last contact with each box, and when
        # the share that each box last reported as delivered, and when
        self._delivered_shares: dict[int, tuple[float, float]] = {}
        self._link_uses: dict[int, float] = {}  # link use, as each box last reported it
        self._silent: dict[int, float] = {}  # boxes whose notices are lost, since when on the module's clock
        self.boxes: dict[int, BoxEntry] = {}
        self.sessions: dict[int, ev.Session] = {}
        self._secret = secret
        self._classes = {klass.name: k for k, klass in enumerate(self.settings.classes)}
        self._tenants = {tenant.name: k for k, tenant in enumerate(self.settings.tenants)}
        self._zones = {name: k for k, name in enumerate(config.fleet.zones)}
        self._kinds = {name: k for k, name in enumerate(config.fleet.kinds)}
        # by request, only within the call that opens a session
        self._requests: dict[int, ev.ManifestRequested] = {}
        self._now = 0.0
        self._actions: list[ev.Action] = []

    def is_paid(self, klass: str) -> bool:
        """Whether sessions of a class are paid: they must not run twice."""
        return self.settings.classes[self._classes[klass]].repeat is not fl.Repeat.FREE

    def knows_class(self, name: str) -> bool:
        """Whether the fleet has this class."""
        return name in self._classes

    def knows_tenant(self, name: str) -> bool:
        """Whether the fleet has this tenant; a fleet without tenants accepts any."""
        return not self._tenants or name in self._tenants

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Handle one event. `now`: Unix ms on the module's clock, which never steps back."""
        self._now, self._actions = now, []
        match event:
            case ev.ManifestRequested():
                self._manifest_requested(event)
            case ev.ClientDisconnected(request):
                self._token_session(ts.ClientDisconnected(request))
            case ev.NoticeReceived(node, notice):
                self._notice(node, notice)
            case ev.ParkedSessionMissing(number):
                self._parked_session_missing(number)
            case ev.NoticeStreamClosed(node):
                self._link(node, ln.Disconnected())
            case ev.LinkTimerDue(node, timer):
                self._link(node, timer)
            case ev.ModuleTimerDue(token):
                self._notify_module(fl.Wake(token))
            case ev.IntentRecovered(known):
                played = known.outcome in (IntentOutcome.STARTED, IntentOutcome.ENDED)
                self._token_session(ts.Restored(known.token, known.expires, played))
                # the process may have died after the box's response and before the ledger recorded it
                expiry_ms = int(known.expires * 1000)
                ran = lg.AttemptRecovered(
                    int(now), known.set_up, known.token, known.tenant, known.klass, not played, expiry_ms
                )
                self._actions.append(ev.WriteLedgerEntry(ran))
            case ev.TokenClaimFailed():
                self._token_claim_failed(event)
            case ev.SessionsTakenOver():
                self._sessions_taken_over(event)
            case ev.BootEpochRenewed(boot_epoch):
                self.boot_epoch = boot_epoch
                self._attempt(at.PrefixChanged(f"{self.config.name}.{boot_epoch}"))
            case ev.OwnershipRefused(set_up):
                self._ownership_lost(set_up, 0)
            case ev.ZonePlanChanged(shares):
                self._notify_module(fl.ZoneShares(shares))
            case PollDue() | ListReceived() | ListFailed():
                self._list(event)
            case (
                at.IntentDurable()
                | at.IntentFailed()
                | at.Answered()
                | at.CallFailed()
                | at.Released()
                | at.ReleaseFailed()
            ):
                if isinstance(event, at.Answered | at.CallFailed):
                    self._record_contact(event)
                self._attempt(event)
        return self._actions

    # ---- Evidence of zones --------------------------------------------------------------------------------
    def _record_contact(self, event: at.Answered | at.CallFailed) -> None:
        """Remember how a box was reached, as evidence for the state of its zone."""
        session = self.sessions.get(event.session)
        if session is None or not self.config.peers.makers:
            return
        if isinstance(event, at.Answered):
            self._contacts[session.node] = Contact.ANSWERED, self._now
        elif event.failure in CONTACT_OF_LOSS:
            self._contacts[session.node] = CONTACT_OF_LOSS[event.failure], self._now

    def zone_evidence(self, now: float) -> dict[str, ZoneObservation]:
        """This director's evidence of each zone: of boxes that it reached lately, and of its own demand."""
        fleet, evidence = self.config.fleet, dict[str, ZoneObservation]()
        self._contacts = {
            n: contact
            for n, contact in self._contacts.items()
            if now - contact[1] < CONTACT_TTL_MS and n in self.boxes
        }
        self._delivered_shares = {
            n: s for n, s in self._delivered_shares.items() if now - s[1] < CONTACT_TTL_MS and n in self.boxes
        }
        demand = sum(self.rate_kb(session, session.rung) for session in self.sessions.values())
        for zone in fleet.zones:
            zone_nodes = [node for node, box in self.boxes.items() if box.zone == zone]
            contacts = {node: self._contacts[node][0] for node in zone_nodes if node in self._contacts}
            silent = {node for node in zone_nodes if node in self._silent}
            connected = {
                node for node in zone_nodes if (link := self.links.get(node)) is not None and link.open
            }
            observed = len(contacts.keys() | silent | connected)
            own_demand = demand if zone == self.config.zone else 0.0
            if not observed and not own_demand:
                continue
            capacity_kb = sum(fleet.link_kb_per_weight * self.boxes[node].weight for node in zone_nodes)
            uses = [self._link_uses[node] for node in zone_nodes if node in self._link_uses]
            link_demand_kb = capacity_kb * sum(uses) / len(uses) if uses else 0.0
            delivered = [
                self._delivered_shares[node][0] for node in zone_nodes if node in self._delivered_shares
            ]
            unreached = {
                node for node, contact in contacts.items() if contact is Contact.SILENT
            } | silent - contacts.keys()
            evidence[zone] = ZoneObservation(
                boxes=observed,
                refused=sum(contact is Contact.REFUSED for contact in contacts.values()),
                silent=len(unreached),
                delivered=sum(delivered) / len(delivered) if delivered else 1.0,
                gives=capacity_kb,
                asked=link_demand_kb,
                demand=own_demand,
            )
        return evidence

    def playing(self, token: str) -> ev.Session | None:
        """The session that a request with this token would be shown now."""
        number = self.token_sessions.playing_session(token)
        return None if number is None else self.sessions.get(number)

    def set_up_of(self, session: ev.Session) -> str:
        """The id of a session's set-up at its box."""
        return self.attempts.set_up_id(session.number, session.attempt)

    @property
    def waiting(self) -> int:
        """The number of sessions that are requested and not yet started."""
        return sum(1 for session in self.sessions.values() if not session.started_ms)

    # ---- Requests -----------------------------------------------------------------------------------------
    def _manifest_requested(self, event: ev.ManifestRequested) -> None:
        token = event.token
        paid = self.settings.classes[self._classes[token.klass]].repeat is not fl.Repeat.FREE
        self._requests[event.request] = event
        self._token_session(ts.Requested(event.request, token.id, paid, token.expires, event.expired))
        self._requests.pop(event.request, None)

    def _token_session(self, event: ts.Event) -> None:
        for action in self.token_sessions.handle(self._now / 1000, event):
            match action:
                case ts.OpenSession(session, request, place):
                    self._open(session, self._requests[request], place)
                case ts.SendManifest(request, session):
                    self._actions.append(ev.AnswerManifest(request, self.sessions[session]))
                case ts.SendFailure(request, session):
                    self._actions.append(ev.AnswerFailed(request, session))
                case ts.Reject(request, reason):
                    self._actions.append(ev.AnswerRejected(request, reason))
                case ts.Withdraw(session):
                    self._withdraw(session)
                case ts.QueryOwner(request):
                    self._actions.append(ev.FindSession(request, self._token_of(request)))
                case ts.SendRefusal() | ts.Forward() | ts.Adopted() | ts.DuplicateSetUp():
                    raise AssertionError("only the caller that provokes this action handles it")

    def _open(self, number: int, event: ev.ManifestRequested, parked_at: ts.ParkedLocation | None) -> None:
        token, title = event.token, event.title
        klass = self._classes[token.klass]
        terms = self.settings.classes[klass]
        best = terms.top if token.best_rung is None else min(token.best_rung, terms.top)
        session = ev.Session(
            number,
            token,
            title,
            klass,
            terms.repeat is not fl.Repeat.FREE,
            self._secret() if parked_at is None else parked_at.path_token,
            parked_at=parked_at,
            top=max(best, terms.floor),
            rung=terms.floor,
        )
        self.sessions[number] = session
        first_cell, holders = title.first_cell, title.holders
        if parked_at is not None:
            box = self.boxes.get(parked_at.node)
            if box is None:
                self._parked_session_missing(number)  # the parked session was lost with its box
                return
            # only this box has the set-up; the module decides whether it plays there now, and at which rung
            first_cell, holders = box.cell, 1
        # the response takes time on the network: it is subtracted from the time that the module may use
        ttl_ms = max(terms.deadline_ms - event.waited_ms - self.config.front.answer_margin_ms, 1.0)
        self._notify_module(self._ask(session, first_cell, holders, ttl_ms))

    def _ask(self, session: ev.Session, first_cell: int, holders: int, ttl_ms: float) -> fl.Ask:
        token, terms = session.token, self.settings.classes[session.klass]
        return fl.Ask(
            session=session.number,
            klass=session.klass,
            title=session.title.number,
            first_cell=first_cell,
            holders=holders,
            best_rung=terms.top if token.best_rung is None else min(token.best_rung, terms.top),
            ttl_ms=ttl_ms,
            tenant=self._tenants.get(token.tenant, 0),
            viewer=int.from_bytes(blake2b(token.viewer.encode(), digest_size=6).digest(), "big"),
            length_ms=None if token.length_s is None else token.length_s * 1000,
        )

    def _withdraw(self, number: int) -> None:
        session = self.sessions[number]
        session.withdrawn = True
        self._notify_module(fl.Withdrawn(number))
        self._attempt(at.CancelSession(number))
        if number in self.sessions and not self.attempts.has_attempt(number):
            self._close_session(session, ran=False)

    def _parked_session_missing(self, number: int) -> None:
        session = self.sessions.get(number)
        if session is None:
            return
        self._token_session(ts.ParkedSetUpGone(number))
        self._notify_module(fl.Withdrawn(number))
        if self.attempts.has_attempt(number):
            session.withdrawn = True  # its attempt ends with the box's response
        else:
            self._close_session(session, ran=True)

    def _token_of(self, request: int) -> str:
        requested = self._requests.get(request)
        return "" if requested is None else requested.token.id

    # ---- Between directors --------------------------------------------------------------------------------
    def _token_claim_failed(self, event: ev.TokenClaimFailed) -> None:
        """Another director has the session's token: forward its requests and withdraw it from the module."""
        session = self.sessions.get(event.session)
        if (
            session is None
            or not self.attempts.has_attempt(event.session)
            or session.attempt != event.attempt
        ):
            return
        session.claim_lost = session.withdrawn = True
        for action in self.token_sessions.handle(self._now / 1000, ts.OwnedElsewhere(event.session)):
            if isinstance(action, ts.Forward):
                forward = ev.ForwardRequest(action.request, event.claim)
                self._actions.append(
                    forward
                    if event.quorum_reached
                    else ev.AnswerRejected(action.request, ts.RejectionReason.OWNER_UNREACHABLE)
                )
        self._notify_module(fl.Withdrawn(event.session))
        self._attempt(at.IntentFailed(event.session, event.attempt))

    def _sessions_taken_over(self, event: ev.SessionsTakenOver) -> None:
        for taken in event.sessions:
            if self.attempts.is_known(taken.set_up):
                self._confirm(event.node, taken)
            elif taken.token.klass in self._classes:
                self._adopt(event, taken)
        self._release_link(event.node)

    def _confirm(self, node: int, taken: ev.TakenOverSession) -> None:
        """Send the rung of a session that is owned in a new epoch: commands sent meanwhile were refused."""
        own = self.attempts.attempt_of(taken.set_up)
        session = self.sessions.get(own[0]) if own is not None else None
        if session is not None and not taken.parked_until_s and session.rung != taken.rung:
            reservation = self.reservation(session, session.rung)
            self._actions.append(ev.ChangeRung(taken.set_up, node, session.rung, reservation))

    def _adopt(self, event: ev.SessionsTakenOver, taken: ev.TakenOverSession) -> None:
        """Continue a session of its former owner; its box states since when it is owned here."""
        token = taken.token
        paid = self.settings.classes[self._classes[token.klass]].repeat is not fl.Repeat.FREE
        parked_at = ts.ParkedLocation(event.node, taken.set_up, taken.path_token)
        adopt = ts.Adopt(token.id, paid, token.expires, parked_at, taken.parked_until_s)
        for action in self.token_sessions.handle(self._now / 1000, adopt):
            match action:
                case ts.Withdraw(session):
                    self._withdraw(session)
                case ts.DuplicateSetUp():
                    self._attempt(at.ReleaseUnwanted(taken.set_up, event.node))
                case ts.Adopted(number):
                    self._resume(number, event, taken, paid)
                case ts.SendManifest(request, session):
                    self._actions.append(ev.AnswerManifest(request, self.sessions[session]))
                case ts.QueryOwner(request):
                    self._actions.append(ev.FindSession(request, token.id))

    def _resume(
        self, number: int, event: ev.SessionsTakenOver, taken: ev.TakenOverSession, paid: bool
    ) -> None:
        token, klass = taken.token, self._classes[taken.token.klass]
        terms = self.settings.classes[klass]
        best = terms.top if token.best_rung is None else min(token.best_rung, terms.top)
        session = ev.Session(
            number, token, taken.title, klass, paid, taken.path_token, top=max(best, terms.floor)
        )
        session.rung, session.node, session.attempts, session.started_ms = (
            taken.rung,
            event.node,
            1,
            self._now,
        )
        session.owned_since_ms = taken.owned_since_ms
        self.sessions[number] = session
        self._require_link(event.node)
        self._attempt(at.Resume(number, event.node, taken.rung, taken.set_up, event.boot, event.counter))
        self._actions.append(ev.WriteLedgerEntry(self._opened(session, taken.owned_since_ms, taken.set_up)))
        self._notify_module(
            fl.Resumed(self._ask(session, taken.title.first_cell, taken.title.holders, 0.0), event.node)
        )
        self._notify_module(fl.Note(number, event.node, fl.NoteKind.RUNG, float(taken.rung)))

    def _ownership_lost(self, set_up: str, ended_ms: int) -> None:
        """Another director owns the session now: by the box's clock, it ends here when it begins there."""
        attempt = self.attempts.attempt_of(set_up)
        if attempt is None or not self.attempts.is_known(set_up):
            self._actions.append(ev.DropOwnership(set_up))
            self._token_session(ts.ParkedTakenOver(set_up))
            return
        session = self.sessions.get(attempt[0])
        if session is not None and 0 < ended_ms < session.owned_since_ms:
            return  # about an earlier period in which this director owned it
        self._actions.append(ev.DropOwnership(set_up))
        self._token_session(ts.OwnedElsewhere(attempt[0]))
        self._attempt(at.EndedAtBox(*attempt, fl.Outcome.CANCELLED, ended_ms))

    # ---- The module ---------------------------------------------------------------------------------------
    def _fault(self, message: str) -> None:
        self._actions.append(ev.WriteLog("exception", detail=message))

    def _notify_module(self, event: fl.Event) -> None:
        self._driver.deliver(self._now, event)

    def _carry_out(self, action: fl.Action) -> None:
        match action:
            case fl.SetRung(number, rung):
                session = self.sessions.get(number)
                if session is not None:
                    session.rung = rung
                    self._attempt(at.RungChanged(number, rung))
            case fl.SetUp():
                self._set_up(action)
            case fl.Refuse(number, come_back_ms):
                self._refuse(number, come_back_ms)
            case fl.Fail(number):
                self._count_rejected(number, "failed")
                self._token_session(ts.Failed(number))
                self._forget(number)
            case fl.SetTimer(delay_ms, token):
                self._actions.append(ev.StartTimer(delay_ms, ev.ModuleTimerDue(token)))
            case fl.Cancel(number) | fl.Move(number):
                self._attempt(at.CancelSession(number))
            case fl.Log(text):
                self._actions.append(ev.WriteLog("module", detail=text))
            case fl.WatchList() | fl.FetchList():
                pass  # a long poll of the list is always under way
            case fl.Probe():
                self._actions.append(ev.WriteLog("probe not offered"))

    def _set_up(self, action: fl.SetUp) -> None:
        session = self.sessions[action.session]
        session.node, session.attempt = action.node, session.attempts
        session.attempts += 1
        until = self._now + action.within_ms
        parked_at = session.parked_at
        if parked_at is not None and parked_at.node != action.node:
            # another box has that cell now: it does not have the set-up, and must not run a second one
            never = fl.Outcome.NEVER_SENT
            self._notify_module(fl.Ended(session.number, action.node, session.attempt, never, False, 0.0))
            return
        self._require_link(action.node)
        parked_set_up = "" if parked_at is None else parked_at.set_up
        self._attempt(
            at.Send(
                action.session, session.attempt, action.node, session.rung, session.paid, until, parked_set_up
            )
        )

    def _count_rejected(self, number: int, outcome: str) -> None:
        token = self.sessions[number].token
        self._actions.append(ev.WriteLedgerEntry(lg.TurnedAway(token.tenant, token.klass, outcome)))

    def _refuse(self, number: int, come_back_ms: float) -> None:
        self._count_rejected(number, "refused")
        for answer in self.token_sessions.handle(self._now / 1000, ts.Refused(number)):
            if isinstance(answer, ts.SendRefusal):
                self._actions.append(ev.AnswerRefused(answer.request, number, come_back_ms))
        self._forget(number)

    def _forget(self, number: int) -> None:
        """Remove a session that ended without playing; `_close_session` removes one whose viewer left."""
        session = self.sessions.get(number)
        if session is not None and not session.withdrawn:
            del self.sessions[number]

    def _close_session(self, session: ev.Session, ran: bool) -> None:
        self.sessions.pop(session.number, None)
        session.closed = True
        self._actions.append(ev.SessionClosed(session))
        self._token_session(ts.SessionEnded(session.number, ran))

    # ---- Attempts -----------------------------------------------------------------------------------------
    def rate_kb(self, session: ev.Session, rung: int) -> float:
        """The rate of a rung for a session's class, kB/s."""
        return self.settings.ladder_kb[rung] * self.settings.classes[session.klass].rate_scale

    def reservation(self, session: ev.Session, rung: int) -> ev.Reservation:
        """The rate that a rung reserves and the matching cap for the player, whatever the source offers."""
        rate, renditions = self.rate_kb(session, rung), session.title.source.renditions
        floor = self.rate_kb(session, self.settings.classes[session.klass].floor)
        return ev.Reservation(renditions.booked_kb(rate, floor), ceil(renditions.fit(rate, floor).cap_kbps))

    def _attempt(self, event: at.Event) -> None:
        for action in self.attempts.handle(self._now, event):
            match action:
                case at.WriteIntent(number, attempt, node):
                    session = self.sessions[number]
                    box = self.boxes[node].name
                    set_up = self.attempts.set_up_id(number, attempt)
                    self._actions.append(ev.PersistIntent(number, attempt, session.token, box, set_up, node))
                case at.StartSetUp():
                    self._put(action)
                case at.SendRung(number, attempt, node, rung):
                    set_up = self.attempts.set_up_id(number, attempt)
                    reservation = self.reservation(self.sessions[number], rung)
                    self._actions.append(ev.ChangeRung(set_up, node, rung, reservation))
                case at.ReportStarted():
                    self._started(action)
                case at.ReportEnded():
                    self._ended(action)
                case at.AbortSetUp() | at.Release():
                    self._actions.append(action)

    def _put(self, put: at.StartSetUp) -> None:
        session = self.sessions[put.session]
        self._actions.append(
            ev.SendSetUp(
                session=session,
                attempt=put.attempt,
                set_up=self.attempts.set_up_id(put.session, put.attempt),
                node=put.node,
                rung=put.rung,
                reservation=self.reservation(session, put.rung),
                timeout_ms=max(put.timeout_at - self._now, 1.0),
            )
        )

    def _started(self, event: at.ReportStarted) -> None:
        session = self.sessions[event.session]
        session.started_ms, session.owned_since_ms = self._now, event.box_time_ms
        if session.paid and session.parked_at is None:
            self._actions.append(ev.RecordIntentOutcome(session.token.id, IntentOutcome.STARTED))
        set_up = self.attempts.set_up_id(event.session, event.attempt)
        self._actions.append(
            ev.WriteLedgerEntry(self._opened(session, event.box_time_ms or int(self._now), set_up))
        )
        self._notify_module(fl.Started(event.session, event.node, event.attempt, 0.0))
        if event.load is not None:
            for kind, value in (
                (fl.NoteKind.LINK, event.load.link),
                (fl.NoteKind.LINK, event.load.link_up_to_one if event.load.link is None else None),
                (fl.NoteKind.UPLINK, event.load.uplink),
            ):
                if value is not None:
                    self._notify_module(fl.Note(event.session, event.node, kind, value))
        self._token_session(ts.SessionStarted(event.session))

    def _opened(self, session: ev.Session, started_ms: int, set_up: str) -> lg.Started:
        token = session.token
        return lg.Started(
            started_ms,
            set_up,
            token.id,
            token.tenant,
            token.klass,
            session.rung,
            session.paid,
            self._expiry_ms(token),
            token.viewer,
            self._box_name(session.node),
        )

    def _ended(self, event: at.ReportEnded) -> None:
        session = self.sessions[event.session]
        ran = event.had_started or not event.outcome.proves_unrun
        set_up = event.set_up
        has_intent = session.parked_at is None or event.had_started
        if session.paid and not event.parked and has_intent and not session.claim_lost:
            intent_outcome = (
                IntentOutcome.ENDED
                if event.had_started
                else IntentOutcome.MAY_HAVE_RUN
                if ran
                else IntentOutcome.NEVER_RAN
            )
            self._actions.append(ev.RecordIntentOutcome(session.token.id, intent_outcome))
        if event.had_started:
            ended = lg.Ended(event.box_time_ms or int(self._now), set_up, estimated=not event.box_time_ms)
            self._actions.append(ev.WriteLedgerEntry(ended))
        elif session.paid and ran and session.parked_at is None:
            # the box may have run it: it is charged once, and marked as estimated
            token = session.token
            expiry_ms = self._expiry_ms(token)
            charge = lg.AttemptRecovered(
                int(self._now), set_up, token.id, token.tenant, token.klass, True, expiry_ms
            )
            self._actions.append(ev.WriteLedgerEntry(charge))
        final = event.had_started or session.withdrawn
        if event.had_started or event.outcome is not fl.Outcome.OK:
            detail = f"{event.outcome.value}{', was playing' if event.had_started else ''}"
            self._actions.append(
                ev.WriteLog("attempt ended", event.session, self._box_name(event.node), detail)
            )
        if final and event.parked:
            self.sessions.pop(session.number, None)
            session.closed = True
            self._actions.append(ev.SessionClosed(session))
            until = self._now / 1000 + self.config.boxes.park_s
            self._token_session(
                ts.Parked(session.number, until, ts.ParkedLocation(event.node, set_up, session.path_token))
            )
        elif final:
            self._close_session(session, ran)
        self._notify_module(
            fl.Ended(event.session, event.node, event.attempt, event.outcome, final, 0.0, event.load)
        )
        self._release_link(event.node)

    def _expiry_ms(self, token: SessionToken) -> int:
        """When a token can no longer start a session, Unix ms."""
        return (token.expires + self.config.tokens.leeway_s) * 1000

    def _box_name(self, node: int) -> str:
        box = self.boxes.get(node)
        return "?" if box is None else box.name

    # ---- Links --------------------------------------------------------------------------------------------
    def _require_link(self, node: int) -> None:
        if node not in self.links:
            config = self.config.boxes
            self.links[node] = ln.Link(config.notice_retry_ms, config.lost_after_ms)
        self._link(node, ln.StreamNeeded())

    def _release_link(self, node: int) -> None:
        """Close the stream of a box that has no sessions and is no longer listed.

        While the box is listed its stream stays open: the next session may come soon.
        """
        if node not in self.boxes and node in self.links and not self.attempts.count_at(node):
            self._link(node, ln.StreamUnneeded())
            del self.links[node]
            self._silent.pop(node, None)

    def _link(self, node: int, event: ln.Event) -> None:
        link = self.links.get(node)
        if link is None:
            return
        for action in link.handle(event):
            match action:
                case ln.OpenStream():
                    self._actions.append(ev.OpenNoticeStream(node))
                case ln.CloseStream():
                    self._actions.append(ev.CloseNoticeStream(node))
                case ln.StartRetryTimer(delay_ms, turn):
                    self._actions.append(ev.StartTimer(delay_ms, ev.LinkTimerDue(node, ln.RetryDue(turn))))
                case ln.StartLossTimer(delay_ms, turn):
                    self._actions.append(ev.StartTimer(delay_ms, ev.LinkTimerDue(node, ln.LossTimeout(turn))))
                case ln.AllSessionsLost() if self._is_in_grace(node):
                    pass
                case ln.AllSessionsLost():
                    if self.attempts.count_at(node):
                        self._actions.append(ev.WriteLog("box silent", node=self._box_name(node)))
                    self._attempt(at.BoxLost(node))
                case ln.CompareSessions():
                    pass  # `_notice` compares, with the content of hello

    def _is_in_grace(self, node: int) -> bool:
        """Whether the sessions of a silent box still count as playing: the box keeps them for the grace
        period without a stream, and so does this director while the box is listed."""
        since = self._silent.setdefault(node, self._now)
        return self.config.peers.on and node in self.boxes and self._now - since < self.config.peers.grace_ms

    def _notice(self, node: int, notice: object) -> None:
        match notice:
            case Hello(boot, counter, sessions, ended):
                self._link(node, ln.HelloReceived())
                for end in ended:
                    if self.attempts.attempt_of(end.session) is not None:
                        self._notice(node, end)
                self._silent.pop(node, None)
                held = frozenset(sessions)
                if self.config.peers.on:
                    # set-ups unknown here were taken over: the response with them is late, or was lost
                    foreign = {
                        s
                        for s in held
                        if not self.attempts.is_known(s) and self.attempts.attempt_of(s) is None
                    }
                    held -= foreign
                    if foreign:
                        self._actions.append(ev.FetchTakenOver(node))
                self._attempt(at.BoxLost(node, boot, held, counter))
            case OwnershipLost(sessions, _, at_ms):
                for set_up in sessions:
                    self._ownership_lost(set_up, at_ms)
            case Delivered(set_up, share):
                self._delivered_shares[node] = share, self._now
                self._note(node, set_up, fl.NoteKind.DELIVERED, share)
            case LinkUse(set_up, link, uplink):
                self._link_uses[node] = link
                self._note(node, set_up, fl.NoteKind.LINK, link)
                if uplink is not None:
                    self._note(node, set_up, fl.NoteKind.UPLINK, uplink)
            case RungInForce(set_up, rung, at_ms):
                self._actions.append(
                    ev.WriteLedgerEntry(lg.RungChanged(at_ms or int(self._now), set_up, rung))
                )
                self._note(node, set_up, fl.NoteKind.RUNG, float(rung))
            case SessionEnded(set_up, how, at_ms):
                attempt = self.attempts.attempt_of(set_up)
                if attempt is not None:
                    outcome = OUTCOME_OF_END.get(how, fl.Outcome.RESET)
                    self._attempt(at.EndedAtBox(*attempt, outcome, at_ms, how == "parked"))

    def _note(self, node: int, set_up: str, kind: fl.NoteKind, value: float) -> None:
        attempt = self.attempts.attempt_of(set_up)
        if attempt is not None and self.attempts.playing_at(attempt[0]) == (node, attempt[1]):
            self._notify_module(fl.Note(attempt[0], node, kind, value))

    # ---- Box list -----------------------------------------------------------------------------------------
    def _list(self, event: PollDue | ListReceived | ListFailed) -> None:
        for action in self.watch.handle(event):
            match action:
                case PublishList():
                    self._list_changed(action)
                case CacheList(boxes):
                    self._actions.append(ev.SaveBoxList(boxes))
                case SchedulePoll(delay_ms):
                    self._actions.append(ev.StartTimer(delay_ms, PollDue()))
                case Poll():
                    self._actions.append(action)

    def _list_changed(self, update: PublishList) -> None:
        if update.kind is fl.ListKind.FAILED:
            self._actions.append(ev.WriteLog("box list not heard"))
            self._notify_module(fl.NodeList(fl.ListKind.FAILED))
            return
        infos = [info for info in map(self._node_info, update.boxes) if info is not None]
        closed: list[tuple[int, bool]] = []
        if update.kind is not fl.ListKind.DELTA:
            named = {info.node for info in infos}
            closed += [(node, True) for node in self.boxes if node not in named]
            self.boxes = {node: box for node, box in self.boxes.items() if node in named}
        by_number = {box.number: box for box in update.boxes}
        for info in infos:
            if info.status is fl.Status.GONE:
                self.boxes.pop(info.node, None)
                closed.append((info.node, True))
                continue
            self.boxes[info.node] = by_number[info.node]
            if info.status is fl.Status.DRAINING:
                closed.append((info.node, False))
            else:
                self._attempt(at.BoxReady(info.node))
        # the module first: it may place the sessions stopped below anew at once, but not at a box that drains
        self._notify_module(fl.NodeList(update.kind, tuple(infos)))
        for node, removed in closed:
            self._attempt(at.BoxDraining(node, removed))
            self._release_link(node)
        if self.config.peers.on:
            self._actions.append(ev.UpdateListedBoxes(frozenset(box.name for box in self.boxes.values())))

    def _node_info(self, box: BoxEntry) -> fl.NodeInfo | None:
        if box.zone not in self._zones or box.kind not in self._kinds or box.cell >= self.settings.cells:
            self._actions.append(
                ev.WriteLog("box not usable", node=box.name, detail="unknown zone, kind or cell")
            )
            return None
        return fl.NodeInfo(
            node=box.number,
            zone=self._zones[box.zone],
            kind=self._kinds[box.kind],
            cell=box.cell,
            status=box.status,
            weight=box.weight,
            started_ms=box.started_unix_ms,
        )
