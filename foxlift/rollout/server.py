"""A control server's core: the log, its followers' watches, and its role in the group. No I/O.

A group member receives change requests and agrees with the other members on each entry. A relay follows one
member and reports its directors' versions to all of them. Directors may poll either. A server stores its log
on disk and keeps serving it while the group is unreachable.
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

TICK_INTERVAL_MS = 100.0
HEARTBEAT_INTERVAL_MS = 500.0
REPORT_INTERVAL_MS = 500.0


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """The identity of a control server. `members`: of the group, in order of leadership."""

    name: str
    boot_epoch: int
    zone: str
    members: tuple[str, ...]
    seed: int

    @property
    def is_member(self) -> bool:
        """Whether the server belongs to the group; otherwise it is a relay."""
        return self.name in self.members


# ---- Events -----------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class WatchReceived:
    """A follower's watch; `correlation_id` is the caller's, for the reply."""

    correlation_id: int
    watch: Watch


@dataclass(frozen=True, slots=True)
class FollowerDisconnected:
    """The follower disconnected before the reply."""

    correlation_id: int


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator's request; `correlation_id` is the caller's, for the reply."""

    correlation_id: int
    request: ChangeRequest


@dataclass(frozen=True, slots=True)
class RegisterRequested:
    """Another member's message to this member's acceptor."""

    correlation_id: int
    message: RegisterAsk


@dataclass(frozen=True, slots=True)
class Stored:
    """The disk write of StoreOpenVersion has ended; `ok`: False if it failed."""

    correlation_id: int
    ok: bool


@dataclass(frozen=True, slots=True)
class RegisterEvent:
    """Progress of a register that this member is changing."""

    event: registers.ChangeProgress


@dataclass(frozen=True, slots=True)
class FollowerEvent:
    """An event for one of this server's followers; `source`: the followed member, "" at a relay."""

    source: str
    event: follower.Event


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message that needs no reply."""

    message: Heartbeat | Report


@dataclass(frozen=True, slots=True)
class DiskTrusted:
    """The disk check has ended; `highest_version`: reported by other members, used if the disk was lost."""

    was_lost: bool
    highest_version: int = 0


@dataclass(frozen=True, slots=True)
class Tick:
    """TICK_INTERVAL_MS has passed."""


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
    """Reply to a watch; None: refused, there are too many."""

    correlation_id: int
    response: WatchResponse | None


@dataclass(frozen=True, slots=True)
class ReplyChange:
    """Reply to a change request."""

    correlation_id: int
    response: ChangeResponse


@dataclass(frozen=True, slots=True)
class ReplyRegister:
    """Reply to a proposer; None: no vote, the disk failed or is not trusted."""

    correlation_id: int
    response: RegisterAnswer | None


@dataclass(frozen=True, slots=True)
class SendWatch:
    """Poll another server; its response comes back as FollowerEvent."""

    source: str
    watch_id: int
    to: str
    watch: RelayWatch


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message whose loss does not matter, because a later one replaces it."""

    to: str
    message: Heartbeat | Report


