"""What a rehearsed day is made of, as an S-expression file."""

from __future__ import annotations

import re
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from foxlift.config import ConfigError, SourcePosition, bind, read_forms
from foxlift.config.settings import ClassConfig, Name

Seconds = Annotated[float, Meta(ge=0, le=36_000)]
LINK_FAULTS = ("cut", "hold", "delay", "slow", "break", "reset", "refuse")
_LINK = re.compile(r"^(d\d+|directors)([-<>])(b\d+|boxes|list|d\d+|directors)$")


class ClassMix(msgspec.Struct, frozen=True, tag="class"):
    """A class, its part of the viewers, and how long they watch."""

    terms: ClassConfig
    part: Annotated[float, Meta(gt=0, le=1)]
    length_s: Annotated[tuple[float, ...], Meta(min_length=2, max_length=2)]


class TenantMix(msgspec.Struct, frozen=True, tag="tenant"):
    """A tenant and its part of the viewers."""

    name: Name
    part: Annotated[float, Meta(gt=0, le=1)]


class Habit(msgspec.Struct, frozen=True, tag="habit"):
    """Something that a part of the viewers does once, at a random moment of what they watch.

    `value`: seconds, drawn from up to there: of the title for a seek, of a pause, a sleep, a second tab.
    """

    do: Literal["seek", "pause", "sleep", "reload", "tab"]
    part: Annotated[float, Meta(gt=0, le=1)]
    value: Seconds = 0.0


class Step(msgspec.Struct, frozen=True, tag="step"):
    """One thing that happens: a command of the stand-ins, a crowd, or a director's end."""

    at_s: Seconds
    do: Literal[
        "crowd",
        "kill",
        "kill-random",
        "restart",
        "roll",
        "cut-zone",
        "lose-zone",
        "order-zone",
        "stall",
        "die",
        "return",
        "hang",
        "drain",
        "lose-answers",
        "answer-slowly",
        "weaken",
        "weaken-rack",
        "delay-reports",
        "list-down",
        "cut",
        "hold",
        "delay",
        "slow",
        "break",
        "reset",
        "refuse",
    ]
    on: str = ""
    value: float = 1.0
    for_s: Seconds = 0.0


class Link(msgspec.Struct, frozen=True):
    """What a step on links names: directors, what they talk to, and in which directions."""

    directors: tuple[str, ...]
    ends: tuple[str, ...]
    up: bool
    down: bool


class Scenario(msgspec.Struct, frozen=True):
    """A day."""

    name: Name
    seconds: Seconds
    viewers: Annotated[int, Meta(ge=1, le=100_000)]
    directors: Annotated[int, Meta(ge=1, le=64)]
    boxes: Annotated[int, Meta(ge=1, le=500)]
    racks: Annotated[int, Meta(ge=1, le=100)]
    zones: tuple[Name, ...]
    titles: Annotated[int, Meta(ge=1, le=10_000)]
    holders: Annotated[int, Meta(ge=1)]
    classes: tuple[ClassMix, ...]
    tenants: tuple[TenantMix, ...]
    ladder_kb: tuple[float, ...]
    ladder_worth: tuple[float, ...]
    link_kb: float
    uplink_kb: float
    places: int
    steps: tuple[Step, ...] = ()
    set_up_ms: float = 60.0
    warm_up_ms: float = 12_000.0
    cold_from: float = 0.4
    cold_multiple: float = 2.5
    cold_window_ms: float = 1500.0
    drain_grace_ms: float = 1000.0
    come_back_max_ms: float = 500.0
    max_attempts: int = 5
    extra_free: float = 0.0
    extra_ratio: float = 0.0
    extra_span_ms: float = 0.0
    segment_s: float = 2.0
    scale: float = 0.0005
    exports: bool = False
    habits: tuple[Habit, ...] = ()
    idle_s: Seconds = 3.0  # a box lets a place go after so long without a request
    park_s: Seconds = 60.0  # and keeps a paid set-up so long
    takeover: bool = False  # the directors know each other, and take over each other's work
    peer_ms: Annotated[float, Meta(ge=20, le=60_000)] = 200.0  # between two probes of a director
    token_holders: Literal[1, 3, 5, 7, 9] = 5  # of a paid token's register
    grace_s: Seconds = 30.0  # a box keeps a session so long without its owner's stream
    far_s: Seconds = 0.0  # one way between two regions; a zone's region is its name up to the last "-"
    clocks_s: Seconds = 0.0  # directors' clocks are set off by up to so much, either way
    makers: tuple[Name, ...] = ()  # directors that agree on plans for zones
    at_home: bool = False  # viewers come to a director of their zone first
    faithful: bool = False  # viewers come back with the same token where a director does not answer

    def __post_init__(self) -> None:
        if self.holders > self.boxes:
            raise ValueError(f"holders {self.holders} is more than boxes {self.boxes}")
        known = {f"b{k}" for k in range(self.boxes)} | {f"d{k}" for k in range(self.directors)}
        known |= {f"r{k}" for k in range(self.racks)} | {f"t{k}" for k in range(self.titles)}
        known |= {"", "boxes"} | set(self.zones)
        for step in self.steps:
            if step.do in LINK_FAULTS:
                self.link(step)
            elif step.on not in known:
                raise ValueError(
                    f"step at {step.at_s}: {step.on} is no box, director, rack or title of this day"
                )

    def link(self, step: Step) -> Link:
        """The links of a step: `d0-b3`, `d0>b3` for what d0 sends, `d0<b3` for what comes back.

        Raises ValueError where it names none of this day.
        """
        found = _LINK.match(step.on)
        if found is None:
            raise ValueError(f"step at {step.at_s}: {step.on!r} is no link (d0-b3, d0>list, directors<b3)")
        director, way, end = found.groups()
        directors = tuple(f"d{k}" for k in range(self.directors))
        boxes = tuple(f"b{k}" for k in range(self.boxes))
        named = directors if director == "directors" else (director,)
        ends = {"boxes": boxes, "directors": directors}.get(end, (end,))
        for name in (*named, *ends):
            if name not in (*directors, *boxes, "list"):
                raise ValueError(f"step at {step.at_s}: {name} is no director or box of this day")
        if end.startswith("d") and not self.takeover:
            raise ValueError(f"step at {step.at_s}: the directors of this day do not talk to each other")
        if step.do == "refuse" and not end.startswith(("list", "d")):
            raise ValueError(f"step at {step.at_s}: a box's port is its viewers' too, and cannot refuse some")
        return Link(named, ends, way != "<", way != ">")


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file. Raises ConfigError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(SourcePosition(str(path), 1, 1), "", f"cannot be read: {error}") from error
    return bind(read_forms(text, str(path)), Scenario, "scenario")


def built_in(name: str) -> Scenario:
    """One of the days that ship with the program. Raises KeyError."""
    file = resources.files("foxlift.rehearsal") / "days" / f"{name}.sexp"
    if not file.is_file():
        raise KeyError(name)
    return bind(read_forms(file.read_text(encoding="utf-8"), f"{name}.sexp"), Scenario, "scenario")
