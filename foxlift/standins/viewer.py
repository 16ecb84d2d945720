"""A stand-in viewer: what it wants to watch, what it does meanwhile, and a record of what it experienced."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_BUFFER_S = 8.0


@dataclass(frozen=True)
class ViewerAction:
    """What a viewer does after watching for `at_s` seconds.

    `kind`: seek (to `value` s of the title), pause or sleep (for `value` s), reload the page, tab (play for
    `value` s in a second tab).
    """

    at_s: float
    kind: str
    value: float = 0.0


@dataclass
class Viewer:
    """What one viewer wants to watch, when, and how long it waits."""

    name: str
    klass: str
    tenant: str
    title: str
    paid: bool
    wanted_ms: float
    deadline_ms: float
    worth: float
    best: int
    length_s: float
    at_s: float
    actions: tuple[ViewerAction, ...] = ()


@dataclass
class ManifestRequest:
    """One request for a manifest, and its result. Times are loop seconds."""

    token_id: str
    director: int
    sent_at_s: float
    answered_at_s: float | None = None
    status: int = 0


@dataclass
class ViewingRecord:
    """What a viewer experienced."""

    viewer: Viewer
    requests: list[ManifestRequest] = field(default_factory=list)
    started: float | None = None
    played_s: float = 0.0
    stalled_s: float = 0.0
    stalls: int = 0
    breaks: int = 0
    reloads: int = 0
    kbps_s: dict[float, float] = field(
        default_factory=dict
    )  # seconds watched, by rate of the video rendition
    lowest_buffer_s: float = MAX_BUFFER_S
    highest_buffer_s: float = 0.0
    fallbacks: int = 0  # to another BaseURL
    switches: int = 0
    performed: list[str] = field(default_factory=list)
    gave_up: str = ""

    @property
    def in_time(self) -> bool:
        """Whether it played within the wanted time of its first request."""
        wanted_s = self.viewer.wanted_ms / 1000
        return self.started is not None and self.started - self.requests[0].sent_at_s <= wanted_s
