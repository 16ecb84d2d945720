"""A loopback port that stays its owner's whether a listener is there or not.

A port that is found and let go, or closed and bound again later, may be taken meanwhile by another listener
or by an outgoing connection of any process. A held port is bound and never listens: connections are refused
as if nobody were there, and a listener with SO_REUSEADDR (asyncio and uvloop set it) can bind the same port.
"""

from __future__ import annotations

import socket
import weakref
from typing import cast


class HeldPort:
    """Keeps a port bound until `release`, or until nobody refers to it. Raises OSError where it is in use."""

    def __init__(self, port: int = 0, host: str = "127.0.0.1") -> None:
        holder = socket.socket()
        self._finalizer = weakref.finalize(self, holder.close)
        try:
            holder.bind((host, port))  # without SO_REUSEADDR: it fails beside any other socket of that port
            holder.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
            )  # from here on a listener may bind it
        except OSError:
            holder.close()
            raise
        self.port = cast(int, holder.getsockname()[1])

    def release(self) -> None:
        """Let the port go; a second call does nothing."""
        self._finalizer()
