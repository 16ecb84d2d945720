"""What a director does for its cluster service: requests to boxes, pending requests, adopted sessions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec
import structlog

from foxlift.boxes.notices import BoxNotice, Hello, OwnershipLost, SessionEnded
from foxlift.boxes.takeover import (
    BOOT_HEADER,
    HeldSession,
    SessionNote,
    TakeoverRequest,
    TakeoverResponse,
    owner_header,
    read_note,
    write_note,
)
from foxlift.catalogue import Catalogue
from foxlift.config import DirectorConfig
from foxlift.decide.token_sessions import RejectionReason
from foxlift.director import events
from foxlift.director.answers import Answers, PendingRequest
from foxlift.director.cluster.messages import JSON_HEADERS, WAITED_HEADER
from foxlift.director.cluster.ports import ForwardableRequest
from foxlift.director.cluster.service import ClusterService
from foxlift.director.core import Core
from foxlift.director.notice_streams import NoticeStreams
from foxlift.director.server_pools import PoolUse, ServerPools
from foxlift.director.timeline import Timeline
from foxlift.http import Exchange, Failure, Headers, Response
from foxlift.ledger import Ended, Journal
from foxlift.recovery.claims import Claim
from foxlift.store import FilePort, IntentLog
from foxlift.telemetry import Counters
from foxlift.tokens import SessionToken
from foxlift.zones.evidence import ZoneObservation

UNKNOWN_BOOT = "-"  # no box process has this name: the set-up is refused, the refusal names the process
MAX_ROUTINGS = 4  # times that one request may be routed
TAKEOVER_TIMEOUT_MS = 2000.0
RELAYED_HEADERS = (
    "content-type",
    "cache-control",
    "cmsd-dynamic",
    "location",
    "retry-after",
    "foxlift-come-back-ms",
)


class Director(Protocol):
    """What the host uses of its director. All parts exist once it starts."""

    @property
    def config(self) -> DirectorConfig:
        """Its settings."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that everything runs on."""

    @property
    def log(self) -> structlog.stdlib.BoundLogger:
        """Its log."""

    @property
    def timeline(self) -> Timeline:
        """Its clock and timers."""

    @property
    def files(self) -> FilePort:
        """Its state folder."""

    @property
    def counters(self) -> Counters:
        """Its counts of events."""

    @property
    def catalogue(self) -> Catalogue:
        """Titles by name."""

    @property
    def journal(self) -> Journal:
        """The ledger."""

    @property
    def intent_log(self) -> IntentLog:
        """Its record of paid set-ups."""

    @property
    def pools(self) -> ServerPools:
        """Connections to media servers."""

    @property
    def streams(self) -> NoticeStreams:
        """Notice streams of media servers."""

    @property
    def core(self) -> Core:
        """The director's decisions, without I/O."""

    @property
    def answers(self) -> Answers:
        """Requests that wait for a response."""

    def feed(self, event: events.Event) -> None:
        """Have the core handle an event, and carry out its actions."""

    def ask_core(self, number: int) -> None:
        """Have the core answer a pending request."""

    def handle_request(self, exchange: Exchange, forwarded: bool = False) -> None:
        """Handle a new request; `forwarded`: by another director."""

    def superseded(self) -> None:
        """Another process has this director's name: stop acting."""


