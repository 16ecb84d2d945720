"""What the rules are judged by, as the scenario states it. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ClassTerms:
    """Terms of a class."""

    paid: bool
    wanted_s: float
    deadline_s: float
    worth: float
    floor: int
    top: int
    seats: int = 0
    scale: float = 1.0


@dataclass(frozen=True)
class Terms:
    """Terms of a day: its classes, its bitrate ladder, and the limits of its media servers and directors."""

    classes: dict[str, ClassTerms]
    ladder_worth: tuple[float, ...]
    ladder_kb: tuple[float, ...]
    places: dict[str, int]
    slack_s: float = 0.04
    drain_grace_s: float = 1.0
    cold_multiple: float = 2.5
    cold_window_s: float = 1.5
    warm_up_s: float = 12.0
    cold_from: float = 0.4
    extra_free: float = 0.0
    extra_ratio: float = 0.0
    extra_span_s: float = 0.0
    bytes_scale: float = 0.0  # bytes on the wire for each byte of the stated rates; 0: not judged
    ahead: float = 4.0  # a media server may send so many times the booked rate,
    credit_s: float = 3.0  # and so much of it at once
    takeover: bool = False  # directors take over each other's sessions
