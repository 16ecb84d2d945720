"""Reads and writes the box list in the JSON form of Envoy's discovery service.

Full list: a DiscoveryResponse (envoy.service.discovery.v3) whose resources are ClusterLoadAssignments. Delta:
a DeltaDiscoveryResponse with one LbEndpoint a resource, as in locality endpoint discovery, named by its box,
and `removed_resources`. Versions are whole numbers written as strings. A box's `health_status` is HEALTHY,
DRAINING or UNHEALTHY; the `zone` of its locality is its zone; `load_balancing_weight` is its weight in
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
    """An invalid list; the message names the box and the field."""


class _SocketAddress(msgspec.Struct):
    address: str
    port_value: Annotated[int, Meta(ge=1, le=65535)]


class _Address(msgspec.Struct):
    socket_address: _SocketAddress


class _Endpoint(msgspec.Struct):
    address: _Address


class _FoxliftMetadata(msgspec.Struct):
    name: Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
    cell: Annotated[int, Meta(ge=0)]
    kind: str
    started_unix_ms: Annotated[float, Meta(ge=0)] = 0.0
    zone: str = ""


class _FilterMetadata(msgspec.Struct):
    foxlift: _FoxliftMetadata


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
    """One box of the list. `number` identifies it in the module, the same at every director."""

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
    """A full list."""

    version: int
    boxes: tuple[BoxEntry, ...]


@dataclass(frozen=True, slots=True)
class ListDelta:
    """Changes since an earlier version of the list."""

    version: int
    boxes: tuple[BoxEntry, ...]
    removed: tuple[str, ...]


def box_number(name: str) -> int:
    """The number of a box, computed from its name alone."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def read_response(body: bytes) -> BoxList | ListDelta:
    """Read a full list or a delta. Raises ListError."""
    if len(body) > MAX_BYTES:
        raise ListError(f"box list of {len(body)} bytes, at most {MAX_BYTES} allowed")
    try:
        answer = _snake(msgspec.json.decode(body, type=dict[str, Any]))
        # not strict: protobuf's JSON may write whole numbers as strings, and numbers of a Struct as floats
        if "system_version_info" in answer:
            return _read_delta(msgspec.convert(answer, _Delta, strict=False))
        return _read_full(msgspec.convert(answer, _Full, strict=False))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ListError(str(error).replace("`", "")) from error


def _snake(value: Any) -> Any:
    """Convert field names to snake case; protobuf's JSON mapping allows lbEndpoints and lb_endpoints."""
    if isinstance(value, dict):
        return {_CAPITAL.sub(r"_\1", key).lower(): _snake(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_snake(item) for item in value]
    return value


def _version(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise ListError("version is not a whole number of at most 18 digits")
    return int(text)


def _read_full(full: _Full) -> BoxList:
    boxes = [
        _entry(endpoint, group.locality.zone)
        for assignment in full.resources
        for group in assignment.endpoints
        for endpoint in group.lb_endpoints
    ]
    if len(boxes) > MAX_BOXES:
        raise ListError(f"{len(boxes)} boxes, at most {MAX_BOXES} allowed")
    if len({box.number for box in boxes}) < len(boxes):
        names: set[str] = set()
        repeated = next((b.name for b in boxes if b.name in names or names.add(b.name)), "two names")  # type: ignore[func-returns-value]
        raise ListError(f"{repeated}: listed twice")
    return BoxList(_version(full.version_info), tuple(boxes))


def _read_delta(delta: _Delta) -> ListDelta:
    boxes = []
    for resource in delta.resources:
        if resource.name != resource.resource.metadata.filter_metadata.foxlift.name:
            raise ListError(f"{resource.name}: the resource's name is not that of its box")
        boxes.append(_entry(resource.resource, resource.resource.metadata.filter_metadata.foxlift.zone))
    return ListDelta(_version(delta.system_version_info), tuple(boxes), tuple(delta.removed_resources))


def _entry(endpoint: _LbEndpoint, zone: str) -> BoxEntry:
    own_metadata, address = (
        endpoint.metadata.filter_metadata.foxlift,
        endpoint.endpoint.address.socket_address,
    )
    if endpoint.health_status not in _STATUS:
        raise ListError(f"{own_metadata.name}: health_status {endpoint.health_status[:40]!r} is unknown")
    return BoxEntry(
        name=own_metadata.name,
        number=box_number(own_metadata.name),
        host=address.address,
        port=address.port_value,
        zone=zone or own_metadata.zone,
        kind=own_metadata.kind,
        cell=own_metadata.cell,
        status=_STATUS[endpoint.health_status],
        weight=endpoint.load_balancing_weight / 1000,
        started_unix_ms=own_metadata.started_unix_ms,
    )


def encode_full(boxes: BoxList) -> bytes:
    """Encode a list as a DiscoveryResponse, which is also its form on disk."""
    by_zone: dict[str, list[Any]] = {}
    for box in boxes.boxes:
        by_zone.setdefault(box.zone, []).append(lb_endpoint(box))
    groups = [{"locality": {"zone": zone}, "lb_endpoints": endpoints} for zone, endpoints in by_zone.items()]
    assignment = {"@type": TYPE_URL, "cluster_name": "media", "endpoints": groups}
    return msgspec.json.encode(
        {"version_info": str(boxes.version), "type_url": TYPE_URL, "resources": [assignment]}
    )


def lb_endpoint(box: BoxEntry) -> dict[str, Any]:
    """Encode one box as an LbEndpoint."""
    status = {v: k for k, v in reversed(_STATUS.items())}[box.status]
    foxlift = {
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
        "metadata": {"filter_metadata": {"foxlift": foxlift}},
    }
