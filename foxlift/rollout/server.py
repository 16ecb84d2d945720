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
    ChangeRequest,
    ChangeResponse,
    Heartbeat,
    Outcome,
    RelayWatch,
    Report,
    Watch,
    WatchResponse,
)
from foxlift.rollout.proposer import EntryDecided, ProposalFinished

TICK_MS = 100.0
HEARTBEAT_MS = 500.0
REPORT_MS = 500.0


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """Who a control server is. `members`: of the group, in the order in which they lead."""

    name: str
    boot_epoch: int
    zone: str
    members: tuple[str, ...]
    seed: int

    @property
    def is_member(self) -> bool:
        """Whether it belongs to the group; else it is a relay."""
        return self.name in self.members


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class WatchReceived:
    """A follower's watch; `correlation_id` is the caller's, for the answer."""

    correlation_id: int
    watch: Watch


@dataclass(frozen=True, slots=True)
class FollowerDisconnected:
    """The follower has left before its answer."""

    correlation_id: int


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator's order; `correlation_id` is the caller's, for the answer."""

    correlation_id: int
    request: ChangeRequest


@dataclass(frozen=True, slots=True)
class RegisterRequested:
    """Another member's message to this one's acceptor."""

    correlation_id: int
    message: RegisterAsk


@dataclass(frozen=True, slots=True)
class Stored:
    """The disk has what StoreOpenVersion asked for; `ok`: False where it failed."""

    correlation_id: int
    ok: bool


@dataclass(frozen=True, slots=True)
class RegisterEvent:
    """Something came of a register that this member changes."""

    event: registers.ChangeProgress


@dataclass(frozen=True, slots=True)
class FollowerEvent:
    """Something came of this server's own watch of another; `source`: a member, "" for a relay's one."""

    source: str
    event: follower.Event


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message that needs no answer."""

    message: Heartbeat | Report


@dataclass(frozen=True, slots=True)
class DiskTrusted:
    """Whether the disk is known to be the last run's; `highest`: of the others, where it is not."""

    lost: bool
    highest: int = 0


@dataclass(frozen=True, slots=True)
class Tick:
    """TICK_MS have passed."""


Event = (
    WatchReceived
    | FollowerDisconnected
    | ChangeRequested
    | RegisterRequested
    | Stored
    | RegisterEvent
    | FollowerEvent
    | MessageReceived
    | DiskTrusted
    | Tick
)


# ---- Actions ----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class ReplyWatch:
    """Answer a watch; None: it cannot be held."""

    correlation_id: int
    response: WatchResponse | None


@dataclass(frozen=True, slots=True)
class ReplyChange:
    """Answer an order."""

    correlation_id: int
    response: ChangeResponse


@dataclass(frozen=True, slots=True)
class ReplyRegister:
    """Answer a proposer; None: the disk has failed."""

    correlation_id: int
    response: RegisterAnswer | None


