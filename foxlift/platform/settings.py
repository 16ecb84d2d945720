"""The platform's configuration of a director: reads the JSON file named by BALANCER_CONFIG.

Every error names the path of the invalid field. The file is read again at SIGHUP, but only the coordinator's
address is applied then; all else stays unchanged until the process ends.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Any

import msgspec

from foxlift import interface as fl
from foxlift.platform.viewers import node_number
from foxlift.wiresettings import LOAD_FIELDS, Params, SettingsError, settings_of

MAX_CONFIG_BYTES = 16 * 1024 * 1024
PHASES = {"active": fl.Status.READY, "leaving": fl.Status.DRAINING, "left": fl.Status.GONE}


class ConfigError(ValueError):
    """The configuration is invalid; the message names the field."""


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
    """A host and port to connect to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One entry of the coordinator's list; `info` is the part passed to the module."""

    info: fl.NodeInfo
    address: Address


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One update by the coordinator: the full list or its changes."""

    number: int
    full: bool
    servers: tuple[ListedServer, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one director."""

    name: str
    listen: Address
    coordinator: Address
    seed: int
    sockets: int
    module: fl.Settings
    class_names: dict[str, int]
    tenant_names: dict[str, int]
    columns: frozenset[str]  # of a load report, those that the module can use
    idle_ms: float
    max_streams: int  # concurrent set-ups on one connection to a server
    zones: int  # number of zones in the settings
    known: tuple[ListUpdate, ...]
    known_number: int


def address(text: str, path: str) -> Address:
    """Parse address:port. Raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536):
        raise ConfigError(f"{path}: {text[:40]!r} is not address:port")
    try:
        socket.inet_pton(socket.AF_INET, host)  # host names cannot be resolved here
    except OSError as error:
        raise ConfigError(f"{path}: {text[:40]!r} is not address:port") from error
    return Address(host, int(port))


def read(data: bytes) -> Config:
    """Parse the bytes of the file. Raises ConfigError."""
    if len(data) > MAX_CONFIG_BYTES:
        raise ConfigError(f"the file has {len(data)} bytes, more than {MAX_CONFIG_BYTES}")
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
        raise ConfigError(f"limits.sockets: {raw.limits.sockets} is less than the minimum of 64")
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
        known_number=max([raw.known.index, *(known_update.number for known_update in known)]),
    )


def _validate(module: fl.Settings) -> None:
    """Check what the module relies on. Raises ConfigError."""
    rungs = len(module.ladder_kb)
    info, rules = "settings.family_info.", "settings.invariants."
    rising = all(a < b for a, b in zip((0.0, *module.ladder_kb), module.ladder_kb, strict=False))
    for valid, path, what in (
        (bool(module.classes), "settings.categories", "names no class"),
        (rungs > 0 and rising, info + "ladder_kb", "is not strictly increasing from above 0"),
        (len(module.ladder_worth) == rungs, info + "ladder_worth", "does not have one worth for each rung"),
        (module.cells > 0, info + "cells", "is not above 0"),
        (module.racks >= 0, info + "racks", "is below 0"),
        (module.link_kb_per_weight > 0, info + "kb_per_weight", "is not above 0"),
        (bool(module.kind_slots) and min(module.kind_slots) > 0, info + "kind_slots", "is not above 0"),
        (
            0 <= module.director < module.directors,
            "settings.ordinal",
            "is not in the range from 0 to settings.balancers - 1",
        ),
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
        raise ConfigError(f"{path}.id: {member.id[:40]!r} is not a server's name") from error
    if member.phase not in PHASES:
        raise ConfigError(f"{path}.phase: {member.phase[:40]!r} is not a known phase")
    if not 0 <= member.cell < cells:
        raise ConfigError(f"{path}.cell: {member.cell} is not in the range from 0 to {cells - 1}")
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
