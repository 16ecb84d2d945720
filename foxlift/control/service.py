"""A control server on its sockets: executes the actions of `foxlift.rollout.server`.

POST /config/watch        a follower's watch, held until there is a later version
POST /config/orders       an operator's change request
POST /config/registers    a group member's message to this member's acceptor
POST /config/heartbeats, /config/reports, /config/hello    between control servers
GET  /config/status       this server's status, for operators

A malformed body, or a sender that the settings do not name, gets a problem response and has no other effect.
The numbers of connections and held watches and the size of bodies are limited.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from fnmatch import fnmatchcase
from functools import partial
from pathlib import Path

import msgspec
import structlog

from foxlift.config.control import ControlConfig
from foxlift.consensus import Response as RegisterAnswer
from foxlift.consensus import register as registers
from foxlift.control import messages
from foxlift.control.disk_trust import DiskTrust
from foxlift.control.messages import HelloResponse, RegisterRequest, RegisterResponse
from foxlift.control.status import status_of
from foxlift.director.timeline import Timeline
from foxlift.http import JSON_HEADERS, Exchange, Limits, NamedPools, PoolLimits, Server
from foxlift.rollout import follower, server, watcher
from foxlift.rollout.entry import EntryError
from foxlift.rollout.kinds import check_values
from foxlift.rollout.messages import (
    MAX_RESPONSE_BYTES,
    WATCH_PATH,
    ChangeRequest,
    ChangeResponse,
    DirectorWatch,
    Heartbeat,
    Outcome,
    Report,
    Watch,
    WatchResponse,
)
from foxlift.rollout.stores import ServerStore
from foxlift.store import DiskFiles

STALL_THRESHOLD_MS = 20.0
REGISTER_TIMEOUT_MS = 400.0
WATCH_TIMEOUT_MS = watcher.POLL_TIMEOUT_MS + 500.0
STOP_TIMEOUT_MS = 200.0
MAX_CONNECTIONS = 10_000
MAX_BODY_BYTES = 1 << 18
IDLE_TIMEOUT_MS = 30_000.0
POOL_LIMITS = PoolLimits(connect_ms=1000.0, max_connections=8, max_response_bytes=MAX_RESPONSE_BYTES)

_decode_watch = msgspec.json.Decoder(Watch).decode
_decode_watch_response = msgspec.json.Decoder(WatchResponse).decode
_decode_change_request = msgspec.json.Decoder(ChangeRequest).decode
_decode_register = msgspec.json.Decoder(RegisterRequest).decode
_decode_register_response = msgspec.json.Decoder(RegisterResponse).decode
_decode_heartbeat = msgspec.json.Decoder(Heartbeat).decode
_decode_report = msgspec.json.Decoder(Report).decode
_decode_hello = msgspec.json.Decoder(messages.Hello).decode

Handler = Callable[[Exchange], None]


class ControlService:
    """One control server in one process."""

    def __init__(self, config: ControlConfig, loop: asyncio.AbstractEventLoop) -> None:
        """Reads the state folder and starts a new boot epoch. Raises OSError and LogError."""
        self.config, self._loop = config, loop
        self.log = structlog.get_logger().bind(control=config.name)
        self.timeline = Timeline(loop, time.time(), STALL_THRESHOLD_MS, lambda late_ms: None)
        self._files = DiskFiles(Path(config.state), loop)
        self._files.lock()
        self._store = ServerStore(self._files, config.name, int(self.timeline.now()))
        names = tuple(member.name for member in config.members)
        plan = server.ServerIdentity(config.name, self._store.boot_epoch, config.zone, names, config.seed)
        self.core = server.ControlServer(plan, self._store.log, tuple(self._store.open.values()))
        urls = {member.name: member.url for member in config.members if member.name != config.name}
        self._client = NamedPools(loop, urls, POOL_LIMITS)
        self._exchanges: dict[int, Exchange] = {}
        self._replies: dict[int, Callable[[RegisterAnswer | None], None]] = {}
        self._last_id = 0
        self._disk_failed = self.closed = False
        limits = Limits(MAX_CONNECTIONS, max_body_bytes=MAX_BODY_BYTES, idle_time_ms=IDLE_TIMEOUT_MS)
        self._server = Server(loop, self._dispatch, limits)
        self._handlers: dict[tuple[str, str], Handler] = {
            ("POST", WATCH_PATH): self._watch_received,
            ("POST", messages.CHANGES_PATH): self._change_requested,
            ("POST", messages.REGISTERS_PATH): self._register_requested,
            ("POST", messages.HEARTBEATS_PATH): self._heartbeat_received,
            ("POST", messages.REPORTS_PATH): self._report_received,
            ("POST", messages.HELLO_PATH): self._hello_received,
            ("GET", messages.STATUS_PATH): self._status_requested,
        }

    # ---- Start and stop -----------------------------------------------------------------------------------
    async def start(self) -> int:
        """Listen, start the followers and the check of the disk. Returns the port."""
        port = await self._server.listen(self.config.host, self.config.port)
        self._execute(self.core.start(self.timeline.now()))
        if self.core.member is not None:
            DiskTrust(
                self.config, self._store, self._client, self.timeline, self._handle_disk_trusted
            ).start()
        self.log.info("listening", port=port, head=self.core.log.head, run=self._store.boot_epoch)
        return port

    async def stop(self) -> None:
        """Stop listening, finish open responses, flush the disk."""
        await self._server.stop(STOP_TIMEOUT_MS)
        while not self._store.flushed:
            await asyncio.sleep(0.005)
        self.close()

    def close(self) -> None:
        """Close everything at once."""
        if self.closed:
            return
        self.closed = True
        self.timeline.close()
        self._client.close()
        self._store.close()
        self._files.close()

    def _handle_disk_trusted(self, was_lost: bool, highest_version: int) -> None:
        self.log.info("disk trusted", lost=was_lost, highest=highest_version)
        self._handle(server.DiskTrusted(was_lost, highest_version))

    # ---- The core -----------------------------------------------------------------------------------------
    def _handle(self, event: server.Event) -> None:
        if not self.closed:
            self._execute(self.core.handle(self.timeline.now(), event))

    def _execute(self, actions: list[server.Action]) -> None:
        for action in actions:
            match action:
                case server.StartTimer(delay_ms, event):
                    self.timeline.later(delay_ms, partial(self._handle, event))
                case server.SendWatch():
                    self._send_watch(action)
                case server.SendMessage(to, message):
                    path = (
                        messages.HEARTBEATS_PATH if isinstance(message, Heartbeat) else messages.REPORTS_PATH
                    )
                    self._client.notify(to, path, msgspec.json.encode(message))
                case registers.Send():
                    self._send_register(action)
                case server.ReplyWatch() | server.ReplyChange() | server.ReplyRegister():
                    self._reply(action)
                case server.WriteLog(text, detail, version):
                    self.log.warning(text, detail=detail, version=version)
                case _:
                    self._write_to_disk(action)

    def _write_to_disk(
        self, action: server.StoreOpenVersion | server.StoreEntry | server.StoreSnapshot
    ) -> None:
        match action:
            case server.StoreOpenVersion(correlation_id, record):
                self._store.store_open_version(
                    record, lambda error: self._handle_stored(correlation_id, error)
                )
            case server.StoreEntry(entry):
                self._store.store_entry(entry)
                self._log_revert(entry.version)
            case server.StoreSnapshot():
                self._store.rewrite()
                self.log.info("snapshot taken", version=self.core.log.head)

    def _handle_stored(self, correlation_id: int, error: OSError | None) -> None:
        if error is not None and not self._disk_failed:
            self._disk_failed = True
            self.log.error("the disk has failed: this member no longer votes", detail=str(error))
        self._handle(server.Stored(correlation_id, error is None))

    def _log_revert(self, version: int) -> None:
        entry = self.core.log.entry(version)
        if entry is not None and entry.reverts:
            self.log.warning("change reverted", version=entry.reverts, by=version, reason=entry.reason)

    def _send_watch(self, send: server.SendWatch) -> None:
        def handle_response(response: WatchResponse | None) -> None:
            self._handle(server.FollowerEvent(send.source, follower.WatchAnswered(send.watch_id, response)))

        body = msgspec.json.encode(send.watch)
        self._client.request(
            send.to, WATCH_PATH, body, WATCH_TIMEOUT_MS, _decode_watch_response, handle_response
        )

    def _send_register(self, send: registers.Send) -> None:
        def handle_response(answer: RegisterAnswer | None) -> None:
            event = (
                registers.RequestFailed(send.request_id)
                if answer is None
                else registers.ResponseReceived(send.request_id, answer)
            )
            self._loop.call_soon(self._handle, server.RegisterEvent(event))

        if send.to == self.config.name:
            correlation_id = self._next_id()
            self._replies[correlation_id] = handle_response
            self._handle(server.RegisterRequested(correlation_id, send.message))
            return

        def handle_message(response: RegisterResponse | None) -> None:
            is_from_member = response is not None and response.sender == send.to
            handle_response(response.message if response is not None and is_from_member else None)

        body = msgspec.json.encode(RegisterRequest(self.config.name, self._store.boot_epoch, send.message))
        self._client.request(
            send.to,
            messages.REGISTERS_PATH,
            body,
            REGISTER_TIMEOUT_MS,
            _decode_register_response,
            handle_message,
        )

    def _reply(self, reply: server.ReplyWatch | server.ReplyChange | server.ReplyRegister) -> None:
        if isinstance(reply, server.ReplyRegister) and reply.correlation_id in self._replies:
            self._replies.pop(reply.correlation_id)(reply.response)
            return
        exchange = self._exchanges.pop(reply.correlation_id, None)
        if exchange is None or exchange.disconnected:
            return
        if reply.response is None:
            exchange.reply_problem(503, "not now", extra=(("retry-after", "1"),))
            return
        payload: object = reply.response
        if isinstance(reply, server.ReplyRegister):
            payload = RegisterResponse(self.config.name, reply.response)
        exchange.reply(200, JSON_HEADERS, msgspec.json.encode(payload))

    # ---- Requests -----------------------------------------------------------------------------------------
    def _next_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def _dispatch(self, exchange: Exchange) -> None:
        handler = self._handlers.get((exchange.request.method, exchange.request.path))
        if handler is None:
            exchange.reply_problem(404, "no such resource")
            return
        try:
            handler(exchange)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed message", str(error))

    def _add_exchange(self, exchange: Exchange) -> int:
        correlation_id = self._next_id()
        self._exchanges[correlation_id] = exchange
        exchange.on_disconnect = lambda: self._handle_disconnect(correlation_id)
        return correlation_id

    def _handle_disconnect(self, correlation_id: int) -> None:
        if self._exchanges.pop(correlation_id, None) is not None:
            self._handle(server.FollowerDisconnected(correlation_id))

    def _check_sender(self, exchange: Exchange, sender: str, patterns: tuple[str, ...]) -> bool:
        """Whether the settings allow the sender; if not, replies with a problem."""
        if any(fnmatchcase(sender, pattern) for pattern in patterns):
            return True
        exchange.reply_problem(403, "not named in the settings", sender)
        return False

    def _check_member(self, exchange: Exchange, sender: str) -> bool:
        return self._check_sender(exchange, sender, self.core.identity.members)

    def _watch_received(self, exchange: Exchange) -> None:
        watch = _decode_watch(exchange.request.body)
        config = self.config
        is_director = isinstance(watch, DirectorWatch)
        patterns = config.directors if is_director else (*config.relays, *self.core.identity.members)
        if self._check_sender(exchange, watch.sender, patterns):
            self._handle(server.WatchReceived(self._add_exchange(exchange), watch))

    def _change_requested(self, exchange: Exchange) -> None:
        change_request = _decode_change_request(exchange.request.body)
        try:
            check_values(change_request.change)
        except EntryError as error:
            refused = ChangeResponse(Outcome.REFUSED, reason=str(error))
            exchange.reply(200, JSON_HEADERS, msgspec.json.encode(refused))
            return
        self.log.info(
            "order",
            request=change_request.request_id,
            withdraw=change_request.withdraw,
            keys=len(change_request.change.puts),
        )
        self._handle(server.ChangeRequested(self._add_exchange(exchange), change_request))

    def _register_requested(self, exchange: Exchange) -> None:
        request = _decode_register(exchange.request.body)
        if self._check_member(exchange, request.sender):
            self._handle(server.RegisterRequested(self._add_exchange(exchange), request.message))

    def _heartbeat_received(self, exchange: Exchange) -> None:
        beat = _decode_heartbeat(exchange.request.body)
        if self._check_member(exchange, beat.sender):
            self._handle(server.MessageReceived(beat))
            exchange.reply(204)

    def _report_received(self, exchange: Exchange) -> None:
        report = _decode_report(exchange.request.body)
        if self._check_sender(exchange, report.sender, (*self.config.relays, *self.core.identity.members)):
            self._handle(server.MessageReceived(report))
            exchange.reply(204)

    def _hello_received(self, exchange: Exchange) -> None:
        hello = _decode_hello(exchange.request.body)
        member = self.core.member
        if member is None or not self._check_member(exchange, hello.sender):
            if member is None:
                exchange.reply_problem(404, "not a member of the group")
            return

        def stored(previous_boot_epoch: int | None) -> None:
            if exchange.disconnected:
                return
            if previous_boot_epoch is None:
                exchange.reply_problem(503, "the disk has failed")
                return
            answer = HelloResponse(self.config.name, previous_boot_epoch, member.acceptor.highest_version)
            exchange.reply(200, JSON_HEADERS, msgspec.json.encode(answer))

        self._store.store_boot_epoch(hello.sender, hello.boot_epoch, stored)

    def _status_requested(self, exchange: Exchange) -> None:
        status = status_of(self.core, self.timeline.now())
        exchange.reply(200, JSON_HEADERS, msgspec.json.encode(status))
