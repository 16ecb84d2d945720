"""All that an embedder exchanges with a director: settings, events and actions. No policy lives here.

Times are milliseconds on the embedder's own clock, rates are kB a second. Every name of a node, title,
session or viewer is an opaque whole number. Rungs count from 0, the lowest rate of the ladder.
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
    """What the node list says of a node."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListKind(Enum):
    """How a node list relates to the one before it."""

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
        """True where the outcome proves that the node never ran the attempt."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)


class NoteKind(Enum):
    """What a note on a playing session tells."""

    DELIVERED = "share of the asked rates that the node's sessions got"
    RUNG = "rung in force"
    LINK = "asked of the node's link over what it gives"
    UPLINK = "asked of the rack's uplink over what it gives"


@dataclass(frozen=True, slots=True)
class SessionClass:
    """Terms of one class of session."""

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
    """Part of the service that a tenant may claim at full worth."""

    name: str
    share: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Figures that hold for the whole life of a director."""

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
    """One line of the node list."""

    node: int
    zone: int
    kind: int
    cell: int
    status: Status
    weight: float = 1.0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Load:
    """A node's load report; what it does not tell is None."""

    link: float | None = None
    link_up_to_one: float | None = None
    uplink: float | None = None
    streams: float | None = None


@dataclass(frozen=True, slots=True)
class NodeList:
    """News from the node list."""

    kind: ListKind
    nodes: tuple[NodeInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class Ask:
    """A viewer wants a session; it is owed one final answer within ttl_ms."""

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
    """A session handed over at the start; it plays on this node as attempt 0."""

    ask: Ask
    node: int


@dataclass(frozen=True, slots=True)
class Started:
    """A set-up is done and the viewer watches."""

    session: int
    node: int
    attempt: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt is over. With `final` set, nothing more is owed for the session."""

    session: int
    node: int
    attempt: int
    outcome: Outcome
    final: bool
    elapsed_ms: float
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class Note:
    """News on a playing session or on its node."""

    session: int
    node: int
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The viewer walked away; nothing more is owed for the session."""

    session: int


@dataclass(frozen=True, slots=True)
class Wake:
    """A timer has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """What a probe found."""

    node: int
    outcome: Outcome
    elapsed_ms: float
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class ZoneShares:
    """Where this director's viewers go by the plan in force: a share for each zone of the settings.

    Empty: there is no plan, and every decision is as if there had never been one.
    """

    shares: tuple[float, ...] = ()


Event = NodeList | Ask | Resumed | Started | Ended | Note | Withdrawn | Wake | Probed | ZoneShares


@dataclass(frozen=True, slots=True)
class SetUp:
    """Set the session up on a node; it times out after within_ms."""

    session: int
    node: int
    within_ms: float


@dataclass(frozen=True, slots=True)
class SetRung:
    """Play, or start, the session at this rung."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused, and a further try is harmless, best after come_back_ms."""

    session: int
    come_back_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise whether a set-up took effect."""

    session: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    session: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """Take a playing session off its node; its viewer asks again shortly."""

    session: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Wake with this token."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check on a node."""

    node: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribe to changes of the node list, or end that."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole node list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the report."""

    text: str


Action = SetUp | SetRung | Refuse | Fail | Cancel | Move | SetTimer | Probe | WatchList | FetchList | Log