@dataclass(frozen=True, slots=True)
class StoreOpenVersion:
    """Write an open version to disk, then report Stored."""

    correlation_id: int
    record: OpenVersion


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """Write a decided entry to disk."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """The log starts at another snapshot: write all of it to disk."""


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Handle the event after the delay."""

    delay_ms: float
    event: Event


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line."""

    message: str
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
    """The core of one server. `log`: read from disk."""

    def __init__(
        self, identity: ServerIdentity, log: ConfigLog, open_versions: tuple[OpenVersion, ...] = ()
    ) -> None:
        self.identity, self.log = identity, log
        self.hub = hub.WatchHub(log)
        self.member: GroupMember | None = None
        self._is_disk_trusted = not identity.is_member
        sources = (
            [(name,) for name in identity.members if name != identity.name]
            if identity.is_member
            else [identity.members]
        )
        self._followers = {
            names[0] if identity.is_member else "": follower.Follower(
                identity.name, identity.boot_epoch, names, identity.seed, log
            )
            for names in sources
        }
        if identity.is_member:
            self.member = GroupMember(
                identity.name, identity.boot_epoch, identity.members, log, identity.seed
            )
            for record in open_versions:
                self.member.acceptor.open[record.version] = record
            self.member.acceptor.advance_head(log.head)
        self._heartbeat_due_at = self._report_due_at = -math.inf

    def _make_follower(self, sources: tuple[str, ...]) -> follower.Follower:
        identity = self.identity
        return follower.Follower(identity.name, identity.boot_epoch, sources, identity.seed, self.log)

    def start(self, now: float) -> list[Action]:
        """Start the followers and the timer."""
        actions: list[Action] = [StartTimer(TICK_INTERVAL_MS, Tick())]
        for source, source_follower in self._followers.items():
            actions += self._handle_follower_actions(now, source, source_follower.start())
        return actions

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event; `now` in ms of a monotonic clock."""
        match event:
            case Tick():
                return self._tick(now)
            case WatchReceived(correlation_id, watch):
                return self._replies(self.hub.handle(now, hub.WatchReceived(correlation_id, watch)))
            case FollowerDisconnected(correlation_id):
                return self._replies(self.hub.handle(now, hub.Disconnected(correlation_id)))
            case FollowerEvent(source, inner):
                return self._handle_follower_actions(now, source, self._followers[source].handle(inner))
            case _:
                return self._handle_member_event(now, event)

    def _handle_member_event(self, now: float, event: Event) -> list[Action]:
        member = self.member
        if isinstance(event, RegisterRequested) and (member is None or not self._is_disk_trusted):
            return [ReplyRegister(event.correlation_id, None)]
        if member is None:
            return self._refuse_non_member(event)
        match event:
            case ChangeRequested(correlation_id, request):
                return self._handle_member_actions(now, member.request_change(now, correlation_id, request))
            case RegisterRequested(correlation_id, message):
                return self._handle_member_actions(
                    now, member.handle_acceptor_event(acceptor.RequestReceived(correlation_id, message))
                )
            case Stored(correlation_id, ok):
                stored = acceptor.Stored(correlation_id) if ok else acceptor.StoreFailed(correlation_id)
                return self._handle_member_actions(now, member.handle_acceptor_event(stored))
            case RegisterEvent(inner):
                return self._handle_member_actions(now, member.handle_register_event(now, inner))
            case MessageReceived(Heartbeat() as beat):
                member.handle_heartbeat(now, beat)
            case MessageReceived(Report() as report):
                member.handle_report(now, report)
            case DiskTrusted(was_lost, highest_version):
                return self._handle_disk_trusted(member, was_lost, highest_version)
        return []

    def _refuse_non_member(self, event: Event) -> list[Action]:
        if not isinstance(event, ChangeRequested):
            return []
        reason = "not a member of the group: " + ", ".join(self.identity.members)
        return [ReplyChange(event.correlation_id, ChangeResponse(Outcome.REFUSED, reason=reason))]

    def _handle_disk_trusted(self, member: GroupMember, was_lost: bool, highest_version: int) -> list[Action]:
        self._is_disk_trusted = True
        if not was_lost:
            return []
        member.acceptor.abstain_up_to = highest_version + 1
        return [WriteLog("the disk was lost", f"no votes up to version {highest_version + 1}")]

    # ---- Time ---------------------------------------------------------------------------------------------
    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = [StartTimer(TICK_INTERVAL_MS, Tick())]
        actions += self._replies(self.hub.handle(now, hub.Tick()))
        if now >= self._report_due_at:
            self._report_due_at = now + REPORT_INTERVAL_MS
            actions += self._report(now)
        if self.member is None:
            return actions
        if now >= self._heartbeat_due_at:
            self._heartbeat_due_at = now + HEARTBEAT_INTERVAL_MS
            beat = Heartbeat(self.identity.name, self.identity.boot_epoch, self.log.head)
            actions += [
                SendMessage(name, beat) for name in self.identity.members if name != self.identity.name
            ]
        if self._is_disk_trusted:
            actions += self._handle_member_actions(now, self.member.tick(now))
        return actions

    def _report(self, now: float) -> list[Action]:
        """Send a report on this server's directors to every group member."""
        identity = self.identity
        report = self.hub.roster.report(now, identity.name, identity.boot_epoch, identity.zone, self.log.head)
        if self.member is not None:
            self.member.handle_report(now, report)
        return [SendMessage(name, report) for name in identity.members if name != identity.name]

    # ---- Actions of the components ------------------------------------------------------------------------
    def _handle_follower_actions(
        self, now: float, source: str, actions: list[follower.Action]
    ) -> list[Action]:
        result: list[Action] = []
        for action in actions:
            match action:
                case follower.SendWatch(watch_id, to, watch):
                    result.append(SendWatch(source, watch_id, to, watch))
                case watcher.StartTimer(delay_ms, event):
                    result.append(StartTimer(delay_ms, FollowerEvent(source, event)))
                case follower.LogAdvanced(after, restored):
                    result += self._handle_log_advanced(now, after, restored)
                case follower.SourceMismatch(name, detail):
                    result.append(WriteLog("source inconsistent with the log", f"{name}: {detail}"))
        return result

    def _handle_log_advanced(self, now: float, after: int, restored: bool = False) -> list[Action]:
        entries: list[Action] = [StoreEntry(entry) for entry in self.log.between(after, self.log.head)]
        result: list[Action] = [StoreSnapshot()] if restored else entries
        result += self._replies(self.hub.handle(now, hub.LogChanged()))
        if self.member is not None:
            result += self._handle_member_actions(now, self.member.handle_log_advanced(now))
        return result

    def _append_decided(self, now: float, entry: Entry) -> list[Action]:
        """Append an entry that this member's own proposer found to be decided."""
        if entry.version != self.log.head + 1:
            return []  # already received from another member
        try:
            self.log.append(entry)
        except EntryError as error:
            return [WriteLog("decided entry inconsistent with the log", str(error), entry.version)]
        return self._handle_log_advanced(now, entry.version - 1)

    def _handle_member_actions(self, now: float, actions: Sequence[group.Action]) -> list[Action]:
        result: list[Action] = []
        for action in actions:
            match action:
                case EntryDecided(entry):
                    result += self._append_decided(now, entry)
                case ProposalFinished(correlation_id, response):
                    if correlation_id:
                        result.append(ReplyChange(correlation_id, response))
                case acceptor.Store(correlation_id, record):
                    result.append(StoreOpenVersion(correlation_id, record))
                case acceptor.Reply(correlation_id, message):
                    result.append(ReplyRegister(correlation_id, message))
                case registers.StartTimer(delay_ms, due):
                    result.append(StartTimer(delay_ms, RegisterEvent(due)))
                case registers.Send():
                    result.append(action)
        return result

    @staticmethod
    def _replies(replies: list[hub.Reply]) -> list[Action]:
        return [ReplyWatch(reply.correlation_id, reply.response) for reply in replies]
