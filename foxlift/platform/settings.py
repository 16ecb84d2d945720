"""What the platform tells a director: the JSON file named by BALANCER_CONFIG, read into typed forms.

Every error names the path of the field that is at fault. The file is read again at SIGHUP, and what it then
says of the coordinator is taken over; the rest holds for the life of the process.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Any

import msgspec

from foxlift import interface as fl
from foxlift.platform.viewers import node_number
from foxlift.wiresettings import LOAD_FIELDS, Params, SettingsError, settings_of

MAX_CONFIG_BYTES = 16 * 1024 * 1024  # bytes
PHASES = {"active": fl.Status.READY, "leaving": fl.Status.DRAINING, "left": fl.Status.GONE}


class ConfigError(ValueError):
    """The configuration cannot be used; the message names the field."""


class _Member(msgspec.Struct):
    id: str
    host_port: str
    locality: str
    flavor: str
    cell: int
    phase: str
    size: float = 1.0
    up_since_ms: float = 0.0


class _Endpoints(msgspec.Struct):
    members: list[_Member]
    complete: bool = False


class _Update(msgspec.Struct):
    index: int
    endpoints: _Endpoints


class _Known(msgspec.Struct):
    index: int = 0
    updates: list[_Update] = []


class _Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _Config(msgspec.Struct):
    name: str
    listen: str
    coordinator: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: _Known = msgspec.field(default_factory=_Known)


@dataclass(frozen=True, slots=True)
class Address:
    """Where to connect."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One entry of the coordinator's list; `info` is what the module is told of it."""

    info: fl.NodeInfo
    address: Address


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One event of the coordinator: the whole list or what has changed."""

    number: int
    full: bool
    servers: tuple[ListedServer, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """All that one director starts from."""

    name: str
    listen: Address
    coordinator: Address
    seed: int
    sockets: int
    module: fl.Settings
    class_names: dict[str, int]
    tenant_names: dict[str, int]
    columns: frozenset[str]  # of a load report, as the module can use them
    idle_ms: float
    max_streams: int  # set-ups at once on one connection to a box
    zones: int  # how many the settings name
    known: tuple[ListUpdate, ...]
    known_number: int


def address(text: str, path: str) -> Address:
    """Read address:port."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536):
        raise ConfigError(f"{path}: {text[:40]!r} is not address:port")
    try:
        socket.inet_pton(socket.AF_INET, host)  # names cannot be looked up here
    except OSError as error:
        raise ConfigError(f"{path}: {text[:40]!r} is not address:port") from error
    return Address(host, int(port))


def read(data: bytes) -> Config:
    """Turn the file's bytes into a Config. Raises ConfigError."""
    if len(data) > MAX_CONFIG_BYTES:
        raise ConfigError(f"the file is larger than {MAX_CONFIG_BYTES} bytes")
    try:
        raw = msgspec.json.decode(data, type=_Config)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise ConfigError(str(error)) from error
    params = Params.nested(raw.settings)
    try:
        module = settings_of(params)
        zones, kinds = params.items("zones", ""), params.items("models", "")
        columns = frozenset(params.items("telemetry.columns", "")) & LOAD_FIELDS.keys()
        idle_ms = params.number("limits.keepalive_ms", 30000.0)
        max_streams = max(params.whole("limits.max_streams", 1), 1)
    except (SettingsError, OverflowError) as error:
        raise ConfigError(str(error)) from error
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from error
    _validate(module)
    try:
        seed = int(raw.seed, 16)
    except ValueError as error:
        raise ConfigError(f"seed: {raw.seed[:40]!r} is not hexadecimal") from error
    if raw.limits.sockets < 64:
        raise ConfigError(f"limits.sockets: {raw.limits.sockets} is less than a director can work with (64)")
    known = tuple(
        ListUpdate(
            update.index,
            update.endpoints.complete,
            tuple(
                _server(member, f"known.updates.{k}.endpoints.members.{m}", zones, kinds, module.cells)
                for m, member in enumerate(update.endpoints.members)
            ),
        )
        for k, update in enumerate(raw.known.updates)
    )
    return Config(
        name=raw.name,
        listen=address(raw.listen, "listen"),
        coordinator=address(raw.coordinator, "coordinator"),
        seed=seed,
        sockets=raw.limits.sockets,
        module=module,
        class_names={klass.name: k for k, klass in enumerate(module.classes)},
        tenant_names={tenant.name: k for k, tenant in enumerate(module.tenants)},
        columns=columns,
        idle_ms=idle_ms,
        max_streams=max_streams,
        zones=len(zones),
        known=known,
        known_number=max([raw.known.index, *(update.number for update in known)]),
    )


def _validate(module: fl.Settings) -> None:
    """What the module takes for granted. Raises ConfigError."""
    rungs = len(module.ladder_kb)
    info, rules = "settings.family_info.", "settings.invariants."
    rising = all(a < b for a, b in zip((0.0, *module.ladder_kb), module.ladder_kb, strict=False))
    for valid, path, what in (
        (bool(module.classes), "settings.categories", "names no class"),
        (rungs > 0 and rising, info + "ladder_kb", "does not rise from above 0"),
        (len(module.ladder_worth) == rungs, info + "ladder_worth", "has not a worth for each rung"),
        (module.cells > 0, info + "cells", "is not above 0"),
        (module.racks >= 0, info + "racks", "is under 0"),
        (module.link_kb_per_weight > 0, info + "kb_per_weight", "is not above 0"),
        (bool(module.kind_slots) and min(module.kind_slots) > 0, info + "kind_slots", "is not above 0"),
        (0 <= module.director < module.directors, "settings.ordinal", "is not under settings.balancers"),
        (module.cold_from > 0, rules + "cold_from", "is not above 0"),
        (module.cold_multiple > 0, rules + "fall_multiple", "is not above 0"),
        *(
            (0 <= klass.floor <= klass.top < rungs, info + "top_by_class", f"has no rung for {klass.name!r}")
            for klass in module.classes
        ),
        *(
            (klass.rate_scale > 0, info + "class_scale", f"is not above 0 for {klass.name!r}")
            for klass in module.classes
        ),
    ):
        if not valid:
            raise ConfigError(f"{path} {what}")


def _index(name: str, names: list[str], path: str) -> int:
    if name not in names:
        raise ConfigError(f"{path}: {name[:40]!r} is not in the settings")
    return names.index(name)


def _server(member: _Member, path: str, zones: list[str], kinds: list[str], cells: int) -> ListedServer:
    try:
        number = node_number(member.id)
    except ValueError as error:
        raise ConfigError(f"{path}.id: {member.id[:40]!r} is not a box's name") from error
    if member.phase not in PHASES:
        raise ConfigError(f"{path}.phase: {member.phase[:40]!r} is not known")
    if not 0 <= member.cell < cells:
        raise ConfigError(f"{path}.cell: {member.cell} is not under {cells}")
    info = fl.NodeInfo(
        node=number,
        zone=_index(member.locality, zones, path + ".locality"),
        kind=_index(member.flavor, kinds, path + ".flavor"),
        cell=member.cell,
        status=PHASES[member.phase],
        weight=member.size,
        started_ms=member.up_since_ms,
    )
    return ListedServer(info, address(member.host_port, path + ".host_port"))
