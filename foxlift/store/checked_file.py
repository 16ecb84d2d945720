"""A whole file of one payload: kind, version and checksum in front, replaced as one.

    8 bytes kind | u32 version | u64 length of payload | u32 crc32c of these twenty and payload | payload

Numbers are little-endian. A file that is cut short, longer than it says or damaged is no file: a caller that
can do without goes on as if it were not there.
"""

from __future__ import annotations

import struct

import google_crc32c

from foxlift.store.log import LogError

_HEAD = struct.Struct("<8sIQ")
_CRC = struct.Struct("<I")


def encode_checked_file(kind: bytes, version: int, payload: bytes) -> bytes:
    """The file's bytes. `kind` is eight bytes."""
    head = _HEAD.pack(kind, version, len(payload))
    return head + _CRC.pack(google_crc32c.extend(google_crc32c.value(head), payload)) + payload


def decode_checked_file(kind: bytes, version: int, data: bytes, name: str) -> bytes:
    """The payload. Raises LogError that names file and cause; other versions are not read."""
    start = _HEAD.size + _CRC.size
    if len(data) < start:
        raise LogError(f"{name}: offset {len(data)}: cut short in its head")
    found, written, length = _HEAD.unpack_from(data)
    if found != kind:
        raise LogError(f"{name}: offset 0: not a {kind.decode('ascii', 'replace')} file")
    payload = data[start:]
    crc = google_crc32c.extend(google_crc32c.value(data[: _HEAD.size]), payload)
    if length != len(payload) or crc != _CRC.unpack_from(data, _HEAD.size)[0]:
        raise LogError(f"{name}: cut short or damaged: {len(payload)} bytes, {length} stated")
    if written != version:
        raise LogError(f"{name}: format {written}, known {version}")
    return payload
