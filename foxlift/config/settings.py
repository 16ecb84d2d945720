"""The settings file of one director, and its conversion to `foxlift.interface.Settings`."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from foxlift import interface as fl
from foxlift.config.control import MAX_RELAYS, RelayConfig
from foxlift.config.forms import ConfigError, SourcePosition, bind, read_forms

Ms = Annotated[float, Meta(ge=0, le=86_400_000)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
Origin = Annotated[str, Meta(pattern=r"^(\*|https?://[A-Za-z0-9.:\[\]-]+)$", max_length=300)]
Count = Annotated[int, Meta(ge=0, le=10_000_000)]
Positive = Annotated[int, Meta(ge=1, le=10_000_000)]
Amount = Annotated[float, Meta(ge=0, le=1e12)]

_REPEATS = {"free": fl.Repeat.FREE, "windowed": fl.Repeat.WINDOWED, "once": fl.Repeat.ONCE}


class ClassConfig(msgspec.Struct, frozen=True, tag="class", forbid_unknown_fields=True):
    """One class of sessions; see `foxlift.interface.SessionClass`."""

    name: Name
    repeat: Literal["free", "windowed", "once"]
    wanted_ms: Ms
    deadline_ms: Ms
    worth: Amount
    top: Annotated[int, Meta(ge=0, le=31)]
    rate_scale: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    floor: Annotated[int, Meta(ge=0, le=31)] = 0
    seats: Count = 0
    live: bool = False


class TenantConfig(msgspec.Struct, frozen=True, tag="tenant"):
    """A tenant, its share of the service and its quota."""

    name: Name
    share: Annotated[float, Meta(ge=0, le=1)] = 1.0
    quota_per_s: Amount = 0.0


class FleetConfig(msgspec.Struct, frozen=True):
    """Settings of the fleet, the same for all directors."""

    ladder_kb: Annotated[tuple[float, ...], Meta(min_length=1, max_length=32)]
    ladder_worth: Annotated[tuple[float, ...], Meta(min_length=1, max_length=32)]
    classes: tuple[ClassConfig, ...]
    cells: Positive
    racks: Positive
    zones: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=1000)]
    kinds: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=1000)]
    kind_slots: Annotated[tuple[Positive, ...], Meta(min_length=1, max_length=1000)]
    link_kb_per_weight: Amount
    uplink_kb: Amount = 0.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.4
    warm_up_ms: Ms = 0.0
    cold_multiple: Annotated[float, Meta(gt=0, le=100)] = 2.0
    cold_window_ms: Ms = 1000.0
    node_full_from: Amount = 0.0
    note_late_ms: Ms = 0.0
    report_every_ms: Ms = 0.0
    stall_cost: Amount = 0.0
    rung_change_s: Amount = 0.0
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3
    come_back_max_ms: Ms = 0.0
    drain_grace_ms: Ms = 1000.0
    answer_slack_ms: Ms = 40.0
    extra_free: Amount = 0.0
    extra_ratio: Amount = 0.0
    extra_span_ms: Ms = 0.0
    price_crossing: Amount = 0.0
    price_move: Amount = 0.0
    tenants: tuple[TenantConfig, ...] = ()
    over_share_worth: Amount = 1.0

    def __post_init__(self) -> None:
        if len(self.ladder_kb) != len(self.ladder_worth):
            raise ValueError(
                f"{len(self.ladder_kb)} rates in ladder-kb, {len(self.ladder_worth)} worths in ladder-worth"
            )
        if any(b <= a for a, b in zip(self.ladder_kb, self.ladder_kb[1:], strict=False)):
            raise ValueError(f"ladder-kb does not rise from rung to rung: {self.ladder_kb}")
        if not all(math.isfinite(kb) and kb > 0 for kb in self.ladder_kb):
            raise ValueError(f"ladder-kb holds a rate that is not above 0: {self.ladder_kb}")
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        if len({klass.name for klass in self.classes}) != len(self.classes):
            raise ValueError("classes: two classes have the same name")
        for klass in self.classes:
            if klass.floor > klass.top or klass.top >= len(self.ladder_kb):
                raise ValueError(f"class {klass.name}: floor and top do not fit the ladder")
            if klass.wanted_ms > klass.deadline_ms or klass.deadline_ms <= 0:
                raise ValueError(f"class {klass.name}: wanted-ms lies above deadline-ms")
        if len(self.kinds) != len(self.kind_slots):
            raise ValueError(
                f"{len(self.kinds)} names in kinds, {len(self.kind_slots)} numbers in kind-slots"
            )


class FrontConfig(msgspec.Struct, frozen=True):
    """The listener for players and its limits per connection."""

    host: str = "127.0.0.1"
    port: Port = 0
    url: Annotated[str, Meta(pattern=r"^(http://.*)?$")] = ""  # as players reach it; default: host and port
    max_connections: Positive = 20_000
    max_header_bytes: Positive = 16_384
    max_body_bytes: Count = 65_536
    max_pipelined: Positive = 8
    header_time_ms: Ms = 10_000.0
    idle_time_ms: Ms = 60_000.0
    stop_time_ms: Ms = 10_000.0
    answer_margin_ms: Ms = 60.0
    intent_ms: Ms = 300.0
    update_period_s: Annotated[float, Meta(gt=0, le=3600)] = 4.0
    origins: Annotated[tuple[Origin, ...], Meta(min_length=1, max_length=100)] = ("*",)  # allowed for CORS
    preflight_s: Annotated[int, Meta(ge=0, le=86_400)] = 7200  # how long a browser may cache a preflight

    def __post_init__(self) -> None:
        if "*" in self.origins and len(self.origins) > 1:
            raise ValueError("origins: either * or a list of origins, not both")


class TokenConfig(msgspec.Struct, frozen=True):
    """The key file for session tokens, and the issuer and audience that a token must name."""

    keys: str
    issuer: Annotated[str, Meta(min_length=1)]
    audience: Annotated[str, Meta(min_length=1)]
    leeway_s: Annotated[int, Meta(ge=0, le=300)] = 2


class CatalogueConfig(msgspec.Struct, frozen=True):
    """The folder with `catalogue.sexp` and the source manifests."""

    folder: str


class BoxListConfig(msgspec.Struct, frozen=True):
    """The box list service, queried by long polling."""

    url: Annotated[str, Meta(pattern=r"^http://")]
    poll_ms: Ms = 20_000.0
    retry_ms: Ms = 500.0


class BoxLinkConfig(msgspec.Struct, frozen=True):
    """The director's connections to media boxes."""

    connect_ms: Ms = 250.0
    max_connections: Positive = 64
    idle_ms: Ms = 4000.0
    lost_after_ms: Ms = 2000.0
    notice_retry_ms: Ms = 250.0
    release_retry_ms: Ms = 500.0
    park_s: Annotated[float, Meta(ge=0, le=86_400)] = 600.0  # how long boxes keep a paused paid session
    max_answer_bytes: Positive = 65_536


