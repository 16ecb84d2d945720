"""The log's format: a header, then frames; each with a checksum.

    header   8 bytes "FOXLLOG1" | u32 version | u32 crc32c of the twelve bytes before
    frame    u32 length of payload | u64 sequence number | u32 crc32c of these twelve and payload | payload

Numbers are little-endian; sequence numbers rise by one from 1. A frame that is cut short or fails its
checksum at the very end is a torn tail: it was never acknowledged, and the frames before it are valid. A
damaged frame with whole frames after it is not a torn tail and is reported by its offset.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import google_crc32c

MAGIC = b"FOXLLOG1"
VERSION = 1
MAX_PAYLOAD_BYTES = 1 << 20
_HEADER = struct.Struct("<8sII")
_FRAME = struct.Struct("<IQI")


class LogError(ValueError):
    """A damaged log: names the file, the offset and the cause."""


def _crc(data: bytes) -> int:
    return int(google_crc32c.value(data))


def encode_header() -> bytes:
    """The first bytes of a log."""
    start = MAGIC + struct.pack("<I", VERSION)
    return start + struct.pack("<I", _crc(start))


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """One record. Raises LogError for a payload over MAX_PAYLOAD_BYTES."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise LogError(f"record too large: {len(payload)} bytes, at most {MAX_PAYLOAD_BYTES}")
    start = struct.pack("<IQ", len(payload), sequence)
    return start + struct.pack("<I", _crc(start + payload)) + payload


@dataclass
class LogReader:
    """Reads a log from its bytes: `valid_bytes` of whole frames, then `torn_bytes` of an incomplete one."""

    name: str
    data: bytes
    payloads: list[bytes] = field(default_factory=list)
    valid_bytes: int = 0
    last_sequence: int = 0

    def __post_init__(self) -> None:
        data = self.data
        if len(data) < _HEADER.size:
            # the header is synced before the first record: a shorter file has no records
            if not encode_header().startswith(data):
                raise LogError(f"{self.name}: offset 0: not a log of this program")
            return
        magic, version, crc = _HEADER.unpack_from(data)
        if magic != MAGIC or crc != _crc(data[:12]):
            raise LogError(f"{self.name}: offset 0: not a log of this program, or its header is damaged")
        if version > VERSION:
            raise LogError(f"{self.name}: written by a newer program (format {version}, known {VERSION})")
        self.valid_bytes = _HEADER.size
        while (end := self._frame_end(self.valid_bytes, self.last_sequence + 1)) is not None:
            self.payloads.append(data[self.valid_bytes + _FRAME.size : end])
            self.valid_bytes, self.last_sequence = end, self.last_sequence + 1
        self._check_tail()

    @property
    def torn_bytes(self) -> int:
        """The number of bytes after the last whole frame."""
        return len(self.data) - self.valid_bytes

    def _frame_end(self, at: int, sequence: int) -> int | None:
        if at + _FRAME.size > len(self.data):
            return None
        length, found, crc = _FRAME.unpack_from(self.data, at)
        end = at + _FRAME.size + length
        if length > MAX_PAYLOAD_BYTES or end > len(self.data) or found != sequence:
            return None
        body = self.data[at : at + 12] + self.data[at + _FRAME.size : end]
        return end if _crc(body) == crc else None

    def _check_tail(self) -> None:
        """Raises LogError if a whole frame follows the damage: acknowledged records are lost then."""
        tail = self.data[self.valid_bytes :]
        for ahead in range(1, 65):
            needle = struct.pack("<Q", self.last_sequence + 1 + ahead)
            at = tail.find(needle)
            while at >= 0:
                if (
                    at >= 4
                    and self._frame_end(self.valid_bytes + at - 4, self.last_sequence + 1 + ahead) is not None
                ):
                    raise LogError(
                        f"{self.name}: offset {self.valid_bytes}: a damaged record with whole ones after it"
                    )
                at = tail.find(needle, at + 1)
