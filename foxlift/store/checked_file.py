"""A file of one payload behind a header with kind, version, length and checksum; always replaced as a whole.

    8 bytes kind | u32 version | u64 length of payload | u32 crc32c of these twenty and payload | payload

Numbers are little-endian. A truncated, overlong or damaged file is rejected as a whole; a caller that does
not need it treats it as missing.
"""

from __future__ import annotations

import struct

import google_crc32c

from foxlift.store.log import LogError

_HEAD = struct.Struct("<8sIQ")
_CRC = struct.Struct("<I")


def encode_checked_file(kind: bytes, version: int, payload: bytes) -> bytes:
    """The content of the file. `kind` is eight bytes."""
    head = _HEAD.pack(kind, version, len(payload))
    return head + _CRC.pack(google_crc32c.extend(google_crc32c.value(head), payload)) + payload


def decode_checked_file(kind: bytes, version: int, data: bytes, name: str) -> bytes:
    """The payload. Raises LogError with file and cause; files of another version are rejected."""
    start = _HEAD.size + _CRC.size
    if len(data) < start:
        raise LogError(f"{name}: offset {len(data)}: truncated in its header")
    found, written, length = _HEAD.unpack_from(data)
    if found != kind:
        raise LogError(f"{name}: offset 0: not a {kind.decode('ascii', 'replace')} file")
    payload = data[start:]
    crc = google_crc32c.extend(google_crc32c.value(data[: _HEAD.size]), payload)
    if length != len(payload) or crc != _CRC.unpack_from(data, _HEAD.size)[0]:
        raise LogError(f"{name}: truncated or damaged: {len(payload)} bytes of payload, {length} stated")
    if written != version:
        raise LogError(f"{name}: format {written}, known {version}")
    return payload
