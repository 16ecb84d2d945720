"""A DASH player of its own: it shares no HTTP client, parser or other code with the program.

It plays as browsers' players do: a static title is loaded once, video and audio are fetched in parallel, and
the rendition follows from the throughput, below the cap that CMSD `mb` names. If its box fails, it changes to
the next BaseURL and stays there. After a refusal it comes back after `Retry-After`; after a paid session
broke it gets a new token; it gives up at its deadline. With `keeps_token` it sends the same token to the next
director instead. Meanwhile the viewer may seek, pause, reload the page, let the tab sleep or open a second
one.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Callable
from dataclasses import replace
from urllib.parse import urlsplit

from foxlift.standins.mpd import Mpd, read_mpd
from foxlift.standins.playback import Playback
from foxlift.standins.player_connection import PlayerConnection
from foxlift.standins.viewer import MAX_BUFFER_S, ManifestRequest, Viewer, ViewerAction, ViewingRecord

KEPT_TOKEN_TIMEOUT_S = 0.7  # until a player that keeps its token asks the next director
THROUGHPUT_MARGIN = 0.85  # part of the throughput that a rendition may use
_MAX_BITRATE = re.compile(r"(?:^|;)\s*mb=(\d+)")


class Player:
    """Plays one viewer's session against directors that listen on `ports`."""

    def __init__(
        self,
        viewer: Viewer,
        ports: list[int],
        first: int,
        new_token: Callable[[Viewer, int], tuple[str, str]],
        draw: Callable[[], float],
        retries: int = 4,
        keeps_token: bool = False,
    ) -> None:
        self.viewer, self.ports, self.director = viewer, ports, first
        self._new_token, self._draw = new_token, draw
        self.record = ViewingRecord(viewer)
        self._retries, self._keeps_token = retries, keeps_token
        self.cap = 1e9  # kbit/s of video and audio together, by the last CMSD
        self.tabs: list[asyncio.Task[ViewingRecord]] = []
        self._token_count = 0
        self._renew_token()

    def _renew_token(self) -> None:
        self._token_count += 1
        self.token_id, self.token = self._new_token(self.viewer, self._token_count)

    async def run(self) -> ViewingRecord:
        """Request a manifest and play, repeatedly, until the viewer has watched all or gives up."""
        try:
            return await self._run()
        finally:
            for tab in self.tabs:
                tab.cancel()
            await asyncio.gather(*self.tabs, return_exceptions=True)

    async def _run(self) -> ViewingRecord:
        left_s = self.viewer.length_s
        for _ in range(self._retries * (4 if self._keeps_token else 1) + 1):
            manifest, come_back_s = await self._request_manifest()
            if manifest is None:
                if come_back_s is None:
                    break
                # viewers that were told the same time must not all come back at once
                await asyncio.sleep(come_back_s * (1 + 0.5 * self._draw()))
                continue
            seen, whole = await self._play(manifest, left_s)
            left_s -= seen
            if whole or left_s <= 0.5:
                return self.record
            self.record.breaks += 1
            await asyncio.sleep(0.5 + self._draw())
            if self.viewer.paid:
                self._renew_token()  # the former one is used up
        self.record.gave_up = self.record.gave_up or "patience"
        return self.record

    async def _request_manifest(self) -> tuple[Mpd | None, float | None]:
        """Request a manifest. Returns it, or the seconds until the next request, or neither (give up)."""
        loop = asyncio.get_running_loop()
        request = ManifestRequest(self.token_id, self.director, loop.time())
        self.record.requests.append(request)
        http = PlayerConnection("127.0.0.1", self.ports[self.director])
        try:
            timeout_s = self.viewer.deadline_ms / 1000
            async with asyncio.timeout(
                min(timeout_s, KEPT_TOKEN_TIMEOUT_S) if self._keeps_token else timeout_s
            ):
                status, headers, body = await http.get(
                    f"/dash/{self.viewer.title}/manifest.mpd?token={self.token}"
                )
        except (OSError, TimeoutError, ValueError) as error:
            request.answered_at_s = loop.time()
            self.record.gave_up = type(error).__name__
            self.director = (self.director + 1) % len(self.ports)
            if isinstance(error, TimeoutError) and self.viewer.paid and not self._keeps_token:
                return None, None
            if self.viewer.paid and not self._keeps_token:
                self._renew_token()  # the former one may be used up
            return None, 0.05 if self._keeps_token else 0.5 + self._draw()
        finally:
            http.close()
        request.answered_at_s, request.status = loop.time(), status
        if status == 200:
            self._update_cap(headers)
            return read_mpd(body), None
        self.record.gave_up = str(status)
        if status in (503, 429):
            if self._keeps_token:
                self.director = (self.director + 1) % len(self.ports)
            return None, _come_back_s(headers)
        if status in (502, 504) and not self.viewer.paid:
            return None, 0.5 + self._draw()
        return None, None

    def _update_cap(self, headers: dict[str, str]) -> None:
        """Read `mb` of CMSD (CTA-5006), kbit/s."""
        found = _MAX_BITRATE.search(headers.get("cmsd-dynamic", ""))
        if found is not None:
            self.cap = float(found[1])

    # ---- Playing ------------------------------------------------------------------------------------------
    async def _play(self, manifest: Mpd, seconds: float) -> tuple[float, bool]:
        """Fetch segments and play them in real time.

        Returns the seconds watched, and whether that was all that the viewer wanted.
        """
        loop, record = asyncio.get_running_loop(), self.record
        if record.started is None:
            record.started = loop.time()
        playback = Playback(manifest, loop.time())
        actions = [action for action in self.viewer.actions if action.kind not in record.performed]
        length = min(manifest.length_s or 1e9, 1e9)
        started = loop.time()
        try:
            while playback.seen < seconds and playback.position < length:
                if actions and playback.seen >= actions[0].at_s:
                    again = await self._perform(playback, actions.pop(0), seconds)
                    if again is None:
                        return playback.seen, False
                    continue
                wanted = playback.seen + playback.buffer < seconds and playback.end < length
                if wanted and playback.buffer < MAX_BUFFER_S:
                    last = playback.seen + playback.buffer + manifest.video.segment_s >= seconds
                    if not await self._fetch_both(playback, last):
                        # what is buffered is still played
                        return playback.seen + (playback.buffer if playback.playing else 0.0), False
                else:
                    await asyncio.sleep(min(0.25, max(seconds - playback.seen, 0.01)))
                    self._pass_time(playback, stall=wanted)
                if manifest.live and loop.time() - playback.reloaded_at >= manifest.period_s:
                    playback.reloaded_at = loop.time()
                    await self._reload(playback)
            return playback.seen, True
        finally:
            playback.close()
            record.played_s += loop.time() - started

    def _pass_time(self, playback: Playback, stall: bool) -> None:
        now = asyncio.get_running_loop().time()
        passed, playback.updated_at = now - playback.updated_at, now
        if not playback.playing:
            return
        shown = min(passed, playback.buffer)
        record = self.record
        record.kbps_s[playback.kbps] = record.kbps_s.get(playback.kbps, 0.0) + shown
        if stall and passed - shown > 0.05:
            record.stalled_s += passed - shown
            record.stalls += 1
        # at the end of what the viewer wants, time passes though nothing is buffered
        playback.seen += shown if stall else passed
        playback.position += shown if stall else passed
        record.lowest_buffer_s = min(record.lowest_buffer_s, playback.buffer)

    async def _fetch_both(self, playback: Playback, last: bool) -> bool:
        """Fetch the next segments of video and audio in parallel. False if one cannot be fetched."""
        loop, manifest = asyncio.get_running_loop(), playback.manifest
        audio = manifest.audio
        sound = "" if audio is None else audio.renditions[-1][0]
        beside = 0.0 if audio is None else audio.kbps(sound)
        # the cap holds for video and audio together, as dash.js and Shaka read it
        name = manifest.video.pick(min(self.cap, playback.throughput * THROUGHPUT_MARGIN) - beside)
        if name != playback.name:
            self.record.switches += playback.name != ""
            playback.name, playback.kbps = name, manifest.video.kbps(name)
            if not await self._fetch(playback, manifest.video.initialization(name), 0):
                return False
        begin = loop.time()
        path = manifest.video.segment(name, playback.end)
        if last:
            path += "?last=1"  # tells a stand-in box that nothing more is wanted
        fetches = [self._fetch(playback, path, 0)]
        if audio is not None:
            fetches.append(self._fetch(playback, audio.segment(sound, playback.end), 1))
        fetched = await asyncio.gather(*fetches)
        if not all(fetched):
            return False
        took = max(loop.time() - begin, 1e-3)
        # in the units of the title's rates: how much faster than real time the segment came
        measured = (playback.kbps + beside) * manifest.video.segment_s / took
        playback.throughput = (
            measured if playback.throughput > 1e8 else 0.5 * playback.throughput + 0.5 * measured
        )
        self._pass_time(playback, stall=True)
        # after a seek into a segment, continue at its end
        step = manifest.video.segment_s - playback.end % manifest.video.segment_s
        playback.end += step if step > 1e-6 else manifest.video.segment_s
        playback.playing = True
        self.record.highest_buffer_s = max(self.record.highest_buffer_s, playback.buffer)
        return True

    async def _fetch(self, playback: Playback, path: str, track: int) -> bool:
        """Fetch a file from the first BaseURL that works; one that failed is not used again."""
        timeout_s = max(playback.buffer, 0.0) + 6.0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while playback.base < len(playback.manifest.bases):
                    base = playback.base
                    status = await self._get(playback, playback.manifest.bases[base] + path, track)
                    if status in (200, 206):
                        return True
                    if playback.base != base:
                        continue  # the other track's fetch has changed it
                    if base + 1 < len(playback.manifest.bases):
                        playback.base += 1
                        self.record.fallbacks += 1
                    elif status in (0, 404, 429, 503) and playback.retries < 8:
                        playback.retries += 1
                        await asyncio.sleep(playback.wait_s)
                    else:
                        return False
        return False

    async def _get(self, playback: Playback, url: str, track: int) -> int:
        """Fetch a URL, following redirects. Returns the last status, 0 if the connection failed."""
        try:
            for _ in range(3):
                address = urlsplit(url)
                host, port = address.hostname or "127.0.0.1", address.port or 80
                target = address.path + (f"?{address.query}" if address.query else "")
                status, headers, _ = await playback.connection(host, port, track).get(target)
                if status not in (301, 302, 307, 308):
                    break
                url = headers.get("location", "")
        except (OSError, ValueError):
            playback.wait_s = 0.5
            return 0
        playback.wait_s = _come_back_s(headers) if status in (429, 503) else 0.5
        if status in (200, 206):
            playback.retries = 0
            self._update_cap(headers)
        return status

    async def _reload(self, playback: Playback) -> None:
        """Load the manifest again from its Location. Without an answer, play goes on as before."""
        if not playback.manifest.location:
            return
        self.record.reloads += 1
        address = urlsplit(playback.manifest.location)
        http = PlayerConnection(address.hostname or "127.0.0.1", self.ports[self.director])
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(1.0):
                status, headers, body = await http.get(f"{address.path}?{address.query}")
                if status == 200:
                    self._update_cap(headers)
                    playback.manifest = read_mpd(body)
        http.close()

    # ---- Viewer actions ------------------------------------------------------------------------------------
    async def _perform(self, playback: Playback, action: ViewerAction, seconds: float) -> bool | None:
        """Perform an action. None if the page was to be loaded again and could not be."""
        record = self.record
        record.performed.append(action.kind)
        match action.kind:
            case "seek":
                playback.seek(action.value)
            case "pause":
                # the position stays; segments are fetched until the buffer is full
                end = asyncio.get_running_loop().time() + action.value
                step = playback.manifest.video.segment_s
                most = min(MAX_BUFFER_S, seconds - playback.seen - step)
                length = playback.manifest.length_s or 1e9
                while (
                    playback.buffer < most
                    and playback.end < length
                    and asyncio.get_running_loop().time() < end
                ):
                    buffer, playback.playing = playback.buffer, False
                    fetched = await self._fetch_both(playback, last=False)
                    playback.playing = buffer > 0 or fetched
                    if not fetched:
                        return None
                await asyncio.sleep(max(end - asyncio.get_running_loop().time(), 0))
                playback.updated_at = asyncio.get_running_loop().time()
            case "sleep":
                await asyncio.sleep(action.value)
                playback.updated_at = asyncio.get_running_loop().time()
            case "reload":
                return await self._load_page_again(playback)
            case "tab":
                second = Player(
                    _second_tab(self.viewer, action.value),
                    self.ports,
                    self.director,
                    lambda viewer, token_number: (self.token_id, self.token),
                    self._draw,
                    retries=0,
                )
                self.tabs.append(asyncio.create_task(second.run()))
            case _:
                raise ValueError(f"unknown action {action.kind!r}")
        return True

    async def _load_page_again(self, playback: Playback) -> bool | None:
        """Play from the title's start with the same token."""
        manifest, _ = await self._request_manifest()
        if manifest is None:
            return None
        playback.close()
        playback.manifest, playback.base, playback.name = manifest, 0, ""
        playback.seek(0.0)
        return True


def _second_tab(viewer: Viewer, length_s: float) -> Viewer:
    """The same viewer in a second tab, without actions."""
    return replace(viewer, length_s=length_s, actions=())


def _come_back_s(headers: dict[str, str]) -> float:
    exact = headers.get("foxlift-come-back-ms")
    return float(exact) / 1000 if exact else float(headers.get("retry-after", "1"))
