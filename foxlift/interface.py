"""All types that an embedder exchanges with a director: settings, events and actions. It decides nothing.

Times are milliseconds on the embedder's own clock, rates are kB/s. Nodes, titles, sessions and viewers are
named by opaque whole numbers. Rungs count from 0, the lowest rate of the ladder.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """Whether a set-up may be sent again after an attempt that may have run."""

    FREE = "free"
    WINDOWED = "windowed"
    ONCE = "once"


class Status(Enum):
    """State of a node in the node list."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListKind(Enum):
    """Kind of a node list: whole, changes only, whole but possibly stale, or not received."""

    FULL = "full"
    DELTA = "delta"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt, or a probe, ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"

    @property
    def proves_unrun(self) -> bool:
        """Whether the outcome proves that the node never ran the attempt."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)


class NoteKind(Enum):
    """What a note on a playing session reports."""

    DELIVERED = "share of the asked rates that the node's sessions got"
    RUNG = "rung in force"
    LINK = "asked of the node's link over what it gives"
    UPLINK = "asked of the rack's uplink over what it gives"


@dataclass(frozen=True, slots=True)
class SessionClass:
    """Terms of one class of sessions."""

    name: str
    repeat: Repeat
    wanted_ms: float
    deadline_ms: float
    worth: float
    rate_scale: float = 1.0
    floor: int = 0
    top: int = 0
    seats: int = 0
    live: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """Share of the service that a tenant may use at full worth."""

    name: str
    share: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that stay the same for the life of a director."""

    director: int
    directors: int
    classes: tuple[SessionClass, ...]
    ladder_kb: tuple[float, ...]
    ladder_worth: tuple[float, ...]
    cells: int
    racks: int
    link_kb_per_weight: float
    kind_slots: tuple[int, ...]
    answer_slack_ms: float
    cold_from: float
    warm_up_ms: float
    cold_multiple: float
    cold_window_ms: float
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    uplink_kb: float = 0.0
    node_full_from: float = 0.0
    live_adds: float = 1.0
    note_late_ms: float = 0.0
    report_every_ms: float = 0.0
    stall_cost: float = 0.0
    rung_change_s: float = 0.0
    tick_ms: float = 0.0
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    list_by_ask: bool = False
    ask_list_every_ms: float = 0.0
    come_back: bool = False
    come_back_max_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    drain_grace_ms: float = 0.0
    extra_free: float = 0.0
    extra_ratio: float = 0.0
    extra_span_ms: float = 0.0
    price_crossing: float = 0.0
    price_connection: float = 0.0
    price_move: float = 0.0
    price_probe: float = 0.0
    price_late: float = 0.0
    score_worst_window: float = 0.0
    score_worst_class: float = 0.0
    score_worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeInfo:
    """One entry of the node list."""

    node: int
    zone: int
    kind: int
    cell: int
    status: Status
    weight: float = 1.0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Load:
    """A node's load report; None where it does not report a figure."""

    link: float | None = None
    link_up_to_one: float | None = None
    uplink: float | None = None
    streams: float | None = None


@dataclass(frozen=True, slots=True)
class NodeList:
    """A node list has arrived, or could not be fetched."""

    kind: ListKind
    nodes: tuple[NodeInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class Ask:
    """A viewer requests a session, and must get one final answer within ttl_ms.

    The holders of its title are the nodes of `holders` cells in a row, from `first_cell` on.
    """

    session: int
    klass: int
    title: int
    first_cell: int
    holders: int
    best_rung: int
    ttl_ms: float
    tenant: int = 0
    viewer: int = 0
    length_ms: float | None = None
    moved: bool = False
    again: bool = False


@dataclass(frozen=True, slots=True)
class Resumed:
    """A session that was handed over at the start and plays on this node as attempt 0."""

    ask: Ask
    node: int


@dataclass(frozen=True, slots=True)
class SeatHeld:
    """A session was handed over that plays on a node which is not listed yet: it takes a seat of its title.

    The same with `held` False ends that: Resumed follows, or the session is over.
    """

    title: int
    klass: int
    held: bool


@dataclass(frozen=True, slots=True)
class Started:
    """A set-up is done and the session plays."""

    session: int
    node: int
    attempt: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt has ended. If `final` is set, the session needs no further answer."""

    session: int
    node: int
    attempt: int
    outcome: Outcome
    final: bool
    elapsed_ms: float
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class Note:
    """A report on a playing session or on its node."""

    session: int
    node: int
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The viewer has left; the session needs no further answer."""

    session: int


@dataclass(frozen=True, slots=True)
class Wake:
    """A timer is due."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """Result of a probe."""

    node: int
    outcome: Outcome
    elapsed_ms: float
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class ZoneShares:
    """Shares of this director's viewers for each zone of the settings, by the plan in force.

    Empty if there is no plan: decisions are then as if there had never been one.
    """

    shares: tuple[float, ...] = ()


Event = NodeList | Ask | Resumed | SeatHeld | Started | Ended | Note | Withdrawn | Wake | Probed | ZoneShares


@dataclass(frozen=True, slots=True)
class SetUp:
    """Set up the session on a node; the attempt times out after within_ms."""

    session: int
    node: int
    within_ms: float


@dataclass(frozen=True, slots=True)
class SetRung:
    """Play the session, or start it, at this rung."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused. Trying again is harmless, best after come_back_ms."""

    session: int
    come_back_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed. A set-up may have taken effect or not."""

    session: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """Take a playing session off its node; its viewer requests it again shortly."""

    session: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a Wake with this token after delay_ms."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a node answers."""

    node: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribe to changes of the node list, or end the subscription."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Fetch the whole node list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the report."""

    text: str


Action = SetUp | SetRung | Refuse | Fail | Cancel | Move | SetTimer | Probe | WatchList | FetchList | Log
