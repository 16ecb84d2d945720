"""HTTP messages: requests, header lists, limits and problem details."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import msgspec

Headers = tuple[tuple[str, str], ...]

_REASONS = {status.value: status.phrase for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a server's connections and requests."""

    max_connections: int = 20_000
    max_header_bytes: int = 16_384
    max_body_bytes: int = 65_536
    max_pipelined: int = 8
    header_time_ms: float = 10_000.0
    idle_time_ms: float = 60_000.0
    write_buffer_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class Request:
    """One request as received: header names in lower case, the path still percent-encoded."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    peer: str
    arrived_s: float = field(default=0.0)  # of its first byte, on the loop's clock


def header(headers: Headers, name: str) -> str | None:
    """The first header of that (lower-case) name."""
    return next((value for key, value in headers if key.lower() == name), None)


def problem(status: int, title: str, detail: str = "", kind: str = "about:blank") -> tuple[Headers, bytes]:
    """Header and body of problem details (RFC 9457 section 3)."""
    body: dict[str, object] = {"type": kind, "title": title, "status": status}
    if detail:
        body["detail"] = detail
    return (("content-type", "application/problem+json"),), msgspec.json.encode(body)


def encode_head(status: int, headers: Headers, length: int | None, close: bool) -> bytes:
    """Status line and header section (RFC 9112 sections 4 and 5); if `length` is None the body is chunked."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if status not in (204, 304):
        lines.append("transfer-encoding: chunked" if length is None else f"content-length: {length}")
    if close:
        lines.append("connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def encode_request(method: str, target: str, host: str, headers: Headers, body: bytes) -> bytes:
    """A whole request with its body."""
    lines = [f"{method} {target} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("PUT", "POST"):
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace") + body
