"""A DASH player on its own: its own HTTP, its own reading of manifests, a buffer, and a viewer's patience.

It shares no code with the program. What it does with refusals and breaks is a viewer's way: it comes again
after `Retry-After`, buys a new token after a paid session broke, and leaves when its deadline is up.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import xml.etree.ElementTree as ET
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import urlsplit

NS = "{urn:mpeg:dash:schema:mpd:2011}"
MAX_BUFFER_S = 8.0


@dataclass
class Viewer:
    """One viewer's wish."""

    name: str
    klass: str
    tenant: str
    title: str
    paid: bool
    wanted_ms: float
    deadline_ms: float
    worth: float
    best: int
    length_s: float
    at_s: float


@dataclass
class Try:
    """One request for a manifest and how it ended. Times are loop seconds."""

    claim: str
    director: int
    asked: float
    answered: float | None = None
    status: int = 0


@dataclass
class Watching:
    """What a viewer lived through."""

    viewer: Viewer
    tries: list[Try] = field(default_factory=list)
    started: float | None = None
    played_s: float = 0.0
    stalled_s: float = 0.0
    stalls: int = 0
    breaks: int = 0
    reloads: int = 0
    rung_s: dict[int, float] = field(default_factory=dict)
    lowest_buffer_s: float = MAX_BUFFER_S
    gave_up: str = ""

    @property
    def in_time(self) -> bool:
        """Whether it played within the wanted time of its first try."""
        late = (self.viewer.wanted_ms) / 1000
        return self.started is not None and self.started - self.tries[0].asked <= late


@dataclass
class _Manifest:
    base: str
    location: str | None
    period_s: float
    representation: str
    rung: int
    media: str
    segment_s: float
    start_number: int


def read_manifest(body: bytes) -> _Manifest:
    """The little of a manifest that this player needs: the best Representation of the first video set."""
    root = ET.fromstring(body)
    base = (root.findtext(f"{NS}BaseURL") or "").strip()
    location = root.findtext(f"{NS}Location")
    update = re.fullmatch(r"PT([\d.]+)S", root.get("minimumUpdatePeriod", "PT4S"))
    for video in root.iter(f"{NS}AdaptationSet"):
        if video.get("contentType") != "video":
            continue
        template = video.find(f"{NS}SegmentTemplate")
        found = sorted(video.findall(f"{NS}Representation"), key=lambda r: int(r.get("bandwidth", "0")))
        if template is None or not found:
            continue
        best = found[-1]
        rung = int((best.get("id") or "v0").lstrip("v"))
        duration = float(template.get("duration", "2")) / float(template.get("timescale", "1"))
        return _Manifest(
            base,
            location,
            float(update[1]) if update else 4.0,
            best.get("id", ""),
            rung,
            template.get("media", ""),
            duration,
            int(template.get("startNumber", "1")),
        )
    raise ValueError("no video set")


