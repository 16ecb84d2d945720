"""The result of a check: the broken rules, and what was counted beside them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Broken:
    """A broken rule: which, when, and what was seen."""

    rule: int
    at: float
    what: str


@dataclass
class Service:
    """Worth answered in time over worth asked; and the same weighted by the rung that was shown."""

    asked: float = 0.0
    answered: float = 0.0
    shaped: float = 0.0

    def add(self, worth: float, in_time: bool, part: float) -> None:
        """Count one viewer; `part` is what the shown rung earns over what the viewer's best would."""
        self.asked += worth
        self.answered += worth if in_time else 0.0
        self.shaped += worth * part if in_time else 0.0

    @property
    def share(self) -> float:
        """Part of the worth that was answered in time; 1 where nothing was asked."""
        return self.answered / self.asked if self.asked else 1.0

    @property
    def shaped_share(self) -> float:
        """The same, weighted by the rung that was shown."""
        return self.shaped / self.asked if self.asked else 1.0


@dataclass
class Verdict:
    """What the captured traffic shows of a day."""

    broken: list[Broken] = field(default_factory=list)
    requests: int = 0
    answers: dict[int, int] = field(default_factory=dict)
    set_ups: int = 0
    viewers: int = 0
    service: Service = field(default_factory=Service)
    by_class: dict[str, Service] = field(default_factory=dict)
    by_tenant: dict[str, Service] = field(default_factory=dict)
    windows: dict[int, Service] = field(default_factory=dict)
    taken_over: int = 0  # sessions that changed hands, at their media servers
    refused_commands: int = 0  # of directors that did not own what they commanded
    spent: int = 0  # paid tokens that were told to be of no more use, though their server lived on

    @property
    def worst_window(self) -> float:
        """Of the 10 s windows with at least a tenth of the busiest one's worth."""
        most = max((w.asked for w in self.windows.values()), default=0.0)
        return min((w.share for w in self.windows.values() if w.asked >= most / 10), default=1.0)