@dataclass(frozen=True, slots=True)
class SendWatch:
    """Watch another server; its answer comes back as FollowerEvent."""

    source: str
    watch_id: int
    to: str
    watch: RelayWatch


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message that a later one repeats."""

    to: str
    message: Heartbeat | Report


@dataclass(frozen=True, slots=True)
class StoreOpenVersion:
    """Write an open version to the disk, then report Stored."""

    correlation_id: int
    record: OpenVersion


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """Write a decided entry to the disk."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """The log begins at another snapshot: write all of it to the disk."""


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Handle this event after so long."""

    delay_ms: float
    event: Event


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the log."""

    what: str
    detail: str = ""
    version: int = 0


Action = (
    ReplyWatch
    | ReplyChange
    | ReplyRegister
    | SendWatch
    | SendMessage
    | StoreOpenVersion
    | StoreEntry
    | StoreSnapshot
    | StartTimer
    | WriteLog
    | registers.Send
)


class ControlServer:
    """One server. `log`: as its disk has it."""

    def __init__(
        self, identity: ServerIdentity, log: ConfigLog, open_versions: tuple[OpenVersion, ...] = ()
    ) -> None:
        self.identity, self.log = identity, log
        self.hub = hub.WatchHub(log)
        self.member: GroupMember | None = None
        self._trusted = not identity.is_member
        sources = (
            [(name,) for name in identity.members if name != identity.name]
            if identity.is_member
            else [identity.members]
        )
        self._followers = {
            of[0] if identity.is_member else "": follower.Follower(
                identity.name, identity.boot_epoch, of, identity.seed, log
            )
            for of in sources
        }
        if identity.is_member:
            self.member = GroupMember(
                identity.name, identity.boot_epoch, identity.members, log, identity.seed
            )
            for record in open_versions:
                self.member.acceptor.open[record.version] = record
            self.member.acceptor.advance_head(log.head)
        self._beat_at = self._report_at = -math.inf

    def _make_follower(self, sources: tuple[str, ...]) -> follower.Follower:
        identity = self.identity
        return follower.Follower(identity.name, identity.boot_epoch, sources, identity.seed, self.log)

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
            case WatchReceived(correlation_id, watch):
                return self._replies(self.hub.handle(now, hub.WatchReceived(correlation_id, watch)))
            case FollowerDisconnected(correlation_id):
                return self._replies(self.hub.handle(now, hub.Disconnected(correlation_id)))
            case FollowerEvent(source, inner):
                return self._follow(now, source, self._followers[source].handle(inner))
            case _:
                return self._of_member(now, event)

    def _of_member(self, now: float, event: Event) -> list[Action]:
        member = self.member
        if isinstance(event, RegisterRequested) and (member is None or not self._trusted):
            return [ReplyRegister(event.correlation_id, None)]
        if member is None:
            return self._not_a_member(event)
        match event:
            case ChangeRequested(correlation_id, request):
                return self._carry_out(now, member.request_change(now, correlation_id, request))
            case RegisterRequested(correlation_id, message):
                return self._carry_out(
                    now, member.handle_acceptor_event(acceptor.RequestReceived(correlation_id, message))
                )
            case Stored(correlation_id, ok):
                stored = acceptor.Stored(correlation_id) if ok else acceptor.StoreFailed(correlation_id)
                return self._carry_out(now, member.handle_acceptor_event(stored))
            case RegisterEvent(inner):
                return self._carry_out(now, member.handle_register_event(now, inner))
            case MessageReceived(Heartbeat() as beat):
                member.handle_heartbeat(now, beat)
            case MessageReceived(Report() as report):
                member.handle_report(now, report)
            case DiskTrusted(lost, highest):
                return self._trust(member, lost, highest)
        return []

    def _not_a_member(self, event: Event) -> list[Action]:
        if not isinstance(event, ChangeRequested):
            return []
        reason = "not a member of the group: " + ", ".join(self.identity.members)
        return [ReplyChange(event.correlation_id, ChangeResponse(Outcome.REFUSED, reason=reason))]

    def _trust(self, member: GroupMember, lost: bool, highest: int) -> list[Action]:
        self._trusted = True
        if not lost:
            return []
        member.acceptor.abstain_up_to = highest + 1
        return [WriteLog("the disk was lost", f"silent up to version {highest + 1}")]

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
            beat = Heartbeat(self.identity.name, self.identity.boot_epoch, self.log.head)
            actions += [
                SendMessage(name, beat) for name in self.identity.members if name != self.identity.name
            ]
        if self._trusted:
            actions += self._carry_out(now, self.member.tick(now))
        return actions

    def _report(self, now: float) -> list[Action]:
        """What this server's own directors have in force, to every member of the group."""
        identity = self.identity
        report = self.hub.roster.report(now, identity.name, identity.boot_epoch, identity.zone, self.log.head)
        if self.member is not None:
            self.member.handle_report(now, report)
        return [SendMessage(name, report) for name in identity.members if name != identity.name]

    # ---- What the parts want ------------------------------------------------------------------------------
    def _follow(self, now: float, source: str, actions: list[follower.Action]) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            match action:
                case follower.SendWatch(watch_id, to, watch):
                    out.append(SendWatch(source, watch_id, to, watch))
                case watcher.StartTimer(delay_ms, event):
                    out.append(StartTimer(delay_ms, FollowerEvent(source, event)))
                case follower.LogAdvanced(after, restored):
                    out += self._grown(now, after, restored)
                case follower.SourceMismatch(of, detail):
                    out.append(WriteLog("what a source told does not fit the log", f"{of}: {detail}"))
        return out

    def _grown(self, now: float, after: int, restored: bool = False) -> list[Action]:
        kept: list[Action] = [StoreEntry(entry) for entry in self.log.between(after, self.log.head)]
        out: list[Action] = [StoreSnapshot()] if restored else kept
        out += self._replies(self.hub.handle(now, hub.LogChanged()))
        if self.member is not None:
            out += self._carry_out(now, self.member.handle_log_advanced(now))
        return out

    def _learn(self, now: float, entry: Entry) -> list[Action]:
        """An entry that this member's own proposer found to be decided."""
        if entry.version != self.log.head + 1:
            return []  # learned from another by now
        try:
            self.log.append(entry)
        except EntryError as error:
            return [WriteLog("a decided entry does not fit the log", str(error), entry.version)]
        return self._grown(now, entry.version - 1)

    def _carry_out(self, now: float, actions: Sequence[group.Action]) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            match action:
                case EntryDecided(entry):
                    out += self._learn(now, entry)
                case ProposalFinished(correlation_id, answer):
                    if correlation_id:
                        out.append(ReplyChange(correlation_id, answer))
                case acceptor.Store(correlation_id, record):
                    out.append(StoreOpenVersion(correlation_id, record))
                case acceptor.Reply(correlation_id, message):
                    out.append(ReplyRegister(correlation_id, message))
                case registers.StartTimer(delay_ms, due):
                    out.append(StartTimer(delay_ms, RegisterEvent(due)))
                case registers.Send():
                    out.append(action)
        return out

    @staticmethod
    def _replies(replies: list[hub.Reply]) -> list[Action]:
        return [ReplyWatch(reply.correlation_id, reply.response) for reply in replies]
