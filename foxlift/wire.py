"""Codec of the binary wire: frames and records by the layout tables below. It does not interpret them."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Record = tuple[str, dict[str, Any]]

# Format of a field: a struct letter, "node", or one of the tails, which only a record's last field may have:
#   node    4 bytes of address and a u16 port, decoded as one whole number with the address in the high bits
#   text32  u32 count and UTF-8 bytes            text16  u16 count and UTF-8 bytes
#   blob    u16 count and bytes                  floats  u8 count and f32 values
#   entries u32 count and node list entries
NODE = "node"
_TAILS = {"text32": "<I", "text16": "<H", "blob": "<H", "floats": "<B", "entries": "<I"}


class WireError(ValueError):
    """The input does not follow the wire format."""


@dataclass(frozen=True)
class Layout:
    """Name and fields of one kind of record; only the last field may have a variable length, a tail."""

    name: str
    fields: tuple[tuple[str, str], ...]
    fixed: struct.Struct = field(init=False)
    tail: tuple[str, str] | None = field(init=False)
    fixed_fields: tuple[tuple[str, bool], ...] = field(init=False)  # name, and whether it is a node

    def __post_init__(self) -> None:
        tail = self.fields[-1] if self.fields and self.fields[-1][1] in _TAILS else None
        body = self.fields[:-1] if tail else self.fields
        form = "<" + "".join("4sH" if kind == NODE else kind for _, kind in body)
        object.__setattr__(self, "fixed", struct.Struct(form))
        object.__setattr__(self, "tail", tail)
        object.__setattr__(self, "fixed_fields", tuple((name, kind == NODE) for name, kind in body))


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


def _read_fixed(layout: Layout, data: bytes, offset: int) -> dict[str, Any]:
    values = iter(layout.fixed.unpack_from(data, offset))
    fields: dict[str, Any] = {}
    for name, is_node in layout.fixed_fields:
        value = next(values)
        fields[name] = int.from_bytes(value, "big") << 16 | next(values) if is_node else value
    return fields


def _read_tail(form: str, data: bytes, offset: int, end: int, name: str) -> Any:
    count_form = struct.Struct(_TAILS[form])
    if end - offset < count_form.size:
        raise WireError(
            f"{name}: last field truncated: {end - offset} bytes left for its count, {count_form.size} needed"
        )
    (count,) = count_form.unpack_from(data, offset)
    offset += count_form.size
    width = {"floats": 4, "entries": _ENTRY.fixed.size}.get(form, 1)
    if end - offset != count * width:
        raise WireError(f"{name}: {end - offset} bytes in its last field, {count * width} stated")
    if form == "floats":
        return struct.unpack_from(f"<{count}f", data, offset)
    if form == "entries":
        return [_read_fixed(_ENTRY, data, offset + k * width) for k in range(count)]
    if form == "blob":
        return data[offset:end]
    try:
        return data[offset:end].decode()
    except UnicodeDecodeError as error:
        raise WireError(f"{name}: text is not UTF-8") from error


def _read_record(layout: Layout, data: bytes, offset: int, end: int) -> Record:
    size = layout.fixed.size
    if end - offset < size or (layout.tail is None and end - offset != size):
        raise WireError(f"{layout.name}: {end - offset} bytes of fields, {size} needed")
    fields = _read_fixed(layout, data, offset)
    if layout.tail:
        fields[layout.tail[0]] = _read_tail(layout.tail[1], data, offset + size, end, layout.name)
    return layout.name, fields


def _read_records(table: Mapping[int, Layout], data: bytes, offset: int, count: int) -> list[Record]:
    records: list[Record] = []
    for _ in range(count):
        if len(data) - offset < _RECORD_HEAD.size:
            raise WireError(f"record head truncated: got {len(data) - offset} of {_RECORD_HEAD.size} bytes")
        code, size = _RECORD_HEAD.unpack_from(data, offset)
        offset += _RECORD_HEAD.size
        if code not in table:
            raise WireError(f"unknown record code {code}")
        if len(data) - offset < size:
            raise WireError(
                f"{table[code].name}: record of {size} bytes runs past the end of its frame, "
                f"{len(data) - offset} bytes left"
            )
        records.append(_read_record(table[code], data, offset, offset + size))
        offset += size
    if offset != len(data):
        raise WireError(f"{len(data) - offset} bytes left over after the last record")
    return records


def decode_batch(body: bytes) -> tuple[float, list[Record]]:
    """Decode a batch from all that follows its length field: the clock and the events."""
    if len(body) < _BATCH_HEAD.size:
        raise WireError(f"batch head truncated: got {len(body)} of {_BATCH_HEAD.size} bytes")
    clock, count = _BATCH_HEAD.unpack_from(body, 0)
    return clock, _read_records(EVENTS, body, _BATCH_HEAD.size, count)


def decode_reply(frame: bytes) -> list[Record]:
    """Decode a whole reply frame into its actions."""
    if len(frame) < _REPLY_HEAD.size:
        raise WireError(f"reply head truncated: got {len(frame)} of {_REPLY_HEAD.size} bytes")
    length, count = _REPLY_HEAD.unpack_from(frame, 0)
    if length != len(frame) - 4:
        raise WireError(f"reply length field is {length}, but {len(frame) - 4} bytes follow it")
    return _read_records(ACTIONS, frame, _REPLY_HEAD.size, count)


def encode_reply(actions: Iterable[Record]) -> bytes:
    """Encode actions, in order, as one reply frame."""
    parts: list[bytes] = []
    count = 0
    for name, fields in actions:
        code = _ACTION_CODES[name]
        layout = ACTIONS[code]
        values: list[Any] = []
        for key, is_node in layout.fixed_fields:
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
