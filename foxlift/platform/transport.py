"""Sockets, timers and signals of a platform director. It wires up other modules, which make all decisions.

Limits: unsent bytes are limited in the modules of the connections, lines and messages by their codecs, the
number of connections by `admission` and `descriptors`.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import cast

from foxlift.director.timeline import Timeline
from foxlift.platform import descriptors, discovery_watch, pool_messages
from foxlift.platform import events as ev
from foxlift.platform.admission import ConnectionAdmission
from foxlift.platform.backlogs import Backlogs
from foxlift.platform.client_connection import ClientConnection
from foxlift.platform.core import Core
from foxlift.platform.discovery import Discovery
from foxlift.platform.eviction import ClosingConnections
from foxlift.platform.log import RateLimitedLog
from foxlift.platform.loop_lag import EventLoopLag
from foxlift.platform.server_connections import ServerConnections
from foxlift.platform.settings import Config, ConfigError, read
from foxlift.platform.setups import ClientSocket
from foxlift.platform.stop import GracefulStop, PendingWork, State, Step

TICK_INTERVAL_MS = 100.0  # interval of the periodic checks of all connections
STALL_MS = 20.0  # after a longer stall, the loop reads its sockets before it runs timers
SUMMARY_INTERVAL_MS = 15000.0  # between two summary lines in the log


class PlatformDirector:
    """One director with its sockets, timers and signals."""

    def __init__(self, config: Config, config_path: str, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self._config_path, self._loop = config, config_path, loop
        self.log = RateLimitedLog()
        self.count: Counter[str] = Counter()
        self.core = Core(config)
        self.timeline = Timeline(loop, time.time(), STALL_MS, self._stalled)
        self.admission = ConnectionAdmission(descriptors.share_out(config.sockets, servers=0).clients)
        self._lag = EventLoopLag()
        self.ended: asyncio.Future[None] = loop.create_future()
        self.servers = ServerConnections(self, config, loop)
        self.discovery = Discovery(self, config, loop)
        self._clients: dict[int, ClientConnection] = {}
        self._last_client = 0
        self._making_room = False  # whether `_make_room` is scheduled for an accepted connection
        self.backlogs = Backlogs(loop.call_soon)
        self.closing = ClosingConnections()
        self._server: asyncio.Server | None = None
        self._stop = GracefulStop(klass.deadline_ms for klass in config.module.classes)
        self._received = 0  # number of client connections accepted and of reads on them
        self._summary_at = self.timeline.now() + SUMMARY_INTERVAL_MS

    # ---- Life cycle ---------------------------------------------------------------------------------------
    async def start(self) -> None:
        """Listen and connect to the coordinator. Raises OSError if the address cannot be bound."""
        for update in self.config.known:
            self.notify_core(ev.ListUpdated(update))
        self._server = await self._loop.create_server(
            lambda: ClientConnection(self), self.config.listen.host, self.config.listen.port, backlog=1024
        )
        self.discovery.start()
        self.timeline.later(TICK_INTERVAL_MS, self._tick)

    async def close(self) -> None:
        """Abort all connections."""
        self.timeline.close()
        if self._server is not None:
            self._server.close()
        self.discovery.close()
        for client in list(self._clients.values()):
            client.abort()
        self.servers.close()
        await asyncio.sleep(0)

    def reload(self) -> None:
        """Handle SIGHUP: apply the coordinator's address; an invalid file changes nothing."""
        try:
            with open(self._config_path, "rb") as file:
                config = read(file.read())
        except (OSError, ConfigError) as error:
            self.log.write("configuration not taken over", str(error))
            return
        self.count["reloads"] += 1
        self.discovery.handle(discovery_watch.AddressChanged(config.coordinator))

    def stop(self) -> None:
        """Handle SIGTERM: serve until nothing is pending and nothing more can arrive."""
        if self._stop.begin(self.timeline.now()):
            self.log.write("stopping", f"{self.core.unanswered} set-ups unanswered")

    def _check_stop(self) -> None:
        """Check whether a stopping director may exit."""
        match self._stop.check(self.timeline.now(), self._pending_work()):
            case Step.ANSWER:
                self.notify_core(ev.ShutdownImminent())
                self._loop.call_soon(self._check_stop)
            case Step.CHECK:
                self._loop.call_soon(self._check_stop)
            case Step.END:
                if self._server is not None:
                    self._server.close()
                self.ended.set_result(None)
            case Step.WAIT:
                pass

    def _pending_work(self) -> PendingWork:
        written = sum(
            client.transport.get_write_buffer_size()
            for client in self._clients.values()
            if client.transport is not None
        )
        unsent = written + self.servers.unsent_size() + len(self.backlogs)
        return PendingWork(self.core.unanswered, unsent, self._received)

    def lag(self) -> float:
        """Return how long bytes read now may have been unread, ms."""
        return self._lag.work_begins(self._loop.time() * 1000)

    def _tick(self) -> None:
        # first, so that an exception below does not end the ticks
        self.timeline.later(TICK_INTERVAL_MS, self._tick)
        # not while serving, since a check sums the unsent bytes of all connections; in CHECKING, the check
        # schedules itself
        if self._stop.state not in (State.SERVING, State.CHECKING):
            self._check_stop()
        self.after_reading(self._close_overdue)
        if self.admission.is_over_bound:  # a fallen bound is reached as set-ups end
            self.after_reading(self._make_room)
        now = self.timeline.now()
        self.servers.tick()
        if now >= self._summary_at:
            self._summary_at = now + SUMMARY_INTERVAL_MS
            self.log.write("so far", self.summary_line())

    def _stalled(self, late_ms: float) -> None:
        self.count["stalls"] += 1

    def summary_line(self) -> str:
        """Return the counts of what happened, the table sizes and the open sockets."""
        counts = self.core.counts + self.count
        counts.update(
            {"feed gaps": self.discovery.watch.gaps, "feed connections": self.discovery.watch.reconnects}
        )
        endings = self.core.session_endings
        counts.update({"farewells kept": len(endings), "farewells again": endings.resent})
        counts.update(
            {"released again": self.core.viewer_releases.resent, "turned away": self.admission.rejected}
        )
        counted = ", ".join(f"{name} {n}" for name, n in sorted(counts.items()) if n)
        sizes = ", ".join(f"{name} {n}" for name, n in self.core.table_sizes().items())
        sockets = f"viewers {len(self._clients)}, box connections {len(self.servers.connections)}"
        return f"{counted}; tables: {sizes}; sockets: {sockets}; feed at {self.discovery.watch.number}"

    def servers_line(self) -> str:
        """Return for each server its sessions and set-ups in the core and its connections in the pool."""
        usage = self.core.server_usage()
        in_use = {node: (len(pool.connections), pool.in_flight) for node, pool in self.servers.pools.items()}
        return ", ".join(
            f"s-{node:08x} plays {usage.get(node, (0, 0))[0]} sets up {usage.get(node, (0, 0))[1]}"
            f" out {in_use.get(node, (0, 0))[1]} on {in_use.get(node, (0, 0))[0]}"
            for node in sorted({*usage, *in_use})
        )

    def handle_exception(self, context: dict[str, object]) -> None:
        """Log an uncaught exception; if it belongs to a connection, abort that."""
        self.count["exceptions"] += 1
        error = context.get("exception")
        where = ""
        if isinstance(error, BaseException):
            frames = error.__traceback__
            while frames is not None and frames.tb_next is not None:
                frames = frames.tb_next
            at = f"{frames.tb_frame.f_code.co_filename}:{frames.tb_lineno}" if frames is not None else ""
            where = f"{type(error).__name__}: {error} at {at}"
        self.log.write("exception", f"{context.get('message')} {where}")
        transport = context.get("transport")
        if transport is not None:  # uvloop's transports are not subclasses of asyncio.Transport
            cast(asyncio.Transport, transport).abort()

    def log_task_error(self, task: asyncio.Task[None]) -> None:
        """Log the exception of a task, if it ended with one."""
        if not task.cancelled() and (error := task.exception()) is not None:
            self.handle_exception({"message": "connecting", "exception": error})

    # ---- The core -----------------------------------------------------------------------------------------
    def notify_core(self, event: ev.Event) -> None:
        """Pass an event to the core and carry out its actions."""
        self.lag()
        for action in self.core.handle(self.timeline.now(), event):
            self._carry_out(action)
        self._lag.work_ends(time.monotonic() * 1000)

    def _carry_out(self, action: ev.Action) -> None:
        match action:
            case ev.SendToViewer(conn, data):
                client = self._clients.get(conn)
                if client is not None:
                    client.send(data)
            case ev.StartTimer(delay_ms, event):
                self.timeline.later(delay_ms, lambda: self.after_reading(lambda: self.notify_core(event)))
            case ev.QueueSetup(number, node):
                self.servers.queue_setup(number, node)
            case ev.CancelSetup(number, node):
                self.servers.handle(node, pool_messages.SetupCancelled(number))
            case ev.SendToServer(node, conn, data, this_connection_only):
                self.servers.send(node, conn, data, this_connection_only)
            case ev.CloseCorruptConnection(node, conn):
                self.servers.close_corrupt(node, conn)
            case ev.SetupFinished(node, conn, answer):
                self.servers.handle(node, pool_messages.SlotReleased(conn, answer))
            case ev.SetSessionCount(node, count):
                self.servers.handle(node, pool_messages.SessionsChanged(count))
            case ev.ChangeViewerSessions(conn, change):
                self.admission.sessions_changed(conn, change)
            case ev.SetupOpened(conn):
                self.admission.setup_opened(conn)
                self._update_reading(conn)
            case ev.SetupClosed(conn, has_started):
                self.admission.setup_closed(conn, has_started)
                self._update_reading(conn)
            case ev.AddServer(node, address):
                self.servers.server_listed(node, address)
            case ev.RemoveServer(node):
                self.servers.handle(node, pool_messages.ServerRemoved())
            case ev.RecordProtocolError(conn):
                client = self._clients.get(conn)
                if self.admission.record_protocol_error(conn) and client is not None:
                    self.count["viewer blamed"] += 1
                    client.close()
            case ev.WriteLog(log_event, detail):
                self.log.write(log_event, detail)

    def _update_reading(self, conn: int) -> None:
        client = self._clients.get(conn)
        if client is not None:
            client.update_reading()

    def after_reading(self, callback: Callable[[], None]) -> None:
        """Call `callback` once everything that has arrived by now is read.

        The loop reads its sockets between a callback and a callback scheduled by it, so the second one runs
        after a complete pass over the sockets. Timers need this too: they run before the sockets of their
        iteration are read, and an answer that arrived in time must win over a timer that expired meanwhile.
        """
        self._loop.call_soon(self._loop.call_soon, callback)

    # ---- Clients ------------------------------------------------------------------------------------------
    def client_opened(self, client: ClientConnection) -> int:
        """Register an accepted connection and return its number."""
        self._received += 1
        self._last_client += 1
        self._clients[self._last_client] = client
        evicted = self.admission.opened(self.timeline.now(), self._last_client)
        if evicted is not None:
            self._close_client(evicted)
        elif self.admission.is_over_bound and not self._making_room:
            # after reading, so that a connection with a request that has already arrived is kept
            self._making_room = True
            self.after_reading(self._make_room)
        return self._last_client

    def _close_overdue(self) -> None:
        """Close connections of clients that exceed the time for their first request or for a message."""
        for number in self.admission.overdue(self.timeline.now()):
            self.count["viewer overdue"] += 1
            self._clients[number].close()

    def _make_room(self) -> None:
        """Close connections of clients down to the limit."""
        self._making_room = False
        for number in self.admission.surplus(self.timeline.now()):
            self._close_client(number)

    def _close_client(self, number: int) -> None:
        """Answer the open set-ups of a client and close its connection."""
        self.notify_core(ev.ViewerEvicted(number))
        self._clients[number].close()

    def client_read(self) -> float:
        """Note a read and return how long its bytes may have been unread, ms."""
        self._received += 1
        return self.lag()

    def client_received(self, number: int, proven: bool, partial: bool) -> None:
        """Note received bytes of a connection."""
        self.admission.received(self.timeline.now(), number, proven, partial)

    def client_left(self, number: int) -> None:
        """Nothing more is read from a connection, but unsent bytes may remain."""
        self.admission.closed(number)
        self.notify_core(ev.ViewerDisconnected(number))

    def client_closed(self, number: int) -> None:
        """A connection has closed."""
        if self._clients.pop(number, None) is not None:
            self.client_left(number)

    # ---- Clients: `ServerConnectionsOwner` ----------------------------------------------------------------
    @property
    def client_connections(self) -> int:
        """Number of open connections from clients."""
        return len(self._clients)

    def client_share_changed(self, max_connections: int) -> None:
        """Set the maximum number of connections from clients after the number of servers has changed."""
        self.admission.change_bound(max_connections)
        self.after_reading(self._make_room)  # in case the maximum has fallen

    def _client_of(self, request: int) -> ClientConnection | None:
        return self._clients.get(self.core.connection_of(request))

    def client_socket(self, request: int) -> ClientSocket:
        """Return what of a request's client is not handled yet."""
        client = self._client_of(request)
        return ClientSocket.NOTHING if client is None else client.socket_state()

    def when_client_handled(self, request: int, callback: Callable[[], None]) -> None:
        """Call `callback` once all messages that were read from a request's client are handled."""
        client = self._client_of(request)
        if client is None:
            callback()
        else:
            client.when_handled(callback)

    def note_reset_client(self, request: int) -> None:
        """Notify the core if the request's client has reset its connection.

        The transport knows of the reset before the protocol's `connection_lost` is called.
        """
        client = self._client_of(request)
        if client is not None and client.is_closing:
            self.client_left(client.number)
