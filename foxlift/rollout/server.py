"""A control server without its sockets: the log, the watches of its followers, and its part in the group.

A member of the group takes orders and agrees with the others on each entry; a relay follows one member and
reports to all of them what its directors have in force. Directors may watch either. What a server knows it
keeps on its disk, and goes on telling while the group is away.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from foxlift.consensus import Request as RegisterAsk
from foxlift.consensus import Response as RegisterAnswer
from foxlift.consensus import register as registers
from foxlift.rollout import acceptor, follower, group, hub, watcher
from foxlift.rollout.acceptor import OpenVersion
from foxlift.rollout.entry import Entry, EntryError
from foxlift.rollout.group import GroupMember
from foxlift.rollout.log import ConfigLog
from foxlift.rollout.messages import (
    Heartbeat,
    Order,
    OrderAnswer,
    Outcome,
    RelayWatch,
    Report,
    Watch,
    WatchAnswer,
)
from foxlift.rollout.proposer import Done, Learned

TICK_MS = 100.0
HEARTBEAT_MS = 500.0
REPORT_MS = 500.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Who a control server is. `members`: of the group, in the order in which they lead."""

    name: str
    run: int
    zone: str
    members: tuple[str, ...]
    seed: int

    @property
    def is_member(self) -> bool:
        """Whether it belongs to the group; else it is a relay."""
        return self.name in self.members


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Watched:
    """A follower's watch; `number` is the caller's, for the answer."""

    number: int
    watch: Watch


@dataclass(frozen=True, slots=True)
class FollowerGone:
    """The follower has left before its answer."""

    number: int


@dataclass(frozen=True, slots=True)
class Ordered:
    """An operator's order; `number` is the caller's, for the answer."""

    number: int
    order: Order


@dataclass(frozen=True, slots=True)
class RegisterAsked:
    """Another member's message to this one's acceptor."""

    number: int
    ask: RegisterAsk


@dataclass(frozen=True, slots=True)
class Stored:
    """The disk has what KeepOpen asked for; `ok`: False where it failed."""

    number: int
    ok: bool


@dataclass(frozen=True, slots=True)
class OfRegister:
    """Something came of a register that this member changes."""

    event: registers.ChangeProgress


@dataclass(frozen=True, slots=True)
class OfFollower:
    """Something came of this server's own watch of another; `source`: a member, "" for a relay's one."""

    source: str
    event: follower.Event


@dataclass(frozen=True, slots=True)
class Heard:
    """A message that needs no answer."""

    message: Heartbeat | Report


@dataclass(frozen=True, slots=True)
class Trusted:
    """Whether the disk is known to be the last run's; `highest`: of the others, where it is not."""

    lost: bool
    highest: int = 0


@dataclass(frozen=True, slots=True)
class Tick:
    """TICK_MS have passed."""