class Http:
    """One connection to one peer, kept alive; raises OSError where there is no answer."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def get(self, target: str) -> tuple[int, dict[str, str], bytes]:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(self.host, self.port)
        assert self._reader is not None
        try:
            self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n".encode())
            head = await self._reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
            if headers.get("transfer-encoding") == "chunked":
                body = await self._chunks()
            else:
                body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            self.close()
            raise ConnectionResetError("broken off") from error
        except BaseException:
            self.close()
            raise
        if headers.get("connection") == "close":
            self.close()
        return int(lines[0].split(" ")[1]), headers, body

    async def _chunks(self) -> bytes:
        assert self._reader is not None
        parts = []
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).strip(), 16)
            parts.append(await self._reader.readexactly(size + 2))
            if size == 0:
                return b"".join(part[:-2] for part in parts)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Player:
    """Plays one viewer's session against directors that listen on `ports`."""

    def __init__(
        self,
        viewer: Viewer,
        ports: list[int],
        first: int,
        new_token: Callable[[Viewer, int], tuple[str, str]],
        pick: Callable[[], float],
        retries: int = 4,
    ) -> None:
        self.viewer, self.ports, self.director = viewer, ports, first
        self._new_token, self._pick = new_token, pick
        self.watching = Watching(viewer)
        self._retries = retries
        self._bought = 0
        self._buy()

    def _buy(self) -> None:
        self._bought += 1
        self.claim, self.token = self._new_token(self.viewer, self._bought)

    async def run(self) -> Watching:
        """Ask, play, come again, until the session's length is seen or patience ends."""
        left = self.viewer.length_s
        for _ in range(self._retries + 1):
            manifest, come_back_s = await self._ask()
            if manifest is None:
                if come_back_s is None:
                    break
                # viewers told the same time do not all come in the same instant
                await asyncio.sleep(come_back_s * (1 + 0.5 * self._pick()))
                continue
            left -= await self._play(manifest, left)
            if left <= 0.5:
                return self.watching
            self.watching.breaks += 1
            await asyncio.sleep(0.5 + self._pick())
            if self.viewer.paid:
                self._buy()  # the old one is spent
        self.watching.gave_up = self.watching.gave_up or "patience"
        return self.watching

    async def _ask(self) -> tuple[_Manifest | None, float | None]:
        """One try: a manifest, or the seconds after which to come again, or neither."""
        loop = asyncio.get_running_loop()
        tried = Try(self.claim, self.director, loop.time())
        self.watching.tries.append(tried)
        http = Http("127.0.0.1", self.ports[self.director])
        try:
            async with asyncio.timeout(self.viewer.deadline_ms / 1000):
                status, headers, body = await http.get(
                    f"/dash/{self.viewer.title}/manifest.mpd?token={self.token}"
                )
        except (OSError, TimeoutError, ValueError) as error:
            tried.answered = loop.time()
            self.watching.gave_up = type(error).__name__
            self.director = (self.director + 1) % len(self.ports)
            if isinstance(error, TimeoutError) and self.viewer.paid:
                return None, None
            if self.viewer.paid:
                self._buy()  # nobody knows what became of the old one
            return None, 0.5 + self._pick()
        finally:
            http.close()
        tried.answered, tried.status = loop.time(), status
        if status == 200:
            return read_manifest(body), None
        self.watching.gave_up = str(status)
        if status in (503, 429):
            exact = headers.get("foxlift-come-back-ms")
            return None, float(exact) / 1000 if exact else float(headers.get("retry-after", "1"))
        if status in (502, 504) and not self.viewer.paid:
            return None, 0.5 + self._pick()
        return None, None

    async def _play(self, manifest: _Manifest, seconds: float) -> float:
        """Fetch segments and let the buffer run down in real time; gives back the seconds that were seen."""
        loop = asyncio.get_running_loop()
        watching = self.watching
        if watching.started is None:
            watching.started = loop.time()
        started = last = loop.time()
        buffer = seen = fetched = 0.0
        number, playing = manifest.start_number, False
        reloaded = loop.time()
        address = urlsplit(manifest.base)
        http = Http(address.hostname or "127.0.0.1", address.port or 80)
        try:
            while seen < seconds:
                if fetched < seconds and buffer < MAX_BUFFER_S:
                    name = manifest.media.replace("$RepresentationID$", manifest.representation)
                    name = name.replace("$Number$", str(number))
                    if fetched + manifest.segment_s >= seconds:
                        head, _, tail = name.rpartition("/")
                        name = f"{head}/last-{tail}"
                    try:
                        async with asyncio.timeout(max(buffer, 0) + 6.0):
                            status, _, _ = await http.get(address.path + name)
                    except (OSError, TimeoutError, ValueError):
                        status = 0
                    if status != 200:
                        # what is buffered is still seen
                        return seen + buffer if playing else seen
                    fetched += manifest.segment_s
                    number += 1
                    got = manifest.segment_s
                else:
                    await asyncio.sleep(min(0.25, max(seconds - seen, 0.01)))
                    got = 0.0
                now = loop.time()
                passed, last = now - last, now
                if playing:
                    shown = min(passed, buffer)
                    self._account(manifest.rung, shown, passed - shown if fetched < seconds else 0.0)
                    seen += shown if fetched < seconds else passed
                    buffer -= shown
                    watching.lowest_buffer_s = min(watching.lowest_buffer_s, buffer)
                buffer += got
                playing = playing or buffer > 0
                if now - reloaded >= manifest.period_s:
                    reloaded = now
                    manifest = await self._reload(manifest)
            return seen
        finally:
            http.close()
            watching.played_s += loop.time() - started

    def _account(self, rung: int, shown: float, stalled: float) -> None:
        watching = self.watching
        watching.rung_s[rung] = watching.rung_s.get(rung, 0.0) + shown
        if stalled > 0.05:
            watching.stalled_s += stalled
            watching.stalls += 1

    async def _reload(self, manifest: _Manifest) -> _Manifest:
        """Ask Location again; a director that does not answer changes nothing for who plays already."""
        if not manifest.location:
            return manifest
        self.watching.reloads += 1
        address = urlsplit(manifest.location)
        http = Http(address.hostname or "127.0.0.1", self.ports[self.director])
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(1.0):
                status, _, body = await http.get(f"{address.path}?{address.query}")
                if status == 200:
                    found = read_manifest(body)
                    if found.base == manifest.base:
                        manifest = found
        http.close()
        return manifest
