"""One director without its sockets: protocol events in, things to do out.

The core decides nothing of who plays where: it tells the module (`foxlift/logic.py`) each event in the order
in which it came, and carries out what the module returns. Beside the module stand the machines of
`foxlift.decide` and `foxlift.membership`; what one gives out is fed to the next within the same call, so that
a drain heard now is known to all of them before the next event.
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

SEEN_MS = 5000.0  # how long what was met of a box tells of its zone


class Met(Enum):
    """How a box was met last."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


LOSSES = {
    at.CallFailure.CONNECT: Met.REFUSED,
    at.CallFailure.RESET: Met.REFUSED,
    at.CallFailure.TIMEOUT: Met.SILENT,
}


ENDED = {
    "done": fl.Outcome.OK,
    "left": fl.Outcome.CANCELLED,
    "parked": fl.Outcome.OK,  # to the module a session that is over: its place is free
    "moved": fl.Outcome.CANCELLED,
    "lost": fl.Outcome.RESET,
}


class Core:
    """A director. `run` tells this process from the director's earlier ones; `secret` makes path tokens."""

    def __init__(
        self,
        config: DirectorConfig,
        cached: BoxList | None,
        boot_epoch: str,
        secret: Callable[[], str],
        trace: Trace | None = None,
        make: Callable[[fl.Settings, int], Director] = Director,
    ) -> None:
        self.config, self.boot_epoch = config, boot_epoch
        self.settings = module_settings(config)
        self.module = make(self.settings, config.seed)
        self._driver = Driver(self.module, self._carry_out, self._fault, trace)
        self.token_sessions = ts.TokenSessions(config.peers.on)
        self.attempts = at.Attempts(f"{config.name}.{boot_epoch}")
        self.watch = ListWatch(cached, config.box_list.retry_ms, config.seed)
        self.links: dict[int, ln.Link] = {}
        self._mets: dict[int, tuple[Met, float]] = {}  # how boxes were met last, and when
        self._shares: dict[int, tuple[float, float]] = {}  # delivered share that boxes told, and when
        self._uses: dict[int, float] = {}  # of links, as boxes told them last
        self._silent: dict[int, float] = {}  # boxes without word, since when on the module's clock
        self.boxes: dict[int, BoxEntry] = {}
        self.sessions: dict[int, ev.Session] = {}
        self._secret = secret
        self._classes = {klass.name: k for k, klass in enumerate(self.settings.classes)}
        self._tenants = {tenant.name: k for k, tenant in enumerate(self.settings.tenants)}
        self._zones = {name: k for k, name in enumerate(config.fleet.zones)}
        self._kinds = {name: k for k, name in enumerate(config.fleet.kinds)}
        self._asked: dict[
            int, ev.ManifestRequested
        ] = {}  # by request, only within the call that opens a session
        self._now = 0.0
        self._out: list[ev.Action] = []

    def is_paid(self, klass: str) -> bool:
        """Whether sessions of a class must run once."""
        return self.settings.classes[self._classes[klass]].repeat is not fl.Repeat.FREE

    def knows_class(self, name: str) -> bool:
        """Whether a token's class is one of the fleet's."""
        return name in self._classes

    def knows_tenant(self, name: str) -> bool:
        """Whether a token's tenant is one of the fleet's; a fleet without tenants takes any."""
        return not self._tenants or name in self._tenants

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Take one event in. `now` is Unix time in ms as the module's clock keeps it: it never steps back."""
        self._now, self._out = now, []
        match event:
            case ev.ManifestRequested():
                self._manifest_asked(event)
            case ev.ClientDisconnected(request):
                self._claim(ts.ClientDisconnected(request))
            case ev.NoticeReceived(node, notice):
                self._notice(node, notice)
            case ev.ParkedSessionMissing(number):
                self._place_gone(number)
            case ev.NoticeStreamClosed(node):
                self._link(node, ln.Disconnected())
            case ev.LinkTimerDue(node, timer):
                self._link(node, timer)
            case ev.ModuleTimerDue(token):
                self._tell(fl.Wake(token))
            case ev.IntentRecovered(known):
                played = known.outcome in (IntentOutcome.STARTED, IntentOutcome.ENDED)
                self._claim(ts.Restored(known.token, known.expires, played))
                # a death may have come between the box's answer and the ledger's record of it
                ends = int(known.expires * 1000)
                ran = lg.Ran(int(now), known.set_up, known.token, known.tenant, known.klass, not played, ends)
                self._out.append(ev.WriteLedgerEntry(ran))
            case ev.TokenClaimFailed():
                self._claimed_elsewhere(event)
            case ev.SessionsTakenOver():
                self._adopted(event)
            case ev.BootEpochRenewed(boot_epoch):
                self.boot_epoch = boot_epoch
                self._attempt(at.PrefixChanged(f"{self.config.name}.{boot_epoch}"))
            case ev.OwnershipRefused(set_up):
                self._taken(set_up, 0)
            case ev.ZonePlanChanged(shares):
                self._tell(fl.ZoneShares(shares))
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
                    self._met(event)
                self._attempt(event)
        return self._out

    # ---- What is seen of zones ----------------------------------------------------------------------------
    def _met(self, event: at.Answered | at.CallFailed) -> None:
        """A box has answered, or has not: kept for what this director reports of its zone."""
        session = self.sessions.get(event.session)
        if session is None or not self.config.peers.makers:
            return
        if isinstance(event, at.Answered):
            self._mets[session.node] = Met.ANSWERED, self._now
        elif event.failure in LOSSES:
            self._mets[session.node] = LOSSES[event.failure], self._now

    def zone_evidence(self, now: float) -> dict[str, ZoneObservation]:
        """What this director sees of each zone that it has lately met a box of."""
        fleet, found = self.config.fleet, dict[str, ZoneObservation]()
        self._mets = {n: met for n, met in self._mets.items() if now - met[1] < SEEN_MS and n in self.boxes}
        self._shares = {n: s for n, s in self._shares.items() if now - s[1] < SEEN_MS and n in self.boxes}
        demand = sum(self.rate_kb(session, session.rung) for session in self.sessions.values())
        for zone in fleet.zones:
            there = [node for node, box in self.boxes.items() if box.zone == zone]
            mets = {node: self._mets[node][0] for node in there if node in self._mets}
            silent = {node for node in there if node in self._silent}
            heard = {node for node in there if (link := self.links.get(node)) is not None and link.open}
            known = len(mets.keys() | silent | heard)
            own = demand if zone == self.config.zone else 0.0
            if not known and not own:
                continue
            gives = sum(fleet.link_kb_per_weight * self.boxes[node].weight for node in there)
            uses = [self._uses[node] for node in there if node in self._uses]
            asked = gives * sum(uses) / len(uses) if uses else 0.0
            delivered = [self._shares[node][0] for node in there if node in self._shares]
            unmet = {node for node, met in mets.items() if met is Met.SILENT} | silent - mets.keys()
            found[zone] = ZoneObservation(
                boxes=known,
                refused=sum(met is Met.REFUSED for met in mets.values()),
                silent=len(unmet),
                delivered=sum(delivered) / len(delivered) if delivered else 1.0,
                gives=gives,
                asked=asked,
                demand=own,
            )
        return found

    def playing(self, token: str) -> ev.Session | None:
        """The session that a token's holder would be shown now."""
        number = self.token_sessions.playing_session(token)
        return None if number is None else self.sessions.get(number)

    def set_up_of(self, session: ev.Session) -> str:
        """The name of a session's set-up at its box."""
        return self.attempts.set_up_id(session.number, session.attempt)

    @property
    def waiting(self) -> int:
        """Sessions that are asked for and not answered."""
        return sum(1 for session in self.sessions.values() if not session.started_ms)

    # ---- Requests -----------------------------------------------------------------------------------------
    def _manifest_asked(self, asked: ev.ManifestRequested) -> None:
        token = asked.token
        paid = self.settings.classes[self._classes[token.klass]].repeat is not fl.Repeat.FREE
        self._asked[asked.request] = asked
        self._claim(ts.Requested(asked.request, token.id, paid, token.expires, asked.expired))
        self._asked.pop(asked.request, None)

    def _claim(self, event: ts.Event) -> None:
        for action in self.token_sessions.handle(self._now / 1000, event):
            match action:
                case ts.OpenSession(session, request, place):
                    self._open(session, self._asked[request], place)
                case ts.SendManifest(request, session):
                    self._out.append(ev.AnswerManifest(request, self.sessions[session]))
                case ts.SendFailure(request, session):
                    self._out.append(ev.AnswerFailed(request, session))
                case ts.Reject(request, why):
                    self._out.append(ev.AnswerRejected(request, why))
                case ts.Withdraw(session):
                    self._withdraw(session)
                case ts.QueryOwner(request):
                    self._out.append(ev.FindSession(request, self._token_of(request)))
                case ts.SendRefusal() | ts.Forward() | ts.Adopted() | ts.DuplicateSetUp():
                    raise AssertionError("told by whoever asked for it")

    def _open(self, number: int, asked: ev.ManifestRequested, place: ts.ParkedLocation | None) -> None:
        token, title = asked.token, asked.title
        klass = self._classes[token.klass]
        terms = self.settings.classes[klass]
        best = terms.top if token.best_rung is None else min(token.best_rung, terms.top)
        session = ev.Session(
            number,
            token,
            title,
            klass,
            terms.repeat is not fl.Repeat.FREE,
            self._secret() if place is None else place.path_token,
            parked_at=place,
            top=max(best, terms.floor),
            rung=terms.floor,
        )
        self.sessions[number] = session
        first_cell, holders = title.first_cell, title.holders
        if place is not None:
            box = self.boxes.get(place.node)
            if box is None:
                self._place_gone(number)  # what was parked there went with its box
                return
            # the one holder of this very set-up; the module decides whether it plays there now, at which rung
            first_cell, holders = box.cell, 1
        # the answer has a way to go: what the network takes of the viewer's time is not the module's to spend
        ttl_ms = max(terms.deadline_ms - asked.waited_ms - self.config.front.answer_margin_ms, 1.0)
        self._tell(self._ask(session, first_cell, holders, ttl_ms))

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
        self._tell(fl.Withdrawn(number))
        self._attempt(at.CancelSession(number))
        if number in self.sessions and not self.attempts.has_attempt(number):
            self._over(session, ran=False)

    def _place_gone(self, number: int) -> None:
        session = self.sessions.get(number)
        if session is None:
            return
        self._claim(ts.ParkedSetUpGone(number))
        self._tell(fl.Withdrawn(number))
        if self.attempts.has_attempt(number):
            session.withdrawn = True  # its attempt ends with the answer that told this
        else:
            self._over(session, ran=True)

    def _token_of(self, request: int) -> str:
        asked = self._asked.get(request)
        return "" if asked is None else asked.token.id

    # ---- Between directors --------------------------------------------------------------------------------
    def _claimed_elsewhere(self, event: ev.TokenClaimFailed) -> None:
        """A paid session's token is another's: its requests go there, and the module forgets it."""
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
                passed = ev.ForwardRequest(action.request, event.claim)
                self._out.append(
                    passed
                    if event.quorum_reached
                    else ev.AnswerRejected(action.request, ts.RejectionReason.OWNER_UNREACHABLE)
                )
        self._tell(fl.Withdrawn(event.session))
        self._attempt(at.IntentFailed(event.session, event.attempt))

    def _adopted(self, event: ev.SessionsTakenOver) -> None:
        for one in event.sessions:
            if self.attempts.is_known(one.set_up):
                self._confirm(event.node, one)
            elif one.token.klass in self._classes:
                self._adopt(event, one)
        self._link_perhaps_unwanted(event.node)

    def _confirm(self, node: int, one: ev.TakenOverSession) -> None:
        """A session of this director under its new run: what was ordered meanwhile was refused."""
        own = self.attempts.attempt_of(one.set_up)
        session = self.sessions.get(own[0]) if own is not None else None
        if session is not None and not one.parked_until_s and session.rung != one.rung:
            reservation = self.reservation(session, session.rung)
            self._out.append(ev.ChangeRung(one.set_up, node, session.rung, reservation))

    def _adopt(self, event: ev.SessionsTakenOver, one: ev.TakenOverSession) -> None:
        """Go on with a session where its last owner left it; its box says since when."""
        token = one.token
        paid = self.settings.classes[self._classes[token.klass]].repeat is not fl.Repeat.FREE
        place = ts.ParkedLocation(event.node, one.set_up, one.path_token)
        adopt = ts.Adopt(token.id, paid, token.expires, place, one.parked_until_s)
        for action in self.token_sessions.handle(self._now / 1000, adopt):
            match action:
                case ts.Withdraw(session):
                    self._withdraw(session)
                case ts.DuplicateSetUp():
                    self._attempt(at.ReleaseUnwanted(one.set_up, event.node))
                case ts.Adopted(number):
                    self._resume(number, event, one, paid)
                case ts.SendManifest(request, session):
                    self._out.append(ev.AnswerManifest(request, self.sessions[session]))
                case ts.QueryOwner(request):
                    self._out.append(ev.FindSession(request, token.id))

    def _resume(self, number: int, event: ev.SessionsTakenOver, one: ev.TakenOverSession, paid: bool) -> None:
        token, klass = one.token, self._classes[one.token.klass]
        terms = self.settings.classes[klass]
        best = terms.top if token.best_rung is None else min(token.best_rung, terms.top)
        made = ev.Session(number, token, one.title, klass, paid, one.path_token, top=max(best, terms.floor))
        made.rung, made.node, made.attempts, made.started_ms = one.rung, event.node, 1, self._now
        made.owned_since_ms = one.owned_since_ms
        self.sessions[number] = made
        self._link_wanted(event.node)
        self._attempt(at.Resume(number, event.node, one.rung, one.set_up, event.boot, event.counter))
        self._out.append(ev.WriteLedgerEntry(self._opened(made, one.owned_since_ms, one.set_up)))
        self._tell(fl.Resumed(self._ask(made, one.title.first_cell, one.title.holders, 0.0), event.node))
        self._tell(fl.Note(number, event.node, fl.NoteKind.RUNG, float(one.rung)))

    def _taken(self, set_up: str, when: int) -> None:
        """Another director owns the session now: its end here, by the box's clock, is its beginning there."""
        found = self.attempts.attempt_of(set_up)
        if found is None or not self.attempts.is_known(set_up):
            self._out.append(ev.DropOwnership(set_up))
            self._claim(ts.ParkedTakenOver(set_up))
            return
        session = self.sessions.get(found[0])
        if session is not None and 0 < when < session.owned_since_ms:
            return  # of an earlier time that it was this director's
        self._out.append(ev.DropOwnership(set_up))
        self._claim(ts.OwnedElsewhere(found[0]))
        self._attempt(at.EndedAtBox(*found, fl.Outcome.CANCELLED, when))

    # ---- The module ---------------------------------------------------------------------------------------
    def _fault(self, words: str) -> None:
        self._out.append(ev.WriteLog("exception", detail=words))

    def _tell(self, event: fl.Event) -> None:
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
                self._turned_away(number, "failed")
                self._claim(ts.Failed(number))
                self._forget(number)
            case fl.SetTimer(delay_ms, token):
                self._out.append(ev.StartTimer(delay_ms, ev.ModuleTimerDue(token)))
            case fl.Cancel(number) | fl.Move(number):
                self._attempt(at.CancelSession(number))
            case fl.Log(text):
                self._out.append(ev.WriteLog("module", detail=text))
            case fl.WatchList() | fl.FetchList():
                pass  # the long poll is always under way
            case fl.Probe():
                self._out.append(ev.WriteLog("probe not offered"))

    def _set_up(self, action: fl.SetUp) -> None:
        session = self.sessions[action.session]
        session.node, session.attempt = action.node, session.attempts
        session.attempts += 1
        until = self._now + action.within_ms
        place = session.parked_at
        if place is not None and place.node != action.node:
            # another box stands in that cell now: it does not have the set-up, and must not make a second one
            never = fl.Outcome.NEVER_SENT
            self._tell(fl.Ended(session.number, action.node, session.attempt, never, False, 0.0))
            return
        self._link_wanted(action.node)
        name = "" if place is None else place.set_up
        self._attempt(
            at.Send(action.session, session.attempt, action.node, session.rung, session.paid, until, name)
        )

    def _turned_away(self, number: int, what: str) -> None:
        token = self.sessions[number].token
        self._out.append(ev.WriteLedgerEntry(lg.TurnedAway(token.tenant, token.klass, what)))

    def _refuse(self, number: int, come_back_ms: float) -> None:
        self._turned_away(number, "refused")
        for answer in self.token_sessions.handle(self._now / 1000, ts.Refused(number)):
            if isinstance(answer, ts.SendRefusal):
                self._out.append(ev.AnswerRefused(answer.request, number, come_back_ms))
        self._forget(number)

    def _forget(self, number: int) -> None:
        """A session that ended without playing; one whose viewer left is dropped by `_over`."""
        session = self.sessions.get(number)
        if session is not None and not session.withdrawn:
            del self.sessions[number]

    def _over(self, session: ev.Session, ran: bool) -> None:
        self.sessions.pop(session.number, None)
        session.closed = True
        self._out.append(ev.SessionClosed(session))
        self._claim(ts.SessionEnded(session.number, ran))

    # ---- Attempts -----------------------------------------------------------------------------------------
    def rate_kb(self, session: ev.Session, rung: int) -> float:
        """The rate of a rung for a session's class, kB/s."""
        return self.settings.ladder_kb[rung] * self.settings.classes[session.klass].rate_scale

    def reservation(self, session: ev.Session, rung: int) -> ev.Reservation:
        """What the rung takes and what the player may choose: one thing, whatever the source offers."""
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
                    self._out.append(ev.PersistIntent(number, attempt, session.token, box, set_up, node))
                case at.StartSetUp():
                    self._put(action)
                case at.SendRung(number, attempt, node, rung):
                    set_up = self.attempts.set_up_id(number, attempt)
                    reservation = self.reservation(self.sessions[number], rung)
                    self._out.append(ev.ChangeRung(set_up, node, rung, reservation))
                case at.ReportStarted():
                    self._started(action)
                case at.ReportEnded():
                    self._ended(action)
                case at.AbortSetUp() | at.Release():
                    self._out.append(action)

    def _put(self, put: at.StartSetUp) -> None:
        session = self.sessions[put.session]
        self._out.append(
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

    def _started(self, told: at.ReportStarted) -> None:
        session = self.sessions[told.session]
        session.started_ms, session.owned_since_ms = self._now, told.box_time_ms
        if session.paid and session.parked_at is None:
            self._out.append(ev.RecordIntentOutcome(session.token.id, IntentOutcome.STARTED))
        set_up = self.attempts.set_up_id(told.session, told.attempt)
        self._out.append(
            ev.WriteLedgerEntry(self._opened(session, told.box_time_ms or int(self._now), set_up))
        )
        self._tell(fl.Started(told.session, told.node, told.attempt, 0.0))
        if told.load is not None:
            for kind, value in (
                (fl.NoteKind.LINK, told.load.link),
                (fl.NoteKind.LINK, told.load.link_up_to_one if told.load.link is None else None),
                (fl.NoteKind.UPLINK, told.load.uplink),
            ):
                if value is not None:
                    self._tell(fl.Note(told.session, told.node, kind, value))
        self._claim(ts.SessionStarted(told.session))

    def _opened(self, session: ev.Session, when: int, set_up: str) -> lg.Started:
        token = session.token
        return lg.Started(
            when,
            set_up,
            token.id,
            token.tenant,
            token.klass,
            session.rung,
            session.paid,
            self._ends_ms(token),
            token.viewer,
            self._box_name(session.node),
        )

    def _ended(self, told: at.ReportEnded) -> None:
        session = self.sessions[told.session]
        ran = told.had_started or not told.outcome.proves_unrun
        set_up = told.set_up
        kept = session.parked_at is None or told.had_started
        if session.paid and not told.parked and kept and not session.claim_lost:
            outcome = (
                IntentOutcome.ENDED
                if told.had_started
                else IntentOutcome.MAY_HAVE_RUN
                if ran
                else IntentOutcome.NEVER_RAN
            )
            self._out.append(ev.RecordIntentOutcome(session.token.id, outcome))
        if told.had_started:
            ended = lg.Ended(told.box_time_ms or int(self._now), set_up, estimated=not told.box_time_ms)
            self._out.append(ev.WriteLedgerEntry(ended))
        elif session.paid and ran and session.parked_at is None:
            # the box may have done it and been paid for it: charged once, and marked as estimated
            token = session.token
            ends = self._ends_ms(token)
            unseen = lg.Ran(int(self._now), set_up, token.id, token.tenant, token.klass, True, ends)
            self._out.append(ev.WriteLedgerEntry(unseen))
        final = told.had_started or session.withdrawn
        if told.had_started or told.outcome is not fl.Outcome.OK:
            detail = f"{told.outcome.value}{', was playing' if told.had_started else ''}"
            self._out.append(ev.WriteLog("attempt ended", told.session, self._box_name(told.node), detail))
        if final and told.parked:
            self.sessions.pop(session.number, None)
            session.closed = True
            self._out.append(ev.SessionClosed(session))
            until = self._now / 1000 + self.config.boxes.park_s
            self._claim(
                ts.Parked(session.number, until, ts.ParkedLocation(told.node, set_up, session.path_token))
            )
        elif final:
            self._over(session, ran)
        self._tell(fl.Ended(told.session, told.node, told.attempt, told.outcome, final, 0.0, told.load))
        self._link_perhaps_unwanted(told.node)

    def _ends_ms(self, token: SessionToken) -> int:
        """When a token can start nothing any more, Unix ms."""
        return (token.expires + self.config.tokens.leeway_s) * 1000

    def _box_name(self, node: int) -> str:
        box = self.boxes.get(node)
        return "?" if box is None else box.name

    # ---- Links --------------------------------------------------------------------------------------------
    def _link_wanted(self, node: int) -> None:
        if node not in self.links:
            config = self.config.boxes
            self.links[node] = ln.Link(config.notice_retry_ms, config.lost_after_ms)
        self._link(node, ln.StreamNeeded())

    def _link_perhaps_unwanted(self, node: int) -> None:
        """A stream without sessions is kept while its box is listed: the next session is not far."""
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
                    self._out.append(ev.OpenNoticeStream(node))
                case ln.CloseStream():
                    self._out.append(ev.CloseNoticeStream(node))
                case ln.StartRetryTimer(delay_ms, turn):
                    self._out.append(ev.StartTimer(delay_ms, ev.LinkTimerDue(node, ln.RetryDue(turn))))
                case ln.StartLossTimer(delay_ms, turn):
                    self._out.append(ev.StartTimer(delay_ms, ev.LinkTimerDue(node, ln.LossTimeout(turn))))
                case ln.AllSessionsLost() if self._plays_on(node):
                    pass
                case ln.AllSessionsLost():
                    if self.attempts.count_at(node):
                        self._out.append(ev.WriteLog("box silent", node=self._box_name(node)))
                    self._attempt(at.BoxLost(node))
                case ln.CompareSessions():
                    pass  # hello itself carries what is compared: see _notice

    def _plays_on(self, node: int) -> bool:
        """Whether a silent box is to be given its grace: its sessions outlive a stream, and so does what is
        known of them here, as long as the list names it."""
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
                kept = frozenset(sessions)
                if self.config.peers.on:
                    # what is not of this run was taken over: the answer that said so is late, or was lost
                    foreign = {
                        s
                        for s in kept
                        if not self.attempts.is_known(s) and self.attempts.attempt_of(s) is None
                    }
                    kept -= foreign
                    if foreign:
                        self._out.append(ev.FetchTakenOver(node))
                self._attempt(at.BoxLost(node, boot, kept, counter))
            case OwnershipLost(sessions, _, when):
                for set_up in sessions:
                    self._taken(set_up, when)
            case Delivered(set_up, share):
                self._shares[node] = share, self._now
                self._note(node, set_up, fl.NoteKind.DELIVERED, share)
            case LinkUse(set_up, link, uplink):
                self._uses[node] = link
                self._note(node, set_up, fl.NoteKind.LINK, link)
                if uplink is not None:
                    self._note(node, set_up, fl.NoteKind.UPLINK, uplink)
            case RungInForce(set_up, rung, when):
                self._out.append(ev.WriteLedgerEntry(lg.Rerung(when or int(self._now), set_up, rung)))
                self._note(node, set_up, fl.NoteKind.RUNG, float(rung))
            case SessionEnded(set_up, how, when):
                found = self.attempts.attempt_of(set_up)
                if found is not None:
                    outcome = ENDED.get(how, fl.Outcome.RESET)
                    self._attempt(at.EndedAtBox(*found, outcome, when, how == "parked"))

    def _note(self, node: int, set_up: str, kind: fl.NoteKind, value: float) -> None:
        found = self.attempts.attempt_of(set_up)
        if found is not None and self.attempts.playing_at(found[0]) == (node, found[1]):
            self._tell(fl.Note(found[0], node, kind, value))

    # ---- Box list -----------------------------------------------------------------------------------------
    def _list(self, event: PollDue | ListReceived | ListFailed) -> None:
        for action in self.watch.handle(event):
            match action:
                case PublishList():
                    self._listed(action)
                case CacheList(boxes):
                    self._out.append(ev.SaveBoxList(boxes))
                case SchedulePoll(delay_ms):
                    self._out.append(ev.StartTimer(delay_ms, PollDue()))
                case Poll():
                    self._out.append(action)

    def _listed(self, told: PublishList) -> None:
        if told.kind is fl.ListKind.FAILED:
            self._out.append(ev.WriteLog("box list not heard"))
            self._tell(fl.NodeList(fl.ListKind.FAILED))
            return
        infos = [info for info in map(self._info, told.boxes) if info is not None]
        closed: list[tuple[int, bool]] = []
        if told.kind is not fl.ListKind.DELTA:
            named = {info.node for info in infos}
            closed += [(node, True) for node in self.boxes if node not in named]
            self.boxes = {node: box for node, box in self.boxes.items() if node in named}
        by_number = {box.number: box for box in told.boxes}
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
        # the module first: what is stopped below may be placed anew at once, and not at a box that drains
        self._tell(fl.NodeList(told.kind, tuple(infos)))
        for node, gone in closed:
            self._attempt(at.BoxDraining(node, gone))
            self._link_perhaps_unwanted(node)
        if self.config.peers.on:
            self._out.append(ev.UpdateListedBoxes(frozenset(box.name for box in self.boxes.values())))

    def _info(self, box: BoxEntry) -> fl.NodeInfo | None:
        if box.zone not in self._zones or box.kind not in self._kinds or box.cell >= self.settings.cells:
            self._out.append(
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
