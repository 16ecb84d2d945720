"""What a stand-in media box is made of, without sockets: places, link, rack uplink, warmth, reports."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from foxlift.boxes.resource import SetUpRequest

AHEAD = 4.0  # a link with room sends at most so many times the rate, until the player's buffer is full
CREDIT_S = 3.0  # of its rate a session may have at once after a pause, or at its start


@dataclass
class Rack:
    """Boxes that share an uplink, kB a second."""

    name: str
    uplink_kb: float
    boxes: list[BoxModel] = field(default_factory=list)
    factor: float = 1.0

    @property
    def asked(self) -> float:
        """Sum of the rates asked for, kB/s."""
        return sum(box.asked for box in self.boxes)

    @property
    def use(self) -> float:
        """Rates asked for over the capacity; above 1 everybody gets less."""
        return self.asked / max(self.uplink_kb * self.factor, 1e-9)


@dataclass
class BoxSession:
    """One session at a box."""

    set_up: str
    director: str
    run: str
    title: str
    path_token: str
    rate_kb: float
    rung: int
    last_seen: float
    told_ms: int = 0  # the latest time that was told of it, Unix ms
    streams: int = 0
    finished: bool = False
    paid: bool = False
    max_kbps: int = 0
    klass: str = ""
    tenant: str = ""
    claim: str = ""
    note: str = ""
    grace_s: float = 0.0  # how long it outlives its owner's stream; 0: as long as any
    paced_to: float = -1e9  # up to when, at its rate, it has been sent what was sent

    @classmethod
    def from_order(cls, set_up: str, order: SetUpRequest, now: float, told_ms: int) -> BoxSession:
        """A session that begins now, as its director ordered it."""
        run, _, _ = set_up.rpartition("-")[0].rpartition("-")
        return cls(
            set_up=set_up,
            director=order.director,
            run=run,
            title=order.title,
            path_token=order.path_token,
            rate_kb=order.rate_kb,
            rung=order.rung,
            last_seen=now,
            told_ms=told_ms,
            paid=order.paid,
            max_kbps=order.max_kbps,
            klass=order.klass,
            tenant=order.tenant,
            claim=order.claim,
            note=order.note,
            grace_s=order.grace_ms / 1000,
        )

    def wait(self, now: float, size: int, bytes_per_s: float, speed: float) -> float:
        """Book a piece of so many bytes, at so many times its rate; how long to wait before it is sent.

        All requests of a session share this, their first pieces too: many lines at once get no more than one.
        """
        # what may come at once is so many seconds of the rate, however fast the link has room for
        begin = max(self.paced_to, now - CREDIT_S / max(speed, 1.0))
        self.paced_to = begin + size / max(bytes_per_s * speed, 1e-9)
        return max(begin - now, 0.0)


@dataclass
class BoxModel:
    """A box. Times are loop seconds, rates kB a second."""

    name: str
    zone: str
    kind: str
    cell: int
    rack: Rack
    places: int
    link_kb: float
    cold_from: float
    warm_up_s: float
    cold_multiple: float
    cold_window_s: float
    set_up_s: float
    seed: int
    full_from: float = 0.0
    factor: float = 1.0
    boots: int = 0
    boot_at: float = -1e9
    fallen: bool = False
    draining: bool = False
    counter: int = 0
    setting_up: int = 0
    sessions: dict[str, BoxSession] = field(default_factory=dict)
    gone: dict[str, float] = field(default_factory=dict)  # released before their set-up came, until when
    parked: dict[str, tuple[BoxSession, float]] = field(default_factory=dict)  # let go while idle, until when
    recent: deque[float] = field(default_factory=deque)
    link_cold_s: float = 0.0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.rack.boxes.append(self)

    @property
    def boot(self) -> str:
        """Identity of the present process."""
        return f"{self.name}#{self.boots}"

    def start(self, now: float, cold: bool) -> None:
        """The process begins: nothing of an earlier one is left."""
        self.boots += 1
        self.boot_at = now if cold else -1e9
        self.sessions.clear()
        self.gone.clear()
        self.parked.clear()
        self.recent.clear()
        self.setting_up, self.counter = 0, 0
        self.draining = self.fallen = False

    def stop(self) -> None:
        """The process ends: its sessions are gone."""
        self.sessions.clear()
        self.setting_up = 0

    @property
    def asked(self) -> float:
        """Sum of the rates asked for, kB/s."""
        return sum(session.rate_kb for session in self.sessions.values())

    @property
    def gives(self) -> float:
        """The link's present capacity, kB/s."""
        return self.link_kb * self.factor

    @property
    def use(self) -> float:
        """Rates asked for over the capacity; above 1 everybody gets less."""
        return self.asked / max(self.gives, 1e-9)

    @property
    def share(self) -> float:
        """Equal fractions of the asked rates: the part of its rate that each session gets."""
        return min(1.0, 1 / max(self.use, 1e-9), 1 / max(self.rack.use, 1e-9))

    @property
    def speed(self) -> float:
        """How many times its rate a session is sent: its share of a short link, and ahead of play where there
        is room."""
        share = self.share
        most = min(AHEAD, 1 / max(self.use, 1e-9), 1 / max(self.rack.use, 1e-9))
        return share if share < 0.98 else max(most, 1.0)

    def warmth(self, now: float) -> float:
        """Warm-up so far, from `cold_from` to 1."""
        age = (now - self.boot_at) / self.warm_up_s if self.warm_up_s > 0 else 1.0
        return min(self.cold_from + (1 - self.cold_from) * max(age, 0.0), 1.0)

    def takes(self, now: float) -> str | None:
        """Why a set-up that has come is turned away, or None where it is taken. May push the box over."""
        if self.draining:
            return "draining"
        if len(self.sessions) + self.setting_up >= self.places:
            return "full"
        if self.full_from and self.use >= self.full_from:
            return "full"
        if now - self.boot_at < self.warm_up_s:
            self.recent.append(now)
            while self.recent and self.recent[0] <= now - self.cold_window_s:
                self.recent.popleft()
            pace = self.places / self.warm_up_s * self.warmth(now)
            if len(self.recent) > self.cold_multiple * pace * self.cold_window_s + 2:
                self.fallen = True  # rule 4: pushed over
        return None

    def set_up_time(self, now: float) -> float:
        """How long a set-up that begins now takes, s."""
        return self.set_up_s * self.random.uniform(0.7, 1.5) / self.warmth(now)