class LedgerConfig(msgspec.Struct, frozen=True):
    """The ledger of usage by tenant; usage records are split where a tariff version begins."""

    tariff: str = ""
    grace_ms: Ms = 3_600_000.0  # a period is closed this long after its end
    export_folder: str = ""
    export_url: Annotated[str, Meta(pattern=r"^(http://.*)?$")] = ""
    export_every_ms: Ms = 5000.0

    def __post_init__(self) -> None:
        if self.export_folder and self.export_url:
            raise ValueError("export-folder and export-url are both given; only one is allowed")


class PeerConfig(msgspec.Struct, frozen=True, tag="peer"):
    """Another director of the fleet and the URL of its listener for peers."""

    name: Name
    url: Annotated[str, Meta(pattern=r"^http://[A-Za-z0-9.-]+:[0-9]{1,5}$", max_length=300)]


class PeersConfig(msgspec.Struct, frozen=True):
    """The other directors, which take over each other's sessions; off if `others` is empty."""

    others: Annotated[tuple[PeerConfig, ...], Meta(max_length=1000)] = ()
    host: str = "127.0.0.1"
    port: Port = 0
    period_ms: Annotated[float, Meta(ge=20, le=60_000)] = 500.0
    claim_ms: Annotated[float, Meta(ge=10, le=60_000)] = 500.0  # how long a paid set-up waits for its claim
    pass_ms: Annotated[float, Meta(ge=10, le=60_000)] = 1000.0  # how long a request waits for its owner
    grace_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = (
        60_000.0  # how long a session outlives its owner's stream
    )
    longest_token_s: Annotated[int, Meta(ge=1, le=31_536_000)] = 86_400
    clocks_apart_ms: Annotated[int, Meta(ge=0, le=600_000)] = 10_000  # largest difference of any two
    # all directors' names before the fleet was resized; needed until all tokens of that time have expired
    former: Annotated[tuple[Name, ...], Meta(max_length=1000)] = ()
    holders: Literal[1, 3, 5, 7, 9] = 5  # replicas of a paid token's register; more than half are needed
    former_holders: Literal[0, 1, 3, 5, 7, 9] = 0  # the value before `holders` was changed; 0: unchanged
    # directors that agree on zone plans, spread over regions; `regions`: the region of each zone
    makers: Annotated[tuple[Name, ...], Meta(max_length=9)] = ()
    regions: Annotated[tuple[Name, ...], Meta(max_length=1000)] = ()
    trust_disk: bool = False  # the operator confirms that the state folder is the one of the last run

    def __post_init__(self) -> None:
        if len({peer.name for peer in self.others}) != len(self.others):
            raise ValueError("others: two peers have the same name")

    @property
    def on(self) -> bool:
        """Whether there are other directors."""
        return bool(self.others)


class ConfigurationConfig(msgspec.Struct, frozen=True):
    """Control servers from which the director receives configuration changes; off if there are none."""

    relays: Annotated[tuple[RelayConfig, ...], Meta(max_length=MAX_RELAYS)] = ()

    def __post_init__(self) -> None:
        if len({relay.name for relay in self.relays}) != len(self.relays):
            raise ValueError("relays: two relays have the same name")


