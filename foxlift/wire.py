"""The binary wire: frames and records, driven by the layout tables below. No meaning, no policy."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Record = tuple[str, dict[str, Any]]

# Formats of a field: a struct letter, or one of
#   node    4 bytes of address and a u16 port, kept as one whole number, address first
#   text    u32 or u16 count and UTF-8 bytes     blob    u16 count and bytes
#   floats  u8 count and f32 values              entries u32 count and list entries
NODE = "node"
_TAILS = {"text32": "<I", "text16": "<H", "blob": "<H", "floats": "<B", "entries": "<I"}


class WireError(ValueError):
    """The input does not follow the wire's form."""


@dataclass(frozen=True)
class Layout:
    """One record's name and fields; at most the last field has a variable length."""

    name: str
    fields: tuple[tuple[str, str], ...]
    fixed: struct.Struct = field(init=False)
    tail: tuple[str, str] | None = field(init=False)
    names: tuple[tuple[str, bool], ...] = field(init=False)

    def __post_init__(self) -> None:
        tail = self.fields[-1] if self.fields and self.fields[-1][1] in _TAILS else None
        body = self.fields[:-1] if tail else self.fields
        form = "<" + "".join("4sH" if kind == NODE else kind for _, kind in body)
        object.__setattr__(self, "fixed", struct.Struct(form))
        object.__setattr__(self, "tail", tail)
        object.__setattr__(self, "names", tuple((name, kind == NODE) for name, kind in body))


def _layout(name: str, fields: str) -> Layout:
    pairs = [item.split(":") for item in fields.split()]
    return Layout(name, tuple((pair[0], pair[1]) for pair in pairs))


_REQUEST = (
    "i:H handle:Q qos:B tenant:I partition_key:Q show:Q ttl_ms:d weight_hint_ms:d "
    "start_cell:f holders:f best_rung:f opts:B"
)
EVENTS: Mapping[int, Layout] = {
    1: _layout("SPAWN", "i:H entropy:Q params:text32"),
    2: _layout("ENDPOINTS", "i:H kind:B seq_no:Q buffer:I"),
    3: _layout("ASK", _REQUEST),
    4: _layout("STREAMING", "i:H handle:Q elapsed_ms:d node:node copy:H"),
    5: _layout("REPLY", "i:H handle:Q result:H elapsed_ms:d node:node no_more:B copy:H health_info:floats"),
    6: _layout("WITHDRAWN", "i:H handle:Q"),
    7: _layout("WAKE", "i:H tag:Q"),
    8: _layout("CHECK_RESULT", "i:H elapsed_ms:d result:H node:node health_info:floats"),
    9: _layout("WHISPER", "i:H src_peer:I blob:blob"),
    10: _layout("STOP", "i:H"),
    11: _layout("RESUMED", _REQUEST + " node:node"),
    12: _layout("HINT_UPDATE", "i:H handle:Q what:B node:node copy:H amount:f"),
    13: _layout("LEDGER", "buffer:I entries:entries"),
}
ACTIONS: Mapping[int, Layout] = {
    65: _layout("ASSIGN", "i:H handle:Q node:node within_ms:d"),
    66: _layout("TURN_AWAY", "i:H handle:Q backoff_ms:d"),
    67: _layout("END_FAILED", "i:H handle:Q"),
    68: _layout("CANCEL", "i:H handle:Q copy:H"),
    69: _layout("NOTIFY_ME", "i:H delay_ms:d tag:Q"),
    70: _layout("SOUND_OUT", "i:H node:node"),
    71: _layout("RELEASE", "i:H node:node"),
    72: _layout("POST", "i:H dst:I blob:blob"),
    73: _layout("EMIT", "i:H note_text:text16"),
    74: _layout("DIE", "i:H note_text:text16"),
    75: _layout("KEEP_INFORMED", "i:H on:B"),
    76: _layout("GET_LIST", "i:H"),
    77: _layout("RATE", "i:H handle:Q tier_no:B"),
    78: _layout("MIGRATE", "i:H handle:Q"),
}
_ENTRY = _layout("entry", "node:node rack_zone:H sku:H cell:H status:B heft:f born_ms:d")
_ACTION_CODES = {layout.name: code for code, layout in ACTIONS.items()}
_RECORD_HEAD = struct.Struct("<HI")
_BATCH_HEAD = struct.Struct("<dI")
_REPLY_HEAD = struct.Struct("<II")


