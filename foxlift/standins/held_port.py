"""A loopback port that is reserved whether or not a listener uses it.

A free port that is looked up and released may be taken by another listener or by an outgoing connection of
any process before it is bound again. A held port is bound and never listens: connections are refused, and a
listener with SO_REUSEADDR (asyncio and uvloop set it) can bind the same port.
"""

from __future__ import annotations

import socket
import weakref
from typing import cast


class HeldPort:
    """Keeps a port bound until `release` or garbage collection. Raises OSError if it is in use."""

    def __init__(self, port: int = 0, host: str = "127.0.0.1") -> None:
        reserving_socket = socket.socket()
        self._finalizer = weakref.finalize(self, reserving_socket.close)
        try:
            # without SO_REUSEADDR it fails if any other socket has the port
            reserving_socket.bind((host, port))
            reserving_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
            )  # a listener may bind it now
        except OSError:
            reserving_socket.close()
            raise
        self.port = cast(int, reserving_socket.getsockname()[1])

    def release(self) -> None:
        """Release the port; a second call does nothing."""
        self._finalizer()
