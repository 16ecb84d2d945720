"""What a stand-in box sends for a segment's path: filler of the right size, or the files of a folder.

Ranges by RFC 9110 section 14: one range is served, several are answered with the whole, one beyond the end
with 416. Nothing outside the folder is ever read.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from foxlift.http import Headers

TYPES = {
    ".mp4": "video/mp4",
    ".m4s": "video/iso.segment",
    ".m4v": "video/mp4",
    ".m4a": "audio/mp4",
    ".mpd": "application/dash+xml",
    ".m3u8": "application/vnd.apple.mpegurl",
    ".vtt": "text/vtt",
    ".webm": "video/webm",
    ".jpg": "image/jpeg",
}
_RANGE = re.compile(r"^bytes=(\d*)-(\d*)$")


@dataclass(frozen=True, slots=True)
class Part:
    """What is sent: status, headers, and the bytes."""

    status: int
    headers: Headers
    body: bytes


class Media(Protocol):
    """Where a box's segments come from."""

    def part(self, path: str, asked_range: str, rate_kb: float) -> Part:
        """The answer for a path below the title. `rate_kb` is the rate of the session's rung."""


def cut(body: bytes, asked_range: str, headers: Headers) -> Part:
    """The part of a body that a Range header asks for."""
    headers += (("accept-ranges", "bytes"),)
    matched = _RANGE.match(asked_range.replace(" ", ""))
    if matched is None or matched.groups() == ("", ""):
        return Part(200, headers, body)
    first, last = matched.groups()
    if not first:
        start, end = max(len(body) - int(last), 0), len(body)
    else:
        start = int(first)
        end = min(int(last) + 1 if last else len(body), len(body))
    if start >= len(body) or start >= end:
        return Part(416, (*headers, ("content-range", f"bytes */{len(body)}")), b"")
    where = f"bytes {start}-{end - 1}/{len(body)}"
    return Part(206, (*headers, ("content-range", where)), body[start:end])


class Filler:
    """Zeros, as many as the rendition's rate makes of a segment, scaled.

    `rates`: kB/s by the name of a directory in the path, which is the Representation's. Others get the rate
    of the session's rung.
    """

    def __init__(
        self, rates: dict[str, float], sides: frozenset[str], segment_s: float, scale: float
    ) -> None:
        self._rates, self._sides, self._segment_s, self._scale = rates, sides, segment_s, scale

    def part(self, path: str, asked_range: str, rate_kb: float) -> Part:
        """See `Media.part`."""
        folders = path.split("/")[:-1]
        name = next((folder for folder in folders if folder in self._rates), "")
        kind = "audio/mp4" if name in self._sides else "video/mp4"
        headers: Headers = (("content-type", kind),)
        if path.rsplit("/", 1)[-1].startswith("init"):
            return cut(b"init", asked_range, headers)
        rate = self._rates.get(name, rate_kb)
        size = max(int(rate * 1000 * self._segment_s * self._scale), 4)
        return cut(bytes(size), asked_range, headers)


class Folder:
    """Files of a title's folder as they are."""

    def __init__(self, folder: Path, most_bytes: int = 64 << 20) -> None:
        self._folder, self._most = folder.resolve(), most_bytes

    def part(self, path: str, asked_range: str, rate_kb: float) -> Part:
        """See `Media.part`."""
        try:
            found = (self._folder / path.partition("?")[0]).resolve()
            inside = found.is_relative_to(self._folder) and found.is_file()
            if not inside or found.stat().st_size > self._most:
                return Part(404, (), b"")
            body = found.read_bytes()
        except (OSError, ValueError):
            return Part(404, (), b"")
        kind = TYPES.get(found.suffix, "application/octet-stream")
        return cut(body, asked_range, (("content-type", kind),))
