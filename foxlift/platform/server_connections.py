"""Connections to all media servers: opens, closes and writes to them as each server's `ServerPool` decides.

A connection is aborted at `MAX_UNSENT_BYTES` unsent bytes. Messages kept for a server without a connection
are limited by `MAX_UNSENT_MESSAGES`, the number of connections by the shares of `descriptors`.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from foxlift.director.timeline import Timeline
from foxlift.platform import descriptors, pool_messages, rtsp, server_pool
from foxlift.platform import events as ev
from foxlift.platform.eviction import MIN_LISTENING_MS, select_connection_to_close, turn_order
from foxlift.platform.log import RateLimitedLog
from foxlift.platform.server_connection import ServerConnection
from foxlift.platform.settings import Address, Config
from foxlift.platform.setups import ClientSocket, PendingSetup, SetupQueue

RETIRED_READ_MS = 2000.0  # how long a retired connection is still read
MAX_UNSENT_MESSAGES = 4096  # per server without an open connection


class SetupSource(Protocol):
    """What the connections use of the core."""

    def is_waiting(self, number: int, node: int) -> bool:
        """Return whether an attempt of the request at this server is not sent yet."""

    def take_setup(self, now: float, number: int, node: int, conn: int) -> bytes | None:
        """Record a set-up as sent and return its bytes, or None if it must not be sent any more."""


class ServerConnectionsOwner(Protocol):
    """What the connections use of their director."""

    count: Counter[str]
    log: RateLimitedLog
    timeline: Timeline

    @property
    def core(self) -> SetupSource:
        """The core of the director."""

    @property
    def client_connections(self) -> int:
        """Number of open connections from clients."""

    def notify_core(self, event: ev.Event) -> None:
        """Pass an event to the core."""

    def client_socket(self, request: int) -> ClientSocket:
        """Return what of a request's client is not handled yet."""

    def when_client_handled(self, request: int, callback: Callable[[], None]) -> None:
        """Call `callback` once all messages that were read from a request's client are handled."""

    def note_reset_client(self, request: int) -> None:
        """Notify the core if the request's client has reset its connection."""

    def client_share_changed(self, max_connections: int) -> None:
        """Set the maximum number of connections from clients."""

    def log_task_error(self, task: asyncio.Task[None]) -> None:
        """Log the exception of a task, if it ended with one."""