class DirectorConfig(msgspec.Struct, frozen=True):
    """The settings file of `foxlift serve`."""

    name: Name
    number: Count
    directors: Positive
    zone: Name
    state: str
    fleet: FleetConfig
    front: FrontConfig
    tokens: TokenConfig
    catalogue: CatalogueConfig
    box_list: BoxListConfig
    boxes: BoxLinkConfig = BoxLinkConfig()
    ledger: LedgerConfig = LedgerConfig()
    peers: PeersConfig = PeersConfig()
    configuration: ConfigurationConfig = ConfigurationConfig()
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 0
    stall_ms: Ms = 200.0

    def __post_init__(self) -> None:
        if self.number >= self.directors:
            raise ValueError(f"number {self.number} is not below directors {self.directors}")
        if self.zone not in self.fleet.zones:
            raise ValueError(
                f"zone {self.zone} is not one of the fleet's zones: {', '.join(self.fleet.zones)}"
            )
        if any(peer.name == self.name for peer in self.peers.others):
            raise ValueError(f"peers: {self.name} is this director's own name")
        named = {peer.name for peer in self.peers.others} | {self.name}
        if unknown := sorted(set(self.peers.makers) - named):
            raise ValueError(f"peers: maker {unknown[0]} is neither this director nor one of others")
        # an even number needs a larger majority and tolerates no more failures
        if self.peers.makers and len(self.peers.makers) % 2 == 0:
            raise ValueError(f"peers: {len(self.peers.makers)} makers; their number must be odd")
        if self.peers.regions and len(self.peers.regions) != len(self.fleet.zones):
            raise ValueError(
                f"peers: {len(self.peers.regions)} regions, {len(self.fleet.zones)} zones; one each is needed"
            )
        if unknown := sorted(set(self.peers.former) - named):
            # a replica without an address never answers; of three replicas one may be silent, but not two
            raise ValueError(
                f"peers: former {unknown[0]} is not in others: keep it there until former is removed"
            )


def load_director(path: Path) -> DirectorConfig:
    """Read a director's settings file.

    Raises ConfigError. Relative paths in the file are relative to the file's folder.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(SourcePosition(str(path), 1, 1), "", f"cannot be read: {error}") from error
    config = bind(read_forms(text, str(path)), DirectorConfig, "director")
    here = path.parent
    return msgspec.structs.replace(
        config,
        state=str(here / config.state),
        tokens=msgspec.structs.replace(config.tokens, keys=str(here / config.tokens.keys)),
        catalogue=msgspec.structs.replace(config.catalogue, folder=str(here / config.catalogue.folder)),
        ledger=msgspec.structs.replace(
            config.ledger,
            tariff=str(here / config.ledger.tariff) if config.ledger.tariff else "",
            export_folder=str(here / config.ledger.export_folder) if config.ledger.export_folder else "",
        ),
    )


def module_settings(config: DirectorConfig) -> fl.Settings:
    """Convert a director's settings to the decision module's settings."""
    fleet = config.fleet
    classes = tuple(
        fl.SessionClass(
            name=klass.name,
            repeat=_REPEATS[klass.repeat],
            wanted_ms=klass.wanted_ms,
            deadline_ms=klass.deadline_ms,
            worth=klass.worth,
            rate_scale=klass.rate_scale,
            floor=klass.floor,
            top=klass.top,
            seats=klass.seats,
            live=klass.live,
        )
        for klass in fleet.classes
    )
    return fl.Settings(
        director=config.number,
        directors=config.directors,
        classes=classes,
        ladder_kb=fleet.ladder_kb,
        ladder_worth=fleet.ladder_worth,
        cells=fleet.cells,
        racks=fleet.racks,
        link_kb_per_weight=fleet.link_kb_per_weight,
        kind_slots=fleet.kind_slots,
        answer_slack_ms=fleet.answer_slack_ms,
        cold_from=fleet.cold_from,
        warm_up_ms=fleet.warm_up_ms,
        cold_multiple=fleet.cold_multiple,
        cold_window_ms=fleet.cold_window_ms,
        zone=fleet.zones.index(config.zone),
        tenants=tuple(fl.Tenant(t.name, t.share, t.quota_per_s) for t in fleet.tenants),
        over_share_worth=fleet.over_share_worth,
        uplink_kb=fleet.uplink_kb,
        node_full_from=fleet.node_full_from,
        note_late_ms=fleet.note_late_ms,
        report_every_ms=fleet.report_every_ms,
        stall_cost=fleet.stall_cost,
        rung_change_s=fleet.rung_change_s,
        max_attempts=fleet.max_attempts,
        may_cancel=True,
        come_back=fleet.come_back_max_ms > 0,
        come_back_max_ms=fleet.come_back_max_ms,
        connect_timeout_ms=config.boxes.connect_ms,
        drain_grace_ms=fleet.drain_grace_ms,
        extra_free=fleet.extra_free,
        extra_ratio=fleet.extra_ratio,
        extra_span_ms=fleet.extra_span_ms,
        price_crossing=fleet.price_crossing,
        price_move=fleet.price_move,
    )