def _read_fixed(layout: Layout, data: bytes, at: int) -> dict[str, Any]:
    values = iter(layout.fixed.unpack_from(data, at))
    fields: dict[str, Any] = {}
    for name, is_node in layout.names:
        value = next(values)
        fields[name] = int.from_bytes(value, "big") << 16 | next(values) if is_node else value
    return fields


def _read_tail(form: str, data: bytes, at: int, end: int, name: str) -> Any:
    count_form = struct.Struct(_TAILS[form])
    if end - at < count_form.size:
        raise WireError(f"{name}: its last field is cut short")
    (count,) = count_form.unpack_from(data, at)
    at += count_form.size
    width = {"floats": 4, "entries": _ENTRY.fixed.size}.get(form, 1)
    if end - at != count * width:
        raise WireError(f"{name}: {end - at} bytes in its last field, {count * width} stated")
    if form == "floats":
        return struct.unpack_from(f"<{count}f", data, at)
    if form == "entries":
        return [_read_fixed(_ENTRY, data, at + k * width) for k in range(count)]
    if form == "blob":
        return data[at:end]
    try:
        return data[at:end].decode()
    except UnicodeDecodeError as error:
        raise WireError(f"{name}: text is not UTF-8") from error


def _read_record(layout: Layout, data: bytes, at: int, end: int) -> Record:
    size = layout.fixed.size
    if end - at < size or (layout.tail is None and end - at != size):
        raise WireError(f"{layout.name}: {end - at} bytes of fields, {size} needed")
    fields = _read_fixed(layout, data, at)
    if layout.tail:
        fields[layout.tail[0]] = _read_tail(layout.tail[1], data, at + size, end, layout.name)
    return layout.name, fields


def _read_records(table: Mapping[int, Layout], data: bytes, at: int, count: int) -> list[Record]:
    records: list[Record] = []
    for _ in range(count):
        if len(data) - at < _RECORD_HEAD.size:
            raise WireError("a record's head is cut short")
        code, size = _RECORD_HEAD.unpack_from(data, at)
        at += _RECORD_HEAD.size
        if code not in table:
            raise WireError(f"unknown record code {code}")
        if len(data) - at < size:
            raise WireError(f"{table[code].name}: record runs past the end of its frame")
        records.append(_read_record(table[code], data, at, at + size))
        at += size
    if at != len(data):
        raise WireError(f"{len(data) - at} bytes left over after the last record")
    return records


def decode_batch(body: bytes) -> tuple[float, list[Record]]:
    """Read a batch, given all that follows its length field."""
    if len(body) < _BATCH_HEAD.size:
        raise WireError("a batch's head is cut short")
    clock, count = _BATCH_HEAD.unpack_from(body, 0)
    return clock, _read_records(EVENTS, body, _BATCH_HEAD.size, count)


def decode_reply(frame: bytes) -> list[Record]:
    """Read a whole reply frame back into actions."""
    if len(frame) < _REPLY_HEAD.size:
        raise WireError("a reply's head is cut short")
    length, count = _REPLY_HEAD.unpack_from(frame, 0)
    if length != len(frame) - 4:
        raise WireError("a reply's length field is wrong")
    return _read_records(ACTIONS, frame, _REPLY_HEAD.size, count)


def encode_reply(actions: Iterable[Record]) -> bytes:
    """Write actions, in order, as one reply frame."""
    parts: list[bytes] = []
    count = 0
    for name, fields in actions:
        code = _ACTION_CODES[name]
        layout = ACTIONS[code]
        values: list[Any] = []
        for key, is_node in layout.names:
            value = fields[key]
            values += [(value >> 16).to_bytes(4, "big"), value & 0xFFFF] if is_node else [value]
        body = layout.fixed.pack(*values)
        if layout.tail:
            raw = fields[layout.tail[0]]
            data = raw.encode() if isinstance(raw, str) else raw
            body += struct.pack(_TAILS[layout.tail[1]], len(data)) + data
        parts.append(_RECORD_HEAD.pack(code, len(body)) + body)
        count += 1
    payload = b"".join(parts)
    return _REPLY_HEAD.pack(len(payload) + 4, count) + payload