class ServerConnections:
    """One director's connections to media servers."""

    def __init__(
        self, director: ServerConnectionsOwner, config: Config, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._director, self._config, self._loop = director, config, loop
        self._shares = descriptors.share_out(config.sockets, servers=0)
        self.pools: dict[int, server_pool.ServerPool] = {}
        self.addresses: dict[int, Address] = {}
        self.connections: dict[tuple[int, int], ServerConnection] = {}
        self.opening: dict[tuple[int, int], asyncio.Task[None]] = {}
        self.unsent: dict[int, deque[bytes]] = {}
        self._none_to_yield = False  # to a server that needs one to listen, until the next tick
        self._setups = SetupQueue(loop, self._client_socket, self._when_handled, self._write_setup)

    # ---- For `ServerConnection` ---------------------------------------------------------------------------
    @property
    def count(self) -> Counter[str]:
        """The director's number of occurrences by kind."""
        return self._director.count

    @property
    def log(self) -> RateLimitedLog:
        """The director's log."""
        return self._director.log

    def notify_core(self, event: ev.Event) -> None:
        """Pass an event to the core."""
        self._director.notify_core(event)

    # ---- Servers ------------------------------------------------------------------------------------------
    def server_listed(self, node: int, address: Address) -> None:
        """The list names a server, possibly again."""
        moved = self.addresses.get(node, address) != address
        self.addresses[node] = address
        if node in self.pools:
            self.handle(node, pool_messages.ServerListed(moved))
            return
        connect_ms = self._config.module.connect_timeout_ms or server_pool.DEFAULT_CONNECT_TIMEOUT_MS
        self.pools[node] = server_pool.ServerPool(
            connect_ms, self._config.idle_ms, 1, self._config.max_streams
        )
        self._update_shares()

    def queue_setup(self, request: int, node: int) -> None:
        """Queue a set-up for a server."""
        if node not in self.pools:
            self._director.notify_core(ev.SetupNotSent(request, node))
        else:
            self.handle(node, pool_messages.SetupQueued(request))

    def tick(self) -> None:
        """Run the periodic checks of all pools."""
        self._none_to_yield = False
        for node in turn_order(self.pools):
            self.handle(node, pool_messages.Tick())
            pool = self.pools.get(node)
            if pool is not None and pool.is_removed and pool.unused:
                self._drop_pool(node)

    def unsent_size(self) -> int:
        """Return the number of bytes the kernel has not accepted plus messages that wait for a connection."""
        written = sum(
            connection.transport.get_write_buffer_size()
            for connection in self.connections.values()
            if connection.transport is not None
        )
        return written + sum(len(waiting) for waiting in self.unsent.values())

    def close(self) -> None:
        """Abort all connections."""
        for task in self.opening.values():
            task.cancel()
        for connection in list(self.connections.values()):
            connection.close()

    def handle(self, node: int, event: pool_messages.Event) -> None:
        """Pass an event to the pool of a server and carry out its actions."""
        pool = self.pools.get(node)
        if pool is None:
            return
        for action in pool.handle(self._director.timeline.now(), event):
            self._carry_out(node, action)

    def _carry_out(self, node: int, action: pool_messages.Action) -> None:
        match action:
            case pool_messages.OpenConnection(conn, within_ms):
                self._open(node, conn, within_ms)
            case pool_messages.UseConnection(conn, key):
                self._setups.add(PendingSetup(node, conn, key))
            case pool_messages.SetupUnreachable(key):
                self._director.notify_core(ev.SetupNotSent(key, node))
            case pool_messages.PingConnection(conn):
                self._ping(node, conn)
            case pool_messages.CloseConnection(conn):
                self._close(node, conn)
            case pool_messages.RetireConnection(conn):
                self._retire(node, conn)
            case pool_messages.DiscardUnsent():
                self.unsent.pop(node, None)
            case pool_messages.SessionsLost(reason):
                self._director.log.write("box lost", f"s-{node:08x}, {reason}")
                self._director.notify_core(ev.ServerLost(node, reason))

    def _ping(self, node: int, conn: int) -> None:
        self._director.count["pings"] += 1
        connection = self.connections.get((node, conn))
        if connection is not None:
            connection.send(rtsp.ping(f"{node:08x}{conn & 0xFFFFFFFF:08x}"))

    def _retire(self, node: int, conn: int) -> None:
        connection = self.connections.get((node, conn))
        if connection is not None:
            self._director.count["box connections retired"] += 1
            connection.retire()
            self._director.timeline.later(RETIRED_READ_MS, connection.close)

    def _open(self, node: int, conn: int, within_ms: float) -> None:
        if not self._reserve_descriptor(for_listening=not self.pools[node].waiting):
            self._director.count["no descriptor for a box"] += 1
            self._loop.call_soon(self.handle, node, pool_messages.NoDescriptor(conn))
            return
        self._director.count["connections to boxes"] += 1
        task = self._loop.create_task(self._connect(node, conn, self.addresses[node]))
        task.add_done_callback(self._director.log_task_error)
        self.opening[node, conn] = task
        self._director.timeline.later(within_ms, lambda: self.handle(node, pool_messages.Tick()))

    def _reserve_descriptor(self, for_listening: bool) -> bool:
        """Return whether one more connection to a server may be opened, closing another if necessary.

        `for_listening`: no set-up waits for it; it is needed to receive messages about sessions.
        """
        # clients that connected while their share was larger may not be closed yet
        taken_by_clients = max(self._director.client_connections - self._shares.clients, 0)
        if len(self.connections) + len(self.opening) < self._shares.servers - taken_by_clients:
            return True
        retired = next((connection for connection in self.connections.values() if connection.retired), None)
        if retired is not None:
            self._close(retired.node, retired.number)
            return True
        min_listening_ms = MIN_LISTENING_MS if for_listening else 0.0
        if for_listening and self._none_to_yield:
            return False
        yielded = select_connection_to_close(self._director.timeline.now(), self.pools, min_listening_ms)
        if yielded is None:
            self._none_to_yield |= for_listening
            return False
        self._director.count["box connections given up"] += 1
        self.handle(yielded.node, pool_messages.ConnectionYielded(yielded.conn))
        return True

    async def _connect(self, node: int, conn: int, address: Address) -> None:
        connection = ServerConnection(self, node, conn)
        try:
            await self._loop.create_connection(lambda: connection, address.host, address.port)
        except OSError as error:
            self.opening.pop((node, conn), None)
            refused = isinstance(error, ConnectionRefusedError)
            self._director.count["connect refused" if refused else "connect failed"] += 1
            self.handle(node, pool_messages.ConnectionLost(conn, refused))
            return

    def connection_opened(self, connection: ServerConnection) -> None:
        """A connection to a server has opened, possibly after its opening was cancelled."""
        if self.opening.pop((connection.node, connection.number), None) is None:
            connection.close()
            return
        self.connections[connection.node, connection.number] = connection
        self.handle(connection.node, pool_messages.ConnectionOpened(connection.number))
        for data in self.unsent.pop(connection.node, ()):
            connection.send(data)

    def _client_socket(self, setup: PendingSetup) -> ClientSocket:
        return self._director.client_socket(setup.request)

    def _when_handled(self, setup: PendingSetup, callback: Callable[[], None]) -> None:
        self._director.when_client_handled(setup.request, callback)

    def _write_setup(self, setup: PendingSetup) -> None:
        node, conn, key = setup.node, setup.connection, setup.request
        connection = self.connections.get((node, conn))
        if connection is None or connection.transport is None or connection.transport.is_closing():
            if connection is not None:
                # the connection is known to be closed: assign no other set-up to it
                self.connection_dropped(connection, corrupt=False)
            if node not in self.pools:
                self._director.notify_core(ev.SetupNotSent(key, node))
            elif self._director.core.is_waiting(key, node):
                # nothing was sent, and another connection may be available
                self.handle(node, pool_messages.SetupQueued(key))
            return
        if connection.transport.get_write_buffer_size():
            # the kernel accepts nothing: a set-up buffered here might be sent long after its client has left
            self.handle(node, pool_messages.SlotReleased(conn))
            self._director.notify_core(ev.SetupNotSent(key, node))
            return
        self._director.note_reset_client(key)
        data = self._director.core.take_setup(self._director.timeline.now(), key, node, conn)
        if data is None:
            self.handle(node, pool_messages.SlotReleased(conn))
        else:
            connection.send(data)

    def send(self, node: int, conn: int, data: bytes, this_connection_only: bool) -> None:
        """Write to a server on this connection if it is up, else on any unless `this_connection_only`."""
        connection = self.connections.get((node, conn))
        if (connection is not None and connection.send(data)) or this_connection_only:
            return
        pool = self.pools.get(node)
        if pool is None:
            return
        other = pool.latest_up
        if (
            other is not None
            and (connection := self.connections.get((node, other))) is not None
            and connection.send(data)
        ):
            return
        waiting = self.unsent.setdefault(node, deque(maxlen=MAX_UNSENT_MESSAGES))
        waiting.append(data)
        self.handle(node, pool_messages.ConnectRequested())

    def close_corrupt(self, node: int, conn: int) -> None:
        """Close a connection that has received invalid data."""
        connection = self.connections.get((node, conn))
        if connection is not None:
            self.connection_dropped(connection, corrupt=True)
            connection.close()

    def connection_dropped(self, connection: ServerConnection, corrupt: bool) -> None:
        """A connection to a server has closed or is `corrupt`: it received invalid data."""
        if self.connections.get((connection.node, connection.number)) is not connection:
            return
        del self.connections[connection.node, connection.number]
        self._director.count["box connections spoilt" if corrupt else "box connections closed"] += 1
        # the core first: it may place the failed set-ups elsewhere at once
        self._director.notify_core(ev.ServerConnectionLost(connection.node, connection.number, corrupt))
        self.handle(connection.node, pool_messages.ConnectionLost(connection.number))

    def _close(self, node: int, conn: int) -> None:
        task = self.opening.pop((node, conn), None)
        if task is not None:
            task.cancel()
        connection = self.connections.pop((node, conn), None)
        if connection is not None:
            connection.close()
            self._director.notify_core(ev.ServerConnectionLost(node, conn))

    def _update_shares(self) -> None:
        """Recompute the shares of the descriptors after the number of servers has changed."""
        self._shares = descriptors.share_out(self._config.sockets, len(self.pools))
        self._director.client_share_changed(self._shares.clients)
        max_per_server = descriptors.max_connections_per_server(self._config.sockets, len(self.pools))
        for pool in self.pools.values():
            pool.max_connections = max_per_server

    def _drop_pool(self, node: int) -> None:
        pool = self.pools.pop(node)
        self.addresses.pop(node, None)
        self.unsent.pop(node, None)
        for conn in list(pool.connections):
            self._close(node, conn)
        self._update_shares()
