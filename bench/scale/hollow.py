"""A hollow director on real sockets: the program's own cluster service, without viewers and media servers.

`ClusterService` is the class that `foxlift serve` runs, with its membership view, register replica, claims,
takeovers and zone plan, its HTTP server and its pools. Only the daemon around it is replaced: what it would
report of its zone's servers is a counted load.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from msgspec.structs import replace

from foxlift.boxes.takeover import TakeoverRequest, TakeoverResponse
from foxlift.config import DirectorConfig, bind, read_forms
from foxlift.config.settings import PeerConfig
from foxlift.decide.token_sessions import RejectionReason
from foxlift.director import events
from foxlift.director.cluster.ports import ForwardableRequest
from foxlift.director.cluster.service import ClusterService
from foxlift.director.timeline import Timeline
from foxlift.http import Exchange, Failure, Response
from foxlift.store import DiskFiles
from foxlift.telemetry import Counters
from foxlift.zones.evidence import ZoneObservation

STALL_MS = 250.0
HOLLOW_SETTINGS = """
(director (name "{name}") (number 0) (directors 1) (zone {zone}) (state "{state}")
  (fleet (ladder-kb 150 450 1100) (ladder-worth 0.25 0.6 1.0)
    (classes (class (name "graded") (repeat once) (wanted-ms 1500) (deadline-ms 3000) (worth 3) (top 2)))
    (cells 4) (racks 2) (zones {zones}) (kinds std) (kind-slots 200) (link-kb-per-weight 700000)
    (uplink-kb 1200000) (warm-up-ms 2000) (come-back-max-ms 500) (note-late-ms 100)
    (tenants (tenant (name "t"))))
  (front (port 0) (update-period-s 1)) (tokens (keys "keys.json") (issuer "i") (audience "foxlift"))
  (catalogue (folder ".")) (box-list (url "http://127.0.0.1:1/") (poll-ms 5000) (retry-ms 50))
  (seed {seed}))
"""


@dataclass(frozen=True)
class DirectorAddress:
    """Where a director's peers' listener is, as the others are told."""

    name: str
    host: str
    port: int

    @property
    def url(self) -> str:
        """As the settings of the others state it."""
        return f"http://{self.host}:{self.port}"


@dataclass(frozen=True)
class FleetPlan:
    """What all directors of one fleet have in common. `makers`: none for a fleet without a zone plan."""

    zones: tuple[str, ...] = ("east", "west")
    makers: tuple[str, ...] = ()
    servers_per_zone: int = 4
    trust_disk: bool = False
    period_ms: float = 500.0


def hollow_settings(
    plan: FleetPlan,
    own: DirectorAddress,
    others: Sequence[DirectorAddress],
    zone: str,
    folder: Path,
    seed: int,
) -> DirectorConfig:
    """The settings that a daemon would read from its file."""
    text = HOLLOW_SETTINGS.format(
        name=own.name, zone=zone, state=folder / own.name, zones=" ".join(plan.zones), seed=seed
    )
    config = bind(read_forms(text, f"{own.name}.sexp"), DirectorConfig, "director")
    peers = replace(
        config.peers,
        others=tuple(PeerConfig(name=other.name, url=other.url) for other in others),
        host=own.host,
        port=own.port,
        makers=plan.makers,
        trust_disk=plan.trust_disk,
        period_ms=plan.period_ms,
    )
    return replace(config, peers=peers)


@dataclass
class HollowHost:
    """Takes the daemon's place. There are no viewers, so nothing that concerns one is ever asked of it."""

    sight_of_zone: dict[str, ZoneObservation]
    was_superseded: bool = False
    plans_followed: list[events.Event] = field(default_factory=list)

    def feed(self, event: events.Event) -> None:
        """Record an event for the core: of these there are only plans to follow."""
        self.plans_followed.append(event)

    def zone_observations(self) -> dict[str, ZoneObservation]:
        """The counted load."""
        return self.sight_of_zone

    def superseded(self) -> None:
        """Record that another process has the name."""
        self.was_superseded = True

    def epoch_renewed(self) -> None:
        """Nothing hangs on the boot epoch here."""

    def open_here(self, request: int) -> None:
        """Never called."""
        raise NotImplementedError

    def refuse(self, request: int, why: RejectionReason, come_back_ms: float) -> None:
        """Never called."""
        raise NotImplementedError

    def relay(self, request: int, answer: Response) -> None:
        """Never called."""
        raise NotImplementedError

    def receive_forwarded(self, exchange: Exchange) -> None:
        """Never called."""
        raise NotImplementedError

    def forwardable(self, request: int) -> ForwardableRequest | None:
        """Never called."""
        raise NotImplementedError

    def boot_of(self, keep: events.PersistIntent) -> str:
        """Never called."""
        raise NotImplementedError

    def adopt(self, box: str, answer: TakeoverResponse) -> None:
        """Never called."""
        raise NotImplementedError

    def send_takeover(
        self, box: str, order: TakeoverRequest, done: Callable[[Response | Failure], None]
    ) -> bool:
        """There are no media servers, so there is nothing to take over."""
        return False


class HollowDirector:
    """One director's control parts. `start` binds its listener."""

    def __init__(
        self,
        config: DirectorConfig,
        sight_of_zone: dict[str, ZoneObservation],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.name = config.name
        self.files = DiskFiles(Path(config.state), loop)
        timeline = Timeline(loop, time.time(), STALL_MS, lambda late_ms: None)
        self.host = HollowHost(sight_of_zone)
        self.cluster = ClusterService(config, loop, timeline, self.files, Counters(), self.host)
        self._timeline = timeline

    async def start(self) -> None:
        """Listen, and begin to know the others."""
        await self.cluster.start()

    async def kill(self) -> None:
        """Be gone without a word, as far as others can see."""
        self._timeline.close()
        self.cluster.close()
        await self.cluster.stop(0.0)
        self.files.executor.shutdown(wait=False)


def load_of_zones(plan: FleetPlan) -> dict[str, ZoneObservation]:
    """A counted load: a quarter of what each zone's servers give is asked of them."""
    gives = 700000.0 * plan.servers_per_zone
    sight = ZoneObservation(plan.servers_per_zone, gives=gives, asked=gives / 4, demand=gives / 16)
    return dict.fromkeys(plan.zones, sight)
