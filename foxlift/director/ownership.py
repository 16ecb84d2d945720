"""What a director's commands to media servers carry where directors take over each other's sessions."""

from __future__ import annotations

from typing import Protocol

from foxlift.boxes.notices import BoxNotice
from foxlift.director import events
from foxlift.http import Failure, Headers, Response


class Ownership(Protocol):
    """Who owns the sessions that are commanded. Servers are named by their number."""

    @property
    def boot_epoch(self) -> int:
        """The epoch that sessions are set up in, 0 for none."""

    @property
    def grace_ms(self) -> float:
        """How long a session outlives its owner's stream; 0: as long as any."""

    def headers(self) -> Headers:
        """Name the sender of a command."""

    def note(self, session: events.Session) -> str:
        """What a server keeps for whoever takes this session over."""

    def is_refused(self, result: Response | Failure, set_up: str = "", node: int | None = None) -> bool:
        """Whether a server said that another director owns what was commanded; follows what it says."""

    def may_stream(self, node: int) -> bool:
        """Whether a server's notices name all of this director's sessions by now."""

    def stream_query(self) -> str:
        """What is added to the query of a notice stream."""

    def notice_heard(self, node: int, notice: BoxNotice) -> None:
        """A notice has come, and the core has handled it."""


class SoleOwner:
    """The ownership of a director without peers: nobody else commands its sessions."""

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

    def notice_heard(self, node: int, notice: BoxNotice) -> None:
        """See `Ownership`."""
