"""Ownership of sessions, for commands to media servers where directors take over each other's sessions."""

from __future__ import annotations

from typing import Protocol

from foxlift.boxes.notices import BoxNotice
from foxlift.director import events
from foxlift.http import Failure, Headers, Response


class Ownership(Protocol):
    """Ownership of the sessions that a director commands. Servers are given by number."""

    @property
    def boot_epoch(self) -> int:
        """The boot epoch in which sessions are set up, 0 for none."""

    @property
    def grace_ms(self) -> float:
        """How long a server keeps a session without its owner's notice stream; 0: no limit of its own."""

    def headers(self) -> Headers:
        """The headers that name the sender of a command."""

    def note(self, session: events.Session) -> str:
        """The note that the server stores for the director that takes this session over."""

    def is_refused(self, result: Response | Failure, set_up: str = "", node: int | None = None) -> bool:
        """Whether a server refused because another director owns the session; acts on the refusal."""

    def may_stream(self, node: int) -> bool:
        """Whether a notice stream of the server would name all of this director's sessions."""

    def stream_query(self) -> str:
        """Additional query parameters of a notice stream."""

    def handle_notice(self, node: int, notice: BoxNotice) -> None:
        """Handle a notice that the core has already handled."""


class SoleOwner:
    """The ownership of a director without peers: it alone commands its sessions."""

    boot_epoch = 0
    grace_ms = 0.0

    def headers(self) -> Headers:
        """See `Ownership`."""
        return ()

    def note(self, session: events.Session) -> str:
        """See `Ownership`."""
        return ""

    def is_refused(self, result: Response | Failure, set_up: str = "", node: int | None = None) -> bool:
        """See `Ownership`."""
        return False

    def may_stream(self, node: int) -> bool:
        """See `Ownership`."""
        return True

    def stream_query(self) -> str:
        """See `Ownership`."""
        return ""

    def handle_notice(self, node: int, notice: BoxNotice) -> None:
        """See `Ownership`."""
