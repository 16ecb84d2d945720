"""A control server on its sockets: carries out what `foxlift.rollout.server` says.

POST /config/watch        a follower's watch; held until there is something for it
POST /config/orders       an operator's order
POST /config/registers    a group member's message to this one's acceptor
POST /config/heartbeats, /config/reports, /config/hello    between control servers
GET  /config/status       what this server knows, for people

A body that cannot be read, or a sender that the settings do not let in, is refused with a problem; nobody
else notices. What waits is bounded: connections, bodies, and watches that are held.
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

STALL_MS = 20.0
REGISTER_TIMEOUT_MS = 400.0
WATCH_TIMEOUT_MS = watcher.POLL_TIMEOUT_MS + 500.0
STOP_TIME_MS = 200.0
MAX_CONNECTIONS = 10_000
MAX_BODY_BYTES = 1 << 18
IDLE_TIME_MS = 30_000.0
POOL_LIMITS = PoolLimits(connect_ms=1000.0, max_connections=8, max_response_bytes=MAX_RESPONSE_BYTES)

_decode_watch = msgspec.json.Decoder(Watch).decode
_decode_watch_answer = msgspec.json.Decoder(WatchResponse).decode
_decode_change_request = msgspec.json.Decoder(ChangeRequest).decode
_decode_register = msgspec.json.Decoder(RegisterRequest).decode
_decode_register_answer = msgspec.json.Decoder(RegisterResponse).decode
_decode_heartbeat = msgspec.json.Decoder(Heartbeat).decode
_decode_report = msgspec.json.Decoder(Report).decode
_decode_hello = msgspec.json.Decoder(messages.Hello).decode

Handler = Callable[[Exchange], None]


class ControlService:
    """One control server in one process."""

    def __init__(self, config: ControlConfig, loop: asyncio.AbstractEventLoop) -> None:
        """Reads the state folder and begins a new run. Raises OSError and LogError."""
        self.config, self._loop = config, loop
        self.log = structlog.get_logger().bind(control=config.name)
        self.timeline = Timeline(loop, time.time(), STALL_MS, lambda late_ms: None)
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
        self._last_number = 0
        self._disk_failed = self.closed = False
        limits = Limits(MAX_CONNECTIONS, max_body_bytes=MAX_BODY_BYTES, idle_time_ms=IDLE_TIME_MS)
        self._server = Server(loop, self._dispatch, limits)
        self._handlers: dict[tuple[str, str], Handler] = {
            ("POST", WATCH_PATH): self._watch_received,
            ("POST", messages.ORDERS): self._change_requested,
            ("POST", messages.REGISTERS): self._register_requested,
            ("POST", messages.HEARTBEATS): self._heartbeat,
            ("POST", messages.REPORTS): self._report_received,
            ("POST", messages.HELLO): self._hello,
            ("GET", messages.STATUS): self._status,
        }

    # ---- Life ---------------------------------------------------------------------------------------------
    async def start(self) -> int:
        """Listen, follow others, ask whether the disk is to be trusted; gives back the port."""
        port = await self._server.listen(self.config.host, self.config.port)
        self._carry_out(self.core.start(self.timeline.now()))
        if self.core.member is not None:
            DiskTrust(self.config, self._store, self._client, self.timeline, self._trusted).start()
        self.log.info("listening", port=port, head=self.core.log.head, run=self._store.boot_epoch)
        return port

    async def stop(self) -> None:
        """Accept nothing more, answer what is due, flush the disk."""
        await self._server.stop(STOP_TIME_MS)
        while not self._store.flushed:
            await asyncio.sleep(0.005)
        self.close()

    def close(self) -> None:
        """Let go of everything at once."""
        if self.closed:
            return
        self.closed = True
        self.timeline.close()
        self._client.close()
        self._store.close()
        self._files.close()

    def _trusted(self, lost: bool, highest: int) -> None:
        self.log.info("disk trusted", lost=lost, highest=highest)
        self._handle(server.DiskTrusted(lost, highest))

    # ---- The core -----------------------------------------------------------------------------------------
    def _handle(self, event: server.Event) -> None:
        if not self.closed:
            self._carry_out(self.core.handle(self.timeline.now(), event))

    def _carry_out(self, actions: list[server.Action]) -> None:
        for action in actions:
            match action:
                case server.StartTimer(delay_ms, event):
                    self.timeline.later(delay_ms, partial(self._handle, event))
                case server.SendWatch():
                    self._send_watch(action)
                case server.SendMessage(to, message):
                    path = messages.HEARTBEATS if isinstance(message, Heartbeat) else messages.REPORTS
                    self._client.notify(to, path, msgspec.json.encode(message))
                case registers.Send():
                    self._send_register(action)
                case server.ReplyWatch() | server.ReplyChange() | server.ReplyRegister():
                    self._reply(action)
                case server.WriteLog(what, detail, version):
                    self.log.warning(what, detail=detail, version=version)
                case _:
                    self._keep(action)

    def _keep(self, action: server.StoreOpenVersion | server.StoreEntry | server.StoreSnapshot) -> None:
        match action:
            case server.StoreOpenVersion(number, record):
                self._store.store_open_version(record, lambda error: self._stored(number, error))
            case server.StoreEntry(entry):
                self._store.store_entry(entry)
                self._log_entry(entry.version)
            case server.StoreSnapshot():
                self._store.rewrite()
                self.log.info("snapshot taken", version=self.core.log.head)

    def _stored(self, number: int, error: OSError | None) -> None:
        if error is not None and not self._disk_failed:
            self._disk_failed = True
            self.log.error("the disk has failed: no vote from here any more", detail=str(error))
        self._handle(server.Stored(number, error is None))

    def _log_entry(self, version: int) -> None:
        entry = self.core.log.entry(version)
        if entry is not None and entry.reverts:
            self.log.warning("change taken back", version=entry.reverts, by=version, reason=entry.reason)

    def _send_watch(self, send: server.SendWatch) -> None:
        def answered(answer: WatchResponse | None) -> None:
            self._handle(server.FollowerEvent(send.source, follower.WatchAnswered(send.watch_id, answer)))

        body = msgspec.json.encode(send.watch)
        self._client.request(send.to, WATCH_PATH, body, WATCH_TIMEOUT_MS, _decode_watch_answer, answered)

    def _send_register(self, send: registers.Send) -> None:
        def answered(answer: RegisterAnswer | None) -> None:
            event = (
                registers.RequestFailed(send.request_id)
                if answer is None
                else registers.ResponseReceived(send.request_id, answer)
            )
            self._loop.call_soon(self._handle, server.RegisterEvent(event))

        if send.to == self.config.name:
            number = self._next_number()
            self._replies[number] = answered
            self._handle(server.RegisterRequested(number, send.message))
            return

        def received(response: RegisterResponse | None) -> None:
            is_from_member = response is not None and response.sender == send.to
            answered(response.message if response is not None and is_from_member else None)

        body = msgspec.json.encode(RegisterRequest(self.config.name, self._store.boot_epoch, send.message))
        self._client.request(
            send.to, messages.REGISTERS, body, REGISTER_TIMEOUT_MS, _decode_register_answer, received
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
        answer: object = reply.response
        if isinstance(reply, server.ReplyRegister):
            answer = RegisterResponse(self.config.name, reply.response)
        exchange.reply(200, JSON_HEADERS, msgspec.json.encode(answer))

    # ---- Requests -----------------------------------------------------------------------------------------
    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _dispatch(self, exchange: Exchange) -> None:
        handler = self._handlers.get((exchange.request.method, exchange.request.path))
        if handler is None:
            exchange.reply_problem(404, "no such resource")
            return
        try:
            handler(exchange)
        except msgspec.MsgspecError as error:
            exchange.reply_problem(400, "malformed message", str(error))

    def _hold(self, exchange: Exchange) -> int:
        number = self._next_number()
        self._exchanges[number] = exchange
        exchange.on_disconnect = lambda: self._gone(number)
        return number

    def _gone(self, number: int) -> None:
        if self._exchanges.pop(number, None) is not None:
            self._handle(server.FollowerDisconnected(number))

    def _admits(self, exchange: Exchange, sender: str, patterns: tuple[str, ...]) -> bool:
        """Whether a sender is let in; refuses it if not."""
        if any(fnmatchcase(sender, pattern) for pattern in patterns):
            return True
        exchange.reply_problem(403, "not named in the settings", sender)
        return False

    def _is_member(self, exchange: Exchange, sender: str) -> bool:
        return self._admits(exchange, sender, self.core.identity.members)

    def _watch_received(self, exchange: Exchange) -> None:
        watch = _decode_watch(exchange.request.body)
        config = self.config
        is_director = isinstance(watch, DirectorWatch)
        patterns = config.directors if is_director else (*config.relays, *self.core.identity.members)
        if self._admits(exchange, watch.sender, patterns):
            self._handle(server.WatchReceived(self._hold(exchange), watch))

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
        self._handle(server.ChangeRequested(self._hold(exchange), change_request))

    def _register_requested(self, exchange: Exchange) -> None:
        request = _decode_register(exchange.request.body)
        if self._is_member(exchange, request.sender):
            self._handle(server.RegisterRequested(self._hold(exchange), request.message))

    def _heartbeat(self, exchange: Exchange) -> None:
        beat = _decode_heartbeat(exchange.request.body)
        if self._is_member(exchange, beat.sender):
            self._handle(server.MessageReceived(beat))
            exchange.reply(204)

    def _report_received(self, exchange: Exchange) -> None:
        report = _decode_report(exchange.request.body)
        if self._admits(exchange, report.sender, (*self.config.relays, *self.core.identity.members)):
            self._handle(server.MessageReceived(report))
            exchange.reply(204)

    def _hello(self, exchange: Exchange) -> None:
        hello = _decode_hello(exchange.request.body)
        member = self.core.member
        if member is None or not self._is_member(exchange, hello.sender):
            if member is None:
                exchange.reply_problem(404, "not a member of the group")
            return

        def stored(before: int | None) -> None:
            if exchange.disconnected:
                return
            if before is None:
                exchange.reply_problem(503, "the disk has failed")
                return
            answer = HelloResponse(self.config.name, before, member.acceptor.highest_version)
            exchange.reply(200, JSON_HEADERS, msgspec.json.encode(answer))

        self._store.store_boot_epoch(hello.sender, hello.boot_epoch, stored)

    def _status(self, exchange: Exchange) -> None:
        status = status_of(self.core, self.timeline.now())
        exchange.reply(200, JSON_HEADERS, msgspec.json.encode(status))
