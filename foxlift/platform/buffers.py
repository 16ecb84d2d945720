"""Limits on bytes written to a connection that its peer has not received yet."""

from __future__ import annotations

MAX_UNSENT_BYTES = 256 * 1024  # above it, the connection is aborted
HIGH_WATER_BYTES = 64 * 1024  # above it, nothing is read from the peer
