"""Reads a capture file: connections with the bytes of both directions and their times, and marks.

The format is that of `foxlift.standins.tap`: one line of JSON, then as many bytes as it says.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass
class Stream:
    """One direction of a connection: bytes, and when each came."""

    data: bytearray = field(default_factory=bytearray)
    starts: list[int] = field(default_factory=list)
    times: list[float] = field(default_factory=list)

    def add(self, at: float, data: bytes) -> None:
        """Append what arrived at once."""
        self.starts.append(len(self.data))
        self.times.append(at)
        self.data += data

    def when(self, offset: int) -> float:
        """When the byte at this offset came."""
        return self.times[bisect_right(self.starts, offset) - 1]

    def arrivals(self, begin: int, end: int) -> Iterator[tuple[float, int, int]]:
        """When each piece of this range came, and from which offset to which."""
        first = bisect_right(self.starts, begin) - 1
        for index in range(first, len(self.starts)):
            start = self.starts[index]
            if start >= end:
                return
            following = self.starts[index + 1] if index + 1 < len(self.starts) else len(self.data)
            yield self.times[index], start, min(following, end)


@dataclass
class Connection:
    """One connection through a tap. `up` is the asking side's direction, `shut_by` the side that ended it."""

    tap: str
    opened: float
    up: Stream = field(default_factory=Stream)
    down: Stream = field(default_factory=Stream)
    shut: float | None = None
    shut_by: str = ""

    @property
    def endpoint(self) -> str:
        """Name of the director or media server at this tap; at the box list, of the director that asks."""
        return self.tap.partition(":")[2]


@dataclass(frozen=True)
class Mark:
    """What the rehearsal itself did, and when."""

    at: float
    text: str
    details: dict[str, Any]

    @property
    def director(self) -> str:
        """The director that it was done to."""
        return str(self.details["director"])

    @property
    def server(self) -> str:
        """The media server that it was done to."""
        return str(self.details["box"])


@dataclass
class Capture:
    """All that a capture file holds."""

    marks: list[Mark] = field(default_factory=list)
    connections: dict[int, Connection] = field(default_factory=dict)

    def add(self, line: dict[str, Any], data: bytes) -> None:
        """Take in one record; one of a connection that was never opened is left out."""
        kind, number = line["k"], line["c"]
        match kind:
            case "mark":
                self.marks.append(Mark(line["t"], line["text"], line))
            case "open":
                self.connections[number] = Connection(line["tap"], line["t"])
            case _ if number not in self.connections:
                return
            case "shut":
                connection = self.connections[number]
                connection.shut, connection.shut_by = line["t"], line["by"]
            case "up":
                self.connections[number].up.add(line["t"], data)
            case _:
                self.connections[number].down.add(line["t"], data)


def read_records(path: Path) -> Iterator[tuple[dict[str, Any], bytes]]:
    """The records of a capture file; one that is cut short at the end is left out."""
    data = path.read_bytes()
    at = 0
    while (end := data.find(b"\n", at)) >= 0:
        line = json.loads(data[at:end])
        at = end + 1 + line["n"] + 1
        if at > len(data):
            return
        yield line, data[end + 1 : end + 1 + line["n"]]


def read_capture(path: Path) -> Capture:
    """Read a whole capture file."""
    capture = Capture()
    for line, data in read_records(path):
        capture.add(line, data)
    return capture
