"""How the descriptor limit is divided between connections of clients and of servers. No I/O.

part                  share
process itself        OWN_DESCRIPTORS
closed connections    MAX_CLOSING; a closed connection with unsent bytes keeps its descriptor
clients               CLIENT_RATIO of all minus RESERVED_DESCRIPTORS, plus MAX_OVERSHOOT until all sockets are
                      read; less if many servers are listed, but at least MIN_CLIENT_RATIO
servers               the rest
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from foxlift.platform.admission import MAX_OVERSHOOT

CLIENT_RATIO = 0.55  # of the descriptors: a third for proven clients, the rest for connections not yet proven
SERVER_RATIO = 0.3  # of the descriptors, for media servers
MAX_CONNECTIONS_PER_SERVER = 32  # beyond it, concurrent set-ups share connections
MIN_CLIENT_CONNECTIONS = 8
MIN_CLIENT_RATIO = 1 / 3  # of the descriptors: what the platform allows its clients to hold
MAX_CLOSING = 4  # closed connections with bytes that the peer has not received yet
OWN_DESCRIPTORS = (
    20  # 13 when idle; 3 for the old and new discovery connection and the configuration file; 4 spare
)
SERVER_MARGIN = 4  # beyond one connection per listed server: some open while others are retired
RESERVED_DESCRIPTORS = 16  # event loop, listener, the coordinator's old and new connection, logs


def max_client_connections(descriptors: int) -> int:
    """Return the upper bound of connections from clients, proven or not."""
    return max(int(descriptors * CLIENT_RATIO) - RESERVED_DESCRIPTORS, MIN_CLIENT_CONNECTIONS)


def max_connections_per_server(descriptors: int, servers: int) -> int:
    """Return the upper bound of connections to each of `servers` servers; at least one."""
    share = int(descriptors * SERVER_RATIO) // max(servers, 1)
    return max(min(share, MAX_CONNECTIONS_PER_SERVER), 1)


@dataclass(frozen=True, slots=True)
class Shares:
    """Maximum numbers of connections from clients and to servers."""

    clients: int
    servers: int


def share_out(descriptors: int, servers: int) -> Shares:
    """Return the shares for `servers` listed servers: one connection each if MIN_CLIENT_RATIO allows it."""
    free = descriptors - OWN_DESCRIPTORS - MAX_CLOSING - MAX_OVERSHOOT
    min_clients = math.ceil(descriptors * MIN_CLIENT_RATIO)
    left_by_servers = free - servers - SERVER_MARGIN
    clients = min(max_client_connections(descriptors), max(min_clients, left_by_servers))
    return Shares(clients, free - clients)