class ClusterHost:
    """One daemon's host. Only exists where the settings name peers."""

    def __init__(self, daemon: Director) -> None:
        self.daemon = daemon
        self._boots: dict[int, str] = {}  # by box: its process, as last reported
        self.service = ClusterService(
            daemon.config, daemon.loop, daemon.timeline, daemon.files, daemon.counters, self
        )

    def start_ledger(self) -> None:
        """Sessions of an earlier process may still play: their end is estimated once no box can hold them."""
        daemon = self.daemon
        daemon.timeline.later(daemon.config.peers.grace_ms + 2 * TAKEOVER_TIMEOUT_MS, self._close_orphaned)

    def _close_orphaned(self) -> None:
        closed = self.daemon.journal.close_left()
        if closed:
            self.daemon.log.info("ended unseen", sessions=closed)

    # ---- Requests -----------------------------------------------------------------------------------------
    def feed(self, event: events.Event) -> None:
        """See `Host`."""
        self.daemon.feed(event)

    def open_here(self, request: int) -> None:
        """See `Host`."""
        self.daemon.ask_core(request)

    def refuse(self, request: int, why: RejectionReason, come_back_ms: float) -> None:
        """See `Host`."""
        self.daemon.counters.add("turned down", why.value)
        self.daemon.answers.reject(request, why, come_back_ms)

    def relay(self, request: int, answer: Response) -> None:
        """See `Host`."""
        headers = tuple(pair for pair in answer.headers if pair[0] in RELAYED_HEADERS)
        self.daemon.answers.relay(request, answer.status, headers, answer.body)

    def receive_forwarded(self, exchange: Exchange) -> None:
        """See `Host`."""
        self.daemon.handle_request(exchange, forwarded=True)

    def forwardable(self, request: int) -> ForwardableRequest | None:
        """See `Host`."""
        held = self.daemon.answers.pending.get(request)
        if held is None:
            return None
        received = held.exchange.request
        target = received.path + (f"?{received.query}" if received.query else "")
        headers: Headers = ()
        if "authorization" in received.headers:
            headers = (("authorization", received.headers["authorization"]),)
        return ForwardableRequest(held.manifest_request.token.id, target, headers, self.waited_ms(request))

    def waited_ms(self, number: int) -> float:
        """Time since the request's first byte here, plus the time before it was forwarded."""
        held = self.daemon.answers.pending.get(number)
        if held is None:
            return 0.0
        request = held.exchange.request
        before = request.headers.get(WAITED_HEADER, "") if held.forwarded else ""
        waited = (self.daemon.loop.time() - request.arrived_s) * 1000
        return max(waited, 0.0) + (float(before) if before.isdigit() and len(before) < 8 else 0.0)

    def route_by_hint(self, number: int, forwarded: bool) -> bool:
        """Route a request to the owner that its hint names. False if it names none or this director."""
        held = self.daemon.answers.pending[number]
        hinted = (
            self.service.forwarder.read_hint(held.manifest_request.hint)
            if held.manifest_request.hint
            else None
        )
        if hinted is None or not self.daemon.core.token_sessions.is_new(held.manifest_request.token.id):
            return False
        if hinted.owner == self.daemon.config.name and hinted.boot_epoch == self.boot_epoch:
            return False
        self.service.forwarder.resolve(number, hinted, hint=True, forwarded=forwarded)
        return True

    def route(self, number: int, claim: Claim | None) -> None:
        """A request whose token another director or epoch has claimed."""
        held = self._next_routing(number)
        if held is not None:
            self.service.forwarder.resolve(number, claim, forwarded=held.forwarded)

    def _next_routing(self, number: int) -> PendingRequest | None:
        """The pending request, if it may be routed once more; at most MAX_ROUTINGS times."""
        held = self.daemon.answers.pending.get(number)
        if held is None:
            return None
        held.lookups += 1
        if held.lookups > MAX_ROUTINGS:
            self.refuse(number, RejectionReason.MAY_HAVE_RUN, 0.0)
            return None
        return held

    def come_back_ms(self) -> float:
        """How long a viewer waits where nobody can answer now; random for each."""
        return self.service.forwarder.come_back_ms()

    def carry_out(
        self,
        action: events.ForwardRequest
        | events.FindSession
        | events.FetchTakenOver
        | events.DropOwnership
        | events.UpdateListedBoxes,
    ) -> None:
        """Carry out the core's actions between directors."""
        match action:
            case events.ForwardRequest(request, claim):
                self.route(request, claim)
            case events.FindSession(request, token):
                self.route_recovered(request, token)
            case events.FetchTakenOver(node):
                self.service.fetch(self.box(node))
            case events.DropOwnership(set_up):
                self.service.token_claims.lose(set_up)
            case events.UpdateListedBoxes(boxes):
                self.service.boxes_listed(boxes)

    def route_recovered(self, number: int, token: str) -> None:
        """A request whose token an earlier boot epoch had: ask its box, which knows more than the record."""
        known = self.daemon.intent_log.recovered.get(token)
        parts = known.set_up.rsplit("-", 2)[0].rpartition(".")[2] if known is not None else ""
        held = self._next_routing(number)
        if held is None:
            return
        if self.daemon.core.token_sessions.is_new(token):
            self.daemon.ask_core(number)
            return
        if known is None:
            self.service.forwarder.resolve_own(
                number, token, held.manifest_request.token.expires, held.forwarded
            )
            return
        run = int(parts, 16) if parts and all(c in "0123456789abcdef" for c in parts) else 0
        claim = Claim(self.daemon.config.name, run, known.box, known.set_up)
        self.service.forwarder.resolve(number, claim, forwarded=held.forwarded)

    # ---- Commands: `Ownership` ----------------------------------------------------------------------------
    @property
    def boot_epoch(self) -> int:
        """See `Ownership`."""
        return self.service.boot_epoch

    @property
    def grace_ms(self) -> float:
        """See `Ownership`."""
        return self.daemon.config.peers.grace_ms

    def headers(self) -> Headers:
        """See `Ownership`."""
        return (owner_header(self.daemon.config.name, self.boot_epoch),)

    def note(self, session: events.Session) -> str:
        """See `Ownership`."""
        token = session.token
        return write_note(SessionNote(token.viewer, token.expires, token.best_rung, token.length_s))

    def is_refused(self, result: Response | Failure, set_up: str = "", node: int | None = None) -> bool:
        """See `Ownership`. A server that has fenced this director off begins another boot epoch."""
        if not isinstance(result, Response):
            return False
        boot = result.header(BOOT_HEADER)
        if node is not None and boot:
            self.boot_reported(node, boot)
        refusal = result.header("foxlift-refusal")
        if refusal == "fenced":
            self.service.renew_epoch(result)
        if refusal != "not-owner":
            return False
        owner = (result.header("foxlift-owner") or "").partition("/")[0]
        if owner == self.daemon.config.name:
            return False  # of an earlier epoch of this director: its takeover is in progress
        if set_up:
            self.daemon.feed(events.OwnershipRefused(set_up))
        return True

    def may_stream(self, node: int) -> bool:
        """See `Ownership`."""
        return self.service.own_done(self.box(node))

    def stream_query(self) -> str:
        """See `Ownership`."""
        return f"&keep={self.boot_epoch}"

    def handle_notice(self, node: int, notice: BoxNotice) -> None:
        """See `Ownership`."""
        if isinstance(notice, OwnershipLost):
            self.service.renew_epoch()
        elif isinstance(notice, Hello):
            self.boot_reported(node, notice.boot)

    # ---- Boxes --------------------------------------------------------------------------------------------
    def boot_of(self, keep: events.PersistIntent) -> str:
        """See `Host`. The result is part of the set-up's claim, and is sent with it."""
        boot = self._boots.get(keep.node, UNKNOWN_BOOT)
        session = self.daemon.core.sessions.get(keep.session)
        if session is not None:
            session.boot = boot
        return boot

    def boot_reported(self, node: int, boot: str) -> None:
        """A box reports which process it is."""
        self._boots[node] = boot
        if len(self._boots) > 2 * len(self.daemon.core.boxes) + 64:
            self._boots = {n: b for n, b in self._boots.items() if n in self.daemon.core.boxes or n == node}

    def node(self, box: str) -> int | None:
        """The number of a box, None if the box list does not name it."""
        return next((node for node, entry in self.daemon.core.boxes.items() if entry.name == box), None)

    def box(self, node: int) -> str:
        """The name of a box, "" if the box list does not name it."""
        entry = self.daemon.core.boxes.get(node)
        return "" if entry is None else entry.name

    def hint(self, session: events.Session) -> str:
        """The hint for the manifest's reload URL."""
        return self.service.forwarder.write_hint(
            self.box(session.node) or "-", self.daemon.core.set_up_of(session)
        )

    def send_takeover(
        self, box: str, order: TakeoverRequest, done: Callable[[Response | Failure], None]
    ) -> bool:
        """See `Host`."""
        node = self.node(box)
        if node is None:
            return False
        self.daemon.counters.add("takes sent")
        self.daemon.pools.pool(node, PoolUse.TAKEOVERS).call(
            "POST",
            "/takeovers",
            done,
            headers=JSON_HEADERS,
            body=msgspec.json.encode(order),
            timeout_ms=TAKEOVER_TIMEOUT_MS,
        )
        return True

    def adopt(self, box: str, answer: TakeoverResponse) -> None:
        """See `Host`."""
        daemon, node = self.daemon, self.node(box)
        if node is None:
            return
        self.boot_reported(node, answer.boot)
        for gone in answer.lost:
            notice = OwnershipLost((gone.set_up,), gone.new_owner, gone.at) if gone.new_owner else None
            daemon.feed(events.NoticeReceived(node, notice or SessionEnded(gone.set_up, "done", gone.at)))
            left = daemon.journal.book.account.open.get(gone.set_up)
            if left is not None and left.began <= gone.at:
                daemon.journal.handle(int(daemon.timeline.now()), Ended(gone.at, gone.set_up))
        adoptees = tuple(filter(None, (self._adoptee(box, held) for held in answer.sessions)))
        new = [one for one in adoptees if not daemon.core.attempts.is_known(one.set_up)]
        if adoptees:
            daemon.feed(events.SessionsTakenOver(node, answer.boot, answer.counter, adoptees))
        for one in new:
            daemon.counters.add("adopted")
            if daemon.core.is_paid(one.token.klass):
                self.service.token_claims.reclaim(
                    one.token.id, one.set_up, box, answer.boot, one.token.expires
                )
        daemon.streams.reopen(node)

    def _adoptee(self, box: str, held: HeldSession) -> events.TakenOverSession | None:
        daemon, note = self.daemon, read_note(held.note)
        title = daemon.catalogue.titles.get(held.title)
        if note is None or title is None or not daemon.core.knows_class(held.klass):
            # it plays on at its box to its end, but cannot be steered
            daemon.counters.add("not adopted")
            daemon.log.warning("a session cannot be adopted", box=box, title_known=title is not None)
            return None
        token = SessionToken(
            id=held.claim,
            viewer=note.viewer,
            title=held.title,
            klass=held.klass,
            tenant=held.tenant,
            expires=note.expires,
            best_rung=note.best_rung,
            length_s=note.length_s,
        )
        until = daemon.timeline.unix_s() + held.parked_ms / 1000 if held.parked_ms else 0.0
        return events.TakenOverSession(token, title, held.set_up, held.rung, held.path_token, held.at, until)

    def zone_observations(self) -> dict[str, ZoneObservation]:
        """See `Host`."""
        return self.daemon.core.zone_evidence(self.daemon.timeline.now())

    def epoch_renewed(self) -> None:
        """See `Host`."""
        self.daemon.feed(events.BootEpochRenewed(format(self.service.boot_epoch, "x")))

    def superseded(self) -> None:
        """See `Host`."""
        self.daemon.superseded()
