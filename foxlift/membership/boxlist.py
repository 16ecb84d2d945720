"""Read the box list as Envoy's discovery service writes it in JSON.

Full: a DiscoveryResponse (envoy.service.discovery.v3) whose resources are ClusterLoadAssignments. Changes: a
DeltaDiscoveryResponse with one LbEndpoint a resource, as in locality endpoint discovery, named by the box's
name, and `removed_resources`. Versions are whole numbers written as strings. A box's `health_status` is
HEALTHY, DRAINING or UNHEALTHY; its locality's `zone` is the zone; `load_balancing_weight` the weight in
thousandths; `metadata.filter_metadata.foxlift` holds `name`, `cell`, `kind` and `started_unix_ms` (0: long
ago).
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import blake2b
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from foxlift import interface as fl

MAX_BYTES = 16 << 20
MAX_BOXES = 100_000
TYPE_URL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

_CAPITAL = re.compile(r"(?<=[a-z0-9])([A-Z])")

_STATUS = {
    "HEALTHY": fl.Status.READY,
    "UNKNOWN": fl.Status.READY,
    "DRAINING": fl.Status.DRAINING,
    "UNHEALTHY": fl.Status.GONE,
    "TIMEOUT": fl.Status.GONE,
}


class ListError(ValueError):
    """A list that cannot be used; names the box and the field."""


class _SocketAddress(msgspec.Struct):
    address: str
    port_value: Annotated[int, Meta(ge=1, le=65535)]


class _Address(msgspec.Struct):
    socket_address: _SocketAddress


class _Endpoint(msgspec.Struct):
    address: _Address


class _Own(msgspec.Struct):
    name: Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
    cell: Annotated[int, Meta(ge=0)]
    kind: str
    started_unix_ms: Annotated[float, Meta(ge=0)] = 0.0
    zone: str = ""


class _FilterMetadata(msgspec.Struct):
    foxlift: _Own


class _Metadata(msgspec.Struct):
    filter_metadata: _FilterMetadata


class _LbEndpoint(msgspec.Struct):
    endpoint: _Endpoint
    metadata: _Metadata
    health_status: str = "UNKNOWN"
    load_balancing_weight: Annotated[int, Meta(ge=1)] = 1000


class _Locality(msgspec.Struct):
    zone: str = ""


class _LocalityEndpoints(msgspec.Struct):
    locality: _Locality
    lb_endpoints: list[_LbEndpoint] = []


class _Assignment(msgspec.Struct):
    cluster_name: str
    endpoints: list[_LocalityEndpoints] = []


class _Full(msgspec.Struct):
    version_info: str
    resources: list[_Assignment]


class _Resource(msgspec.Struct):
    name: str
    resource: _LbEndpoint


class _Delta(msgspec.Struct):
    system_version_info: str
    resources: list[_Resource] = []
    removed_resources: list[str] = []


@dataclass(frozen=True, slots=True)
class BoxEntry:
    """One box of the list. `number` is what the module knows it by; the same at every director."""

    name: str
    number: int
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    status: fl.Status
    weight: float
    started_unix_ms: float


@dataclass(frozen=True, slots=True)
class BoxList:
    """A whole list."""

    version: int
    boxes: tuple[BoxEntry, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed since the list that was held."""

    version: int
    boxes: tuple[BoxEntry, ...]
    removed: tuple[str, ...]


def box_number(name: str) -> int:
    """The opaque number of a box, from its name alone."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def read_response(body: bytes) -> BoxList | Changes:
    """Read either answer of the service. Raises ListError."""
    if len(body) > MAX_BYTES:
        raise ListError(f"a list of more than {MAX_BYTES} bytes")
    try:
        answer = _snake(msgspec.json.decode(body, type=dict[str, Any]))
        # lax: protobuf's JSON may write whole numbers as strings, and every number of a Struct as a float
        if "system_version_info" in answer:
            return _read_delta(msgspec.convert(answer, _Delta, strict=False))
        return _read_full(msgspec.convert(answer, _Full, strict=False))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ListError(str(error).replace("`", "")) from error


def _snake(value: Any) -> Any:
    """Field names in either spelling that protobuf's JSON mapping allows (lbEndpoints, lb_endpoints)."""
    if isinstance(value, dict):
        return {_CAPITAL.sub(r"_\1", key).lower(): _snake(found) for key, found in value.items()}
    if isinstance(value, list):
        return [_snake(found) for found in value]
    return value


def _version(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise ListError("the version is no whole number")
    return int(text)


def _read_full(full: _Full) -> BoxList:
    boxes = [
        _entry(endpoint, group.locality.zone)
        for assignment in full.resources
        for group in assignment.endpoints
        for endpoint in group.lb_endpoints
    ]
    if len(boxes) > MAX_BOXES:
        raise ListError(f"more than {MAX_BOXES} boxes")
    if len({box.number for box in boxes}) < len(boxes):
        names: set[str] = set()
        twice = next((b.name for b in boxes if b.name in names or names.add(b.name)), "two names")  # type: ignore[func-returns-value]
        raise ListError(f"{twice}: listed twice")
    return BoxList(_version(full.version_info), tuple(boxes))


def _read_delta(delta: _Delta) -> Changes:
    boxes = []
    for resource in delta.resources:
        if resource.name != resource.resource.metadata.filter_metadata.foxlift.name:
            raise ListError(f"{resource.name}: the resource has another name than its box")
        boxes.append(_entry(resource.resource, resource.resource.metadata.filter_metadata.foxlift.zone))
    return Changes(_version(delta.system_version_info), tuple(boxes), tuple(delta.removed_resources))


def _entry(endpoint: _LbEndpoint, zone: str) -> BoxEntry:
    own, address = endpoint.metadata.filter_metadata.foxlift, endpoint.endpoint.address.socket_address
    if endpoint.health_status not in _STATUS:
        raise ListError(f"{own.name}: health_status is not known")
    return BoxEntry(
        name=own.name,
        number=box_number(own.name),
        host=address.address,
        port=address.port_value,
        zone=zone or own.zone,
        kind=own.kind,
        cell=own.cell,
        status=_STATUS[endpoint.health_status],
        weight=endpoint.load_balancing_weight / 1000,
        started_unix_ms=own.started_unix_ms,
    )


def encode_full(boxes: BoxList) -> bytes:
    """The list as a DiscoveryResponse; also the form in which it is cached on disk."""
    by_zone: dict[str, list[Any]] = {}
    for box in boxes.boxes:
        by_zone.setdefault(box.zone, []).append(lb_endpoint(box))
    groups = [{"locality": {"zone": zone}, "lb_endpoints": found} for zone, found in by_zone.items()]
    assignment = {"@type": TYPE_URL, "cluster_name": "media", "endpoints": groups}
    return msgspec.json.encode(
        {"version_info": str(boxes.version), "type_url": TYPE_URL, "resources": [assignment]}
    )


def lb_endpoint(box: BoxEntry) -> dict[str, Any]:
    """One box as an LbEndpoint."""
    status = {v: k for k, v in reversed(_STATUS.items())}[box.status]
    own = {
        "name": box.name,
        "cell": box.cell,
        "kind": box.kind,
        "started_unix_ms": box.started_unix_ms,
        "zone": box.zone,
    }
    return {
        "endpoint": {"address": {"socket_address": {"address": box.host, "port_value": box.port}}},
        "health_status": status,
        "load_balancing_weight": max(round(box.weight * 1000), 1),
        "metadata": {"filter_metadata": {"foxlift": own}},
    }