Event = (
    Watched
    | FollowerGone
    | Ordered
    | RegisterAsked
    | Stored
    | OfRegister
    | OfFollower
    | Heard
    | Trusted
    | Tick
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class ReplyWatch:
    """Answer a watch; None: it cannot be held."""

    number: int
    answer: WatchAnswer | None


@dataclass(frozen=True, slots=True)
class ReplyOrder:
    """Answer an order."""

    number: int
    answer: OrderAnswer


@dataclass(frozen=True, slots=True)
class ReplyAsk:
    """Answer a proposer; None: the disk has failed."""

    number: int
    answer: RegisterAnswer | None


@dataclass(frozen=True, slots=True)
class SendWatch:
    """Watch another server; its answer comes back as OfFollower."""

    source: str
    ask: int
    to: str
    watch: RelayWatch


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message that a later one repeats."""

    to: str
    message: Heartbeat | Report


@dataclass(frozen=True, slots=True)
class KeepOpen:
    """Write an open version to the disk, then report Stored."""

    number: int
    record: OpenVersion


@dataclass(frozen=True, slots=True)
class KeepEntry:
    """Write a decided entry to the disk."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class KeepSnapshot:
    """The log begins at another snapshot: write all of it to the disk."""


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Handle this event after so long."""

    delay_ms: float
    event: Event


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the log."""

    what: str
    detail: str = ""
    version: int = 0


Action = (
    ReplyWatch
    | ReplyOrder
    | ReplyAsk
    | SendWatch
    | Tell
    | KeepOpen
    | KeepEntry
    | KeepSnapshot
    | StartTimer
    | Say
    | registers.Send
)


class ControlServer:
    """One server. `log`: as its disk has it."""

    def __init__(self, plan: Plan, log: ConfigLog, open_versions: tuple[OpenVersion, ...] = ()) -> None:
        self.plan, self.log = plan, log
        self.hub = hub.WatchHub(log)
        self.member: GroupMember | None = None
        self._trusted = not plan.is_member
        sources = (
            [(name,) for name in plan.members if name != plan.name] if plan.is_member else [plan.members]
        )
        self._followers = {
            of[0] if plan.is_member else "": follower.Follower(plan.name, plan.run, of, plan.seed, log)
            for of in sources
        }
        if plan.is_member:
            self.member = GroupMember(plan.name, plan.run, plan.members, log, plan.seed)
            for record in open_versions:
                self.member.acceptor.open[record.version] = record
            self.member.acceptor.decided(log.head)
        self._beat_at = self._report_at = -math.inf

    def _make_follower(self, sources: tuple[str, ...]) -> follower.Follower:
        plan = self.plan
        return follower.Follower(plan.name, plan.run, sources, plan.seed, self.log)

    def start(self, now: float) -> list[Action]:
        """Follow others, and keep time."""
        actions: list[Action] = [StartTimer(TICK_MS, Tick())]
        for source, each in self._followers.items():
            actions += self._follow(now, source, each.start())
        return actions

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event in; `now` in ms on a clock that never steps back."""
        match event:
            case Tick():
                return self._tick(now)
            case Watched(number, watch):
                return self._replies(self.hub.handle(now, hub.Watched(number, watch)))
            case FollowerGone(number):
                return self._replies(self.hub.handle(now, hub.Gone(number)))
            case OfFollower(source, inner):
                return self._follow(now, source, self._followers[source].handle(inner))
            case _:
                return self._of_member(now, event)

    def _of_member(self, now: float, event: Event) -> list[Action]:
        member = self.member
        if isinstance(event, RegisterAsked) and (member is None or not self._trusted):
            return [ReplyAsk(event.number, None)]
        if member is None:
            return self._not_a_member(event)
        match event:
            case Ordered(number, order):
                return self._carry_out(now, member.order(now, number, order))
            case RegisterAsked(number, ask):
                return self._carry_out(now, member.accept(acceptor.RequestReceived(number, ask)))
            case Stored(number, ok):
                stored = acceptor.Stored(number) if ok else acceptor.StoreFailed(number)
                return self._carry_out(now, member.accept(stored))
            case OfRegister(inner):
                return self._carry_out(now, member.register_event(now, inner))
            case Heard(Heartbeat() as beat):
                member.heartbeat(now, beat)
            case Heard(Report() as report):
                member.reported(now, report)
            case Trusted(lost, highest):
                return self._trust(member, lost, highest)
        return []

    def _not_a_member(self, event: Event) -> list[Action]:
        if not isinstance(event, Ordered):
            return []
        reason = "not a member of the group: " + ", ".join(self.plan.members)
        return [ReplyOrder(event.number, OrderAnswer(Outcome.REFUSED, reason=reason))]

    def _trust(self, member: GroupMember, lost: bool, highest: int) -> list[Action]:
        self._trusted = True
        if not lost:
            return []
        member.acceptor.silent_up_to = highest + 1
        return [Say("the disk was lost", f"silent up to version {highest + 1}")]

    # ---- Time ---------------------------------------------------------------------------------------------
    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = [StartTimer(TICK_MS, Tick())]
        actions += self._replies(self.hub.handle(now, hub.Tick()))
        if now >= self._report_at:
            self._report_at = now + REPORT_MS
            actions += self._report(now)
        if self.member is None:
            return actions
        if now >= self._beat_at:
            self._beat_at = now + HEARTBEAT_MS
            beat = Heartbeat(self.plan.name, self.plan.run, self.log.head)
            actions += [Tell(name, beat) for name in self.plan.members if name != self.plan.name]
        if self._trusted:
            actions += self._carry_out(now, self.member.tick(now))
        return actions

    def _report(self, now: float) -> list[Action]:
        """What this server's own directors have in force, to every member of the group."""
        plan = self.plan
        report = self.hub.roster.report(now, plan.name, plan.run, plan.zone, self.log.head)
        if self.member is not None:
            self.member.reported(now, report)
        return [Tell(name, report) for name in plan.members if name != plan.name]

    # ---- What the parts want ------------------------------------------------------------------------------
    def _follow(self, now: float, source: str, actions: list[follower.Action]) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            match action:
                case follower.SendWatch(ask, to, watch):
                    out.append(SendWatch(source, ask, to, watch))
                case watcher.StartTimer(delay_ms, event):
                    out.append(StartTimer(delay_ms, OfFollower(source, event)))
                case follower.Grown(after, restored):
                    out += self._grown(now, after, restored)
                case follower.Misfit(of, detail):
                    out.append(Say("what a source told does not fit the log", f"{of}: {detail}"))
        return out

    def _grown(self, now: float, after: int, restored: bool = False) -> list[Action]:
        kept: list[Action] = [KeepEntry(entry) for entry in self.log.between(after, self.log.head)]
        out: list[Action] = [KeepSnapshot()] if restored else kept
        out += self._replies(self.hub.handle(now, hub.LogChanged()))
        if self.member is not None:
            out += self._carry_out(now, self.member.log_grown(now))
        return out

    def _learn(self, now: float, entry: Entry) -> list[Action]:
        """An entry that this member's own proposer found to be decided."""
        if entry.version != self.log.head + 1:
            return []  # learned from another by now
        try:
            self.log.append(entry)
        except EntryError as error:
            return [Say("a decided entry does not fit the log", str(error), entry.version)]
        return self._grown(now, entry.version - 1)

    def _carry_out(self, now: float, actions: Sequence[group.Action]) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            match action:
                case Learned(entry):
                    out += self._learn(now, entry)
                case Done(number, answer):
                    if number:
                        out.append(ReplyOrder(number, answer))
                case acceptor.Store(number, record):
                    out.append(KeepOpen(number, record))
                case acceptor.Reply(number, message):
                    out.append(ReplyAsk(number, message))
                case registers.StartTimer(delay_ms, due):
                    out.append(StartTimer(delay_ms, OfRegister(due)))
                case registers.Send():
                    out.append(action)
        return out

    @staticmethod
    def _replies(replies: list[hub.Reply]) -> list[Action]:
        return [ReplyWatch(reply.number, reply.answer) for reply in replies]
