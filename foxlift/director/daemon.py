"""The director process: connects the core to sockets, disk and timers.

Requests arrive here (`handle_request`); `answers.py` responds to them. Commands to media servers, notice
streams, box list, intents and exports each have their own module.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import structlog

from foxlift import interface as fl
from foxlift.catalogue import Catalogue, load_catalogue
from foxlift.config import DirectorConfig
from foxlift.decide import attempts
from foxlift.decide.token_sessions import RejectionReason
from foxlift.director import events
from foxlift.director.answers import Answers
from foxlift.director.authorizer import HttpProblem, RequestAuthorizer
from foxlift.director.commands import ServerCommands
from foxlift.director.core import Core
from foxlift.director.exports import ExportRunner, FileDrop, HttpReceiver, Target
from foxlift.director.intent_writer import IntentWriter
from foxlift.director.list_client import ListClient
from foxlift.director.notice_streams import NoticeStreams
from foxlift.director.ownership import Ownership, SoleOwner
from foxlift.director.server_pools import ServerPools
from foxlift.director.timeline import Timeline
from foxlift.http import Cors, Exchange, Limits, Server
from foxlift.ledger import ForgetDue, Journal, TimePassed, load_tariff
from foxlift.ledger.book import ALIVE_EVERY_MS
from foxlift.logic import Director
from foxlift.membership import Poll, PollDue
from foxlift.store import DiskFiles, FilePort, IntentLog
from foxlift.telemetry import Counters
from foxlift.tokens import TokenError, Verifier, load_keys

if TYPE_CHECKING:
    from foxlift.director.cluster.host import ClusterHost
    from foxlift.director.configuration import ConfigurationFeed

AnswerAction = (
    events.AnswerManifest
    | events.AnswerRefused
    | events.AnswerFailed
    | events.AnswerRejected
    | events.SessionClosed
    | events.ForwardRequest
    | events.FindSession
    | events.FetchTakenOver
    | events.DropOwnership
    | events.UpdateListedBoxes
)

MAX_FLUSH_S = 2.0  # at a stop, for writes to the disk
SERVER_STOP_MS = 1000.0  # at a stop, for pending responses


class Daemon:
    """One director in one process."""

    def __init__(
        self,
        config: DirectorConfig,
        loop: asyncio.AbstractEventLoop,
        *,
        files: FilePort | None = None,
        unix_s: float | None = None,
        secret: Callable[[], str] = lambda: secrets.token_urlsafe(12),
        trace: Callable[[float, fl.Event, list[fl.Action]], None] | None = None,
        make_module: Callable[[fl.Settings, int], Director] = Director,
    ) -> None:
        """Reads keys, catalogue, cached box list, ledger and intent log.

        Raises ConfigError, ValueError, LogError and OSError, each of which names the file.
        """
        self.config, self.loop = config, loop
        self.log = structlog.get_logger().bind(director=config.name)
        self.counters = Counters()
        self.url = ""
        self.stopping = False
        self.on_superseded: Callable[[], None] = lambda: None
        self._last_request = 0
        self._events: deque[events.Event] = deque()
        self._handling = False
        start_s = time.time() if unix_s is None else unix_s
        self.timeline = Timeline(loop, start_s, config.stall_ms, self._on_stall)
        self._open_files(files)
        self.configuration = self._make_configuration()
        self.cluster = self._make_cluster()
        epoch = int(start_s * 1000) & 0xFFFFFFFFFF if self.cluster is None else self.cluster.boot_epoch
        self._list_client = ListClient(config, loop, self.files, self.feed)
        self.core = Core(config, self._list_client.cached(), format(epoch, "x"), secret, trace, make_module)
        self._connect_servers()
        self._make_front()

    def _open_files(self, files: FilePort | None) -> None:
        """Read catalogue and keys; open the state folder with ledger and intent log."""
        config = self.config
        self._disk = DiskFiles(Path(config.state), self.loop) if files is None else None
        port = files or self._disk
        assert port is not None
        self.files: FilePort = port
        self.catalogue: Catalogue = load_catalogue(Path(config.catalogue.folder), config.fleet.cells)
        keys = load_keys(Path(config.tokens.keys))
        self.verifier = Verifier(keys, config.tokens.issuer, config.tokens.audience)
        self.files.lock()
        tariff = load_tariff(Path(config.ledger.tariff)) if config.ledger.tariff else None
        self.journal = Journal(
            self.files,
            tariff,
            int(config.ledger.grace_ms),
            on_failed=self._on_ledger_failed,
            keep_open=config.peers.on,
        )
        self.intent_log = IntentLog(self.files, self.journal.book.account.forgot / 1000)
        self.exports = self._make_exports()

    def _make_configuration(self) -> ConfigurationFeed | None:
        if not self.config.configuration.relays:
            return None
        from foxlift.director.configuration import ConfigurationFeed

        return ConfigurationFeed(
            self.config, self.loop, self.timeline, self.files, self.counters, self.catalogue
        )

    def _make_cluster(self) -> ClusterHost | None:
        if not self.config.peers.on:
            return None
        from foxlift.director.cluster.host import ClusterHost

        return ClusterHost(self)

    def _connect_servers(self) -> None:
        """Create the connections to media servers: commands, notice streams and intents."""
        config, loop = self.config, self.loop

        def feed(event: events.Event) -> None:
            self.feed(event)  # looked up at each call: benchmarks replace it with a probe

        ownership: Ownership = SoleOwner() if self.cluster is None else self.cluster
        self.pools = ServerPools(config, loop, lambda: self.core.boxes)
        self.commands = ServerCommands(config, self.timeline, self.counters, self.pools, ownership, feed)
        self.streams = NoticeStreams(
            config.name, loop, self.pools, ownership, lambda: self.core.boot_epoch, feed
        )
        self._intents = IntentWriter(config, self.timeline, self.counters, self.intent_log, feed)

    def _make_front(self) -> None:
        """Create the viewers' HTTP server with its authorisation and responses."""
        config, core, front = self.config, self.core, self.config.front
        self.authorizer = RequestAuthorizer(
            self.verifier, self.catalogue, core.knows_class, core.knows_tenant
        )
        self.answers = Answers(config, self.pools.address, core.set_up_of, core.rate_kb, core.reservation)
        if self.cluster is not None:
            self.answers.hint = self.cluster.hint
        limits = Limits(
            max_connections=front.max_connections,
            max_header_bytes=front.max_header_bytes,
            max_body_bytes=front.max_body_bytes,
            max_pipelined=front.max_pipelined,
            header_time_ms=front.header_time_ms,
            idle_time_ms=front.idle_time_ms,
        )
        # a token in the query is part of the manifest's URL: the player must not send it on as a referrer
        extra_headers = (("referrer-policy", "no-referrer"),)
        self.server = Server(
            self.loop, self.handle_request, limits, Cors(front.origins, front.preflight_s), extra_headers
        )
        self.server.cached_response = self.answers.cached_response

    # ---- Start and stop -----------------------------------------------------------------------------------
    async def start(self) -> int:
        """Recover the intents, request the box list and listen; returns the port."""
        for intent in self.intent_log.recovered.values():
            self.feed(events.IntentRecovered(intent))
        if self.cluster is not None:
            self.cluster.start_ledger()
            await self.cluster.service.start()
        if self.configuration is not None:
            self.configuration.start()
        self.feed(PollDue())
        self._ledger_tick()
        if self.exports is not None:
            self.exports.begin()
        port = await self.server.listen(self.config.front.host, self.config.front.port)
        self.url = self.config.front.url or f"http://{self.config.front.host}:{port}"
        self.answers.url = self.url
        self.log.info("listening", url=self.url, recalled=len(self.intent_log.recovered))
        return port

    async def stop(self, grace_ms: float | None = None) -> None:
        """Accept no new sessions, respond to pending requests and let sessions play on for `grace_ms`."""
        grace_ms = self.config.front.stop_time_ms if grace_ms is None else grace_ms
        self.stopping = True
        self.log.info("stopping", playing=self.core.attempts.live_count, waiting=self.core.waiting)
        deadline_s = self.loop.time() + grace_ms / 1000
        if self.cluster is not None:
            self.cluster.service.leave()  # the other directors take over the playing sessions
        while self.core.sessions and self.loop.time() < deadline_s:
            await asyncio.sleep(min(0.05, grace_ms / 1000))
        await self.server.stop(SERVER_STOP_MS)
        if self.cluster is not None:
            await self.cluster.service.stop()
        deadline_s = self.loop.time() + MAX_FLUSH_S
        # the last records must become durable: `close` ends the disk thread
        while not self._flushed and self.loop.time() < deadline_s:
            await asyncio.sleep(0.005)
        self.close()

    @property
    def _flushed(self) -> bool:
        registers = self.cluster is None or self.cluster.service.flushed
        configuration = self.configuration is None or self.configuration.flushed
        return self.intent_log.flushed and self.journal.log.flushed and registers and configuration

    def superseded(self) -> None:
        """Another process runs under this director's name: this one must stop at once."""
        self.stopping = True
        self.close()
        self.on_superseded()

    def close(self) -> None:
        """Close everything at once; a second call does nothing."""
        if self.timeline.closed:
            return
        self.timeline.close()
        if self.exports is not None:
            self.exports.close()
        if self.cluster is not None:
            self.cluster.service.close()
        if self.configuration is not None:
            self.configuration.close()
        self.pools.close()
        self._list_client.close()
        self.intent_log.close()
        self.journal.close()
        if self._disk is not None:
            self._disk.close()

    def _ledger_tick(self) -> None:
        self.journal.handle(int(self.timeline.now()), TimePassed())
        self.journal.handle(int(self.timeline.now()), ForgetDue())
        self.timeline.later(float(ALIVE_EVERY_MS), self._ledger_tick)

    def _on_ledger_failed(self, error: OSError) -> None:
        self.counters.add("ledger records not kept")
        self.log.error("the ledger cannot be written", detail=str(error))

    def _make_exports(self) -> ExportRunner | None:
        target: Target
        if self.config.ledger.export_folder:
            target = FileDrop(self.loop, Path(self.config.ledger.export_folder), self.config.name)
        elif self.config.ledger.export_url:
            target = HttpReceiver(self.loop, self.config.ledger.export_url, self.config.name)
        else:
            return None
        return ExportRunner(
            self.journal, self.files, target, self.timeline, self.config.ledger.export_every_ms
        )

    def _on_stall(self, late_ms: float) -> None:
        self.counters.add("stalls")
        self.log.warning("the loop stood still", late_ms=round(late_ms))

    # ---- Requests -----------------------------------------------------------------------------------------
    def handle_request(self, exchange: Exchange, forwarded: bool = False) -> None:
        """Handle a request of a viewer; `forwarded`: another director has forwarded it."""
        request = exchange.request
        try:
            manifest_request = self.authorizer.authorize(request)
        except HttpProblem as problem:
            self.counters.add("turned down", problem.title)
            exchange.reply_problem(problem.status, problem.title, problem.detail, problem.extra)
            return
        token, expired = manifest_request.token, False
        try:
            token.check_time(self.timeline.unix_s(), self.config.tokens.leeway_s)
        except TokenError:
            expired = True
        if request.method == "HEAD":
            # HEAD starts no session: it shows what a GET would show of one that plays
            self.answers.reply_to_head(exchange, manifest_request, self.core.playing(token.id))
            return
        new_while_stopping = self.stopping and self.core.token_sessions.is_new(token.id)
        if new_while_stopping and (self.cluster is None or forwarded):
            exchange.reply_problem(421 if forwarded else 503, "stopping", extra=(("retry-after", "1"),))
            return
        self._last_request += 1
        number = self._last_request
        self.answers.add_pending(number, exchange, manifest_request, expired, forwarded)
        exchange.on_disconnect = lambda: self._client_disconnected(number)
        if new_while_stopping and self.cluster is not None:
            if not self.cluster.service.forwarder.forward_to_any(number, token.id):
                self.answers.reject(number, RejectionReason.OWNER_UNREACHABLE)
            return
        if self.cluster is None or not self.cluster.route_by_hint(number, forwarded):
            self.ask_core(number)

    def ask_core(self, number: int) -> None:
        """Pass a pending request to the core; does nothing if its client has left."""
        pending = self.answers.pending.get(number)
        if pending is None:
            return
        waited_ms = max((self.loop.time() - pending.exchange.request.arrived_s) * 1000, 0.0)
        if self.cluster is not None:
            waited_ms = self.cluster.waited_ms(number)
        self.feed(
            events.ManifestRequested(
                number,
                pending.manifest_request.token,
                pending.manifest_request.title,
                pending.expired,
                waited_ms,
            )
        )

    def _client_disconnected(self, number: int) -> None:
        if self.answers.remove(number):
            self.counters.add("clients gone")
            self.feed(events.ClientDisconnected(number))
            if self.cluster is not None:
                self.cluster.service.forwarder.viewer_left(number)

    # ---- The core -----------------------------------------------------------------------------------------
    def feed(self, event: events.Event) -> None:
        """Pass an event to the core; events that occur meanwhile are queued."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                for action in self.core.handle(self.timeline.now(), self._events.popleft()):
                    self._carry_out(action)
        finally:
            self._handling = False

    def _carry_out(self, action: events.Action) -> None:
        match action:
            case events.SendSetUp():
                self._put(action)
            case events.ChangeRung() | attempts.AbortSetUp() | attempts.Release():
                self.commands.send(action)
            case events.PersistIntent() | events.RecordIntentOutcome() | events.WriteLedgerEntry():
                self._record(action)
            case events.OpenNoticeStream(node):
                self.streams.open(node)
            case events.CloseNoticeStream(node):
                self.streams.close(node)
            case events.StartTimer(delay_ms, event):
                self.timeline.later(delay_ms, lambda: self.feed(event))
            case Poll(version):
                self._list_client.poll(version)
            case events.SaveBoxList(boxes):
                self._list_client.save(boxes)
            case events.WriteLog(text, number, node_name, detail):
                self.log.info(text, session=number, box=node_name, detail=detail)
            case _:
                self._answer(action)

    def _put(self, put: events.SendSetUp) -> None:
        """Send a set-up. Benchmarks replace this method to time it."""
        self.commands.send(put)

    def _answer(self, action: AnswerAction) -> None:
        """Respond to a request, or pass the action to the cluster."""
        match action:
            case events.AnswerManifest(request, session):
                self.counters.add(self.answers.show(request, session))
            case events.AnswerRefused(request, number, come_back_ms):
                self.counters.add("refused")
                self.answers.refuse(request, number, come_back_ms)
            case events.AnswerFailed(request, number):
                self.counters.add("failed")
                self.answers.fail(request, number)
            case events.AnswerRejected(request, reason):
                self.counters.add("turned down", reason.value)
                self.answers.reject(request, reason, self._come_back_ms(reason))
            case events.SessionClosed(session):
                self.answers.session_closed(session)
            case _:
                if self.cluster is not None:
                    self.cluster.carry_out(action)

    def _come_back_ms(self, reason: RejectionReason) -> float:
        """The time after which a viewer may come back, 0 if it is not stated."""
        if self.cluster is None or reason is not RejectionReason.OWNER_UNREACHABLE:
            return 0.0
        return self.cluster.come_back_ms()

    def _record(
        self, action: events.PersistIntent | events.RecordIntentOutcome | events.WriteLedgerEntry
    ) -> None:
        """Write intents, outcomes and ledger entries; with peers, a paid token is claimed first."""
        match action:
            case events.PersistIntent() if self.cluster is not None:
                self.cluster.service.token_claims.claim(action, lambda: self._intents.write(action))
            case events.PersistIntent():
                self._intents.write(action)
            case events.RecordIntentOutcome(token, outcome):
                self.intent_log.record_outcome(token, outcome)
            case events.WriteLedgerEntry(entry):
                self.journal.handle(int(self.timeline.now()), entry)
