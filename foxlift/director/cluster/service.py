"""One director's cluster service, made of its parts. Not imported where the settings name no peers.

    client, server            messages to and from peers
    disk_trust, registers     whether the disk is the last one; this director as a replica of registers
    membership                which peers are alive
    takeovers, epoch_renewal  sessions of dead directors; a new epoch where this one is fenced off
    token_claims, forwarding  who may set a paid token up; who answers a request
    zone_planning             the common plan of zones, where the settings name planners

The decisions are made by `foxlift.peers`, `foxlift.consensus`, `foxlift.recovery` and `foxlift.zones`, which
do no I/O. Every message names its sender and the sender's boot epoch. Messages of a sender that the settings
do not name, or of a past epoch, are refused.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foxlift.config import DirectorConfig
from foxlift.consensus.register import RequestFailed, ResponseReceived, Send
from foxlift.director import events
from foxlift.director.cluster.client import PeerClient
from foxlift.director.cluster.context import ClusterContext
from foxlift.director.cluster.disk_trust import DiskTrust
from foxlift.director.cluster.epoch_renewal import EpochRenewal
from foxlift.director.cluster.forwarding import RequestForwarder
from foxlift.director.cluster.membership import Membership
from foxlift.director.cluster.ports import Host
from foxlift.director.cluster.registers import RegisterEndpoint
from foxlift.director.cluster.server import PeerServer
from foxlift.director.cluster.takeovers import TakeoverOrders, TakeoverSchedule
from foxlift.director.cluster.token_claims import TokenClaims
from foxlift.director.cluster.zone_endpoints import ZoneEndpoints
from foxlift.director.cluster.zone_planning import ZonePlanning
from foxlift.director.timeline import Timeline
from foxlift.http import Answer, Failure
from foxlift.peers.messages import PeerState
from foxlift.store import FilePort
from foxlift.telemetry import Counters
from foxlift.zones.evidence import ZoneObservation

STOP_TIME_MS = 200.0


class ClusterService:
    """One director's cluster service. `files`: where its registers and boot epochs are stored."""

    def __init__(
        self,
        config: DirectorConfig,
        loop: asyncio.AbstractEventLoop,
        timeline: Timeline,
        files: FilePort,
        counters: Counters,
        host: Host,
    ) -> None:
        """Begins a new boot epoch on the disk. Raises OSError and LogError."""
        self._host = host
        self._context = context = ClusterContext(config, loop, timeline, files, counters)
        self.port = 0
        self._client = PeerClient(context)
        self._server = PeerServer(context, self._epoch_of, host.receive_forwarded)
        self._registers = RegisterEndpoint(context, self._client, self._server)
        self._disk_trust = DiskTrust(
            context, self._client, self._server, on_trusted=self._registers.replica.begin
        )
        self.membership = Membership(context, self._client, self._server, listener=self)
        self._renewal = EpochRenewal(context, on_renewed=self._epoch_renewed)
        orders = TakeoverOrders(context, host, self._renewal)
        self._orders, self._schedule = orders, TakeoverSchedule(context, orders)
        self.token_claims = TokenClaims(context, host, self._registers)
        self.forwarder = RequestForwarder(
            context, host, self._client, self.membership, self._schedule, orders, self.token_claims
        )
        self._zone_planning: ZonePlanning | None = None
        if config.peers.makers:
            self._zone_planning = ZonePlanning(context, network=self)
            ZoneEndpoints(self._server, self._zone_planning)

    @property
    def boot_epoch(self) -> int:
        """The present boot epoch."""
        return self._context.boot_epoch

    @property
    def flushed(self) -> bool:
        """Whether nothing waits to be written to the disk."""
        return self._context.store.flushed

    # ---- Life cycle ---------------------------------------------------------------------------------------
    async def start(self) -> int:
        """Listen, say hello, begin to probe; gives back the port."""
        self.port = await self._server.listen()
        self._disk_trust.start()
        self.membership.start()
        self._schedule.epoch_begun()
        if self._zone_planning is not None:
            self._zone_planning.start()
        return self.port

    def leave(self) -> None:
        """Announce to the peers that this director stops: they take its sessions over."""
        self.membership.leave()

    async def stop(self, grace_ms: float = STOP_TIME_MS) -> None:
        """Accept nothing new; answers that are due to peers have so long to be sent."""
        await self._server.stop(grace_ms)

    def close(self) -> None:
        """Close all connections and the store."""
        self._context.closed = True
        self._client.close()
        self._context.store.close()

    # ---- Servers ------------------------------------------------------------------------------------------
    def boxes_listed(self, boxes: frozenset[str]) -> None:
        """The box list has changed."""
        self.forwarder.boxes_listed(boxes)
        self._schedule.boxes_listed(boxes)

    def own_done(self, box: str) -> bool:
        """Whether the sessions of earlier epochs at this box belong to the present one now."""
        return self._schedule.own_done(box)

    def fetch(self, box: str) -> None:
        """The box reports sessions of this director that it does not know: take them over."""
        self._orders.send(box, self._context.name, self.boot_epoch - 1, True, lambda _: None)

    def renew_epoch(self, refusal: Answer | Failure | None = None) -> None:
        """A box has fenced the present boot epoch off: continue in another one."""
        self._renewal.renew(refusal)

    def _epoch_renewed(self) -> None:
        self.token_claims.epoch_renewed()
        self._host.epoch_renewed()
        self.membership.renew()
        self._schedule.epoch_begun()

    # ---- Peers: `MembershipListener` ----------------------------------------------------------------------
    def peer_contacted(self, name: str) -> None:
        """A message of this peer has arrived."""
        self._schedule.peer_contacted(name)

    def peer_changed(self, name: str, state: PeerState, epoch: int) -> None:
        """The belief about a peer has changed."""
        self._schedule.peer_changed(name, state, epoch, tuple(self.membership.alive()))

    def superseded_by(self, epoch: int) -> None:
        """A peer knows a later epoch of this director: another process has its name, or its disk is lost."""
        is_own_earlier = epoch <= self._disk_trust.last_reported_epoch
        if self._disk_trust.trusted and not is_own_earlier:
            self._context.log.error("another process has this director's name", run=epoch)
            self._host.superseded()
        else:
            # after a lost disk and a clock set back the peers know this director's own last epoch; a probe's
            # response may report it just after enough peers have answered the hello
            self._renewal.renew(above=epoch)

    def _epoch_of(self, name: str) -> int:
        return self.membership.epoch_of(name)

    # ---- Zones: `PlanningNetwork` -------------------------------------------------------------------------
    def notify(self, name: str, path: str, body: bytes) -> None:
        """Send a message that is repeated later."""
        self._client.notify(name, path, body)

    def send_to_register(self, send: Send, done: Callable[[ResponseReceived | RequestFailed], None]) -> None:
        """Send to a replica of the plan's register."""
        self._registers.send(send, done)

    def alive(self) -> list[str]:
        """Names of the alive and suspected directors, this one first."""
        return self.membership.alive()

    def zone_observations(self) -> dict[str, ZoneObservation]:
        """What this director observes of each zone."""
        return self._host.zone_observations()

    def feed(self, event: events.Event) -> None:
        """Have the core handle an event."""
        self._host.feed(event)
